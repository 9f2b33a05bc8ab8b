// Matching of routes, and checks of bearer tokens and roles.
#include "api/api_router.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace thornplank {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> segments;
  size_t begin = 0;
  while (begin < path.size()) {
    const size_t slash = path.find('/', begin);
    const size_t end = slash == std::string::npos ? path.size() : slash;
    if (end > begin) segments.push_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return segments;
}

bool IsPlaceholder(const std::string& segment) {
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

bool MatchesRest(const std::string& segment) {
  constexpr std::string_view kRest = "...}";
  return IsPlaceholder(segment) && segment.size() > kRest.size() &&
         segment.compare(segment.size() - kRest.size(), kRest.size(), kRest) ==
             0;
}

std::string JoinFrom(const std::vector<std::string>& segments, size_t first) {
  std::string joined;
  for (size_t i = first; i < segments.size(); ++i) {
    if (!joined.empty()) joined += '/';
    joined += segments[i];
  }
  return joined;
}

// Returns whether the path matches the pattern; if so, fills `parameters`.
bool MatchPath(const std::vector<std::string>& pattern,
               const std::vector<std::string>& path,
               PathParameters* parameters) {
  for (size_t i = 0; i < pattern.size(); ++i) {
    const std::string& segment = pattern[i];
    if (MatchesRest(segment)) {
      (*parameters)[segment.substr(1, segment.size() - 5)] = JoinFrom(path, i);
      return true;
    }
    if (i >= path.size()) return false;
    if (IsPlaceholder(segment)) {
      (*parameters)[segment.substr(1, segment.size() - 2)] = path[i];
      continue;
    }
    if (segment != path[i]) return false;
  }
  return pattern.size() == path.size();
}

// Compares in a time that does not depend on where the strings differ.
bool SecretsEqual(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned char difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

// A role with a higher rank has the permissions of the lower ones.
int RoleRank(Role role) {
  switch (role) {
    case Role::kCaller:
      return 0;
    case Role::kViewer:
      return 1;
    case Role::kOperator:
      return 2;
  }
  return 0;
}

HttpResponse Unauthorized() {
  HttpResponse response = ProblemResponse(
      401, "token missing or unknown",
      "send 'Authorization: Bearer <token>' with a token of the settings");
  response.headers.Set("WWW-Authenticate", "Bearer");
  return response;
}

HttpResponse MethodNotAllowed(const std::string& allowed) {
  HttpResponse response =
      ProblemResponse(405, "method not allowed", "this path takes " + allowed);
  response.headers.Set("Allow", allowed);
  return response;
}

}  // namespace

ApiRouter::ApiRouter(std::vector<AccessToken> tokens)
    : tokens_(std::move(tokens)) {}

void ApiRouter::Add(const std::string& method, const std::string& pattern,
                    Role min_role, Handler handler) {
  routes_.push_back(
      {method, SplitPath(pattern), false, min_role, std::move(handler)});
}

void ApiRouter::AddPublic(const std::string& method, const std::string& pattern,
                          Handler handler) {
  routes_.push_back(
      {method, SplitPath(pattern), true, Role::kCaller, std::move(handler)});
}

std::optional<Caller> ApiRouter::Authenticate(
    const HttpRequest& request) const {
  const std::string header = request.headers.Value("Authorization");
  if (header.compare(0, kBearerPrefix.size(), kBearerPrefix) != 0) {
    return std::nullopt;
  }
  std::string_view secret = header;
  secret.remove_prefix(kBearerPrefix.size());
  for (const AccessToken& token : tokens_) {
    if (!SecretsEqual(token.token, secret)) continue;
    Caller caller;
    caller.role = token.role;
    caller.token_name = token.name;
    caller.account = token.role == Role::kCaller
                         ? token.account
                         : request.headers.Value("Thornplank-Account");
    return caller;
  }
  return std::nullopt;
}

void ApiRouter::Route(HttpRequest request,
                      HttpServer::Responder respond) const {
  const std::vector<std::string> path = SplitPath(request.path());
  std::string allowed;
  for (const RouteEntry& route : routes_) {
    PathParameters parameters;
    if (!MatchPath(route.segments, path, &parameters)) continue;
    if (route.method != request.method) {
      if (!allowed.empty()) allowed += ", ";
      allowed += route.method;
      continue;
    }
    if (route.is_public) {
      route.handler(request, Caller(), parameters, std::move(respond));
      return;
    }
    const std::optional<Caller> caller = Authenticate(request);
    if (!caller.has_value()) {
      respond(Unauthorized());
      return;
    }
    if (RoleRank(caller->role) < RoleRank(route.min_role)) {
      respond(ProblemResponse(
          403, "role not sufficient",
          "token '" + caller->token_name + "' may not do this"));
      return;
    }
    route.handler(request, *caller, parameters, std::move(respond));
    return;
  }
  if (!allowed.empty()) {
    respond(MethodNotAllowed(allowed));
    return;
  }
  respond(ProblemResponse(404, "no such path", request.path()));
}

HttpResponse JsonResponse(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = body;
  return response;
}

HttpResponse ProblemResponse(int status, const std::string& title,
                             const std::string& detail) {
  const Json body = {{"type", "about:blank"},
                     {"title", title},
                     {"status", status},
                     {"detail", detail}};
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/problem+json");
  response.body =
      body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

}  // namespace thornplank
