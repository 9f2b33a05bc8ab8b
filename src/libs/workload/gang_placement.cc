// Best fit over the slots of one rack or of all racks.
#include "workload/gang_placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace thornplank {
namespace {

// The best slots that hold all members together.
struct GangFit {
  std::vector<Slot> slots;
  int64_t score = 0;
};

std::optional<GangFit> FitTogether(const ReadyStep& step,
                                   std::vector<Slot> slots,
                                   int64_t empty_workers) {
  const auto members = static_cast<int64_t>(step.waiting.size());
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
    std::optional<GangFit> fit =
        FitTogether(step, std::move(slots), places.empty_workers);
    if (!fit) continue;
    if (has_data) fit->score -= kFarRackPenalty;
    if (best && fit->score >= best->score) continue;
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
      FitTogether(step, std::move(slots), places.empty_workers);
  if (!fit) return {};
  return TakeAll(step, capacity, fit->slots);
}

}  // namespace thornplank
