// GangExecutor with fake workers whose replies are lost, late or refusals.
#include <doctest/doctest.h>

#include "fake_workers.h"
#include "jobs/gang_executor.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using Kind = WorkerCall::Kind;

class ExecutorHarness {
 public:
  ExecutorHarness() : executor(1, LeaseSettings{}, 1) {
    executor.SetWorkers(WorkerList(2), now);
  }

  // Delivers the due calls and their answers until no call is due.
  void RunUntilIdle() {
    for (;;) {
      const std::vector<WorkerCall> calls = executor.NextCalls(now);
      if (calls.empty()) return;
      for (const WorkerCall& call : calls) Deliver(call, fake.Answer(call));
    }
  }

  void Deliver(const WorkerCall& call, const FakeAnswer& answer) {
    const WorkerEvents more = executor.HandleCallResult(
        call, answer.report, answer.refusal, "in the test", now);
    events.insert(events.end(), more.begin(), more.end());
  }

  void Run(milliseconds time) {
    for (const Time end = now + time; now < end; now += milliseconds(50)) {
      RunUntilIdle();
    }
  }

  void Grant(const std::string& gang, const Json& task = Json()) {
    const GrantGang action{
        "job", gang, {{"w1", gang + "/0", 4}, {"w2", gang + "/1", 4}}, ""};
    const WorkerEvents more = executor.Grant(action, "north", task, now);
    events.insert(events.end(), more.begin(), more.end());
  }

  int CountOutcomes(MemberOutcome outcome) const {
    int count = 0;
    for (const WorkerEvent& event : events) {
      const auto* found = std::get_if<MemberOutcomeEvent>(&event);
      if (found != nullptr && found->outcome == outcome) ++count;
    }
    return count;
  }

  template <typename Wanted>
  const Wanted* FindEvent() const {
    for (const WorkerEvent& event : events) {
      if (const auto* wanted = std::get_if<Wanted>(&event)) return wanted;
    }
    return nullptr;
  }

  FakeWorkers fake;
  Time now{std::chrono::hours(1)};
  GangExecutor executor;
  WorkerEvents events;
};

TEST_CASE("a worker is fenced before anything is granted there") {
  ExecutorHarness harness;
  harness.Grant("g");
  harness.RunUntilIdle();
  REQUIRE(harness.fake.calls.size() >= 4);
  CHECK(harness.fake.calls[0].kind == Kind::kFence);
  CHECK(harness.fake.calls[1].kind == Kind::kFence);
  CHECK(harness.CountOutcomes(MemberOutcome::kConfirmed) == 2);
  CHECK(harness.fake.StatesOf("job") ==
        std::vector<LeaseState>(2, LeaseState::kThrottled));
  harness.executor.LiftThrottle("g");
  harness.RunUntilIdle();
  CHECK(harness.fake.StatesOf("job") ==
        std::vector<LeaseState>(2, LeaseState::kRunning));
}

TEST_CASE("a worker that has not answered the fence gets no other call") {
  ExecutorHarness harness;
  harness.fake.silent.insert("w1");
  harness.Grant("g");
  harness.Run(milliseconds(2000));
  int fences = 0;
  for (const WorkerCall& call : harness.fake.calls) {
    if (call.worker != "w1") continue;
    CHECK(call.kind == Kind::kFence);
    ++fences;
  }
  CHECK(fences >= 2);
}

TEST_CASE("a grant whose reply is lost is repeated and held once") {
  ExecutorHarness harness;
  harness.RunUntilIdle();
  harness.fake.losing_replies.insert("w1");
  harness.Grant("g");
  harness.RunUntilIdle();
  harness.fake.losing_replies.clear();
  harness.Run(milliseconds(500));
  CHECK(harness.fake.count(Kind::kGrant) == 3);
  CHECK(harness.CountOutcomes(MemberOutcome::kConfirmed) == 2);
  CHECK(harness.fake.StatesOf("job").size() == 2);
}

TEST_CASE("a grant that never gets an answer is refused and then stopped") {
  ExecutorHarness harness;
  harness.RunUntilIdle();
  harness.fake.losing_replies.insert("w1");
  harness.Grant("g");
  harness.Run(milliseconds(1000));
  CHECK(harness.CountOutcomes(MemberOutcome::kRefused) == 1);
  harness.fake.losing_replies.clear();
  harness.Run(milliseconds(3000));
  CHECK(harness.fake.workers["w1"].leases.empty());
}

TEST_CASE("a grant that arrives after its stop starts nothing") {
  ExecutorHarness harness;
  harness.RunUntilIdle();
  harness.Grant("g");
  std::vector<WorkerCall> late = harness.executor.NextCalls(harness.now);
  REQUIRE(late.size() == 2);
  for (const WorkerCall& call : late) {
    harness.Deliver(call, {std::nullopt, WorkerRefusal::kUnreachable});
  }
  harness.executor.Stop("g");
  harness.Run(milliseconds(500));
  CHECK(harness.CountOutcomes(MemberOutcome::kGone) == 2);
  for (const WorkerCall& call : late) {
    CHECK(harness.fake.Answer(call).refusal == WorkerRefusal::kStaleToken);
  }
  CHECK(harness.fake.StatesOf("job").empty());
}

TEST_CASE("a member that has no room is refused at once") {
  ExecutorHarness harness;
  harness.RunUntilIdle();
  harness.fake.refusing_grants.insert("w2");
  harness.Grant("g");
  harness.RunUntilIdle();
  CHECK(harness.CountOutcomes(MemberOutcome::kConfirmed) == 1);
  CHECK(harness.CountOutcomes(MemberOutcome::kRefused) == 1);
  CHECK(harness.executor.leases() == 1);
}

TEST_CASE("leases are renewed in one call per worker and interval") {
  ExecutorHarness harness;
  harness.Grant("g");
  harness.Grant("h");
  harness.RunUntilIdle();
  const int before = harness.fake.count(Kind::kRenew);
  harness.Run(milliseconds(20000));
  const int renewals = harness.fake.count(Kind::kRenew) - before;
  CHECK(renewals >= 8);
  CHECK(renewals <= 12);
  CHECK(harness.fake.calls.back().lease_ids.size() == 2);
}

TEST_CASE("a worker is polled at growing intervals during a checkpoint") {
  ExecutorHarness harness;
  harness.Grant("g");
  harness.RunUntilIdle();
  harness.executor.LiftThrottle("g");
  harness.RunUntilIdle();
  harness.executor.Checkpoint("g");
  harness.RunUntilIdle();
  const int before = harness.fake.count(Kind::kRenew);
  harness.Run(milliseconds(1000));
  const int soon = harness.fake.count(Kind::kRenew) - before;
  CHECK(soon >= 2 * 6);
  harness.Run(milliseconds(60000));
  CHECK(harness.fake.count(Kind::kRenew) - before <= 2 * 40);
}

TEST_CASE("a worker is renewed at the expected end of its task, once") {
  ExecutorHarness harness;
  harness.Grant("g", {{"run_ms", 700}});
  harness.RunUntilIdle();
  harness.executor.LiftThrottle("g");
  harness.RunUntilIdle();
  const auto renewals = [&harness] {
    int count = 0;
    for (const WorkerCall& call : harness.fake.calls) {
      if (call.worker == "w1" && call.kind == Kind::kRenew) ++count;
    }
    return count;
  };
  const int before = renewals();
  harness.Run(milliseconds(650));
  CHECK(renewals() == before);
  harness.Run(milliseconds(200));
  CHECK(renewals() == before + 1);
  // A task that takes longer than its run time causes no further calls.
  harness.Run(milliseconds(2000));
  CHECK(renewals() == before + 1);
}

TEST_CASE("the first lease of an idle worker is renewed in time") {
  ExecutorHarness harness;
  harness.Run(milliseconds(1000));
  harness.Grant("g");
  harness.Run(milliseconds(5000));
  CHECK(harness.fake.count(Kind::kRenew) == 2);
}

TEST_CASE("a stop that hangs does not let other leases lapse") {
  ExecutorHarness harness;
  harness.Grant("g");
  harness.Grant("h");
  harness.RunUntilIdle();
  harness.executor.Stop("g");
  int renewed = 0;
  for (int i = 0; i < 200; ++i, harness.now += milliseconds(50)) {
    for (const WorkerCall& call : harness.executor.NextCalls(harness.now)) {
      FakeAnswer answer = harness.fake.Answer(call);
      if (call.kind == Kind::kRenew) ++renewed;
      // The worker answers, but the task keeps running.
      if (call.kind == Kind::kStop) {
        for (const std::string& id : call.lease_ids) {
          LeaseReport lease;
          lease.lease_id = id;
          lease.state = LeaseState::kRunning;
          answer.report->leases.push_back(lease);
        }
      }
      harness.Deliver(call, answer);
    }
  }
  CHECK(renewed >= 4);
}

TEST_CASE("a silent worker is lost within the stated time and not renewed") {
  ExecutorHarness harness;
  harness.Grant("g");
  harness.RunUntilIdle();
  const Time silent_from = harness.now;
  harness.fake.silent.insert("w1");
  Time lost_at = harness.now;
  while (harness.FindEvent<WorkerLostEvent>() == nullptr &&
         harness.now < silent_from + std::chrono::seconds(30)) {
    lost_at = harness.now;
    harness.Run(milliseconds(50));
  }
  const auto* silent = harness.FindEvent<WorkerLostEvent>();
  REQUIRE(silent != nullptr);
  CHECK(lost_at - silent_from <= milliseconds(8400));
  const LeaseSettings settings;
  const Time extended_by = silent->leases_lapse_at - settings.term;
  CHECK(extended_by >= silent_from);
  const int renewals = harness.fake.count(Kind::kRenew);
  harness.executor.Stop("g");
  harness.Run(milliseconds(20000));
  // The lease at w2 was stopped, and w1 got only fence calls.
  CHECK(harness.fake.count(Kind::kRenew) == renewals);
  CHECK(harness.executor.leases() == 0);
  harness.fake.silent.clear();
  harness.Run(milliseconds(3000));
  CHECK(harness.FindEvent<WorkerRecoveredEvent>() != nullptr);
}

TEST_CASE("a worker that refuses the token is reported, and lost in time") {
  ExecutorHarness harness;
  harness.Grant("g");
  harness.RunUntilIdle();
  harness.fake.workers["w1"].newest = {2, 0};
  harness.Run(milliseconds(8450));
  REQUIRE(harness.FindEvent<TokenRefusedEvent>() != nullptr);
  CHECK(harness.FindEvent<TokenRefusedEvent>()->worker == "w1");
  REQUIRE(harness.FindEvent<WorkerLostEvent>() != nullptr);
  CHECK(harness.FindEvent<WorkerLostEvent>()->worker == "w1");
}

}  // namespace
}  // namespace thornplank
