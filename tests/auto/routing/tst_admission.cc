// Refusal of requests that would miss their deadline, and refusals as demand.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "routing/admission_margin.h"
#include "routing/request_router.h"
#include "routing_fixtures.h"

namespace thornplank {
namespace {

using routing_test::ActionsOfType;
using routing_test::At;
using routing_test::MakeAccount;
using routing_test::MakeExecutors;
using routing_test::MakeRequest;
using routing_test::MakeResult;

// A router whose executors have one slot each and a service time of 100 ms; all
// are busy from At(100) on.
struct Busy {
  Busy(int executors, int max_queued) : router(RouterOptions{}) {
    AccountLimits limits = MakeAccount("a");
    limits.max_queued = max_queued;
    router.SetAccountLimits({limits}, At(0));
    router.SetExecutors(MakeExecutors(executors, 1), At(0));
    router.SetLiveEntries("entry-1", {}, At(0));
    const SendAttempt first = Submit("first", 9000, 0).at(0);
    router.CompleteAttempt("first", first.executor,
                           MakeResult(AttemptOutcome::kAnswered, 100), At(100));
    for (int i = 0; i < executors; ++i) {
      running = Submit("running-" + std::to_string(i), 9000, 100).at(0);
    }
  }

  std::vector<SendAttempt> Submit(const std::string& id, int deadline,
                                  int now) {
    return ActionsOfType<SendAttempt>(
        router.Submit(MakeRequest(id, "a", At(deadline)), At(now)));
  }

  RequestRouter router;
  SendAttempt running;  // the last attempt sent
};

TEST_CASE(
    "a slot is not used for a request that would be late while others wait") {
  Busy busy(1, 100);
  busy.Submit("short", 1000, 100);
  busy.Submit("long", 9000, 100);
  const RoutingActions actions = busy.router.CompleteAttempt(
      busy.running.request_id, busy.running.executor,
      MakeResult(AttemptOutcome::kAnswered, 100), At(930));
  CHECK(ActionsOfType<FinishNotRun>(actions).at(0).request_id == "short");
  CHECK(ActionsOfType<SendAttempt>(actions).at(0).request_id == "long");
}

TEST_CASE("requests that can no longer meet their deadline are refused early") {
  Busy busy(10, 1000);
  for (int i = 0; i < 100; ++i) {
    busy.Submit("r" + std::to_string(i), 2000, 100);
  }
  CHECK(busy.router.demand().accounts.at(0).queued == 100);
  busy.router.SetExecutors(MakeExecutors(1, 1), At(110));
  const size_t refused =
      ActionsOfType<FinishNotRun>(busy.router.Tick(At(300))).size();
  CHECK(refused > 60);
  CHECK(refused < 95);
}

TEST_CASE("refused requests count as demand and decay") {
  Busy busy(1, 1);
  for (int i = 0; i < 12; ++i) {
    busy.Submit("r" + std::to_string(i), 9000, 100);
  }
  CHECK(busy.router.demand().accounts.at(0).queued == 12);
  CHECK(busy.router.NextTickTime().has_value());
  busy.router.Tick(At(4100));
  CHECK(busy.router.demand().accounts.at(0).queued == 2);
}

TEST_CASE("the margin depends on the share of late refusals") {
  struct Row {
    int late_per_thousand;
    double least;
    double most;
  };
  const Row rows[] = {{0, 1.0, 1.0}, {1, 1.0, 1.1}, {20, 2.0, 4.0}};
  for (const Row& row : rows) {
    CAPTURE(row.late_per_thousand);
    AdmissionMargin margin;
    for (int i = 0; i < 10000; ++i) {
      if (i % 1000 < row.late_per_thousand) {
        margin.RecordLateRefusal();
      } else {
        margin.RecordSent();
      }
    }
    CHECK(margin.factor() >= row.least);
    CHECK(margin.factor() <= row.most);
  }
}

}  // namespace
}  // namespace thornplank
