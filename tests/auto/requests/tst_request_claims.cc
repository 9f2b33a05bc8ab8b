// Non-idempotent requests run at most once per key, and their repeats never get
// a contradictory outcome: with repeats at one or two entries, failing
// executors and a failing log service.
#include <doctest/doctest.h>

#include <future>
#include <string>
#include <vector>

#include "request_fixture.h"

namespace thornplank::test {
namespace {

TEST_CASE("a keyed request runs once and its repeats get the same answer") {
  RequestFixture fixture;
  const HttpResponse first = fixture.Send(RequestFixture::KeyedRequest("p1"));
  CHECK(first.status == 200);
  CHECK(OutcomeOf(first) == "answered");
  const HttpResponse again = fixture.Send(RequestFixture::KeyedRequest("p1"));
  CHECK(OutcomeOf(again) == "answered");
  CHECK(again.body == first.body);
  HttpRequest other = RequestFixture::KeyedRequest("p1");
  other.body = "pay more";
  CHECK(fixture.Send(std::move(other)).status == 422);
  CHECK(fixture.executor.runs("p1") == 1);
  REQUIRE(WaitUntil([&] { return fixture.log.CountRecords("done") == 1; }));
}

TEST_CASE("a key older than the window is never run") {
  RequestFixture fixture;
  const HttpResponse response = fixture.Send(
      RequestFixture::KeyedRequest("old", "5000", std::chrono::minutes(16)));
  CHECK(response.status == 409);
  CHECK(OutcomeOf(response) == "unknown");
  CHECK(fixture.executor.runs("old") == 0);
}

TEST_CASE("a key sent to two entries at once runs once") {
  RequestFixture fixture(2);
  constexpr int kKeys = 10;
  constexpr int kRepeats = 6;
  std::vector<std::future<HttpResponse>> responses;
  for (int key = 0; key < kKeys; ++key) {
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      const std::string name = "k" + std::to_string(key);
      responses.push_back(
          fixture.SendAsync(RequestFixture::KeyedRequest(name), repeat % 2));
    }
  }
  for (auto& future : responses) {
    const HttpResponse response = future.get();
    CAPTURE(response.body);
    CHECK(OutcomeOf(response) == "answered");
    CHECK(response.body == "done: pay");
  }
  for (int key = 0; key < kKeys; ++key) {
    CHECK(fixture.executor.runs("k" + std::to_string(key)) == 1);
  }
}

TEST_CASE("a repeat at another entry waits for the holder's answer") {
  RequestFixture fixture(2);
  fixture.executor.set_mode(ExecutorMode::kHoldsAnswers);
  auto first = fixture.SendAsync(RequestFixture::KeyedRequest("held"), 0);
  REQUIRE(WaitUntil([&] { return fixture.executor.runs("held") == 1; }));
  SUBCASE("and gets it") {
    auto repeat = fixture.SendAsync(RequestFixture::KeyedRequest("held"), 1);
    fixture.executor.ReleaseHeldAnswers();
    CHECK(repeat.get().body == "done: pay");
    CHECK(OutcomeOf(first.get()) == "answered");
  }
  SUBCASE("or gets unknown at its deadline") {
    const HttpResponse repeat =
        fixture.Send(RequestFixture::KeyedRequest("held", "200"), 1);
    CHECK(OutcomeOf(repeat) == "unknown");
    fixture.executor.ReleaseHeldAnswers();
    CHECK(OutcomeOf(first.get()) == "answered");
  }
  SUBCASE("or gets unknown when the holder is gone") {
    fixture.entries[1]->manager->SetReachableEntries(
        {{"entry-1", "entry-1-1"}});
    const HttpResponse repeat =
        fixture.Send(RequestFixture::KeyedRequest("held"), 1);
    CHECK(repeat.status == 409);
    CHECK(OutcomeOf(repeat) == "unknown");
    fixture.executor.ReleaseHeldAnswers();
    CHECK(OutcomeOf(first.get()) == "answered");
  }
  CHECK(fixture.executor.runs("held") == 1);
}

TEST_CASE("a keyed request without an answer in time stays unknown") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kHoldsAnswers);
  const HttpResponse first =
      fixture.Send(RequestFixture::KeyedRequest("late", "400"));
  CHECK(OutcomeOf(first) == "unknown");
  const HttpResponse repeat =
      fixture.Send(RequestFixture::KeyedRequest("late", "300"));
  CHECK(OutcomeOf(repeat) == "unknown");
  CHECK(fixture.executor.runs("late") == 1);
  CHECK(fixture.log.CountRecords("released") == 0);
}

TEST_CASE("a keyed request that fails at the executor is not sent again") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kFails);
  const HttpResponse first =
      fixture.Send(RequestFixture::KeyedRequest("failed"));
  CHECK(first.status == 500);
  CHECK(OutcomeOf(first) == "answered");
  CHECK(fixture.Send(RequestFixture::KeyedRequest("failed")).status == 500);
  CHECK(fixture.executor.runs("failed") == 1);
}

TEST_CASE("the claim of a request that every executor refuses is released") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kRefuses);
  const HttpResponse first =
      fixture.Send(RequestFixture::KeyedRequest("refused", "600"));
  CHECK(OutcomeOf(first) == "not-run");
  REQUIRE(WaitUntil([&] { return fixture.log.CountRecords("released") == 1; }));
  CHECK(fixture.executor.runs("refused") == 0);

  fixture.executor.set_mode(ExecutorMode::kAnswers);
  REQUIRE(WaitUntil([&] {
    const HttpResponse again =
        fixture.Send(RequestFixture::KeyedRequest("refused", "2000"));
    return OutcomeOf(again) == "answered";
  }));
  CHECK(fixture.executor.runs("refused") == 1);
}

TEST_CASE("lost replies of the log neither repeat nor lose a request") {
  RequestFixture fixture;
  fixture.log.set_mode(LogMode::kLosesReplies);
  const HttpResponse response =
      fixture.Send(RequestFixture::KeyedRequest("lost"));
  CHECK(OutcomeOf(response) == "answered");
  CHECK(fixture.executor.runs("lost") == 1);
}

TEST_CASE("while the log is down only new keyed requests are refused") {
  RequestFixture fixture;
  const HttpResponse before =
      fixture.Send(RequestFixture::KeyedRequest("before"));
  CHECK(OutcomeOf(before) == "answered");
  fixture.log.set_mode(LogMode::kDown);
  // A claim may still be attempted until the log is considered down.
  REQUIRE(WaitUntil([&] {
    const HttpResponse response =
        fixture.Send(RequestFixture::KeyedRequest("down", "100"));
    CHECK(OutcomeOf(response) == "not-run");
    return response.body.find("log service is down") != std::string::npos;
  }));
  const HttpResponse refused =
      fixture.Send(RequestFixture::KeyedRequest("down-too"));
  CHECK(refused.status == 503);
  CHECK(OutcomeOf(refused) == "not-run");
  CHECK_FALSE(refused.headers.Value("Retry-After").empty());
  CHECK(fixture.executor.runs("down-too") == 0);

  // A claim of an earlier request with this key may be in the log and not yet
  // read.
  HttpRequest repeat = RequestFixture::KeyedRequest("down-too");
  repeat.headers.Set("Thornplank-Repeat", "1");
  const HttpResponse repeated = fixture.Send(std::move(repeat));
  CHECK(OutcomeOf(repeated) == "unknown");
  CHECK_FALSE(repeated.headers.Value("Retry-After").empty());

  const HttpResponse known =
      fixture.Send(RequestFixture::KeyedRequest("before"));
  CHECK(OutcomeOf(known) == "answered");
  const HttpResponse idempotent =
      fixture.Send(RequestFixture::IdempotentRequest());
  CHECK(OutcomeOf(idempotent) == "answered");

  fixture.log.set_mode(LogMode::kNormal);
  REQUIRE(WaitUntil([&] {
    return OutcomeOf(fixture.Send(RequestFixture::KeyedRequest("after"))) ==
           "answered";
  }));
}

TEST_CASE("a claim that is not read back in time is never used") {
  RequestFixture fixture;
  LogMode mode = LogMode::kUnreadable;
  SUBCASE("with the append confirmed") { mode = LogMode::kUnreadable; }
  SUBCASE("with the reply of the append lost too") {
    mode = LogMode::kLosesRepliesUnreadable;
  }
  fixture.log.set_mode(mode);
  const HttpResponse response =
      fixture.Send(RequestFixture::KeyedRequest("unseen", "150"));
  CHECK(OutcomeOf(response) == "not-run");
  fixture.log.set_mode(LogMode::kNormal);
  REQUIRE(WaitUntil([&] { return fixture.log.CountRecords("released") == 1; }));
  RequestManager& manager = *fixture.entries[0]->manager;
  REQUIRE(WaitUntil([&] { return manager.next_claims_offset() >= 2; }));
  CHECK(fixture.executor.runs("unseen") == 0);
  // The only other outcome is a refusal while the log is still considered down.
  REQUIRE(WaitUntil([&] {
    const std::string outcome =
        OutcomeOf(fixture.Send(RequestFixture::KeyedRequest("unseen")));
    CHECK(outcome != "unknown");
    return outcome == "answered";
  }));
  CHECK(fixture.executor.runs("unseen") == 1);
}

}  // namespace
}  // namespace thornplank::test
