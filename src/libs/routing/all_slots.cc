// Allocates all slots to every entry.
#include "routing/all_slots.h"

#include "routing/demand_split.h"

namespace thornplank {

std::vector<int> AllSlots::Allocate(const SlotSharingInput& input) const {
  std::vector<int> slots;
  slots.reserve(input.executors.size());
  for (const ExecutorSlots& executor : input.executors) {
    slots.push_back(executor.slots);
  }
  return slots;
}

double AllSlots::AttainableSlots(const SlotSharingInput& input) const {
  return SlotsLeftByOthers(input);
}

}  // namespace thornplank
