// Cost functions for the choice of workers. They weigh displaced work, large
// shapes that can no longer be placed, and workers on which the job has failed.
#ifndef THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_
#define THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_

#include <vector>

#include "base/time.h"
#include "scheduling/fragmentation_score.h"
#include "scheduling/job_record.h"
#include "scheduling/placement_search.h"

namespace thornplank {

// Cost for gangs that may displace borrowers.
class DisplacingCost : public PlacementCost {
 public:
  // `displacement` is the work lost per displaced accelerator, by worker. All
  // references must outlive the object.
  DisplacingCost(const ClusterModel& cluster,
                 const FragmentationScore& fragmentation,
                 const std::vector<double>& displacement, const JobRecord& job);

  double WorkerCost(WorkerIndex worker) const override;
  double RackCost(int rack, const Placement& share, int accelerators_per_member,
                  const AcceleratorsByWorker& room) const override;

 private:
  const ClusterModel& cluster_;
  const FragmentationScore& fragmentation_;
  const std::vector<double>& displacement_;
  const JobRecord& job_;
};

// Input to BorrowingCost that is the same for all jobs of a round.
struct BorrowingContext {
  const FragmentationScore& fragmentation;
  // Accelerators that guarantees reserve and do not use.
  const AcceleratorsByWorker& unused_reserved;
  // When the last gang of each rack is expected to end.
  const std::vector<Time>& rack_end_times;
};

// Cost for gangs that use free accelerators only. Long gangs prefer racks whose
// current gangs end late anyway, so that other racks become entirely free.
class BorrowingCost : public PlacementCost {
 public:
  // `expected_end` is the expected end of the gang. All references must outlive
  // the object.
  BorrowingCost(const BorrowingContext& view, const AcceleratorsByWorker& room,
                const JobRecord& job, Time expected_end);

  double WorkerCost(WorkerIndex worker) const override;
  double RackCost(int rack, const Placement& share, int accelerators_per_member,
                  const AcceleratorsByWorker& room) const override;

 private:
  const BorrowingContext view_;
  const AcceleratorsByWorker& room_;
  const JobRecord& job_;
  const Time expected_end_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_
