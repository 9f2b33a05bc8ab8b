// Bounds on the workers that a task may take down.
#include "workload/crash_record.h"

#include <algorithm>

namespace thornplank {
namespace {

// Workers that crash as they start the task: the task, not chance. Tasks may be
// given up from two crashes on (published).
constexpr int kMostCrashesAtStart = 2;
// Of any kind. Not more than five starts are allowed, two after the third crash
// (published); one is left for a crash that a change of leader has hidden.
constexpr size_t kMostWorkersLost = 4;
constexpr std::chrono::seconds kProvenWork{5};

// Estimates may be off by a factor of two.
constexpr int kEstimateError = 2;

// Whether it was lost so early that it cannot have ended unheard.
bool IsAtStart(const LostRun& run, const StepSpec& step) {
  Duration phase = kStartPhase;
  if (step.estimate > Milliseconds::zero()) {
    phase = std::min<Duration>(phase, step.estimate / kEstimateError);
  }
  return run.crashed && run.began && run.survived < phase;
}

}  // namespace

void CrashRecord::OnWorkerLost(const LostRun& run, const StepSpec& step) {
  if (step.long_running && run.survived >= kProvenWork) {
    *this = CrashRecord();
    return;
  }
  lost_workers.push_back(run.worker);
  start_crashes = IsAtStart(run, step) ? start_crashes + 1 : 0;
}

bool CrashRecord::ShouldGiveUp() const {
  return start_crashes >= kMostCrashesAtStart ||
         lost_workers.size() >= kMostWorkersLost;
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
