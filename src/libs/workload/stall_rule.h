// Decides from the reports on a run whether it makes no progress.
//
// How long a run may show no progress follows from its normal duration: a run
// of two seconds is not given five. A run that is only slow is not stalled: one
// that is slowed tenfold still does 3% of its work in the time allowed.
#ifndef THORNPLANK_WORKLOAD_STALL_RULE_H_
#define THORNPLANK_WORKLOAD_STALL_RULE_H_

#include "base/time.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct StallRuleSettings {
  WorkerBounds bounds;
  // A run may show no progress for the time in which it should do this share
  // of its work.
  double share = 0.3;
  // Bounds on that time. Percentages are whole numbers, and a worker may be
  // busy for a moment; beyond the longest time even a slow run advances.
  Milliseconds min_time{1200};
  Milliseconds max_time{5000};
};

class StallRule {
 public:
  explicit StallRule(StallRuleSettings settings) : settings_(settings) {}

  // `normal` is the duration of a whole task near its data on a worker of speed
  // 1 as its siblings show it; zero if they do not. Then the run's own rate
  // before it stopped counts, and before it has one, its estimate.
  bool IsStalled(const WorkerTracker& worker, const TrackedRun& run,
                 Duration normal) const;
  // How long the run may show no progress.
  Duration Bound(const WorkerTracker& worker, const TrackedRun& run,
                 Duration normal) const;

 private:
  const StallRuleSettings settings_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_STALL_RULE_H_
