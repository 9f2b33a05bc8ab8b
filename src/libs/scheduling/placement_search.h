// Finds workers for one gang within the given free accelerators.
//
// The search goes rack by rack, so that its cost grows linearly with the number
// of workers. A gang that must lie in one rack gets the cheapest rack that
// holds all of it. Any other gang gets the cheapest single rack, or fills
// several racks in order of cost if that is cheaper. Within a rack, workers are
// taken in order of cost; at equal cost the fullest worker that holds a member
// comes first (best fit).
#ifndef THORNPLANK_SCHEDULING_PLACEMENT_SEARCH_H_
#define THORNPLANK_SCHEDULING_PLACEMENT_SEARCH_H_

#include <optional>
#include <vector>

#include "scheduling/cluster_model.h"
#include "scheduling/job_types.h"

namespace thornplank {

// The cost of a placement. Lower is better.
class PlacementCost {
 public:
  virtual ~PlacementCost() = default;
  // Cost of one member on `worker`.
  virtual double WorkerCost(WorkerIndex worker) const = 0;
  // Additional cost of placing `share` of a gang in `rack`. `room` are the free
  // accelerators before that.
  virtual double RackCost(int rack, const Placement& share,
                          int accelerators_per_member,
                          const AcceleratorsByWorker& room) const = 0;
};

// All placements cost the same, which results in plain best fit.
class NoPlacementCost : public PlacementCost {
 public:
  double WorkerCost(WorkerIndex worker) const override;
  double RackCost(int rack, const Placement& share, int accelerators_per_member,
                  const AcceleratorsByWorker& room) const override;
};

// Workers for `shape` on the accelerators in `room`, or nullopt if none fit.
std::optional<Placement> FindPlacement(const ClusterModel& cluster,
                                       const Shape& shape,
                                       const AcceleratorsByWorker& room,
                                       const PlacementCost& cost);

// Whether FindPlacement would find a placement; cheaper than finding it.
bool Fits(const ClusterModel& cluster, const Shape& shape,
          const AcceleratorsByWorker& room);

// The worker of each member, one entry per member.
std::vector<WorkerIndex> MemberWorkers(const Placement& placement);

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_PLACEMENT_SEARCH_H_
