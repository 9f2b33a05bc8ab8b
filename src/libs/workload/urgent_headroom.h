// How many workers steps of lower priority leave empty for urgent steps of one
// service.
//
// Urgent gangs arrive in waves. The recent peak of what they used tells how
// much the next wave needs; what runs and waits already is part of that. Not
// thread-safe.
#ifndef THORNPLANK_WORKLOAD_URGENT_HEADROOM_H_
#define THORNPLANK_WORKLOAD_URGENT_HEADROOM_H_

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "workload/resources.h"

namespace thornplank {

struct UrgentHeadroomSettings {
  // Lower bound, as a share of the usable workers, while urgent steps come: a
  // wave that is larger than the one before finds room too, and so does the
  // first one after a change of leader.
  double least_share = 0.2;
  // Upper bound on the share of the usable workers.
  double max_share = 0.3;
  // Without an urgent step for this long, nothing is left empty.
  Milliseconds retention{5000};
  // Time constant of the decay of the peak: longer than an urgent run, shorter
  // than the pause between two waves.
  Milliseconds decay{10000};
};

// Use by urgent steps, measured in workers.
struct UrgentUse {
  // By running and waiting tasks.
  double workers = 0;
  // Workers needed by the largest step that is waiting; 0 if none is.
  int64_t largest_step = 0;
  // Urgent steps wait, or a new leader has found urgent runs.
  bool seen = false;
};

// The largest share that a task takes of any resource of a worker, from 0 to 1.
double WorkerShare(const Resources& need, const Resources& worker);
// Workers of that capacity needed for a number of tasks.
int64_t WorkersNeeded(const Resources& need, int64_t tasks,
                      const Resources& worker);

class UrgentHeadroom {
 public:
  explicit UrgentHeadroom(UrgentHeadroomSettings settings)
      : settings_(settings) {}

  // Called in every round, before Workers().
  void Observe(const UrgentUse& use, Time now);
  // Workers to leave empty, of `usable` ones.
  int64_t Workers(int64_t usable) const;
  bool observed() const { return observed_.has_value(); }

 private:
  UrgentHeadroomSettings settings_;
  // When the use was last observed.
  std::optional<Time> observed_;
  std::optional<Time> last_seen_;
  // Invariant: peak_ >= current_.
  double peak_ = 0;
  double current_ = 0;
  // The largest step of the retention time, and when it was last seen.
  int64_t largest_step_ = 0;
  Time largest_seen_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_URGENT_HEADROOM_H_
