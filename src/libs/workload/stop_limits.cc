// Compares stops with the limits of steps and accounts.
#include "workload/stop_limits.h"

#include <optional>
#include <utility>

namespace thornplank {
namespace {

// A task that was started more often is not stopped again for a step that is
// not owed its room, so that it ends at some time.
constexpr int kMaxStartsOfVictim = 2;

}  // namespace

bool StopLimits::MayTake(const TrackedRun& run) const {
  if (run.profile.long_running) {
    const std::optional<int> left = sources_.budgets->StopsLeft(run.task.step);
    const auto taken = tasks_.find(run.task.step);
    if (left && *left <= (taken == tasks_.end() ? 0 : taken->second)) {
      return false;
    }
  }
  if (run.profile.priority != 0) return true;
  if (!sources_.may_reclaim) return false;
  if (gangs_.count(run.task.step) > 0) return true;
  if (ExcessLeft(run) <= 0) return false;
  return sources_.is_owed || !IsLastResort(run);
}

bool StopLimits::Take(const TrackedRun& run) {
  if (!MayTake(run)) return false;
  if (run.profile.long_running) ++tasks_[run.task.step];
  if (run.profile.priority != 0) return true;
  if (run.profile.gang && !gangs_.insert(run.task.step).second) return true;
  accelerators_[run.profile.account] += AcceleratorsFreedBy(run);
  return true;
}

bool StopLimits::TakeAll(const std::vector<const TrackedRun*>& runs) {
  StopLimits after = *this;
  for (const TrackedRun* run : runs) {
    if (!after.Take(*run)) return false;
  }
  *this = std::move(after);
  return true;
}

bool StopLimits::IsLastResort(const TrackedRun& run) const {
  if (run.profile.priority != 0) return false;
  return run.run > kMaxStartsOfVictim ||
         ExcessLeft(run) < AcceleratorsFreedBy(run);
}

int64_t StopLimits::ExcessLeft(const TrackedRun& run) const {
  const std::string& account = run.profile.account;
  const auto taken = accelerators_.find(account);
  return sources_.balance->Excess(account) -
         (taken == accelerators_.end() ? 0 : taken->second);
}

int64_t StopLimits::AcceleratorsFreedBy(const TrackedRun& run) const {
  const int64_t own = run.profile.need.accelerators;
  if (!run.profile.gang) return own;
  const StepSpec* spec = sources_.ledger->FindStepSpec(run.task.step);
  return spec == nullptr ? own : own * spec->count;
}

}  // namespace thornplank
