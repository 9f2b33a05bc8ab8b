// Finds workers for one gang within given room.
//
// Works rack by rack, so that its cost grows linearly with the workers: a
// rack-adjacent gang takes the cheapest rack that holds it whole, any other
// gang fills racks from the cheapest on. Within a rack the fullest workers
// that still hold a member come first.
#ifndef THORNPLANK_SCHEDULING_PLACEMENT_SEARCH_H_
#define THORNPLANK_SCHEDULING_PLACEMENT_SEARCH_H_

#include <optional>
#include <vector>

#include "scheduling/cluster_model.h"
#include "scheduling/job_types.h"

namespace thornplank {

// What using a worker costs beside the room itself; lower is better.
class PlacementCost {
 public:
  virtual ~PlacementCost() = default;
  // Cost of one member on `worker`.
  virtual double WorkerCost(WorkerIndex worker) const = 0;
  // Cost of the whole change in `rack`: `share` is placed there, leaving
  // `room_after` in place of `room` on the workers of `share`.
  virtual double RackCost(int rack, const Placement& share,
                          int accelerators_per_member,
                          const AcceleratorsByWorker& room) const = 0;
};

// Nothing costs anything: plain best fit.
class NoPlacementCost : public PlacementCost {
 public:
  double WorkerCost(WorkerIndex worker) const override;
  double RackCost(int rack, const Placement& share, int accelerators_per_member,
                  const AcceleratorsByWorker& room) const override;
};

// Workers for `shape` within `room` (by WorkerIndex), or nullopt.
std::optional<Placement> FindPlacement(const ClusterModel& cluster,
                                       const Shape& shape,
                                       const AcceleratorsByWorker& room,
                                       const PlacementCost& cost);

// Whether `room` holds `shape` at all; cheaper than FindPlacement.
bool Fits(const ClusterModel& cluster, const Shape& shape,
          const AcceleratorsByWorker& room);

// The worker of each member, in order.
std::vector<WorkerIndex> MemberWorkers(const Placement& placement);

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_PLACEMENT_SEARCH_H_
