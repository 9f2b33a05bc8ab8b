// Best fit, or fewest workers, over the slots of one rack or of all racks.
#include "workload/gang_placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "workload/compact_fit.h"

namespace thornplank {
namespace {

// The best slots that hold all members together.
struct GangFit {
  std::vector<Slot> slots;
  // The members below remain 0 unless places are compact: the score decides.
  // Sum over the members of the penalty classes of their workers. It does not
  // depend on the number of workers, unlike a sum over workers.
  int64_t penalties = 0;
  size_t workers = 0;
  int64_t empty_workers = 0;
  int64_t score = 0;
};

bool IsBetter(const GangFit& a, const GangFit& b) {
  return std::tie(a.penalties, a.workers, a.empty_workers, a.score) <
         std::tie(b.penalties, b.workers, b.empty_workers, b.score);
}

// Filler tasks are spread over idle cores, and tasks on probation are placed
// where the least is lost if they crash the worker. A limit per worker says how
// far the caller wants a gang to spread.
bool IsCompact(const ReadyStep& step, const FreePlaces& places) {
  return places.compact && step.spec->max_per_worker == 0 &&
         !step.spec->is_filler && !step.on_probation;
}

std::optional<GangFit> FitCompactly(const ReadyStep& step,
                                    std::vector<Slot> slots,
                                    int64_t empty_workers) {
  CompactGang gang;
  gang.members = static_cast<int64_t>(step.waiting.size());
  gang.member_weight = Weight(ReservedFor(*step.spec));
  GangFit fit;
  fit.slots = FewestWorkers(gang, std::move(slots), empty_workers);
  if (fit.slots.empty()) return std::nullopt;
  fit.workers = fit.slots.size();
  int64_t missing = gang.members;
  for (const Slot& slot : fit.slots) {
    const int64_t members = std::min(slot.tasks, missing);
    missing -= members;
    const int64_t penalty_class = PenaltyClass(slot.score);
    fit.penalties += penalty_class * members;
    fit.empty_workers += slot.empty ? 1 : 0;
    // What stays free on the worker.
    fit.score += slot.score - penalty_class * kSlownessStep +
                 gang.member_weight * (slot.tasks - members);
  }
  return fit;
}

std::optional<GangFit> FitTogether(const ReadyStep& step,
                                   const FreePlaces& places,
                                   std::vector<Slot> slots) {
  if (IsCompact(step, places)) {
    return FitCompactly(step, std::move(slots), places.empty_workers);
  }
  const auto members = static_cast<int64_t>(step.waiting.size());
  int64_t empty_workers = places.empty_workers;
  std::sort(slots.begin(), slots.end(), HasLowerScore);
  GangFit fit;
  int64_t room = 0;
  for (const Slot& slot : slots) {
    if (room >= members) break;
    if (slot.empty && empty_workers-- <= 0) continue;
    room += slot.tasks;
    fit.score += slot.score;
    fit.slots.push_back(slot);
  }
  if (room < members) return std::nullopt;
  return fit;
}

std::vector<JobLedger::Assignment> TakeAll(const ReadyStep& step,
                                           const ClusterCapacity& capacity,
                                           const std::vector<Slot>& slots) {
  std::vector<JobLedger::Assignment> chosen;
  for (const Slot& slot : slots) {
    TakeSlot(step, capacity, slot, &chosen);
  }
  return chosen;
}

}  // namespace

void TakeSlot(const ReadyStep& step, const ClusterCapacity& capacity,
              const Slot& slot, std::vector<JobLedger::Assignment>* chosen) {
  for (int64_t i = 0; i < slot.tasks; ++i) {
    if (chosen->size() == step.waiting.size()) return;
    const int index = step.waiting[chosen->size()];
    chosen->push_back({index, capacity.worker(slot.worker).tracker->id()});
  }
}

std::vector<JobLedger::Assignment> PlaceOnOneRack(
    const ReadyStep& step, const ClusterCapacity& capacity,
    const FreePlaces& places) {
  const std::string& data_rack = step.spec->data_rack;
  // By number of the rack.
  std::map<int, std::vector<Slot>> racks;
  for (const Slot& slot : places.slots) {
    const WorkerCapacity& worker = capacity.worker(slot.worker);
    if (places.near_only && worker.entry().rack != data_rack) continue;
    racks[worker.rack].push_back(slot);
  }
  std::optional<GangFit> best;
  for (auto& [rack, slots] : racks) {
    const bool has_data =
        capacity.worker(slots.front().worker).entry().rack == data_rack;
    std::optional<GangFit> fit = FitTogether(step, places, std::move(slots));
    if (!fit) continue;
    if (has_data && !IsCompact(step, places)) fit->score -= kFarRackPenalty;
    if (best && !IsBetter(*fit, *best)) continue;
    best = std::move(fit);
  }
  if (!best) return {};
  return TakeAll(step, capacity, best->slots);
}

std::vector<JobLedger::Assignment> PlaceOverRacks(
    const ReadyStep& step, const ClusterCapacity& capacity,
    const FreePlaces& places) {
  std::vector<Slot> slots;
  for (const Slot& slot : places.slots) {
    if (places.near_only && !capacity.IsNear(step, slot)) continue;
    slots.push_back(slot);
  }
  const std::optional<GangFit> fit =
      FitTogether(step, places, std::move(slots));
  if (!fit) return {};
  return TakeAll(step, capacity, fit->slots);
}

}  // namespace thornplank
