// Tells the lives of a worker apart, which may follow each other under one id.
//
// A worker says with all that it reports when its life began. Reports overtake
// each other, and clocks are set back: a later time is a later life, and so is
// another one that answers a call which was sent when this life was known.
#ifndef THORNPLANK_WORKLOAD_WORKER_INCARNATION_H_
#define THORNPLANK_WORKLOAD_WORKER_INCARNATION_H_

#include <optional>

#include "base/time.h"

namespace thornplank {

class WorkerIncarnation {
 public:
  enum class Verdict {
    kSame,
    // Another life has begun; this one is over.
    kNext,
    // Said by a life that was over before this one began.
    kPast,
  };

  // On a report that says `born` and answers a call sent at `sent`. One that
  // says nothing is taken for this life's.
  Verdict Classify(const std::optional<WallTime>& start, Time sent) const;
  // A report of this life, or the first of the next one, came.
  void Record(const std::optional<WallTime>& start, Time now);

  // Nullopt: no report has said it.
  const std::optional<WallTime>& start() const { return start_; }

 private:
  std::optional<WallTime> start_;
  // When a report first said so.
  Time first_heard_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_INCARNATION_H_
