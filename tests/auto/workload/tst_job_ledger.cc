// State transitions of tasks, steps and jobs.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "workload/job_ledger.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr char kJob[] = "0123456789abcdef";

StepRef Ref(int step) { return {kJob, 0, step}; }
TaskRef Task(int step, int index) { return {Ref(step), index}; }

StepSpec Gang(int count) {
  StepSpec step = MakeStep(count, 1);
  step.gang = true;
  return step;
}

TEST_CASE("how a run's end changes its task and its job") {
  struct Row {
    const char* name;
    RunEnd end;
    TaskPhase phase;
    int failures;
    JobState state;
  };
  const std::vector<Row> rows = {
      {"done", RunEnd::kDone, TaskPhase::kDone, 0, JobState::kCompleted},
      {"failed", RunEnd::kFailed, TaskPhase::kWaiting, 1, JobState::kRunning},
      {"stopped", RunEnd::kStopped, TaskPhase::kWaiting, 0, JobState::kRunning},
      {"lapsed", RunEnd::kLeaseLapsed, TaskPhase::kWaiting, 0,
       JobState::kRunning},
      {"never began", RunEnd::kLost, TaskPhase::kWaiting, 0, JobState::kQueued},
      {"its worker left", RunEnd::kWorkerLeft, TaskPhase::kWaiting, 0,
       JobState::kRunning},
      {"its worker crashed", RunEnd::kWorkerCrashed, TaskPhase::kWaiting, 0,
       JobState::kRunning},
      {"its worker was silent", RunEnd::kWorkerSilent, TaskPhase::kWaiting, 0,
       JobState::kRunning},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    JobLedger ledger;
    ledger.Add(MakeJob(kJob, {MakeStep(1, 1)}), At(0));
    CHECK(ledger.RecordStart(Ref(0), {{0, "w"}}) == 1);
    CHECK(ledger.Find(kJob)->state == JobState::kQueued);
    CHECK(ledger.RecordRunEnd(Task(0, 0), 1, row.end, "saved"));
    const TaskStatus* task = ledger.FindTask(Task(0, 0));
    CHECK(task->phase == row.phase);
    CHECK(task->failures == row.failures);
    CHECK(task->checkpoint == "saved");
    CHECK(ledger.Find(kJob)->state == row.state);
    CHECK(ledger.TakeDirtyBlocks().count({Ref(0), 0}) == 1);
  }
}

TEST_CASE("only the current run counts, but a completed run always does") {
  JobLedger ledger;
  ledger.Add(MakeJob(kJob, {MakeStep(1, 1)}), At(0));
  ledger.RecordStart(Ref(0), {{0, "w"}});
  ledger.RecordRunEnd(Task(0, 0), 1, RunEnd::kLost, "");
  CHECK(ledger.RecordStart(Ref(0), {{0, "v"}}) == 2);
  CHECK_FALSE(ledger.RecordRunEnd(Task(0, 0), 1, RunEnd::kFailed, ""));
  CHECK(ledger.FindTask(Task(0, 0))->phase == TaskPhase::kActive);
  CHECK(ledger.RecordRunEnd(Task(0, 0), 1, RunEnd::kDone, ""));
  CHECK(ledger.Find(kJob)->state == JobState::kCompleted);
  CHECK_FALSE(ledger.RecordRunEnd(Task(0, 0), 2, RunEnd::kDone, ""));
}

TEST_CASE("a job fails after its attempts, a gang's failed run counts once") {
  JobLedger ledger;
  ledger.Add(MakeJob(kJob, {Gang(3)}), At(0));
  for (int run = 1; run <= 2; ++run) {
    CHECK(ledger.Find(kJob)->state != JobState::kFailed);
    CHECK(ledger.RecordStart(Ref(0), {{0, "u"}, {1, "v"}, {2, "w"}}) == run);
    ledger.RecordRunEnd(Task(0, 0), run, RunEnd::kFailed, "");
    ledger.RecordRunEnd(Task(0, 1), run, RunEnd::kFailed, "");
    ledger.RecordRunEnd(Task(0, 2), run, RunEnd::kGangBroken, "");
  }
  CHECK(ledger.Find(kJob)->state == JobState::kFailed);
}

TEST_CASE(
    "the completion of one gang member counts for all, and so does a "
    "checkpoint") {
  JobLedger ledger;
  ledger.Add(MakeJob(kJob, {Gang(3)}), At(0));
  ledger.RecordStart(Ref(0), {{0, "u"}, {1, "v"}, {2, "w"}});
  ledger.RecordCheckpoint(Task(0, 1), 1, "c1");
  CHECK(ledger.FindTask(Task(0, 2))->checkpoint == "c1");
  CHECK(ledger.RecordRunEnd(Task(0, 2), 1, RunEnd::kDone, ""));
  CHECK(ledger.Find(kJob)->state == JobState::kCompleted);
}

// Guards against a checkpoint of the store that replaces a newer one, or that a
// task which is done would be started from.
TEST_CASE("a checkpoint that is stored apart is restored where none is known") {
  struct Row {
    const char* name;
    bool gang;
    std::vector<TaskStatus> tasks;
    std::vector<std::string> checkpoints;
  };
  const TaskStatus waiting{TaskPhase::kWaiting, 1, 1, "", ""};
  const TaskStatus saved{TaskPhase::kWaiting, 1, 1, "", "block"};
  const TaskStatus done{TaskPhase::kDone, 1, 0, "", ""};
  const std::vector<Row> rows = {
      {"a task", false, {waiting, waiting}, {"apart", ""}},
      {"a task with a checkpoint", false, {saved, waiting}, {"block", ""}},
      {"a task that is done", false, {done, waiting}, {"", ""}},
      {"a gang", true, {waiting, waiting}, {"apart", "apart"}},
      {"a gang with a checkpoint", true, {saved, saved}, {"block", "block"}},
      {"a gang that is done", true, {done, done}, {"", ""}},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    StepSpec step = MakeStep(2, 1);
    step.gang = row.gang;
    JobLedger ledger;
    ledger.Add(MakeJob(kJob, {step}), At(0));
    ProgressBlock block;
    block.tasks = row.tasks;
    REQUIRE(ledger.Restore(Ref(0), {{0, block}}));
    ledger.RestoreCheckpoint(Task(0, 0), "apart");
    for (int i = 0; i < 2; ++i) {
      CHECK(ledger.FindTask(Task(0, i))->checkpoint ==
            row.checkpoints[static_cast<size_t>(i)]);
    }
    ledger.RestoreCheckpoint({{"00000000000000ff", 0, 0}, 0}, "apart");
    ledger.RestoreCheckpoint(Task(0, 2), "apart");
    ledger.RestoreCheckpoint(Task(1, 0), "apart");
  }
}

// Guards against a string that no record can hold: the task goes on from the
// checkpoint before, for this leader as for the next one.
TEST_CASE("a checkpoint that is too long is left out and told once a run") {
  for (const size_t bytes : {9, 10, 11}) {
    CAPTURE(bytes);
    JobLedger ledger(10);
    ledger.Add(MakeJob(kJob, {MakeStep(1, 1)}), At(0));
    ledger.RecordStart(Ref(0), {{0, "w"}});
    ledger.RecordCheckpoint(Task(0, 0), 1, "first");
    const std::string text(bytes, 'c');
    for (int i = 0; i < 3; ++i) ledger.RecordCheckpoint(Task(0, 0), 1, text);
    const bool fits = bytes <= 10;
    CHECK(ledger.FindTask(Task(0, 0))->checkpoint == (fits ? text : "first"));
    const auto dropped = ledger.TakeDroppedCheckpoints();
    REQUIRE(dropped.size() == (fits ? 0 : 1));
    if (fits) continue;
    CHECK(dropped[0].bytes == bytes);
    CHECK(dropped[0].run == 1);
    CHECK(ledger.RecordRunEnd(Task(0, 0), 1, RunEnd::kStopped, text));
    CHECK(ledger.FindTask(Task(0, 0))->checkpoint == "first");
    CHECK(ledger.TakeDroppedCheckpoints().empty());
  }
}

TEST_CASE("a step is ready once all steps that it depends on are done") {
  JobLedger ledger;
  Job& job =
      ledger.Add(MakeJob(kJob, {MakeStep(2, 1), MakeStep(1, 1, {0})}), At(0));
  CHECK(JobLedger::IsReady(job, 0, 0));
  ledger.RecordStart(Ref(0), {{0, "w"}, {1, "w"}});
  ledger.RecordRunEnd(Task(0, 0), 1, RunEnd::kDone, "");
  CHECK_FALSE(JobLedger::IsReady(job, 0, 1));
  ledger.RecordRunEnd(Task(0, 1), 1, RunEnd::kDone, "");
  CHECK(JobLedger::IsReady(job, 0, 1));
}

TEST_CASE("a long-running task is restarted however it ends") {
  StepSpec step = MakeStep(1, 1);
  step.long_running = true;
  JobLedger ledger;
  ledger.Add(MakeJob(kJob, {step}), At(0));
  for (const RunEnd end : {RunEnd::kDone, RunEnd::kFailed, RunEnd::kFailed,
                           RunEnd::kFailed, RunEnd::kLost}) {
    const int run = ledger.RecordStart(Ref(0), {{0, "w"}});
    CHECK(ledger.RecordRunEnd(Task(0, 0), run, end, ""));
    CHECK(ledger.FindTask(Task(0, 0))->phase == TaskPhase::kWaiting);
    CHECK(ledger.Find(kJob)->state == JobState::kRunning);
  }
}

TEST_CASE("stored progress is restored by the next leader") {
  JobLedger before;
  const JobDefinition job =
      MakeJob(kJob, {MakeStep(3, 1), MakeStep(1, 1, {0})});
  before.Add(job, At(0));
  before.RecordStart(Ref(0), {{0, "u"}, {1, "v"}});
  before.RecordRunEnd(Task(0, 0), 1, RunEnd::kDone, "");
  before.RecordRunEnd(Task(0, 1), 1, RunEnd::kFailed, "c");
  const std::string bytes = EncodeBlock(*before.FindBlock({Ref(0), 0}));
  JobLedger after;
  after.Add(job, At(0));
  const auto block = DecodeBlock(bytes, nullptr);
  REQUIRE(block.has_value());
  REQUIRE(after.Restore(Ref(0), {{0, *block}}));
  CHECK(after.FindTask(Task(0, 0))->phase == TaskPhase::kDone);
  CHECK(after.FindTask(Task(0, 1))->failures == 1);
  CHECK(after.FindTask(Task(0, 1))->checkpoint == "c");
  CHECK(after.RecordStart(Ref(0), {{1, "w"}}) == 2);
  CHECK(after.Find(kJob)->state == JobState::kRunning);
  CHECK_FALSE(after.Restore(Ref(1), {{0, ProgressBlock()}}));
}

TEST_CASE("a cancelled job stays cancelled when its last task ends") {
  JobLedger ledger;
  ledger.Add(MakeJob(kJob, {MakeStep(1, 1)}), At(0));
  ledger.RecordStart(Ref(0), {{0, "w"}});
  CHECK(ledger.Cancel(kJob));
  ledger.RecordRunEnd(Task(0, 0), 1, RunEnd::kDone, "");
  CHECK(ledger.Find(kJob)->state == JobState::kCancelled);
  CHECK_FALSE(ledger.Cancel(kJob));
}

}  // namespace
}  // namespace thornplank::testing
