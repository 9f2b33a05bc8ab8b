// Loads, limits and choice of executors.
#include "routing/executor_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLongestRefusalPause = milliseconds(500);
// A full executor frees a slot within a fraction of its service time.
constexpr int kPauseFraction = 4;
constexpr Duration kInspectionPeriod = milliseconds(100);
constexpr Duration kProbeTimeout = seconds(1);
constexpr Duration kLeavingProbePeriod = seconds(10);
// Share of a service's executors that may be out at the same time: for
// failing, and for latency alone.
constexpr double kMaxOutShare = 0.5;
constexpr double kMaxOutForLatencyShare = 0.2;

}  // namespace

ExecutorPool::ExecutorPool(uint64_t seed, std::string own_domain)
    : own_domain_(std::move(own_domain)), random_(seed) {}

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
          ExecutorLeaving{info.name, "the instance list says so"});
    }
    if (!info.leaving) {
      slots_.push_back({info.name, info.failure_domain, info.slots});
    }
  }
  OrderByDomain(&slots_);
  order_.clear();
  for (auto it = executors_.begin(); it != executors_.end();) {
    Refresh(&it->second);
    if (!it->second.listed && it->second.starts.empty()) {
      it = executors_.erase(it);
      continue;
    }
    order_.push_back(&it->second);
    ++it;
  }
  std::sort(order_.begin(), order_.end(),
            [](const Executor* a, const Executor* b) {
              return a->info.name < b->info.name;
            });
  next_inspection_ = now;
  UpdateNextProbe();
  return actions;
}

void ExecutorPool::Replace(Executor* executor, const ExecutorInfo& info) {
  usable_slots_ -= executor->usable();
  available_slots_ -= executor->available();
  Executor replacement(info);
  replacement.generation = executor->generation + 1;
  replacement.starts = std::move(executor->starts);
  *executor = std::move(replacement);
}

void ExecutorPool::SetAllocation(const std::vector<int>& allocation,
                                 int connection_limit) {
  for (Executor* executor : order_) {
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
  for (Executor* executor : order_) {
    Refresh(executor);
  }
}

Executor* ExecutorPool::Find(const std::string& name) {
  const auto found = executors_.find(name);
  return found == executors_.end() ? nullptr : &found->second;
}

Executor* ExecutorPool::Pick(const std::string& excluded, Time now) {
  if (exhausted_ && now < exhausted_until_) {
    return nullptr;
  }
  Executor* best = nullptr;
  bool best_near = false;
  bool passed_over = false;
  Time next_free = Time::max();
  const size_t count = order_.size();
  const size_t offset = count == 0 ? 0 : random_() % count;
  for (size_t step = 0; step < count; ++step) {
    const size_t index = offset + step;
    Executor* executor = order_[index < count ? index : index - count];
    if (executor->in_flight() >= executor->usable()) {
      continue;
    }
    if (executor->Paused(now)) {
      next_free = std::min(next_free, executor->paused_until());
      continue;
    }
    if (!excluded.empty() && executor->info.name == excluded) {
      passed_over = true;
      continue;
    }
    const bool near = executor->info.failure_domain == own_domain_;
    const bool better =
        best == nullptr || executor->in_flight() < best->in_flight() ||
        (executor->in_flight() == best->in_flight() && near && !best_near);
    if (!better) {
      continue;
    }
    best = executor;
    best_near = near;
  }
  exhausted_ = best == nullptr && !passed_over;
  exhausted_until_ = next_free;
  return best;
}

bool ExecutorPool::HasAlternative(const std::string& excluded) const {
  return std::any_of(order_.begin(), order_.end(), [&](const Executor* e) {
    return e->health.in_rotation() && !e->leaving() && e->info.name != excluded;
  });
}

double ExecutorPool::available_share() const {
  if (allocated_slots_ == 0) {
    return 0;
  }
  return static_cast<double>(available_slots_) / allocated_slots_;
}

void ExecutorPool::Begin(Executor* executor, Time now) {
  executor->starts.push_back(now);
  ++in_flight_;
}

RoutingActions ExecutorPool::End(Executor* executor, const AttemptEnd& end,
                                 Time now) {
  const AttemptResult& result = end.result;
  RoutingActions actions;
  const auto position =
      std::find(executor->starts.begin(), executor->starts.end(), end.start);
  if (position != executor->starts.end()) {
    executor->starts.erase(position);
    --in_flight_;
  }
  exhausted_ = false;
  if (end.generation != executor->generation) {
    return actions;
  }
  if (result.leaving) {
    std::optional<RoutingAction> leaving =
        MarkLeaving(executor, "the executor says so", now);
    if (leaving.has_value()) {
      actions.push_back(*std::move(leaving));
    }
  } else if (result.outcome == AttemptOutcome::kRefusedNotRun) {
    const Duration longest =
        std::min(typical_latency_ / kPauseFraction, kLongestRefusalPause);
    executor->RecordFull(longest, random_(), now);
  }
  if (result.outcome == AttemptOutcome::kAnswered) {
    last_answer_ = now;
    executor->RecordAnswer();
  }
  PeerHealth peers;
  if (result.outcome != AttemptOutcome::kAnswered &&
      result.outcome != AttemptOutcome::kRefusedNotRun) {
    peers = PeersOf(*executor, SumHealth());
    peers.account_failure_share = end.account_failure_share;
  }
  const std::optional<std::string> reason =
      executor->health.Record(result, end.timed_out, peers, now);
  if (reason.has_value()) {
    TakeOut(executor, *reason, false, now, &actions);
  }
  Refresh(executor);
  return actions;
}

RoutingActions ExecutorPool::ProbeResult(Executor* executor,
                                         const AttemptResult& result,
                                         Time now) {
  RoutingActions actions;
  const bool healthy = result.outcome == AttemptOutcome::kAnswered;
  if (executor->said_leaving) {
    executor->leaving_probe_time = now + kLeavingProbePeriod;
    if (healthy && !result.leaving) {
      executor->said_leaving = false;
      actions.push_back(ExecutorReinstated{executor->info.name,
                                           "no longer says that it leaves"});
    }
  } else if (result.leaving) {
    std::optional<RoutingAction> leaving =
        MarkLeaving(executor, "the executor says so", now);
    if (leaving.has_value()) {
      actions.push_back(*std::move(leaving));
    }
  }
  // A leaving executor stays out; it is probed when it no longer leaves.
  if (executor->health.EndProbe(healthy && !executor->leaving(), now)) {
    actions.push_back(
        ExecutorReinstated{executor->info.name, "its probe succeeded"});
  }
  Refresh(executor);
  UpdateNextProbe();
  return actions;
}

RoutingActions ExecutorPool::Tick(Time now) {
  RoutingActions actions;
  if (next_probe_.has_value() && now >= *next_probe_) {
    for (Executor* executor : order_) {
      if (executor->listed) {
        SendProbes(executor, now, &actions);
      }
    }
    UpdateNextProbe();
  }
  if (now >= next_inspection_) {
    next_inspection_ = now + kInspectionPeriod;
    UpdateTypicalLatency();
    Inspect(now, &actions);
  }
  return actions;
}

std::optional<Time> ExecutorPool::NextTickTime(bool waiting) const {
  std::optional<Time> wake;
  const auto consider = [&wake](Time time) {
    wake = wake.has_value() ? std::min(*wake, time) : time;
  };
  if (in_flight_ > 0) {
    consider(next_inspection_);
  }
  if (waiting && exhausted_ && exhausted_until_ != Time::max()) {
    consider(exhausted_until_);
  }
  if (next_probe_.has_value()) {
    consider(*next_probe_);
  }
  return wake;
}

void ExecutorPool::UpdateNextProbe() {
  next_probe_.reset();
  for (const Executor* executor : order_) {
    if (!executor->listed || executor->info.leaving) {
      continue;
    }
    const bool in_rotation = executor->health.in_rotation();
    if (in_rotation && !executor->said_leaving) {
      continue;
    }
    const Time time = executor->said_leaving ? executor->leaving_probe_time
                                             : executor->health.probe_time();
    next_probe_ = next_probe_.has_value() ? std::min(*next_probe_, time) : time;
  }
}

ExecutorPool::HealthSums ExecutorPool::SumHealth() const {
  HealthSums sums;
  for (const Executor* executor : order_) {
    if (executor->leaving()) {
      continue;
    }
    const ExecutorHealth& health = executor->health;
    if (!health.in_rotation()) {
      ++sums.out;
      sums.out_for_latency += health.out_for_latency() ? 1 : 0;
      continue;
    }
    ++sums.in_rotation;
    sums.failure_share += health.failure_share();
  }
  return sums;
}

PeerHealth ExecutorPool::PeersOf(const Executor& executor,
                                 const HealthSums& sums) const {
  PeerHealth peers;
  peers.typical_latency = typical_latency_;
  peers.last_answer = last_answer_;
  const bool counted = !executor.leaving() && executor.health.in_rotation();
  const int others = sums.in_rotation - (counted ? 1 : 0);
  const double failures =
      sums.failure_share - (counted ? executor.health.failure_share() : 0.0);
  // Without peers nothing speaks for a fault of this one alone.
  peers.failure_share = others <= 0 ? 1.0 : failures / others;
  const int total = sums.in_rotation + sums.out;
  peers.may_take_out = sums.out + 1 <= kMaxOutShare * total;
  peers.may_take_out_for_latency =
      peers.may_take_out &&
      sums.out_for_latency + 1 <= kMaxOutForLatencyShare * total;
  return peers;
}

void ExecutorPool::Refresh(Executor* executor) {
  usable_slots_ -= executor->usable();
  available_slots_ -= executor->available();
  executor->Update();
  usable_slots_ += executor->usable();
  available_slots_ += executor->available();
  exhausted_ = false;
}

std::optional<RoutingAction> ExecutorPool::MarkLeaving(
    Executor* executor, const std::string& reason, Time now) {
  if (executor->said_leaving) {
    return std::nullopt;
  }
  const bool was_leaving = executor->leaving();
  executor->said_leaving = true;
  executor->leaving_probe_time = now + kLeavingProbePeriod;
  UpdateNextProbe();
  if (was_leaving) {
    return std::nullopt;
  }
  return ExecutorLeaving{executor->info.name, reason};
}

void ExecutorPool::TakeOut(Executor* executor, const std::string& reason,
                           bool for_latency, Time now,
                           RoutingActions* actions) {
  executor->health.TakeOut(for_latency, now);
  Refresh(executor);
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
  if (executor->said_leaving) {
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
    // The carrier never reported; the probe counts as lost.
    health.EndProbe(false, now);
    return;
  }
  health.BeginProbe(now + 2 * kProbeTimeout);
  probe();
}

void ExecutorPool::Inspect(Time now, RoutingActions* actions) {
  HealthSums sums = SumHealth();
  for (Executor* executor : order_) {
    if (executor->leaving() || !executor->health.in_rotation()) {
      continue;
    }
    std::optional<Time> oldest;
    if (!executor->starts.empty()) {
      oldest = executor->starts.front();
    }
    const std::optional<std::string> reason =
        executor->health.Inspect(oldest, PeersOf(*executor, sums), now);
    if (!reason.has_value()) {
      continue;
    }
    TakeOut(executor, *reason, true, now, actions);
    sums = SumHealth();
  }
}

void ExecutorPool::UpdateTypicalLatency() {
  std::vector<Duration> latencies;
  for (const Executor* executor : order_) {
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
