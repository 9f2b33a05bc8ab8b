// What weighs on the choice of workers: displaced work, large shapes that
// become impossible, and workers where the job failed before.
#ifndef THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_
#define THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_

#include <vector>

#include "base/time.h"
#include "scheduling/fragmentation_score.h"
#include "scheduling/job_record.h"
#include "scheduling/placement_search.h"

namespace thornplank {

// For gangs that may displace borrowers.
class DisplacingCost : public PlacementCost {
 public:
  // `displacement` is the work lost per accelerator by worker. All references
  // outlive the object.
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

// What borrowing weighs, shared by the jobs of one round.
struct BorrowingView {
  const FragmentationScore& fragmentation;
  // What guarantees hold unused, by worker.
  const AcceleratorsByWorker& set_aside;
  // When the last gang of each rack is expected to end.
  const std::vector<Time>& rack_ends;
};

// For gangs that use free accelerators only. Racks whose gangs end late anyway
// are preferred for long gangs, so that others come free as a whole.
class BorrowingCost : public PlacementCost {
 public:
  // `expected_end` is that of the gang. The references outlive the object.
  BorrowingCost(const BorrowingView& view, const AcceleratorsByWorker& room,
                const JobRecord& job, Time expected_end);

  double WorkerCost(WorkerIndex worker) const override;
  double RackCost(int rack, const Placement& share, int accelerators_per_member,
                  const AcceleratorsByWorker& room) const override;

 private:
  const BorrowingView view_;
  const AcceleratorsByWorker& room_;
  const JobRecord& job_;
  const Time expected_end_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_
