#include "scheduling/job_scheduler.h"

#include <utility>

#include "scheduling/scheduler_core.h"

namespace thornplank {

class JobScheduler::Impl : public SchedulerCore {
 public:
  using SchedulerCore::SchedulerCore;
};

JobScheduler::JobScheduler(SchedulerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

JobScheduler::~JobScheduler() = default;

SchedulerActions JobScheduler::SetWorkers(
    const std::vector<WorkerInfo>& workers, Time now) {
  impl_->SetWorkers(workers, now);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::SetGuarantees(
    const std::vector<AccountGuarantee>& accounts, Time now) {
  impl_->SetGuarantees(accounts, now);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::SetEvents(
    const std::vector<EventReservation>& events, Time now) {
  impl_->SetEvents(events);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::Submit(const JobSpec& spec, Time now,
                                      Duration saved_progress) {
  JobRecord* job = impl_->Submit(spec, saved_progress, now);
  if (!job) return {};
  return impl_->DecideForJob(*job, now);
}

SchedulerActions JobScheduler::Cancel(const std::string& id, Time now) {
  impl_->Cancel(id, now);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::Adopt(const AdoptedGang& found, Time now) {
  impl_->Adopt(found, now);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::WorkerReported(
    const std::string& worker, const std::vector<LeaseReport>& leases,
    Time requested_at, Time now) {
  const WorkerIndex index = impl_->state().cluster.Find(worker);
  if (index == kNoWorker) return {};
  impl_->WorkerReported(index, leases, requested_at, now);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::MemberResult(const std::string& job,
                                            const std::string& gang_id,
                                            const std::string& lease_id,
                                            MemberOutcome outcome,
                                            const std::string& reason,
                                            Time now) {
  const auto [gang, member] = impl_->state().gangs.FindLease(lease_id);
  if (!gang || gang->id() != gang_id || gang->job() != job) return {};
  impl_->MemberResult(*gang, member, outcome, reason, now);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::CheckpointDone(const std::string& job,
                                              const std::string& gang_id,
                                              Time now) {
  Gang* gang = impl_->state().gangs.Find(gang_id);
  if (!gang || gang->job() != job) return {};
  impl_->CheckpointDone(*gang, now);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::WorkerLost(const std::string& worker,
                                          Time leases_lapse_at, Time now) {
  const WorkerIndex index = impl_->state().cluster.Find(worker);
  if (index == kNoWorker) return {};
  impl_->WorkerLost(index, leases_lapse_at, now);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::WorkerRecovered(const std::string& worker,
                                               Time now) {
  const WorkerIndex index = impl_->state().cluster.Find(worker);
  if (index == kNoWorker) return {};
  impl_->WorkerRecovered(index);
  return impl_->Decide(now);
}

SchedulerActions JobScheduler::Tick(Time now) {
  impl_->Tick(now);
  return impl_->Decide(now);
}

std::optional<Time> JobScheduler::NextWake() const {
  return impl_->NextWake(impl_->last_event());
}

std::optional<JobStatus> JobScheduler::job(const std::string& id) const {
  const JobRecord* job = impl_->state().FindJob(id);
  if (!job) return std::nullopt;
  JobStatus status;
  status.spec = job->spec;
  status.phase = job->phase;
  status.reason = job->reason;
  status.gang_id = job->gang_id;
  status.attempts = job->attempts;
  status.guaranteed = job->allocation.has_value();
  status.saved_progress = job->saved_progress;
  const Gang* gang = impl_->state().gangs.Find(job->gang_id);
  if (!gang) return status;
  for (const MemberRecord& record : gang->members()) {
    status.members.push_back(record.member);
  }
  return status;
}

std::vector<std::string> JobScheduler::quarantined_workers() const {
  std::vector<std::string> names;
  for (const WorkerIndex worker :
       impl_->state().failure_tracker.quarantined()) {
    names.push_back(impl_->state().cluster.info(worker).name);
  }
  return names;
}

int JobScheduler::free_accelerators() const {
  return impl_->state().cluster.total_free();
}

const GuaranteePlacement& JobScheduler::guarantee_placement() const {
  return impl_->state().guarantee_placement;
}

}  // namespace thornplank
