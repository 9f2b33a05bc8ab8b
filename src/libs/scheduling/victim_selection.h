// Chooses which borrowers to stop to free accelerators on given workers.
#ifndef THORNPLANK_SCHEDULING_VICTIM_SELECTION_H_
#define THORNPLANK_SCHEDULING_VICTIM_SELECTION_H_

#include <map>
#include <string>
#include <vector>

#include "scheduling/cluster_model.h"

namespace thornplank {

// A borrower that could be stopped.
struct VictimCandidate {
  std::string gang_id;
  // Work lost by stopping the gang, in accelerator seconds.
  double work_lost = 0;
  // Accelerators that the gang holds, by worker.
  std::map<WorkerIndex, int> holds;
};

// Ids of gangs to stop so that, as far as possible, each worker in `needed`
// gets that many more free accelerators. Greedy: repeatedly chooses the
// candidate that loses the least work per needed accelerator that it frees, and
// finally omits candidates that later choices have made redundant.
std::vector<std::string> SelectVictims(
    const std::map<WorkerIndex, int>& needed,
    const std::vector<VictimCandidate>& candidates);

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_VICTIM_SELECTION_H_
