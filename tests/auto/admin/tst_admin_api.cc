// Status, headers and bodies of the operators' routes for each role.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "admin/admin_api.h"
#include "settings_fixture.h"

namespace thornplank {
namespace {

std::vector<AccessToken> Tokens() {
  return {{"desk", "caller-secret", Role::kCaller, "north"},
          {"dashboard", "viewer-secret", Role::kViewer, ""},
          {"admin", "operator-secret", Role::kOperator, ""}};
}

// The operators' routes of an entry, called without a socket.
class Api {
 public:
  explicit Api(TestEntry& entry) : admin_(entry.manager()), router_(Tokens()) {
    admin_.AddRoutes(router_);
  }

  HttpResponse Call(const std::string& token, const std::string& method,
                    const std::string& target, const std::string& body = "",
                    const std::string& if_match = "") const {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers.Set("Authorization", "Bearer " + token + "-secret");
    if (!if_match.empty()) request.headers.Set("If-Match", if_match);
    auto promise = std::make_shared<std::promise<HttpResponse>>();
    router_.Route(std::move(request), [promise](HttpResponse response) {
      promise->set_value(std::move(response));
    });
    return promise->get_future().get();
  }

 private:
  AdminApi admin_;
  ApiRouter router_;
};

struct Step {
  const char* token;
  const char* method;
  const char* target;
  const char* body;
  const char* if_match;
  int status;
  // JSON that the body must contain: merging it into the body must change
  // nothing. "" checks nothing.
  const char* expected_body;
};

void Run(const Api& api, const std::vector<Step>& steps) {
  for (const Step& step : steps) {
    CAPTURE(std::string(step.method));
    CAPTURE(std::string(step.target));
    CAPTURE(std::string(step.if_match));
    const HttpResponse response = api.Call(step.token, step.method, step.target,
                                           step.body, step.if_match);
    CAPTURE(response.body);
    CHECK(response.status == step.status);
    if (*step.expected_body == '\0') continue;
    const Json body = ParseJson(response.body).value_or(Json());
    Json merged = body;
    merged.merge_patch(Json::parse(step.expected_body));
    CHECK(merged == body);
  }
}

TEST_CASE("Settings, accounts, events and drains through the routes") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  const Api api(*entry);
  Run(api,
      {
          {"operator", "GET", "/v1/settings/", "", "", 200,
           R"({"path": "", "version": 0, "own": {}, "kind": "group"})"},
          {"operator", "PUT", "/v1/settings/", R"({"weight": 2})", "", 428, ""},
          {"operator", "PUT", "/v1/settings/", R"({"weight": 2})", "\"0\"", 200,
           R"({"version": 1, "own": {"weight": 2}})"},
          {"operator", "PUT", "/v1/accounts/north", R"({"max_queued": 7})", "",
           200, R"({"path": "north", "version": 2})"},
          {"operator", "PUT", "/v1/settings/north/claims", "{}", "", 200,
           R"({"effective": {"weight": 2.0, "max_queued": 7}})"},
          {"viewer", "GET", "/v1/settings/north/claims?explain=1", "", "", 200,
           R"({"kind": "service", "explain": {
               "weight": {"node": "", "built_in": false},
               "max_queued": {"node": "north", "value": 7},
               "borrowing": {"built_in": true}}})"},
          {"viewer", "GET", "/v1/settings/north", "", "", 200,
           R"({"children": ["north/claims"]})"},
          // The loser of a race gets the present value.
          {"operator", "PUT", "/v1/settings/north", "{}", "\"1\"", 412,
           R"({"current": {"version": 2, "own": {"max_queued": 7}}})"},
          {"operator", "PUT", "/v1/settings/north", "{}", "\"x\"", 400, ""},
          {"operator", "PUT", "/v1/settings/north", "{", "\"2\"", 400, ""},
          {"operator", "PUT", "/v1/settings/north", R"({"weight": 0})", "\"2\"",
           400,
           R"({"reasons": ["north: weight: found 0, allowed a number above 0 to 1000000"]})"},
          {"operator", "PUT", "/v1/settings/north", R"({"max_queued": 8})",
           "\"2\"", 200, ""},
          {"viewer", "GET", "/v1/settings/south", "", "", 404, ""},
          {"viewer", "GET", "/v1/accounts/north", "", "", 200,
           R"({"own": {"max_queued": 8}})"},
          {"operator", "PUT", "/v1/events/recall",
           R"({"account": "south", "starts_at_ms": 5})", "", 400, ""},
          {"operator", "PUT", "/v1/events/recall",
           R"({"account": "north", "starts_at_ms": 5})", "", 200, ""},
          {"viewer", "GET", "/v1/events/recall", "", "", 200,
           R"({"name": "recall", "value": {"starts_at_ms": 5}})"},
          {"operator", "DELETE", "/v1/settings/north/claims", "", "\"3\"", 200,
           ""},
          {"operator", "DELETE", "/v1/accounts/north", "", "*", 400, ""},
          {"operator", "DELETE", "/v1/events/recall", "", "", 428, ""},
          {"operator", "DELETE", "/v1/events/recall", "", "*", 200, ""},
          {"operator", "DELETE", "/v1/events/recall", "", "*", 404, ""},
          {"operator", "DELETE", "/v1/accounts/north", "", "*", 200, ""},
          {"operator", "POST", "/v1/drains/worker-7", "", "", 200, ""},
          {"operator", "POST", "/v1/drains/worker-7", "", "", 200, ""},
          {"operator", "POST", "/v1/drains/a%20b", "", "", 400, ""},
          {"viewer", "GET", "/v1/drains", "", "", 200, ""},
          {"operator", "DELETE", "/v1/drains/worker-7", "", "", 200, ""},
          {"operator", "DELETE", "/v1/drains/worker-7", "", "", 404, ""},
          {"operator", "POST", "/v1/settings-recovery", "", "", 400, ""},
      });
  const Json history = *ParseJson(
      api.Call("viewer", "GET", "/v1/settings-history?path=north").body);
  REQUIRE(history["history"].size() == 3);
  CHECK(history["history"][0]["type"] == "remove");
  CHECK(history["history"][1]["by"] == "admin");
  CHECK(history["history"][1]["value"] == Json{{"max_queued", 8}});
}

TEST_CASE("Each role reads and changes only what it may") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  const Api api(*entry);
  Run(api,
      {
          {"operator", "PUT", "/v1/accounts/north", "{}", "", 200, ""},
          {"operator", "PUT", "/v1/accounts/south", "{}", "", 200, ""},
          {"caller", "GET", "/v1/settings/north", "", "", 200,
           R"({"effective": {"weight": 1.0}})"},
          {"caller", "GET", "/v1/settings/south", "", "", 403, ""},
          {"caller", "GET", "/v1/settings/northern", "", "", 403, ""},
          {"caller", "GET", "/v1/settings/", "", "", 403, ""},
          {"caller", "GET", "/v1/accounts", "", "", 403, ""},
          {"caller", "GET", "/v1/events", "", "", 403, ""},
          {"caller", "GET", "/v1/settings-history?path=north", "", "", 403, ""},
          {"caller", "PUT", "/v1/settings/north", "{}", "*", 403, ""},
          {"viewer", "GET", "/v1/accounts", "", "", 200, ""},
          {"viewer", "PUT", "/v1/settings/north", "{}", "*", 403, ""},
          {"viewer", "DELETE", "/v1/settings/north", "", "*", 403, ""},
          {"viewer", "POST", "/v1/drains/w", "", "", 403, ""},
          {"viewer", "POST", "/v1/settings-recovery", "", "", 403, ""},
          {"nobody", "GET", "/v1/settings/", "", "", 401, ""},
      });
  const Json own = *ParseJson(
      api.Call("caller", "GET", "/v1/settings/north?explain=1").body);
  CHECK_FALSE(own.contains("own"));
  CHECK_FALSE(own.contains("explain"));
}

TEST_CASE("An entry without settings answers 503 with Retry-After") {
  SettingsFixture fixture;
  fixture.log().SetDown(true);
  const auto entry = fixture.MakeEntry(FastOptions("one"));
  entry->manager().Start();
  const Api api(*entry);
  for (const char* target :
       {"/v1/settings/", "/v1/accounts", "/v1/events", "/v1/drains"}) {
    CAPTURE(target);
    const HttpResponse response = api.Call("operator", "GET", target);
    CHECK(response.status == 503);
    CHECK_FALSE(response.headers.Value("Retry-After").empty());
  }
  const HttpResponse response =
      api.Call("operator", "PUT", "/v1/settings/", "{}", "\"0\"");
  CHECK(response.status == 503);
  CHECK(response.headers.Value("Thornplank-Outcome") == "not-run");
}

}  // namespace
}  // namespace thornplank
