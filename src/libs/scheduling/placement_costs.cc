#include "scheduling/placement_costs.h"

#include <algorithm>

namespace thornplank {
namespace {

// Cost of displacing any borrower; exceeds the cost of any loss of large
// shapes.
constexpr double kDisplacementCost = 1e4;
// Cost of a worker on which the job has failed; far above that of displacement.
constexpr double kPreviousFailureCost = 1e9;
// Cost per borrowed accelerator that a guarantee may soon reclaim.
constexpr double kReservedAcceleratorCost = 0.05;
// Cost per second by which the gang delays the time at which its rack is
// entirely free, in accelerators lost to large shapes.
constexpr double kRackExtensionCostPerSecond = 0.2;

bool FailedOn(const JobRecord& job, WorkerIndex worker) {
  return std::find(job.failed_on.begin(), job.failed_on.end(), worker) !=
         job.failed_on.end();
}

}  // namespace

DisplacingCost::DisplacingCost(const ClusterModel& cluster,
                               const FragmentationScore& fragmentation,
                               const std::vector<double>& displacement,
                               const JobRecord& job)
    : cluster_(cluster),
      fragmentation_(fragmentation),
      displacement_(displacement),
      job_(job) {}

double DisplacingCost::WorkerCost(WorkerIndex worker) const {
  const int needed = job_.spec.shape.accelerators_per_member;
  const int displaced = std::max(0, needed - cluster_.free(worker));
  double cost = FailedOn(job_, worker) ? kPreviousFailureCost : 0;
  if (displaced > 0) {
    cost += kDisplacementCost + displaced * displacement_[worker];
  }
  return cost;
}

double DisplacingCost::RackCost(int rack, const Placement& share,
                                int accelerators_per_member,
                                const AcceleratorsByWorker& room) const {
  return fragmentation_.Loss(rack, share, accelerators_per_member, room);
}

BorrowingCost::BorrowingCost(const BorrowingContext& view,
                             const AcceleratorsByWorker& room,
                             const JobRecord& job, Time expected_end)
    : view_(view), room_(room), job_(job), expected_end_(expected_end) {}

double BorrowingCost::WorkerCost(WorkerIndex worker) const {
  const int needed = job_.spec.shape.accelerators_per_member;
  const int unreserved =
      std::max(0, room_[worker] - view_.unused_reserved[worker]);
  return kReservedAcceleratorCost * std::max(0, needed - unreserved);
}

double BorrowingCost::RackCost(int rack, const Placement& share,
                               int accelerators_per_member,
                               const AcceleratorsByWorker& room) const {
  const std::chrono::duration<double> extension =
      expected_end_ - view_.rack_end_times[rack];
  return view_.fragmentation.Loss(rack, share, accelerators_per_member, room) +
         kRackExtensionCostPerSecond * std::max(0.0, extension.count());
}

}  // namespace thornplank
