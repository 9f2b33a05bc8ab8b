// The average starts as if one success had been recorded.
#include "routing/failure_rate.h"

#include <algorithm>

namespace thornplank {

void FailureRate::Add(double failed) {
  ++samples_;
  const double weight = std::max(weight_, 1.0 / (samples_ + 1));
  value_ += weight * (failed - value_);
}

}  // namespace thornplank
