// What weighs on the choice of workers: displaced work, large shapes that
// become impossible, and workers where the job failed before.
#ifndef THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_
#define THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_

#include <vector>

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
                  const Room& room) const override;

 private:
  const ClusterModel& cluster_;
  const FragmentationScore& fragmentation_;
  const std::vector<double>& displacement_;
  const JobRecord& job_;
};

// For gangs that use free accelerators only.
class BorrowingCost : public PlacementCost {
 public:
  // `set_aside` is what guarantees hold unused, by worker.
  BorrowingCost(const FragmentationScore& fragmentation, const Room& set_aside,
                const Room& room, const JobRecord& job);

  double WorkerCost(WorkerIndex worker) const override;
  double RackCost(int rack, const Placement& share, int accelerators_per_member,
                  const Room& room) const override;

 private:
  const FragmentationScore& fragmentation_;
  const Room& set_aside_;
  const Room& room_;
  const JobRecord& job_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_PLACEMENT_COSTS_H_
