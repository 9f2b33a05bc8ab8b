// Ranges of slots in proportion to demand.
#include "routing/demand_share.h"

#include <algorithm>
#include <cmath>

#include "routing/demand_split.h"

namespace thornplank {
namespace {

// An entry without demand keeps these, which overlap with its neighbour's, so
// that its first request does not wait for a heartbeat.
constexpr int kMinimumRange = 2;

}  // namespace

std::vector<int> DemandShare::Allocate(const SlotSharingInput& input) const {
  const int total = TotalSlots(input.executors);
  const std::vector<double> claimed = SplitOverEntries(total, input);
  double spare = total;
  for (double value : claimed) {
    spare -= value;
  }
  const double spare_each =
      std::max(0.0, spare) / static_cast<double>(claimed.size());
  double begin = 0;
  for (size_t entry = 0; entry < input.own_entry; ++entry) {
    begin += claimed[entry] + spare_each;
  }
  const double end = begin + claimed[input.own_entry] + spare_each;
  const int first = static_cast<int>(std::lround(begin));
  const int last = static_cast<int>(std::lround(end));
  return SlotsInRange(input.executors, first,
                      std::max(last, first + kMinimumRange));
}

double DemandShare::AttainableSlots(const SlotSharingInput& input) const {
  return UnclaimedByOthers(input);
}

}  // namespace thornplank
