// Ways to free capacity on workers by stopping runs, and the cheapest of them.
#ifndef THORNPLANK_WORKLOAD_EVICTION_H_
#define THORNPLANK_WORKLOAD_EVICTION_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <tuple>
#include <vector>

#include "workload/worker_tracker.h"

namespace thornplank {

// The work that is lost, weighted by resources.
struct EvictionCost {
  // The part of accounts that are not above their share. It is compared first.
  double of_protected = 0;
  double total = 0;

  static EvictionCost Max() {
    constexpr double kMax = std::numeric_limits<double>::max();
    return {kMax, kMax};
  }
};

inline bool operator<(const EvictionCost& a, const EvictionCost& b) {
  return std::tie(a.of_protected, a.total) < std::tie(b.of_protected, b.total);
}

// Frees capacity for `gain` more tasks of a step by stopping some runs.
struct Eviction {
  // The caller's index of the worker. Each eviction of a worker depends on
  // those before it in the list.
  size_t worker = 0;
  int64_t gain = 0;
  EvictionCost cost;
  std::vector<const TrackedRun*> victims;
};

// Returns the cheapest evictions that free room for `needed` tasks, those
// without protected runs first, and their total cost; empty when all of them
// together do not suffice.
std::vector<Eviction> CheapestEvictions(std::vector<Eviction> evictions,
                                        int64_t needed, EvictionCost* cost);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_EVICTION_H_
