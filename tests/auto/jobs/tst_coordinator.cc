// Takeover and scheduling in one epoch, with fake workers.
#include <doctest/doctest.h>

#include <memory>

#include "fake_workers.h"
#include "jobs/coordinator.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using Kind = WorkerCall::Kind;

JobRequest MakeJob(const std::string& id, int members) {
  JobRequest job;
  job.spec.id = id;
  job.spec.account = "north";
  job.spec.shape = {members, 8, Adjacency::kAnywhere};
  return job;
}

// A log, the state that results from its records, and the coordinator of the
// newest epoch. Appended records are read back at once; while `log_down` is
// set, they are lost.
class CoordinatorHarness {
 public:
  CoordinatorHarness() : state(JobRetention{}) {
    inputs.workers = WorkerList(3);
    AccountGuarantee north;
    north.account = "north";
    inputs.guarantees.push_back(north);
  }

  void Append(const JobStreamRecord& record) {
    if (log_down) return;
    LogRecord entry;
    entry.offset = state.next_offset();
    entry.time = FromUnixMilliseconds(wall_ms);
    entry.id = std::to_string(entry.offset);
    entry.data = EncodeJobRecord(record);
    const JobStreamChange change = state.Apply(entry);
    if (!coordinator) return;
    if (change.kind == JobStreamChange::Kind::kSubmitted) {
      coordinator->Submit(*state.jobs().Find(change.job), now);
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
    coordinator->Advance(state, now, FromUnixMilliseconds(wall_ms));
    for (const JobStreamRecord& record : coordinator->TakeRecords()) {
      Append(record);
    }
    for (const WorkerCall& call : coordinator->TakeCalls(now)) {
      const FakeAnswer answer = fake.Answer(call);
      coordinator->HandleCallResult(call, answer.report, answer.refusal,
                                    "in the test", now);
    }
  }

  JobPhase PhaseOf(const std::string& id) const {
    return state.jobs().Find(id)->phase;
  }

  PlanningInputs inputs;
  FakeWorkers fake;
  JobStreamState state;
  std::unique_ptr<Coordinator> coordinator;
  Time now{std::chrono::hours(1)};
  int64_t wall_ms = 1000000;
  bool log_down = false;
};

std::vector<LeaseState> All(size_t count, LeaseState state) {
  return std::vector<LeaseState>(count, state);
}

TEST_CASE("a job runs from its submission to its end") {
  CoordinatorHarness harness;
  harness.BeginEpoch(1, "e1");
  harness.Append(SubmittedRecord{MakeJob("a", 2)});
  harness.Run(milliseconds(500));
  CHECK(harness.PhaseOf("a") == JobPhase::kRunning);
  CHECK(harness.fake.StatesOf("a") == All(2, LeaseState::kRunning));
  harness.fake.SetAll("a", LeaseState::kFinished);
  harness.Run(milliseconds(6000));
  CHECK(harness.PhaseOf("a") == JobPhase::kFinished);
  CHECK(harness.fake.StatesOf("a").empty());
}

TEST_CASE("a gang with a refused member never runs partially") {
  CoordinatorHarness harness;
  harness.fake.refusing_grants.insert("w2");
  harness.BeginEpoch(1, "e1");
  harness.Append(SubmittedRecord{MakeJob("a", 3)});
  for (int i = 0; i < 40; ++i) {
    harness.Run(milliseconds(50));
    for (LeaseState state : harness.fake.StatesOf("a")) {
      CHECK(state == LeaseState::kThrottled);
    }
  }
  CHECK(harness.fake.count(Kind::kLiftThrottle) == 0);
}

TEST_CASE("a cancelled job is stopped and never starts again") {
  CoordinatorHarness harness;
  harness.BeginEpoch(1, "e1");
  harness.Append(SubmittedRecord{MakeJob("a", 2)});
  harness.Run(milliseconds(500));
  harness.Append(CancelledRecord{"a", "operator"});
  harness.Run(milliseconds(2000));
  CHECK(harness.PhaseOf("a") == JobPhase::kCancelled);
  CHECK(harness.fake.StatesOf("a").empty());
  CHECK(harness.fake.count(Kind::kGrant) == 2);
}

TEST_CASE("a lost member stops the survivors within the stated bound") {
  CoordinatorHarness harness;
  harness.BeginEpoch(1, "e1");
  harness.Append(SubmittedRecord{MakeJob("a", 3)});
  harness.Run(milliseconds(500));
  harness.fake.silent.insert("w1");
  harness.Run(milliseconds(12400));
  CHECK(harness.fake.workers["w2"].leases.empty());
  CHECK(harness.fake.workers["w3"].leases.empty());
}

struct TakeoverCase {
  const char* name;
  // Whether the previous coordinator's records of the gang reached the stream.
  bool placed_logged;
  // A worker that does not answer during the takeover; empty for none.
  const char* silent;
  JobPhase phase_after;
};

TEST_CASE("running gangs continue after a takeover") {
  const std::vector<TakeoverCase> cases = {
      {"everything is known", true, "", JobPhase::kRunning},
      {"the records were lost with the previous coordinator", false, "",
       JobPhase::kRunning},
      {"a worker answers late", true, "w1", JobPhase::kRunning},
  };
  for (const TakeoverCase& one : cases) {
    CAPTURE(one.name);
    CoordinatorHarness harness;
    harness.BeginEpoch(1, "e1");
    harness.Append(SubmittedRecord{MakeJob("a", 3)});
    harness.log_down = !one.placed_logged;
    harness.Run(milliseconds(500));
    harness.log_down = false;
    if (*one.silent != '\0') harness.fake.silent.insert(one.silent);
    harness.fake.calls.clear();
    harness.BeginEpoch(2, "e2");
    harness.Run(milliseconds(4000));
    harness.fake.silent.clear();
    harness.Run(milliseconds(4000));
    CHECK(harness.PhaseOf("a") == one.phase_after);
    CHECK(harness.fake.StatesOf("a") == All(3, LeaseState::kRunning));
    CHECK(harness.fake.count(Kind::kStop) == 0);
    CHECK(harness.fake.count(Kind::kGrant) == 0);
    CHECK(harness.fake.count(Kind::kRenew) >= 3);
    CHECK_FALSE(harness.state.jobs().Find("a")->gang_id.empty());
  }
}

TEST_CASE("a takeover stops leases of unknown, cancelled and broken gangs") {
  CoordinatorHarness harness;
  harness.BeginEpoch(1, "e1");
  harness.Append(SubmittedRecord{MakeJob("a", 2)});
  harness.Append(SubmittedRecord{MakeJob("broken", 1)});
  harness.Run(milliseconds(500));
  harness.coordinator.reset();
  harness.Append(CancelledRecord{"a", "operator"});
  harness.fake.workers["w1"].leases["x"] = {
      "x", "gx", "unknown", "north", LeaseState::kRunning, 1, "", std::nullopt};
  harness.BeginEpoch(2, "e2");
  harness.Run(milliseconds(2000));
  CHECK(harness.fake.StatesOf("a").empty());
  CHECK(harness.fake.StatesOf("unknown").empty());
  CHECK(harness.PhaseOf("a") == JobPhase::kCancelled);
  CHECK(harness.fake.StatesOf("broken") == All(1, LeaseState::kRunning));
}

TEST_CASE("a call of an older epoch is refused after the takeover began") {
  CoordinatorHarness harness;
  harness.BeginEpoch(1, "e1");
  harness.Run(milliseconds(500));
  auto paused = std::move(harness.coordinator);
  harness.BeginEpoch(2, "e2");
  harness.Run(milliseconds(100));
  // The paused coordinator resumes without knowing of epoch 2.
  JobEntry entry;
  entry.request = MakeJob("late", 2);
  paused->Submit(entry, harness.now);
  for (int turn = 0; turn < 10; ++turn) {
    paused->Advance(harness.state, harness.now,
                    FromUnixMilliseconds(harness.wall_ms));
    for (const WorkerCall& call : paused->TakeCalls(harness.now)) {
      const FakeAnswer answer = harness.fake.Answer(call);
      CHECK(answer.refusal == WorkerRefusal::kStaleToken);
      paused->HandleCallResult(call, answer.report, answer.refusal, "",
                               harness.now);
    }
  }
  CHECK(paused->superseded());
  CHECK(harness.fake.StatesOf("late").empty());
}

// A running job of two members, which can be moved off one of its workers.
struct MovedJob {
  explicit MovedJob(const Json& task) {
    harness.BeginEpoch(1, "e1");
    JobRequest job = MakeJob("a", 2);
    job.task = task;
    harness.Append(SubmittedRecord{job});
    harness.Run(milliseconds(500));
  }

  // Names of the workers that hold leases.
  std::vector<std::string> Workers() const {
    std::vector<std::string> names;
    for (const auto& [name, worker] : harness.fake.workers) {
      if (!worker.leases.empty()) names.push_back(name);
    }
    return names;
  }

  // Drains the first worker of the gang, so that all members are checkpointed.
  void MoveOff() {
    const std::string drained = Workers().at(0);
    for (WorkerInfo& worker : harness.inputs.workers) {
      worker.leaving = worker.name == drained;
    }
    harness.coordinator->SetWorkers(harness.inputs.workers, harness.now);
  }

  // The task in the newest grant.
  Json Task() const {
    Json task;
    for (const WorkerCall& call : harness.fake.calls) {
      for (const LeaseRequest& lease : call.leases) task = lease.task;
    }
    return task;
  }

  Milliseconds Progress() const {
    return harness.state.jobs().Find("a")->progress;
  }

  CoordinatorHarness harness;
};

struct ProgressCase {
  const char* name;
  Json task;
  // The progress that the two members report; nothing if negative.
  int first_ms;
  int second_ms;
  bool second_hangs;
  Json next_task;
  int saved_ms;
};

TEST_CASE("the next grant resumes from a checkpoint of every member") {
  const Json ten = {{"run_ms", 10000}, {"image", "x"}};
  const std::vector<ProgressCase> cases = {
      {"the least progress counts", ten, 3000, 2000, false,
       Json{{"run_ms", 8000}, {"image", "x"}, {"resume_progress_ms", 2000}},
       2000},
      {"a task without a run time", Json{{"image", "x"}}, 2000, 3000, false,
       Json{{"image", "x"}, {"resume_progress_ms", 2000}}, 2000},
      {"a member reports more than the task's run time", ten, 12000, 11000,
       false,
       Json{{"run_ms", 0}, {"image", "x"}, {"resume_progress_ms", 11000}},
       11000},
      {"the checkpoint of one member hangs", ten, 3000, 2000, true, ten, 0},
      {"one member reports no progress", ten, 3000, -1, false, ten, 0},
  };
  for (const ProgressCase& one : cases) {
    CAPTURE(one.name);
    MovedJob job(one.task);
    CHECK(job.Task() == one.task);
    const std::vector<std::string> workers = job.Workers();
    REQUIRE(workers.size() == 2);
    job.harness.fake.progress[workers[0]] = milliseconds(one.first_ms);
    if (one.second_ms >= 0) {
      job.harness.fake.progress[workers[1]] = milliseconds(one.second_ms);
    }
    if (one.second_hangs) job.harness.fake.hung_checkpoints.insert(workers[1]);
    job.MoveOff();
    job.harness.Run(milliseconds(40000));
    CHECK(job.harness.PhaseOf("a") == JobPhase::kRunning);
    CHECK(job.harness.state.jobs().Find("a")->attempts == 2);
    CHECK(job.Task() == one.next_task);
    CHECK(job.Progress() == Milliseconds(one.saved_ms));
  }
}

TEST_CASE(
    "the progress of several checkpoints adds up, also after a takeover") {
  MovedJob job(Json{{"run_ms", 10000}});
  for (const char* worker : {"w1", "w2", "w3"}) {
    job.harness.fake.progress[worker] = milliseconds(2000);
  }
  job.MoveOff();
  job.harness.Run(milliseconds(10000));
  CHECK(job.Progress() == Milliseconds(2000));
  SUBCASE("the same coordinator") {}
  SUBCASE("its successor") { job.harness.BeginEpoch(2, "e2"); }
  job.harness.Run(milliseconds(2000));
  job.MoveOff();
  job.harness.Run(milliseconds(10000));
  CHECK(job.Task() == Json{{"run_ms", 6000}, {"resume_progress_ms", 4000}});
  CHECK(job.Progress() == Milliseconds(4000));
}

struct SavedAtTakeoverCase {
  const char* name;
  // The last phase that the previous coordinator recorded before it died.
  JobPhase logged;
  bool second_saved;
  int saved_ms;
};

TEST_CASE("a checkpoint that ends during a takeover counts once") {
  const std::vector<SavedAtTakeoverCase> cases = {
      {"not recorded yet", JobPhase::kCheckpointing, true, 2000},
      {"neither start nor end recorded", JobPhase::kRunning, true, 2000},
      {"recorded already", JobPhase::kStopping, true, 2000},
      {"one member is not done", JobPhase::kCheckpointing, false, 0},
      {"one member is not done, nothing recorded", JobPhase::kRunning, false,
       0},
  };
  for (const SavedAtTakeoverCase& one : cases) {
    CAPTURE(one.name);
    MovedJob job(Json{{"run_ms", 10000}});
    job.harness.coordinator.reset();
    const std::vector<std::string> workers = job.Workers();
    REQUIRE(workers.size() == 2);
    for (const std::string& name : workers) {
      for (auto& [id, lease] : job.harness.fake.workers[name].leases) {
        const bool saved = one.second_saved || name == workers[0];
        lease.state =
            saved ? LeaseState::kCheckpointed : LeaseState::kCheckpointing;
        lease.progress = milliseconds(2000);
      }
    }
    const int64_t revision = job.harness.state.jobs().Find("a")->revision + 1;
    const bool counted = one.logged == JobPhase::kStopping;
    if (one.logged != JobPhase::kRunning) {
      job.harness.Append(PhaseRecord{1, revision, "a", one.logged,
                                     "in the test",
                                     Milliseconds(counted ? 2000 : 0)});
    }
    job.harness.BeginEpoch(2, "e2");
    job.harness.Run(milliseconds(8000));
    CHECK(job.harness.PhaseOf("a") == JobPhase::kRunning);
    CHECK(job.harness.state.jobs().Find("a")->attempts == 2);
    CHECK(job.Progress() == Milliseconds(one.saved_ms));
    CHECK(job.Task()["run_ms"] == 10000 - one.saved_ms);
  }
}

TEST_CASE("jobs are scheduled while the log is down") {
  CoordinatorHarness harness;
  harness.BeginEpoch(1, "e1");
  harness.Run(milliseconds(500));
  harness.log_down = true;
  JobEntry entry;
  entry.request = MakeJob("urgent", 2);
  entry.request.spec.priority = Priority::kUrgent;
  harness.coordinator->Submit(entry, harness.now);
  harness.Run(milliseconds(500));
  CHECK(harness.fake.StatesOf("urgent") == All(2, LeaseState::kRunning));
}

}  // namespace
}  // namespace thornplank
