// A task that loses several workers, over all ways in which they are lost and
// changes of leader.
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
// After the third crash a task may be started twice.
constexpr int kMaxStarts = 5;

enum class Fate {
  kGoneForGood,
  kBackUnderItsId,
  kBackUnderAnotherId,
  kCutOffAndBackLate,
  kCrashedAtStart,
  kCrashedLater,
};

struct Row {
  const char* name;
  Fate fate;
  // Whether the run is seen alive after its start.
  bool seen_alive;
  // The loss with which the job fails; 0: it never does.
  int failed_at;
};

WallTime StartOf(int loss) {
  return FromUnixMilliseconds(2000000 + 1000 * loss);
}

std::string AddressOf(const std::string& worker) { return "at " + worker; }

JobLedger LedgerWith(const StepSpec& step) {
  JobLedger ledger;
  ledger.Add(MakeJob(kStep.job, {step}), At(0));
  return ledger;
}

// The ledger of a new leader that has only what the previous one stored.
JobLedger Successor(const JobLedger& before, const StepSpec& step) {
  JobLedger after = LedgerWith(step);
  const std::string bytes = EncodeBlock(*before.FindBlock({kStep, 0}));
  REQUIRE(after.Restore(kStep, {{0, *DecodeBlock(bytes, nullptr)}}));
  return after;
}

bool MayStart(const JobLedger& ledger) {
  return !CollectReadySteps(ledger, FromUnixMilliseconds(0)).empty();
}

void Lose(Fate fate, int loss, int run, JobLedger* ledger) {
  LostRun lost;
  lost.worker = "w" + std::to_string(loss);
  lost.address = AddressOf(lost.worker);
  lost.number = run;
  lost.incarnation_start = StartOf(loss);
  lost.began = true;
  const bool crashed =
      fate == Fate::kCrashedAtStart || fate == Fate::kCrashedLater;
  lost.crashed = crashed;
  lost.within_lease = crashed;
  lost.survived =
      fate == Fate::kCrashedAtStart ? Milliseconds(10) : Milliseconds(900);
  const RunEnd end = crashed ? RunEnd::kWorkerCrashed : RunEnd::kWorkerSilent;
  ledger->RecordRunEnd(kTask, run, end, "", lost);
}

// What is heard of the worker in the end.
void Settle(Fate fate, int loss, JobLedger* ledger) {
  const std::string worker = "w" + std::to_string(loss);
  switch (fate) {
    case Fate::kGoneForGood:
      ledger->OnWorkerGone(worker);
      return;
    case Fate::kBackUnderItsId:
      ledger->OnIncarnationSeen(worker, StartOf(loss) + std::chrono::hours(1));
      return;
    case Fate::kBackUnderAnotherId:
      ledger->OnWorkerAt(AddressOf(worker), "x" + std::to_string(loss));
      return;
    case Fate::kCutOffAndBackLate:
      ledger->OnWorkerGone(worker);
      ledger->OnWorkerAlive(worker, StartOf(loss));
      return;
    case Fate::kCrashedAtStart:
    case Fate::kCrashedLater:
      return;
  }
}

// Guards against a task that waits without end for its lost workers, a sound
// one whose job is failed for them, and one that crashes its workers and is
// started more often than it may be.
TEST_CASE("a task that loses its workers goes on or fails, in bounded time") {
  const std::vector<Row> rows = {
      {"gone for good, seen at work", Fate::kGoneForGood, true, 0},
      {"gone for good at the start", Fate::kGoneForGood, false, 5},
      {"back under its id, seen at work", Fate::kBackUnderItsId, true, 0},
      {"back under its id", Fate::kBackUnderItsId, false, 5},
      {"back under another id, seen at work", Fate::kBackUnderAnotherId, true,
       0},
      {"back under another id", Fate::kBackUnderAnotherId, false, 5},
      {"cut off and back late, seen at work", Fate::kCutOffAndBackLate, true,
       0},
      {"cut off and back late", Fate::kCutOffAndBackLate, false, 0},
      {"crashed at the start", Fate::kCrashedAtStart, false, 2},
      {"crashed later", Fate::kCrashedLater, true, 4},
  };
  for (const Row& row : rows) {
    for (const int losses : {1, 2, 3, 4, 5, 6}) {
      for (const int changes : {0, 1, 4}) {
        for (const Milliseconds estimate :
             {Milliseconds(2000), Milliseconds(7200000)}) {
          CAPTURE(std::string(row.name));
          CAPTURE(losses);
          CAPTURE(changes);
          CAPTURE(estimate.count());
          StepSpec step = MakeStep(1, 1);
          step.estimate = estimate;
          JobLedger ledger = LedgerWith(step);
          int starts = 0;
          for (int loss = 1; loss <= losses; ++loss) {
            if (!MayStart(ledger)) break;
            ++starts;
            const std::string worker = "w" + std::to_string(loss);
            const int run = ledger.RecordStart(kStep, {{0, worker}});
            if (row.seen_alive) ledger.RecordSurvivedStart(kTask, run);
            const bool changes_now = loss <= changes;
            if (changes_now) ledger = Successor(ledger, step);
            Lose(row.fate, loss, run, &ledger);
            Settle(row.fate, loss, &ledger);
            if (changes_now) ledger = Successor(ledger, step);
          }
          const bool failed =
              ledger.Find(kStep.job)->state == JobState::kFailed;
          CHECK(failed == (row.failed_at > 0 && losses >= row.failed_at));
          // It never waits once all is heard that there is to hear.
          CHECK(MayStart(ledger) == !failed);
          if (row.failed_at > 0) CHECK(starts <= kMaxStarts);
        }
      }
    }
  }
}

// Guards against a wait without end after starts on workers that were leaving.
TEST_CASE("a task with unclear starts ends once its workers are gone") {
  const StepSpec step = MakeStep(1, 1);
  JobLedger ledger = LedgerWith(step);
  const int left = ledger.RecordStart(kStep, {{0, "w0"}});
  LostRun at_start;
  at_start.worker = "w0";
  at_start.began = true;
  ledger.RecordRunEnd(kTask, left, RunEnd::kWorkerLeft, "", at_start);
  for (int loss = 1; loss <= 4; ++loss) {
    REQUIRE(MayStart(ledger));
    const int run =
        ledger.RecordStart(kStep, {{0, "w" + std::to_string(loss)}});
    Lose(Fate::kGoneForGood, loss, run, &ledger);
  }
  CHECK_FALSE(MayStart(ledger));
  CHECK_FALSE(IsTerminal(ledger.Find(kStep.job)->state));
  CHECK(ledger.UnsettledWorkers().size() == 4);
  for (int loss = 1; loss <= 4; ++loss) {
    ledger = Successor(ledger, step);
    Settle(Fate::kGoneForGood, loss, &ledger);
  }
  CHECK(ledger.UnsettledWorkers().empty());
  CHECK(ledger.Find(kStep.job)->state == JobState::kFailed);
  CHECK(ledger.Find(kStep.job)->failure.find("not heard of again") !=
        std::string::npos);
}

// Guards against evidence that a successor does not have, or that costs a write
// for each run.
TEST_CASE("a survived start is stored once a worker was lost under the task") {
  const StepSpec step = MakeStep(1, 1);
  JobLedger ledger = LedgerWith(step);
  int run = ledger.RecordStart(kStep, {{0, "w1"}});
  ledger.TakeDirtyBlocks();
  ledger.RecordSurvivedStart(kTask, run);
  CHECK(ledger.TakeDirtyBlocks().empty());
  ledger = LedgerWith(step);
  run = ledger.RecordStart(kStep, {{0, "w1"}});
  Lose(Fate::kGoneForGood, 1, run, &ledger);
  CHECK(ledger.FindTask(kTask)->crashes.losses.size() == 1);
  run = ledger.RecordStart(kStep, {{0, "w2"}});
  ledger.TakeDirtyBlocks();
  ledger.RecordSurvivedStart(kTask, run);
  CHECK(ledger.TakeDirtyBlocks().size() == 1);
  ledger.RecordSurvivedStart(kTask, run);
  ledger.RecordSurvivedStart(kTask, run - 1);
  CHECK(ledger.TakeDirtyBlocks().empty());
  ledger = Successor(ledger, step);
  CHECK(ledger.FindTask(kTask)->survived_run == run);
  Lose(Fate::kGoneForGood, 2, run, &ledger);
  CHECK(ledger.FindTask(kTask)->crashes.losses.size() == 1);
}

}  // namespace
}  // namespace thornplank::testing
