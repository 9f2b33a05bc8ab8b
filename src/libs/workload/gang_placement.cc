// Best fit over the slots of a rack, or of all.
#include "workload/gang_placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace thornplank {
namespace {

std::vector<JobLedger::Assignment> TakeAll(const OpenStep& step,
                                           const ClusterRooms& rooms,
                                           std::vector<Slot> slots) {
  std::sort(slots.begin(), slots.end(), HasLessScore);
  std::vector<JobLedger::Assignment> chosen;
  for (const Slot& slot : slots) {
    TakeSlot(step, rooms, slot, &chosen);
  }
  if (chosen.size() < step.waiting.size()) chosen.clear();
  return chosen;
}

// The score of the best slots that hold the gang together; nullopt when all of
// them don't.
std::optional<int64_t> ScoreTogether(const OpenStep& step,
                                     std::vector<Slot>* slots) {
  const auto members = static_cast<int64_t>(step.waiting.size());
  std::sort(slots->begin(), slots->end(), HasLessScore);
  int64_t room = 0;
  int64_t score = 0;
  for (const Slot& slot : *slots) {
    if (room >= members) break;
    room += slot.tasks;
    score += slot.score;
  }
  if (room < members) return std::nullopt;
  return score;
}

}  // namespace

void TakeSlot(const OpenStep& step, const ClusterRooms& rooms, const Slot& slot,
              std::vector<JobLedger::Assignment>* chosen) {
  for (int64_t i = 0; i < slot.tasks; ++i) {
    if (chosen->size() == step.waiting.size()) return;
    const int index = step.waiting[chosen->size()];
    chosen->push_back({index, rooms.room(slot.worker).tracker->id()});
  }
}

std::vector<JobLedger::Assignment> PlaceOnOneRack(
    const OpenStep& step, const ClusterRooms& rooms,
    const std::vector<Slot>& slots, bool near_only) {
  std::map<std::string, std::vector<Slot>> racks;
  for (const Slot& slot : slots) {
    racks[rooms.room(slot.worker).worker().rack].push_back(slot);
  }
  const std::string& data_rack = step.spec->data_rack;
  std::vector<Slot>* best = nullptr;
  int64_t best_score = 0;
  for (auto& [rack, members] : racks) {
    if (near_only && rack != data_rack) continue;
    std::optional<int64_t> score = ScoreTogether(step, &members);
    if (!score) continue;
    if (rack == data_rack) *score -= kFarPenalty;
    if (best != nullptr && *score >= best_score) continue;
    best = &members;
    best_score = *score;
  }
  if (best == nullptr) return {};
  return TakeAll(step, rooms, std::move(*best));
}

std::vector<JobLedger::Assignment> PlaceOverRacks(const OpenStep& step,
                                                  const ClusterRooms& rooms,
                                                  std::vector<Slot> slots,
                                                  bool near_only) {
  if (near_only) {
    slots.erase(std::remove_if(slots.begin(), slots.end(),
                               [&](const Slot& slot) {
                                 return !rooms.IsNear(step, slot);
                               }),
                slots.end());
  }
  return TakeAll(step, rooms, std::move(slots));
}

}  // namespace thornplank
