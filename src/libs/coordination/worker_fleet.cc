// The call loop of each worker.
#include "coordination/worker_fleet.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Time between two reads of the directory that counts as an outage.
constexpr Milliseconds kContactGap{2500};

StartSenderSettings SenderFor(const WorkerBounds& bounds) {
  StartSenderSettings settings;
  settings.repeats_for = bounds.start_term() / 2;
  return settings;
}

GangReviewSettings GangReviewFor(const WorkerBounds& bounds) {
  GangReviewSettings settings;
  settings.bounds = bounds;
  return settings;
}

Time Now() { return std::chrono::steady_clock::now(); }

const char* ToReason(LifeEnd end) {
  switch (end) {
    case LifeEnd::kLeft:
      return "it has left as announced";
    case LifeEnd::kCrashed:
      return "another life answers at its address";
    case LifeEnd::kSilent:
      return "its leases have ended";
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
      review_({settings.bounds}),
      gang_review_(GangReviewFor(settings.bounds)),
      starts_(calls, SenderFor(settings.bounds)),
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
    refused_.Note(record.key, error);
    return OnEntryUnreadable(record.key, now);
  }
  refused_.Forget(record.key);
  const std::string id = registration->id;
  const auto dead = dead_.find(id);
  if (dead != dead_.end()) {
    if (dead->second == registration->birth.born) return;
    dead_.erase(dead);
  }
  TellBirthFault(id, registration->birth);
  WorkerTracker* tracker = Find(id);
  Link& link = links_[id];
  link.missing_since.reset();
  link.departure.OnEntry(*registration, contact_, now);
  if (tracker == nullptr) {
    LogEvent(events::kWorkerSeen, {{"worker", id},
                                   {"address", registration->address},
                                   {"rack", registration->rack},
                                   {"offset", record.offset}});
    WorkerTracker fresh(*registration);
    fresh.Update(std::move(*registration), now);
    fresh.set_domain_closed(IsClosed(fresh));
    trackers_.emplace(id, std::move(fresh));
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
  const bool resized =
      registration->capacity != tracker->registration().capacity;
  tracker->Update(std::move(*registration), now);
  tracker->set_domain_closed(IsClosed(*tracker));
  if (resized) TellCapacity(*tracker, record.offset);
  link.look_again = !tracker->reachable();
  if (!tracker->synchronized() || link.look_again) Drive(id, now);
}

// Where no worker says it, one line tells as much as one for each.
void WorkerFleet::TellBirthFault(const std::string& id,
                                 const BirthMark& birth) {
  if (birth.fault.empty() || !birth_faults_.insert(birth.fault).second) return;
  LogEvent(events::kBirthUnreadable, {{"worker", id}, {"reason", birth.fault}});
}

void WorkerFleet::TellCapacity(const WorkerTracker& worker,
                               int64_t offset) const {
  const Resources& capacity = worker.registration().capacity;
  LogEvent(events::kWorkerResized, {{"worker", worker.id()},
                                    {"cpu_millis", capacity.cpu_millis},
                                    {"memory_mb", capacity.memory_mb},
                                    {"accelerators", capacity.accelerators},
                                    {"overdrawn", worker.room().IsOverdrawn()},
                                    {"runs", worker.runs().size()},
                                    {"offset", offset}});
}

void WorkerFleet::OnEntryRemoved(const std::string& id, Time now) {
  refused_.Forget(id);
  if (Find(id) == nullptr) return;
  Link& link = links_[id];
  link.missing_since = now;
  const Milliseconds heartbeat = settings_.bounds.heartbeat;
  if (link.departure.IsDeparture(heartbeat, contact_, now)) {
    Bury(id, LifeEnd::kLeft);
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
  refused_.Keep(ids);
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

void WorkerFleet::OnEndsRecorded(const std::string& worker, int life,
                                 int64_t number) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  tracker->OnEndsRecorded(life, number);
  Drive(worker, Now());
}

void WorkerFleet::Tick(Time now, bool may_renew) {
  may_renew_ = may_renew;
  std::vector<std::string> ids;
  ids.reserve(trackers_.size());
  for (const auto& [id, tracker] : trackers_) {
    ids.push_back(id);
  }
  review_.Forget(now);
  JudgeGangs(now);
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
  const bool needless = tracker->synchronized() && !has_runs && !untold;
  if (needless && !link.look_again) return;
  const bool stray = !handlers_.is_known(tracker->registration().service);
  if (stray && !has_runs) return;
  bool settling = !tracker->synchronized() || !tracker->reachable();
  bool young = false;
  bool ending = false;
  for (const auto& [task, run] : tracker->runs()) {
    settling = settling || run.stage == RunStage::kUnknown;
    ending = ending || run.stop_acknowledged.has_value();
    young = young || (run.stage == RunStage::kRunning && run.percent == 0);
  }
  // With ends that are not recorded a report would come back at once.
  const bool calm = has_runs && !settling && !unrecorded;
  if (!calm) link.next_report = now + settings_.report_retry;
  // A worker that has restarted unnoticed would forget by these numbers what
  // ends there while it waits.
  const bool waits = calm && EndsToTell(*tracker, link) == 0;
  Milliseconds wait{0};
  if (waits) wait = young ? settings_.first_report : settings_.report_wait;
  // The end of a run that stops is told as it comes; one that never began there
  // has none, and is settled by the report that follows this one.
  if (waits && ending) wait = settings_.report_retry;
  if (waits && FillerPaceController::HasBoth(*tracker)) {
    wait = std::min(wait, settings_.pace_wait);
  }
  Report(id, wait, /*extra=*/false);
}

// Nothing that it knows already, and nothing after a silence: a worker that has
// restarted meanwhile would forget ends of its new life by the numbers of the
// old one.
int64_t WorkerFleet::EndsToTell(const WorkerTracker& tracker,
                                const Link& link) const {
  const bool news = tracker.recorded_ends() > link.told_ends;
  return news && tracker.reachable() ? tracker.recorded_ends() : 0;
}

void WorkerFleet::Report(const std::string& id, Milliseconds wait, bool extra) {
  WorkerTracker* tracker = Find(id);
  Link& link = links_[id];
  const Time now = Now();
  StatusQuery query;
  query.epoch = settings_.epoch;
  query.recorded_ends = EndsToTell(*tracker, link);
  query.wait = wait;
  // A worker that does not answer is not renewed: its leases must end.
  const bool renew = may_renew_ && tracker->synchronized() &&
                     tracker->reachable() && !tracker->runs().empty();
  if (renew) {
    query.lease_until = tracker->DeadlineIn(settings_.bounds.lease_term(), now);
  }
  link.look_again = false;
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
    case CallOutcome::kOtherIncarnation:
      return Bury(id, LifeEnd::kCrashed);
    case CallOutcome::kConnectionRefused:
      link.departure.OnNobodyThere(now);
      [[fallthrough]];
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
             {{"worker", id},
              {"failed_reports", tracker->failed_reports()},
              {"clock_ms", answer.report.clock.count()},
              {"clock_before_ms", tracker->clock().count()},
              {"ends_before", tracker->processed_ends()}});
  }
  TellBirthFault(id, answer.report.birth);
  if (tracker->IsOfFormerLife(answer.report, sent)) return Drive(id, now);
  link.departure.OnAnswer();
  const bool first = !tracker->synchronized();
  link.told_ends = std::max(link.told_ends, recorded);
  if (renewed) link.leased_until = sent + settings_.bounds.lease_term();
  const int life = tracker->life();
  std::vector<RunReport> unexpected;
  const std::vector<RunEndReport> ends =
      tracker->OnReport(answer.report, sent, now, &unexpected);
  if (tracker->life() != life) OnRestart(id, ends, now);
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
  review_.Observe(tracker, now);
  paces_.OnReport(tracker, now);
  Deliver(id, ends);
  if (first || !ends.empty()) handlers_.on_change();
  Drive(id, now);
}

void WorkerFleet::OnRestart(const std::string& id,
                            const std::vector<RunEndReport>& ends, Time now) {
  WorkerTracker* tracker = Find(id);
  Link& link = links_[id];
  link.told_ends = 0;
  link.leased_until = Time{};
  link.departure = DepartureWatch();
  LogEvent(events::kWorkerRestarted,
           {{"worker", id},
            {"born_ms", ToUnixMilliseconds(*tracker->born())},
            {"ended", ends.size()},
            {"runs", tracker->runs().size()}});
  // Deadlines of the life before lie far ahead on the clock of this one.
  tracker->AllowLease(settings_.bounds.longest_lease, now);
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

void WorkerFleet::Deliver(const std::string& id,
                          const std::vector<RunEndReport>& ends) {
  for (const RunEndReport& end : ends) {
    WorkerTracker* tracker = Find(id);
    if (tracker != nullptr) {
      if (end.end == RunEnd::kFailed) {
        tracker->trust().OnRunFailed(end.task.step.job, Now());
      }
      if (end.end == RunEnd::kDone) tracker->trust().OnRunDone(end.began);
    }
    handlers_.on_end(id, end);
  }
}

void WorkerFleet::JudgeGangs(Time now) {
  for (const GangVerdict& verdict :
       gang_review_.Judge(trackers_, review_.speeds(), now)) {
    RequestStop(verdict.worker, verdict.task, verdict.run, verdict.reason);
    if (verdict.stalled) Find(verdict.worker)->trust().OnRunStalled(now);
  }
}

void WorkerFleet::Judge(const std::string& id, Time now) {
  WorkerTracker* tracker = Find(id);
  Link& link = links_[id];
  const bool unreachable =
      !tracker->reachable() || tracker->registration().address.empty();
  if (unreachable &&
      link.departure.HasLeft(settings_.bounds.heartbeat, contact_, now)) {
    return Bury(id, LifeEnd::kLeft);
  }
  if (unreachable && !tracker->runs().empty() && tracker->LeasesOver(now)) {
    if (Lose(id, LifeEnd::kSilent)) return;
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
  for (const RunVerdict& verdict : review_.Judge(tracker, now)) {
    RequestStop(id, verdict.task, verdict.run, verdict.reason);
  }
}

bool WorkerFleet::IsNear(const std::string& worker,
                         const std::string& rack) const {
  if (rack.empty()) return true;
  const auto it = trackers_.find(worker);
  return it != trackers_.end() && it->second.registration().rack == rack;
}

void WorkerFleet::Bury(const std::string& id, LifeEnd end) {
  const std::optional<WallTime>& born = Find(id)->registration().birth.born;
  if (!dead_.emplace(id, born).second) return;
  links_[id].missing_since = Now();
  Lose(id, end);
}

// True when the worker itself was forgotten.
bool WorkerFleet::Lose(const std::string& id, LifeEnd end) {
  WorkerTracker* tracker = Find(id);
  const std::vector<RunEndReport> ends = tracker->OnGone(end, Now());
  LogEvent(events::kWorkerGone,
           {{"worker", id}, {"reason", ToReason(end)}, {"runs", ends.size()}});
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
