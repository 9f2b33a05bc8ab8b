#include "scheduling/failure_tracker.h"

#include <algorithm>

namespace thornplank {
namespace {

// The longest quarantine, as a multiple of the first one.
constexpr int kMaxQuarantineFactor = 16;

}  // namespace

FailureTracker::FailureTracker(FailureLimits limits) : limits_(limits) {}

bool FailureTracker::IsSuspected(const Worker& worker) const {
  return worker.state != WorkerState::kHealthy ||
         static_cast<int>(worker.failed_jobs.size()) >=
             limits_.jobs_to_suspect_worker;
}

void FailureTracker::Quarantine(Worker& worker, Time now) {
  const Duration longest = limits_.quarantine_time * kMaxQuarantineFactor;
  worker.quarantine_time = worker.quarantine_time == Duration::zero()
                               ? limits_.quarantine_time
                               : std::min(longest, worker.quarantine_time * 2);
  worker.state = WorkerState::kQuarantined;
  worker.probe_at = now + worker.quarantine_time;
}

bool FailureTracker::RecordFailure(const std::string& job, WorkerIndex index,
                                   int worker_count, Time now) {
  Worker& worker = workers_[index];
  worker.failed_jobs.insert(job);
  ++jobs_[job].failed_on[index];
  ++jobs_[job].failures;
  if (worker.state == WorkerState::kProbing) {
    Quarantine(worker, now);
    return true;
  }
  if (worker.state == WorkerState::kQuarantined) return false;
  if (!IsSuspected(worker)) return false;
  const auto allowed =
      static_cast<size_t>(limits_.max_quarantined_share * worker_count);
  if (quarantined().size() >= allowed) return false;
  Quarantine(worker, now);
  return true;
}

bool FailureTracker::RecordSuccess(const std::string& job, WorkerIndex index) {
  jobs_.erase(job);
  const auto found = workers_.find(index);
  if (found == workers_.end()) return false;
  const bool was_good = found->second.state == WorkerState::kHealthy;
  workers_.erase(found);
  return !was_good;
}

bool FailureTracker::IsBadJob(const std::string& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return false;
  const Job& job = found->second;
  if (job.failures >= limits_.failures_at_most) return true;
  int good_workers = 0;
  int failures_on_good = 0;
  for (const auto& [index, count] : job.failed_on) {
    const auto worker = workers_.find(index);
    if (worker != workers_.end() && IsSuspected(worker->second)) continue;
    ++good_workers;
    failures_on_good += count;
  }
  // A cluster may have fewer than failures_to_judge_job workers; then the
  // number of failures decides.
  return good_workers >= limits_.failures_to_judge_job ||
         failures_on_good >= 2 * limits_.failures_to_judge_job - 1;
}

void FailureTracker::ForgetJob(const std::string& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  if (IsBadJob(id)) {
    for (const auto& [index, count] : found->second.failed_on) {
      const auto worker = workers_.find(index);
      if (worker == workers_.end()) continue;
      worker->second.failed_jobs.erase(id);
    }
  }
  jobs_.erase(found);
}

FailureTracker::WorkerState FailureTracker::state(WorkerIndex worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? WorkerState::kHealthy : found->second.state;
}

bool FailureTracker::IsProbeDue(WorkerIndex worker, Time now) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() &&
         found->second.state == WorkerState::kQuarantined &&
         found->second.probe_at <= now;
}

void FailureTracker::StartProbe(WorkerIndex worker) {
  workers_[worker].state = WorkerState::kProbing;
}

void FailureTracker::AbandonProbe(WorkerIndex worker) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  if (found->second.state != WorkerState::kProbing) return;
  found->second.state = WorkerState::kQuarantined;
}

std::vector<WorkerIndex> FailureTracker::quarantined() const {
  std::vector<WorkerIndex> found;
  for (const auto& [index, worker] : workers_) {
    if (worker.state != WorkerState::kHealthy) found.push_back(index);
  }
  return found;
}

std::optional<Time> FailureTracker::NextProbe() const {
  std::optional<Time> next;
  for (const auto& entry : workers_) {
    const Worker& worker = entry.second;
    if (worker.state != WorkerState::kQuarantined) continue;
    if (!next || worker.probe_at < *next) next = worker.probe_at;
  }
  return next;
}

}  // namespace thornplank
