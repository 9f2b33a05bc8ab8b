// A count of events with exponential decay.
#ifndef THORNPLANK_ROUTING_DECAYING_COUNT_H_
#define THORNPLANK_ROUTING_DECAYING_COUNT_H_

#include "base/time.h"

namespace thornplank {

class DecayingCount {
 public:
  void Add(Time now);
  // Number of events up to `now`; the weight of an event halves with each
  // second of its age.
  double At(Time now) const;

 private:
  // The count at `time_`.
  double count_ = 0;
  Time time_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_DECAYING_COUNT_H_
