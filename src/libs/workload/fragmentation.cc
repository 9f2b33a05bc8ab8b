// Looks at every worker once, then at those with idle accelerators once for
// each shape.
#include "workload/fragmentation.h"

#include <algorithm>
#include <unordered_map>

#include "workload/cluster_capacity.h"

namespace thornplank {
namespace {

// A worker with idle accelerators.
struct IdleWorker {
  Resources free;
  size_t rack = 0;
};

struct IdleCapacity {
  std::vector<IdleWorker> workers;
  // Numbers of the racks.
  std::unordered_map<std::string, size_t> racks;
  int64_t accelerators = 0;
};

int64_t SecondOf(Time time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

std::map<std::string, IdleCapacity> CollectIdle(
    const std::map<std::string, WorkerTracker>& workers, Time now) {
  std::map<std::string, IdleCapacity> services;
  for (const auto& [id, tracker] : workers) {
    if (tracker.availability(now) != WorkerAvailability::kUsable) continue;
    const Resources free = tracker.room();
    if (free.accelerators <= 0 || free.IsOverdrawn()) continue;
    const WorkerRegistration& worker = tracker.registration();
    IdleCapacity& idle = services[worker.service];
    const size_t rack =
        idle.racks.try_emplace(worker.rack, idle.racks.size()).first->second;
    idle.workers.push_back({free, rack});
    idle.accelerators += free.accelerators;
  }
  return services;
}

// The idle accelerators of the workers on which the shape can start.
int64_t UsableAccelerators(const IdleCapacity& idle, const TaskShape& shape) {
  // Of the workers that can hold a member together.
  struct Group {
    int64_t members = 0;
    int64_t accelerators = 0;
  };
  std::vector<Group> groups(shape.one_rack ? idle.racks.size() : 1);
  for (const IdleWorker& worker : idle.workers) {
    const int64_t members = shape.need.TimesIn(worker.free, shape.members);
    if (members == 0) continue;
    Group& group = groups[shape.one_rack ? worker.rack : 0];
    group.members += members;
    group.accelerators += worker.free.accelerators;
  }
  int64_t usable = 0;
  for (const Group& group : groups) {
    if (group.members >= shape.members) usable += group.accelerators;
  }
  return usable;
}

}  // namespace

TaskShape ShapeOf(const StepSpec& step) {
  TaskShape shape;
  shape.need = ReservedFor(step);
  if (!step.gang) return shape;
  shape.members = std::max(step.count, 1);
  shape.one_rack = step.same_rack;
  return shape;
}

void RecentCount::Add(Time now) {
  const int64_t number = SecondOf(now);
  Second& second = seconds_[static_cast<size_t>(number) % kSeconds];
  if (second.number != number) second = {number, 0};
  ++second.events;
  last_ = now;
}

int64_t RecentCount::At(Time now) const {
  static_assert(kWindow == std::chrono::seconds(kSeconds));
  const int64_t oldest = SecondOf(now) - static_cast<int64_t>(kSeconds) + 1;
  int64_t events = 0;
  for (const Second& second : seconds_) {
    if (second.number >= oldest) events += second.events;
  }
  return events;
}

void Fragmentation::OnAsked(const std::string& service, const TaskShape& shape,
                            Time now) {
  if (shape.need.accelerators <= 0) return;
  std::vector<AskedShape>& shapes = shapes_[service];
  auto asked = std::find_if(
      shapes.begin(), shapes.end(),
      [&](const AskedShape& other) { return other.shape == shape; });
  if (asked == shapes.end()) {
    if (shapes.size() < kMaxShapes) {
      shapes.emplace_back();
      asked = shapes.end() - 1;
    } else {
      asked = std::min_element(shapes.begin(), shapes.end(),
                               [](const AskedShape& a, const AskedShape& b) {
                                 return a.count.last() < b.count.last();
                               });
    }
    *asked = {shape, RecentCount()};
  }
  asked->count.Add(now);
}

std::vector<ServiceFragmentation> Fragmentation::Evaluate(
    const std::map<std::string, WorkerTracker>& workers, Time now) const {
  const bool any_recent =
      std::any_of(shapes_.begin(), shapes_.end(), [now](const auto& entry) {
        return std::any_of(
            entry.second.begin(), entry.second.end(),
            [now](const AskedShape& asked) { return asked.count.At(now) > 0; });
      });
  if (!any_recent) return {};
  std::map<std::string, IdleCapacity> services = CollectIdle(workers, now);
  std::vector<ServiceFragmentation> result;
  for (const auto& [service, shapes] : shapes_) {
    const IdleCapacity& idle = services[service];
    ServiceFragmentation measured;
    measured.service = service;
    measured.idle_accelerators = idle.accelerators;
    measured.worker_visits = static_cast<int64_t>(workers.size());
    int64_t weights = 0;
    double unusable = 0;
    for (const AskedShape& asked : shapes) {
      const int64_t weight = asked.count.At(now);
      if (weight == 0) continue;
      ++measured.shapes;
      weights += weight;
      measured.worker_visits += static_cast<int64_t>(idle.workers.size());
      unusable += static_cast<double>(weight) *
                  static_cast<double>(idle.accelerators -
                                      UsableAccelerators(idle, asked.shape));
    }
    if (weights == 0) continue;
    if (idle.accelerators > 0) {
      measured.unusable_share = unusable / static_cast<double>(weights) /
                                static_cast<double>(idle.accelerators);
    }
    result.push_back(std::move(measured));
  }
  return result;
}

}  // namespace thornplank
