// Falls by factors, rises by steps.
#include "workload/pace_control.h"

#include <algorithm>

namespace thornplank {
namespace {

constexpr int kSteepDivisor = 4;
// Two thirds are left.
constexpr int kGentleNumerator = 2;
constexpr int kGentleDivisor = 3;
// Slower than this they gain little and disturb still.
constexpr int kLeastPace = 5;

// The worst tail against its target; 0 without one.
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
  if (worst >= settings_.rise_below) unquiet_ = now;
  int pace = pace_;
  if (worst > settings_.steep_above) {
    pace = pace_ / kSteepDivisor;
  } else if (worst > settings_.gentle_above) {
    pace = pace_ * kGentleNumerator / kGentleDivisor;
  } else if (now - unquiet_ >= settings_.calm) {
    pace = std::min(pace_ + settings_.rise, kFullPace);
  }
  if (pace < pace_ && pace < kLeastPace) pace = 0;
  if (pace == pace_) return;
  pace_ = pace;
  unquiet_ = now;
}

}  // namespace thornplank
