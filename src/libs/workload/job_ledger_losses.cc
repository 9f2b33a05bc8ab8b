// What is heard of workers that were lost under tasks.
#include <algorithm>
#include <utility>

#include "workload/job_ledger.h"

namespace thornplank {

void JobLedger::FailJobIfGivenUp(const TaskRef& ref, Job* job,
                                 const TaskStatus& task) {
  if (task.phase == TaskPhase::kDone || !task.crashes.ShouldGiveUp()) return;
  Fail(job,
       "task " + ref.ToString() + " was given up: " + task.crashes.ToText());
}

void JobLedger::IndexUnaccountedLosses(const TaskRef& ref,
                                       const TaskStatus& task) {
  for (const WorkerLoss& loss : task.crashes.losses) {
    if (loss.is_accounted_for()) continue;
    unaccounted_losses_[loss.worker].insert(ref);
    if (loss.address.empty()) continue;
    lost_workers_at_[loss.address].insert(loss.worker);
  }
}

std::vector<TaskRef> JobLedger::OnWorkerAlive(
    const std::string& worker,
    const std::optional<WallTime>& incarnation_start) {
  std::vector<TaskRef> cleared;
  const auto found = unaccounted_losses_.find(worker);
  if (found == unaccounted_losses_.end()) return cleared;
  std::set<TaskRef> left;
  for (const TaskRef& ref : found->second) {
    StepProgress* progress = FindStep(ref.step);
    if (progress == nullptr) continue;
    TaskStatus& task = progress->tasks[static_cast<size_t>(ref.index)];
    const WallTime accepted = Find(ref.step.job)->spec.accepted;
    if (task.crashes.OnWorkerAlive(worker, incarnation_start, accepted)) {
      MarkDirty(*FindStepSpec(ref.step), ref);
      cleared.push_back(ref);
    }
    if (task.crashes.HasUnaccounted(worker)) left.insert(ref);
  }
  found->second = std::move(left);
  if (found->second.empty()) unaccounted_losses_.erase(found);
  return cleared;
}

std::vector<TaskRef> JobLedger::OnWorkerEnded(
    const std::string& worker,
    const std::optional<WallTime>& incarnation_start) {
  return UpdateCrashRecords(worker, [&](CrashRecord* crashes, WallTime) {
    return crashes->OnWorkerEnded(worker, incarnation_start);
  });
}

std::vector<TaskRef> JobLedger::OnIncarnationSeen(const std::string& worker,
                                                  WallTime start) {
  return UpdateCrashRecords(
      worker, [&](CrashRecord* crashes, WallTime job_accepted) {
        return crashes->OnIncarnationSeen(worker, start, job_accepted);
      });
}

std::vector<TaskRef> JobLedger::OnWorkerAt(const std::string& address,
                                           const std::string& worker) {
  std::vector<TaskRef> changed;
  const auto found = lost_workers_at_.find(address);
  if (found == lost_workers_at_.end()) return changed;
  std::set<std::string> left;
  for (const std::string& lost : found->second) {
    if (lost == worker) {
      left.insert(lost);
      continue;
    }
    const std::vector<TaskRef> tasks =
        UpdateCrashRecords(lost, [&](CrashRecord* crashes, WallTime) {
          return crashes->OnWorkerAt(address, worker);
        });
    changed.insert(changed.end(), tasks.begin(), tasks.end());
  }
  found->second = std::move(left);
  if (found->second.empty()) lost_workers_at_.erase(found);
  return changed;
}

std::vector<TaskRef> JobLedger::OnWorkerGone(const std::string& worker) {
  return UpdateCrashRecords(worker, [&](CrashRecord* crashes, WallTime) {
    return crashes->OnWorkerGone(worker);
  });
}

std::vector<std::string> JobLedger::UnsettledWorkers() const {
  std::vector<std::string> workers;
  for (const auto& [worker, tasks] : unaccounted_losses_) {
    const std::string& id = worker;
    const bool is_unsettled =
        std::any_of(tasks.begin(), tasks.end(), [&](const TaskRef& ref) {
          const TaskStatus* task = FindTask(ref);
          return task != nullptr && task->crashes.HasUnsettled(id);
        });
    if (is_unsettled) workers.push_back(worker);
  }
  return workers;
}

void JobLedger::RecordSurvivedStart(const TaskRef& ref, int run) {
  StepProgress* progress = FindStep(ref.step);
  if (progress == nullptr) return;
  const auto index = static_cast<size_t>(ref.index);
  if (index >= progress->tasks.size()) return;
  TaskStatus& task = progress->tasks[index];
  if (task.run != run || task.survived_run == run) return;
  task.survived_run = run;
  // Of a task under which no worker was lost so far, one loss more or less
  // makes no difference.
  if (!task.crashes.empty()) MarkDirty(*FindStepSpec(ref.step), ref);
}

std::vector<TaskRef> JobLedger::UpdateCrashRecords(
    const std::string& worker,
    const std::function<bool(CrashRecord*, WallTime)>& update) {
  std::vector<TaskRef> changed;
  const auto found = unaccounted_losses_.find(worker);
  if (found == unaccounted_losses_.end()) return changed;
  for (const TaskRef& ref : found->second) {
    StepProgress* progress = FindStep(ref.step);
    if (progress == nullptr) continue;
    TaskStatus& task = progress->tasks[static_cast<size_t>(ref.index)];
    Job* job = Find(ref.step.job);
    if (!update(&task.crashes, job->spec.accepted)) continue;
    MarkDirty(*FindStepSpec(ref.step), ref);
    FailJobIfGivenUp(ref, job, task);
    changed.push_back(ref);
  }
  return changed;
}

}  // namespace thornplank
