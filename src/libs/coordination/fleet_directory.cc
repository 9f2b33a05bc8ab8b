// What WorkerFleet takes from the directory: which workers there are, how large
// they are, and how old its entries may be.
#include <algorithm>
#include <utility>

#include "coordination/worker_fleet.h"
#include "logging/events/coordination_events.h"

namespace thornplank {

void WorkerFleet::OnDirectoryRecord(const KeyedRecord& record, Time now) {
  if (!record.value) return OnEntryRemoved(record.key, now);
  Error error;
  std::optional<WorkerRegistration> registration =
      formats_.ReadWorker(record, &error);
  if (!registration) {
    refused_.LogIfNew(record.key, error);
    return OnEntryUnreadable(record.key, now);
  }
  refused_.Forget(record.key);
  const std::string id = registration->id;
  const auto ended = ended_incarnations_.find(id);
  if (ended != ended_incarnations_.end()) {
    if (ended->second == registration->incarnation_start.time) return;
    ended_incarnations_.erase(ended);
  }
  LogBirthFault(id, registration->incarnation_start);
  WorkerTracker* tracker = Find(id);
  WorkerCallState& state = call_states_[id];
  // A snapshot of the directory contains entries that were read before.
  const bool is_newer = record.offset > state.entry_offset;
  state.entry_offset = std::max(state.entry_offset, record.offset);
  state.missing_since.reset();
  state.departure.OnEntry(*registration, last_directory_read_, now);
  if (tracker == nullptr) {
    return AddListedWorker(std::move(*registration), record.offset, now);
  }
  if (is_newer && ProvesLife(*registration)) {
    handlers_.on_alive(id, registration->incarnation_start.time);
  }
  const bool starts_draining =
      registration->draining && !tracker->registration().draining;
  if (starts_draining) {
    LogEvent(events::kWorkerLeaving,
             {{"worker", id},
              {"left_ms", registration->drain_remaining.count()},
              {"runs", tracker->runs().size()},
              {"offset", record.offset}});
  }
  // A worker that was inherited by its runs had no record yet.
  const bool listed_before = !tracker->registration().address.empty();
  const bool resized = listed_before && registration->capacity !=
                                            tracker->registration().capacity;
  const bool was_outdated = tracker->IsEntryOutdated(now);
  tracker->Update(std::move(*registration), now);
  tracker->set_domain_closed(IsClosed(*tracker));
  if (is_newer) tracker->ConfirmEntry();
  if (was_outdated && !tracker->IsEntryOutdated(now)) handlers_.on_change();
  if (!listed_before) health_monitor_.OnWorkerSeen(tracker);
  if (resized) LogCapacity(*tracker, record.offset);
  state.recheck = !tracker->reachable();
  if (NeedsVisit(*tracker, state)) Activate(id);
  if (!listed_before) return RequestFirstReport(id, now);
  if (!tracker->synchronized() || state.recheck) RequestReportIfDue(id, now);
}

void WorkerFleet::AddListedWorker(WorkerRegistration entry, int64_t offset,
                                  Time now) {
  const std::string id = entry.id;
  EndLostWorkerAt(entry.address, id);
  LogEvent(events::kWorkerSeen, {{"worker", id},
                                 {"address", entry.address},
                                 {"rack", entry.rack},
                                 {"offset", offset}});
  WorkerTracker tracker = NewTracker(entry);
  tracker.Update(std::move(entry), now);
  tracker.set_domain_closed(IsClosed(tracker));
  tracker.AssumeLeases(inherited_lease_bound_);
  tracker.set_renewals_stopped(renewal_stops_.Contains(id));
  health_monitor_.OnWorkerSeen(&tracker);
  trackers_.emplace(id, std::move(tracker));
  Activate(id);
  RequestFirstReport(id, now);
}

void WorkerFleet::LogCapacity(const WorkerTracker& worker,
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
  WorkerCallState& state = call_states_[id];
  state.missing_since = now;
  Activate(id);
  const Milliseconds heartbeat = settings_.bounds.heartbeat;
  if (state.departure.IsDeparture(heartbeat, last_directory_read_, now)) {
    // Runs that were taken for lost before did not crash it.
    handlers_.on_alive(id, Find(id)->registration().incarnation_start.time);
    return OnIncarnationOver(id, IncarnationEnd::kLeft);
  }
  LogUnlisted(*Find(id), "its entry was removed", now);
}

void WorkerFleet::LogUnlisted(const WorkerTracker& worker,
                              const std::string& reason, Time now) const {
  if (worker.runs().empty()) return;
  LogEvent(events::kWorkerUnlisted,
           {{"worker", worker.id()},
            {"runs", worker.runs().size()},
            {"reason", reason},
            {"lease_left_ms", worker.lease_left(now).count()}});
}

// A worker whose record can no longer be read gets no new tasks, and its runs
// are treated like those of a worker that is missing from the directory.
void WorkerFleet::OnEntryUnreadable(const std::string& id, Time now) {
  WorkerTracker* tracker = Find(id);
  if (tracker == nullptr) return;
  tracker->MarkMissing(now);
  WorkerCallState& state = call_states_[id];
  if (!state.missing_since) state.missing_since = now;
  Activate(id);
}

void WorkerFleet::OnDirectorySnapshot(const std::set<std::string>& ids,
                                      Time now) {
  refused_.RetainOnly(ids);
  for (const auto& [id, tracker] : trackers_) {
    if (ids.count(id) > 0) continue;
    WorkerCallState& state = call_states_[id];
    if (!state.missing_since) state.missing_since = now;
    LogUnlisted(tracker, "a snapshot of the directory lacks it", now);
    Activate(id);
  }
  first_looks_.ReleaseIdle();
  if (!survey_released_at_) survey_released_at_ = now;
  SendFirstLooks(now);
}

// After a gap, an entry that was read up to now may have been written before or
// during the outage; one that is read later was written after it. A new leader
// knows no earlier read of the directory: what it reads first is current if
// workers have had the time to write since the store returned.
void WorkerFleet::OnDirectoryCaughtUp(Time now, bool was_lost) {
  const bool is_first = last_directory_read_ == Time{};
  const bool has_gap = now - last_directory_read_ > kMaxReadGap;
  const bool returned_lately =
      settings_.store_returned &&
      now - *settings_.store_returned < settings_.bounds.entry_rewrite_bound();
  if (has_gap) directory_read_since_ = now;
  if (is_first) first_directory_read_ = now;
  last_directory_read_ = now;
  DropOldLosses();
  if (is_first ? was_lost || returned_lately : has_gap) {
    MarkEntriesOutdated(now);
  }
}

bool WorkerFleet::IsDirectoryOutdated(Time now) const {
  return last_directory_read_ != Time{} &&
         now - last_directory_read_ > kMaxReadGap;
}

void WorkerFleet::MarkEntriesOutdated(Time now) {
  outage_over_ = now;
  const Milliseconds longest = settings_.bounds.entry_lapse();
  for (auto& [id, tracker] : trackers_) {
    tracker.MarkEntryOutdated(now + longest);
  }
  LogEvent(events::kEntriesOutdated,
           {{"workers", trackers_.size()}, {"longest_ms", longest.count()}});
}

bool WorkerFleet::awaiting_entries(Time now) const {
  if (!outage_over_) return false;
  if (now - *outage_over_ >= settings_.bounds.entry_rewrite_bound()) {
    return false;
  }
  return std::any_of(
      trackers_.begin(), trackers_.end(),
      [now](const auto& entry) { return entry.second.IsEntryOutdated(now); });
}

}  // namespace thornplank
