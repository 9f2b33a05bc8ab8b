// Limits on the workers that one task may crash.
#include "workload/crash_record.h"

#include <algorithm>

namespace thornplank {
namespace {

// This many workers that crash in a row while they start the task show that the
// task is the cause. The published rule allows a task to be given up after two
// crashes.
constexpr int kMaxStartCrashes = 2;
// Lost workers in total. The published rule allows at most five starts, and at
// most two after the third crash; one is left for a crash that a change of
// leader has hidden.
constexpr size_t kMaxWorkersLost = 4;
constexpr std::chrono::seconds kProvenRunTime{5};

// Callers' estimates may be wrong by a factor of two.
constexpr int kEstimateError = 2;

// Whether the worker crashed so early that the run cannot have ended unnoticed
// before.
bool IsAtStart(const LostRun& run, const StepSpec& step) {
  Duration phase = kStartPhase;
  if (step.estimate > Milliseconds::zero()) {
    phase = std::min<Duration>(phase, step.estimate / kEstimateError);
  }
  return run.crashed && run.began && run.survived < phase;
}

}  // namespace

void CrashRecord::OnWorkerLost(const LostRun& run, const StepSpec& step) {
  if (step.long_running && run.survived >= kProvenRunTime) {
    *this = CrashRecord();
    return;
  }
  lost_workers.push_back(run.worker);
  start_crashes = IsAtStart(run, step) ? start_crashes + 1 : 0;
}

bool CrashRecord::ShouldGiveUp() const {
  return start_crashes >= kMaxStartCrashes ||
         lost_workers.size() >= kMaxWorkersLost;
}

std::string CrashRecord::ToText() const {
  std::string text =
      std::to_string(lost_workers.size()) + " workers were lost under it:";
  for (const std::string& worker : lost_workers) {
    text += " " + worker;
  }
  return text;
}

}  // namespace thornplank
