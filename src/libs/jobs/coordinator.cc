// Takeover and planning of one epoch.
#include "jobs/coordinator.h"

#include <algorithm>
#include <utility>

#include "logging/events/jobs_events.h"

namespace thornplank {
namespace {

// One worker alone may be wrong about tokens; two are believed.
constexpr size_t kRefusalsBelieved = 2;

SchedulerOptions OptionsForEpoch(SchedulerOptions options, int64_t epoch) {
  options.id_prefix = std::to_string(epoch);
  return options;
}

// The scheduler acts on each event by itself; a tick looks through all gangs
// for what has come due, which would cost too much after each worker's answer.
constexpr Milliseconds kTickInterval{20};

Json WorkerNames(const std::vector<GangMember>& members) {
  Json names = Json::array();
  for (const GangMember& member : members) names.push_back(member.worker);
  return names;
}

// The task from where the job's checkpoints left it. A job without any gets
// its task as it was submitted.
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
  if (planning_) Carry(scheduler_.SetWorkers(workers, now), now);
}

void Coordinator::SetGuarantees(const std::vector<AccountGuarantee>& accounts,
                                Time now) {
  inputs_.guarantees = accounts;
  if (planning_) Carry(scheduler_.SetGuarantees(accounts, now), now);
}

void Coordinator::SetEvents(const std::vector<EventReservation>& events,
                            Time now) {
  inputs_.events = events;
  if (planning_) Carry(scheduler_.SetEvents(events, now), now);
}

void Coordinator::Submit(const JobEntry& entry, Time now) {
  if (!planning_) {
    early_.push_back(entry);
    return;
  }
  const JobSpec& spec = entry.request.spec;
  KnownJob known{spec.account, entry.request.task, entry.revision,
                 entry.progress};
  if (!jobs_.emplace(spec.id, std::move(known)).second) return;
  Carry(scheduler_.Submit(spec, now, entry.progress), now);
}

void Coordinator::Cancel(const std::string& job, Time now) {
  if (!planning_) return;
  jobs_.erase(job);
  Carry(scheduler_.Cancel(job, now), now);
}

void Coordinator::CallDone(const WorkerCall& call,
                           const std::optional<WorkerReport>& report,
                           WorkerRefusal refusal, const std::string& reason,
                           Time now) {
  Handle(executor_.CallDone(call, report, refusal, reason, now), now);
}

void Coordinator::Advance(const JobStreamFold& fold, Time now,
                          WallTime wall_now) {
  if (!planning_) {
    if (!TakeoverDone(now)) return;
    TakeOver(fold, now, wall_now);
  }
  if (now < next_tick_) return;
  next_tick_ = now + kTickInterval;
  Carry(scheduler_.Tick(now), now);
}

std::vector<WorkerCall> Coordinator::TakeCalls(Time now) {
  return executor_.NextCalls(now);
}

std::vector<JobStreamRecord> Coordinator::TakeRecords() {
  return std::exchange(records_, {});
}

bool Coordinator::superseded() const {
  return !refusing_.empty() &&
         refusing_.size() >=
             std::min(kRefusalsBelieved, inputs_.workers.size());
}

std::optional<JobStatus> Coordinator::job(const std::string& id) const {
  return scheduler_.job(id);
}

bool Coordinator::TakeoverDone(Time now) const {
  // Without a list of workers there is nothing to plan with, and every gang
  // would look like one that lost its members.
  if (inputs_.workers.empty()) return false;
  if (now >= takeover_deadline_) return true;
  return std::all_of(inputs_.workers.begin(), inputs_.workers.end(),
                     [this](const WorkerInfo& worker) {
                       return executor_.fenced(worker.name);
                     });
}

void Coordinator::TakeOver(const JobStreamFold& fold, Time now,
                           WallTime wall_now) {
  planning_ = true;
  Carry(scheduler_.SetWorkers(inputs_.workers, now), now);
  Carry(scheduler_.SetGuarantees(inputs_.guarantees, now), now);
  Carry(scheduler_.SetEvents(inputs_.events, now), now);
  std::vector<const JobEntry*> open;
  for (const auto& [id, entry] : fold.jobs().jobs()) {
    if (!IsFinal(entry.phase)) open.push_back(&entry);
  }
  std::sort(open.begin(), open.end(),
            [](const JobEntry* left, const JobEntry* right) {
              return left->request.spec.submitted_order <
                     right->request.spec.submitted_order;
            });
  for (const JobEntry* entry : open) Submit(*entry, now);
  for (const JobEntry& entry : early_) {
    if (!fold.jobs().IsKnown(entry.request.spec.id)) Submit(entry, now);
  }
  early_.clear();
  std::map<std::string, AdoptedGang> gangs = FindGangs(now);
  AddUnheardMembers(fold, now, &gangs);
  for (auto& [id, gang] : gangs) {
    SettlePhase(fold, wall_now, &gang);
    Carry(scheduler_.Adopt(gang, now), now);
  }
  for (const auto& [worker, heard] : heard_) {
    Carry(scheduler_.WorkerReported(worker, heard.report.leases, heard.asked_at,
                                    now),
          now);
  }
  for (const auto& [worker, lapse_at] : silent_) {
    Carry(scheduler_.WorkerLost(worker, lapse_at, now), now);
  }
  for (const JobEntry* entry : open) ResyncRecords(*entry);
  LogEvent(events::kTakeoverDone, {{"epoch", epoch_},
                                   {"jobs", open.size()},
                                   {"gangs", gangs.size()},
                                   {"workers", inputs_.workers.size()},
                                   {"workers_heard", heard_.size()}});
  heard_.clear();
  silent_.clear();
}

// The gangs in the workers' own lease tables, by gang id.
std::map<std::string, AdoptedGang> Coordinator::FindGangs(Time now) {
  std::map<std::string, AdoptedGang> gangs;
  for (const auto& [worker, heard] : heard_) {
    for (const LeaseReport& lease : heard.report.leases) {
      if (lease.state == LeaseState::kGone) continue;
      AdoptedGang& gang = gangs[lease.gang_id];
      gang.job = lease.job_id;
      gang.gang_id = lease.gang_id;
      gang.members.push_back({worker, lease.lease_id, lease.accelerators});
      const bool saving = lease.state == LeaseState::kCheckpointing ||
                          lease.state == LeaseState::kCheckpointed;
      const bool held_back = lease.state == LeaseState::kThrottled;
      if (saving) gang.phase = JobPhase::kCheckpointing;
      if (held_back && gang.phase != JobPhase::kCheckpointing) {
        gang.phase = JobPhase::kStarting;
      }
      executor_.Adopt(worker, lease, now);
    }
  }
  return gangs;
}

// A worker that has not answered may still run what the stream placed there:
// its members count as found, and are lost only when the worker is. A gang that
// was being started must not be lifted on that guess: it is stopped.
void Coordinator::AddUnheardMembers(const JobStreamFold& fold, Time now,
                                    std::map<std::string, AdoptedGang>* gangs) {
  for (const auto& [id, entry] : fold.jobs().jobs()) {
    if (IsFinal(entry.phase) || entry.gang_id.empty()) continue;
    for (const GangMember& member : entry.members) {
      if (heard_.count(member.worker) > 0) continue;
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

// The workers know better than the stream whether a gang was started; the
// stream knows better what its job was to become.
void Coordinator::SettlePhase(const JobStreamFold& fold, WallTime wall_now,
                              AdoptedGang* gang) const {
  const JobEntry* entry = fold.jobs().Find(gang->job);
  if (entry == nullptr) return;
  if (entry->running_at && wall_now > *entry->running_at) {
    gang->ran_for =
        std::chrono::duration_cast<Duration>(wall_now - *entry->running_at);
  }
  if (IsFinal(entry->phase)) {
    gang->phase = entry->phase;
    return;
  }
  const bool is_current = entry->gang_id == gang->gang_id;
  const bool ordered_away = entry->phase == JobPhase::kCheckpointing ||
                            entry->phase == JobPhase::kStopping;
  if (is_current) gang->saved_progress = UncountedProgress(*entry, *gang);
  if (is_current && ordered_away) gang->phase = entry->phase;
}

// The least progress when every member reports that its state is saved. A gang
// that the stream holds as stopping has its checkpoint counted already.
std::optional<Duration> Coordinator::UncountedProgress(
    const JobEntry& entry, const AdoptedGang& gang) const {
  if (entry.phase != JobPhase::kRunning &&
      entry.phase != JobPhase::kCheckpointing) {
    return std::nullopt;
  }
  std::optional<Duration> least;
  for (const GangMember& member : gang.members) {
    const auto heard = heard_.find(member.worker);
    if (heard == heard_.end()) return std::nullopt;
    const LeaseReport* lease = FindLease(heard->second.report, member.lease_id);
    if (lease == nullptr || lease->state != LeaseState::kCheckpointed ||
        !lease->progress) {
      return std::nullopt;
    }
    least = std::min(least.value_or(*lease->progress), *lease->progress);
  }
  return least;
}

// After a takeover the stream may say that a job has a gang which is nowhere,
// or not know of one whose record was lost with the predecessor.
void Coordinator::ResyncRecords(const JobEntry& entry) {
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

void Coordinator::Handle(const WorkerEvents& worker_events, Time now) {
  for (const WorkerEvent& event : worker_events) {
    std::visit([this, now](const auto& typed) { HandleOne(typed, now); },
               event);
  }
}

void Coordinator::HandleOne(const MemberFared& event, Time now) {
  if (!planning_) return;
  Carry(scheduler_.MemberResult(event.job, event.gang_id, event.lease_id,
                                event.outcome, event.reason, now),
        now);
}

void Coordinator::HandleOne(const ReportArrived& event, Time now) {
  if (!planning_) {
    heard_[event.report.worker] = event;
    return;
  }
  Carry(scheduler_.WorkerReported(event.report.worker, event.report.leases,
                                  event.asked_at, now),
        now);
}

void Coordinator::HandleOne(const WorkerWentSilent& event, Time now) {
  LogEvent(events::kWorkerLost, {{"worker", event.worker}});
  if (!planning_) {
    silent_[event.worker] = event.leases_lapse_at;
    return;
  }
  Carry(scheduler_.WorkerLost(event.worker, event.leases_lapse_at, now), now);
}

void Coordinator::HandleOne(const WorkerCameBack& event, Time now) {
  LogEvent(events::kWorkerBack, {{"worker", event.worker}});
  if (!planning_) {
    silent_.erase(event.worker);
    return;
  }
  Carry(scheduler_.WorkerRecovered(event.worker, now), now);
}

void Coordinator::HandleOne(const TokenRefused& event, Time) {
  refusing_.insert(event.worker);
  LogEvent(events::kTokenRefused,
           {{"worker", event.worker}, {"epoch", epoch_}});
}

void Coordinator::Carry(const SchedulerActions& actions, Time now) {
  queue_.insert(queue_.end(), actions.begin(), actions.end());
  if (carrying_) return;
  carrying_ = true;
  while (!queue_.empty()) {
    const SchedulerAction action = std::move(queue_.front());
    queue_.pop_front();
    std::visit([this, now](const auto& typed) { CarryOne(typed, now); },
               action);
  }
  carrying_ = false;
}

// The intent is recorded in the same step as the grant is queued, so that a
// takeover finds the gang in the stream or at the workers, or in both.
void Coordinator::CarryOne(const GrantGang& action, Time now) {
  const auto known = jobs_.find(action.job);
  if (known == jobs_.end()) return;
  KnownJob& job = known->second;
  records_.push_back(PlacedRecord{epoch_, ++job.revision, action.job,
                                  action.gang_id, action.members});
  LogEvent(events::kGangPlaced, {{"job", action.job},
                                 {"gang", action.gang_id},
                                 {"workers", WorkerNames(action.members)},
                                 {"reason", action.reason}});
  Handle(executor_.Grant(action, job.account,
                         RemainingTask(job.task, job.progress), now),
         now);
}

void Coordinator::CarryOne(const LiftThrottle& action, Time) {
  LogEvent(events::kGangThrottleLifted,
           {{"job", action.job}, {"gang", action.gang_id}});
  executor_.Lift(action.gang_id);
}

void Coordinator::CarryOne(const CheckpointGang& action, Time) {
  LogEvent(events::kGangCheckpointed, {{"job", action.job},
                                       {"gang", action.gang_id},
                                       {"reason", action.reason}});
  executor_.Checkpoint(action.gang_id);
}

void Coordinator::CarryOne(const StopGang& action, Time now) {
  LogEvent(events::kGangStopped, {{"job", action.job},
                                  {"gang", action.gang_id},
                                  {"reason", action.reason}});
  Handle(executor_.Stop(action.gang_id), now);
}

void Coordinator::CarryOne(const StopLease& action, Time) {
  LogEvent(events::kLeaseStopped, {{"worker", action.worker},
                                   {"lease", action.lease_id},
                                   {"reason", action.reason}});
  executor_.StopLease(action.worker, action.lease_id);
}

void Coordinator::CarryOne(const PhaseChanged& action, Time) {
  LogEvent(events::kJobPhaseChanged,
           {{"job", action.job},
            {"phase", std::string(JobPhaseName(action.phase))},
            {"reason", action.reason}});
  // The placed record says it already.
  if (action.phase == JobPhase::kStarting) return;
  const auto known = jobs_.find(action.job);
  if (known == jobs_.end()) return;
  KnownJob& job = known->second;
  job.progress =
      std::chrono::duration_cast<Milliseconds>(action.saved_progress);
  records_.push_back(PhaseRecord{epoch_, ++job.revision, action.job,
                                 action.phase, action.reason, job.progress});
  if (IsFinal(action.phase)) jobs_.erase(known);
}

void Coordinator::CarryOne(const ReportShortfall& action, Time) {
  const bool is_event = action.subject == ReportShortfall::Subject::kEvent;
  LogEvent(events::kShortfall, {{"subject", is_event ? "event" : "account"},
                                {"name_of", action.name},
                                {"text", action.text}});
}

void Coordinator::CarryOne(const WorkerQuarantineChanged& action, Time) {
  static constexpr const char* kVerdicts[] = {"quarantined", "probed",
                                              "released"};
  LogEvent(events::kWorkerQuarantineChanged,
           {{"worker", action.worker},
            {"verdict", kVerdicts[static_cast<int>(action.verdict)]},
            {"reason", action.reason}});
}

}  // namespace thornplank
