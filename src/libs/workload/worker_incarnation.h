// Tells apart the incarnations of a worker, which may follow each other under
// one id.
//
// Every report of a worker includes the start time of its incarnation. Reports
// may overtake each other, and clocks may be set back: a later start time means
// a later incarnation, and so does a different one in the answer to a call that
// was sent after this incarnation was known.
#ifndef THORNPLANK_WORKLOAD_WORKER_INCARNATION_H_
#define THORNPLANK_WORKLOAD_WORKER_INCARNATION_H_

#include <optional>

#include "base/time.h"

namespace thornplank {

class WorkerIncarnation {
 public:
  enum class Verdict {
    kSame,
    // Another incarnation has begun; this one is over.
    kNext,
    // From an incarnation that was over before this one began.
    kPast,
  };

  // Classifies a report with the given start time that answers a call sent at
  // `sent`. A report without a start time is attributed to this incarnation.
  Verdict Classify(const std::optional<WallTime>& start, Time sent) const;
  // Records the start time in a report of this incarnation or in the first one
  // of the next.
  void Record(const std::optional<WallTime>& start, Time now);

  // Nullopt until a report includes it.
  const std::optional<WallTime>& start() const { return start_; }

 private:
  std::optional<WallTime> start_;
  // When a report first included start_.
  Time first_heard_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_INCARNATION_H_
