// Limits stops between accounts of one priority by the work that gets done.
//
// Every such stop costs work, and pays only if the run that replaces it is
// finished. While recent stops exceed recent completions, capacity changes
// hands faster than anything ends, and another stop would add to that,
// whatever the cause. Counts of both decay, so that the limit ends by itself.
// A new leader begins without any count. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_EQUAL_STOP_LIMITER_H_
#define THORNPLANK_WORKLOAD_EQUAL_STOP_LIMITER_H_

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "workload/decaying_count.h"

namespace thornplank {

// The limit begins, or no longer holds anything back.
struct EqualStopLimitChange {
  bool limited = false;
  // Recent stops and completions, each at half of its weight after the
  // half-life.
  double stops = 0;
  double completions = 0;
};

class EqualStopLimiter {
 public:
  explicit EqualStopLimiter(Duration half_life)
      : stops_(half_life), completions_(half_life) {}

  // Runs that were told to stop for a step of the same priority.
  void OnStops(int64_t runs, Time now);
  // Urgent tasks that were completed.
  void OnCompletions(int64_t tasks, Time now);
  bool MayStop(Time now) const;
  // A stop was not ordered because of the limit.
  void OnWithheld() { withheld_ = true; }

  // Called once in a round, after its decisions.
  std::optional<EqualStopLimitChange> EndRound(Time now);
  // Whether a stop was held back and the limit is still in force.
  bool limited() const { return limited_; }

 private:
  DecayingCount stops_;
  DecayingCount completions_;
  bool withheld_ = false;
  bool limited_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_EQUAL_STOP_LIMITER_H_
