// Which gangs should stop, for what their members or the members' workers show.
//
// A gang runs, is saved, and ends as a whole, so it is judged as a whole: its
// slowest member decides when it ends, and all that it has done counts when it
// is to begin anew. When it stops, all members stop at one moment.
#ifndef THORNPLANK_WORKLOAD_GANG_REVIEW_H_
#define THORNPLANK_WORKLOAD_GANG_REVIEW_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/speed_estimator.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct GangReviewSettings {
  WorkerBounds bounds;
  // A member stands still when it does nothing for as long as others need for
  // this share of the gang's work. One that is slowed tenfold does 3% of it
  // meanwhile.
  double stall_share = 0.3;
  // But no sooner: progress is told in whole percents, and members begin a
  // little apart.
  Milliseconds least_stall{1000};
  // Workers leave a little later than they announce. A gang that saves nothing
  // is stopped at once if it would not be done even so: its members would work
  // on for nothing, and it would begin elsewhere only when the worker is gone.
  Milliseconds late_leave{500};
  // A gang on a slow worker begins anew elsewhere only when the worker has been
  // slow for longer than a spell of slowness lasts. Sooner it would throw away
  // what all members have done, and mostly be no earlier.
  std::chrono::seconds spell{8};
};

// A member that should stop.
struct GangVerdict {
  std::string worker;
  TaskRef task;
  int run = 0;
  std::string reason;
  // Its worker let it stand still.
  bool stalled = false;
};

class GangReview {
 public:
  explicit GangReview(GangReviewSettings settings) : settings_(settings) {}

  std::vector<GangVerdict> FindRunsToStop(
      const std::map<std::string, WorkerTracker>& workers,
      const SpeedEstimator& speeds, Time now) const;

 private:
  struct Member {
    const WorkerTracker* worker = nullptr;
    const TrackedRun* run = nullptr;
  };
  using Gang = std::vector<Member>;

  // "" when it should go on; else `stalled` gets the member that stands still,
  // if one does.
  std::string ReasonToStop(const Gang& gang, const SpeedEstimator& speeds,
                           Time now, const Member** stalled) const;
  // The member's worker leaves before the gang has `left` done.
  bool EndsWithWorker(const Member& member, Duration left, Time now) const;
  bool StandsStill(const Member& member, Duration sound) const;
  bool IsSlowForGood(const Member& member, Duration sound, Time now) const;

  const GangReviewSettings settings_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GANG_REVIEW_H_
