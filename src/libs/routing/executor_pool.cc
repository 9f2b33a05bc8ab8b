// Keeps the loads and limits of executors, picks executors and runs their
// health checks.
#include "routing/executor_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaxRefusalBackoff = milliseconds(500);
// A full executor is expected to free a slot within this fraction of the
// typical latency (1/4).
constexpr int kBackoffFraction = 4;
constexpr Duration kResponsivenessCheckPeriod = milliseconds(100);
constexpr Duration kProbeTimeout = seconds(1);
constexpr Duration kLeavingProbePeriod = seconds(10);
// Share of a service's executors that may be ejected at the same time, in total
// and for latency alone. Executors that cannot be reached are ejected in any
// case.
constexpr double kMaxEjectedShare = 0.5;
constexpr double kMaxEjectedForLatencyShare = 0.2;

}  // namespace

ExecutorPool::ExecutorPool(uint64_t seed, std::string own_failure_domain)
    : own_failure_domain_(std::move(own_failure_domain)), random_(seed) {}

RoutingActions ExecutorPool::SetExecutors(
    const std::vector<ExecutorInfo>& listed, Time now) {
  RoutingActions actions;
  for (auto& [name, executor] : executors_) {
    executor.listed = false;
  }
  slots_.clear();
  for (const ExecutorInfo& info : listed) {
    auto [found, added] = executors_.try_emplace(info.name, info);
    Executor& executor = found->second;
    executor.listed = true;
    if (!added && executor.info.address != info.address) {
      Replace(&executor, info);
    }
    const bool was_leaving = executor.leaving();
    executor.info = info;
    if (info.leaving && !was_leaving) {
      actions.push_back(
          ExecutorLeaving{info.name, "marked as leaving in the instance list"});
    }
    if (!info.leaving) {
      slots_.push_back({info.name, info.failure_domain, info.slots});
    }
  }
  OrderByDomain(&slots_);
  pick_order_.clear();
  for (auto it = executors_.begin(); it != executors_.end();) {
    UpdateExecutor(&it->second);
    if (!it->second.listed && it->second.attempt_starts.empty()) {
      it = executors_.erase(it);
      continue;
    }
    pick_order_.push_back(&it->second);
    ++it;
  }
  std::sort(pick_order_.begin(), pick_order_.end(),
            [](const Executor* a, const Executor* b) {
              return a->info.name < b->info.name;
            });
  next_responsiveness_check_ = now;
  UpdateNextProbe();
  return actions;
}

void ExecutorPool::Replace(Executor* executor, const ExecutorInfo& info) {
  usable_slots_ -= executor->usable_slots();
  available_slots_ -= executor->available_slots();
  Executor replacement(info);
  replacement.generation = executor->generation + 1;
  replacement.attempt_starts = std::move(executor->attempt_starts);
  *executor = std::move(replacement);
}

void ExecutorPool::SetAllocation(const std::vector<int>& allocation,
                                 int connection_limit) {
  for (Executor* executor : pick_order_) {
    if (executor->leaving()) {
      executor->SetAllocated(0);
    }
  }
  allocated_slots_ = 0;
  for (size_t i = 0; i < slots_.size(); ++i) {
    Executor* executor = Find(slots_[i].name);
    if (executor == nullptr) {
      continue;
    }
    const int allocated = std::min(allocation[i], connection_limit);
    executor->SetAllocated(allocated);
    allocated_slots_ += allocated;
  }
  for (Executor* executor : pick_order_) {
    UpdateExecutor(executor);
  }
}

Executor* ExecutorPool::Find(const std::string& name) {
  const auto found = executors_.find(name);
  return found == executors_.end() ? nullptr : &found->second;
}

Executor* ExecutorPool::Pick(const std::string& excluded, Time now) {
  if (all_busy_ && now < all_busy_until_) {
    return nullptr;
  }
  Executor* best = nullptr;
  bool best_is_local = false;
  bool excluded_has_room = false;
  Time next_free = Time::max();
  const size_t count = pick_order_.size();
  const size_t offset = count == 0 ? 0 : random_() % count;
  for (size_t step = 0; step < count; ++step) {
    const size_t index = offset + step;
    Executor* executor = pick_order_[index < count ? index : index - count];
    if (executor->in_flight() >= executor->usable_slots()) {
      continue;
    }
    if (executor->InBackoff(now)) {
      next_free = std::min(next_free, executor->backoff_until());
      continue;
    }
    if (!excluded.empty() && executor->info.name == excluded) {
      excluded_has_room = true;
      continue;
    }
    const bool local = executor->info.failure_domain == own_failure_domain_;
    const bool better =
        best == nullptr || executor->in_flight() < best->in_flight() ||
        (executor->in_flight() == best->in_flight() && local && !best_is_local);
    if (!better) {
      continue;
    }
    best = executor;
    best_is_local = local;
  }
  all_busy_ = best == nullptr && !excluded_has_room;
  all_busy_until_ = next_free;
  return best;
}

bool ExecutorPool::HasAlternative(const std::string& excluded) const {
  return std::any_of(pick_order_.begin(), pick_order_.end(),
                     [&](const Executor* e) {
                       return e->health.in_rotation() && !e->leaving() &&
                              e->info.name != excluded;
                     });
}

double ExecutorPool::available_share() const {
  if (allocated_slots_ == 0) {
    return 0;
  }
  return static_cast<double>(available_slots_) / allocated_slots_;
}

void ExecutorPool::BeginAttempt(Executor* executor, Time now) {
  executor->attempt_starts.push_back(now);
  ++in_flight_;
}

RoutingActions ExecutorPool::EndAttempt(Executor* executor,
                                        const AttemptEnd& end, Time now) {
  const AttemptResult& result = end.result;
  RoutingActions actions;
  const auto position = std::find(executor->attempt_starts.begin(),
                                  executor->attempt_starts.end(), end.start);
  if (position != executor->attempt_starts.end()) {
    executor->attempt_starts.erase(position);
    --in_flight_;
  }
  all_busy_ = false;
  if (end.generation != executor->generation) {
    return actions;
  }
  if (result.leaving) {
    std::optional<RoutingAction> leaving =
        MarkLeaving(executor, "executor reports that it is leaving", now);
    if (leaving.has_value()) {
      actions.push_back(*std::move(leaving));
    }
  } else if (result.outcome == AttemptOutcome::kRefusedNotRun) {
    const Duration longest =
        std::min(typical_latency_ / kBackoffFraction, kMaxRefusalBackoff);
    executor->RecordFull(longest, random_(), now);
  }
  if (result.outcome == AttemptOutcome::kAnswered) {
    last_answer_ = now;
    executor->RecordAnswer();
  }
  PeerHealth peers;
  if (result.outcome != AttemptOutcome::kAnswered &&
      result.outcome != AttemptOutcome::kRefusedNotRun) {
    peers = PeerHealthOf(*executor, ComputeHealthTotals());
    peers.account_failure_rate = end.account_failure_rate;
  }
  const std::optional<std::string> reason =
      executor->health.Record(result, end.timed_out, peers, now);
  if (reason.has_value()) {
    Eject(executor, *reason, false, now, &actions);
  }
  UpdateExecutor(executor);
  return actions;
}

RoutingActions ExecutorPool::ProbeResult(Executor* executor,
                                         const AttemptResult& result,
                                         Time now) {
  RoutingActions actions;
  const bool healthy = result.outcome == AttemptOutcome::kAnswered;
  if (executor->announced_leaving) {
    executor->leaving_probe_time = now + kLeavingProbePeriod;
    if (healthy && !result.leaving) {
      executor->announced_leaving = false;
      actions.push_back(ExecutorReinstated{
          executor->info.name, "no longer reports that it is leaving"});
    }
  } else if (result.leaving) {
    std::optional<RoutingAction> leaving =
        MarkLeaving(executor, "executor reports that it is leaving", now);
    if (leaving.has_value()) {
      actions.push_back(*std::move(leaving));
    }
  }
  // A leaving executor stays ejected; it is probed again once it no longer
  // leaves.
  if (executor->health.EndProbe(healthy && !executor->leaving(), now)) {
    actions.push_back(
        ExecutorReinstated{executor->info.name, "probe succeeded"});
  }
  UpdateExecutor(executor);
  UpdateNextProbe();
  return actions;
}

RoutingActions ExecutorPool::Tick(Time now) {
  RoutingActions actions;
  if (next_probe_.has_value() && now >= *next_probe_) {
    for (Executor* executor : pick_order_) {
      if (executor->listed) {
        SendProbes(executor, now, &actions);
      }
    }
    UpdateNextProbe();
  }
  if (now >= next_responsiveness_check_) {
    next_responsiveness_check_ = now + kResponsivenessCheckPeriod;
    UpdateTypicalLatency();
    CheckResponsiveness(now, &actions);
  }
  return actions;
}

std::optional<Time> ExecutorPool::NextTickTime(bool waiting) const {
  std::optional<Time> wake;
  const auto consider = [&wake](Time time) {
    wake = wake.has_value() ? std::min(*wake, time) : time;
  };
  if (in_flight_ > 0) {
    consider(next_responsiveness_check_);
  }
  if (waiting && all_busy_ && all_busy_until_ != Time::max()) {
    consider(all_busy_until_);
  }
  if (next_probe_.has_value()) {
    consider(*next_probe_);
  }
  return wake;
}

void ExecutorPool::UpdateNextProbe() {
  next_probe_.reset();
  for (const Executor* executor : pick_order_) {
    if (!executor->listed || executor->info.leaving) {
      continue;
    }
    const bool in_rotation = executor->health.in_rotation();
    if (in_rotation && !executor->announced_leaving) {
      continue;
    }
    const Time time = executor->announced_leaving
                          ? executor->leaving_probe_time
                          : executor->health.probe_time();
    next_probe_ = next_probe_.has_value() ? std::min(*next_probe_, time) : time;
  }
}

ExecutorPool::HealthTotals ExecutorPool::ComputeHealthTotals() const {
  HealthTotals totals;
  for (const Executor* executor : pick_order_) {
    if (executor->leaving()) {
      continue;
    }
    const ExecutorHealth& health = executor->health;
    if (!health.in_rotation()) {
      ++totals.ejected;
      totals.ejected_for_latency += health.ejected_for_latency() ? 1 : 0;
      continue;
    }
    ++totals.in_rotation;
    totals.failure_rate += health.failure_rate();
  }
  return totals;
}

PeerHealth ExecutorPool::PeerHealthOf(const Executor& executor,
                                      const HealthTotals& totals) const {
  PeerHealth peers;
  peers.typical_latency = typical_latency_;
  peers.last_answer = last_answer_;
  const bool counted = !executor.leaving() && executor.health.in_rotation();
  const int others = totals.in_rotation - (counted ? 1 : 0);
  const double failures =
      totals.failure_rate - (counted ? executor.health.failure_rate() : 0.0);
  // Without peers there is no evidence that only this executor is faulty.
  peers.failure_rate = others <= 0 ? 1.0 : failures / others;
  const int total = totals.in_rotation + totals.ejected;
  peers.may_eject = totals.ejected + 1 <= kMaxEjectedShare * total;
  peers.may_eject_for_latency =
      peers.may_eject &&
      totals.ejected_for_latency + 1 <= kMaxEjectedForLatencyShare * total;
  return peers;
}

void ExecutorPool::UpdateExecutor(Executor* executor) {
  usable_slots_ -= executor->usable_slots();
  available_slots_ -= executor->available_slots();
  executor->UpdateLimits();
  usable_slots_ += executor->usable_slots();
  available_slots_ += executor->available_slots();
  all_busy_ = false;
}

std::optional<RoutingAction> ExecutorPool::MarkLeaving(
    Executor* executor, const std::string& reason, Time now) {
  if (executor->announced_leaving) {
    return std::nullopt;
  }
  const bool was_leaving = executor->leaving();
  executor->announced_leaving = true;
  executor->leaving_probe_time = now + kLeavingProbePeriod;
  UpdateNextProbe();
  if (was_leaving) {
    return std::nullopt;
  }
  return ExecutorLeaving{executor->info.name, reason};
}

void ExecutorPool::Eject(Executor* executor, const std::string& reason,
                         bool for_latency, Time now, RoutingActions* actions) {
  executor->health.Eject(for_latency, now);
  UpdateExecutor(executor);
  UpdateNextProbe();
  actions->push_back(ExecutorEjected{executor->info.name, reason});
}

void ExecutorPool::SendProbes(Executor* executor, Time now,
                              RoutingActions* actions) {
  ExecutorHealth& health = executor->health;
  const auto probe = [&] {
    actions->push_back(ProbeExecutor{
        executor->info.name, executor->info.address, now + kProbeTimeout});
  };
  if (executor->info.leaving) {
    return;
  }
  if (executor->announced_leaving) {
    if (now < executor->leaving_probe_time) {
      return;
    }
    executor->leaving_probe_time = now + kLeavingProbePeriod;
    probe();
    return;
  }
  if (health.in_rotation() || now < health.probe_time()) {
    return;
  }
  if (health.state() == ExecutorHealth::State::kProbing) {
    // The dispatcher reported no result; the probe counts as lost.
    health.EndProbe(false, now);
    return;
  }
  health.BeginProbe(now + 2 * kProbeTimeout);
  probe();
}

void ExecutorPool::CheckResponsiveness(Time now, RoutingActions* actions) {
  HealthTotals totals = ComputeHealthTotals();
  for (Executor* executor : pick_order_) {
    if (executor->leaving() || !executor->health.in_rotation()) {
      continue;
    }
    std::optional<Time> oldest;
    if (!executor->attempt_starts.empty()) {
      oldest = executor->attempt_starts.front();
    }
    const std::optional<std::string> reason =
        executor->health.CheckResponsiveness(
            oldest, PeerHealthOf(*executor, totals), now);
    if (!reason.has_value()) {
      continue;
    }
    Eject(executor, *reason, true, now, actions);
    totals = ComputeHealthTotals();
  }
}

void ExecutorPool::UpdateTypicalLatency() {
  std::vector<Duration> latencies;
  for (const Executor* executor : pick_order_) {
    if (executor->health.latency_known() && executor->health.in_rotation()) {
      latencies.push_back(executor->health.mean_latency());
    }
  }
  if (latencies.empty()) {
    return;
  }
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  typical_latency_ = *middle;
}

}  // namespace thornplank
