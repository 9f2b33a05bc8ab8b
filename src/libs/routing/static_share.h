// Every entry owns an equal, fixed part of the slots.
#ifndef THORNPLANK_ROUTING_STATIC_SHARE_H_
#define THORNPLANK_ROUTING_STATIC_SHARE_H_

#include <vector>

#include "routing/slot_share.h"

namespace thornplank {

class StaticShare : public SlotShare {
 public:
  std::vector<int> Allocate(const ShareInput& input) const override;
  double Potential(const ShareInput& input) const override;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_STATIC_SHARE_H_
