// Exponential decay with a fixed half-life.
#include "routing/decaying_count.h"

#include <algorithm>
#include <cmath>

namespace thornplank {
namespace {

constexpr std::chrono::duration<double> kHalfLife = std::chrono::seconds(1);

}  // namespace

void DecayingCount::Add(Time now) {
  count_ = At(now) + 1;
  time_ = std::max(time_, now);
}

double DecayingCount::At(Time now) const {
  const std::chrono::duration<double> age = now - time_;
  return count_ * std::exp2(-std::max(0.0, age / kHalfLife));
}

}  // namespace thornplank
