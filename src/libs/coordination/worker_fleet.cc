// Reports and reviews of workers.
#include "coordination/worker_fleet.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

StartSenderSettings StartSenderSettingsFor(const WorkerBounds& bounds) {
  StartSenderSettings settings;
  settings.resend_period = bounds.start_order_term() / 2;
  return settings;
}

GangReviewSettings GangReviewSettingsFor(const WorkerBounds& bounds) {
  GangReviewSettings settings;
  settings.bounds = bounds;
  return settings;
}

Time Now() { return std::chrono::steady_clock::now(); }

const char* ToReason(IncarnationEnd end) {
  switch (end) {
    case IncarnationEnd::kLeft:
      return "it left as announced";
    case IncarnationEnd::kCrashed:
      return "another incarnation answers at its address";
    case IncarnationEnd::kSilent:
      return "its leases have expired";
  }
  return "";
}

}  // namespace

WorkerFleet::WorkerFleet(WorkerCalls& calls, const Formats& formats,
                         WorkerFleetSettings settings, Handlers handlers)
    : calls_(calls),
      formats_(formats),
      settings_(settings),
      handlers_(std::move(handlers)),
      first_looks_(settings.first_looks),
      report_schedule_(settings.reports),
      health_monitor_(settings.features.worker_health, trackers_),
      run_review_({settings.bounds}),
      gang_review_(GangReviewSettingsFor(settings.bounds)),
      start_sender_(calls, StartSenderSettingsFor(settings.bounds)),
      pace_controller_(calls, settings.epoch, settings.call_timeout,
                       {[this](const std::string& id) { return Find(id); },
                        [this] { handlers_.on_fenced(); }}) {}

WorkerFleet::~WorkerFleet() { *alive_ = false; }

WorkerTracker* WorkerFleet::Find(const std::string& id) {
  const auto it = trackers_.find(id);
  return it == trackers_.end() ? nullptr : &it->second;
}

WorkerTracker WorkerFleet::NewTracker(const WorkerRegistration& entry) const {
  WorkerTracker tracker(entry);
  tracker.set_max_entry_age(settings_.bounds.max_entry_age());
  return tracker;
}

std::vector<const WorkerTracker*> WorkerFleet::active_workers() const {
  std::vector<const WorkerTracker*> workers;
  for (const std::string& id : active_) {
    const auto tracker = trackers_.find(id);
    if (tracker != trackers_.end()) workers.push_back(&tracker->second);
  }
  return workers;
}

void WorkerFleet::Forget(const std::string& id) {
  first_looks_.Remove(id);
  trackers_.erase(id);
  call_states_.erase(id);
  active_.erase(id);
  health_monitor_.Forget(id);
  pace_controller_.Forget(id);
}

void WorkerFleet::BeginSurvey() { survey_begun_ = true; }

bool WorkerFleet::surveying(Time now) const {
  if (!survey_begun_ || first_looks_.empty()) return false;
  return !survey_released_at_ ||
         now - *survey_released_at_ < settings_.max_survey;
}

void WorkerFleet::RequestFirstReport(const std::string& id, Time now) {
  if (!survey_begun_) return RequestReportIfDue(id, now);
  const WorkerTracker* tracker = Find(id);
  const WorkerRegistration& entry = tracker->registration();
  if (tracker->runs().empty()) {
    first_looks_.AddIdle(id, entry.failure_domain, entry.rack);
  } else {
    first_looks_.AddWithRuns(id);
  }
  SendFirstLooks(now);
}

void WorkerFleet::SendFirstLooks(Time now) {
  for (const std::string& id : first_looks_.Take()) {
    if (Find(id) != nullptr) RequestReportIfDue(id, now);
  }
}

// Logged once for each reason, not for each worker: the same fault usually
// affects all workers.
void WorkerFleet::LogBirthFault(const std::string& id,
                                const IncarnationStart& birth) {
  if (birth.error.empty() || !logged_faults_.insert(birth.error).second) return;
  LogEvent(events::kIncarnationStartUnreadable,
           {{"worker", id}, {"reason", birth.error}});
}

void WorkerFleet::CloseDomains(const std::set<std::string>& domains) {
  closed_domains_ = domains;
  for (auto& [id, tracker] : trackers_) {
    tracker.set_domain_closed(IsClosed(tracker));
  }
}

bool WorkerFleet::IsClosed(const WorkerTracker& tracker) const {
  return closed_domains_.count(tracker.registration().failure_domain) > 0;
}

void WorkerFleet::Inherit(const std::string& worker, const TaskRef& task,
                          int run, const RunProfile& profile, Time now,
                          Time lease_bound) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) {
    WorkerRegistration unknown;
    unknown.id = worker;
    tracker = &trackers_.emplace(worker, NewTracker(unknown)).first->second;
    call_states_[worker].missing_since = now;
    unheard_.insert(worker);
  }
  const auto departure = recorded_departures_.find(worker);
  if (departure != recorded_departures_.end()) {
    tracker->RestoreDeparture(departure->second);
  }
  tracker->Inherit(task, run, profile, now, lease_bound);
  health_monitor_.OnRunPlaced(worker, task, now);
  Activate(worker);
}

void WorkerFleet::Add(const std::string& worker, const TaskRef& task, int run,
                      const RunProfile& profile, Time now) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  tracker->Add(task, run, profile, now);
  health_monitor_.OnRunPlaced(worker, task, now);
  Activate(worker);
}

void WorkerFleet::OnEndsRecorded(const std::string& worker, int incarnation,
                                 int64_t number) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  tracker->OnEndsRecorded(incarnation, number);
  Activate(worker);
  RequestReportIfDue(worker, Now());
}

void WorkerFleet::Tick(Time now) {
  const std::vector<std::string> ids(active_.begin(), active_.end());
  run_review_.DropStale(now);
  health_monitor_.Tick(now);
  first_looks_.OnTick();
  SendFirstLooks(now);
  ReviewGangs(now);
  for (const std::string& id : ids) {
    ReviewWorker(id, now);
    const WorkerTracker* tracker = Find(id);
    if (tracker == nullptr) continue;
    SendStops(id, now);
    RequestReportIfDue(id, now);
    if (!NeedsVisit(*tracker, call_states_[id])) active_.erase(id);
  }
}

void WorkerFleet::RequestReportIfDue(const std::string& id, Time now) {
  const WorkerTracker* tracker = Find(id);
  if (tracker == nullptr || first_looks_.Contains(id)) return;
  const bool is_needed =
      !tracker->runs().empty() ||
      handlers_.is_known_service(tracker->registration().service);
  if (!is_needed) return;
  const std::optional<Milliseconds> wait =
      report_schedule_.TakeDue(*tracker, now, &call_states_[id]);
  if (wait) RequestReport(id, *wait, ReportKind::kRegular);
}

void WorkerFleet::RequestReport(const std::string& id, Milliseconds wait,
                                ReportKind kind) {
  WorkerTracker* tracker = Find(id);
  WorkerCallState& state = call_states_[id];
  const Time now = Now();
  StatusQuery query;
  query.epoch = settings_.epoch;
  query.recorded_ends = EndsToAcknowledge(*tracker, state);
  query.wait = wait;
  // The leases of a worker that does not answer are not renewed, so that they
  // expire. A probe comes before a start, whose order has a short lease of its
  // own.
  const bool renews = kind != ReportKind::kProbe && tracker->synchronized() &&
                      tracker->reachable() && !tracker->runs().empty() &&
                      !renewal_stops_.Contains(id) && handlers_.may_renew();
  Milliseconds lease{0};
  if (renews) {
    lease = LeaseTerm(*tracker);
    query.lease_until = tracker->IssueDeadline(lease, now);
  }
  state.recheck = false;
  const bool regular = kind == ReportKind::kRegular;
  (regular ? state.report_pending : state.extra_report_pending) = true;
  const WorkerAddress address{id, tracker->registration().address};
  const SentQuery sent{
      kind, now, wait, query.recorded_ends, lease, tracker->incarnation()};
  calls_.Status(address, query, settings_.call_timeout + wait,
                [this, alive = alive_, id, sent](const StatusAnswer& answer) {
                  if (*alive) OnStatus(id, answer, sent);
                });
}

Milliseconds WorkerFleet::LeaseTerm(const WorkerTracker& worker) const {
  return worker.registration().draining ? settings_.bounds.leaving_lease_term()
                                        : settings_.bounds.lease_term();
}

void WorkerFleet::ProbeIfQuiet(const std::string& worker, Time now) {
  const WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr || HasAnswered(worker, now)) return;
  if (call_states_[worker].extra_report_pending) return;
  RequestReport(worker, Milliseconds(0), ReportKind::kProbe);
}

bool WorkerFleet::HasAnswered(const std::string& worker, Time probed) const {
  const auto state = call_states_.find(worker);
  return state != call_states_.end() &&
         state->second.answered_at >= probed - settings_.answer_validity;
}

bool WorkerFleet::IsReachable(const std::string& worker) const {
  const auto tracker = trackers_.find(worker);
  return tracker != trackers_.end() && tracker->second.reachable();
}

Milliseconds WorkerFleet::ProbeTimeout() const {
  return std::max(settings_.min_probe_timeout,
                  usual_latency_.Times(settings_.probe_timeout_per_latency));
}

void WorkerFleet::OnProbeTimeout(const std::string& worker, Time now) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr || !tracker->reachable()) return;
  const Milliseconds lease_left = tracker->lease_left(now);
  LogEvent(events::kWorkerSilent, {{"worker", worker},
                                   {"runs", tracker->runs().size()},
                                   {"reason", "no answer to a probe"},
                                   {"timeout_ms", ProbeTimeout().count()},
                                   {"lease_left_ms", lease_left.count()}});
  tracker->OnReportFailed(now);
  unheard_.insert(worker);
  Activate(worker);
}

void WorkerFleet::OnNoStatus(const std::string& id, const StatusAnswer& answer,
                             Time now) {
  WorkerTracker* tracker = Find(id);
  if (tracker->reachable()) {
    LogEvent(events::kWorkerSilent, answer.error,
             {{"worker", id},
              {"runs", tracker->runs().size()},
              {"lease_left_ms", tracker->lease_left(now).count()}});
  }
  tracker->OnReportFailed(now);
  unheard_.insert(id);
  Activate(id);
  call_states_[id].next_report_time = now + report_schedule_.retry_delay();
  handlers_.on_no_answer(id);
}

void WorkerFleet::OnStatus(const std::string& id, const StatusAnswer& answer,
                           const SentQuery& query) {
  WorkerCallState& state = call_states_[id];
  const bool regular = query.kind == ReportKind::kRegular;
  (regular ? state.report_pending : state.extra_report_pending) = false;
  WorkerTracker* tracker = Find(id);
  const Time now = Now();
  if (tracker == nullptr || !tracker->synchronized()) {
    first_looks_.OnAnswered();
    SendFirstLooks(now);
  }
  if (tracker == nullptr) return;
  switch (answer.outcome) {
    case CallOutcome::kOk:
      break;
    case CallOutcome::kFenced:
      return handlers_.on_fenced();
    case CallOutcome::kOtherIncarnation:
      // The call may have gone to an address of a previous incarnation.
      if (query.incarnation != tracker->incarnation()) return;
      tracker->MarkOrdersUnanswered(now);
      OnIncarnationOver(id, IncarnationEnd::kCrashed);
      return handlers_.on_no_answer(id);
    case CallOutcome::kRefused:
    case CallOutcome::kNoAnswer:
      return OnNoStatus(id, answer, now);
  }
  if (!tracker->reachable()) {
    LogEvent(events::kWorkerBack,
             {{"worker", id},
              {"failed_reports", tracker->failed_reports()},
              {"clock_ms", answer.report.clock.count()},
              {"clock_before_ms", tracker->clock().count()},
              {"ends_before", tracker->processed_ends()}});
  }
  LogBirthFault(id, answer.report.incarnation_start);
  if (tracker->IsFromPastIncarnation(answer.report, query.sent)) {
    return RequestReportIfDue(id, now);
  }
  state.answered_at = now;
  if (query.wait.count() == 0) usual_latency_.Add(now - query.sent);
  const bool first = !tracker->synchronized();
  state.acknowledged_ends =
      std::max(state.acknowledged_ends, query.recorded_ends);
  if (query.lease.count() > 0) {
    state.leased_until = query.sent + query.lease;
    tracker->ConfirmLease(state.leased_until);
  }
  const int life = tracker->incarnation();
  const std::optional<WallTime> known_start = tracker->incarnation_start();
  const bool leaves = tracker->has_announced_departure();
  std::vector<RunReport> unexpected;
  const std::vector<RunEndReport> ends =
      tracker->OnReport(answer.report, query.sent, now, &unexpected);
  if (tracker->incarnation() != life) {
    (leaves ? handlers_.on_alive : handlers_.on_ended)(id, known_start);
    OnRestart(id, ends, now);
  }
  if (first) health_monitor_.OnFirstReport(id, now);
  if (NeedsVisit(*tracker, state)) Activate(id);
  for (const RunReport& run : answer.report.running) {
    handlers_.on_began(run.task);
    handlers_.on_progress(run);
    if (tracker->ConfirmStart(run.task, run.run, query.sent)) {
      handlers_.on_start_survived(run.task, run.run);
    }
  }
  TakeUpUnexpected(tracker, unexpected, now);
  run_review_.Observe(tracker, now);
  pace_controller_.OnReport(tracker, now);
  DeliverEnds(id, ends);
  // After the ends: what an incarnation does not list has not run in it. An
  // answer to an earlier call may be from before the worker was lost.
  if (query.sent > LostAt(id)) {
    handlers_.on_alive(id, tracker->incarnation_start());
  }
  // While many workers answer for the first time, the owner plans at each tick.
  const bool first_of_many = first && surveying(now);
  if ((first && !first_of_many) || !ends.empty()) handlers_.on_change();
  handlers_.on_answer(id);
  RequestReportIfDue(id, now);
}

void WorkerFleet::TakeUpUnexpected(WorkerTracker* worker,
                                   const std::vector<RunReport>& runs,
                                   Time now) {
  const std::string& id = worker->id();
  for (const RunReport& run : runs) {
    const TrackedRun* tracked = worker->Find(run.task);
    RunProfile profile = handlers_.profile_of(run.task);
    LogEvent(events::kRunUnexpected,
             {{"task", run.task.ToString()},
              {"run", run.run},
              {"worker", id},
              {"tracked_run", tracked == nullptr ? 0 : tracked->run},
              {"need_known", profile.need_known}});
    if (tracked != nullptr) {
      StopOther(*worker, run);
      continue;
    }
    worker->Add(run.task, run.run, std::move(profile), now);
    worker->Find(run.task)->stage = RunStage::kRunning;
    RequestStop(id, run.task, run.run, "not in force");
  }
}

void WorkerFleet::OnRestart(const std::string& id,
                            const std::vector<RunEndReport>& ends, Time now) {
  WorkerTracker* tracker = Find(id);
  WorkerCallState& state = call_states_[id];
  state.acknowledged_ends = 0;
  state.leased_until = Time{};
  state.departure = DepartureDetector();
  health_monitor_.OnRestart(id, now);
  LogEvent(events::kWorkerRestarted,
           {{"worker", id},
            {"born_ms", ToUnixMilliseconds(*tracker->incarnation_start())},
            {"ended", ends.size()},
            {"runs", tracker->runs().size()}});
  // The clock of the worker has restarted: deadlines of the previous
  // incarnation lie far ahead on it.
  tracker->ExtendLeaseBound(settings_.bounds.longest_lease, now);
  std::vector<std::pair<TaskRef, int>> undecided;
  for (const auto& [task, run] : tracker->runs()) {
    const bool sent =
        run.stage == RunStage::kSending || run.stage == RunStage::kUnknown;
    if (sent) undecided.emplace_back(task, run.run);
  }
  for (const auto& [task, run] : undecided) {
    RequestStop(id, task, run, "ordered from the life before");
  }
}

void WorkerFleet::DeliverEnds(const std::string& id,
                              const std::vector<RunEndReport>& ends) {
  for (const RunEndReport& end : ends) {
    health_monitor_.OnRunEnded(id, end, Now());
    handlers_.on_end(id, end);
  }
}

void WorkerFleet::ReviewGangs(Time now) {
  for (const GangVerdict& verdict : gang_review_.FindRunsToStop(
           active_workers(), run_review_.speeds(), now)) {
    if (verdict.stalled) {
      health_monitor_.OnRunStalled(verdict.worker, verdict.task, now);
    }
    RequestStop(verdict.worker, verdict.task, verdict.run, verdict.reason);
  }
}

void WorkerFleet::ReviewWorker(const std::string& id, Time now) {
  WorkerTracker* tracker = Find(id);
  WorkerCallState& state = call_states_[id];
  const bool unreachable =
      !tracker->reachable() || tracker->registration().address.empty();
  if (unreachable && !tracker->runs().empty() && tracker->LeasesExpired(now)) {
    if (EndRunsOfLostWorker(id, IncarnationEnd::kSilent)) return;
  }
  const bool long_unlisted = state.missing_since && now - *state.missing_since >
                                                        settings_.missing_grace;
  if (long_unlisted && now - directory_read_since_ > settings_.missing_grace) {
    tracker->MarkMissing(now);
    // A lease that is left would cover what is started there once the worker is
    // listed again.
    if (tracker->runs().empty() && tracker->LeasesExpired(now)) {
      LogEvent(events::kWorkerGone,
               {{"worker", id}, {"reason", "no longer listed"}});
      return Forget(id);
    }
  }
  for (const RunVerdict& verdict : run_review_.FindRunsToStop(tracker, now)) {
    if (verdict.stalled) health_monitor_.OnRunStalled(id, verdict.task, now);
    RequestStop(id, verdict.task, verdict.run, verdict.reason);
  }
}

bool WorkerFleet::IsOnRack(const std::string& worker,
                           const std::string& rack) const {
  if (rack.empty()) return true;
  const auto it = trackers_.find(worker);
  return it != trackers_.end() && it->second.registration().rack == rack;
}

void WorkerFleet::OnIncarnationOver(const std::string& id, IncarnationEnd end) {
  const std::optional<WallTime>& born =
      Find(id)->registration().incarnation_start.time;
  if (!ended_incarnations_.emplace(id, born).second) return;
  call_states_[id].missing_since = Now();
  Activate(id);
  const WorkerTracker& tracker = *Find(id);
  if (end == IncarnationEnd::kCrashed && !tracker.has_announced_departure()) {
    // A leader that has no report of it yet knows it from its entry only.
    const std::optional<WallTime>& reported = tracker.incarnation_start();
    handlers_.on_ended(id, reported ? reported : born);
  }
  EndRunsOfLostWorker(id, end);
}

// Returns whether the worker itself was removed.
bool WorkerFleet::EndRunsOfLostWorker(const std::string& id,
                                      IncarnationEnd end) {
  WorkerTracker* tracker = Find(id);
  const std::vector<RunEndReport> ends =
      tracker->OnIncarnationEnded(end, Now());
  LogEvent(events::kWorkerGone,
           {{"worker", id}, {"reason", ToReason(end)}, {"runs", ends.size()}});
  lost_at_[id] = Now();
  const std::string& address = tracker->registration().address;
  if (end == IncarnationEnd::kSilent && !address.empty() &&
      !tracker->has_announced_departure()) {
    lost_at_address_[address] = {id, tracker->incarnation_start()};
  }
  const bool forget = call_states_[id].missing_since.has_value();
  if (forget) Forget(id);
  DeliverEnds(id, ends);
  handlers_.on_change();
  return forget;
}

}  // namespace thornplank
