#include "scheduling/large_job_reservation.h"

#include <algorithm>

namespace thornplank {
namespace {

// Counts how many members of a shape fit, in all and in each rack, while
// accelerators are released.
class SlotCounter {
 public:
  SlotCounter(const ClusterModel& cluster, const Shape& shape,
              AcceleratorsByWorker* room)
      : cluster_(cluster),
        shape_(shape),
        room_(*room),
        rack_slots_(cluster.rack_count(), 0) {
    for (WorkerIndex i = 0; i < cluster.size(); ++i) Add(i, SlotsOn(i));
  }

  void Release(WorkerIndex worker, int accelerators) {
    const int before = SlotsOn(worker);
    room_[worker] += accelerators;
    Add(worker, SlotsOn(worker) - before);
  }
  bool Fits() const {
    const bool rack = shape_.adjacency == Adjacency::kRack;
    return (rack ? most_in_rack_ : total_) >= shape_.members;
  }

 private:
  int SlotsOn(WorkerIndex worker) const {
    return std::max(0, room_[worker]) / shape_.accelerators_per_member;
  }
  void Add(WorkerIndex worker, int slots) {
    int& in_rack = rack_slots_[cluster_.rack_of(worker)];
    in_rack += slots;
    total_ += slots;
    most_in_rack_ = std::max(most_in_rack_, in_rack);
  }

  const ClusterModel& cluster_;
  const Shape shape_;
  AcceleratorsByWorker& room_;
  std::vector<int> rack_slots_;
  int total_ = 0;
  int most_in_rack_ = 0;
};

}  // namespace

std::optional<EarliestStart> FindEarliestStart(
    const ClusterModel& cluster, const Shape& shape, AcceleratorsByWorker room,
    std::vector<ExpectedRelease> releases, Time now,
    const PlacementCost& cost) {
  std::sort(releases.begin(), releases.end(),
            [](const ExpectedRelease& a, const ExpectedRelease& b) {
              return a.at < b.at;
            });
  SlotCounter slots(cluster, shape, &room);
  Time at = now;
  auto release = releases.begin();
  while (!slots.Fits()) {
    if (release == releases.end()) return std::nullopt;
    at = std::max(now, release->at);
    slots.Release(release->worker, release->accelerators);
    ++release;
  }
  std::optional<Placement> placement =
      FindPlacement(cluster, shape, room, cost);
  if (!placement) return std::nullopt;
  return EarliestStart{at, std::move(*placement)};
}

LargeJobReservation::LargeJobReservation(int max_delays)
    : max_delays_(max_delays) {}

void LargeJobReservation::Reserve(const std::string& job, const Shape& shape,
                                  const EarliestStart& earliest) {
  if (job != job_) delays_ = 0;
  job_ = job;
  shape_ = shape;
  placement_ = earliest.placement;
  start_ = earliest.at;
}

void LargeJobReservation::Clear() {
  job_.clear();
  placement_.clear();
  delays_ = 0;
}

bool LargeJobReservation::EndsInTime(Time expected_end) const {
  return !exhausted() && expected_end <= start_;
}

void LargeJobReservation::SubtractReserved(
    const ClusterModel& cluster, const AcceleratorsByWorker& in_use_at_start,
    AcceleratorsByWorker* room) const {
  for (const WorkerShare& share : placement_) {
    const int reserved = share.members * shape_.accelerators_per_member;
    const int left = cluster.capacity(share.worker) - reserved -
                     in_use_at_start[share.worker];
    (*room)[share.worker] =
        std::clamp(left, 0, std::max(0, (*room)[share.worker]));
  }
}

bool LargeJobReservation::HasUnusableWorker(const ClusterModel& cluster) const {
  return std::any_of(placement_.begin(), placement_.end(),
                     [&cluster](const WorkerShare& share) {
                       return cluster.capacity(share.worker) == 0;
                     });
}

}  // namespace thornplank
