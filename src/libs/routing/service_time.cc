// The mean is arithmetic over the first samples, then exponentially weighted.
#include "routing/service_time.h"

#include <cmath>

namespace thornplank {
namespace {

constexpr int kWindow = 64;
constexpr double kHighDeviations = 2.5;

}  // namespace

void ServiceTime::Record(Duration latency) {
  if (samples_ < kWindow) {
    ++samples_;
  }
  const double distance = static_cast<double>(latency.count()) - mean_;
  mean_ += distance / samples_;
  // The first sample says nothing about the deviation.
  if (samples_ > 1) {
    deviation_ += (std::abs(distance) - deviation_) / samples_;
  }
}

Duration ServiceTime::mean() const {
  return Duration(static_cast<Duration::rep>(mean_));
}

Duration ServiceTime::high_estimate() const {
  return Duration(
      static_cast<Duration::rep>(mean_ + kHighDeviations * deviation_));
}

}  // namespace thornplank
