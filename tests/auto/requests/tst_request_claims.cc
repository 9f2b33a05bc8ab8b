// Non-idempotent requests: at most one run per key, and outcomes that are
// never mixed, with repeats, two entries and a log that fails.
#include <doctest/doctest.h>

#include <future>
#include <string>
#include <vector>

#include "request_fixture.h"

namespace thornplank::test {
namespace {

TEST_CASE("a payment runs once and its repeats get the same answer") {
  RequestFixture fixture;
  const HttpResponse first = fixture.Send(RequestFixture::Payment("p1"));
  CHECK(first.status == 200);
  CHECK(OutcomeOf(first) == "answered");
  const HttpResponse again = fixture.Send(RequestFixture::Payment("p1"));
  CHECK(OutcomeOf(again) == "answered");
  CHECK(again.body == first.body);
  HttpRequest other = RequestFixture::Payment("p1");
  other.body = "pay more";
  CHECK(fixture.Send(std::move(other)).status == 422);
  CHECK(fixture.executor.runs("p1") == 1);
  REQUIRE(WaitUntil([&] { return fixture.log.Count("done") == 1; }));
}

TEST_CASE("a key older than the window is never run") {
  RequestFixture fixture;
  const HttpResponse response = fixture.Send(
      RequestFixture::Payment("old", "5000", std::chrono::minutes(16)));
  CHECK(response.status == 409);
  CHECK(OutcomeOf(response) == "unknown");
  CHECK(fixture.executor.runs("old") == 0);
}

TEST_CASE("the same key at two entries at once runs once") {
  RequestFixture fixture(2);
  constexpr int kKeys = 10;
  constexpr int kRepeats = 6;
  std::vector<std::future<HttpResponse>> responses;
  for (int key = 0; key < kKeys; ++key) {
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      const std::string name = "k" + std::to_string(key);
      responses.push_back(
          fixture.SendLater(RequestFixture::Payment(name), repeat % 2));
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

TEST_CASE("a repeat elsewhere waits for the holder's answer") {
  RequestFixture fixture(2);
  fixture.executor.set_mode(ExecutorMode::kHolds);
  auto first = fixture.SendLater(RequestFixture::Payment("held"), 0);
  REQUIRE(WaitUntil([&] { return fixture.executor.runs("held") == 1; }));
  SUBCASE("and gets it") {
    auto repeat = fixture.SendLater(RequestFixture::Payment("held"), 1);
    fixture.executor.AnswerHeld();
    CHECK(repeat.get().body == "done: pay");
    CHECK(OutcomeOf(first.get()) == "answered");
  }
  SUBCASE("or learns at its deadline that it is unknown") {
    const HttpResponse repeat =
        fixture.Send(RequestFixture::Payment("held", "200"), 1);
    CHECK(OutcomeOf(repeat) == "unknown");
    fixture.executor.AnswerHeld();
    CHECK(OutcomeOf(first.get()) == "answered");
  }
  SUBCASE("or that the holder is gone") {
    fixture.entries[1]->manager->SetReachableEntries(
        {{"entry-1", "entry-1-1"}});
    const HttpResponse repeat =
        fixture.Send(RequestFixture::Payment("held"), 1);
    CHECK(repeat.status == 409);
    CHECK(OutcomeOf(repeat) == "unknown");
    fixture.executor.AnswerHeld();
    CHECK(OutcomeOf(first.get()) == "answered");
  }
  CHECK(fixture.executor.runs("held") == 1);
}

TEST_CASE("a payment without an answer in time stays unknown") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kHolds);
  const HttpResponse first =
      fixture.Send(RequestFixture::Payment("late", "400"));
  CHECK(OutcomeOf(first) == "unknown");
  const HttpResponse repeat =
      fixture.Send(RequestFixture::Payment("late", "300"));
  CHECK(OutcomeOf(repeat) == "unknown");
  CHECK(fixture.executor.runs("late") == 1);
  CHECK(fixture.log.Count("released") == 0);
}

TEST_CASE("a payment that fails at the executor is not sent again") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kFails);
  const HttpResponse first = fixture.Send(RequestFixture::Payment("failed"));
  CHECK(first.status == 500);
  CHECK(OutcomeOf(first) == "answered");
  CHECK(fixture.Send(RequestFixture::Payment("failed")).status == 500);
  CHECK(fixture.executor.runs("failed") == 1);
}

TEST_CASE("a payment that every executor refuses is released") {
  RequestFixture fixture;
  fixture.executor.set_mode(ExecutorMode::kRefuses);
  const HttpResponse first =
      fixture.Send(RequestFixture::Payment("refused", "600"));
  CHECK(OutcomeOf(first) == "not-run");
  REQUIRE(WaitUntil([&] { return fixture.log.Count("released") == 1; }));
  CHECK(fixture.executor.runs("refused") == 0);

  fixture.executor.set_mode(ExecutorMode::kAnswers);
  REQUIRE(WaitUntil([&] {
    const HttpResponse again =
        fixture.Send(RequestFixture::Payment("refused", "2000"));
    return OutcomeOf(again) == "answered";
  }));
  CHECK(fixture.executor.runs("refused") == 1);
}

TEST_CASE("lost replies of the log neither double nor lose a payment") {
  RequestFixture fixture;
  fixture.log.set_mode(LogMode::kLosesReplies);
  const HttpResponse response = fixture.Send(RequestFixture::Payment("lost"));
  CHECK(OutcomeOf(response) == "answered");
  CHECK(fixture.executor.runs("lost") == 1);
}

TEST_CASE("with the log down payments are refused and the rest goes on") {
  RequestFixture fixture;
  const HttpResponse before = fixture.Send(RequestFixture::Payment("before"));
  CHECK(OutcomeOf(before) == "answered");
  fixture.log.set_mode(LogMode::kDown);
  // Until the silence of the log is noticed, a claim may still be tried.
  REQUIRE(WaitUntil([&] {
    const HttpResponse response =
        fixture.Send(RequestFixture::Payment("down", "100"));
    CHECK(OutcomeOf(response) == "not-run");
    return response.body.find("log service is down") != std::string::npos;
  }));
  const HttpResponse refused =
      fixture.Send(RequestFixture::Payment("down-too"));
  CHECK(refused.status == 503);
  CHECK(OutcomeOf(refused) == "not-run");
  CHECK_FALSE(refused.headers.Value("Retry-After").empty());
  CHECK(fixture.executor.runs("down-too") == 0);

  // An earlier request of the key may stand in the part that can't be read.
  HttpRequest repeat = RequestFixture::Payment("down-too");
  repeat.headers.Set("Thornplank-Repeat", "1");
  const HttpResponse repeated = fixture.Send(std::move(repeat));
  CHECK(OutcomeOf(repeated) == "unknown");
  CHECK_FALSE(repeated.headers.Value("Retry-After").empty());

  const HttpResponse known = fixture.Send(RequestFixture::Payment("before"));
  CHECK(OutcomeOf(known) == "answered");
  const HttpResponse idempotent = fixture.Send(RequestFixture::Idempotent());
  CHECK(OutcomeOf(idempotent) == "answered");

  fixture.log.set_mode(LogMode::kWorks);
  REQUIRE(WaitUntil([&] {
    return OutcomeOf(fixture.Send(RequestFixture::Payment("after"))) ==
           "answered";
  }));
}

TEST_CASE("a claim that is not seen in time is given up for good") {
  RequestFixture fixture;
  LogMode mode = LogMode::kUnreadable;
  SUBCASE("with its append confirmed") { mode = LogMode::kUnreadable; }
  SUBCASE("with the reply lost too") { mode = LogMode::kTakesUnseen; }
  fixture.log.set_mode(mode);
  const HttpResponse response =
      fixture.Send(RequestFixture::Payment("unseen", "150"));
  CHECK(OutcomeOf(response) == "not-run");
  fixture.log.set_mode(LogMode::kWorks);
  REQUIRE(WaitUntil([&] { return fixture.log.Count("released") == 1; }));
  RequestManager& manager = *fixture.entries[0]->manager;
  REQUIRE(WaitUntil([&] { return manager.next_claims_offset() >= 2; }));
  CHECK(fixture.executor.runs("unseen") == 0);
  // The writer may still count the log as down, and refuse; nothing else.
  REQUIRE(WaitUntil([&] {
    const std::string outcome =
        OutcomeOf(fixture.Send(RequestFixture::Payment("unseen")));
    CHECK(outcome != "unknown");
    return outcome == "answered";
  }));
  CHECK(fixture.executor.runs("unseen") == 1);
}

}  // namespace
}  // namespace thornplank::test
