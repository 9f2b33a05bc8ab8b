// Multiplicative decrease, additive increase.
#include "workload/pace_control.h"

#include <algorithm>

namespace thornplank {
namespace {

constexpr int kSteepDivisor = 4;
// The gentle decrease leaves two thirds.
constexpr int kGentleNumerator = 2;
constexpr int kGentleDivisor = 3;
// At a lower pace they gain little and still disturb.
constexpr int kMinPace = 5;

// The largest ratio of a tail latency to its target; 0 without targets.
double WorstRatio(const std::vector<ServingTail>& serving) {
  double worst = 0;
  for (const ServingTail& task : serving) {
    if (task.target.count() <= 0) continue;
    worst = std::max(worst, static_cast<double>(task.tail.count()) /
                                static_cast<double>(task.target.count()));
  }
  return worst;
}

}  // namespace

void PaceControl::Observe(const std::vector<ServingTail>& serving, Time now) {
  const double worst = WorstRatio(serving);
  if (worst >= settings_.rise_below) last_disturbance_ = now;
  int pace = pace_;
  if (worst > settings_.steep_above) {
    pace = pace_ / kSteepDivisor;
  } else if (worst > settings_.gentle_above) {
    pace = pace_ * kGentleNumerator / kGentleDivisor;
  } else if (now - last_disturbance_ >= settings_.calm_time) {
    pace = std::min(pace_ + settings_.rise, kFullPace);
  }
  if (pace < pace_ && pace < kMinPace) pace = 0;
  if (pace == pace_) return;
  pace_ = pace;
  last_disturbance_ = now;
}

}  // namespace thornplank
