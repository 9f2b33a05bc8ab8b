// Limits how often the leader writes the progress of tasks to the store.
//
// A start is sent only after it is recorded, so it is written at once. Ends
// alone can wait: workers keep them until they are recorded. Hundreds of tasks
// may end every second, and each write costs one call to the store, and another
// one to read it back.
#ifndef THORNPLANK_COORDINATION_PROGRESS_WRITE_LIMITER_H_
#define THORNPLANK_COORDINATION_PROGRESS_WRITE_LIMITER_H_

#include "base/time.h"

namespace thornplank {

class ProgressWriteLimiter {
 public:
  explicit ProgressWriteLimiter(Milliseconds min_interval)
      : min_interval_(min_interval) {}

  bool IsDue(bool starts_wait, Time now) const {
    return starts_wait || now - last_recorded_ >= min_interval_;
  }
  void OnRecorded(Time now) { last_recorded_ = now; }

 private:
  // Least time before a write that contains no start.
  const Milliseconds min_interval_;
  // When the last write began; the epoch of the clock before the first.
  Time last_recorded_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_PROGRESS_WRITE_LIMITER_H_
