// Accelerators of tasks that must not be stopped.
#include "workload/protected_tasks.h"

#include <algorithm>

#include "workload/disruption_budgets.h"

namespace thornplank {

ProtectedTasks::ProtectedTasks(const ClusterCapacity* capacity,
                               const JobLedger* ledger,
                               const Guarantees* guarantees,
                               const GuaranteeDemand* demand)
    : capacity_(*capacity),
      ledger_(*ledger),
      guarantees_(*guarantees),
      demand_(*demand) {}

int64_t ProtectedTasks::MayStart(const ReadyStep& step) {
  const auto waiting = static_cast<int64_t>(step.waiting.size());
  const StepSpec& spec = *step.spec;
  if (!DisruptionBudgets::IsProtected(spec) || step.within_guarantee ||
      spec.need.accelerators <= 0) {
    return waiting;
  }
  const int64_t tasks = TasksWithin(AcceleratorsOutsideGuarantees(step), step);
  if (tasks >= waiting) return waiting;
  const StepProgress& progress = *ledger_.FindStep(step.ref);
  const int64_t lost =
      std::count_if(step.waiting.begin(), step.waiting.end(), [&](int index) {
        return progress.tasks[static_cast<size_t>(index)].run > 0;
      });
  if (lost == 0) return tasks;
  const int64_t again =
      std::min(TasksWithin(AcceleratorsForRestarts(step), step), lost);
  // A gang starts whole or not at all.
  if (spec.gang && again < waiting) return tasks;
  return std::max(tasks, again);
}

int64_t ProtectedTasks::TasksWithin(int64_t accelerators,
                                    const ReadyStep& step) {
  const auto waiting = static_cast<int64_t>(step.waiting.size());
  const StepSpec& spec = *step.spec;
  const StepProgress& progress = *ledger_.FindStep(step.ref);
  int64_t of_others = UsedInService(step.service());
  if (!UsesOwnGuarantee(step.job->spec)) {
    of_others -= UsedByStep(step.ref, spec, progress);
  }
  const int64_t tasks = (accelerators - of_others) / spec.need.accelerators;
  if (tasks >= DisruptionBudgets::MustStay(spec)) return waiting;
  if (spec.gang) return 0;
  return std::clamp<int64_t>(tasks - ActiveTasks(step.ref, progress), 0,
                             waiting);
}

void ProtectedTasks::OnStarted(const ReadyStep& step, size_t tasks) {
  if (!DisruptionBudgets::IsProtected(*step.spec)) return;
  const StepProgress& progress = *ledger_.FindStep(step.ref);
  const int64_t before = UsedByStep(step.ref, *step.spec, progress);
  started_[step.ref] += static_cast<int64_t>(tasks);
  const auto sum = used_.find(step.service());
  if (sum == used_.end() || step.within_guarantee) return;
  sum->second += UsedByStep(step.ref, *step.spec, progress) - before;
}

int64_t ProtectedTasks::AcceleratorsOutsideGuarantees(
    const ReadyStep& step) const {
  const std::string& account = step.job->spec.account;
  int64_t left = capacity_.TotalCapacity(step.service()).accelerators;
  for (const auto& [owner, guaranteed] : guarantees_) {
    left -= owner == account ? OwnUse(owner, guaranteed) : guaranteed;
  }
  return left;
}

int64_t ProtectedTasks::AcceleratorsForRestarts(const ReadyStep& step) const {
  const std::string& account = step.job->spec.account;
  int64_t left = capacity_.TotalCapacity(step.service()).accelerators;
  int64_t largest_rest = 0;
  for (const auto& [owner, guaranteed] : guarantees_) {
    if (owner == account) {
      left -= OwnUse(owner, guaranteed);
      continue;
    }
    const int64_t expected = std::min(guaranteed, demand_.Recent(owner));
    left -= expected;
    largest_rest = std::max(largest_rest, guaranteed - expected);
  }
  return left - largest_rest;
}

int64_t ProtectedTasks::OwnUse(const std::string& account,
                               int64_t guaranteed) const {
  return std::min(guaranteed, capacity_.UrgentAccelerators(account));
}

int64_t ProtectedTasks::ActiveTasks(const StepRef& ref,
                                    const StepProgress& progress) const {
  const auto started = started_.find(ref);
  return progress.active() + (started == started_.end() ? 0 : started->second);
}

bool ProtectedTasks::UsesOwnGuarantee(const JobDefinition& job) const {
  if (job.policy.priority != 0) return false;
  const auto guarantee = guarantees_.find(job.account);
  return guarantee != guarantees_.end() &&
         capacity_.UrgentAccelerators(job.account) <= guarantee->second;
}

int64_t ProtectedTasks::UsedByStep(const StepRef& ref, const StepSpec& spec,
                                   const StepProgress& progress) const {
  return spec.need.accelerators * std::min(DisruptionBudgets::MustStay(spec),
                                           ActiveTasks(ref, progress));
}

int64_t ProtectedTasks::UsedInService(const std::string& service) {
  const auto [known, is_new] = used_.try_emplace(service);
  if (!is_new) return known->second;
  for (const auto& [id, job] : ledger_.jobs()) {
    if (job->spec.policy.service != service) continue;
    if (IsTerminal(job->state) || UsesOwnGuarantee(job->spec)) continue;
    for (size_t k = 0; k < job->occurrences.size(); ++k) {
      for (size_t i = 0; i < job->spec.steps.size(); ++i) {
        const StepSpec& spec = job->spec.steps[i];
        if (!DisruptionBudgets::IsProtected(spec)) continue;
        const StepRef ref{id, static_cast<int>(k), static_cast<int>(i)};
        known->second += UsedByStep(ref, spec, job->occurrences[k][i]);
      }
    }
  }
  return known->second;
}

}  // namespace thornplank
