// Takeover at the start of an epoch, and execution of the scheduler's actions.
#include "jobs/coordinator.h"

#include <algorithm>
#include <utility>

#include "logging/events/jobs_events.h"

namespace thornplank {
namespace {

// A single worker may be wrong about the newest token, so one refusal is not
// enough to step down.
constexpr size_t kMinRefusingWorkers = 2;

SchedulerOptions OptionsForEpoch(SchedulerOptions options, int64_t epoch) {
  options.id_prefix = std::to_string(epoch);
  return options;
}

// The scheduler reacts to events without a tick. A tick checks all gangs for
// deadlines, which would cost too much after each answer of a worker.
constexpr Milliseconds kTickInterval{20};

Json WorkerNames(const std::vector<GangMember>& members) {
  Json names = Json::array();
  for (const GangMember& member : members) names.push_back(member.worker);
  return names;
}

// The task reduced by the progress that the job's checkpoints saved. A job
// without saved progress gets its task as it was submitted.
Json RemainingTask(const Json& task, Milliseconds progress) {
  if (progress <= Milliseconds(0)) return task;
  Json remaining = task.is_object() ? task : Json::object();
  remaining["resume_progress_ms"] = progress.count();
  const std::optional<int64_t> run = IntField(task, "run_ms");
  if (run) {
    remaining["run_ms"] = std::max<int64_t>(*run - progress.count(), 0);
  }
  return remaining;
}

const LeaseReport* FindLease(const WorkerReport& report,
                             const std::string& lease_id) {
  for (const LeaseReport& lease : report.leases) {
    if (lease.lease_id == lease_id) return &lease;
  }
  return nullptr;
}

bool HasMember(const AdoptedGang& gang, const std::string& lease_id) {
  return std::any_of(
      gang.members.begin(), gang.members.end(),
      [&](const GangMember& member) { return member.lease_id == lease_id; });
}

}  // namespace

Coordinator::Coordinator(int64_t epoch, const JobManagerSettings& settings,
                         PlanningInputs inputs, Time now)
    : epoch_(epoch),
      takeover_deadline_(now + settings.takeover_timeout),
      inputs_(std::move(inputs)),
      scheduler_(OptionsForEpoch(settings.scheduler, epoch)),
      executor_(epoch, settings.leases, settings.seed + epoch) {
  executor_.SetWorkers(inputs_.workers, now);
}

void Coordinator::SetWorkers(const std::vector<WorkerInfo>& workers, Time now) {
  inputs_.workers = workers;
  executor_.SetWorkers(workers, now);
  if (planning_) ExecuteActions(scheduler_.SetWorkers(workers, now), now);
}

void Coordinator::SetGuarantees(const std::vector<AccountGuarantee>& accounts,
                                Time now) {
  inputs_.guarantees = accounts;
  if (planning_) ExecuteActions(scheduler_.SetGuarantees(accounts, now), now);
}

void Coordinator::SetEvents(const std::vector<EventReservation>& events,
                            Time now) {
  inputs_.events = events;
  if (planning_) ExecuteActions(scheduler_.SetEvents(events, now), now);
}

void Coordinator::Submit(const JobEntry& entry, Time now) {
  if (!planning_) {
    early_jobs_.push_back(entry);
    return;
  }
  const JobSpec& spec = entry.request.spec;
  TrackedJob known{spec.account, entry.request.task, entry.revision,
                   entry.progress};
  if (!jobs_.emplace(spec.id, std::move(known)).second) return;
  ExecuteActions(scheduler_.Submit(spec, now, entry.progress), now);
}

void Coordinator::Cancel(const std::string& job, Time now) {
  if (!planning_) return;
  jobs_.erase(job);
  ExecuteActions(scheduler_.Cancel(job, now), now);
}

void Coordinator::HandleCallResult(const WorkerCall& call,
                                   const std::optional<WorkerReport>& report,
                                   WorkerRefusal refusal,
                                   const std::string& reason, Time now) {
  HandleWorkerEvents(
      executor_.HandleCallResult(call, report, refusal, reason, now), now);
}

void Coordinator::Advance(const JobStreamState& state, Time now,
                          WallTime wall_now) {
  if (!planning_) {
    if (!TakeoverMayComplete(now)) return;
    CompleteTakeover(state, now, wall_now);
  }
  if (now < next_tick_) return;
  next_tick_ = now + kTickInterval;
  ExecuteActions(scheduler_.Tick(now), now);
}

std::vector<WorkerCall> Coordinator::TakeCalls(Time now) {
  return executor_.NextCalls(now);
}

std::vector<JobStreamRecord> Coordinator::TakeRecords() {
  return std::exchange(records_, {});
}

bool Coordinator::superseded() const {
  return !workers_refusing_token_.empty() &&
         workers_refusing_token_.size() >=
             std::min(kMinRefusingWorkers, inputs_.workers.size());
}

std::optional<JobStatus> Coordinator::job(const std::string& id) const {
  return scheduler_.job(id);
}

bool Coordinator::TakeoverMayComplete(Time now) const {
  // Without a list of workers nothing can be placed, and every gang would seem
  // to have lost its members.
  if (inputs_.workers.empty()) return false;
  if (now >= takeover_deadline_) return true;
  return std::all_of(inputs_.workers.begin(), inputs_.workers.end(),
                     [this](const WorkerInfo& worker) {
                       return executor_.fenced(worker.name);
                     });
}

void Coordinator::CompleteTakeover(const JobStreamState& state, Time now,
                                   WallTime wall_now) {
  planning_ = true;
  ExecuteActions(scheduler_.SetWorkers(inputs_.workers, now), now);
  ExecuteActions(scheduler_.SetGuarantees(inputs_.guarantees, now), now);
  ExecuteActions(scheduler_.SetEvents(inputs_.events, now), now);
  std::vector<const JobEntry*> open;
  for (const auto& [id, entry] : state.jobs().jobs()) {
    if (!IsFinal(entry.phase)) open.push_back(&entry);
  }
  std::sort(open.begin(), open.end(),
            [](const JobEntry* left, const JobEntry* right) {
              return left->request.spec.submitted_order <
                     right->request.spec.submitted_order;
            });
  for (const JobEntry* entry : open) Submit(*entry, now);
  for (const JobEntry& entry : early_jobs_) {
    if (!state.jobs().IsKnown(entry.request.spec.id)) Submit(entry, now);
  }
  early_jobs_.clear();
  std::map<std::string, AdoptedGang> gangs = AdoptReportedGangs(now);
  AddUnreportedMembers(state, now, &gangs);
  for (auto& [id, gang] : gangs) {
    ReconcilePhase(state, wall_now, &gang);
    ExecuteActions(scheduler_.Adopt(gang, now), now);
  }
  for (const auto& [worker, heard] : reports_) {
    ExecuteActions(scheduler_.WorkerReported(worker, heard.report.leases,
                                             heard.asked_at, now),
                   now);
  }
  for (const auto& [worker, lapse_at] : lost_workers_) {
    ExecuteActions(scheduler_.WorkerLost(worker, lapse_at, now), now);
  }
  for (const JobEntry* entry : open) AddMissingRecords(*entry);
  LogEvent(events::kTakeoverDone, {{"epoch", epoch_},
                                   {"jobs", open.size()},
                                   {"gangs", gangs.size()},
                                   {"workers", inputs_.workers.size()},
                                   {"workers_heard", reports_.size()}});
  reports_.clear();
  lost_workers_.clear();
}

// Adopts the leases that the workers reported. Returns their gangs by gang id.
std::map<std::string, AdoptedGang> Coordinator::AdoptReportedGangs(Time now) {
  std::map<std::string, AdoptedGang> gangs;
  for (const auto& [worker, heard] : reports_) {
    for (const LeaseReport& lease : heard.report.leases) {
      if (lease.state == LeaseState::kGone) continue;
      AdoptedGang& gang = gangs[lease.gang_id];
      gang.job = lease.job_id;
      gang.gang_id = lease.gang_id;
      gang.members.push_back({worker, lease.lease_id, lease.accelerators});
      const bool is_saving = lease.state == LeaseState::kCheckpointing ||
                             lease.state == LeaseState::kCheckpointed;
      const bool is_throttled = lease.state == LeaseState::kThrottled;
      if (is_saving) gang.phase = JobPhase::kCheckpointing;
      if (is_throttled && gang.phase != JobPhase::kCheckpointing) {
        gang.phase = JobPhase::kStarting;
      }
      executor_.Adopt(worker, lease, now);
    }
  }
  return gangs;
}

// A worker that has not answered may still run the members that the stream
// placed there. They count as running until the worker is lost. A gang that was
// starting is stopped, since its throttle must not be lifted while it is
// unknown whether all members hold their leases.
void Coordinator::AddUnreportedMembers(
    const JobStreamState& state, Time now,
    std::map<std::string, AdoptedGang>* gangs) {
  for (const auto& [id, entry] : state.jobs().jobs()) {
    if (IsFinal(entry.phase) || entry.gang_id.empty()) continue;
    for (const GangMember& member : entry.members) {
      if (reports_.count(member.worker) > 0) continue;
      AdoptedGang& gang = (*gangs)[entry.gang_id];
      gang.job = id;
      gang.gang_id = entry.gang_id;
      const bool starting = entry.phase == JobPhase::kStarting ||
                            gang.phase == JobPhase::kStarting;
      if (starting) gang.phase = JobPhase::kStopping;
      if (HasMember(gang, member.lease_id)) continue;
      gang.members.push_back(member);
      LeaseReport lease;
      lease.lease_id = member.lease_id;
      lease.gang_id = entry.gang_id;
      lease.job_id = id;
      lease.account = entry.request.spec.account;
      lease.accelerators = member.accelerators;
      lease.state = LeaseState::kRunning;
      executor_.Adopt(member.worker, lease, now);
    }
  }
}

// Whether a gang was started is taken from the workers' reports; whether its
// job is ending or final is taken from the stream.
void Coordinator::ReconcilePhase(const JobStreamState& state, WallTime wall_now,
                                 AdoptedGang* gang) const {
  const JobEntry* entry = state.jobs().Find(gang->job);
  if (entry == nullptr) return;
  if (entry->running_at && wall_now > *entry->running_at) {
    gang->ran_for =
        std::chrono::duration_cast<Duration>(wall_now - *entry->running_at);
  }
  if (IsFinal(entry->phase)) {
    gang->phase = entry->phase;
    return;
  }
  const bool is_current_gang = entry->gang_id == gang->gang_id;
  const bool is_ending = entry->phase == JobPhase::kCheckpointing ||
                         entry->phase == JobPhase::kStopping;
  if (is_current_gang) gang->saved_progress = UnrecordedProgress(*entry, *gang);
  if (is_current_gang && is_ending) gang->phase = entry->phase;
}

// The least progress of all members, if every member reports that its state is
// saved; otherwise nullopt. If the stream shows the gang as stopping, the
// progress of its checkpoint is already recorded.
std::optional<Duration> Coordinator::UnrecordedProgress(
    const JobEntry& entry, const AdoptedGang& gang) const {
  if (entry.phase != JobPhase::kRunning &&
      entry.phase != JobPhase::kCheckpointing) {
    return std::nullopt;
  }
  std::optional<Duration> least;
  for (const GangMember& member : gang.members) {
    const auto heard = reports_.find(member.worker);
    if (heard == reports_.end()) return std::nullopt;
    const LeaseReport* lease = FindLease(heard->second.report, member.lease_id);
    if (lease == nullptr || lease->state != LeaseState::kCheckpointed ||
        !lease->progress) {
      return std::nullopt;
    }
    least = std::min(least.value_or(*lease->progress), *lease->progress);
  }
  return least;
}

// After a takeover the stream may show a gang that no worker runs, or lack a
// gang whose record was lost with the previous coordinator.
void Coordinator::AddMissingRecords(const JobEntry& entry) {
  const std::string& id = entry.request.spec.id;
  const auto known = jobs_.find(id);
  const std::optional<JobStatus> status = scheduler_.job(id);
  if (known == jobs_.end() || !status) return;
  int64_t& revision = known->second.revision;
  if (revision != entry.revision) return;
  if (!status->gang_id.empty() && status->gang_id != entry.gang_id) {
    records_.push_back(
        PlacedRecord{epoch_, ++revision, id, status->gang_id, status->members});
    if (status->phase == JobPhase::kStarting) return;
  } else if (status->phase == entry.phase) {
    return;
  }
  records_.push_back(PhaseRecord{epoch_, ++revision, id, status->phase,
                                 status->reason, known->second.progress});
}

void Coordinator::HandleWorkerEvents(const WorkerEvents& worker_events,
                                     Time now) {
  for (const WorkerEvent& event : worker_events) {
    std::visit([this, now](const auto& typed) { HandleEvent(typed, now); },
               event);
  }
}

void Coordinator::HandleEvent(const MemberOutcomeEvent& event, Time now) {
  if (!planning_) return;
  ExecuteActions(
      scheduler_.MemberResult(event.job, event.gang_id, event.lease_id,
                              event.outcome, event.reason, now),
      now);
}

void Coordinator::HandleEvent(const WorkerReportEvent& event, Time now) {
  if (!planning_) {
    reports_[event.report.worker] = event;
    return;
  }
  ExecuteActions(
      scheduler_.WorkerReported(event.report.worker, event.report.leases,
                                event.asked_at, now),
      now);
}

void Coordinator::HandleEvent(const WorkerLostEvent& event, Time now) {
  LogEvent(events::kWorkerLost, {{"worker", event.worker}});
  if (!planning_) {
    lost_workers_[event.worker] = event.leases_lapse_at;
    return;
  }
  ExecuteActions(
      scheduler_.WorkerLost(event.worker, event.leases_lapse_at, now), now);
}

void Coordinator::HandleEvent(const WorkerRecoveredEvent& event, Time now) {
  LogEvent(events::kWorkerBack, {{"worker", event.worker}});
  if (!planning_) {
    lost_workers_.erase(event.worker);
    return;
  }
  ExecuteActions(scheduler_.WorkerRecovered(event.worker, now), now);
}

void Coordinator::HandleEvent(const TokenRefusedEvent& event, Time) {
  workers_refusing_token_.insert(event.worker);
  LogEvent(events::kTokenRefused,
           {{"worker", event.worker}, {"epoch", epoch_}});
}

void Coordinator::ExecuteActions(const SchedulerActions& actions, Time now) {
  pending_actions_.insert(pending_actions_.end(), actions.begin(),
                          actions.end());
  if (executing_actions_) return;
  executing_actions_ = true;
  while (!pending_actions_.empty()) {
    const SchedulerAction action = std::move(pending_actions_.front());
    pending_actions_.pop_front();
    std::visit([this, now](const auto& typed) { ExecuteAction(typed, now); },
               action);
  }
  executing_actions_ = false;
}

// The placement is recorded in the same step in which the grant is queued, so
// that a takeover finds the gang in the stream, at the workers, or in both.
void Coordinator::ExecuteAction(const GrantGang& action, Time now) {
  const auto known = jobs_.find(action.job);
  if (known == jobs_.end()) return;
  TrackedJob& job = known->second;
  records_.push_back(PlacedRecord{epoch_, ++job.revision, action.job,
                                  action.gang_id, action.members});
  LogEvent(events::kGangPlaced, {{"job", action.job},
                                 {"gang", action.gang_id},
                                 {"workers", WorkerNames(action.members)},
                                 {"reason", action.reason}});
  HandleWorkerEvents(
      executor_.Grant(action, job.account,
                      RemainingTask(job.task, job.progress), now),
      now);
}

void Coordinator::ExecuteAction(const LiftThrottle& action, Time) {
  LogEvent(events::kGangThrottleLifted,
           {{"job", action.job}, {"gang", action.gang_id}});
  executor_.LiftThrottle(action.gang_id);
}

void Coordinator::ExecuteAction(const CheckpointGang& action, Time) {
  LogEvent(events::kGangCheckpointed, {{"job", action.job},
                                       {"gang", action.gang_id},
                                       {"reason", action.reason}});
  executor_.Checkpoint(action.gang_id);
}

void Coordinator::ExecuteAction(const StopGang& action, Time now) {
  LogEvent(events::kGangStopped, {{"job", action.job},
                                  {"gang", action.gang_id},
                                  {"reason", action.reason}});
  HandleWorkerEvents(executor_.Stop(action.gang_id), now);
}

void Coordinator::ExecuteAction(const StopLease& action, Time) {
  LogEvent(events::kLeaseStopped, {{"worker", action.worker},
                                   {"lease", action.lease_id},
                                   {"reason", action.reason}});
  executor_.StopLease(action.worker, action.lease_id);
}

void Coordinator::ExecuteAction(const PhaseChanged& action, Time) {
  LogEvent(events::kJobPhaseChanged,
           {{"job", action.job},
            {"phase", std::string(JobPhaseName(action.phase))},
            {"reason", action.reason}});
  // The placed record implies this phase.
  if (action.phase == JobPhase::kStarting) return;
  const auto known = jobs_.find(action.job);
  if (known == jobs_.end()) return;
  TrackedJob& job = known->second;
  job.progress =
      std::chrono::duration_cast<Milliseconds>(action.saved_progress);
  records_.push_back(PhaseRecord{epoch_, ++job.revision, action.job,
                                 action.phase, action.reason, job.progress});
  if (IsFinal(action.phase)) jobs_.erase(known);
}

void Coordinator::ExecuteAction(const ReportShortfall& action, Time) {
  const bool is_event = action.subject == ReportShortfall::Subject::kEvent;
  LogEvent(events::kShortfall, {{"subject", is_event ? "event" : "account"},
                                {"name_of", action.name},
                                {"text", action.text}});
}

void Coordinator::ExecuteAction(const WorkerQuarantineChanged& action, Time) {
  static constexpr const char* kVerdicts[] = {"quarantined", "probed",
                                              "released"};
  LogEvent(events::kWorkerQuarantineChanged,
           {{"worker", action.worker},
            {"verdict", kVerdicts[static_cast<int>(action.verdict)]},
            {"reason", action.reason}});
}

}  // namespace thornplank
