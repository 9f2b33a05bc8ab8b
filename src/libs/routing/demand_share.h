// Policy under which every entry owns a range of the numbered slots in
// proportion to its demand.
//
// The demand comes from heartbeats and is weighted by the accounts' guarantees
// and weights, so that a flood of one account at one entry does not take the
// slots that another account needs at a second entry. Slots beyond the demand
// are spread evenly, so that an idle entry can serve a request at once.
#ifndef THORNPLANK_ROUTING_DEMAND_SHARE_H_
#define THORNPLANK_ROUTING_DEMAND_SHARE_H_

#include <vector>

#include "routing/slot_sharing_policy.h"

namespace thornplank {

class DemandShare : public SlotSharingPolicy {
 public:
  std::vector<int> Allocate(const SlotSharingInput& input) const override;
  double AttainableSlots(const SlotSharingInput& input) const override;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_DEMAND_SHARE_H_
