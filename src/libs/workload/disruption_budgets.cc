// Counts the tasks of protected steps that are not at work.
#include "workload/disruption_budgets.h"

#include <algorithm>

namespace thornplank {
namespace {

// A long-running task is at work once it reports this percentage.
constexpr int kAtWorkPercent = 100;

}  // namespace

bool DisruptionBudgets::IsProtected(const StepSpec& spec) {
  return spec.long_running && spec.max_unavailable > 0 &&
         spec.max_unavailable < spec.count;
}

int64_t DisruptionBudgets::MustStay(const StepSpec& spec) {
  if (!IsProtected(spec)) return 0;
  return spec.gang ? spec.count : spec.count - spec.max_unavailable;
}

std::optional<int> DisruptionBudgets::StopsLeft(const StepRef& ref) {
  const auto known = stops_left_.find(ref);
  if (known != stops_left_.end()) return known->second;
  return stops_left_[ref] = CountStopsLeft(ref);
}

void DisruptionBudgets::OnStop(const StepRef& ref) {
  const std::optional<int> left = StopsLeft(ref);
  if (left) stops_left_[ref] = std::max(*left - 1, 0);
}

std::optional<int> DisruptionBudgets::CountStopsLeft(const StepRef& ref) const {
  const StepSpec* spec = ledger_.FindStepSpec(ref);
  const StepProgress* progress = ledger_.FindStep(ref);
  // A run of an unknown job is stopped for another reason.
  if (spec == nullptr || progress == nullptr) return 0;
  if (!IsProtected(*spec)) return std::nullopt;
  if (spec->gang) return 0;
  int away = 0;
  for (size_t i = 0; i < progress->tasks.size(); ++i) {
    if (!IsAtWork({ref, static_cast<int>(i)}, progress->tasks[i])) ++away;
  }
  return std::max(spec->max_unavailable - away, 0);
}

// Only what the worker itself has reported counts: an inherited run, or one on
// a worker that does not answer, may be gone.
bool DisruptionBudgets::IsAtWork(const TaskRef& ref,
                                 const TaskStatus& task) const {
  if (task.phase != TaskPhase::kActive) return false;
  const auto worker = workers_.find(task.worker);
  if (worker == workers_.end() || !worker->second.reachable()) return false;
  const auto run = worker->second.runs().find(ref);
  if (run == worker->second.runs().end()) return false;
  return run->second.stage == RunStage::kRunning && !run->second.stop_wanted &&
         run->second.percent >= kAtWorkPercent;
}

}  // namespace thornplank
