#include "scheduling/placement_costs.h"

#include <algorithm>

namespace thornplank {
namespace {

// Displacing anyone weighs more than any loss of large shapes.
constexpr double kDisplacing = 1e4;
constexpr double kFailedThere = 1e9;
// Borrowing what a guarantee may soon call back, per accelerator.
constexpr double kOnGuarantee = 0.05;
// Each second by which a rack comes free later than without the gang, in
// accelerators of large shapes lost.
constexpr double kRackHeldLonger = 0.2;

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
  double cost = FailedOn(job_, worker) ? kFailedThere : 0;
  if (displaced > 0) {
    cost += kDisplacing + displaced * displacement_[worker];
  }
  return cost;
}

double DisplacingCost::RackCost(int rack, const Placement& share,
                                int accelerators_per_member,
                                const AcceleratorsByWorker& room) const {
  return fragmentation_.Loss(rack, share, accelerators_per_member, room);
}

BorrowingCost::BorrowingCost(const BorrowingView& view,
                             const AcceleratorsByWorker& room,
                             const JobRecord& job, Time expected_end)
    : view_(view), room_(room), job_(job), expected_end_(expected_end) {}

double BorrowingCost::WorkerCost(WorkerIndex worker) const {
  const int needed = job_.spec.shape.accelerators_per_member;
  const int clear = std::max(0, room_[worker] - view_.set_aside[worker]);
  return kOnGuarantee * std::max(0, needed - clear);
}

double BorrowingCost::RackCost(int rack, const Placement& share,
                               int accelerators_per_member,
                               const AcceleratorsByWorker& room) const {
  const std::chrono::duration<double> longer =
      expected_end_ - view_.rack_ends[rack];
  return view_.fragmentation.Loss(rack, share, accelerators_per_member, room) +
         kRackHeldLonger * std::max(0.0, longer.count());
}

}  // namespace thornplank
