// State transitions of the leases of a stand-in worker.
#include "standins/lease_table.h"

#include <algorithm>

namespace thornplank::standins {

namespace {

constexpr size_t kMaxHistory = 50000;
constexpr size_t kMaxUsageChanges = 4096;

bool UsesAccelerators(const Lease& lease) {
  return lease.state == LeaseState::kRunning ||
         lease.state == LeaseState::kCheckpointing;
}

}  // namespace

std::string ToString(LeaseState state) {
  switch (state) {
    case LeaseState::kThrottled:
      return "throttled";
    case LeaseState::kRunning:
      return "running";
    case LeaseState::kCheckpointing:
      return "checkpointing";
    case LeaseState::kCheckpointed:
      return "checkpointed";
    case LeaseState::kFinished:
      return "finished";
    case LeaseState::kFailed:
      return "failed";
  }
  return "";
}

LeaseTable::LeaseTable(int64_t accelerators, Milliseconds checkpoint_time,
                       Milliseconds usage_lag, Time now)
    : accelerators_(accelerators),
      checkpoint_time_(checkpoint_time),
      usage_lag_(usage_lag),
      usage_({{now, 0}}) {}

bool LeaseTable::Grant(const std::vector<Lease>& leases, Time now) {
  Advance(now);
  int64_t held = 0;
  for (const auto& [id, lease] : leases_) held += lease.accelerators;
  std::map<std::string, Lease> added;
  for (const Lease& lease : leases) {
    if (Contains(lease.lease_id)) continue;
    if (!added.emplace(lease.lease_id, lease).second) continue;
    held += lease.accelerators;
  }
  if (held > accelerators_) return false;
  for (const auto& [id, lease] : added) RecordEvent(lease, now, "granted");
  leases_.merge(added);
  return true;
}

void LeaseTable::Renew(const std::vector<std::string>& lease_ids,
                       Milliseconds term, Time now) {
  Advance(now);
  for (const std::string& id : lease_ids) {
    auto found = leases_.find(id);
    if (found == leases_.end()) continue;
    found->second.deadline = now + term;
  }
}

void LeaseTable::Throttle(const std::vector<std::string>& lease_ids,
                          bool throttled, Time now) {
  Advance(now);
  for (const std::string& id : lease_ids) {
    auto found = leases_.find(id);
    if (found == leases_.end()) continue;
    Lease& lease = found->second;
    if (!throttled && lease.state == LeaseState::kThrottled) {
      Start(&lease, now);
    }
    if (throttled && lease.state == LeaseState::kRunning) {
      SaveProgress(&lease, now);
      lease.state = LeaseState::kThrottled;
      RecordEvent(lease, now, "throttled");
    }
  }
  RecordUsage(now);
}

void LeaseTable::Checkpoint(const std::vector<std::string>& lease_ids,
                            Time now) {
  Advance(now);
  for (const std::string& id : lease_ids) {
    auto found = leases_.find(id);
    if (found == leases_.end()) continue;
    Lease& lease = found->second;
    if (lease.state != LeaseState::kRunning &&
        lease.state != LeaseState::kThrottled) {
      continue;
    }
    SaveProgress(&lease, now);
    lease.state = LeaseState::kCheckpointing;
    lease.checkpoint_end.reset();
    if (!faults_.hang_checkpoint) lease.checkpoint_end = now + checkpoint_time_;
    RecordEvent(lease, now, "checkpointing");
  }
  RecordUsage(now);
}

void LeaseTable::Stop(const std::vector<std::string>& lease_ids, Time now) {
  Advance(now);
  for (const std::string& id : lease_ids) {
    auto found = leases_.find(id);
    if (found == leases_.end()) continue;
    RecordEvent(found->second, now, "stopped");
    leases_.erase(found);
  }
  RecordUsage(now);
}

void LeaseTable::DropAll(Time now) {
  Advance(now);
  for (const auto& [id, lease] : leases_) RecordEvent(lease, now, "dropped");
  leases_.clear();
  RecordUsage(now);
}

void LeaseTable::Advance(Time now) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    it = AdvanceLease(&it->second, now) ? leases_.erase(it) : std::next(it);
  }
  RecordUsage(now);
}

std::optional<Time> LeaseTable::next_event_time() const {
  std::optional<Time> next;
  auto consider = [&next](std::optional<Time> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  for (const auto& [id, lease] : leases_) {
    consider(lease.deadline);
    consider(lease.checkpoint_end);
    consider(FinishTime(lease));
  }
  return next;
}

bool LeaseTable::Contains(const std::string& lease_id) const {
  return leases_.count(lease_id) > 0;
}

Duration LeaseTable::Progress(const Lease& lease, Time now) const {
  if (lease.state != LeaseState::kRunning) return lease.progress;
  return lease.progress + (now - lease.running_since);
}

int64_t LeaseTable::LaggedUsage(Time now) const {
  Time as_of = now - usage_lag_;
  int64_t accelerators = 0;
  for (const Usage& usage : usage_) {
    if (usage.time > as_of) break;
    accelerators = usage.accelerators;
  }
  return accelerators;
}

void LeaseTable::Start(Lease* lease, Time now) {
  RecordEvent(*lease, now, "started");
  if (faults_.fail_everything || lease->fails) {
    lease->state = LeaseState::kFailed;
    lease->reason = faults_.fail_everything ? "the worker fails everything"
                                            : "the task fails";
    RecordEvent(*lease, now, "failed");
    return;
  }
  lease->state = LeaseState::kRunning;
  lease->running_since = now;
}

void LeaseTable::SaveProgress(Lease* lease, Time now) {
  lease->progress = Progress(*lease, now);
}

bool LeaseTable::AdvanceLease(Lease* lease, Time now) {
  Time until = std::min(now, lease->deadline);
  auto finish = FinishTime(*lease);
  if (finish && *finish <= until) {
    SaveProgress(lease, *finish);
    lease->state = LeaseState::kFinished;
    RecordEvent(*lease, *finish, "finished");
  }
  if (lease->checkpoint_end && *lease->checkpoint_end <= until) {
    lease->state = LeaseState::kCheckpointed;
    RecordEvent(*lease, *lease->checkpoint_end, "checkpointed");
    lease->checkpoint_end.reset();
  }
  if (lease->deadline > now) return false;
  RecordEvent(*lease, lease->deadline, "lapsed");
  return true;
}

std::optional<Time> LeaseTable::FinishTime(const Lease& lease) const {
  if (lease.state != LeaseState::kRunning || !lease.run_time) {
    return std::nullopt;
  }
  return lease.running_since + (*lease.run_time - lease.progress);
}

void LeaseTable::RecordEvent(const Lease& lease, Time time,
                             const std::string& what) {
  history_.push_back({time, lease.lease_id, lease.gang_id, lease.job_id, what});
  if (history_.size() > kMaxHistory) history_.pop_front();
}

void LeaseTable::RecordUsage(Time now) {
  int64_t accelerators = 0;
  for (const auto& [id, lease] : leases_) {
    if (UsesAccelerators(lease)) accelerators += lease.accelerators;
  }
  if (usage_.back().accelerators == accelerators) return;
  usage_.push_back({now, accelerators});
  if (usage_.size() > kMaxUsageChanges) usage_.pop_front();
}

}  // namespace thornplank::standins
