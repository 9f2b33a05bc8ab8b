#include "scheduling/victim_selection.h"

#include <algorithm>

namespace thornplank {
namespace {

// Number of needed accelerators that stopping the candidate would free.
int CountFreed(const VictimCandidate& candidate,
               const std::map<WorkerIndex, int>& needed) {
  int freed = 0;
  for (const auto& [worker, accelerators] : candidate.holds) {
    const auto need = needed.find(worker);
    if (need == needed.end() || need->second <= 0) continue;
    freed += std::min(accelerators, need->second);
  }
  return freed;
}

// Subtracts the accelerators of the candidate from `needed`, or adds them back
// if `sign` is -1.
void SubtractHeld(const VictimCandidate& candidate, int sign,
                  std::map<WorkerIndex, int>* needed) {
  for (const auto& [worker, accelerators] : candidate.holds) {
    const auto need = needed->find(worker);
    if (need != needed->end()) need->second -= sign * accelerators;
  }
}

const VictimCandidate* BestVictim(
    const std::map<WorkerIndex, int>& needed,
    const std::vector<const VictimCandidate*>& candidates) {
  const VictimCandidate* best = nullptr;
  double best_cost = 0;
  for (const VictimCandidate* candidate : candidates) {
    const int freed = CountFreed(*candidate, needed);
    if (freed == 0) continue;
    const double cost = candidate->work_lost / freed;
    if (best && cost >= best_cost) continue;
    best = candidate;
    best_cost = cost;
  }
  return best;
}

// Whether stopping the other chosen victims is enough without `victim`.
bool IsRedundant(const VictimCandidate& victim,
                 const std::map<WorkerIndex, int>& still_needed) {
  return std::all_of(victim.holds.begin(), victim.holds.end(),
                     [&still_needed](const auto& hold) {
                       const auto need = still_needed.find(hold.first);
                       return need == still_needed.end() ||
                              need->second + hold.second <= 0;
                     });
}

}  // namespace

std::vector<std::string> SelectVictims(
    const std::map<WorkerIndex, int>& needed,
    const std::vector<VictimCandidate>& candidates) {
  std::map<WorkerIndex, int> still_needed = needed;
  std::vector<const VictimCandidate*> useful;
  for (const VictimCandidate& candidate : candidates) {
    if (CountFreed(candidate, still_needed) > 0) useful.push_back(&candidate);
  }
  std::vector<const VictimCandidate*> chosen;
  while (const VictimCandidate* best = BestVictim(still_needed, useful)) {
    chosen.push_back(best);
    SubtractHeld(*best, 1, &still_needed);
    useful.erase(std::find(useful.begin(), useful.end(), best));
  }
  std::vector<std::string> victims;
  // The most expensive victims are spared first.
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    return a->work_lost > b->work_lost;
  });
  for (const VictimCandidate* victim : chosen) {
    if (IsRedundant(*victim, still_needed)) {
      SubtractHeld(*victim, -1, &still_needed);
    } else {
      victims.push_back(victim->gang_id);
    }
  }
  return victims;
}

}  // namespace thornplank
