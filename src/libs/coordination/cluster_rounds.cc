// Work of the leader: planning rounds, progress writes and the ends of runs and
// jobs.
#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "coordination/cluster_coordinator.h"
#include "coordination/entry_registrar.h"
#include "coordination/progress_records.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Between two checks for records that have expired.
constexpr std::chrono::seconds kCleanupInterval{5};

// Bounds one line of the log.
constexpr size_t kMaxLoggedTasks = 32;
constexpr size_t kMaxLoggedWorkers = 32;

Time Now() { return std::chrono::steady_clock::now(); }

LostRun ToLostRun(const std::string& worker, const RunEndReport& end) {
  LostRun run;
  run.worker = worker;
  run.number = end.run;
  run.address = end.address;
  run.incarnation_start = end.incarnation_start;
  run.crashed = end.end == RunEnd::kWorkerCrashed;
  run.began = end.began != Time{};
  run.survived = end.survived;
  run.within_lease = end.within_lease;
  return run;
}

const char* ToWord(const WorkerLoss& loss) {
  if (loss.crashed) return "crashed";
  return loss.ended ? "ended" : "unproved";
}

// Rows of worker and "crashed", "ended" or "unproved".
Json ToJson(const std::vector<WorkerLoss>& losses) {
  Json rows = Json::array();
  for (const WorkerLoss& loss : losses) {
    rows.push_back(Json::array({loss.worker, ToWord(loss)}));
  }
  return rows;
}

Json ToJson(const std::vector<DepartingWorker>& departures) {
  Json workers = Json::array();
  for (const DepartingWorker& departure : departures) {
    if (workers.size() == kMaxLoggedWorkers) break;
    workers.push_back(departure.worker);
  }
  return workers;
}

KeyedRecord ToRecord(const std::vector<DepartingWorker>& departures) {
  if (departures.empty()) return JobBoard::Departures(std::nullopt);
  return JobBoard::Departures(EncodeDepartures(departures));
}

KeyedRecord ToRecord(const RenewalStopRecord& record) {
  if (record.stops.empty()) return JobBoard::RenewalStops(std::nullopt);
  return JobBoard::RenewalStops(EncodeRenewalStops(record));
}

}  // namespace

void ClusterCoordinator::SchedulePlanning() {
  if (planning_scheduled_ || phase_ != Phase::kLeading) return;
  planning_scheduled_ = true;
  planning_timer_.expires_after(
      std::max<Duration>(settings_.planning_delay,
                         placement_time_ * settings_.planning_pause_factor));
  planning_timer_.async_wait(
      [this, alive = alive_](const boost::system::error_code& code) {
        if (code || !*alive || phase_ != Phase::kLeading) return;
        planning_scheduled_ = false;
        RunPlanningRound();
      });
}

bool ClusterCoordinator::IsDirectoryCurrent() {
  if (!directory_->has_snapshot()) return false;
  const auto slack =
      std::chrono::duration_cast<Milliseconds>(directory_->latency() * 2);
  const auto age = BootClock::now() - directory_->as_of();
  if (age <= settings_.max_directory_age + slack) return true;
  // A short gap is within what the platform allows a worker that has shrunk.
  if (directory_unreadable_) return !fleet_->IsDirectoryOutdated(Now());
  if (refreshing_directory_) return false;
  refreshing_directory_ = true;
  directory_->CatchUp(
      settings_.directory_refresh_timeout + slack,
      [this, generation = generation_, current = *generation_](bool is_read) {
        if (*generation != current) return;
        refreshing_directory_ = false;
        directory_unreadable_ = !is_read;
        SchedulePlanning();
      });
  return false;
}

void ClusterCoordinator::RunPlanningRound() {
  PublishEndedJobs();
  // Only one progress write is in flight at a time, and a task is started only
  // after its start was stored.
  if (!progress_writer_->idle()) return;
  const auto age = BootClock::now() - dependencies_.board_as_of();
  const bool is_up_to_date = age <= settings_.bounds.max_board_age() &&
                             !released_ && IsDirectoryCurrent();
  const Time now = Now();
  const bool surveying = fleet_->surveying(now);
  const bool is_due =
      !surveying || now - last_placement_ >= settings_.survey_planning_interval;
  if (is_up_to_date && is_due) {
    last_placement_ = now;
    const Guarantees guarantees = dependencies_.configuration().guarantees();
    PlanInputs inputs;
    inputs.ledger = &ledger_;
    inputs.workers = &fleet_->trackers();
    inputs.guarantees = &guarantees;
    inputs.advice = &advice_->book();
    inputs.surveying = surveying;
    inputs.awaiting_entries = fleet_->awaiting_entries(now);
    inputs.now = now;
    inputs.wall_now = std::chrono::system_clock::now();
    const Plan plan = planner_.Decide(inputs);
    for (const StartDecision& decision : plan.starts) {
      ApplyStart(decision, now);
    }
    for (const StopDecision& stop : plan.stops) {
      fleet_->RequestStop(stop.worker, stop.task, stop.run, stop.reason);
      StopRestOfGang(stop);
      if (stop.returns_held) metrics_.OnBorrowerStopped();
      metrics_.OnGaveWay(stop);
    }
    if (plan.equal_stop_limit_change) {
      LogEqualStopLimit(*plan.equal_stop_limit_change);
    }
    LogFeatureChanges(plan.feature_changes);
    LogHoldChanges(plan.hold_changes);
    LogWaits(plan.waits);
    LogAccountWaits(plan.account_waits);
    RequestAdvice(plan.waits);
    placement_time_ = Now() - now;
  }
  FlushProgress();
}

// If one member of a gang ends, the whole gang ends. A member that is ordered
// to stop saves its work; a member that is ended by the loss of another one
// does not, and frees its resources later.
void ClusterCoordinator::StopRestOfGang(const StopDecision& stop) {
  const StepSpec* spec = ledger_.FindStepSpec(stop.task.step);
  if (spec == nullptr || !spec->gang) return;
  const StepProgress* progress = ledger_.FindStep(stop.task.step);
  for (size_t i = 0; i < progress->tasks.size(); ++i) {
    const TaskStatus& member = progress->tasks[i];
    if (member.phase != TaskPhase::kActive || member.run != stop.run) continue;
    const TaskRef task{stop.task.step, static_cast<int>(i)};
    fleet_->RequestStop(member.worker, task, stop.run, stop.reason);
  }
}

void ClusterCoordinator::ApplyStart(const StartDecision& decision, Time now) {
  RecordWaitMetrics(decision, now);
  const int run = ledger_.RecordStart(decision.step, decision.assignments);
  const Job* job = ledger_.Find(decision.step.job);
  const StepSpec* spec = ledger_.FindStepSpec(decision.step);
  Json workers = Json::array();
  int away_from_data = 0;
  for (const JobLedger::Assignment& assignment : decision.assignments) {
    const TaskRef task{decision.step, assignment.index};
    fleet_->Add(assignment.worker, task, run, ProfileOf(task), now);
    fleet_->ProbeIfQuiet(assignment.worker, now);
    const TaskStatus* status = ledger_.FindTask(task);
    const auto ticket =
        advice_->book().FindTicket(decision.step, assignment.worker, now);
    pending_starts_.push_back({assignment.worker, task, run, status->checkpoint,
                               ticket.value_or(""), spec->gang, now});
    workers.push_back(Json::array({assignment.index, assignment.worker}));
    if (!fleet_->IsOnRack(assignment.worker, spec->data_rack)) ++away_from_data;
  }
  LogEvent(events::kTasksPlaced,
           {{"job", decision.step.job},
            {"step", decision.step.ToString()},
            {"run", run},
            {"tasks", std::move(workers)},
            {"reason", decision.reason},
            {"priority", job->spec.policy.priority},
            {"data_rack", spec->data_rack},
            {"away_from_data", away_from_data},
            {"same_rack", spec->same_rack},
            {"accelerators", spec->need.accelerators},
            {"estimate_ms", spec->estimate.count()},
            {"epoch", epoch_},
            {"board_next", dependencies_.board_next_offset()},
            {"configuration", dependencies_.configuration().version}});
}

void ClusterCoordinator::MeasureFragmentation(Time now) {
  if (!fragmentation_.IsDue(now)) return;
  std::set<std::string> waiting_services;
  for (const auto& [step, reason] : logged_waits_) {
    if (reason == WaitReason::kMembersUnsettled) continue;
    if (reason == WaitReason::kWorkersMissing) continue;
    const Job* job = ledger_.Find(step.job);
    if (job != nullptr) waiting_services.insert(job->spec.policy.service);
  }
  fragmentation_.Measure(fleet_->trackers(), waiting_services, now);
}

void ClusterCoordinator::RequestAdvice(const std::vector<WaitDecision>& waits) {
  std::set<StepRef> waiting_steps;
  for (const WaitDecision& wait : waits) {
    const Job* job = ledger_.Find(wait.step.job);
    if (!job->spec.policy.advice) continue;
    waiting_steps.insert(wait.step);
    if (wait.candidates.empty()) continue;
    advice_->Request(wait.step, *job->spec.policy.advice, wait.candidates);
  }
  advice_->RetainOnly(waiting_steps);
}

void ClusterCoordinator::RecordWaitMetrics(const StartDecision& decision,
                                           Time now) {
  if (decision.preempted_at) {
    metrics_.OnRoomReclaimed(now - *decision.preempted_at);
  }
  const Job* job = ledger_.Find(decision.step.job);
  const int occurrence = decision.step.occurrence;
  const auto& steps = job->occurrences[static_cast<size_t>(occurrence)];
  const bool first = std::none_of(
      steps.begin(), steps.end(), [](const StepProgress& progress) {
        return progress.done > 0 || progress.active() > 0;
      });
  if (!first) return;
  metrics_.OnFirstTaskPlaced(
      job->spec,
      std::chrono::system_clock::now() - job->spec.earliest_start(occurrence));
}

RunProfile ClusterCoordinator::ProfileOf(const TaskRef& task) const {
  RunProfile profile;
  const Job* job = ledger_.Find(task.step.job);
  const StepSpec* spec = ledger_.FindStepSpec(task.step);
  if (job == nullptr || spec == nullptr) return profile;
  profile.need = spec->need;
  if (spec->is_filler) profile.need.cpu_millis = 0;
  profile.priority = job->spec.policy.priority;
  profile.checkpointable = spec->checkpointable;
  profile.gang = spec->gang;
  profile.long_running = spec->long_running;
  profile.is_filler = spec->is_filler;
  profile.estimate = spec->estimate;
  profile.tail_latency_target = spec->tail_latency_target;
  profile.account = job->spec.account;
  profile.data_rack = spec->data_rack;
  profile.on_probation = WorkersLostRunning(task) > 0;
  profile.job_accepted = job->spec.accepted;
  return profile;
}

void ClusterCoordinator::OnRunEnd(const std::string& worker,
                                  const RunEndReport& end) {
  const bool in_force = ledger_.RecordRunEnd(
      end.task, end.run, end.end, end.checkpoint, ToLostRun(worker, end));
  LogDroppedCheckpoints();
  std::optional<Duration> lasted;
  if (end.began != Time{}) lasted = Now() - end.began;
  // The ledger may have dropped the job already: the first end of a gang that
  // is done ends its job.
  if (end.kind) metrics_.OnRunEnded(*end.kind, end.end, lasted);
  const auto lasted_ms = std::chrono::duration_cast<Milliseconds>(
                             lasted.value_or(Duration::zero()))
                             .count();
  const auto kept_ms =
      std::chrono::duration_cast<Milliseconds>(end.saved_work).count();
  LogEvent(events::kRunEnded, {{"task", end.task.ToString()},
                               {"run", end.run},
                               {"worker", worker},
                               {"end", std::string(ToText(end.end))},
                               {"number", end.number},
                               {"lasted_ms", lasted_ms},
                               {"kept_ms", kept_ms},
                               {"in_force", in_force},
                               {"workers_lost", WorkersLostRunning(end.task)}});
  if (in_force) LogIfGivenUp(end.task);
  if (end.number > 0) {
    LatestEnd& latest = unrecorded_ends_[worker];
    if (end.incarnation != latest.incarnation) latest = {end.incarnation, 0};
    latest.number = std::max(latest.number, end.number);
  }
  SchedulePlanning();
}

void ClusterCoordinator::LogDroppedCheckpoints() {
  for (const DroppedCheckpoint& dropped : ledger_.TakeDroppedCheckpoints()) {
    LogEvent(events::kCheckpointDropped,
             {{"task", dropped.task.ToString()},
              {"run", dropped.run},
              {"bytes", dropped.bytes},
              {"limit", MaxCheckpointBytes(settings_.store_limits)}});
    metrics_.OnCheckpointDropped();
  }
}

// What the store does not know must not run: a successor would start it again.
void ClusterCoordinator::OnRecordRejected(const KeyedRecord& record) {
  const auto block = JobBoard::ParseProgressKey(record.key);
  if (!block) return;
  unstorable_jobs_.insert(block->step.job);
  ledger_.FailJob(block->step.job, "the progress of step " +
                                       block->step.ToString() +
                                       " is too large for the store");
  SchedulePlanning();
}

void ClusterCoordinator::LogIfGivenUp(const TaskRef& task) {
  const TaskStatus* status = ledger_.FindTask(task);
  if (status == nullptr || !status->crashes.ShouldGiveUp()) return;
  LogEvent(events::kTaskGivenUp, {{"job", task.step.job},
                                  {"task", task.ToString()},
                                  {"workers", ToJson(status->crashes.losses)},
                                  {"crashed", status->crashes.proved_crashes()},
                                  {"at_start", status->crashes.start_crashes}});
  metrics_.OnTaskGivenUp();
}

size_t ClusterCoordinator::WorkersLostRunning(const TaskRef& task) const {
  const TaskStatus* status = ledger_.FindTask(task);
  return status == nullptr ? 0 : status->crashes.losses.size();
}

// A silent worker that is seen again was cut off, or the way to it was: tasks
// that it was counted against may start again. A leader also learns in this way
// that workers are over whose loss its predecessors recorded.
void ClusterCoordinator::OnWorkerAlive(
    const std::string& worker,
    const std::optional<WallTime>& incarnation_start) {
  if (incarnation_start) {
    OnCrashRecordsChanged(
        ledger_.OnLaterIncarnation(worker, *incarnation_start));
  }
  const auto tracker = fleet_->trackers().find(worker);
  if (tracker != fleet_->trackers().end()) {
    OnCrashRecordsChanged(
        ledger_.OnWorkerAt(tracker->second.registration().address, worker));
  }
  const std::vector<TaskRef> cleared =
      ledger_.OnWorkerAlive(worker, incarnation_start);
  if (cleared.empty()) return;
  Json tasks = Json::array();
  for (const TaskRef& task : cleared) {
    if (tasks.size() == kMaxLoggedTasks) break;
    tasks.push_back(task.ToString());
  }
  LogEvent(events::kLossCleared, {{"worker", worker},
                                  {"count", cleared.size()},
                                  {"tasks", std::move(tasks)}});
  metrics_.OnLossesCleared(cleared.size());
  SchedulePlanning();
}

void ClusterCoordinator::OnWorkerEnded(
    const std::string& worker,
    const std::optional<WallTime>& incarnation_start) {
  OnCrashRecordsChanged(ledger_.OnWorkerEnded(worker, incarnation_start));
}

void ClusterCoordinator::OnCrashRecordsChanged(
    const std::vector<TaskRef>& tasks) {
  for (const TaskRef& task : tasks) LogIfGivenUp(task);
  if (!tasks.empty()) SchedulePlanning();
}

// Stops the runs that are not current in the ledger: those of cancelled or
// failed jobs, of gangs that lost a member, and of finished tasks.
void ClusterCoordinator::StopOutdatedRuns() {
  struct Outdated {
    std::string worker;
    TaskRef task;
    int run = 0;
    std::string reason;
  };
  std::vector<Outdated> outdated;
  for (const WorkerTracker* tracker : fleet_->active_workers()) {
    for (const auto& [task, run] : tracker->runs()) {
      if (run.stop_wanted) continue;
      const Job* job = ledger_.Find(task.step.job);
      const TaskStatus* status = ledger_.FindTask(task);
      std::string reason;
      if (job == nullptr || status == nullptr) {
        reason = "no such job";
      } else if (IsTerminal(job->state)) {
        reason = "job " + std::string(ToText(job->state));
      } else if (status->run != run.run ||
                 status->phase != TaskPhase::kActive) {
        reason = "not in force";
      } else if (run.profile.gang) {
        const StepProgress* progress = ledger_.FindStep(task.step);
        if (progress->waiting > 0) reason = "gang lost a member";
      }
      if (reason.empty()) continue;
      outdated.push_back({tracker->id(), task, run.run, std::move(reason)});
    }
  }
  for (const Outdated& run : outdated) {
    fleet_->RequestStop(run.worker, run.task, run.run, run.reason);
  }
}

// Publishes the end of a job without waiting for the progress of its tasks to
// be stored. This is safe: once the end is on the board, a successor starts no
// task of the job, and workers keep the ends of its runs until they are
// recorded. It saves a call to the store, 0.25 s when that is slow, and the end
// of a job is not held up while only progress writes fail.
void ClusterCoordinator::PublishEndedJobs() {
  if (phase_ != Phase::kLeading) return;
  std::vector<std::string> ended;
  for (const std::string& id : ledger_.TakeChangedJobs()) {
    const Job* job = ledger_.Find(id);
    if (job == nullptr) continue;
    if (IsTerminal(job->state)) {
      started_jobs_.erase(id);
      ended.push_back(id);
    } else {
      started_jobs_.insert(id);
    }
  }
  if (!ended.empty()) PublishJobStates(ended);
}

void ClusterCoordinator::FlushProgress() {
  if (phase_ != Phase::kLeading) return;
  PublishEndedJobs();
  if (!progress_writer_->idle()) return;
  // Flushed by the next tick that finds a write due.
  if (!progress_write_limiter_.IsDue(!pending_starts_.empty(), Now())) return;
  std::vector<KeyedRecord> records;
  for (const ProgressBlockRef& ref : ledger_.TakeDirtyBlocks()) {
    std::optional<ProgressBlock> block = ledger_.FindBlock(ref);
    if (!block) continue;
    ProgressRecords progress = ToProgressRecords(
        ref, *std::move(block), *ledger_.FindStepSpec(ref.step),
        settings_.store_limits);
    std::move(progress.records.begin(), progress.records.end(),
              std::back_inserter(records));
    stored_blocks_.insert(ref);
    stored_checkpoints_.insert(progress.checkpoints.begin(),
                               progress.checkpoints.end());
  }
  const std::set<std::string> published = published_ended_jobs_;
  for (const std::string& job : published) {
    DropProgressRecords(job, &records);
  }
  const std::set<std::string> started_jobs = std::exchange(started_jobs_, {});
  std::vector<std::string> started(started_jobs.begin(), started_jobs.end());
  std::map<std::string, LatestEnd> ends = std::exchange(unrecorded_ends_, {});
  const Time now = Now();
  const bool store_answers = BootClock::now() - leadership_confirmed_ <
                             settings_.max_age_for_renewal_stops;
  if (store_answers) {
    if (auto stops = fleet_->TakeRenewalStops(now)) {
      records.push_back(ToRecord({epoch_, std::move(*stops)}));
    }
  }
  AddDeparturesIfDue(now, &records);
  if (records.empty()) return OnProgressStored(started, ends);
  progress_write_limiter_.OnRecorded(now);
  if (auto health =
          health_schedule_.TakeDue(fleet_->UnhealthyWorkers(now), now,
                                   std::chrono::system_clock::now())) {
    records.push_back(JobBoard::Health(std::move(*health)));
  }
  std::vector<PendingStart> starts = std::exchange(pending_starts_, {});
  progress_writer_->Write(std::move(records),
                          [this, started = std::move(started),
                           ends = std::move(ends), starts = std::move(starts),
                           generation = generation_, current = *generation_] {
                            if (*generation != current) return;
                            health_schedule_.OnStored();
                            fleet_->OnRenewalStopsStored();
                            departure_schedule_.OnStored();
                            OnProgressStored(started, ends);
                            OnStartsRecorded(starts);
                            SchedulePlanning();
                          });
}

// In the same append as the ends of runs: a worker is dropped from the record
// no sooner than the ends of its runs are stored.
void ClusterCoordinator::AddDeparturesIfDue(Time now,
                                            std::vector<KeyedRecord>* records) {
  const auto due = departure_schedule_.TakeDue(fleet_->DepartingWorkers(), now);
  if (!due) return;
  LogEvent(events::kDeparturesRecorded,
           {{"count", due->size()}, {"workers", ToJson(*due)}});
  records->push_back(ToRecord(*due));
}

void ClusterCoordinator::OnStartsRecorded(std::vector<PendingStart> starts) {
  for (StartGate::Group& group : StartGate::GroupsOf(std::move(starts))) {
    const Time decided = group.front().decided;
    std::set<std::string> unanswered;
    std::set<std::string> silent;
    for (const PendingStart& start : group) {
      if (!fleet_->IsReachable(start.worker)) silent.insert(start.worker);
      if (fleet_->HasAnswered(start.worker, decided)) continue;
      unanswered.insert(start.worker);
    }
    if (!silent.empty()) {
      RefuseStarts({{std::move(group), std::move(silent)}});
      continue;
    }
    if (unanswered.empty()) {
      SendStarts(group);
      continue;
    }
    start_gate_.Hold(std::move(group), std::move(unanswered),
                     decided + fleet_->ProbeTimeout());
  }
}

void ClusterCoordinator::SendStarts(const StartGate::Group& starts) {
  for (const PendingStart& start : starts) {
    const Job* job = ledger_.Find(start.task.step.job);
    if (job == nullptr) continue;
    if (unstorable_jobs_.count(start.task.step.job) > 0) {
      fleet_->WithholdStart(start.worker, start.task, start.run,
                            "its progress cannot be stored");
      continue;
    }
    fleet_->SendStart(start.worker, start.task, start.run,
                      {job->spec.payload, start.checkpoint, start.ticket});
  }
}

void ClusterCoordinator::RefuseStarts(
    const std::vector<StartGate::Refusal>& refusals) {
  const Time now = Now();
  for (const StartGate::Refusal& refusal : refusals) {
    for (const std::string& worker : refusal.silent_workers) {
      fleet_->OnProbeTimeout(worker, now);
    }
    for (const PendingStart& start : refusal.starts) {
      fleet_->WithholdStart(start.worker, start.task, start.run,
                            refusal.silent_workers.count(start.worker) > 0
                                ? "the worker does not answer"
                                : "the worker of another member is silent");
    }
  }
}

void ClusterCoordinator::OnProgressStored(
    const std::vector<std::string>& started,
    const std::map<std::string, LatestEnd>& ends) {
  for (const auto& [worker, latest] : ends) {
    fleet_->OnEndsRecorded(worker, latest.incarnation, latest.number);
  }
  // The end of a job that has ended meanwhile is already published.
  std::vector<std::string> running;
  for (const std::string& id : started) {
    const Job* job = ledger_.Find(id);
    if (job == nullptr || IsTerminal(job->state)) continue;
    running.push_back(id);
  }
  if (!running.empty()) PublishJobStates(running);
}

void ClusterCoordinator::PublishJobStates(
    const std::vector<std::string>& changed) {
  std::vector<KeyedRecord> records;
  std::vector<std::string> ended;
  const WallTime now = std::chrono::system_clock::now();
  for (const std::string& id : changed) {
    const Job* job = ledger_.Find(id);
    if (job == nullptr) continue;
    if (!job->failure.empty()) {
      records.push_back(JobBoard::Failure(id, job->failure));
    }
    records.push_back(JobBoard::State(id, job->state, now));
    if (IsTerminal(job->state)) {
      ended.push_back(id);
      metrics_.OnJobEnded(job->spec, job->state, now - job->spec.accepted);
    }
    LogEvent(events::kJobState, {{"job", id},
                                 {"state", std::string(ToText(job->state))},
                                 {"reason", job->failure}});
  }
  last_heartbeat_ = Now();
  records.push_back(JobBoard::Leader({settings_.holder, epoch_, released_}));
  const BootTime sent_at = BootClock::now();
  board_writer_->Write(
      std::move(records), [this, sent_at, ended = std::move(ended),
                           generation = generation_, current = *generation_] {
        if (*generation != current) return;
        leadership_confirmed_ = std::max(leadership_confirmed_, sent_at);
        published_ended_jobs_.insert(ended.begin(), ended.end());
      });
}

// Once the end of a job is published and none of its runs is left, the records
// of its steps are no longer needed.
void ClusterCoordinator::DropProgressRecords(
    const std::string& id, std::vector<KeyedRecord>* records) {
  const Job* job = ledger_.Find(id);
  if (job != nullptr) {
    for (const auto& steps : job->occurrences) {
      for (const StepProgress& progress : steps) {
        if (progress.active() > 0) return;
      }
    }
  }
  for (auto it = stored_blocks_.lower_bound({StepRef{id, 0, 0}, 0});
       it != stored_blocks_.end() && it->step.job == id;) {
    records->push_back(JobBoard::Progress(*it, std::nullopt));
    it = stored_blocks_.erase(it);
  }
  for (auto it = stored_checkpoints_.lower_bound({StepRef{id, 0, 0}, 0});
       it != stored_checkpoints_.end() && it->step.job == id;) {
    records->push_back(JobBoard::Checkpoint(*it, std::nullopt));
    it = stored_checkpoints_.erase(it);
  }
  unstorable_jobs_.erase(id);
  published_ended_jobs_.erase(id);
  ledger_.Remove(id);
  ended_jobs_.insert(id);
}

void ClusterCoordinator::DropExpiredRecords() {
  const Time now = Now();
  if (now - last_cleanup_ < kCleanupInterval) return;
  last_cleanup_ = now;
  const WallTime wall_now = std::chrono::system_clock::now();
  std::vector<KeyedRecord> records;
  for (const auto& [id, job] : dependencies_.board->jobs()) {
    if (!IsTerminal(job.published_state)) continue;
    if (wall_now - job.published_at < settings_.job_retention) continue;
    for (KeyedRecord& record : JobBoard::Tombstones(id, job)) {
      records.push_back(std::move(record));
    }
  }
  for (const auto& [instance, entry] : dependencies_.board->entries()) {
    if (wall_now - entry.written < kEntryRecordTtl) continue;
    records.push_back(JobBoard::Entry(instance, std::nullopt));
  }
  if (!records.empty()) board_writer_->Write(std::move(records), nullptr);
}

}  // namespace thornplank
