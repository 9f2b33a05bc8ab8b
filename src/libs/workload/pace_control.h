// How fast tasks that fill may work beside tasks that serve, on one worker.
//
// Tasks that fill disturb those that serve by amounts that nobody knows
// beforehand and that change within seconds. The pace falls at once when a
// tail comes near its target, and rises slowly while all are well below.
#ifndef THORNPLANK_WORKLOAD_PACE_CONTROL_H_
#define THORNPLANK_WORKLOAD_PACE_CONTROL_H_

#include <vector>

#include "base/time.h"

namespace thornplank {

// Percent of their full speed.
inline constexpr int kFullPace = 100;

// A serving task, as its worker reports it.
struct ServingTail {
  Milliseconds tail{0};
  Milliseconds target{0};
};

struct PaceSettings {
  // Shares of the target. Above the first the pace falls steeply, so that it is
  // zero 2 s after a breach (four reports; the published bound is 4 s), above
  // the second gently; it rises below the third.
  double steep_above = 1.0;
  double gentle_above = 0.9;
  double rise_below = 0.7;
  // How long all tails must be below before the pace rises, and by how much:
  // tails are figures of the last half second.
  Milliseconds calm{1500};
  int rise = 20;
};

class PaceControl {
 public:
  explicit PaceControl(PaceSettings settings = PaceSettings())
      : settings_(settings) {}

  // A report of the worker's serving tasks.
  void Observe(const std::vector<ServingTail>& serving, Time now);

  // Of the tasks that fill, 0 to kFullPace.
  int pace() const { return pace_; }

 private:
  const PaceSettings settings_;
  int pace_ = kFullPace;
  // When a tail was last too high for the pace to rise, or the pace changed.
  Time unquiet_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PACE_CONTROL_H_
