// Hands each HTTP request to the handler of its route, once the caller is
// known and allowed.
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

// Who sends a request, as its bearer token says.
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

  // `pattern` is like "/v1/jobs/{id}"; "{path...}" at the end takes the rest.
  // `least_role`: kCaller lets everyone with a token in, kViewer viewers and
  // operators, kOperator only operators. Routes are added before Route runs.
  void Add(const std::string& method, const std::string& pattern,
           Role least_role, Handler handler);
  // Open routes need no token: /healthz, /readyz, /metrics.
  void AddPublic(const std::string& method, const std::string& pattern,
               Handler handler);

  // Answers 401, 403, 404 or 405 itself.
  void Route(HttpRequest request, HttpServer::Responder respond) const;

 private:
  struct RouteEntry {
    std::string method;
    std::vector<std::string> segments;
    bool open = false;
    Role least_role = Role::kOperator;
    Handler handler;
  };

  // Who the bearer token belongs to; nullopt when missing or unknown.
  std::optional<Caller> Authenticate(const HttpRequest& request) const;

  std::vector<AccessToken> tokens_;
  std::vector<RouteEntry> routes_;
};

// A JSON answer, and one in problem-details form (RFC 9457).
HttpResponse JsonResponse(int status, const std::string& body);
HttpResponse ProblemResponse(int status, const std::string& title,
                             const std::string& detail);

}  // namespace thornplank

#endif  // THORNPLANK_API_API_ROUTER_H_
