// Chooses the slots of a gang such that it takes few workers.
//
// A gang breaks when any of its workers is lost, so each further worker is one
// more that can break it.
#ifndef THORNPLANK_WORKLOAD_COMPACT_FIT_H_
#define THORNPLANK_WORKLOAD_COMPACT_FIT_H_

#include <cstdint>
#include <vector>

#include "workload/cluster_capacity.h"

namespace thornplank {

struct CompactGang {
  int64_t members = 0;
  // Weight() of what one member takes of a worker.
  int64_t member_weight = 0;
};

// Returns the slots to be filled in this order, or none if they do not hold all
// members. At most `empty_workers` of them are empty workers.
//
// Workers of a class with lower penalties are used first, all of them if they
// do not hold the gang. Of the last class that is needed, as few workers as
// possible are used, among those choices one with the fewest empty workers. The
// worker that the remaining members fill best comes last.
std::vector<Slot> FewestWorkers(const CompactGang& gang,
                                std::vector<Slot> slots, int64_t empty_workers);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_COMPACT_FIT_H_
