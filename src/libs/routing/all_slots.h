// Policy under which every entry may use every slot and only the executors'
// refusals limit the use.
#ifndef THORNPLANK_ROUTING_ALL_SLOTS_H_
#define THORNPLANK_ROUTING_ALL_SLOTS_H_

#include <vector>

#include "routing/slot_sharing_policy.h"

namespace thornplank {

class AllSlots : public SlotSharingPolicy {
 public:
  std::vector<int> Allocate(const SlotSharingInput& input) const override;
  double AttainableSlots(const SlotSharingInput& input) const override;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_ALL_SLOTS_H_
