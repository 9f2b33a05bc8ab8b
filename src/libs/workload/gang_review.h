// Decides which gangs should stop because of the progress of their members or
// the state of the workers.
//
// A gang runs, is checkpointed and ends as a whole, so it is judged as a whole:
// its slowest member decides when it ends, and the work of all members is at
// stake when it is restarted. When it stops, all members stop at the same time.
#ifndef THORNPLANK_WORKLOAD_GANG_REVIEW_H_
#define THORNPLANK_WORKLOAD_GANG_REVIEW_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/speed_estimator.h"
#include "workload/stall_rule.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct GangReviewSettings {
  WorkerBounds bounds;
  // A member is stalled when it makes no progress for the time in which a
  // healthy worker does this share of the gang's work. A member that is slowed
  // tenfold does 3% of it in that time.
  double stall_share = 0.3;
  // Lower bound on the time above: progress is reported in whole percents, and
  // members do not start at exactly the same time.
  Milliseconds min_stall_time{1000};
  // Workers leave a little later than they announce. A gang without checkpoints
  // is stopped at once if it would not finish even by then: its work would be
  // lost, and it would restart elsewhere only after the worker has gone.
  Milliseconds departure_grace{500};
  // A gang on a slow worker is restarted elsewhere only when the worker has
  // been slow for longer than temporary slowness lasts. An earlier restart
  // would lose the work of all members and mostly finish no sooner.
  std::chrono::seconds slow_period{8};
};

// A member that should stop.
struct GangVerdict {
  std::string worker;
  TaskRef task;
  int run = 0;
  std::string reason;
  // The member made no progress, which counts against its worker.
  bool stalled = false;
};

class GangReview {
 public:
  explicit GangReview(GangReviewSettings settings);

  std::vector<GangVerdict> FindRunsToStop(
      const std::vector<const WorkerTracker*>& workers,
      const SpeedEstimator& speeds, Time now) const;

 private:
  struct Member {
    const WorkerTracker* worker = nullptr;
    const TrackedRun* run = nullptr;
  };
  using Gang = std::vector<Member>;

  // Empty when the gang should continue. Otherwise `*stalled` is set to the
  // members that make no progress because of their workers.
  std::string ReasonToStop(const Gang& gang, const SpeedEstimator& speeds,
                           Time now, std::vector<const Member*>* stalled) const;
  // Members that make no progress, by the rules for workers that are compared.
  std::vector<const Member*> FindStalled(const Gang& gang,
                                         Duration normal) const;
  // Whether the member's worker leaves before the gang, which needs another
  // `left`, ends.
  bool WorkerLeavesBefore(const Member& member, Duration left, Time now) const;
  bool IsStalled(const Member& member, Duration normal) const;
  bool IsPersistentlySlow(const Member& member, Duration normal,
                          Time now) const;

  const GangReviewSettings settings_;
  const StallRule stall_rule_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GANG_REVIEW_H_
