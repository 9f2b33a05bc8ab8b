// Policy under which every entry owns an equal, fixed range of the numbered
// slots.
#ifndef THORNPLANK_ROUTING_STATIC_SHARE_H_
#define THORNPLANK_ROUTING_STATIC_SHARE_H_

#include <vector>

#include "routing/slot_sharing_policy.h"

namespace thornplank {

class StaticShare : public SlotSharingPolicy {
 public:
  std::vector<int> Allocate(const SlotSharingInput& input) const override;
  double AttainableSlots(const SlotSharingInput& input) const override;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_STATIC_SHARE_H_
