// Orders about gangs as worker calls, with answers lost, late and refused.
#include <doctest/doctest.h>

#include "fake_workers.h"
#include "jobs/gang_executor.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using Kind = WorkerCall::Kind;

class Rig {
 public:
  Rig() : executor(1, LeaseSettings{}, 1) {
    executor.SetWorkers(WorkerList(2), now);
  }

  // Sends what is due and feeds the answers, until nothing is due.
  void Settle() {
    for (;;) {
      const std::vector<WorkerCall> calls = executor.NextCalls(now);
      if (calls.empty()) return;
      for (const WorkerCall& call : calls) Finish(call, fake.Answer(call));
    }
  }

  void Finish(const WorkerCall& call, const FakeAnswer& answer) {
    const WorkerEvents more = executor.CallDone(
        call, answer.report, answer.refusal, "in the test", now);
    events.insert(events.end(), more.begin(), more.end());
  }

  void Run(milliseconds time) {
    for (const Time end = now + time; now < end; now += milliseconds(50)) {
      Settle();
    }
  }

  void Grant(const std::string& gang, const Json& task = Json()) {
    const GrantGang action{
        "job", gang, {{"w1", gang + "/0", 4}, {"w2", gang + "/1", 4}}, ""};
    const WorkerEvents more = executor.Grant(action, "north", task, now);
    events.insert(events.end(), more.begin(), more.end());
  }

  int Fared(MemberOutcome outcome) const {
    int count = 0;
    for (const WorkerEvent& event : events) {
      const auto* fared = std::get_if<MemberFared>(&event);
      if (fared != nullptr && fared->outcome == outcome) ++count;
    }
    return count;
  }

  template <typename Wanted>
  const Wanted* Find() const {
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
  Rig rig;
  rig.Grant("g");
  rig.Settle();
  REQUIRE(rig.fake.calls.size() >= 4);
  CHECK(rig.fake.calls[0].kind == Kind::kFence);
  CHECK(rig.fake.calls[1].kind == Kind::kFence);
  CHECK(rig.Fared(MemberOutcome::kConfirmed) == 2);
  CHECK(rig.fake.StatesOf("job") ==
        std::vector<LeaseState>(2, LeaseState::kThrottled));
  rig.executor.Lift("g");
  rig.Settle();
  CHECK(rig.fake.StatesOf("job") ==
        std::vector<LeaseState>(2, LeaseState::kRunning));
}

TEST_CASE("nothing but the fence goes to a worker that has not answered it") {
  Rig rig;
  rig.fake.silent.insert("w1");
  rig.Grant("g");
  rig.Run(milliseconds(2000));
  int asked = 0;
  for (const WorkerCall& call : rig.fake.calls) {
    if (call.worker != "w1") continue;
    CHECK(call.kind == Kind::kFence);
    ++asked;
  }
  CHECK(asked >= 2);
}

TEST_CASE("a grant whose reply is lost is repeated and held once") {
  Rig rig;
  rig.Settle();
  rig.fake.losing_replies.insert("w1");
  rig.Grant("g");
  rig.Settle();
  rig.fake.losing_replies.clear();
  rig.Run(milliseconds(500));
  CHECK(rig.fake.count(Kind::kGrant) == 3);
  CHECK(rig.Fared(MemberOutcome::kConfirmed) == 2);
  CHECK(rig.fake.StatesOf("job").size() == 2);
}

TEST_CASE("a grant that never gets an answer is refused and then stopped") {
  Rig rig;
  rig.Settle();
  rig.fake.losing_replies.insert("w1");
  rig.Grant("g");
  rig.Run(milliseconds(1000));
  CHECK(rig.Fared(MemberOutcome::kRefused) == 1);
  rig.fake.losing_replies.clear();
  rig.Run(milliseconds(3000));
  CHECK(rig.fake.workers["w1"].leases.empty());
}

TEST_CASE("a grant that arrives after its stop starts nothing") {
  Rig rig;
  rig.Settle();
  rig.Grant("g");
  std::vector<WorkerCall> late = rig.executor.NextCalls(rig.now);
  REQUIRE(late.size() == 2);
  for (const WorkerCall& call : late) {
    rig.Finish(call, {std::nullopt, WorkerRefusal::kUnreachable});
  }
  rig.executor.Stop("g");
  rig.Run(milliseconds(500));
  CHECK(rig.Fared(MemberOutcome::kGone) == 2);
  for (const WorkerCall& call : late) {
    CHECK(rig.fake.Answer(call).refusal == WorkerRefusal::kStaleToken);
  }
  CHECK(rig.fake.StatesOf("job").empty());
}

TEST_CASE("a member that has no room is refused at once") {
  Rig rig;
  rig.Settle();
  rig.fake.refusing_grants.insert("w2");
  rig.Grant("g");
  rig.Settle();
  CHECK(rig.Fared(MemberOutcome::kConfirmed) == 1);
  CHECK(rig.Fared(MemberOutcome::kRefused) == 1);
  CHECK(rig.executor.leases() == 1);
}

TEST_CASE("leases are renewed in one call a worker and interval") {
  Rig rig;
  rig.Grant("g");
  rig.Grant("h");
  rig.Settle();
  const int before = rig.fake.count(Kind::kRenew);
  rig.Run(milliseconds(20000));
  const int renewals = rig.fake.count(Kind::kRenew) - before;
  CHECK(renewals >= 8);
  CHECK(renewals <= 12);
  CHECK(rig.fake.calls.back().lease_ids.size() == 2);
}

TEST_CASE("a checkpoint under way is asked for soon, and ever more rarely") {
  Rig rig;
  rig.Grant("g");
  rig.Settle();
  rig.executor.Lift("g");
  rig.Settle();
  rig.executor.Checkpoint("g");
  rig.Settle();
  const int before = rig.fake.count(Kind::kRenew);
  rig.Run(milliseconds(1000));
  const int soon = rig.fake.count(Kind::kRenew) - before;
  CHECK(soon >= 2 * 6);
  rig.Run(milliseconds(60000));
  CHECK(rig.fake.count(Kind::kRenew) - before <= 2 * 40);
}

TEST_CASE("a worker is asked when a task should end, and then as usual") {
  Rig rig;
  rig.Grant("g", {{"run_ms", 700}});
  rig.Settle();
  rig.executor.Lift("g");
  rig.Settle();
  const auto renewals = [&rig] {
    int count = 0;
    for (const WorkerCall& call : rig.fake.calls) {
      if (call.worker == "w1" && call.kind == Kind::kRenew) ++count;
    }
    return count;
  };
  const int before = renewals();
  rig.Run(milliseconds(650));
  CHECK(renewals() == before);
  rig.Run(milliseconds(200));
  CHECK(renewals() == before + 1);
  // One that takes longer than it said costs no further calls.
  rig.Run(milliseconds(2000));
  CHECK(renewals() == before + 1);
}

TEST_CASE("the first lease of an idle worker is renewed in time") {
  Rig rig;
  rig.Run(milliseconds(1000));
  rig.Grant("g");
  rig.Run(milliseconds(5000));
  CHECK(rig.fake.count(Kind::kRenew) == 2);
}

TEST_CASE("a stop that hangs does not let other leases lapse") {
  Rig rig;
  rig.Grant("g");
  rig.Grant("h");
  rig.Settle();
  rig.executor.Stop("g");
  int renewed = 0;
  for (int i = 0; i < 200; ++i, rig.now += milliseconds(50)) {
    for (const WorkerCall& call : rig.executor.NextCalls(rig.now)) {
      FakeAnswer answer = rig.fake.Answer(call);
      if (call.kind == Kind::kRenew) ++renewed;
      // The worker answers, but the task does not stop.
      if (call.kind == Kind::kStop) {
        for (const std::string& id : call.lease_ids) {
          LeaseReport lease;
          lease.lease_id = id;
          lease.state = LeaseState::kRunning;
          answer.report->leases.push_back(lease);
        }
      }
      rig.Finish(call, answer);
    }
  }
  CHECK(renewed >= 4);
}

TEST_CASE("a silent worker is lost within its bound and not renewed") {
  Rig rig;
  rig.Grant("g");
  rig.Settle();
  const Time silent_from = rig.now;
  rig.fake.silent.insert("w1");
  Time lost_at = rig.now;
  while (rig.Find<WorkerWentSilent>() == nullptr &&
         rig.now < silent_from + std::chrono::seconds(30)) {
    lost_at = rig.now;
    rig.Run(milliseconds(50));
  }
  const auto* silent = rig.Find<WorkerWentSilent>();
  REQUIRE(silent != nullptr);
  CHECK(lost_at - silent_from <= milliseconds(8400));
  const LeaseSettings settings;
  const Time extended_by = silent->leases_lapse_at - settings.term;
  CHECK(extended_by >= silent_from);
  const int renewals = rig.fake.count(Kind::kRenew);
  rig.executor.Stop("g");
  rig.Run(milliseconds(20000));
  // w2's lease was stopped, w1 was only asked.
  CHECK(rig.fake.count(Kind::kRenew) == renewals);
  CHECK(rig.executor.leases() == 0);
  rig.fake.silent.clear();
  rig.Run(milliseconds(3000));
  CHECK(rig.Find<WorkerCameBack>() != nullptr);
}

TEST_CASE("a worker that refuses the token is told, and lost by the bound") {
  Rig rig;
  rig.Grant("g");
  rig.Settle();
  rig.fake.workers["w1"].newest = {2, 0};
  rig.Run(milliseconds(8450));
  REQUIRE(rig.Find<TokenRefused>() != nullptr);
  CHECK(rig.Find<TokenRefused>()->worker == "w1");
  REQUIRE(rig.Find<WorkerWentSilent>() != nullptr);
  CHECK(rig.Find<WorkerWentSilent>()->worker == "w1");
}

}  // namespace
}  // namespace thornplank
