// Computes this entry's fixed range of slots.
#include "routing/static_share.h"

namespace thornplank {

std::vector<int> StaticShare::Allocate(const SlotSharingInput& input) const {
  const int total = TotalSlots(input.executors);
  const int entries = static_cast<int>(input.demand.size());
  const int own = static_cast<int>(input.own_entry_index);
  return SlotsInRange(input.executors, total * own / entries,
                      total * (own + 1) / entries);
}

double StaticShare::AttainableSlots(const SlotSharingInput& input) const {
  return static_cast<double>(TotalSlots(input.executors)) /
         static_cast<double>(input.demand.size());
}

}  // namespace thornplank
