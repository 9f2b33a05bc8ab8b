// Orders about gangs as calls to workers.
#include "jobs/gang_executor.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr int kMaxBackoffDoublings = 3;
// A task is asked for this long after it should have ended.
constexpr Milliseconds kEndMargin{20};
// Longer run times are not reckoned with: a renewal comes first anyway.
constexpr Milliseconds kMaxRunTime{24 * 3600 * 1000};
// Asking again after this part of what a checkpoint has taken so far adds no
// larger part to it, and few calls.
constexpr int kCheckpointProbeShare = 4;

const LeaseReport* FindLease(const WorkerReport& report,
                             const std::string& lease_id) {
  for (const LeaseReport& lease : report.leases) {
    if (lease.lease_id == lease_id) return &lease;
  }
  return nullptr;
}

template <typename Leases, typename Wanted>
std::vector<std::string> Matching(const Leases& leases, Wanted wanted) {
  std::vector<std::string> ids;
  for (const auto& [id, lease] : leases) {
    if (wanted(lease)) ids.push_back(id);
  }
  return ids;
}

// Nothing is known of a task without a run time of its own.
std::optional<Time> ExpectedEnd(const Json& task, Time lifted_at) {
  const std::optional<int64_t> run = IntField(task, "run_ms");
  if (!run || *run > kMaxRunTime.count()) return std::nullopt;
  return lifted_at + Milliseconds(*run) + kEndMargin;
}

bool Holds(const WorkerReport& report, const std::string& lease_id) {
  const LeaseReport* lease = FindLease(report, lease_id);
  return lease != nullptr && lease->state != LeaseState::kGone;
}

}  // namespace

GangExecutor::GangExecutor(int64_t epoch, LeaseSettings settings, uint64_t seed)
    : epoch_(epoch), settings_(settings), random_(seed) {}

void GangExecutor::SetWorkers(const std::vector<WorkerInfo>& workers,
                              Time now) {
  for (auto& [name, slot] : slots_) slot.listed = false;
  for (const WorkerInfo& worker : workers) {
    const auto [found, is_new] = slots_.try_emplace(worker.name);
    Slot& slot = found->second;
    slot.listed = true;
    slot.address = worker.address;
    touched_.insert(worker.name);
    if (!is_new) continue;
    slot.answered_at = now;
    slot.retry_at = now;
    slot.renew_at = now;
  }
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    const bool unused = !slot->second.listed && slot->second.leases.empty() &&
                        !slot->second.in_flight;
    if (unused) SetTimer(slot->first, &slot->second, std::nullopt);
    slot = unused ? slots_.erase(slot) : std::next(slot);
  }
}

WorkerEvents GangExecutor::Grant(const GrantGang& gang,
                                 const std::string& account, const Json& task,
                                 Time now) {
  WorkerEvents events;
  for (const GangMember& member : gang.members) {
    const auto found = slots_.find(member.worker);
    if (found == slots_.end() || found->second.lost) {
      events.push_back(MemberFared{
          gang.job, gang.gang_id, member.lease_id, MemberOutcome::kRefused,
          "worker " + member.worker + " cannot be reached"});
      continue;
    }
    Lease lease;
    lease.gang_id = gang.gang_id;
    lease.job = gang.job;
    lease.account = account;
    lease.accelerators = member.accelerators;
    lease.task = task;
    lease.extended_at = now;
    found->second.leases.emplace(member.lease_id, std::move(lease));
    touched_.insert(member.worker);
  }
  return events;
}

void GangExecutor::Lift(const std::string& gang_id) {
  for (auto& [name, slot] : slots_) {
    for (auto& [id, lease] : slot.leases) {
      if (lease.gang_id != gang_id || lease.want != Want::kHeld) continue;
      lease.want = Want::kRunning;
      touched_.insert(name);
    }
  }
}

void GangExecutor::Checkpoint(const std::string& gang_id) {
  for (auto& [name, slot] : slots_) {
    for (auto& [id, lease] : slot.leases) {
      if (lease.gang_id != gang_id || lease.want == Want::kStopped) continue;
      lease.want = Want::kCheckpointed;
      touched_.insert(name);
    }
  }
}

WorkerEvents GangExecutor::Stop(const std::string& gang_id) {
  WorkerEvents events;
  for (auto& [name, slot] : slots_) {
    for (auto lease = slot.leases.begin(); lease != slot.leases.end();) {
      if (lease->second.gang_id != gang_id) {
        ++lease;
        continue;
      }
      lease->second.want = Want::kStopped;
      touched_.insert(name);
      if (lease->second.confirmed || lease->second.grants_sent > 0) {
        ++lease;
        continue;
      }
      events.push_back(MemberFared{lease->second.job, gang_id, lease->first,
                                   MemberOutcome::kGone, "never granted"});
      lease = slot.leases.erase(lease);
    }
  }
  return events;
}

void GangExecutor::StopLease(const std::string& worker,
                             const std::string& lease_id) {
  const auto slot = slots_.find(worker);
  if (slot == slots_.end()) return;
  Lease& lease = slot->second.leases[lease_id];
  lease.want = Want::kStopped;
  lease.confirmed = true;
  touched_.insert(worker);
}

void GangExecutor::Adopt(const std::string& worker, const LeaseReport& report,
                         Time now) {
  Lease lease;
  lease.gang_id = report.gang_id;
  lease.job = report.job_id;
  lease.account = report.account;
  lease.accelerators = report.accelerators;
  lease.confirmed = true;
  lease.grants_sent = 1;
  lease.lifted = report.state != LeaseState::kThrottled;
  lease.want = lease.lifted ? Want::kRunning : Want::kHeld;
  lease.extended_at = now;
  const auto [slot, is_new] = slots_.try_emplace(worker);
  if (is_new) slot->second.listed = false;
  slot->second.leases.emplace(report.lease_id, std::move(lease));
  slot->second.renew_at = now;
  touched_.insert(worker);
}

std::vector<WorkerCall> GangExecutor::NextCalls(Time now) {
  std::set<std::string> due = std::exchange(touched_, {});
  for (const auto& [when, worker] : timers_) {
    if (when > now) break;
    due.insert(worker);
  }
  std::vector<WorkerCall> calls;
  for (const std::string& worker : due) {
    const auto slot = slots_.find(worker);
    if (slot == slots_.end()) continue;
    Visit(worker, &slot->second, now, &calls);
  }
  return calls;
}

void GangExecutor::Visit(const std::string& worker, Slot* slot, Time now,
                         std::vector<WorkerCall>* calls) {
  SetTimer(worker, slot, std::nullopt);
  // The answer of the call, or the address, will touch it again.
  if (slot->in_flight || slot->address.empty()) return;
  if (now < slot->retry_at) return SetTimer(worker, slot, slot->retry_at);
  std::optional<WorkerCall> call = NextCall(slot, now);
  if (!call) {
    Time when = slot->renew_at;
    for (const auto& [id, lease] : slot->leases) {
      if (lease.want != Want::kStopped) continue;
      when = std::min(when, lease.stop_again_at);
    }
    return SetTimer(worker, slot, when);
  }
  slot->in_flight = true;
  call->worker = worker;
  call->address = slot->address;
  call->token = {epoch_, ++sequence_};
  call->sent_at = now;
  calls->push_back(std::move(*call));
}

void GangExecutor::SetTimer(const std::string& worker, Slot* slot,
                            std::optional<Time> when) {
  if (slot->timer) timers_.erase({*slot->timer, worker});
  slot->timer = when;
  if (when) timers_.emplace(*when, worker);
}

std::optional<WorkerCall> GangExecutor::NextCall(Slot* slot, Time now) {
  WorkerCall call;
  if (slot->lost && now >= slot->lapse_at) slot->leases.clear();
  if (slot->lost || !slot->fenced) return call;
  // Renewals go first: a stop that is repeated for long must not let the
  // other leases of its worker lapse.
  if (now >= slot->renew_at) return RenewCall(slot, now);
  const auto want = [&](WorkerCall::Kind kind, auto wanted) {
    call.kind = kind;
    call.lease_ids = Matching(slot->leases, wanted);
    return !call.lease_ids.empty();
  };
  const auto stop = [now](const Lease& lease) {
    return lease.want == Want::kStopped && now >= lease.stop_again_at;
  };
  if (want(WorkerCall::Kind::kStop, stop)) return call;
  const auto lift = [](const Lease& lease) {
    return lease.want == Want::kRunning && lease.confirmed && !lease.lifted;
  };
  if (want(WorkerCall::Kind::kLiftThrottle, lift)) return call;
  const auto checkpoint = [](const Lease& lease) {
    return lease.want == Want::kCheckpointed && lease.confirmed &&
           !lease.checkpoint_told;
  };
  if (want(WorkerCall::Kind::kCheckpoint, checkpoint)) return call;
  return GrantCall(slot, now);
}

WorkerCall GangExecutor::RenewCall(Slot* slot, Time now) {
  WorkerCall call;
  slot->renew_at = now + RenewalDelay(*slot, now);
  call.lease_ids = Matching(slot->leases, [](const Lease& lease) {
    return lease.confirmed && lease.want != Want::kStopped;
  });
  if (call.lease_ids.empty()) return call;
  call.kind = WorkerCall::Kind::kRenew;
  for (const std::string& id : call.lease_ids) {
    slot->leases[id].extended_at = now;
  }
  return call;
}

// The worker grants all leases of a call or none, so each gang has its own.
std::optional<WorkerCall> GangExecutor::GrantCall(Slot* slot, Time now) {
  WorkerCall call;
  call.kind = WorkerCall::Kind::kGrant;
  std::string gang_id;
  for (auto& [id, lease] : slot->leases) {
    if (lease.confirmed || lease.want == Want::kStopped) continue;
    if (!gang_id.empty() && lease.gang_id != gang_id) continue;
    gang_id = lease.gang_id;
    ++lease.grants_sent;
    lease.extended_at = now;
    call.lease_ids.push_back(id);
    call.leases.push_back({id, lease.gang_id, lease.job, lease.account,
                           lease.accelerators, settings_.term, lease.task});
  }
  if (call.leases.empty()) return std::nullopt;
  return call;
}

WorkerEvents GangExecutor::CallDone(const WorkerCall& call,
                                    const std::optional<WorkerReport>& report,
                                    WorkerRefusal refusal,
                                    const std::string& reason, Time now) {
  WorkerEvents events;
  const auto found = slots_.find(call.worker);
  if (found == slots_.end()) return events;
  Slot& slot = found->second;
  slot.in_flight = false;
  touched_.insert(call.worker);
  if (report) {
    Succeeded(call, *report, &slot, now, &events);
    return events;
  }
  // A worker that refuses our token alone is of no more use than a silent one:
  // its leases lapse, so it is lost by the same bound.
  if (refusal == WorkerRefusal::kStaleToken) {
    events.push_back(TokenRefused{call.worker});
  }
  Failed(call, refusal, reason, &slot, now, &events);
  return events;
}

void GangExecutor::Succeeded(const WorkerCall& call, const WorkerReport& report,
                             Slot* slot, Time now, WorkerEvents* events) {
  slot->failures = 0;
  slot->answered_at = now;
  slot->retry_at = now;
  slot->fenced = true;
  if (slot->lost) {
    slot->lost = false;
    slot->renew_at = now;
    events->push_back(WorkerCameBack{call.worker});
  }
  switch (call.kind) {
    case WorkerCall::Kind::kFence:
    case WorkerCall::Kind::kRenew:
      break;
    case WorkerCall::Kind::kGrant:
      GrantSucceeded(call, slot, events);
      // An idle worker was to be asked much later than a lease needs.
      slot->renew_at = std::min(slot->renew_at, now + RenewalDelay(*slot, now));
      break;
    case WorkerCall::Kind::kLiftThrottle:
      for (const std::string& id : call.lease_ids) {
        const auto lease = slot->leases.find(id);
        if (lease == slot->leases.end()) continue;
        lease->second.lifted = true;
        lease->second.ends_at = ExpectedEnd(lease->second.task, now);
      }
      // The end of a task frees accelerators: it is asked for when due, not
      // at the next renewal.
      slot->renew_at = std::min(slot->renew_at, now + RenewalDelay(*slot, now));
      break;
    case WorkerCall::Kind::kCheckpoint:
      for (const std::string& id : call.lease_ids) {
        const auto lease = slot->leases.find(id);
        if (lease == slot->leases.end()) continue;
        lease->second.checkpoint_told = true;
        lease->second.checkpoint_told_at = now;
      }
      slot->renew_at = std::min(slot->renew_at, now + RenewalDelay(*slot, now));
      break;
    case WorkerCall::Kind::kStop:
      StopSucceeded(call, report, slot, now, events);
      break;
  }
  DropMissing(report, slot);
  ReportArrived arrived{report, call.sent_at};
  arrived.report.worker = call.worker;
  events->push_back(std::move(arrived));
}

void GangExecutor::GrantSucceeded(const WorkerCall& call, Slot* slot,
                                  WorkerEvents* events) {
  for (const std::string& id : call.lease_ids) {
    const auto found = slot->leases.find(id);
    if (found == slot->leases.end()) continue;
    Lease& lease = found->second;
    lease.confirmed = true;
    if (lease.want == Want::kStopped) continue;
    events->push_back(MemberFared{lease.job, lease.gang_id, id,
                                  MemberOutcome::kConfirmed, ""});
  }
}

void GangExecutor::StopSucceeded(const WorkerCall& call,
                                 const WorkerReport& report, Slot* slot,
                                 Time now, WorkerEvents* events) {
  for (const std::string& id : call.lease_ids) {
    const auto found = slot->leases.find(id);
    if (found == slot->leases.end()) continue;
    if (Holds(report, id)) {
      found->second.stop_again_at = now + settings_.retry_delay;
      continue;
    }
    events->push_back(MemberFared{found->second.job, found->second.gang_id, id,
                                  MemberOutcome::kGone, "stopped"});
    slot->leases.erase(found);
  }
}

// What was confirmed before the call and is not in its report is gone; the
// report itself tells the scheduler.
void GangExecutor::DropMissing(const WorkerReport& report, Slot* slot) {
  for (auto lease = slot->leases.begin(); lease != slot->leases.end();) {
    const bool gone = lease->second.confirmed && !Holds(report, lease->first);
    lease = gone ? slot->leases.erase(lease) : std::next(lease);
  }
}

void GangExecutor::Failed(const WorkerCall& call, WorkerRefusal refusal,
                          const std::string& reason, Slot* slot, Time now,
                          WorkerEvents* events) {
  const bool is_grant = call.kind == WorkerCall::Kind::kGrant;
  if (refusal == WorkerRefusal::kNoRoom && is_grant) {
    slot->failures = 0;
    slot->answered_at = now;
    RefuseGrant(call, true, reason, slot, events);
    return;
  }
  const int doublings = std::min(slot->failures, kMaxBackoffDoublings);
  slot->retry_at = now + settings_.retry_delay * (1 << doublings);
  ++slot->failures;
  if (call.kind == WorkerCall::Kind::kRenew) slot->renew_at = slot->retry_at;
  if (is_grant) RefuseGrant(call, false, reason, slot, events);
  if (slot->lost || slot->failures < settings_.calls_before_lost) return;
  if (now - slot->answered_at < settings_.lost_after) return;
  Lose(call.worker, slot, now, events);
}

// When the refusal is not proved the lease may be there: it is repeated a few
// times, then counted as refused and stopped. Counting it is safe, since
// nothing else is granted at that worker before the stop was answered.
void GangExecutor::RefuseGrant(const WorkerCall& call, bool proved,
                               const std::string& reason, Slot* slot,
                               WorkerEvents* events) {
  for (const std::string& id : call.lease_ids) {
    const auto found = slot->leases.find(id);
    if (found == slot->leases.end()) continue;
    Lease& lease = found->second;
    const bool repeat = !proved && lease.want != Want::kStopped &&
                        lease.grants_sent < settings_.grant_attempts;
    if (repeat) continue;
    if (lease.want != Want::kStopped || proved) {
      events->push_back(MemberFared{lease.job, lease.gang_id, id,
                                    MemberOutcome::kRefused, reason});
    }
    if (proved) {
      slot->leases.erase(found);
      continue;
    }
    lease.want = Want::kStopped;
  }
}

void GangExecutor::Lose(const std::string& worker, Slot* slot, Time now,
                        WorkerEvents* events) {
  slot->lost = true;
  slot->lapse_at = now;
  for (const auto& [id, lease] : slot->leases) {
    slot->lapse_at =
        std::max(slot->lapse_at,
                 lease.extended_at + settings_.term + settings_.lapse_margin);
  }
  events->push_back(WorkerWentSilent{worker, slot->lapse_at});
}

// Up to the expected end of a task, and short while a checkpoint is under way:
// what waits for its accelerators is
// not to wait for a renewal as well.
Duration GangExecutor::RenewalDelay(const Slot& slot, Time now) {
  Duration interval = slot.leases.empty() ? settings_.idle_probe_interval
                                          : settings_.renewal_interval;
  for (const auto& [id, lease] : slot.leases) {
    if (lease.want != Want::kCheckpointed || !lease.checkpoint_told) continue;
    const Duration taken = now - lease.checkpoint_told_at;
    interval = std::min(interval, std::max(settings_.min_checkpoint_probe,
                                           taken / kCheckpointProbeShare));
  }
  std::uniform_real_distribution<double> jitter(-settings_.renewal_jitter,
                                                settings_.renewal_jitter);
  Duration delay =
      std::chrono::duration_cast<Duration>(interval * (1.0 + jitter(random_)));
  for (const auto& [id, lease] : slot.leases) {
    if (!lease.ends_at || *lease.ends_at <= now) continue;
    delay = std::min(delay, *lease.ends_at - now);
  }
  return delay;
}

bool GangExecutor::fenced(const std::string& worker) const {
  const auto slot = slots_.find(worker);
  return slot != slots_.end() && slot->second.fenced;
}

size_t GangExecutor::leases() const {
  size_t count = 0;
  for (const auto& [name, slot] : slots_) count += slot.leases.size();
  return count;
}

}  // namespace thornplank
