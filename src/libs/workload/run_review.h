// Decides which runs should stop because of their progress or the state of
// their workers.
//
// A stalled run occupies its room for nothing; a run on a worker that leaves
// may save its work in time; a run on a very slow worker would end sooner
// elsewhere.
#ifndef THORNPLANK_WORKLOAD_RUN_REVIEW_H_
#define THORNPLANK_WORKLOAD_RUN_REVIEW_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "workload/speed_estimator.h"
#include "workload/stall_rule.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct RunReviewSettings {
  WorkerBounds bounds;
  // A run whose percentage has not changed for longer is stopped: even a run
  // that is slowed down and far from its data advances every two or three
  // seconds. Where workers are compared, StallRule finds most stalls earlier.
  Milliseconds stall_after{5000};
};

// A run that should stop.
struct RunVerdict {
  TaskRef task;
  int run = 0;
  std::string reason;
  // It made no progress, which counts against its worker.
  bool stalled = false;
};

class RunReview {
 public:
  explicit RunReview(RunReviewSettings settings);

  // Updates the worker's speed from its last report, which its tracker has
  // processed.
  void Observe(WorkerTracker* worker, Time now);
  std::vector<RunVerdict> FindRunsToStop(WorkerTracker* worker, Time now) const;
  // Drops observations that are too old to matter.
  void DropStale(Time now) { speeds_.DropStale(now); }

  const SpeedEstimator& speeds() const { return speeds_; }

 private:
  bool IsStalled(const WorkerTracker& worker, const TrackedRun& run,
                 Time now) const;
  // Empty when the run should continue.
  std::string ReasonToStop(const WorkerTracker& worker, const TrackedRun& run,
                           Time now) const;

  const RunReviewSettings settings_;
  const StallRule stall_rule_;
  SpeedEstimator speeds_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_RUN_REVIEW_H_
