// Mean over the first samples, then exponentially weighted.
#include "routing/service_time.h"

namespace thornplank {
namespace {

constexpr int kWindow = 64;

}  // namespace

void ServiceTime::Record(Duration latency) {
  if (samples_ < kWindow) {
    ++samples_;
  }
  mean_ += (static_cast<double>(latency.count()) - mean_) / samples_;
}

Duration ServiceTime::mean() const {
  return Duration(static_cast<Duration::rep>(mean_));
}

}  // namespace thornplank
