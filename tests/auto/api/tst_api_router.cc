// Routes, tokens and roles.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "api/api_router.h"

namespace thornplank {
namespace {

ApiRouter MakeRouter(std::string* seen) {
  ApiRouter router({{"north-app", "n-secret", Role::kCaller, "north"},
                    {"watcher", "v-secret", Role::kViewer, ""},
                    {"admin", "o-secret", Role::kOperator, ""}});
  const auto record = [seen](const HttpRequest&, const Caller& caller,
                             const PathParameters& parameters,
                             HttpServer::Responder respond) {
    *seen = caller.token_name + "/" + caller.account;
    for (const auto& [name, value] : parameters) {
      *seen += " " + name + "=" + value;
    }
    respond(HttpResponse());
  };
  router.AddPublic("GET", "/healthz", record);
  router.Add("GET", "/v1/jobs/{id}", Role::kCaller, record);
  router.Add("GET", "/v1/settings/{path...}", Role::kViewer, record);
  router.Add("PUT", "/v1/settings/{path...}", Role::kOperator, record);
  return router;
}

TEST_CASE("each request reaches its route or is refused with its status") {
  struct Row {
    const char* method;
    const char* target;
    const char* token;
    int status;
    const char* seen;
  };
  const std::vector<Row> rows = {
      {"GET", "/healthz", "", 200, "/"},
      {"GET", "/v1/jobs/j1", "n-secret", 200, "north-app/north id=j1"},
      {"GET", "/v1/jobs/j1?x=1", "v-secret", 200, "watcher/south id=j1"},
      {"GET", "/v1/jobs/j1", "", 401, ""},
      {"GET", "/v1/jobs/j1", "n-secreT", 401, ""},
      {"GET", "/v1/jobs", "n-secret", 404, ""},
      {"GET", "/v1/jobs/j1/more", "n-secret", 404, ""},
      {"DELETE", "/v1/jobs/j1", "n-secret", 405, ""},
      {"GET", "/v1/settings/", "n-secret", 403, ""},
      {"GET", "/v1/settings/", "v-secret", 200, "watcher/south path="},
      {"GET", "/v1/settings/a/b", "v-secret", 200, "watcher/south path=a/b"},
      {"PUT", "/v1/settings/a/b", "v-secret", 403, ""},
      {"PUT", "/v1/settings/a/b", "o-secret", 200, "admin/south path=a/b"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.method);
    CAPTURE(row.target);
    CAPTURE(row.token);
    std::string seen;
    const ApiRouter router = MakeRouter(&seen);
    HttpRequest request;
    request.method = row.method;
    request.target = row.target;
    request.headers.Set("Thornplank-Account", "south");
    if (*row.token != '\0') {
      request.headers.Set("Authorization", std::string("Bearer ") + row.token);
    }
    int status = 0;
    router.Route(request, [&status](HttpResponse response) {
      status = response.status;
    });
    CHECK(status == row.status);
    CHECK(seen == row.seen);
  }
}

}  // namespace
}  // namespace thornplank
