// Which tasks are given up for the workers that were lost under them.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "workload/job_ledger.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const StepRef kStep{"0123456789abcdef", 0, 0};
const TaskRef kTask{kStep, 0};

// One run of a task.
struct RunCase {
  RunEnd end = RunEnd::kWorkerCrashed;
  bool began = true;
  // Until its worker fell silent.
  int64_t borne_ms = 20;
};

constexpr RunCase kAtStart{};
constexpr RunCase kSoon{RunEnd::kWorkerCrashed, true, 250};
constexpr RunCase kAtWork{RunEnd::kWorkerCrashed, true, 900};
constexpr RunCase kNoAnswer{RunEnd::kWorkerCrashed, false, 0};
constexpr RunCase kSilent{RunEnd::kWorkerSilent, true, 900};
constexpr RunCase kNeverBegan{RunEnd::kLost, false, 0};
constexpr RunCase kStopped{RunEnd::kStopped, true, 900};
constexpr RunCase kLeft{RunEnd::kWorkerLeft, true, 900};
constexpr RunCase kLong{RunEnd::kWorkerCrashed, true, 5000};

LostRun ToLostRun(const RunCase& run, int number) {
  LostRun lost;
  lost.worker = "w" + std::to_string(number);
  lost.crashed = run.end == RunEnd::kWorkerCrashed;
  lost.began = run.began;
  lost.survived = Milliseconds(run.borne_ms);
  return lost;
}

JobLedger LedgerWith(const StepSpec& step) {
  JobLedger ledger;
  ledger.Add(MakeJob(kStep.job, {step}), At(0));
  return ledger;
}

// A leader that died, and another that has only what was stored.
JobLedger Successor(const JobLedger& before, const StepSpec& step) {
  JobLedger after = LedgerWith(step);
  ProgressBlocks blocks;
  for (int block = 0; block < BlockCount(step); ++block) {
    const std::string bytes = EncodeBlock(*before.FindBlock({kStep, block}));
    blocks[block] = *DecodeBlock(bytes, nullptr);
  }
  REQUIRE(after.Restore(kStep, blocks));
  return after;
}

// Guards against runs that are lost with their workers and count nowhere: one
// task took down 26 workers, and did not stop.
TEST_CASE("when a task is given up for the workers that it took down") {
  struct Row {
    const char* name;
    bool long_running;
    std::vector<RunCase> runs;
    // The runs after which its job has failed; 0: none.
    size_t failed_after;
    int64_t estimate_ms = 1000;
  };
  const std::vector<Row> rows = {
      {"each start crashes its worker", false, {kAtStart, kAtStart}, 2},
      {"one crash is nobody's fault", false, {kAtStart}, 0},
      {"later than its start", false, {kAtWork, kAtWork, kAtWork, kAtWork}, 4},
      {"racks lose power under it twice", false, {kAtWork, kAtWork}, 0},
      {"three times, then it ends", false, {kAtWork, kAtWork, kAtWork}, 0},
      {"before it can answer",
       false,
       {kNoAnswer, kNoAnswer, kNoAnswer, kNoAnswer},
       4},
      {"a worker bore it in between", false, {kAtStart, kStopped, kAtStart}, 0},
      {"one that left in between", false, {kAtStart, kLeft, kAtStart}, 0},
      {"one that crashed later in between",
       false,
       {kAtStart, kAtWork, kAtStart},
       0},
      {"orders that nobody took in between",
       false,
       {kAtStart, kNeverBegan, kNeverBegan, kAtStart},
       4},
      {"so late that it may have ended unheard",
       false,
       {kAtStart, kAtStart},
       0,
       30},
      {"of a task without an estimate", false, {kAtStart, kAtStart}, 2, 0},
      {"a quarter of a second after its start", false, {kSoon, kSoon}, 0},
      {"workers that are never heard of again",
       false,
       {kSilent, kSilent, kSilent, kSilent},
       4},
      {"workers that leave", false, {kLeft, kLeft, kLeft, kLeft, kLeft}, 0},
      {"a task that lasts, each time for long",
       true,
       {kLong, kLong, kLong, kLong, kLong},
       0},
      {"a task that lasts, and is borne in between",
       true,
       {kAtWork, kAtWork, kAtWork, kLong, kAtWork, kAtWork, kAtWork},
       0},
      {"a task that lasts, at its start", true, {kAtStart, kAtStart}, 2},
  };
  for (const Row& row : rows) {
    for (const bool leaders_change : {false, true}) {
      CAPTURE(row.name);
      CAPTURE(leaders_change);
      StepSpec step = MakeStep(1, 1);
      step.long_running = row.long_running;
      step.estimate = Milliseconds(row.estimate_ms);
      JobLedger ledger = LedgerWith(step);
      for (size_t i = 0; i < row.runs.size(); ++i) {
        CAPTURE(i);
        const RunCase& run = row.runs[i];
        const int number = ledger.RecordStart(kStep, {{0, "w"}});
        ledger.RecordRunEnd(kTask, number, run.end, "", ToLostRun(run, number));
        if (leaders_change) ledger = Successor(ledger, step);
        const bool failed = ledger.Find(kStep.job)->state == JobState::kFailed;
        CHECK(failed == (row.failed_after == i + 1));
        if (failed) break;
      }
    }
  }
}

TEST_CASE("a gang is given up for the one member that crashes its workers") {
  StepSpec step = MakeStep(3, 1);
  step.gang = true;
  JobLedger ledger = LedgerWith(step);
  for (int round = 1; round <= 2; ++round) {
    CHECK(ledger.Find(kStep.job)->state != JobState::kFailed);
    const int run = ledger.RecordStart(kStep, {{0, "u"}, {1, "v"}, {2, "w"}});
    ledger.RecordRunEnd({kStep, 1}, run, RunEnd::kWorkerCrashed, "",
                        ToLostRun(kAtStart, run));
    ledger.RecordRunEnd({kStep, 0}, run, RunEnd::kGangBroken, "");
    ledger.RecordRunEnd({kStep, 2}, run, RunEnd::kGangBroken, "");
    ledger = Successor(ledger, step);
  }
  CHECK(ledger.Find(kStep.job)->state == JobState::kFailed);
}

TEST_CASE("a job that is given up says which workers were lost, under what") {
  JobLedger ledger = LedgerWith(MakeStep(1, 1));
  for (int run = 1; run <= 2; ++run) {
    ledger.RecordStart(kStep, {{0, "w"}});
    ledger.RecordRunEnd(kTask, run, RunEnd::kWorkerCrashed, "",
                        ToLostRun(kAtStart, run));
  }
  CHECK(ledger.Find(kStep.job)->failure ==
        "task 0123456789abcdef.0.0.0 was given up: 2 workers were lost under "
        "it: w1 w2");
}

}  // namespace
}  // namespace thornplank::testing
