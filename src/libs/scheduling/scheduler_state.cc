#include "scheduling/scheduler_state.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

// Limit on the final jobs kept here. The state of the job stream remains their
// record.
constexpr size_t kMaxFinalJobs = 20000;
// Time allowed from the request to stop a gang until its workers answer.
constexpr Duration kStopAllowance = std::chrono::seconds(2);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

FailureLimits LimitsFrom(const SchedulerOptions& options) {
  FailureLimits limits;
  limits.failures_to_judge_job = options.max_attempts;
  limits.max_quarantined_share = options.max_quarantined_share;
  limits.quarantine_time = options.quarantine_time;
  return limits;
}

}  // namespace

SchedulerState::SchedulerState(SchedulerOptions given)
    : options(std::move(given)),
      gangs(cluster),
      guarantee_placement(cluster, options.seed),
      estimator(options.assumed_checkpoint_time),
      failure_tracker(LimitsFrom(options)),
      fragmentation(cluster),
      reservation(options.max_reservation_delays) {}

JobRecord* SchedulerState::FindJob(const std::string& id) const {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : found->second.get();
}

int SchedulerState::FindOrAddClass(const JobSpec& spec) {
  const std::string key =
      spec.account + '\n' + spec.event + '\n' + spec.shape.ToString() +
      (spec.priority == Priority::kUrgent ? "\nurgent" : "");
  const auto [entry, is_new] =
      class_by_key_.emplace(key, static_cast<int>(classes.size()));
  if (!is_new) return entry->second;
  JobClass added;
  added.account = spec.account;
  added.shape = spec.shape;
  added.event = spec.event;
  added.priority = spec.priority;
  classes.push_back(std::move(added));
  return entry->second;
}

void SchedulerState::AddWaiting(JobRecord& job) {
  std::vector<JobRecord*>& waiting = ClassOf(job).waiting;
  const auto position = std::upper_bound(
      waiting.begin(), waiting.end(), &job,
      [](const JobRecord* a, const JobRecord* b) {
        return a->spec.submitted_order < b->spec.submitted_order;
      });
  waiting.insert(position, &job);
}

void SchedulerState::RemoveWaiting(JobRecord& job) {
  std::vector<JobRecord*>& waiting = ClassOf(job).waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), &job),
                waiting.end());
}

void SchedulerState::SetPhase(JobRecord& job, JobPhase phase,
                              const std::string& reason) {
  job.phase = phase;
  job.reason = reason;
  actions.push_back(
      PhaseChanged{job.spec.id, phase, reason, job.saved_progress});
  if (!IsFinal(phase)) return;
  final_jobs_.push_back(job.spec.id);
  DropOldFinalJobs();
}

void SchedulerState::DropOldFinalJobs() {
  if (final_jobs_.size() <= kMaxFinalJobs) return;
  const std::string oldest = std::move(final_jobs_.front());
  final_jobs_.pop_front();
  const JobRecord* job = FindJob(oldest);
  if (!job) return;
  if (job->allocation) {
    final_jobs_.push_back(oldest);  // some of its leases are still held
  } else {
    jobs.erase(oldest);
  }
}

void SchedulerState::DropPlan(JobRecord& job) {
  if (!job.plan) return;
  for (const WorkerIndex worker : job.plan->workers) {
    cluster.Unclaim(worker, job.spec.shape.accelerators_per_member);
  }
  job.plan.reset();
  planned.erase(job.spec.id);
}

void SchedulerState::ReleaseAllocation(JobRecord& job) {
  if (!job.allocation) return;
  guarantee_placement.Release(*job.allocation);
  job.allocation.reset();
}

const AccountGuarantee& SchedulerState::Account(const std::string& name) const {
  static const AccountGuarantee kUndeclared;
  const auto found = accounts.find(name);
  return found == accounts.end() ? kUndeclared : found->second;
}

bool SchedulerState::IsLarge(const Shape& shape) const {
  return shape.accelerators() >= 2 &&
         shape.accelerators() >=
             options.large_job_share * cluster.total_capacity();
}

bool SchedulerState::IsBorrower(const Gang& gang) const {
  const JobRecord* job = FindJob(gang.job());
  return !job || !job->allocation;
}

Duration SchedulerState::RemainingTimeOf(const JobRecord& job) const {
  return estimator.RemainingRunTime(
      job.spec.account, job.spec.declared_run_time, job.saved_run_time);
}

Time SchedulerState::ExpectedEnd(const Gang& gang, Time now) const {
  if (gang.phase == JobPhase::kStopping) return now + kStopAllowance;
  if (gang.phase == JobPhase::kCheckpointing) {
    return std::max(now, gang.deadline) + kStopAllowance;
  }
  const JobRecord* job = FindJob(gang.job());
  if (!job) return now;
  const Duration ran =
      gang.started_at ? now - *gang.started_at : Duration::zero();
  return now + estimator.RemainingRunTime(job->spec.account,
                                          job->spec.declared_run_time,
                                          job->saved_run_time + ran);
}

Duration SchedulerState::LeadTime(const std::string& account) const {
  const double margin = 1 + options.checkpoint_margin;
  const Duration saving = std::chrono::duration_cast<Duration>(
      estimator.CheckpointTime(account) * margin);
  const Duration deadline = Account(account).checkpoint_deadline;
  // A checkpoint that hangs is abandoned at the deadline.
  const bool may_hang = estimator.HungCheckpointShare(account) > 0;
  return (may_hang ? deadline : std::min(saving, deadline)) + kStopAllowance;
}

Duration SchedulerState::LongestLeadTime() const {
  Duration longest = Duration::zero();
  for (const auto& [account, accelerators] : borrowed) {
    if (accelerators > 0) longest = std::max(longest, LeadTime(account));
  }
  return longest;
}

double SchedulerState::WorkLost(const Gang& gang, Time now) const {
  if (!gang.started_at) return 0;
  const double saving = Seconds(estimator.CheckpointTime(gang.account()));
  const double ran = Seconds(now - *gang.started_at);
  const double hung_share = estimator.HungCheckpointShare(gang.account());
  return gang.accelerators() * (saving + hung_share * ran);
}

}  // namespace thornplank
