// Compares the holds of successive rounds.
#include "workload/hold_history.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace thornplank {
namespace {

// Between two searches for a gang: the shorter one after a first search without
// a result, doubled up to the longer one. While its hold stays possible, a
// further search can only find better workers.
constexpr Milliseconds kMinSearchInterval{500};
constexpr Milliseconds kMaxSearchInterval{2000};
// Between two searches for gangs of one service. Bounds the cost; each of
// eight gangs has its turn within two seconds.
constexpr Milliseconds kServiceSearchInterval{250};
// Between two log lines about a hold that moves.
constexpr std::chrono::seconds kMoveLogInterval{1};
// A longer wait gives no further horizon; also bounds what a wrong time of
// acceptance can do.
constexpr std::chrono::minutes kMaxWait{10};

bool HasRun(const ReadyStep& step) {
  const auto& steps =
      step.job->occurrences[static_cast<size_t>(step.ref.occurrence)];
  const StepProgress& progress = steps[static_cast<size_t>(step.ref.step)];
  return std::any_of(progress.tasks.begin(), progress.tasks.end(),
                     [](const TaskStatus& task) { return task.run > 0; });
}

Milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration);
}

}  // namespace

Duration HoldHistory::Waited(const ReadyStep& step, Time now,
                             WallTime wall_now) {
  const auto [it, is_new] = gangs_.try_emplace(step.ref);
  Gang& gang = it->second;
  gang.seen = true;
  if (!is_new) return now - gang.since;
  gang.since = now;
  if (!step.spec->depends_on.empty() || HasRun(step)) return Duration::zero();
  const Duration age = std::chrono::duration_cast<Duration>(
      wall_now - step.job->spec.earliest_start(step.ref.occurrence));
  gang.since =
      now - std::clamp<Duration>(age, Duration::zero(), Duration(kMaxWait));
  return now - gang.since;
}

bool HoldHistory::MaySearch(const ReadyStep& step, Time now) {
  const auto next = next_search_.find(step.service());
  if (next != next_search_.end() && now < next->second) return false;
  return now >= gangs_[step.ref].next_search;
}

void HoldHistory::OnSearched(const ReadyStep& step, bool found, Time now) {
  Gang& gang = gangs_[step.ref];
  gang.search_interval =
      found ? kMaxSearchInterval
            : std::clamp(gang.search_interval * 2, kMinSearchInterval,
                         kMaxSearchInterval);
  gang.next_search = now + gang.search_interval;
  next_search_[step.service()] = now + kServiceSearchInterval;
}

std::vector<size_t> HoldHistory::LastWorkers(
    const StepRef& step, const ClusterCapacity& capacity) const {
  std::vector<size_t> indexes;
  const auto gang = gangs_.find(step);
  if (gang == gangs_.end()) return indexes;
  indexes.reserve(gang->second.workers.size());
  for (const HeldWorker& worker : gang->second.workers) {
    const bool unmoved =
        worker.index < capacity.workers().size() &&
        capacity.worker(worker.index).tracker->id() == worker.id;
    const std::optional<size_t> index =
        unmoved ? worker.index : capacity.IndexOf(worker.id);
    if (!index) return {};
    indexes.push_back(*index);
  }
  return indexes;
}

void HoldHistory::OnLost(const StepRef& step, Time now) {
  const auto gang = gangs_.find(step);
  if (gang != gangs_.end()) gang->second.next_search = now;
}

void HoldHistory::OnReturned(const StepRef& step) {
  gangs_[step].returned = true;
}

bool HoldHistory::UpdateWorkers(const GangHold& hold,
                                const ClusterCapacity& capacity,
                                std::vector<HeldWorker>* workers) {
  bool same = workers->size() == hold.places.size();
  for (size_t i = 0; same && i < workers->size(); ++i) {
    HeldWorker& known = (*workers)[i];
    known.index = hold.places[i].worker;
    same = capacity.worker(known.index).tracker->id() == known.id;
  }
  if (same) return false;
  workers->clear();
  for (const GangHold::Place& place : hold.places) {
    workers->push_back(
        {capacity.worker(place.worker).tracker->id(), place.worker});
  }
  return true;
}

HoldChange HoldHistory::Describe(const GangHold& hold,
                                 const ClusterCapacity& capacity, Time now) {
  HoldChange change;
  change.step = hold.step->ref;
  change.workers = static_cast<int64_t>(hold.places.size());
  change.ready_in = ToMilliseconds(hold.ready_at - now);
  change.waited = ToMilliseconds(hold.waited);
  change.borrowers = hold.borrower_count();
  const int first = capacity.worker(hold.places.front().worker).rack;
  const bool one_rack = std::all_of(
      hold.places.begin(), hold.places.end(), [&](const auto& place) {
        return capacity.worker(place.worker).rack == first;
      });
  if (one_rack) {
    change.rack = capacity.worker(hold.places.front().worker).entry().rack;
  }
  return change;
}

std::vector<HoldChange> HoldHistory::EndRound(
    const std::vector<GangHold>& holds, const ClusterCapacity* capacity,
    Time now) {
  std::vector<HoldChange> changes;
  std::map<StepRef, const GangHold*> held;
  for (const GangHold& hold : holds) {
    held[hold.step->ref] = &hold;
    Gang& gang = gangs_[hold.step->ref];
    const bool begins = gang.workers.empty();
    if (UpdateWorkers(hold, *capacity, &gang.workers)) {
      gang.logged_workers = false;
    }
    if (gang.logged_workers) continue;
    if (!begins && now - gang.logged < kMoveLogInterval) continue;
    gang.logged_workers = true;
    gang.logged = now;
    changes.push_back(Describe(hold, *capacity, now));
    changes.back().reason = begins ? "begins" : "moves to other workers";
  }
  for (auto it = gangs_.begin(); it != gangs_.end();) {
    const auto current = it++;
    Gang& gang = current->second;
    if (!gang.workers.empty() && held.count(current->first) == 0) {
      HoldChange change;
      change.step = current->first;
      change.workers = static_cast<int64_t>(gang.workers.size());
      change.waited = ToMilliseconds(now - gang.since);
      change.reason = "ends: the gang cannot start soon";
      if (!gang.seen) change.reason = "ends: the gang no longer waits";
      if (gang.returned) change.reason = "ends: borrowers are stopped for it";
      changes.push_back(std::move(change));
      gang.workers.clear();
      gang.logged_workers = false;
    }
    gang.returned = false;
    if (!std::exchange(gang.seen, false)) gangs_.erase(current);
  }
  return changes;
}

}  // namespace thornplank
