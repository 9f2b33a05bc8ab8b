// How much of the idle capacity is of no use to the steps that are asked for.
//
// This is the expected fragmentation as published for FGD (Weng et al., "Beware
// of Fragmentation", USENIX ATC 2023), with whole accelerators and gangs: the
// mean, over the shapes that were asked for recently, of the share of idle
// accelerators on workers on which the shape cannot start. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_FRAGMENTATION_H_
#define THORNPLANK_WORKLOAD_FRAGMENTATION_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_definition.h"
#include "workload/resources.h"
#include "workload/worker_tracker.h"

namespace thornplank {

// What a step needs at once in order to start.
struct TaskShape {
  // Resources of one task.
  Resources need;
  // 1 unless the step is a gang: its tasks start one by one.
  int64_t members = 1;
  bool one_rack = false;
};

inline bool operator==(const TaskShape& a, const TaskShape& b) {
  return a.need == b.need && a.members == b.members && a.one_rack == b.one_rack;
}

TaskShape ShapeOf(const StepSpec& step);

// Counts events of the last kWindow, to a second.
class RecentCount {
 public:
  static constexpr std::chrono::seconds kWindow{30};

  void Add(Time now);
  int64_t At(Time now) const;
  Time last() const { return last_; }

 private:
  static constexpr size_t kSeconds = 30;
  struct Second {
    // Since the epoch of the clock.
    int64_t number = 0;
    int64_t events = 0;
  };

  // By the number of the second modulo kSeconds.
  std::array<Second, kSeconds> seconds_;
  Time last_{};
};

struct ServiceFragmentation {
  std::string service;
  // On the workers that may be given tasks.
  int64_t idle_accelerators = 0;
  // Between 0 and 1; 0 if none is idle.
  double unusable_share = 0;
  // The number of shapes that were considered.
  size_t shapes = 0;
  // The cost of this evaluation: how many times a worker was looked at.
  int64_t worker_visits = 0;
};

class Fragmentation {
 public:
  // Per service. Bounds the cost, which is proportional to workers times
  // shapes.
  static constexpr size_t kMaxShapes = 32;

  // A step was asked for. Shapes without accelerators are ignored: no idle
  // accelerator is of use to them, however the work is placed.
  void OnAsked(const std::string& service, const TaskShape& shape, Time now);

  // The services for which a shape was asked for recently.
  std::vector<ServiceFragmentation> Evaluate(
      const std::map<std::string, WorkerTracker>& workers, Time now) const;

 private:
  struct AskedShape {
    TaskShape shape;
    RecentCount count;
  };

  // By service. At most kMaxShapes each; the one that was last asked for the
  // longest ago is replaced.
  std::map<std::string, std::vector<AskedShape>> shapes_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_FRAGMENTATION_H_
