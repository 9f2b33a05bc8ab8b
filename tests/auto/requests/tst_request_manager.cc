// Requests from a caller through one entry to an executor.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "request_fixture.h"

namespace thornplank::test {
namespace {

TEST_CASE("an idempotent request gets the executor's complete answer") {
  RequestFixture fixture;
  const HttpResponse response =
      fixture.Send(RequestFixture::IdempotentRequest());
  CHECK(response.status == 200);
  CHECK(response.body == "done: trace");
  CHECK(OutcomeOf(response) == "answered");
  CHECK(response.headers.Value("Thornplank-Executor") == "executor-1");
  CHECK_FALSE(response.headers.Value("Thornplank-Request-Id").empty());
  CHECK(fixture.log.CountRecords("claim") == 0);
}

struct FaultCase {
  const char* name;
  const char* target;
  // Header that is set on a valid keyed request; "" for none.
  const char* header;
  const char* value;
  int status;
};

TEST_CASE("invalid requests get problem details and are never run") {
  RequestFixture fixture;
  const std::string ahead = std::to_string(ToUnixMilliseconds(
      std::chrono::system_clock::now() + std::chrono::seconds(90)));
  const std::string good = "/v1/services/claims/requests";
  const std::vector<FaultCase> cases = {
      {"unknown service", "/v1/services/none/requests", "", "", 404},
      {"unknown account", good.c_str(), "Authorization",
       "Bearer stranger-token", 403},
      {"viewer", good.c_str(), "Authorization", "Bearer viewer-token", 403},
      {"deadline zero", good.c_str(), "Thornplank-Deadline-Ms", "0", 400},
      {"deadline not a number", good.c_str(), "Thornplank-Deadline-Ms", "5s",
       400},
      {"deadline too long", good.c_str(), "Thornplank-Deadline-Ms",
       "99999999999999999999", 400},
      {"key time not a number", good.c_str(), "Idempotency-Key-Time", "now",
       400},
      {"key time too large", good.c_str(), "Idempotency-Key-Time",
       "9223372036854775807", 400},
      {"key time in the future", good.c_str(), "Idempotency-Key-Time",
       ahead.c_str(), 400},
      {"empty key", good.c_str(), "Idempotency-Key", "", 400},
  };
  for (const FaultCase& c : cases) {
    CAPTURE(c.name);
    HttpRequest request = RequestFixture::KeyedRequest("key");
    request.target = c.target;
    if (*c.header != '\0') request.headers.Set(c.header, c.value);
    const HttpResponse response = fixture.Send(std::move(request));
    CHECK(response.status == c.status);
    CHECK(response.headers.Value("Content-Type") == "application/problem+json");
    CHECK(OutcomeOf(response).empty());
  }
  HttpRequest no_time = RequestFixture::IdempotentRequest();
  no_time.headers.Set("Idempotency-Key", "key");
  CHECK(fixture.Send(std::move(no_time)).status == 400);
  CHECK(fixture.executor.runs("key") == 0);
  CHECK(fixture.log.CountRecords("claim") == 0);
}

TEST_CASE("an answer with the id of another request is not passed on") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kWrongId);
  for (const bool idempotent : {true, false}) {
    CAPTURE(idempotent);
    HttpRequest request = idempotent ? RequestFixture::IdempotentRequest()
                                     : RequestFixture::KeyedRequest("crossed");
    request.headers.Set("Thornplank-Deadline-Ms", "1500");
    const HttpResponse response = fixture.Send(std::move(request));
    CHECK(OutcomeOf(response) == "unknown");
    CHECK(response.body.find("done") == std::string::npos);
  }
  CHECK(fixture.executor.runs("crossed") == 1);
}

TEST_CASE("a request that all executors refuse ends as not run") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kRefuses);
  HttpRequest request = RequestFixture::IdempotentRequest();
  request.headers.Set("Thornplank-Deadline-Ms", "500");
  const HttpResponse response = fixture.Send(std::move(request));
  CHECK(response.status == 503);
  CHECK(OutcomeOf(response) == "not-run");
  CHECK_FALSE(response.headers.Value("Retry-After").empty());
  CHECK(fixture.executor.runs("") == 0);
}

TEST_CASE("a late answer is dropped and the caller gets unknown") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kHoldsAnswers);
  HttpRequest request = RequestFixture::IdempotentRequest();
  request.headers.Set("Thornplank-Deadline-Ms", "300");
  const HttpResponse response = fixture.Send(std::move(request));
  CHECK(response.status == 504);
  CHECK(OutcomeOf(response) == "unknown");
  fixture.executor.set_mode(ExecutorMode::kAnswers);
  fixture.executor.ReleaseHeldAnswers();
  const HttpResponse next =
      fixture.Send(RequestFixture::IdempotentRequest("other"));
  CHECK(next.body == "done: other");
}

TEST_CASE("draining waits for the requests in flight and their claim records") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kHoldsAnswers);
  auto response = fixture.SendAsync(RequestFixture::KeyedRequest("drained"));
  REQUIRE(WaitUntil([&] { return fixture.executor.runs("drained") == 1; }));
  RequestManager& manager = *fixture.entries[0]->manager;
  CHECK(manager.in_flight() == 1);
  std::promise<void> drained;
  manager.Drain([&] { drained.set_value(); });
  std::future<void> done = drained.get_future();
  CHECK(done.wait_for(Milliseconds(100)) == std::future_status::timeout);
  fixture.executor.ReleaseHeldAnswers();
  done.get();
  CHECK(manager.in_flight() == 0);
  CHECK(OutcomeOf(response.get()) == "answered");
  CHECK(fixture.log.CountRecords("done") == 1);
}

}  // namespace
}  // namespace thornplank::test
