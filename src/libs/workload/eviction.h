// Ways to free capacity on workers by stopping runs, and the cheapest of them.
#ifndef THORNPLANK_WORKLOAD_EVICTION_H_
#define THORNPLANK_WORKLOAD_EVICTION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "workload/worker_tracker.h"

namespace thornplank {

// Frees capacity for `gain` more tasks of a step by stopping some runs.
struct Eviction {
  // The caller's index of the worker. Each eviction of a worker depends on
  // those before it in the list.
  size_t worker = 0;
  int64_t gain = 0;
  double cost = 0;
  std::vector<const TrackedRun*> victims;
};

// Returns the cheapest evictions that free room for `needed` tasks, and their
// total cost; empty when all of them together do not suffice.
std::vector<Eviction> CheapestEvictions(std::vector<Eviction> evictions,
                                        int64_t needed, double* cost);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_EVICTION_H_
