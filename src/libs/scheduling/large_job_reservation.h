// A reservation for a large job that has waited too long. There is at most one.
//
// It consists of workers and a start time. Other jobs may be backfilled on
// these workers if they are expected to end before the start. As the expected
// run times may be wrong, each start that passes without the job being placed
// counts as a delay. After a limited number of delays the reservation is
// exhausted and the scheduler claims accelerators for the job.
#ifndef THORNPLANK_SCHEDULING_LARGE_JOB_RESERVATION_H_
#define THORNPLANK_SCHEDULING_LARGE_JOB_RESERVATION_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/cluster_model.h"
#include "scheduling/placement_search.h"

namespace thornplank {

// Accelerators that are expected to become free at `at`.
struct ExpectedRelease {
  Time at;
  WorkerIndex worker = kNoWorker;
  int accelerators = 0;
};

// The earliest time at which a gang is expected to fit, and its workers then.
struct EarliestStart {
  Time at;
  Placement placement;
};

// When and where `shape` first fits if `room` is free now and `releases`
// follow. nullopt if it does not fit even after the last release.
std::optional<EarliestStart> FindEarliestStart(
    const ClusterModel& cluster, const Shape& shape, AcceleratorsByWorker room,
    std::vector<ExpectedRelease> releases, Time now, const PlacementCost& cost);

class LargeJobReservation {
 public:
  explicit LargeJobReservation(int max_delays);

  bool active() const { return !job_.empty(); }
  const std::string& job() const { return job_; }
  Time start() const { return start_; }
  int delays() const { return delays_; }
  // Whether the allowed number of delays is used up.
  bool exhausted() const { return delays_ >= max_delays_; }

  // Sets or updates the reservation. The delays are reset if `job` is a
  // different job than before.
  void Reserve(const std::string& job, const Shape& shape,
               const EarliestStart& earliest);
  void Clear();
  // The start passed without the job being placed.
  void CountDelay() { ++delays_; }

  // Whether a job that is expected to end at `expected_end` may be backfilled
  // on the reserved workers.
  bool EndsInTime(Time expected_end) const;
  // Subtracts from `room` the accelerators that the job needs at the start.
  // `in_use_at_start` are those in use that are not expected to be free by
  // then.
  void SubtractReserved(const ClusterModel& cluster,
                        const AcceleratorsByWorker& in_use_at_start,
                        AcceleratorsByWorker* room) const;
  // Whether a worker of the reservation is no longer usable.
  bool HasUnusableWorker(const ClusterModel& cluster) const;

 private:
  const int max_delays_;
  std::string job_;
  Shape shape_;
  Placement placement_;
  Time start_;
  int delays_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_LARGE_JOB_RESERVATION_H_
