// Dispatches each HTTP request to the handler of its route, after
// authenticating the caller and checking its role.
#ifndef THORNPLANK_API_API_ROUTER_H_
#define THORNPLANK_API_API_ROUTER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/http_message.h"
#include "net/http_server.h"

namespace thornplank {

enum class Role {
  // Acts for one client account only.
  kCaller,
  // Reads everything, changes nothing.
  kViewer,
  // Reads and changes everything; names the account it acts for.
  kOperator,
};

// The sender of a request, identified by its bearer token.
struct Caller {
  Role role = Role::kCaller;
  // The client account a kCaller is bound to; for others the account named
  // in Thornplank-Account, or "".
  std::string account;
  // Name of the token in the settings, for history and logs; never the token.
  std::string token_name;
};

// One bearer token as the settings declare it.
struct AccessToken {
  std::string name;
  std::string token;
  Role role = Role::kCaller;
  std::string account;
};

// Values of the {placeholders} in a route.
using PathParameters = std::map<std::string, std::string>;

class ApiRouter {
 public:
  using Handler = std::function<void(
      const HttpRequest& request, const Caller& caller,
      const PathParameters& parameters, HttpServer::Responder respond)>;

  explicit ApiRouter(std::vector<AccessToken> tokens);

  // `pattern` is like "/v1/jobs/{id}"; "{path...}" at the end matches the rest
  // of the path. `min_role`: kCaller admits every token, kViewer viewers and
  // operators, kOperator only operators. All routes must be added before Route
  // is called.
  void Add(const std::string& method, const std::string& pattern, Role min_role,
           Handler handler);
  // Adds a route that needs no token, such as /healthz, /readyz and /metrics.
  void AddPublic(const std::string& method, const std::string& pattern,
                 Handler handler);

  // Runs the handler of the matching route, or responds with 401, 403, 404 or
  // 405.
  void Route(HttpRequest request, HttpServer::Responder respond) const;

 private:
  struct RouteEntry {
    std::string method;
    std::vector<std::string> segments;
    // Needs no token.
    bool is_public = false;
    Role min_role = Role::kOperator;
    Handler handler;
  };

  // The owner of the bearer token; nullopt if the token is missing or unknown.
  std::optional<Caller> Authenticate(const HttpRequest& request) const;

  std::vector<AccessToken> tokens_;
  std::vector<RouteEntry> routes_;
};

// A JSON response.
HttpResponse JsonResponse(int status, const std::string& body);
// A response in problem-details form (RFC 9457).
HttpResponse ProblemResponse(int status, const std::string& title,
                             const std::string& detail);

}  // namespace thornplank

#endif  // THORNPLANK_API_API_ROUTER_H_
