// Selects victims by the work that would be lost.
#include "workload/victim_selection.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace thornplank {
namespace {

// Added to the rank of an urgent run that is a last resort (StopLimits): more
// than the rank of any other run that is not long-running.
constexpr int kLastResortRank = 3;
// Added to the rank of a long-running task: more than the rank of any other
// run.
constexpr int kLongRunningRank = 6;

// What decides between racks before the work that is lost.
enum class RackCost { kOrdinary, kLastResort, kLongRunning, kUnknown };

RackCost RackCostOf(const EvictionCost& cost) {
  if (cost.rank >= kLongRunningRank) return RackCost::kLongRunning;
  if (cost.rank >= kLastResortRank) return RackCost::kLastResort;
  return RackCost::kOrdinary;
}

}  // namespace

VictimSelection::VictimSelection(const Inputs& inputs, const ReadyStep& step)
    : inputs_(inputs), step_(step), limits_(LimitsFor(inputs, step)) {
  if (inputs.shares == nullptr) return;
  const auto account =
      inputs.shares->Find(step.service(), step.job->spec.account);
  if (account) mean_share_ = inputs.shares->MeanShare(account->service);
}

std::vector<Eviction> VictimSelection::ChooseEvictions(bool near_only,
                                                       bool one_rack,
                                                       bool may_spread) const {
  std::vector<Eviction> all;
  std::map<std::string, std::vector<Eviction>> racks;
  const auto& workers = inputs_.capacity->workers();
  for (size_t i = 0; i < workers.size(); ++i) {
    if (!inputs_.capacity->MayUse(step_, workers[i])) continue;
    const std::string& rack = workers[i].entry().rack;
    if (near_only && rack != step_.spec->data_rack) continue;
    for (Eviction& eviction : EvictionsOnWorker(i)) {
      racks[rack].push_back(eviction);
      all.push_back(std::move(eviction));
    }
  }
  const auto needed = static_cast<int64_t>(step_.waiting.size());
  std::vector<Eviction> best;
  std::pair<RackCost, double> best_cost = {RackCost::kUnknown, 0};
  if (one_rack) {
    for (auto& [rack, evictions] : racks) {
      EvictionCost cost;
      std::vector<Eviction> chosen =
          CheapestEvictions(evictions, needed, &cost, limits_);
      const std::pair<RackCost, double> rack_cost = {RackCostOf(cost),
                                                     cost.weighted()};
      if (chosen.empty() || rack_cost >= best_cost) continue;
      best = std::move(chosen);
      best_cost = rack_cost;
    }
    if (best.empty() && !may_spread) return {};
  }
  if (!best.empty()) return best;
  EvictionCost cost;
  return CheapestEvictions(std::move(all), needed, &cost, limits_);
}

StopLimits VictimSelection::LimitsFor(const Inputs& inputs,
                                      const ReadyStep& step) {
  StopLimits::Sources sources;
  sources.ledger = inputs.ledger;
  sources.budgets = inputs.budgets;
  sources.balance = inputs.balance;
  sources.may_reclaim = inputs.may_reclaim;
  sources.is_owed = step.owed;
  return StopLimits(sources);
}

std::vector<Eviction> VictimSelection::EvictionsOnWorker(size_t index) const {
  const WorkerCapacity& worker = inputs_.capacity->worker(index);
  const Resources need = ReservedFor(*step_.spec);
  const auto members = static_cast<int64_t>(step_.waiting.size());
  const int64_t bound =
      inputs_.capacity->RemainingTaskLimit(step_, *worker.tracker);
  struct Victim {
    EvictionCost cost;
    const TrackedRun* run = nullptr;

    bool operator<(const Victim& other) const {
      return std::tie(cost.rank, cost.total, run) <
             std::tie(other.cost.rank, other.cost.total, other.run);
    }
  };
  std::vector<Victim> victims;
  for (const auto& [task, run] : worker.tracker->runs()) {
    if (run.stop_wanted || inputs_.stopped->count(task) > 0) continue;
    if (!IsPreemptible(run)) continue;
    victims.push_back({CostOf(run), &run});
  }
  std::sort(victims.begin(), victims.end());
  Resources available = worker.free + worker.releasing;
  if (inputs_.guarantee_holds != nullptr) {
    available -= inputs_.guarantee_holds->HeldFrom(step_, index);
  }
  std::vector<Eviction> evictions;
  Eviction next;
  next.worker = index;
  int64_t held = std::min(bound, need.TimesIn(available, members));
  if (held > 0) {
    evictions.push_back({index, held, {}, {}});
  }
  StopLimits limits = limits_;
  for (const auto& [cost, run] : victims) {
    if (!limits.Take(*run)) continue;
    available += run->profile.need;
    next.cost += cost;
    next.victims.push_back(run);
    const int64_t tasks = std::min(bound, need.TimesIn(available, members));
    if (tasks <= held) continue;
    next.gain = tasks - held;
    held = tasks;
    evictions.push_back(std::move(next));
    next = Eviction();
    next.worker = index;
  }
  return evictions;
}

bool VictimSelection::IsPreemptible(const TrackedRun& run) const {
  if (run.profile.long_running && !step_.within_guarantee) return false;
  const bool own = run.profile.account == step_.job->spec.account;
  if (run.profile.priority == 0 && own) return false;
  return limits_.MayTake(run);
}

bool VictimSelection::IsProtected(const TrackedRun& run) const {
  if (inputs_.shares == nullptr) return false;
  const auto account =
      inputs_.shares->Find(step_.service(), run.profile.account);
  return !account || !AccountShares::IsAbove(
                         inputs_.shares->WeightedShare(*account), mean_share_);
}

EvictionCost VictimSelection::CostOf(const TrackedRun& run) const {
  const double seconds =
      std::chrono::duration<double>(run.unsaved_work(inputs_.now) +
                                    inputs_.restart_cost)
          .count();
  double members = 1;
  if (run.profile.gang) {
    const StepSpec* spec = inputs_.ledger->FindStepSpec(run.task.step);
    if (spec != nullptr) members = spec->count;
  }
  EvictionCost cost;
  cost.total =
      seconds * members * static_cast<double>(Weight(run.profile.need));
  cost.rank = run.profile.long_running ? kLongRunningRank : 0;
  if (limits_.IsLastResort(run)) cost.rank += kLastResortRank;
  if (inputs_.shares == nullptr) return cost;
  const bool is_protected = IsProtected(run);
  if (is_protected) cost.of_protected = cost.total;
  // Urgent runs of an account above its share must not give way to spare other
  // work of accounts below theirs.
  cost.rank += (is_protected ? 1 : 0) + (run.profile.priority == 0 ? 1 : 0);
  return cost;
}

}  // namespace thornplank
