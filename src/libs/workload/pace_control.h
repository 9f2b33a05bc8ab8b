// Controls how fast filler tasks may work beside serving tasks on one worker.
//
// The disturbance of serving tasks is not known in advance and changes within
// seconds. The pace is reduced at once when a tail latency comes near its
// target, and raised slowly while all are well below.
#ifndef THORNPLANK_WORKLOAD_PACE_CONTROL_H_
#define THORNPLANK_WORKLOAD_PACE_CONTROL_H_

#include <vector>

#include "base/time.h"

namespace thornplank {

// In percent of the full speed.
inline constexpr int kFullPace = 100;

// The tail latency of a serving task, as reported by its worker.
struct ServingTail {
  Milliseconds tail{0};
  Milliseconds target{0};
};

struct PaceSettings {
  // Ratios of tail latency to target. Above the first the pace falls steeply,
  // so that it is zero 2 s after a breach (four reports; the published bound is
  // 4 s), above the second gently; it rises below the third.
  double steep_above = 1.0;
  double gentle_above = 0.9;
  double rise_below = 0.7;
  // How long all tail latencies must be low before the pace rises, and by how
  // many percent: they are measured over the last half second.
  Milliseconds calm_time{1500};
  int rise = 20;
};

class PaceControl {
 public:
  explicit PaceControl(PaceSettings settings = PaceSettings())
      : settings_(settings) {}

  // Adjusts the pace after a report on the worker's serving tasks.
  void Observe(const std::vector<ServingTail>& serving, Time now);

  // Pace of the filler tasks, 0 to kFullPace.
  int pace() const { return pace_; }

 private:
  const PaceSettings settings_;
  int pace_ = kFullPace;
  // When a tail latency was last too high for the pace to rise, or the pace
  // changed.
  Time last_disturbance_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PACE_CONTROL_H_
