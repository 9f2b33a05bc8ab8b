// Planning rounds of the leader.
#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "coordination/cluster_coordinator.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// As it is logged.
constexpr Milliseconds kUnknownEntryAge{-1};

Time Now() { return std::chrono::steady_clock::now(); }

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
    overdue_starts_.Observe(plan, now);
    ReviewOverdueStarts(now);
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
  std::optional<Milliseconds> oldest_entry;
  int64_t least_accelerators = std::numeric_limits<int64_t>::max();
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
    const WorkerTracker& worker = fleet_->trackers().at(assignment.worker);
    oldest_entry = std::max(oldest_entry, worker.entry_age(now));
    least_accelerators =
        std::min(least_accelerators, worker.room().accelerators);
  }
  LogEvent(
      events::kTasksPlaced,
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
       {"oldest_entry_ms", oldest_entry.value_or(kUnknownEntryAge).count()},
       {"accelerators_left", least_accelerators},
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

}  // namespace thornplank
