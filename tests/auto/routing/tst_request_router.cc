// Lifecycle of a request in the router: admission, sending, retries, final
// action.
#include "routing/request_router.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

#include "routing_fixtures.h"

namespace thornplank {
namespace {

using routing_test::ActionsOfType;
using routing_test::At;
using routing_test::MakeAccount;
using routing_test::MakeExecutors;
using routing_test::MakeRequest;
using routing_test::MakeResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A router of a single entry, by default with the account "a".
struct Fixture {
  explicit Fixture(int executors, int slots = 8,
                   std::vector<AccountLimits> accounts = {MakeAccount("a")})
      : router(Options()) {
    router.SetAccountLimits(accounts, At(0));
    router.SetExecutors(MakeExecutors(executors, slots), At(0));
    router.SetLiveEntries("entry-1", {"entry-1"}, At(0));
  }

  static RouterOptions Options() {
    RouterOptions options;
    options.failure_domain = "domain-1";
    return options;
  }

  RequestRouter router;
};

TEST_CASE(
    "a request is sent within the failure domain and its answer ends it") {
  Fixture fixture(8);
  const auto sends = ActionsOfType<SendAttempt>(
      fixture.router.Submit(MakeRequest("r", "a", At(1000)), At(0)));
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].attempt == 1);
  CHECK((sends[0].executor == "executor-101" ||
         sends[0].executor == "executor-105"));
  const RoutingActions done = fixture.router.CompleteAttempt(
      "r", sends[0].executor, MakeResult(AttemptOutcome::kAnswered), At(10));
  REQUIRE(done.size() == 1);
  CHECK(std::get<FinishAnswered>(done[0]).request_id == "r");
  CHECK(fixture.router.demand().accounts.empty());
}

TEST_CASE("an outcome without a matching attempt in flight is ignored") {
  Fixture fixture(2);
  const auto sends = ActionsOfType<SendAttempt>(
      fixture.router.Submit(MakeRequest("r", "a", At(1000)), At(0)));
  const std::string other =
      sends[0].executor == "executor-100" ? "executor-101" : "executor-100";
  const AttemptResult answered = MakeResult(AttemptOutcome::kAnswered);
  CHECK(fixture.router.CompleteAttempt("r", other, answered, At(5)).empty());
  CHECK(fixture.router.CompleteAttempt("x", other, answered, At(5)).empty());
  CHECK(fixture.router.Submit(MakeRequest("r", "a", At(1000)), At(5)).empty());
  CHECK(fixture.router.CompleteAttempt("r", sends[0].executor, answered, At(6))
            .size() == 1);
  CHECK(fixture.router.CompleteAttempt("r", sends[0].executor, answered, At(7))
            .empty());
}

TEST_CASE("requests that cannot run are refused at once") {
  Fixture fixture(1, 1, {MakeAccount("a"), [] {
                           AccountLimits limits = MakeAccount("closed");
                           limits.borrowing = false;
                           return limits;
                         }()});
  // One answer after 100 ms sets the estimated service time.
  auto sends = ActionsOfType<SendAttempt>(
      fixture.router.Submit(MakeRequest("first", "a", At(9000)), At(0)));
  fixture.router.CompleteAttempt("first", sends[0].executor,
                                 MakeResult(AttemptOutcome::kAnswered, 100),
                                 At(100));
  fixture.router.Submit(MakeRequest("running", "a", At(9000)), At(100));
  for (int i = 0; i < 20; ++i) {
    fixture.router.Submit(
        MakeRequest("queued-" + std::to_string(i), "a", At(1500)), At(100));
  }
  struct Row {
    const char* account;
    const char* service;
    int deadline;
    bool admitted;
  };
  const Row rows[] = {
      {"a", "claims", 9000, true},        {"a", "claims", 1500, false},
      {"a", "claims", 100, false},        {"a", "unknown", 9000, false},
      {"unknown", "claims", 9000, false}, {"closed", "claims", 9000, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.account);
    CAPTURE(row.deadline);
    RequestInfo request = MakeRequest("probe", row.account, At(row.deadline));
    request.service = row.service;
    const std::optional<Refusal> refusal =
        fixture.router.CheckAdmission(request, At(100));
    CHECK(refusal.has_value() != row.admitted);
  }
}

TEST_CASE("Retry-After has jitter and grows with the backlog") {
  const auto widest = [](int queued) {
    AccountLimits limits = MakeAccount("a");
    limits.max_queued = queued;
    Fixture fixture(1, 1, {limits});
    auto sends = ActionsOfType<SendAttempt>(
        fixture.router.Submit(MakeRequest("first", "a", At(600000)), At(0)));
    fixture.router.CompleteAttempt("first", sends[0].executor,
                                   MakeResult(AttemptOutcome::kAnswered, 100),
                                   At(100));
    for (int i = 0; i <= queued; ++i) {
      fixture.router.Submit(
          MakeRequest("q" + std::to_string(i), "a", At(600000)), At(100));
    }
    Duration least = seconds(1000);
    Duration most{};
    for (int i = 0; i < 50; ++i) {
      const std::optional<Refusal> refusal = fixture.router.CheckAdmission(
          MakeRequest("late" + std::to_string(i), "a", At(600000)), At(100));
      REQUIRE(refusal.has_value());
      least = std::min(least, refusal->retry_after);
      most = std::max(most, refusal->retry_after);
    }
    CHECK(most - least > milliseconds(500));
    return most;
  };
  CHECK(widest(200) > widest(20));
}

TEST_CASE("a request in flight at its deadline ends once, as unknown") {
  Fixture fixture(2);
  const auto sends = ActionsOfType<SendAttempt>(
      fixture.router.Submit(MakeRequest("r", "a", At(100), false), At(0)));
  CHECK(fixture.router.NextTickTime() <= At(100));
  const RoutingActions ended = fixture.router.Tick(At(100));
  CHECK(ActionsOfType<FinishUnknown>(ended).size() == 1);
  const RoutingActions late = fixture.router.CompleteAttempt(
      "r", sends[0].executor, MakeResult(AttemptOutcome::kAnswered, 105),
      At(105));
  REQUIRE(late.size() == 1);
  CHECK(std::get<DropAnswer>(late[0]).request_id == "r");
}

TEST_CASE("a queued request ends as not run") {
  Fixture fixture(1, 1);
  fixture.router.Submit(MakeRequest("running", "a", At(9000)), At(0));
  SUBCASE("when its caller is gone") {
    fixture.router.Submit(MakeRequest("r", "a", At(9000)), At(0));
    CHECK(
        ActionsOfType<FinishNotRun>(fixture.router.Cancel("r", At(1))).size() ==
        1);
    CHECK(fixture.router.Cancel("r", At(2)).empty());
  }
  SUBCASE("when its deadline comes") {
    fixture.router.Submit(MakeRequest("r", "a", At(50)), At(0));
    CHECK(ActionsOfType<FinishNotRun>(fixture.router.Tick(At(50))).size() == 1);
  }
  CHECK(fixture.router.demand().accounts[0].queued == 0);
}

TEST_CASE(
    "the last slot is reserved for an active account below its guarantee") {
  RequestRouter router(RouterOptions{});
  router.SetAccountLimits({MakeAccount("a", 4), MakeAccount("b")}, At(0));
  router.SetExecutors(MakeExecutors(2, 8), At(0));
  router.SetLiveEntries("entry-1", {}, At(0));
  const auto sent = [&router](const std::string& id, const char* account) {
    return ActionsOfType<SendAttempt>(
               router.Submit(MakeRequest(id, account, At(9000)), At(1)))
        .size();
  };
  CHECK(sent("a-1", "a") == 1);
  size_t borrowed = 0;
  for (int i = 0; i < 20; ++i) borrowed += sent("b-" + std::to_string(i), "b");
  CHECK(borrowed == 14);
  CHECK(sent("a-2", "a") == 1);
  CHECK(sent("a-3", "a") == 0);
}

TEST_CASE("a total outage does not multiply attempts") {
  struct Row {
    AttemptOutcome outcome;
    double percent;
  };
  const Row rows[] = {
      {AttemptOutcome::kFailed, 10},  {AttemptOutcome::kUnknown, 10},
      {AttemptOutcome::kNotSent, 10}, {AttemptOutcome::kFailed, 0},
      {AttemptOutcome::kUnknown, 50},
  };
  constexpr int kRequests = 2000;
  for (const Row& row : rows) {
    CAPTURE(static_cast<int>(row.outcome));
    CAPTURE(row.percent);
    AccountLimits limits = MakeAccount("a");
    limits.retry_budget_percent = row.percent;
    Fixture fixture(50, 8, {limits});
    int attempts = 0;
    int finals = 0;
    for (int i = 0; i < kRequests; ++i) {
      const Time now = At(i * 5);
      RoutingActions actions = fixture.router.Tick(now);
      const RoutingActions submitted = fixture.router.Submit(
          MakeRequest("r" + std::to_string(i), "a", now + seconds(10)), now);
      actions.insert(actions.end(), submitted.begin(), submitted.end());
      for (size_t k = 0; k < actions.size(); ++k) {
        const RoutingAction action = actions[k];
        RoutingActions more;
        if (const auto* send = std::get_if<SendAttempt>(&action)) {
          ++attempts;
          more =
              fixture.router.CompleteAttempt(send->request_id, send->executor,
                                             MakeResult(row.outcome, 1), now);
        }
        if (const auto* probe = std::get_if<ProbeExecutor>(&action)) {
          more = fixture.router.HandleProbeResult(
              probe->executor, MakeResult(row.outcome, 1), now);
        }
        finals += std::holds_alternative<FinishAnswered>(action) ||
                  std::holds_alternative<FinishNotRun>(action) ||
                  std::holds_alternative<FinishUnknown>(action);
        actions.insert(actions.end(), more.begin(), more.end());
      }
    }
    MESSAGE("attempts per request: ", 1.0 * attempts / kRequests);
    CHECK(finals == kRequests);
    CHECK(attempts <= kRequests * (1 + row.percent / 100) + 3);
  }
}

TEST_CASE("a retry goes to another executor, even in another failure domain") {
  Fixture fixture(2);
  const auto first = ActionsOfType<SendAttempt>(
      fixture.router.Submit(MakeRequest("r", "a", At(5000)), At(0)));
  CHECK(first.at(0).executor == "executor-101");
  const auto second = ActionsOfType<SendAttempt>(fixture.router.CompleteAttempt(
      "r", "executor-101", MakeResult(AttemptOutcome::kFailed), At(10)));
  CHECK(second.at(0).executor == "executor-100");
  CHECK(second.at(0).attempt == 2);
}

}  // namespace
}  // namespace thornplank
