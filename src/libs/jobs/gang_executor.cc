// Selection of the next call to each worker, and evaluation of the results.
#include "jobs/gang_executor.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr int kMaxBackoffDoublings = 3;
// The worker is asked about a task this long after the task's expected end.
constexpr Milliseconds kExpectedEndMargin{20};
// Longer run times are treated as unknown: a renewal comes before their end
// anyway.
constexpr Milliseconds kMaxRunTime{24 * 3600 * 1000};
// While a checkpoint is in progress, its worker is asked again after the time
// that the checkpoint has taken so far divided by this. Its end is thus noticed
// late by at most that fraction of its duration, with few calls.
constexpr int kCheckpointProbeDivisor = 4;

const LeaseReport* FindLease(const WorkerReport& report,
                             const std::string& lease_id) {
  for (const LeaseReport& lease : report.leases) {
    if (lease.lease_id == lease_id) return &lease;
  }
  return nullptr;
}

template <typename Leases, typename Wanted>
std::vector<std::string> MatchingLeaseIds(const Leases& leases, Wanted wanted) {
  std::vector<std::string> ids;
  for (const auto& [id, lease] : leases) {
    if (wanted(lease)) ids.push_back(id);
  }
  return ids;
}

// nullopt if the task states no run time.
std::optional<Time> ExpectedEndTime(const Json& task, Time lifted_at) {
  const std::optional<int64_t> run = IntField(task, "run_ms");
  if (!run || *run > kMaxRunTime.count()) return std::nullopt;
  return lifted_at + Milliseconds(*run) + kExpectedEndMargin;
}

bool HoldsLease(const WorkerReport& report, const std::string& lease_id) {
  const LeaseReport* lease = FindLease(report, lease_id);
  return lease != nullptr && lease->state != LeaseState::kGone;
}

}  // namespace

GangExecutor::GangExecutor(int64_t epoch, LeaseSettings settings, uint64_t seed)
    : epoch_(epoch), settings_(settings), random_(seed) {}

void GangExecutor::SetWorkers(const std::vector<WorkerInfo>& workers,
                              Time now) {
  for (auto& [name, state] : workers_) state.listed = false;
  for (const WorkerInfo& worker : workers) {
    const auto [found, is_new] = workers_.try_emplace(worker.name);
    WorkerState& state = found->second;
    state.listed = true;
    state.address = worker.address;
    changed_workers_.insert(worker.name);
    if (!is_new) continue;
    state.last_answer_at = now;
    state.retry_at = now;
    state.renew_at = now;
  }
  for (auto state = workers_.begin(); state != workers_.end();) {
    const bool unused = !state->second.listed && state->second.leases.empty() &&
                        !state->second.in_flight;
    if (unused) SetTimer(state->first, &state->second, std::nullopt);
    state = unused ? workers_.erase(state) : std::next(state);
  }
}

WorkerEvents GangExecutor::Grant(const GrantGang& gang,
                                 const std::string& account, const Json& task,
                                 Time now) {
  WorkerEvents events;
  for (const GangMember& member : gang.members) {
    const auto found = workers_.find(member.worker);
    if (found == workers_.end() || found->second.lost) {
      events.push_back(MemberOutcomeEvent{
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
    lease.extension_sent_at = now;
    found->second.leases.emplace(member.lease_id, std::move(lease));
    changed_workers_.insert(member.worker);
  }
  return events;
}

void GangExecutor::LiftThrottle(const std::string& gang_id) {
  for (auto& [name, state] : workers_) {
    for (auto& [id, lease] : state.leases) {
      if (lease.gang_id != gang_id || lease.goal != Goal::kHeld) continue;
      lease.goal = Goal::kRunning;
      changed_workers_.insert(name);
    }
  }
}

void GangExecutor::Checkpoint(const std::string& gang_id) {
  for (auto& [name, state] : workers_) {
    for (auto& [id, lease] : state.leases) {
      if (lease.gang_id != gang_id || lease.goal == Goal::kStopped) continue;
      lease.goal = Goal::kCheckpointed;
      changed_workers_.insert(name);
    }
  }
}

WorkerEvents GangExecutor::Stop(const std::string& gang_id) {
  WorkerEvents events;
  for (auto& [name, state] : workers_) {
    for (auto lease = state.leases.begin(); lease != state.leases.end();) {
      if (lease->second.gang_id != gang_id) {
        ++lease;
        continue;
      }
      lease->second.goal = Goal::kStopped;
      changed_workers_.insert(name);
      if (lease->second.confirmed || lease->second.grants_sent > 0) {
        ++lease;
        continue;
      }
      events.push_back(MemberOutcomeEvent{lease->second.job, gang_id,
                                          lease->first, MemberOutcome::kGone,
                                          "never granted"});
      lease = state.leases.erase(lease);
    }
  }
  return events;
}

void GangExecutor::StopLease(const std::string& worker,
                             const std::string& lease_id) {
  const auto state = workers_.find(worker);
  if (state == workers_.end()) return;
  Lease& lease = state->second.leases[lease_id];
  lease.goal = Goal::kStopped;
  lease.confirmed = true;
  changed_workers_.insert(worker);
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
  lease.throttle_lifted = report.state != LeaseState::kThrottled;
  lease.goal = lease.throttle_lifted ? Goal::kRunning : Goal::kHeld;
  lease.extension_sent_at = now;
  const auto [state, is_new] = workers_.try_emplace(worker);
  if (is_new) state->second.listed = false;
  state->second.leases.emplace(report.lease_id, std::move(lease));
  state->second.renew_at = now;
  changed_workers_.insert(worker);
}

std::vector<WorkerCall> GangExecutor::NextCalls(Time now) {
  std::set<std::string> due = std::exchange(changed_workers_, {});
  for (const auto& [when, worker] : timers_) {
    if (when > now) break;
    due.insert(worker);
  }
  std::vector<WorkerCall> calls;
  for (const std::string& worker : due) {
    const auto state = workers_.find(worker);
    if (state == workers_.end()) continue;
    AddNextCall(worker, &state->second, now, &calls);
  }
  return calls;
}

void GangExecutor::AddNextCall(const std::string& worker, WorkerState* state,
                               Time now, std::vector<WorkerCall>* calls) {
  SetTimer(worker, state, std::nullopt);
  // The result of the call in flight, or the address once it is known, adds the
  // worker to changed_workers_ again.
  if (state->in_flight || state->address.empty()) return;
  if (now < state->retry_at) return SetTimer(worker, state, state->retry_at);
  std::optional<WorkerCall> call = NextCall(state, now);
  if (!call) {
    Time when = state->renew_at;
    for (const auto& [id, lease] : state->leases) {
      if (lease.goal != Goal::kStopped) continue;
      when = std::min(when, lease.next_stop_at);
    }
    return SetTimer(worker, state, when);
  }
  state->in_flight = true;
  call->worker = worker;
  call->address = state->address;
  call->token = {epoch_, ++sequence_};
  call->sent_at = now;
  calls->push_back(std::move(*call));
}

void GangExecutor::SetTimer(const std::string& worker, WorkerState* state,
                            std::optional<Time> when) {
  if (state->timer_at) timers_.erase({*state->timer_at, worker});
  state->timer_at = when;
  if (when) timers_.emplace(*when, worker);
}

std::optional<WorkerCall> GangExecutor::NextCall(WorkerState* state, Time now) {
  WorkerCall call;
  if (state->lost && now >= state->leases_lapse_at) state->leases.clear();
  if (state->lost || !state->fenced) return call;
  // Renewals come first: a stop that is repeated for a long time must not cause
  // the worker's other leases to lapse.
  if (now >= state->renew_at) return RenewCall(state, now);
  const auto select = [&](WorkerCall::Kind kind, auto wanted) {
    call.kind = kind;
    call.lease_ids = MatchingLeaseIds(state->leases, wanted);
    return !call.lease_ids.empty();
  };
  const auto stop = [now](const Lease& lease) {
    return lease.goal == Goal::kStopped && now >= lease.next_stop_at;
  };
  if (select(WorkerCall::Kind::kStop, stop)) return call;
  const auto lift = [](const Lease& lease) {
    return lease.goal == Goal::kRunning && lease.confirmed &&
           !lease.throttle_lifted;
  };
  if (select(WorkerCall::Kind::kLiftThrottle, lift)) return call;
  const auto checkpoint = [](const Lease& lease) {
    return lease.goal == Goal::kCheckpointed && lease.confirmed &&
           !lease.checkpoint_begun;
  };
  if (select(WorkerCall::Kind::kCheckpoint, checkpoint)) return call;
  return GrantCall(state, now);
}

WorkerCall GangExecutor::RenewCall(WorkerState* state, Time now) {
  WorkerCall call;
  state->renew_at = now + RenewalDelay(*state, now);
  call.lease_ids = MatchingLeaseIds(state->leases, [](const Lease& lease) {
    return lease.confirmed && lease.goal != Goal::kStopped;
  });
  if (call.lease_ids.empty()) return call;
  call.kind = WorkerCall::Kind::kRenew;
  for (const std::string& id : call.lease_ids) {
    state->leases[id].extension_sent_at = now;
  }
  return call;
}

// A worker grants either all leases of a call or none, so each gang is granted
// in a call of its own.
std::optional<WorkerCall> GangExecutor::GrantCall(WorkerState* state,
                                                  Time now) {
  WorkerCall call;
  call.kind = WorkerCall::Kind::kGrant;
  std::string gang_id;
  for (auto& [id, lease] : state->leases) {
    if (lease.confirmed || lease.goal == Goal::kStopped) continue;
    if (!gang_id.empty() && lease.gang_id != gang_id) continue;
    gang_id = lease.gang_id;
    ++lease.grants_sent;
    lease.extension_sent_at = now;
    call.lease_ids.push_back(id);
    call.leases.push_back({id, lease.gang_id, lease.job, lease.account,
                           lease.accelerators, settings_.term, lease.task});
  }
  if (call.leases.empty()) return std::nullopt;
  return call;
}

WorkerEvents GangExecutor::HandleCallResult(
    const WorkerCall& call, const std::optional<WorkerReport>& report,
    WorkerRefusal refusal, const std::string& reason, Time now) {
  WorkerEvents events;
  const auto found = workers_.find(call.worker);
  if (found == workers_.end()) return events;
  WorkerState& state = found->second;
  state.in_flight = false;
  changed_workers_.insert(call.worker);
  if (report) {
    HandleSuccess(call, *report, &state, now, &events);
    return events;
  }
  // If only this worker refuses the token, it is as unusable as an unreachable
  // one: its leases lapse, so it counts as lost after the same time.
  if (refusal == WorkerRefusal::kStaleToken) {
    events.push_back(TokenRefusedEvent{call.worker});
  }
  HandleFailure(call, refusal, reason, &state, now, &events);
  return events;
}

void GangExecutor::HandleSuccess(const WorkerCall& call,
                                 const WorkerReport& report, WorkerState* state,
                                 Time now, WorkerEvents* events) {
  state->failures = 0;
  state->last_answer_at = now;
  state->retry_at = now;
  state->fenced = true;
  if (state->lost) {
    state->lost = false;
    state->renew_at = now;
    events->push_back(WorkerRecoveredEvent{call.worker});
  }
  switch (call.kind) {
    case WorkerCall::Kind::kFence:
    case WorkerCall::Kind::kRenew:
      break;
    case WorkerCall::Kind::kGrant:
      HandleGrantSuccess(call, state, events);
      // The interval for an idle worker is too long for the new lease.
      state->renew_at =
          std::min(state->renew_at, now + RenewalDelay(*state, now));
      break;
    case WorkerCall::Kind::kLiftThrottle:
      for (const std::string& id : call.lease_ids) {
        const auto lease = state->leases.find(id);
        if (lease == state->leases.end()) continue;
        lease->second.throttle_lifted = true;
        lease->second.expected_end = ExpectedEndTime(lease->second.task, now);
      }
      // The end of a task frees accelerators, so the worker is asked when the
      // end is expected rather than at the next renewal.
      state->renew_at =
          std::min(state->renew_at, now + RenewalDelay(*state, now));
      break;
    case WorkerCall::Kind::kCheckpoint:
      for (const std::string& id : call.lease_ids) {
        const auto lease = state->leases.find(id);
        if (lease == state->leases.end()) continue;
        lease->second.checkpoint_begun = true;
        lease->second.checkpoint_begun_at = now;
      }
      state->renew_at =
          std::min(state->renew_at, now + RenewalDelay(*state, now));
      break;
    case WorkerCall::Kind::kStop:
      HandleStopSuccess(call, report, state, now, events);
      break;
  }
  DropMissingLeases(report, state);
  WorkerReportEvent arrived{report, call.sent_at};
  arrived.report.worker = call.worker;
  events->push_back(std::move(arrived));
}

void GangExecutor::HandleGrantSuccess(const WorkerCall& call,
                                      WorkerState* state,
                                      WorkerEvents* events) {
  for (const std::string& id : call.lease_ids) {
    const auto found = state->leases.find(id);
    if (found == state->leases.end()) continue;
    Lease& lease = found->second;
    lease.confirmed = true;
    if (lease.goal == Goal::kStopped) continue;
    events->push_back(MemberOutcomeEvent{lease.job, lease.gang_id, id,
                                         MemberOutcome::kConfirmed, ""});
  }
}

void GangExecutor::HandleStopSuccess(const WorkerCall& call,
                                     const WorkerReport& report,
                                     WorkerState* state, Time now,
                                     WorkerEvents* events) {
  for (const std::string& id : call.lease_ids) {
    const auto found = state->leases.find(id);
    if (found == state->leases.end()) continue;
    if (HoldsLease(report, id)) {
      found->second.next_stop_at = now + settings_.retry_delay;
      continue;
    }
    events->push_back(MemberOutcomeEvent{found->second.job,
                                         found->second.gang_id, id,
                                         MemberOutcome::kGone, "stopped"});
    state->leases.erase(found);
  }
}

// Drops the confirmed leases that the report does not hold. The scheduler
// learns of them from the same report.
void GangExecutor::DropMissingLeases(const WorkerReport& report,
                                     WorkerState* state) {
  for (auto lease = state->leases.begin(); lease != state->leases.end();) {
    const bool gone =
        lease->second.confirmed && !HoldsLease(report, lease->first);
    lease = gone ? state->leases.erase(lease) : std::next(lease);
  }
}

void GangExecutor::HandleFailure(const WorkerCall& call, WorkerRefusal refusal,
                                 const std::string& reason, WorkerState* state,
                                 Time now, WorkerEvents* events) {
  const bool is_grant = call.kind == WorkerCall::Kind::kGrant;
  if (refusal == WorkerRefusal::kNoRoom && is_grant) {
    state->failures = 0;
    state->last_answer_at = now;
    HandleGrantFailure(call, true, reason, state, events);
    return;
  }
  const int doublings = std::min(state->failures, kMaxBackoffDoublings);
  state->retry_at = now + settings_.retry_delay * (1 << doublings);
  ++state->failures;
  if (call.kind == WorkerCall::Kind::kRenew) state->renew_at = state->retry_at;
  if (is_grant) HandleGrantFailure(call, false, reason, state, events);
  if (state->lost || state->failures < settings_.failures_before_lost) return;
  if (now - state->last_answer_at < settings_.lost_after) return;
  MarkLost(call.worker, state, now, events);
}

// Unless it is proved that the lease was not granted, the worker may hold it.
// The grant is then repeated, up to `grant_attempts` in all; after that the
// member counts as refused and its lease is stopped. This is safe because
// nothing else is granted at that worker before the stop is answered.
void GangExecutor::HandleGrantFailure(const WorkerCall& call,
                                      bool proved_not_granted,
                                      const std::string& reason,
                                      WorkerState* state,
                                      WorkerEvents* events) {
  for (const std::string& id : call.lease_ids) {
    const auto found = state->leases.find(id);
    if (found == state->leases.end()) continue;
    Lease& lease = found->second;
    const bool repeat = !proved_not_granted && lease.goal != Goal::kStopped &&
                        lease.grants_sent < settings_.grant_attempts;
    if (repeat) continue;
    if (lease.goal != Goal::kStopped || proved_not_granted) {
      events->push_back(MemberOutcomeEvent{lease.job, lease.gang_id, id,
                                           MemberOutcome::kRefused, reason});
    }
    if (proved_not_granted) {
      state->leases.erase(found);
      continue;
    }
    lease.goal = Goal::kStopped;
  }
}

void GangExecutor::MarkLost(const std::string& worker, WorkerState* state,
                            Time now, WorkerEvents* events) {
  state->lost = true;
  state->leases_lapse_at = now;
  for (const auto& [id, lease] : state->leases) {
    state->leases_lapse_at = std::max(
        state->leases_lapse_at,
        lease.extension_sent_at + settings_.term + settings_.lapse_margin);
  }
  events->push_back(WorkerLostEvent{worker, state->leases_lapse_at});
}

// Ends at the next expected end of a task, and is short while a checkpoint is
// in progress, so that a job waiting for the accelerators does not wait for the
// next regular renewal as well.
Duration GangExecutor::RenewalDelay(const WorkerState& state, Time now) {
  Duration interval = state.leases.empty() ? settings_.idle_probe_interval
                                           : settings_.renewal_interval;
  for (const auto& [id, lease] : state.leases) {
    if (lease.goal != Goal::kCheckpointed || !lease.checkpoint_begun) continue;
    const Duration taken = now - lease.checkpoint_begun_at;
    interval =
        std::min(interval, std::max(settings_.min_checkpoint_probe_interval,
                                    taken / kCheckpointProbeDivisor));
  }
  std::uniform_real_distribution<double> jitter(-settings_.renewal_jitter,
                                                settings_.renewal_jitter);
  Duration delay =
      std::chrono::duration_cast<Duration>(interval * (1.0 + jitter(random_)));
  for (const auto& [id, lease] : state.leases) {
    if (!lease.expected_end || *lease.expected_end <= now) continue;
    delay = std::min(delay, *lease.expected_end - now);
  }
  return delay;
}

bool GangExecutor::fenced(const std::string& worker) const {
  const auto state = workers_.find(worker);
  return state != workers_.end() && state->second.fenced;
}

size_t GangExecutor::leases() const {
  size_t count = 0;
  for (const auto& [name, state] : workers_) count += state.leases.size();
  return count;
}

}  // namespace thornplank
