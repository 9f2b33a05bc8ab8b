// Takeover and planning of one epoch, against workers without sockets.
#include <doctest/doctest.h>

#include <memory>

#include "fake_workers.h"
#include "jobs/coordinator.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using Kind = WorkerCall::Kind;

JobRequest JobOf(const std::string& id, int members) {
  JobRequest job;
  job.spec.id = id;
  job.spec.account = "north";
  job.spec.shape = {members, 8, Adjacency::kAnywhere};
  return job;
}

// A log, its fold and the coordinator that the fold calls for. Records come
// back at once unless `log_down`.
class Rig {
 public:
  Rig() : fold(JobRetention{}) {
    inputs.workers = WorkerList(3);
    AccountGuarantee north;
    north.account = "north";
    inputs.guarantees.push_back(north);
  }

  void Append(const JobStreamRecord& record) {
    if (log_down) return;
    LogRecord entry;
    entry.offset = fold.next_offset();
    entry.time = FromUnixMilliseconds(wall_ms);
    entry.id = std::to_string(entry.offset);
    entry.data = EncodeJobRecord(record);
    const FoldChange change = fold.Fold(entry);
    if (!coordinator) return;
    if (change.kind == FoldChange::Kind::kSubmitted) {
      coordinator->Submit(*fold.jobs().Find(change.job), now);
    }
    if (change.kind == FoldChange::Kind::kCancelled) {
      coordinator->Cancel(change.job, now);
    }
  }

  void BeginEpoch(int64_t number, const std::string& holder) {
    Append(EpochRecord{number, holder, holder + "-1"});
    coordinator = std::make_unique<Coordinator>(number, JobManagerSettings{},
                                                inputs, now);
  }

  void Run(milliseconds time) {
    for (const Time end = now + time; now < end; now += milliseconds(50)) {
      wall_ms += 50;
      for (int turn = 0; turn < 20; ++turn) Turn();
    }
  }

  void Turn() {
    coordinator->Advance(fold, now, FromUnixMilliseconds(wall_ms));
    for (const JobStreamRecord& record : coordinator->TakeRecords()) {
      Append(record);
    }
    for (const WorkerCall& call : coordinator->TakeCalls(now)) {
      const FakeAnswer answer = fake.Answer(call);
      coordinator->CallDone(call, answer.report, answer.refusal, "in the test",
                            now);
    }
  }

  JobPhase PhaseOf(const std::string& id) const {
    return fold.jobs().Find(id)->phase;
  }

  PlanningInputs inputs;
  FakeWorkers fake;
  JobStreamFold fold;
  std::unique_ptr<Coordinator> coordinator;
  Time now{std::chrono::hours(1)};
  int64_t wall_ms = 1000000;
  bool log_down = false;
};

std::vector<LeaseState> All(size_t count, LeaseState state) {
  return std::vector<LeaseState>(count, state);
}

TEST_CASE("a job runs from its submission to its end") {
  Rig rig;
  rig.BeginEpoch(1, "e1");
  rig.Append(SubmittedRecord{JobOf("a", 2)});
  rig.Run(milliseconds(500));
  CHECK(rig.PhaseOf("a") == JobPhase::kRunning);
  CHECK(rig.fake.StatesOf("a") == All(2, LeaseState::kRunning));
  rig.fake.SetAll("a", LeaseState::kFinished);
  rig.Run(milliseconds(6000));
  CHECK(rig.PhaseOf("a") == JobPhase::kFinished);
  CHECK(rig.fake.StatesOf("a").empty());
}

TEST_CASE("a gang with a refused member never runs in part") {
  Rig rig;
  rig.fake.refusing_grants.insert("w2");
  rig.BeginEpoch(1, "e1");
  rig.Append(SubmittedRecord{JobOf("a", 3)});
  for (int i = 0; i < 40; ++i) {
    rig.Run(milliseconds(50));
    for (LeaseState state : rig.fake.StatesOf("a")) {
      CHECK(state == LeaseState::kThrottled);
    }
  }
  CHECK(rig.fake.count(Kind::kLiftThrottle) == 0);
}

TEST_CASE("a cancelled job is stopped and never starts again") {
  Rig rig;
  rig.BeginEpoch(1, "e1");
  rig.Append(SubmittedRecord{JobOf("a", 2)});
  rig.Run(milliseconds(500));
  rig.Append(CancelledRecord{"a", "operator"});
  rig.Run(milliseconds(2000));
  CHECK(rig.PhaseOf("a") == JobPhase::kCancelled);
  CHECK(rig.fake.StatesOf("a").empty());
  CHECK(rig.fake.count(Kind::kGrant) == 2);
}

TEST_CASE("a lost member stops the survivors within the stated bound") {
  Rig rig;
  rig.BeginEpoch(1, "e1");
  rig.Append(SubmittedRecord{JobOf("a", 3)});
  rig.Run(milliseconds(500));
  rig.fake.silent.insert("w1");
  rig.Run(milliseconds(12400));
  CHECK(rig.fake.workers["w2"].leases.empty());
  CHECK(rig.fake.workers["w3"].leases.empty());
}

struct TakeoverCase {
  const char* name;
  // Whether the predecessor's records of the gang reached the stream.
  bool placed_logged;
  // A worker that is silent during the takeover, or "".
  const char* silent;
  JobPhase phase_after;
};

TEST_CASE("a takeover goes on with what runs") {
  const std::vector<TakeoverCase> cases = {
      {"everything is known", true, "", JobPhase::kRunning},
      {"the records were lost with the predecessor", false, "",
       JobPhase::kRunning},
      {"a worker answers late", true, "w1", JobPhase::kRunning},
  };
  for (const TakeoverCase& one : cases) {
    CAPTURE(one.name);
    Rig rig;
    rig.BeginEpoch(1, "e1");
    rig.Append(SubmittedRecord{JobOf("a", 3)});
    rig.log_down = !one.placed_logged;
    rig.Run(milliseconds(500));
    rig.log_down = false;
    if (*one.silent != '\0') rig.fake.silent.insert(one.silent);
    rig.fake.calls.clear();
    rig.BeginEpoch(2, "e2");
    rig.Run(milliseconds(4000));
    rig.fake.silent.clear();
    rig.Run(milliseconds(4000));
    CHECK(rig.PhaseOf("a") == one.phase_after);
    CHECK(rig.fake.StatesOf("a") == All(3, LeaseState::kRunning));
    CHECK(rig.fake.count(Kind::kStop) == 0);
    CHECK(rig.fake.count(Kind::kGrant) == 0);
    CHECK(rig.fake.count(Kind::kRenew) >= 3);
    CHECK_FALSE(rig.fold.jobs().Find("a")->gang_id.empty());
  }
}

TEST_CASE("a takeover stops leases of unknown, cancelled and broken gangs") {
  Rig rig;
  rig.BeginEpoch(1, "e1");
  rig.Append(SubmittedRecord{JobOf("a", 2)});
  rig.Append(SubmittedRecord{JobOf("broken", 1)});
  rig.Run(milliseconds(500));
  rig.coordinator.reset();
  rig.Append(CancelledRecord{"a", "operator"});
  rig.fake.workers["w1"].leases["x"] = {
      "x", "gx", "unknown", "north", LeaseState::kRunning, 1, ""};
  rig.BeginEpoch(2, "e2");
  rig.Run(milliseconds(2000));
  CHECK(rig.fake.StatesOf("a").empty());
  CHECK(rig.fake.StatesOf("unknown").empty());
  CHECK(rig.PhaseOf("a") == JobPhase::kCancelled);
  CHECK(rig.fake.StatesOf("broken") == All(1, LeaseState::kRunning));
}

TEST_CASE("a call of an older epoch is refused after the takeover began") {
  Rig rig;
  rig.BeginEpoch(1, "e1");
  rig.Run(milliseconds(500));
  auto paused = std::move(rig.coordinator);
  rig.BeginEpoch(2, "e2");
  rig.Run(milliseconds(100));
  // The paused holder wakes and does not know of epoch 2.
  JobEntry entry;
  entry.request = JobOf("late", 2);
  paused->Submit(entry, rig.now);
  for (int turn = 0; turn < 10; ++turn) {
    paused->Advance(rig.fold, rig.now, FromUnixMilliseconds(rig.wall_ms));
    for (const WorkerCall& call : paused->TakeCalls(rig.now)) {
      const FakeAnswer answer = rig.fake.Answer(call);
      CHECK(answer.refusal == WorkerRefusal::kStaleToken);
      paused->CallDone(call, answer.report, answer.refusal, "", rig.now);
    }
  }
  CHECK(paused->superseded());
  CHECK(rig.fake.StatesOf("late").empty());
}

TEST_CASE("planning goes on while the log is down") {
  Rig rig;
  rig.BeginEpoch(1, "e1");
  rig.Run(milliseconds(500));
  rig.log_down = true;
  JobEntry entry;
  entry.request = JobOf("urgent", 2);
  entry.request.spec.priority = Priority::kUrgent;
  rig.coordinator->Submit(entry, rig.now);
  rig.Run(milliseconds(500));
  CHECK(rig.fake.StatesOf("urgent") == All(2, LeaseState::kRunning));
}

}  // namespace
}  // namespace thornplank
