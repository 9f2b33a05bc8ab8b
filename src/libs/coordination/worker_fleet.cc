// The call loop of each worker.
#include "coordination/worker_fleet.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

constexpr char kOtherLife[] = "another life answers at its address";
constexpr char kNoProgress[] = "makes no progress";
constexpr int kWholeWork = 100;
// Sound workers differ by 0.8 to 1.25, slowed ones run at a quarter and less.
constexpr double kSlowSpeed = 0.4;
// A run is moved when it would end this many times sooner elsewhere, a stop and
// a start included.
constexpr int kMoveGain = 2;
// Of one start order. Where a third of all orders gets no answer, one in 30
// gets none three times.
constexpr int kMostCopies = 3;
// Time between two reads of the directory that counts as an outage.
constexpr Milliseconds kContactGap{2500};

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

WorkerFleet::WorkerFleet(WorkerCalls& calls, const Formats& formats,
                         WorkerFleetSettings settings, Handlers handlers)
    : calls_(calls),
      formats_(formats),
      settings_(settings),
      handlers_(std::move(handlers)),
      paces_(calls, settings.epoch, settings.call_timeout,
             {[this](const std::string& id) { return Find(id); },
              [this] { handlers_.on_fenced(); }}) {}

WorkerFleet::~WorkerFleet() { *alive_ = false; }

WorkerTracker* WorkerFleet::Find(const std::string& id) {
  const auto it = trackers_.find(id);
  return it == trackers_.end() ? nullptr : &it->second;
}

void WorkerFleet::OnDirectoryRecord(const KeyedRecord& record, Time now) {
  if (!record.value) return OnEntryRemoved(record.key, now);
  Error error;
  std::optional<WorkerRegistration> registration =
      formats_.ReadWorker(record, &error);
  if (!registration) {
    LogEvent(events::kRecordUnreadable, error, {{"key", record.key}});
    return OnEntryUnreadable(record.key, now);
  }
  const std::string id = registration->id;
  if (dead_.count(id) > 0) return;
  WorkerTracker* tracker = Find(id);
  Link& link = links_[id];
  link.missing_since.reset();
  link.departure.OnEntry(*registration, contact_, now);
  if (tracker == nullptr) {
    LogEvent(events::kWorkerSeen, {{"worker", id},
                                   {"address", registration->address},
                                   {"rack", registration->rack},
                                   {"offset", record.offset}});
    trackers_.emplace(id, WorkerTracker(std::move(*registration)));
    return Drive(id, now);
  }
  const bool leaves =
      registration->draining && !tracker->registration().draining;
  if (leaves) {
    LogEvent(events::kWorkerLeaving,
             {{"worker", id},
              {"left_ms", registration->drain_left.count()},
              {"runs", tracker->runs().size()},
              {"offset", record.offset}});
  }
  tracker->Update(std::move(*registration));
}

void WorkerFleet::OnEntryRemoved(const std::string& id, Time now) {
  if (Find(id) == nullptr) return;
  Link& link = links_[id];
  link.missing_since = now;
  const Milliseconds heartbeat = settings_.bounds.heartbeat;
  if (link.departure.IsDeparture(heartbeat, contact_, now)) {
    Bury(id, "it has left as announced");
  }
}

// The entry names no worker to use any more, whatever it was before: nothing
// new is placed there, and what runs there is settled as for one not listed.
void WorkerFleet::OnEntryUnreadable(const std::string& id, Time now) {
  WorkerTracker* tracker = Find(id);
  if (tracker == nullptr) return;
  tracker->MarkMissing(now);
  Link& link = links_[id];
  if (!link.missing_since) link.missing_since = now;
}

void WorkerFleet::OnDirectorySnapshot(const std::set<std::string>& ids,
                                      Time now) {
  for (const auto& [id, tracker] : trackers_) {
    if (ids.count(id) > 0) continue;
    Link& link = links_[id];
    if (!link.missing_since) link.missing_since = now;
  }
}

void WorkerFleet::OnDirectoryContact(Time now) {
  if (now - contact_ > kContactGap) contact_since_ = now;
  contact_ = now;
}

void WorkerFleet::Inherit(const std::string& worker, const TaskRef& task,
                          int run, const RunProfile& profile, Time now,
                          Time lease_bound) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) {
    WorkerRegistration unknown;
    unknown.id = worker;
    tracker = &trackers_.emplace(worker, WorkerTracker(unknown)).first->second;
    links_[worker].missing_since = now;
  }
  tracker->Inherit(task, run, profile, now, lease_bound);
}

void WorkerFleet::Add(const std::string& worker, const TaskRef& task, int run,
                      const RunProfile& profile, Time now) {
  WorkerTracker* tracker = Find(worker);
  if (tracker != nullptr) tracker->Add(task, run, profile, now);
}

void WorkerFleet::SendStart(const std::string& worker, const TaskRef& task,
                            int run, const StartFields& fields) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  TrackedRun* tracked = tracker->Find(task);
  if (tracked == nullptr || tracked->run != run) return;
  const Time now = Now();
  if (tracked->stop_wanted || !may_renew_) {
    // Never sent: settled without a call.
    return Deliver(
        worker, tracker->OnStartAnswer(task, run, StartOutcome::kRefused, now));
  }
  StartOrder order;
  order.task = task;
  order.run = run;
  order.payload = fields.payload;
  order.checkpoint = fields.checkpoint;
  order.ticket = fields.ticket;
  order.deadline = tracker->DeadlineIn(settings_.bounds.start_term(), now);
  order.epoch = settings_.epoch;
  tracked->resumed = !fields.checkpoint.empty();
  tracker->OnStartSent(task, run, order.deadline, now);
  SendOrder({worker, std::move(order), now, 0});
}

void WorkerFleet::SendOrder(SentStart start) {
  ++start.copies;
  const WorkerAddress address{start.worker,
                              Find(start.worker)->registration().address};
  const StartOrder order = start.order;
  calls_.Start(address, order, settings_.order_timeout,
               [this, alive = alive_,
                start = std::move(start)](const StartAnswer& answer) {
                 if (*alive) OnStartAnswer(start, answer);
               });
}

bool WorkerFleet::MayRepeat(const SentStart& start, Time now) {
  WorkerTracker* tracker = Find(start.worker);
  const TrackedRun* run = tracker->Find(start.order.task);
  return run != nullptr && run->run == start.order.run && !run->stop_wanted &&
         run->stage == RunStage::kSending && may_renew_ &&
         start.copies < kMostCopies &&
         now - start.first_sent < settings_.bounds.start_term() / 2;
}

// A worker begins a run once, however many orders for it arrive, and none after
// the deadline that all of them carry. So an order without an answer is sent
// again, and what is said of a later one settles nothing of the first.
void WorkerFleet::OnStartAnswer(const SentStart& start,
                                const StartAnswer& answer) {
  WorkerTracker* tracker = Find(start.worker);
  if (tracker == nullptr) return;
  const Time now = Now();
  const TaskRef& task = start.order.task;
  const int run = start.order.run;
  StartOutcome outcome = answer.outcome;
  if (outcome == StartOutcome::kNoAnswer && MayRepeat(start, now)) {
    LogEvent(events::kStartRepeated, answer.error,
             {{"task", task.ToString()},
              {"run", run},
              {"worker", start.worker},
              {"copies", start.copies}});
    return SendOrder(start);
  }
  const bool refused = outcome == StartOutcome::kRefused ||
                       outcome == StartOutcome::kTicketRefused ||
                       outcome == StartOutcome::kFenced;
  if (refused && start.copies > 1) outcome = StartOutcome::kNoAnswer;
  if (outcome != StartOutcome::kAccepted) {
    const Event& event = outcome == StartOutcome::kNoAnswer
                             ? events::kStartUndecided
                             : events::kStartRefused;
    LogEvent(
        event, answer.error,
        {{"task", task.ToString()}, {"run", run}, {"copies", start.copies}});
  }
  if (outcome == StartOutcome::kRefused) {
    tracker->OnRunFailed(task.step.job, now);
  }
  if (answer.outcome == StartOutcome::kTicketRefused) {
    handlers_.on_ticket_refused(task.step, start.worker);
  }
  if (answer.outcome == StartOutcome::kFenced) handlers_.on_fenced();
  if (outcome == StartOutcome::kOtherLife) {
    return Bury(start.worker, kOtherLife);
  }
  Deliver(start.worker, tracker->OnStartAnswer(task, run, outcome, now));
  Link& link = links_[start.worker];
  // The report that is under way may answer only when half of the lease
  // is gone.
  const Milliseconds thin = settings_.bounds.lease_term() / 2;
  if (link.reporting && link.leased_until < now + thin && !link.extra_report) {
    return Report(start.worker, Milliseconds(0), /*extra=*/true);
  }
  Drive(start.worker, now);
}

void WorkerFleet::RequestStop(const std::string& worker, const TaskRef& task,
                              int run, const std::string& reason) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  TrackedRun* tracked = tracker->Find(task);
  if (tracked == nullptr || tracked->run != run || tracked->stop_wanted) return;
  tracked->stop_wanted = true;
  LogEvent(events::kStopOrdered, {{"task", task.ToString()},
                                  {"run", run},
                                  {"worker", worker},
                                  {"percent", tracked->percent},
                                  {"reason", reason}});
  SendStops(worker, Now());
}

void WorkerFleet::OnEndsRecorded(const std::string& worker, int64_t number) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  tracker->OnEndsRecorded(number);
  Drive(worker, Now());
}

void WorkerFleet::Tick(Time now, bool may_renew) {
  may_renew_ = may_renew;
  std::vector<std::string> ids;
  ids.reserve(trackers_.size());
  for (const auto& [id, tracker] : trackers_) {
    ids.push_back(id);
  }
  speeds_.Forget(now);
  for (const std::string& id : ids) {
    Judge(id, now);
    if (Find(id) == nullptr) continue;
    SendStops(id, now);
    Drive(id, now);
  }
}

// A worker is asked while it has something to tell, and until it has heard
// that its ends are recorded.
void WorkerFleet::Drive(const std::string& id, Time now) {
  WorkerTracker* tracker = Find(id);
  Link& link = links_[id];
  if (tracker == nullptr || link.reporting || now < link.next_report) return;
  if (tracker->registration().address.empty()) return;
  const bool unrecorded = tracker->processed_ends() > tracker->recorded_ends();
  const bool untold = tracker->recorded_ends() > link.told_ends;
  const bool has_runs = !tracker->runs().empty();
  if (tracker->synchronized() && !has_runs && !untold) return;
  const bool stray = !handlers_.is_known(tracker->registration().service);
  if (stray && !has_runs) return;
  bool settling = !tracker->synchronized() || !tracker->reachable();
  bool young = false;
  for (const auto& [task, run] : tracker->runs()) {
    settling = settling || run.stage == RunStage::kUnknown ||
               run.stop_acknowledged.has_value();
    young = young || (run.stage == RunStage::kRunning && run.percent == 0);
  }
  // With ends that are not recorded a report would come back at once.
  const bool waits = has_runs && !settling && !unrecorded;
  if (!waits) link.next_report = now + settings_.report_retry;
  Milliseconds wait{0};
  if (waits) wait = young ? settings_.first_report : settings_.report_wait;
  if (waits && PaceKeeper::HasBoth(*tracker)) {
    wait = std::min(wait, settings_.pace_wait);
  }
  Report(id, wait, /*extra=*/false);
}

void WorkerFleet::Report(const std::string& id, Milliseconds wait, bool extra) {
  WorkerTracker* tracker = Find(id);
  Link& link = links_[id];
  const Time now = Now();
  StatusQuery query;
  query.epoch = settings_.epoch;
  query.recorded_ends = tracker->recorded_ends();
  query.wait = wait;
  // A worker that does not answer is not renewed: its leases must end.
  const bool renew = may_renew_ && tracker->synchronized() &&
                     tracker->reachable() && !tracker->runs().empty();
  if (renew) {
    query.lease_until = tracker->DeadlineIn(settings_.bounds.lease_term(), now);
  }
  (extra ? link.extra_report : link.reporting) = true;
  const WorkerAddress address{id, tracker->registration().address};
  const int64_t recorded = query.recorded_ends;
  calls_.Status(address, query, settings_.call_timeout + wait,
                [this, alive = alive_, id, now, recorded, renew,
                 extra](const StatusAnswer& answer) {
                  if (!*alive) return;
                  OnStatus(id, answer, now, recorded, renew, extra);
                });
}

void WorkerFleet::OnStatus(const std::string& id, const StatusAnswer& answer,
                           Time sent, int64_t recorded, bool renewed,
                           bool extra) {
  Link& link = links_[id];
  (extra ? link.extra_report : link.reporting) = false;
  WorkerTracker* tracker = Find(id);
  if (tracker == nullptr) return;
  const Time now = Now();
  switch (answer.outcome) {
    case CallOutcome::kOk:
      break;
    case CallOutcome::kFenced:
      return handlers_.on_fenced();
    case CallOutcome::kOtherLife:
      return Bury(id, kOtherLife);
    case CallOutcome::kRefused:
    case CallOutcome::kNoAnswer:
      if (tracker->reachable()) {
        LogEvent(events::kWorkerSilent, answer.error,
                 {{"worker", id}, {"runs", tracker->runs().size()}});
      }
      tracker->OnNoReport(now);
      link.next_report = now + settings_.report_retry;
      return;
  }
  if (!tracker->reachable()) {
    LogEvent(events::kWorkerBack,
             {{"worker", id}, {"failed_reports", tracker->failed_reports()}});
  }
  const bool first = !tracker->synchronized();
  link.told_ends = std::max(link.told_ends, recorded);
  if (renewed) link.leased_until = sent + settings_.bounds.lease_term();
  std::vector<RunReport> unexpected;
  const std::vector<RunEndReport> ends =
      tracker->OnReport(answer.report, sent, now, &unexpected);
  for (const RunReport& run : answer.report.running) {
    handlers_.on_progress(run);
  }
  for (const RunReport& run : unexpected) {
    LogEvent(events::kRunUnexpected,
             {{"task", run.task.ToString()}, {"run", run.run}, {"worker", id}});
    if (tracker->Find(run.task) != nullptr) continue;
    tracker->Add(run.task, run.run, handlers_.profile_of(run.task), now);
    tracker->Find(run.task)->stage = RunStage::kRunning;
    RequestStop(id, run.task, run.run, "not in force");
  }
  ObserveSpeeds(tracker, now);
  paces_.OnReport(tracker, now);
  Deliver(id, ends);
  if (first || !ends.empty()) handlers_.on_change();
  Drive(id, now);
}

void WorkerFleet::SendStops(const std::string& id, Time now) {
  WorkerTracker* tracker = Find(id);
  const WorkerAddress address{id, tracker->registration().address};
  if (address.address.empty() || now < links_[id].next_stop) return;
  for (auto& [task, run] : tracker->runs()) {
    if (!run.stop_wanted || run.stop_sending) continue;
    if (run.stage == RunStage::kRecording) continue;
    const bool ending =
        run.stop_acknowledged &&
        now - *run.stop_acknowledged < settings_.bounds.stop_patience();
    if (ending) continue;
    run.stop_sending = true;
    const StopOrder order{task, run.run, settings_.epoch};
    calls_.Stop(address, order, settings_.call_timeout,
                [this, alive = alive_, id, order](CallOutcome outcome,
                                                  const Error& error) {
                  if (!*alive) return;
                  WorkerTracker* tracker = Find(id);
                  if (tracker == nullptr) return;
                  if (outcome == CallOutcome::kFenced) {
                    return handlers_.on_fenced();
                  }
                  if (outcome == CallOutcome::kOtherLife) {
                    return Bury(id, kOtherLife);
                  }
                  if (outcome != CallOutcome::kOk) {
                    links_[id].next_stop = Now() + settings_.report_retry;
                    LogEvent(events::kStopUndecided, error,
                             {{"task", order.task.ToString()},
                              {"run", order.run},
                              {"worker", id}});
                  }
                  tracker->OnStopAnswer(order.task, order.run,
                                        outcome == CallOutcome::kOk, Now());
                  Drive(id, Now());
                });
  }
}

void WorkerFleet::Deliver(const std::string& id,
                          const std::vector<RunEndReport>& ends) {
  for (const RunEndReport& end : ends) {
    WorkerTracker* tracker = Find(id);
    if (tracker != nullptr) {
      if (end.end == RunEnd::kFailed) {
        tracker->OnRunFailed(end.task.step.job, Now());
      }
      if (end.end == RunEnd::kDone) tracker->OnRunDone(end.began);
    }
    handlers_.on_end(id, end);
  }
}

void WorkerFleet::Judge(const std::string& id, Time now) {
  WorkerTracker* tracker = Find(id);
  Link& link = links_[id];
  const bool unreachable =
      !tracker->reachable() || tracker->registration().address.empty();
  if (unreachable && !tracker->runs().empty() && tracker->LeasesOver(now)) {
    if (Lose(id, "its leases have ended")) return;
  }
  const bool listed_long_ago =
      link.missing_since && now - *link.missing_since > settings_.missing_grace;
  if (listed_long_ago && now - contact_since_ > settings_.missing_grace) {
    tracker->MarkMissing(now);
    if (tracker->runs().empty()) {
      LogEvent(events::kWorkerGone,
               {{"worker", id}, {"reason", "no longer listed"}});
      trackers_.erase(id);
      links_.erase(id);
      paces_.Forget(id);
      return;
    }
  }
  JudgeRuns(tracker, now);
}

void WorkerFleet::JudgeRuns(WorkerTracker* tracker, Time now) {
  const std::string id = tracker->id();
  tracker->set_speed(speeds_.speed(id, now));
  std::vector<std::pair<const TrackedRun*, std::string>> stops;
  bool stalled = false;
  for (const auto& [task, run] : tracker->runs()) {
    if (run.stop_wanted || run.stage != RunStage::kRunning) continue;
    if (run.profile.long_running) continue;
    std::string reason = ReasonToStop(*tracker, run, now);
    if (reason.empty()) continue;
    stalled = stalled || reason == kNoProgress;
    stops.emplace_back(&run, std::move(reason));
  }
  if (stalled) tracker->OnRunStalled(now);
  for (const auto& [run, reason] : stops) {
    RequestStop(id, run->task, run->run, reason);
  }
}

std::string WorkerFleet::ReasonToStop(const WorkerTracker& tracker,
                                      const TrackedRun& run, Time now) const {
  // A member that has done its work waits for the rest of its gang.
  const bool waits = run.profile.gang && run.percent >= kWholeWork;
  if (waits) return "";
  if (tracker.reachable() && now - run.progressed > settings_.stall_after) {
    return kNoProgress;
  }
  const Duration left = run.remaining(now);
  if (tracker.registration().draining && run.profile.checkpointable &&
      left > tracker.registration().drain_left) {
    return "worker leaves";
  }
  const Duration sound = speeds_.SoundDuration(run.task.step);
  if (left == Duration::max() || sound == Duration::zero()) return "";
  if (tracker.speed() > kSlowSpeed) return "";
  Duration elsewhere = sound;
  if (run.profile.checkpointable) {
    elsewhere = sound * (kWholeWork - run.percent) / kWholeWork;
  }
  const Duration moved = elsewhere * kMoveGain + settings_.bounds.move_cost();
  return left > moved ? "slow worker" : "";
}

bool WorkerFleet::IsNear(const std::string& worker,
                         const std::string& rack) const {
  if (rack.empty()) return true;
  const auto it = trackers_.find(worker);
  return it != trackers_.end() && it->second.registration().rack == rack;
}

void WorkerFleet::ObserveSpeeds(WorkerTracker* tracker, Time now) {
  for (const auto& [task, run] : tracker->runs()) {
    if (run.stage != RunStage::kRunning || run.profile.long_running) continue;
    // Standing at the end says nothing of how long it took to get there.
    if (run.percent >= kWholeWork || run.rate() <= 0) continue;
    const bool near = IsNear(tracker->id(), run.profile.data_rack);
    speeds_.Observe(tracker->id(), task.step, run.rate(),
                    near ? 1 : settings_.bounds.far_slowdown, now);
  }
  tracker->set_speed(speeds_.speed(tracker->id(), now));
}

void WorkerFleet::Bury(const std::string& id, const std::string& reason) {
  if (!dead_.insert(id).second) return;
  links_[id].missing_since = Now();
  Lose(id, reason);
}

// True when the worker itself was forgotten.
bool WorkerFleet::Lose(const std::string& id, const std::string& reason) {
  WorkerTracker* tracker = Find(id);
  const std::vector<RunEndReport> ends = tracker->OnGone();
  LogEvent(events::kWorkerGone,
           {{"worker", id}, {"reason", reason}, {"runs", ends.size()}});
  const bool forget = links_[id].missing_since.has_value();
  if (forget) {
    trackers_.erase(id);
    links_.erase(id);
    paces_.Forget(id);
  }
  Deliver(id, ends);
  handlers_.on_change();
  return forget;
}

}  // namespace thornplank
