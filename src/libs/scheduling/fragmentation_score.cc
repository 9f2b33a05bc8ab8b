#include "scheduling/fragmentation_score.h"

#include <algorithm>

namespace thornplank {
namespace {

// Slots that do not make up a whole gang in a rack count with this weight, so
// that racks that are close to holding a gang are fragmented last.
constexpr double kPartialRackShare = 0.2;

}  // namespace

FragmentationScore::FragmentationScore(const ClusterModel& cluster)
    : cluster_(cluster) {}

void FragmentationScore::SetShapes(std::vector<WeightedShape> shapes) {
  double total = 0;
  for (const WeightedShape& shape : shapes) total += shape.weight;
  for (WeightedShape& shape : shapes) shape.weight /= total;
  shapes_ = std::move(shapes);
}

double FragmentationScore::ServedAccelerators(const Shape& shape,
                                              int slots) const {
  const int size = shape.accelerators_per_member;
  if (shape.adjacency == Adjacency::kAnywhere) return 1.0 * slots * size;
  const int gangs = slots / shape.members;
  const int remaining = slots - gangs * shape.members;
  return 1.0 * size * (gangs * shape.members + kPartialRackShare * remaining);
}

double FragmentationScore::Loss(int rack, const Placement& share,
                                int accelerators_per_member,
                                const AcceleratorsByWorker& room) const {
  double loss = 0;
  for (const WeightedShape& weighted : shapes_) {
    const int size = weighted.shape.accelerators_per_member;
    int slots = 0;
    if (weighted.shape.adjacency == Adjacency::kRack) {
      for (const WorkerIndex worker : cluster_.rack(rack)) {
        slots += std::max(0, room[worker]) / size;
      }
    }
    int lost_slots = 0;
    for (const WorkerShare& one : share) {
      const int before = std::max(0, room[one.worker]);
      const int after = before - one.members * accelerators_per_member;
      lost_slots += before / size - std::max(0, after) / size;
    }
    slots = std::max(slots, lost_slots);
    loss += weighted.weight *
            (ServedAccelerators(weighted.shape, slots) -
             ServedAccelerators(weighted.shape, slots - lost_slots));
  }
  return loss;
}

double FragmentationScore::Fragmentation(
    const AcceleratorsByWorker& room) const {
  int free = 0;
  for (const int one : room) free += std::max(0, one);
  if (free == 0 || shapes_.empty()) return 0;
  double unusable_share = 0;
  for (const WeightedShape& weighted : shapes_) {
    const Shape& shape = weighted.shape;
    const int size = shape.accelerators_per_member;
    int slots = 0;
    int gangs = 0;
    for (int rack = 0; rack < cluster_.rack_count(); ++rack) {
      int rack_slots = 0;
      for (const WorkerIndex worker : cluster_.rack(rack)) {
        rack_slots += std::max(0, room[worker]) / size;
      }
      slots += rack_slots;
      gangs += rack_slots / shape.members;
    }
    if (shape.adjacency == Adjacency::kAnywhere) gangs = slots / shape.members;
    const double usable = 1.0 * gangs * shape.accelerators();
    unusable_share += weighted.weight * (1 - usable / free);
  }
  return unusable_share;
}

}  // namespace thornplank
