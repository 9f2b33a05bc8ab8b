#include "scheduling/scheduler_core.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr char kCancelled[] = "cancelled by its account";
// While jobs wait, placement is tried again after this long.
constexpr Duration kRetryInterval = std::chrono::seconds(1);

}  // namespace

SchedulerCore::SchedulerCore(SchedulerOptions options)
    : state_(std::move(options)),
      lifecycle_(state_.options, state_.gangs, *this),
      reclaimer_(state_, *this) {}

JobRecord* SchedulerCore::Submit(const JobSpec& spec, Duration saved_progress,
                                 Time now) {
  const auto [entry, is_new] = state_.jobs.emplace(spec.id, nullptr);
  if (!is_new) return nullptr;
  entry->second = std::make_unique<JobRecord>();
  JobRecord& job = *entry->second;
  job.spec = spec;
  job.submitted_at = now;
  job.saved_run_time = saved_progress;
  job.saved_progress = saved_progress;
  job.reason = "submitted";
  const size_t known_classes = state_.classes.size();
  job.job_class = state_.FindOrAddClass(spec);
  state_.AddWaiting(job);
  if (state_.classes.size() > known_classes) {
    CheckFeasibility(state_.ClassOf(job), now);
    UpdateLargeShapes();
  }
  return &job;
}

void SchedulerCore::Cancel(const std::string& id, Time now) {
  JobRecord* job = state_.FindJob(id);
  if (!job || IsFinal(job->phase)) return;
  if (Gang* gang = state_.gangs.Find(job->gang_id)) {
    lifecycle_.Stop(*gang, kCancelled, GangEnd::kCancel, now, &state_.actions);
    return;
  }
  state_.RemoveWaiting(*job);
  if (job->plan) dirty_ = true;
  state_.DropPlan(*job);
  state_.ReleaseAllocation(*job);
  state_.failure_tracker.ForgetJob(id);
  state_.SetPhase(*job, JobPhase::kCancelled, kCancelled);
}

void SchedulerCore::Adopt(const AdoptedGang& found, Time now) {
  std::vector<MemberRecord> members;
  std::vector<WorkerIndex> workers;
  for (const GangMember& member : found.members) {
    MemberRecord record;
    record.member = member;
    record.worker = state_.cluster.Find(member.worker);
    record.state = MemberState::kConfirmed;
    record.confirmed_at = now;
    if (record.worker == kNoWorker) continue;
    workers.push_back(record.worker);
    members.push_back(std::move(record));
  }
  JobRecord* job = state_.FindJob(found.job);
  if (!job || IsFinal(job->phase) || !job->gang_id.empty()) {
    for (const MemberRecord& record : members) {
      state_.actions.push_back(StopLease{record.member.worker,
                                         record.member.lease_id,
                                         "its job has no use for it"});
    }
    return;
  }
  state_.RemoveWaiting(*job);
  state_.DropPlan(*job);
  state_.ReleaseAllocation(*job);
  job->gang_id = found.gang_id;
  ++job->attempts;
  const bool cancelled = found.phase == JobPhase::kCancelled;
  const bool complete =
      static_cast<int>(members.size()) == job->spec.shape.members;
  job->phase = cancelled ? JobPhase::kRunning : found.phase;
  if (complete && !cancelled) {
    job->allocation = state_.guarantee_placement.AllocateAt(
        {job->spec.account, ""}, job->spec.shape, workers);
  }
  // The throttle of a gang with missing members must not be lifted. In phase
  // kRunning, adopting the gang does not lift it.
  const JobPhase phase =
      complete && !cancelled ? found.phase : JobPhase::kRunning;
  if (complete && found.saved_progress) {
    job->saved_run_time += *found.saved_progress;
    job->saved_progress += *found.saved_progress;
  }
  auto gang = std::make_unique<Gang>(found.gang_id, found.job,
                                     job->spec.account, std::move(members));
  Gang& adopted = *gang;
  lifecycle_.TakeOver(std::move(gang), phase, found.ran_for, now,
                      &state_.actions);
  if (cancelled) {
    lifecycle_.Stop(adopted, kCancelled, GangEnd::kCancel, now,
                    &state_.actions);
  } else if (!complete) {
    lifecycle_.Stop(adopted, "found with part of its members",
                    GangEnd::kRequeue, now, &state_.actions);
  }
}

void SchedulerCore::WorkerReported(WorkerIndex worker,
                                   const std::vector<LeaseReport>& leases,
                                   Time requested_at, Time now) {
  const int before = state_.cluster.unheld(worker);
  const int untracked_held =
      lifecycle_.ApplyWorkerReport(worker, state_.cluster.info(worker).name,
                                   leases, requested_at, now, &state_.actions);
  state_.cluster.SetUntrackedHeld(worker, untracked_held);
  if (state_.cluster.unheld(worker) > before) dirty_ = true;
}

void SchedulerCore::MemberResult(Gang& gang, int member, MemberOutcome outcome,
                                 const std::string& reason, Time now) {
  lifecycle_.MemberResult(gang, member, outcome, reason, now, &state_.actions);
}

void SchedulerCore::CheckpointDone(Gang& gang, Time now) {
  lifecycle_.CheckpointDone(gang, now, &state_.actions);
}

void SchedulerCore::WorkerLost(WorkerIndex worker, Time leases_lapse_at,
                               Time now) {
  state_.cluster.SetLost(worker, true);
  lifecycle_.WorkerLost(worker, leases_lapse_at, now, &state_.actions);
  dirty_ = true;
  repair_due_ = true;
}

void SchedulerCore::WorkerRecovered(WorkerIndex worker) {
  state_.cluster.SetLost(worker, false);
  dirty_ = true;
  repair_due_ = true;
}

void SchedulerCore::Tick(Time now) {
  ticked_ = true;
  dirty_ = true;
  lifecycle_.Tick(now, &state_.actions);
  EndRefusalBackoffs(now);
  CompleteProbes(now);
  FailInfeasibleJobs(now);
}

SchedulerActions SchedulerCore::Decide(Time now) {
  last_event_ = std::max(last_event_, now);
  if (!ticked_) return TakeActions();
  if (repair_due_) {
    repair_due_ = false;
    state_.guarantee_placement.Repair();
    DrainLeavingWorkers(now);
  }
  if (dirty_) {
    dirty_ = false;
    if (!state_.calendar.events().empty()) {
      reclaimer_.PrepareEvents(ClusterSnapshot(state_, now), now);
      DemoteGangsWithoutCells();
    }
    dirty_ = !PlacementRound(state_, *this, now).Run() || dirty_;
  } else if (!state_.planned.empty()) {
    PlacementRound(state_, *this, now).StartReadyPlans();
  }
  reclaimer_.Run(now);
  ReportShortfalls();
  return TakeActions();
}

SchedulerActions SchedulerCore::DecideForJob(JobRecord& job, Time now) {
  if (!ticked_ || dirty_ || repair_due_) return Decide(now);
  last_event_ = std::max(last_event_, now);
  PlacementRound(state_, *this, now).RunForJob(job);
  reclaimer_.Run(now);
  ReportShortfalls();
  return TakeActions();
}

SchedulerActions SchedulerCore::TakeActions() {
  return std::exchange(state_.actions, {});
}

std::optional<Time> SchedulerCore::NextWake(Time now) const {
  if (dirty_) return now;  // the last round stopped early
  std::optional<Time> next;
  const auto consider = [&next](std::optional<Time> due) {
    if (due && (!next || *due < *next)) next = due;
  };
  consider(lifecycle_.NextDue());
  consider(reclaimer_.NextDue(now));
  for (const auto& entry : state_.refusing_until) consider(entry.second);
  bool waiting = false;
  for (const JobClass& job_class : state_.classes) {
    if (job_class.waiting.empty()) continue;
    waiting = true;
    if (!job_class.infeasible_since) continue;
    consider(*job_class.infeasible_since +
             state_.options.infeasible_job_timeout);
  }
  // Scores, reservations, probes and backoffs change as time passes.
  if (waiting) consider(now + kRetryInterval);
  return next;
}

void SchedulerCore::OnPhase(const Gang& gang, JobPhase phase,
                            const std::string& reason) {
  JobRecord* job = state_.FindJob(gang.job());
  if (job && job->gang_id == gang.id()) state_.SetPhase(*job, phase, reason);
}

void SchedulerCore::OnCheckpointed(const Gang& gang, Duration took) {
  state_.estimator.RecordCheckpoint(gang.account(), took);
  JobRecord* job = state_.FindJob(gang.job());
  if (!job || !gang.started_at) return;
  const std::optional<Duration> progress = gang.MinSavedProgress();
  job->saved_run_time +=
      progress.value_or(gang.checkpoint_requested_at - *gang.started_at);
  job->saved_progress += progress.value_or(Duration::zero());
}

void SchedulerCore::OnCheckpointHung(const Gang& gang) {
  state_.estimator.RecordHungCheckpoint(gang.account());
}

void SchedulerCore::OnFinished(const Gang& gang, Time now) {
  JobRecord* job = state_.FindJob(gang.job());
  if (!job || job->gang_id != gang.id()) return;
  if (gang.started_at) {
    const Duration ran = now - *gang.started_at;
    state_.estimator.RecordRunTime(job->spec.account,
                                   job->spec.declared_run_time,
                                   job->saved_run_time + ran);
  }
  for (const MemberRecord& record : gang.members()) {
    if (state_.failure_tracker.RecordSuccess(job->spec.id, record.worker)) {
      ReleaseFromQuarantine(record.worker);
    }
  }
  job->gang_id.clear();
  state_.SetPhase(*job, JobPhase::kFinished, "all members finished");
}

void SchedulerCore::OnEnded(const Gang& gang) {
  dirty_ = true;
  for (const MemberRecord& record : gang.members()) {
    state_.failure_tracker.AbandonProbe(record.worker);
  }
  JobRecord* job = state_.FindJob(gang.job());
  if (!job) return;
  if (job->allocation) {
    state_.ReleaseAllocation(*job);
    repair_due_ = true;
  }
  if (job->gang_id != gang.id()) return;
  job->gang_id.clear();
  if (gang.end == GangEnd::kCancel) {
    state_.failure_tracker.ForgetJob(job->spec.id);
    state_.SetPhase(*job, JobPhase::kCancelled, kCancelled);
    return;
  }
  if (state_.failure_tracker.IsBadJob(job->spec.id)) {
    const size_t failures = job->failed_on.size();
    state_.failure_tracker.ForgetJob(job->spec.id);
    state_.SetPhase(*job, JobPhase::kFailed,
                    "failed " + std::to_string(failures) +
                        " times wherever it ran: " + job->last_failure);
    return;
  }
  state_.SetPhase(*job, JobPhase::kWaiting, gang.end_reason);
  state_.AddWaiting(*job);
}

void SchedulerCore::StartGang(JobRecord& job,
                              const std::vector<WorkerIndex>& workers,
                              const std::string& reason, Time now) {
  const std::string id =
      "g" + state_.options.id_prefix + "-" + std::to_string(++last_gang_);
  std::vector<MemberRecord> members;
  members.reserve(workers.size());
  for (const WorkerIndex worker : workers) {
    MemberRecord record;
    record.worker = worker;
    record.member = {state_.cluster.info(worker).name,
                     id + "." + std::to_string(members.size()),
                     job.spec.shape.accelerators_per_member};
    members.push_back(std::move(record));
  }
  state_.RemoveWaiting(job);
  job.gang_id = id;
  ++job.attempts;
  lifecycle_.Start(std::make_unique<Gang>(id, job.spec.id, job.spec.account,
                                          std::move(members)),
                   reason, now, &state_.actions);
}

void SchedulerCore::CheckpointAndStop(Gang& gang, const std::string& reason,
                                      Time now) {
  const Duration deadline = state_.Account(gang.account()).checkpoint_deadline;
  lifecycle_.Checkpoint(gang, reason, deadline, now, &state_.actions);
}

}  // namespace thornplank
