// Computes this entry's range of slots from the demand of all entries.
#include "routing/demand_share.h"

#include <algorithm>
#include <cmath>

#include "routing/demand_split.h"

namespace thornplank {
namespace {

// Minimum size of an entry's range. The range of an entry without demand may
// overlap that of the next entry, so that its first request does not wait for a
// heartbeat.
constexpr int kMinRangeSlots = 2;

}  // namespace

std::vector<int> DemandShare::Allocate(const SlotSharingInput& input) const {
  const int total = TotalSlots(input.executors);
  const std::vector<double> demanded = SplitOverEntries(total, input);
  double spare = total;
  for (double value : demanded) {
    spare -= value;
  }
  const double spare_each =
      std::max(0.0, spare) / static_cast<double>(demanded.size());
  double begin = 0;
  for (size_t entry = 0; entry < input.own_entry_index; ++entry) {
    begin += demanded[entry] + spare_each;
  }
  const double end = begin + demanded[input.own_entry_index] + spare_each;
  const int first = static_cast<int>(std::lround(begin));
  const int last = static_cast<int>(std::lround(end));
  return SlotsInRange(input.executors, first,
                      std::max(last, first + kMinRangeSlots));
}

double DemandShare::AttainableSlots(const SlotSharingInput& input) const {
  return SlotsLeftByOthers(input);
}

}  // namespace thornplank
