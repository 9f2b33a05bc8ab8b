// When a task is given up, or waits, because workers were lost while they ran
// it.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "workload/job_ledger.h"
#include "workload/ready_step.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const StepRef kStep{"0123456789abcdef", 0, 0};
const TaskRef kTask{kStep, 0};

// One run of a task.
struct RunCase {
  RunEnd end = RunEnd::kWorkerCrashed;
  bool began = true;
  // Milliseconds from its start until its worker fell silent.
  int64_t survived_ms = 20;
};

constexpr RunCase kAtStart{};
constexpr RunCase kSoon{RunEnd::kWorkerCrashed, true, 250};
constexpr RunCase kAtWork{RunEnd::kWorkerCrashed, true, 900};
constexpr RunCase kNoAnswer{RunEnd::kWorkerCrashed, false, 0};
constexpr RunCase kSilent{RunEnd::kWorkerSilent, true, 900};
constexpr RunCase kSilentAtStart{RunEnd::kWorkerSilent, true, 20};
constexpr RunCase kLapsed{RunEnd::kLeaseLapsed, true, 900};
constexpr RunCase kBroken{RunEnd::kGangBroken, true, 900};
constexpr RunCase kAlone{RunEnd::kGangIncomplete, true, 900};
constexpr RunCase kNeverBegan{RunEnd::kLost, false, 0};
constexpr RunCase kStopped{RunEnd::kStopped, true, 900};
constexpr RunCase kLeft{RunEnd::kWorkerLeft, true, 900};
constexpr RunCase kLeftAtStart{RunEnd::kWorkerLeft, true, 20};
constexpr RunCase kLong{RunEnd::kWorkerCrashed, true, 5000};

LostRun ToLostRun(const RunCase& run, int number) {
  LostRun lost;
  lost.worker = "w" + std::to_string(number);
  lost.crashed = run.end == RunEnd::kWorkerCrashed;
  lost.began = run.began;
  lost.survived = Milliseconds(run.survived_ms);
  lost.within_lease = lost.crashed;
  return lost;
}

JobLedger LedgerWith(const StepSpec& step) {
  JobLedger ledger;
  ledger.Add(MakeJob(kStep.job, {step}), At(0));
  return ledger;
}

// The ledger of a new leader that has only what the previous one stored.
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

// Guards against lost runs that are counted nowhere: one task crashed 26
// workers and was not stopped.
TEST_CASE("when a task is given up because of the workers it crashed") {
  struct Row {
    const char* name;
    bool long_running;
    std::vector<RunCase> runs;
    // The number of runs after which its job has failed; 0: it never does.
    size_t failed_after;
    int64_t estimate_ms = 1000;
  };
  const std::vector<Row> rows = {
      {"each start crashes its worker", false, {kAtStart, kAtStart}, 2},
      {"one crash shows no cause", false, {kAtStart}, 0},
      {"crashes later than the start",
       false,
       {kAtWork, kAtWork, kAtWork, kAtWork},
       4},
      {"its racks lose power twice", false, {kAtWork, kAtWork}, 0},
      {"three crashes, then no more", false, {kAtWork, kAtWork, kAtWork}, 0},
      {"a worker survives it in between",
       false,
       {kAtStart, kStopped, kAtStart},
       0},
      {"a worker leaves in between", false, {kAtStart, kLeft, kAtStart}, 0},
      {"a worker that has announced its departure ends at the start between "
       "two crashes",
       false,
       {kAtStart, kLeftAtStart, kAtStart},
       3},
      {"a worker crashes later in between",
       false,
       {kAtStart, kAtWork, kAtStart},
       0},
      {"orders that were not accepted in between",
       false,
       {kAtStart, kNeverBegan, kNeverBegan, kAtStart},
       4},
      {"so late that it may have ended unnoticed",
       false,
       {kAtStart, kAtStart},
       0,
       30},
      {"a task without an estimate", false, {kAtStart, kAtStart}, 2, 0},
      {"a quarter of a second after its start", false, {kSoon, kSoon}, 0},
      {"silence at the start between two crashes",
       false,
       {kAtStart, kSilentAtStart, kAtStart},
       3},
      {"two crashes and two silent workers",
       false,
       {kAtWork, kSilent, kSilent, kAtWork},
       4},
      {"workers that leave", false, {kLeft, kLeft, kLeft, kLeft, kLeft}, 0},
      {"a long-running task that runs for long each time",
       true,
       {kLong, kLong, kLong, kLong, kLong},
       0},
      {"a long-running task that runs for long once",
       true,
       {kAtWork, kAtWork, kAtWork, kLong, kAtWork, kAtWork, kAtWork},
       0},
      {"a long-running task that crashes workers at its start",
       true,
       {kAtStart, kAtStart},
       2},
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

std::vector<int> StartableTasks(const JobLedger& ledger,
                                BlockedSteps* blocked) {
  std::vector<int> tasks;
  for (const ReadyStep& step :
       CollectReadySteps(ledger, FromUnixMilliseconds(0), blocked)) {
    tasks.insert(tasks.end(), step.waiting.begin(), step.waiting.end());
  }
  return tasks;
}

// Guards against a job that is failed because workers were cut off while they
// ran its task, and against a task that crashes workers that never return: it
// would be started on one worker after the other.
TEST_CASE("silent workers make a task wait, and never end its job") {
  struct Row {
    const char* name;
    std::vector<RunCase> runs;
    // The runs whose workers are seen alive afterwards, in the incarnation that
    // was lost.
    std::vector<int> seen_again;
    bool may_start;
  };
  const std::vector<Row> rows = {
      {"three silent workers", {kSilent, kSilent, kSilent}, {}, true},
      {"four", {kSilent, kSilent, kSilent, kSilent}, {}, false},
      {"four at its starts",
       {kSilentAtStart, kSilentAtStart, kSilentAtStart, kSilentAtStart},
       {},
       false},
      {"crashes of four workers that did not answer the order",
       {kNoAnswer, kNoAnswer, kNoAnswer, kNoAnswer},
       {},
       true},
      {"crashes of four workers that did not answer the order, and a silent "
       "one",
       {kNoAnswer, kNoAnswer, kNoAnswer, kNoAnswer, kSilent},
       {},
       false},
      {"one crash and three silent workers",
       {kAtWork, kSilent, kSilent, kSilent},
       {},
       false},
      {"one of four is back", {kSilent, kSilent, kSilent, kSilent}, {2}, true},
      {"a worker that crashed is no evidence when its id is seen again",
       {kAtWork, kSilent, kSilent, kSilent},
       {1},
       false},
      {"all are back",
       {kSilent, kSilent, kSilent, kSilent},
       {1, 2, 3, 4},
       true},
      {"two crashes at its start, with other ends between them",
       {kAtStart, kStopped, kSilent, kAtStart},
       {3},
       true},
  };
  for (const Row& row : rows) {
    for (const bool leaders_change : {false, true}) {
      for (const bool is_gang : {false, true}) {
        CAPTURE(row.name);
        CAPTURE(leaders_change);
        CAPTURE(is_gang);
        StepSpec step = MakeStep(2, 1);
        step.gang = is_gang;
        step.estimate = Milliseconds(1000);
        JobLedger ledger = LedgerWith(step);
        for (const RunCase& run : row.runs) {
          REQUIRE(!IsTerminal(ledger.Find(kStep.job)->state));
          const int number =
              ledger.RecordStart(kStep, {{0, "w"}, {1, "other"}});
          ledger.RecordRunEnd(kTask, number, run.end, "",
                              ToLostRun(run, number));
          ledger.RecordRunEnd({kStep, 1}, number, RunEnd::kGangBroken, "");
          if (leaders_change) ledger = Successor(ledger, step);
        }
        for (const int run : row.seen_again) {
          ledger.OnWorkerAlive("w" + std::to_string(run), std::nullopt);
          if (leaders_change) ledger = Successor(ledger, step);
        }
        CHECK_FALSE(IsTerminal(ledger.Find(kStep.job)->state));
        BlockedSteps blocked;
        const std::vector<int> startable = StartableTasks(ledger, &blocked);
        if (row.may_start) {
          CHECK(startable == std::vector<int>{0, 1});
        } else if (is_gang) {
          CHECK(startable.empty());
          CHECK(blocked.suspects == std::vector<StepRef>{kStep});
        } else {
          CHECK(startable == std::vector<int>{1});
        }
      }
    }
  }
}

// Guards against a worker that restarted under its id: its next incarnation
// would clear the task that crashed the previous one.
TEST_CASE("only the incarnation that was lost clears a task") {
  const WallTime accepted = MakeJob(kStep.job, {}).accepted;
  const WallTime lost = accepted - std::chrono::minutes(1);
  const WallTime next = accepted + std::chrono::minutes(1);
  struct Row {
    const char* name;
    std::optional<WallTime> lost;
    std::optional<WallTime> seen;
    bool cleared;
  };
  const std::vector<Row> rows = {
      {"the same", lost, lost, true},
      {"the next one", lost, next, false},
      {"not known, one from before the job", std::nullopt, lost, true},
      {"not known, one that began since", std::nullopt, next, false},
      {"not known, one within the difference of clocks", std::nullopt, accepted,
       false},
      {"the one that is seen does not say", lost, std::nullopt, false},
      {"neither says", std::nullopt, std::nullopt, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    JobLedger ledger = LedgerWith(MakeStep(1, 1));
    LostRun silent = ToLostRun(kSilent, 1);
    silent.incarnation_start = row.lost;
    ledger.RecordStart(kStep, {{0, "w1"}});
    ledger.RecordRunEnd(kTask, 1, RunEnd::kWorkerSilent, "", silent);
    ledger.TakeDirtyBlocks();
    CHECK(ledger.OnWorkerAlive("w2", row.seen).empty());
    CHECK(ledger.OnWorkerAlive("w1", row.seen).size() ==
          static_cast<size_t>(row.cleared));
    CHECK(ledger.TakeDirtyBlocks().size() == static_cast<size_t>(row.cleared));
    CHECK(ledger.FindTask(kTask)->crashes.empty() == row.cleared);
    if (row.cleared) continue;
    // A sign of another incarnation does not keep a later one of the lost one
    // from clearing the task.
    ledger.OnWorkerAlive("w1", lost);
    CHECK(ledger.FindTask(kTask)->crashes.empty());
  }
}

// Guards against a sound job that is failed because workers that were cut off
// crashed behind the cut, after its runs there had ended; against a task that
// waits for ever for such workers, or for workers under which a new leader does
// not know that its run had begun; against a sixth start of a task that crashes
// workers which restart only after their leases; and against a task that waits
// although all its workers are known to be over, so that no sign can follow.
TEST_CASE("silent workers that end out of sight prove no crash by themselves") {
  struct Row {
    const char* name;
    // In order, one for each run.
    std::vector<RunCase> runs;
    // The runs whose workers are then known to have ended.
    std::vector<int> ended;
    CrashVerdict verdict;
    // Whether the runs of silent workers are known to have begun.
    bool began = true;
  };
  const auto may_start = CrashVerdict::kMayStart;
  const auto must_wait = CrashVerdict::kMustWait;
  const auto given_up = CrashVerdict::kGivenUp;
  const RunCase s = kSilent;
  const std::vector<Row> rows = {
      {"three losses, all ended", {s, s, s}, {1, 2, 3}, may_start},
      {"four, none ended", {s, s, s, s}, {}, must_wait},
      {"four, two ended", {s, s, s, s}, {1, 4}, must_wait},
      {"four, three ended", {s, s, s, s}, {1, 2, 4}, may_start},
      {"four, all ended", {s, s, s, s}, {1, 2, 3, 4}, may_start},
      {"one crash and three ended", {kAtWork, s, s, s}, {2, 3, 4}, may_start},
      {"two crashes and two ended", {kAtWork, s, s, kAtWork}, {2, 3}, given_up},
      {"five, three ended", {s, s, s, s, s}, {1, 2, 3}, must_wait},
      {"five, four ended", {s, s, s, s, s}, {1, 2, 3, 5}, given_up},
      {"five at the start, all ended",
       {kSilentAtStart, kSilentAtStart, kSilentAtStart, kSilentAtStart,
        kSilentAtStart},
       {1, 2, 3, 4, 5},
       given_up},
      {"four runs that may not have begun, two ended",
       {s, s, s, s},
       {1, 4},
       must_wait,
       false},
      {"four runs that may not have begun, all ended",
       {s, s, s, s},
       {1, 2, 3, 4},
       may_start,
       false},
      {"five runs that may not have begun, all ended",
       {s, s, s, s, s},
       {1, 2, 3, 4, 5},
       given_up,
       false},
      {"five runs that may not have begun, four ended",
       {s, s, s, s, s},
       {1, 2, 3, 5},
       must_wait,
       false},
      {"two that a change of leader hid, one silent and one at work",
       {kNoAnswer, s, kNoAnswer, kAtWork},
       {},
       may_start},
      {"the same, and a fifth one at the start",
       {kNoAnswer, s, kNoAnswer, kAtWork, kSilentAtStart},
       {2, 5},
       given_up},
      {"the same, and a fifth one that is not heard of again",
       {kNoAnswer, s, kNoAnswer, kAtWork, kSilentAtStart},
       {2},
       must_wait},
      {"the same, and a fifth one that is a crash",
       {kNoAnswer, s, kNoAnswer, kAtWork, kAtWork},
       {2},
       given_up},
  };
  const WallTime start = FromUnixMilliseconds(5000);
  for (const Row& row : rows) {
    for (const bool leaders_change : {false, true}) {
      CAPTURE(row.name);
      CAPTURE(leaders_change);
      const StepSpec step = MakeStep(1, 1);
      JobLedger ledger = LedgerWith(step);
      for (const RunCase& run : row.runs) {
        const int number = ledger.RecordStart(kStep, {{0, "w"}});
        LostRun lost = ToLostRun(run, number);
        lost.incarnation_start = start;
        lost.began = run.began && row.began;
        ledger.RecordRunEnd(kTask, number, run.end, "", lost);
        if (leaders_change) ledger = Successor(ledger, step);
      }
      for (const int run : row.ended) {
        const std::string worker = "w" + std::to_string(run);
        CHECK(ledger.OnWorkerEnded(worker, std::nullopt).empty());
        CHECK_FALSE(ledger.OnWorkerEnded(worker, start).empty());
        CHECK(ledger.OnWorkerEnded(worker, start).empty());
        if (leaders_change) ledger = Successor(ledger, step);
        // What is known to be over is not seen alive later.
        CHECK(ledger.OnWorkerAlive(worker, start).empty());
      }
      const bool failed = row.verdict == given_up;
      CHECK(ledger.FindTask(kTask)->crashes.verdict() == row.verdict);
      CHECK(IsTerminal(ledger.Find(kStep.job)->state) == failed);
      CHECK(ledger.FindTask(kTask)->crashes.losses.size() == row.runs.size());
    }
  }
}

// Guards against ends of other kinds that raise the attempts of a task: its job
// would be failed although none of its runs has failed.
// Guards against a task that waits for ever: a leader that never had a report
// of its worker recorded the loss without an incarnation, and the worker is
// back in one that began since the job was accepted, so that no later sign can
// tell which of them was lost.
TEST_CASE("a worker that is back accounts for a loss of unknown incarnation") {
  const WallTime accepted = MakeJob(kStep.job, {}).accepted;
  const WallTime before = accepted - std::chrono::minutes(1);
  const WallTime since = accepted + std::chrono::minutes(1);
  struct Row {
    const char* name;
    std::optional<WallTime> lost;
    WallTime seen;
    // Whether that incarnation reports how the run ended.
    bool reported;
    size_t losses;
    size_t accounted;
  };
  const std::vector<Row> rows = {
      {"began since the job", std::nullopt, since, false, 1, 1},
      {"began since the job, and lists the end", std::nullopt, since, true, 0,
       0},
      {"from before the job", std::nullopt, before, false, 0, 0},
      {"a later one than the lost one", before, since, false, 1, 1},
      {"the lost one", since, since, false, 0, 0},
      {"one from before the lost one", since, before, false, 1, 0},
  };
  for (const Row& row : rows) {
    const std::string name = row.name;
    CAPTURE(name);
    JobLedger ledger = LedgerWith(MakeStep(1, 1));
    const int run = ledger.RecordStart(kStep, {{0, "w1"}});
    LostRun silent = ToLostRun(kSilent, run);
    silent.number = run;
    silent.incarnation_start = row.lost;
    ledger.RecordRunEnd(kTask, run, RunEnd::kWorkerSilent, "", silent);
    if (row.reported) {
      LostRun reported;
      reported.worker = "w1";
      reported.number = run;
      ledger.RecordRunEnd(kTask, run, RunEnd::kLeaseLapsed, "", reported);
    }
    ledger.OnIncarnationSeen("w1", row.seen);
    ledger.OnWorkerAlive("w1", row.seen);
    const CrashRecord& crashes = ledger.FindTask(kTask)->crashes;
    CHECK(crashes.losses.size() == row.losses);
    CHECK(crashes.accounted_losses() == row.accounted);
  }
}

TEST_CASE("only failed runs use up the attempts of a task") {
  for (const bool is_gang : {false, true}) {
    for (const RunCase& run :
         {kSilent, kNeverBegan, kStopped, kLeft, kLapsed, kBroken, kAlone}) {
      CAPTURE(is_gang);
      CAPTURE(static_cast<int>(run.end));
      StepSpec step = MakeStep(2, 1);
      step.gang = is_gang;
      JobLedger ledger = LedgerWith(step);
      const int attempts = ledger.Find(kStep.job)->spec.policy.max_attempts;
      for (int i = 0; i <= 2 * attempts; ++i) {
        const int number = ledger.RecordStart(kStep, {{0, "v"}, {1, "w"}});
        // An end that is listed again counts once.
        for (int times = 0; times < 2; ++times) {
          for (const int index : {0, 1}) {
            ledger.RecordRunEnd({kStep, index}, number, run.end, "",
                                ToLostRun(run, number));
          }
        }
        ledger = Successor(ledger, step);
        CHECK_FALSE(IsTerminal(ledger.Find(kStep.job)->state));
      }
    }
  }
}

TEST_CASE("a gang is given up when one of its members crashes workers") {
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

TEST_CASE(
    "the failure of a job that is given up names the task and the workers "
    "that crashed") {
  JobLedger ledger = LedgerWith(MakeStep(1, 1));
  for (int run = 1; run <= 2; ++run) {
    ledger.RecordStart(kStep, {{0, "w"}});
    ledger.RecordRunEnd(kTask, run, RunEnd::kWorkerCrashed, "",
                        ToLostRun(kAtStart, run));
  }
  CHECK(ledger.Find(kStep.job)->failure ==
        "task 0123456789abcdef.0.0.0 was given up: 2 workers crashed under "
        "it: w1 w2");
}

}  // namespace
}  // namespace thornplank::testing
