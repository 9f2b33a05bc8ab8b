// Chooses which borrowers leave so that given workers get accelerators free.
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
  // Work lost by stopping it, in accelerator seconds.
  double work_lost = 0;
  // Accelerators that it holds, per worker.
  std::map<WorkerIndex, int> holds;
};

// Gangs to stop so that each worker of `needed` gets that many accelerators
// free, as far as the candidates can give them: repeatedly the one that loses
// the least work for each needed accelerator that it frees, without those
// that the later choices made needless.
std::vector<std::string> SelectVictims(
    const std::map<WorkerIndex, int>& needed,
    const std::vector<VictimCandidate>& candidates);

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_VICTIM_SELECTION_H_
