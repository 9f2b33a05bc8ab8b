// Compares start times, and when calls were sent.
#include "workload/worker_incarnation.h"

namespace thornplank {

WorkerIncarnation::Verdict WorkerIncarnation::Classify(
    const std::optional<WallTime>& start, Time sent) const {
  if (!start || !start_ || *start == *start_) return Verdict::kSame;
  const bool later = *start > *start_ || sent >= first_heard_;
  return later ? Verdict::kNext : Verdict::kPast;
}

void WorkerIncarnation::Record(const std::optional<WallTime>& start, Time now) {
  if (!start || start == start_) return;
  start_ = start;
  first_heard_ = now;
}

}  // namespace thornplank
