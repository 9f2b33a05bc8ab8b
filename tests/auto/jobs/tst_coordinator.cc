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
    const JobStreamChange change = fold.Apply(entry);
    if (!coordinator) return;
    if (change.kind == JobStreamChange::Kind::kSubmitted) {
      coordinator->Submit(*fold.jobs().Find(change.job), now);
    }
    if (change.kind == JobStreamChange::Kind::kCancelled) {
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
  JobStreamState fold;
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
      "x", "gx", "unknown", "north", LeaseState::kRunning, 1, "", std::nullopt};
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

// A running job of two members, moved off one of its workers on request.
struct MovedJob {
  explicit MovedJob(const Json& task) {
    rig.BeginEpoch(1, "e1");
    JobRequest job = JobOf("a", 2);
    job.task = task;
    rig.Append(SubmittedRecord{job});
    rig.Run(milliseconds(500));
  }

  std::vector<std::string> Workers() const {
    std::vector<std::string> names;
    for (const auto& [name, worker] : rig.fake.workers) {
      if (!worker.leases.empty()) names.push_back(name);
    }
    return names;
  }

  // Drains the first worker of the gang: its members are checkpointed.
  void MoveOff() {
    const std::string drained = Workers().at(0);
    for (WorkerInfo& worker : rig.inputs.workers) {
      worker.leaving = worker.name == drained;
    }
    rig.coordinator->SetWorkers(rig.inputs.workers, rig.now);
  }

  // Of the newest grant.
  Json Task() const {
    Json task;
    for (const WorkerCall& call : rig.fake.calls) {
      for (const LeaseRequest& lease : call.leases) task = lease.task;
    }
    return task;
  }

  Milliseconds Progress() const { return rig.fold.jobs().Find("a")->progress; }

  Rig rig;
};

struct ProgressCase {
  const char* name;
  Json task;
  // What the two members report; negative: nothing.
  int first_ms;
  int second_ms;
  bool second_hangs;
  Json next_task;
  int saved_ms;
};

TEST_CASE("the next grant goes on from a checkpoint of every member") {
  const Json ten = {{"run_ms", 10000}, {"image", "x"}};
  const std::vector<ProgressCase> cases = {
      {"the least counts", ten, 3000, 2000, false,
       Json{{"run_ms", 8000}, {"image", "x"}, {"resume_progress_ms", 2000}},
       2000},
      {"a task without a run time", Json{{"image", "x"}}, 2000, 3000, false,
       Json{{"image", "x"}, {"resume_progress_ms", 2000}}, 2000},
      {"a member said more than the task's run time", ten, 12000, 11000, false,
       Json{{"run_ms", 0}, {"image", "x"}, {"resume_progress_ms", 11000}},
       11000},
      {"the checkpoint of one member hangs", ten, 3000, 2000, true, ten, 0},
      {"one member does not report it", ten, 3000, -1, false, ten, 0},
  };
  for (const ProgressCase& one : cases) {
    CAPTURE(one.name);
    MovedJob t(one.task);
    CHECK(t.Task() == one.task);
    const std::vector<std::string> workers = t.Workers();
    REQUIRE(workers.size() == 2);
    t.rig.fake.progress[workers[0]] = milliseconds(one.first_ms);
    if (one.second_ms >= 0) {
      t.rig.fake.progress[workers[1]] = milliseconds(one.second_ms);
    }
    if (one.second_hangs) t.rig.fake.hanging_checkpoints.insert(workers[1]);
    t.MoveOff();
    t.rig.Run(milliseconds(40000));
    CHECK(t.rig.PhaseOf("a") == JobPhase::kRunning);
    CHECK(t.rig.fold.jobs().Find("a")->attempts == 2);
    CHECK(t.Task() == one.next_task);
    CHECK(t.Progress() == Milliseconds(one.saved_ms));
  }
}

TEST_CASE(
    "the progress of several checkpoints adds up, also after a takeover") {
  MovedJob t(Json{{"run_ms", 10000}});
  for (const char* worker : {"w1", "w2", "w3"}) {
    t.rig.fake.progress[worker] = milliseconds(2000);
  }
  t.MoveOff();
  t.rig.Run(milliseconds(10000));
  CHECK(t.Progress() == Milliseconds(2000));
  SUBCASE("the same coordinator") {}
  SUBCASE("its successor") { t.rig.BeginEpoch(2, "e2"); }
  t.rig.Run(milliseconds(2000));
  t.MoveOff();
  t.rig.Run(milliseconds(10000));
  CHECK(t.Task() == Json{{"run_ms", 6000}, {"resume_progress_ms", 4000}});
  CHECK(t.Progress() == Milliseconds(4000));
}

struct SavedAtTakeoverCase {
  const char* name;
  // What of the predecessor reached the stream before it died.
  JobPhase logged;
  bool second_saved;
  int saved_ms;
};

TEST_CASE("a checkpoint that ends during a takeover counts once") {
  const std::vector<SavedAtTakeoverCase> cases = {
      {"not recorded yet", JobPhase::kCheckpointing, true, 2000},
      {"neither recorded nor its order", JobPhase::kRunning, true, 2000},
      {"recorded already", JobPhase::kStopping, true, 2000},
      {"one member is not done", JobPhase::kCheckpointing, false, 0},
      {"one member is not done, nothing recorded", JobPhase::kRunning, false,
       0},
  };
  for (const SavedAtTakeoverCase& one : cases) {
    CAPTURE(one.name);
    MovedJob t(Json{{"run_ms", 10000}});
    t.rig.coordinator.reset();
    const std::vector<std::string> workers = t.Workers();
    REQUIRE(workers.size() == 2);
    for (const std::string& name : workers) {
      for (auto& [id, lease] : t.rig.fake.workers[name].leases) {
        const bool saved = one.second_saved || name == workers[0];
        lease.state =
            saved ? LeaseState::kCheckpointed : LeaseState::kCheckpointing;
        lease.progress = milliseconds(2000);
      }
    }
    const int64_t revision = t.rig.fold.jobs().Find("a")->revision + 1;
    const bool counted = one.logged == JobPhase::kStopping;
    if (one.logged != JobPhase::kRunning) {
      t.rig.Append(PhaseRecord{1, revision, "a", one.logged, "in the test",
                               Milliseconds(counted ? 2000 : 0)});
    }
    t.rig.BeginEpoch(2, "e2");
    t.rig.Run(milliseconds(8000));
    CHECK(t.rig.PhaseOf("a") == JobPhase::kRunning);
    CHECK(t.rig.fold.jobs().Find("a")->attempts == 2);
    CHECK(t.Progress() == Milliseconds(one.saved_ms));
    CHECK(t.Task()["run_ms"] == 10000 - one.saved_ms);
  }
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
