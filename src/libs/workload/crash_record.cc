// Limits on the workers that may be lost under one task.
#include "workload/crash_record.h"

#include <algorithm>

namespace thornplank {
namespace {

// This many workers that crash in a row while they start the task show that the
// task is the cause.
constexpr int kMaxStartCrashes = 2;
// The published rule allows a task to be given up after this many crashes.
constexpr size_t kMinProvedCrashes = 2;
// Lost workers in total, proved to have crashed or not. The published rule
// allows at most five starts, and at most two after the third crash; one is
// left for a crash that a change of leader has hidden.
constexpr size_t kMaxWorkersLost = 4;
// The fifth start is for a task whose workers have ended, or are gone, without
// proof that it crashed them. If it loses that worker too, its job ends.
constexpr size_t kMinSettledForLastStart = 3;
constexpr size_t kMinAccountedToGiveUp = 4;
constexpr std::chrono::seconds kProvenRunTime{5};

// Callers' estimates may be wrong by a factor of two.
constexpr int kEstimateError = 2;

// Whether the worker fell silent so early that the run cannot have ended
// unnoticed before.
bool IsAtStart(const LostRun& run, const StepSpec& step) {
  Duration phase = kStartPhase;
  if (step.estimate > Milliseconds::zero()) {
    phase = std::min<Duration>(phase, step.estimate / kEstimateError);
  }
  return run.crashed && run.began && run.survived < phase;
}

// Marks the losses that match as ended. Returns whether one of them was not
// accounted for before.
template <typename Matches>
bool MarkEnded(std::vector<WorkerLoss>* losses, const Matches& matches) {
  bool changed = false;
  for (WorkerLoss& loss : *losses) {
    if (loss.is_accounted_for() || !matches(loss)) continue;
    loss.ended = true;
    changed = true;
  }
  return changed;
}

}  // namespace

bool WorkerLoss::IsOfIncarnation(const std::string& id,
                                 const std::optional<WallTime>& start,
                                 WallTime job_accepted) const {
  if (worker != id) return false;
  if (incarnation_start) return incarnation_start == start;
  return !start || PredatesJob(*start, job_accepted);
}

void CrashRecord::OnWorkerLost(const LostRun& run, const StepSpec& step) {
  if (step.long_running && run.survived >= kProvenRunTime) {
    *this = CrashRecord();
    return;
  }
  const bool at_start = IsAtStart(run, step);
  const bool proved =
      run.crashed && run.began && (at_start || run.within_lease);
  if (run.survived_start && !run.crashed) {
    start_crashes = 0;
    return;
  }
  // A crash without proof still shows that the incarnation is over, and nothing
  // will show it again.
  const bool ended = run.crashed && !proved;
  losses.push_back({run.worker, run.incarnation_start, proved, run.began, ended,
                    run.number, run.crashed ? "" : run.address});
  // Without proof there may or may not have been a crash at the start.
  if (!proved) return;
  start_crashes = at_start ? start_crashes + 1 : 0;
}

bool CrashRecord::OnWorkerAlive(
    const std::string& worker, const std::optional<WallTime>& incarnation_start,
    WallTime job_accepted) {
  const auto first =
      std::remove_if(losses.begin(), losses.end(), [&](const WorkerLoss& loss) {
        return !loss.is_accounted_for() &&
               loss.IsOfIncarnation(worker, incarnation_start, job_accepted);
      });
  const bool changed = first != losses.end();
  losses.erase(first, losses.end());
  return changed;
}

bool CrashRecord::OnRunEndReported(const std::string& worker, int run) {
  const auto first =
      std::remove_if(losses.begin(), losses.end(), [&](const WorkerLoss& loss) {
        return !loss.crashed && loss.worker == worker && loss.run == run;
      });
  const bool changed = first != losses.end();
  losses.erase(first, losses.end());
  return changed;
}

bool CrashRecord::OnWorkerEnded(
    const std::string& worker,
    const std::optional<WallTime>& incarnation_start) {
  return MarkEnded(&losses, [&](const WorkerLoss& loss) {
    return loss.worker == worker && loss.incarnation_start == incarnation_start;
  });
}

bool CrashRecord::OnIncarnationSeen(const std::string& worker, WallTime start,
                                    WallTime job_accepted) {
  return MarkEnded(&losses, [&](const WorkerLoss& loss) {
    if (loss.worker != worker) return false;
    if (loss.incarnation_start) return *loss.incarnation_start < start;
    return !PredatesJob(start, job_accepted);
  });
}

bool CrashRecord::OnWorkerAt(const std::string& address,
                             const std::string& worker) {
  return MarkEnded(&losses, [&](const WorkerLoss& loss) {
    return loss.address == address && loss.worker != worker;
  });
}

bool CrashRecord::OnWorkerGone(const std::string& worker) {
  bool changed = false;
  for (WorkerLoss& loss : losses) {
    if (loss.worker != worker || loss.is_settled()) continue;
    loss.gone = true;
    changed = true;
  }
  return changed;
}

bool CrashRecord::HasUnsettled(const std::string& worker) const {
  return std::any_of(losses.begin(), losses.end(),
                     [&worker](const WorkerLoss& loss) {
                       return !loss.is_settled() && loss.worker == worker;
                     });
}

bool CrashRecord::HasUnaccounted(const std::string& worker) const {
  return std::any_of(losses.begin(), losses.end(),
                     [&worker](const WorkerLoss& loss) {
                       return !loss.is_accounted_for() && loss.worker == worker;
                     });
}

size_t CrashRecord::proved_crashes() const {
  return static_cast<size_t>(
      std::count_if(losses.begin(), losses.end(),
                    [](const WorkerLoss& loss) { return loss.crashed; }));
}

size_t CrashRecord::accounted_losses() const {
  return static_cast<size_t>(std::count_if(
      losses.begin(), losses.end(),
      [](const WorkerLoss& loss) { return loss.is_accounted_for(); }));
}

size_t CrashRecord::settled_losses() const {
  return static_cast<size_t>(
      std::count_if(losses.begin(), losses.end(),
                    [](const WorkerLoss& loss) { return loss.is_settled(); }));
}

size_t CrashRecord::accounted_losses_of_runs() const {
  return static_cast<size_t>(
      std::count_if(losses.begin(), losses.end(), [](const WorkerLoss& loss) {
        return loss.began && loss.is_accounted_for();
      }));
}

CrashVerdict CrashRecord::verdict() const {
  if (start_crashes >= kMaxStartCrashes) return CrashVerdict::kGivenUp;
  if (losses.size() < kMaxWorkersLost) return CrashVerdict::kMayStart;
  if (proved_crashes() >= kMinProvedCrashes) return CrashVerdict::kGivenUp;
  const size_t settled = settled_losses();
  if (losses.size() == kMaxWorkersLost && unclear_starts == 0) {
    return settled >= kMinSettledForLastStart ? CrashVerdict::kMayStart
                                              : CrashVerdict::kMustWait;
  }
  // It has had its last start; with four losses an unclear start may have been
  // the fifth. Nothing can end the wait once all workers are settled.
  const bool is_over = settled == losses.size();
  return is_over || accounted_losses_of_runs() >= kMinAccountedToGiveUp
             ? CrashVerdict::kGivenUp
             : CrashVerdict::kMustWait;
}

std::string CrashRecord::ToText() const {
  std::string crashed;
  std::string ended;
  std::string gone;
  std::string silent;
  for (const WorkerLoss& loss : losses) {
    std::string& list = loss.crashed ? crashed
                        : loss.ended ? ended
                        : loss.gone  ? gone
                                     : silent;
    list += " " + loss.worker;
  }
  std::string text =
      std::to_string(proved_crashes()) + " workers crashed under it:" + crashed;
  if (!ended.empty()) text += "; ended out of sight:" + ended;
  if (!gone.empty()) text += "; not heard of again:" + gone;
  if (!silent.empty()) text += "; lost without proof:" + silent;
  return text;
}

}  // namespace thornplank
