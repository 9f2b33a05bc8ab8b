#include "scheduling/job_scheduler.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "scheduling/gang_lifecycle.h"
#include "scheduling/gang_table.h"
#include "scheduling/job_record.h"
#include "scheduling/placement_search.h"

namespace thornplank {

class JobScheduler::Impl : public GangObserver {
 public:
  explicit Impl(SchedulerOptions options)
      : options_(std::move(options)),
        gangs_(cluster_),
        lifecycle_(options_, gangs_, *this) {}

  void OnPhase(const Gang& gang, JobPhase phase,
               const std::string& reason) override {
    JobRecord& job = *jobs_.at(gang.job());
    if (job.gang_id == gang.id()) SetPhase(job, phase, reason);
  }
  void OnMemberFailed(const Gang& gang, const MemberRecord& member,
                      bool refused, const std::string& reason) override {
    JobRecord& job = *jobs_.at(gang.job());
    if (refused) return;
    job.failed_on.push_back(member.worker);
    job.last_failure = reason;
    if (static_cast<int>(job.failed_on.size()) >= options_.max_attempts) {
      job.judged_bad = true;
    }
  }
  void OnCheckpointed(const Gang&, Duration) override {}
  void OnCheckpointHung(const Gang&) override {}
  void OnFinished(const Gang& gang) override {
    JobRecord& job = *jobs_.at(gang.job());
    job.gang_id.clear();
    SetPhase(job, JobPhase::kFinished, "all members finished");
  }
  void OnEnded(const Gang& gang) override {
    JobRecord& job = *jobs_.at(gang.job());
    if (job.gang_id != gang.id()) return;
    job.gang_id.clear();
    if (gang.end == GangEnd::kCancel) {
      SetPhase(job, JobPhase::kCancelled, "cancelled by its account");
      return;
    }
    if (job.judged_bad) {
      SetPhase(job, JobPhase::kFailed, job.last_failure);
      return;
    }
    SetPhase(job, JobPhase::kWaiting, gang.end_reason);
    waiting_.push_back(&job);
  }

  void SetPhase(JobRecord& job, JobPhase phase, const std::string& reason) {
    job.phase = phase;
    job.reason = reason;
    actions_.push_back(PhaseChanged{job.spec.id, phase, reason});
  }

  // Ends every event: places what fits and hands the actions out.
  SchedulerActions Finish(Time now) {
    if (ticked_) PlaceWaiting(now);
    return std::exchange(actions_, {});
  }

  void PlaceWaiting(Time now) {
    std::sort(waiting_.begin(), waiting_.end(),
              [](const JobRecord* a, const JobRecord* b) {
                if (a->spec.priority != b->spec.priority) {
                  return a->spec.priority == Priority::kUrgent;
                }
                return a->spec.submitted_order < b->spec.submitted_order;
              });
    Room room = cluster_.FreeRoom();
    std::vector<JobRecord*> left;
    for (JobRecord* job : waiting_) {
      const std::optional<Placement> placement =
          FindPlacement(cluster_, job->spec.shape, room, NoPlacementCost());
      if (!placement) {
        left.push_back(job);
        continue;
      }
      TakeRoom(*placement, job->spec.shape, &room);
      StartGang(*job, *placement, "fits on free accelerators", now);
    }
    waiting_ = std::move(left);
  }

  void StartGang(JobRecord& job, const Placement& placement,
                 const std::string& reason, Time now) {
    const std::string id =
        "g" + options_.id_prefix + "-" + std::to_string(++last_gang_);
    std::vector<MemberRecord> members;
    for (const WorkerShare& share : placement) {
      for (int i = 0; i < share.members; ++i) {
        MemberRecord record;
        record.worker = share.worker;
        record.member = {cluster_.info(share.worker).name,
                         id + "." + std::to_string(members.size()),
                         job.spec.shape.accelerators_per_member};
        members.push_back(std::move(record));
      }
    }
    job.gang_id = id;
    ++job.attempts;
    lifecycle_.Start(std::make_unique<Gang>(id, job.spec.id, job.spec.account,
                                            std::move(members)),
                     reason, now, &actions_);
  }

  JobRecord* FindJob(const std::string& id) const {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
  }

  SchedulerOptions options_;
  ClusterModel cluster_;
  GangTable gangs_;
  GangLifecycle lifecycle_;
  std::unordered_map<std::string, std::unique_ptr<JobRecord>> jobs_;
  std::vector<JobRecord*> waiting_;
  SchedulerActions actions_;
  int64_t last_gang_ = 0;
  bool ticked_ = false;
};

JobScheduler::JobScheduler(SchedulerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

JobScheduler::~JobScheduler() = default;

SchedulerActions JobScheduler::SetWorkers(
    const std::vector<WorkerInfo>& workers, Time now) {
  impl_->cluster_.SetWorkers(workers);
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::SetGuarantees(
    const std::vector<AccountGuarantee>&, Time now) {
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::SetEvents(const std::vector<EventReservation>&,
                                         Time now) {
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::Submit(const JobSpec& job, Time now) {
  const auto [entry, is_new] = impl_->jobs_.emplace(job.id, nullptr);
  if (!is_new) return {};
  entry->second = std::make_unique<JobRecord>();
  entry->second->spec = job;
  entry->second->submitted_at = now;
  impl_->waiting_.push_back(entry->second.get());
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::Cancel(const std::string& id, Time now) {
  JobRecord* job = impl_->FindJob(id);
  if (!job || IsFinal(job->phase)) return {};
  if (Gang* gang = impl_->gangs_.Find(job->gang_id)) {
    impl_->lifecycle_.Stop(*gang, "cancelled by its account", GangEnd::kCancel,
                           now, &impl_->actions_);
    return impl_->Finish(now);
  }
  std::vector<JobRecord*>& waiting = impl_->waiting_;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), job),
                waiting.end());
  impl_->SetPhase(*job, JobPhase::kCancelled, "cancelled by its account");
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::Adopt(const AdoptedGang& found, Time now) {
  JobRecord* job = impl_->FindJob(found.job);
  const bool whole =
      job && static_cast<int>(found.members.size()) == job->spec.shape.members;
  std::vector<MemberRecord> members;
  for (const GangMember& member : found.members) {
    MemberRecord record;
    record.member = member;
    record.worker = impl_->cluster_.Find(member.worker);
    record.state = MemberState::kConfirmed;
    record.confirmed_at = now;
    if (record.worker != kNoWorker) members.push_back(std::move(record));
  }
  if (!job || IsFinal(job->phase) || !job->gang_id.empty()) {
    for (const MemberRecord& record : members) {
      impl_->actions_.push_back(StopLease{record.member.worker,
                                          record.member.lease_id,
                                          "its job has no use for it"});
    }
    return impl_->Finish(now);
  }
  std::vector<JobRecord*>& waiting = impl_->waiting_;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), job),
                waiting.end());
  job->gang_id = found.gang_id;
  ++job->attempts;
  job->phase = found.phase;
  impl_->lifecycle_.TakeOver(
      std::make_unique<Gang>(found.gang_id, found.job, job->spec.account,
                             std::move(members)),
      found.phase, found.ran_for, now, &impl_->actions_);
  Gang* gang = impl_->gangs_.Find(found.gang_id);
  if (gang && found.phase == JobPhase::kCancelled) {
    impl_->lifecycle_.Stop(*gang, "cancelled by its account", GangEnd::kCancel,
                           now, &impl_->actions_);
  }
  if (gang && !whole) {
    impl_->lifecycle_.Stop(*gang, "found with part of its members",
                           GangEnd::kRequeue, now, &impl_->actions_);
  }
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::WorkerReported(
    const std::string& worker, const std::vector<LeaseReport>& leases,
    Time asked_at, Time now) {
  const WorkerIndex index = impl_->cluster_.Find(worker);
  if (index == kNoWorker) return {};
  const int unknown_held = impl_->lifecycle_.Report(
      index, worker, leases, asked_at, now, &impl_->actions_);
  impl_->cluster_.SetUnknownHeld(index, unknown_held);
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::MemberResult(const std::string& job,
                                            const std::string& gang_id,
                                            const std::string& lease_id,
                                            MemberOutcome outcome,
                                            const std::string& reason,
                                            Time now) {
  const auto [gang, member] = impl_->gangs_.FindLease(lease_id);
  if (!gang || gang->id() != gang_id || gang->job() != job) return {};
  impl_->lifecycle_.MemberResult(*gang, member, outcome, reason, now,
                                 &impl_->actions_);
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::CheckpointDone(const std::string& job,
                                              const std::string& gang_id,
                                              Time now) {
  Gang* gang = impl_->gangs_.Find(gang_id);
  if (!gang || gang->job() != job) return {};
  impl_->lifecycle_.CheckpointDone(*gang, now, &impl_->actions_);
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::WorkerLost(const std::string& worker,
                                          Time leases_lapse_at, Time now) {
  const WorkerIndex index = impl_->cluster_.Find(worker);
  if (index == kNoWorker) return {};
  impl_->cluster_.SetLost(index, true);
  impl_->lifecycle_.WorkerLost(index, leases_lapse_at, now, &impl_->actions_);
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::WorkerBack(const std::string& worker, Time now) {
  const WorkerIndex index = impl_->cluster_.Find(worker);
  if (index == kNoWorker) return {};
  impl_->cluster_.SetLost(index, false);
  return impl_->Finish(now);
}

SchedulerActions JobScheduler::Tick(Time now) {
  impl_->ticked_ = true;
  impl_->lifecycle_.Tick(now, &impl_->actions_);
  return impl_->Finish(now);
}

std::optional<Time> JobScheduler::NextWake() const {
  return impl_->lifecycle_.NextDue();
}

std::optional<JobStatus> JobScheduler::job(const std::string& id) const {
  const JobRecord* job = impl_->FindJob(id);
  if (!job) return std::nullopt;
  JobStatus status;
  status.spec = job->spec;
  status.phase = job->phase;
  status.reason = job->reason;
  status.gang_id = job->gang_id;
  status.attempts = job->attempts;
  const Gang* gang = impl_->gangs_.Find(job->gang_id);
  if (!gang) return status;
  for (const MemberRecord& record : gang->members()) {
    status.members.push_back(record.member);
  }
  return status;
}

std::vector<std::string> JobScheduler::quarantined_workers() const {
  return {};
}

int JobScheduler::free_accelerators() const {
  return impl_->cluster_.total_free();
}

}  // namespace thornplank
