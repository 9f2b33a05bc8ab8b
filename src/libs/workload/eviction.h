// Ways to free capacity on workers by stopping runs, and the cheapest of them.
#ifndef THORNPLANK_WORKLOAD_EVICTION_H_
#define THORNPLANK_WORKLOAD_EVICTION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "workload/stop_limits.h"
#include "workload/task_ref.h"
#include "workload/worker_tracker.h"

namespace thornplank {

// What a set of evictions costs.
struct EvictionCost {
  // Of the runs among them that are evicted last. Evictions with a smaller rank
  // come first, whatever work is lost.
  int rank = 0;
  // The work that is lost, weighted by resources.
  double total = 0;
  // The part of it that accounts lose which are not above their share.
  double of_protected = 0;

  // To choose between racks. A strict order would break whole gangs of one
  // account on a rack to spare one task of another account.
  double weighted() const {
    constexpr double kProtectedFactor = 4;
    return total + of_protected * (kProtectedFactor - 1);
  }
  EvictionCost& operator+=(const EvictionCost& other) {
    rank = std::max(rank, other.rank);
    total += other.total;
    of_protected += other.of_protected;
    return *this;
  }
};

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
// of the lowest rank first, and their total cost; empty when all of them
// together do not suffice, or not within `limits`.
std::vector<Eviction> CheapestEvictions(std::vector<Eviction> evictions,
                                        int64_t needed, EvictionCost* cost,
                                        StopLimits limits);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_EVICTION_H_
