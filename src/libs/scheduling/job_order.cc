#include "scheduling/job_order.h"

#include <algorithm>
#include <cmath>

namespace thornplank {
namespace {

// Exponent of the number of accelerators at a fragmentation weight of 1.
constexpr double kSizeExponent = 0.15;
constexpr double kMinExpectedSeconds = 0.05;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double BorrowScore(const BorrowCandidate& candidate) {
  const double expected =
      std::max(kMinExpectedSeconds, Seconds(candidate.expected));
  const double ratio = (Seconds(candidate.waited) + expected) / expected;
  const double exponent = kSizeExponent * candidate.fragmentation_weight;
  const double size = std::pow(candidate.accelerators, exponent);
  return ratio * size / (1 + candidate.borrowed_to_share_ratio);
}

}  // namespace thornplank
