#include "scheduling/placement_costs.h"

#include <algorithm>

namespace thornplank {
namespace {

// Displacing anyone weighs more than any loss of large shapes.
constexpr double kDisplacing = 1e4;
constexpr double kFailedThere = 1e9;
// Borrowing what a guarantee may soon call back, per accelerator.
constexpr double kOnGuarantee = 0.05;

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
                                const Room& room) const {
  return fragmentation_.Loss(rack, share, accelerators_per_member, room);
}

BorrowingCost::BorrowingCost(const FragmentationScore& fragmentation,
                             const Room& set_aside, const Room& room,
                             const JobRecord& job)
    : fragmentation_(fragmentation),
      set_aside_(set_aside),
      room_(room),
      job_(job) {}

double BorrowingCost::WorkerCost(WorkerIndex worker) const {
  const int needed = job_.spec.shape.accelerators_per_member;
  const int clear = std::max(0, room_[worker] - set_aside_[worker]);
  return kOnGuarantee * std::max(0, needed - clear);
}

double BorrowingCost::RackCost(int rack, const Placement& share,
                               int accelerators_per_member,
                               const Room& room) const {
  return fragmentation_.Loss(rack, share, accelerators_per_member, room);
}

}  // namespace thornplank
