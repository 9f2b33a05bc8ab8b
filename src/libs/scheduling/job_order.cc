#include "scheduling/job_order.h"

#include <algorithm>
#include <cmath>

namespace thornplank {
namespace {

// Exponent of the accelerators when only fragmentation counts.
constexpr double kSizeExponent = 0.15;
constexpr double kLeastExpectedSeconds = 0.05;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double BorrowScore(const BorrowClaim& claim) {
  const double expected =
      std::max(kLeastExpectedSeconds, Seconds(claim.expected));
  const double ratio = (Seconds(claim.waited) + expected) / expected;
  const double exponent = kSizeExponent * claim.fragmentation_weight;
  const double size = std::pow(claim.accelerators, exponent);
  return ratio * size / (1 + claim.borrowed_over_share);
}

}  // namespace thornplank
