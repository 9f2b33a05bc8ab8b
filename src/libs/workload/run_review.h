// Which runs should stop for what they or their workers show.
//
// A run that stands still holds its room for nothing; one on a worker that
// leaves may save its work in time; one on a worker that is far too slow would
// end sooner elsewhere.
#ifndef THORNPLANK_WORKLOAD_RUN_REVIEW_H_
#define THORNPLANK_WORKLOAD_RUN_REVIEW_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "workload/speed_estimator.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct RunReviewSettings {
  WorkerBounds bounds;
  // A run whose percentage stands still for longer is stopped: one that is
  // slowed and far from its data still moves every two or three seconds.
  Milliseconds stall_after{5000};
};

// A run that should stop.
struct RunVerdict {
  TaskRef task;
  int run = 0;
  std::string reason;
};

class RunReview {
 public:
  explicit RunReview(RunReviewSettings settings) : settings_(settings) {}

  // What a report, which the worker's tracker has taken in, tells of its speed.
  void Observe(WorkerTracker* worker, Time now);
  // A run that stands still counts against its worker as well.
  std::vector<RunVerdict> FindRunsToStop(WorkerTracker* worker, Time now) const;
  // Drops what is too old to matter.
  void DropStale(Time now) { speeds_.DropStale(now); }

  const SpeedEstimator& speeds() const { return speeds_; }

 private:
  // "" when it should go on.
  std::string ReasonToStop(const WorkerTracker& worker, const TrackedRun& run,
                           Time now) const;

  const RunReviewSettings settings_;
  SpeedEstimator speeds_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_RUN_REVIEW_H_
