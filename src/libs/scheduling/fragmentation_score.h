// Measures how well free accelerators can serve the declared large shapes.
//
// Fragmentation, as reported, is the share of the free accelerators that cannot
// serve the declared large shapes, averaged over the shapes by weight.
// Placements are scored accordingly, by the capacity for these shapes that they
// take away.
#ifndef THORNPLANK_SCHEDULING_FRAGMENTATION_SCORE_H_
#define THORNPLANK_SCHEDULING_FRAGMENTATION_SCORE_H_

#include <vector>

#include "scheduling/cluster_model.h"
#include "scheduling/job_types.h"

namespace thornplank {

struct WeightedShape {
  Shape shape;
  double weight = 1;
};

class FragmentationScore {
 public:
  explicit FragmentationScore(const ClusterModel& cluster);

  // Sets the large shapes that should remain placeable; normalizes weights.
  void SetShapes(std::vector<WeightedShape> shapes);
  const std::vector<WeightedShape>& shapes() const { return shapes_; }

  // Accelerators, averaged over the large shapes, that `rack` can no longer
  // serve them with once `share` of a gang is placed there. `room` are the free
  // accelerators before that.
  double Loss(int rack, const Placement& share, int accelerators_per_member,
              const AcceleratorsByWorker& room) const;
  // Share of the accelerators in `room` that cannot serve the shapes, averaged
  // by weight. 0 if nothing is free or no shape is declared.
  double Fragmentation(const AcceleratorsByWorker& room) const;

 private:
  // Accelerators that serve the shape when one rack has `slots` slots for its
  // members.
  double ServedAccelerators(const Shape& shape, int slots) const;

  const ClusterModel& cluster_;
  std::vector<WeightedShape> shapes_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_FRAGMENTATION_SCORE_H_
