// The one reservation for a large job that waited too long.
//
// It names workers and a start. Others may run on these workers meanwhile if
// they are expected to end before the start. Expectations are wrong at times:
// each time the start passes without the job being placed counts as a delay,
// and after a bounded number of them the reservation is exhausted, upon which
// the scheduler claims the accelerators for the job.
#ifndef THORNPLANK_SCHEDULING_LARGE_JOB_RESERVATION_H_
#define THORNPLANK_SCHEDULING_LARGE_JOB_RESERVATION_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/cluster_model.h"
#include "scheduling/placement_search.h"

namespace thornplank {

// Accelerators that are expected to come free.
struct ExpectedRelease {
  Time at;
  WorkerIndex worker = kNoWorker;
  int accelerators = 0;
};

struct EarliestStart {
  Time at;
  Placement placement;
};

// When `shape` first fits, given `room` now and `releases` later; nullopt when
// it doesn't after the last of them.
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
  // No more delay is allowed.
  bool exhausted() const { return delays_ >= max_delays_; }

  // For another job than before the delays are counted anew.
  void Reserve(const std::string& job, const Shape& shape,
               const EarliestStart& earliest);
  void Clear();
  // The start passed without the job being placed.
  void CountDelay() { ++delays_; }

  // Whether a job that ends at `expected_end` may use the reserved workers
  // without regard to the reservation.
  bool EndsInTime(Time expected_end) const;
  // Takes from `room` what the job needs at the start. `outlasting` holds, per
  // worker, the accelerators in use that are not expected free by then.
  void KeepFree(const ClusterModel& cluster,
                const AcceleratorsByWorker& outlasting,
                AcceleratorsByWorker* room) const;
  // Whether a worker of the reservation can no longer be used.
  bool LostWorker(const ClusterModel& cluster) const;

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
