// When the leader records the progress of tasks.
//
// A start waits for its record, so that is written at once. Ends alone can wait
// a moment: workers keep them until they are recorded. Hundreds of tasks end
// one by one every second, and each record is a call of the store, and one more
// to read it back.
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
  // Between two records of ends alone.
  const Milliseconds min_interval_;
  // The clock's epoch before the first.
  Time last_recorded_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_PROGRESS_WRITE_LIMITER_H_
