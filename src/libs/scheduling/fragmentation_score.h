// How many of the declared large shapes free accelerators can still serve.
//
// The same figure scores placements and is reported: the fragmentation of a
// moment is the share of free accelerators that cannot serve the declared
// large shapes, taken over the shapes by their weight.
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

  // The large shapes that should stay possible; weights are normalized.
  void SetShapes(std::vector<WeightedShape> shapes);
  const std::vector<WeightedShape>& shapes() const { return shapes_; }

  // Accelerators' worth of large shapes that `rack` can serve less when
  // `share` of a gang is placed into `room` there.
  double Loss(int rack, const Placement& share, int accelerators_per_member,
              const AcceleratorsByWorker& room) const;
  // Share of the accelerators in `room` that serve none of the shapes, by
  // weight; 0 when nothing is free or no shape is declared.
  double Fragmentation(const AcceleratorsByWorker& room) const;

 private:
  // Accelerators of `slots` member slots in one rack that serve the shape.
  double Served(const Shape& shape, int slots) const;

  const ClusterModel& cluster_;
  std::vector<WeightedShape> shapes_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_FRAGMENTATION_SCORE_H_
