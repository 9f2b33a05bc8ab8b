// Every entry may use every slot; the executors' refusals limit it.
#ifndef THORNPLANK_ROUTING_ALL_SLOTS_H_
#define THORNPLANK_ROUTING_ALL_SLOTS_H_

#include <vector>

#include "routing/slot_share.h"

namespace thornplank {

class AllSlots : public SlotShare {
 public:
  std::vector<int> Allocate(const ShareInput& input) const override;
  double Potential(const ShareInput& input) const override;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_ALL_SLOTS_H_
