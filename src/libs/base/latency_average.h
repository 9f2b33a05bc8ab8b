// An exponentially weighted average of latencies, from which timeouts and
// delays are derived.
#ifndef THORNPLANK_BASE_LATENCY_AVERAGE_H_
#define THORNPLANK_BASE_LATENCY_AVERAGE_H_

#include "base/time.h"

namespace thornplank {

class LatencyAverage {
 public:
  // A new latency counts for one part in `parts` of the average.
  explicit LatencyAverage(int parts) : parts_(parts) {}

  void Add(Duration latency) { average_ += (latency - average_) / parts_; }

  // That multiple of the average; zero before the first latency.
  Milliseconds Times(int factor) const {
    return std::chrono::duration_cast<Milliseconds>(average_ * factor);
  }

 private:
  // Invariant: at least 1.
  int parts_;
  Duration average_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_BASE_LATENCY_AVERAGE_H_
