// Ways to gain room on workers by stopping runs, and the cheapest of them.
#ifndef THORNPLANK_WORKLOAD_EVICTION_H_
#define THORNPLANK_WORKLOAD_EVICTION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "workload/worker_tracker.h"

namespace thornplank {

// Room for `gain` more tasks of a step, for the loss of some runs.
struct Eviction {
  // An index of the caller's. Evictions of one worker build on those before.
  size_t worker = 0;
  int64_t gain = 0;
  double cost = 0;
  std::vector<const TrackedRun*> victims;
};

// The cheapest evictions for `needed` tasks, with their cost together; empty
// when all of them don't suffice.
std::vector<Eviction> CheapestEvictions(std::vector<Eviction> evictions,
                                        int64_t needed, double* cost);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_EVICTION_H_
