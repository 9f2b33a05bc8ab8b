// A count of events in which each event loses half of its weight in every
// half-life.
#ifndef THORNPLANK_WORKLOAD_DECAYING_COUNT_H_
#define THORNPLANK_WORKLOAD_DECAYING_COUNT_H_

#include <algorithm>
#include <cmath>

#include "base/time.h"

namespace thornplank {

class DecayingCount {
 public:
  explicit DecayingCount(Duration half_life) : half_life_(half_life) {}

  void Add(double weight, Time now) {
    value_ = At(now) + weight;
    as_of_ = std::max(as_of_, now);
  }
  double At(Time now) const {
    if (value_ <= 0 || now <= as_of_) return value_;
    return value_ * std::exp2(-std::chrono::duration<double>(now - as_of_) /
                              std::chrono::duration<double>(half_life_));
  }

 private:
  Duration half_life_;
  double value_ = 0;
  Time as_of_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_DECAYING_COUNT_H_
