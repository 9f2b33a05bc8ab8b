// What the planner knows of waiting gangs and their holds between rounds: for
// how long they have waited, and which changes of holds are worth a log line.
//
// Nothing here is stored: a new leader takes the time of acceptance as the
// begin of the wait of a job that has not run yet. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_HOLD_HISTORY_H_
#define THORNPLANK_WORKLOAD_HOLD_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/cluster_capacity.h"
#include "workload/gang_holds.h"
#include "workload/ready_step.h"

namespace thornplank {

// A hold of a step began, moved to other workers or ended.
struct HoldChange {
  StepRef step;
  int64_t workers = 0;
  // Empty if the workers are on several racks.
  std::string rack;
  Milliseconds ready_in{0};
  Milliseconds waited{0};
  int64_t borrowers = 0;
  std::string reason;
};

class HoldHistory {
 public:
  // For how long the gang has waited. Called for each waiting gang in each
  // round.
  Duration Waited(const ReadyStep& step, Time now, WallTime wall_now);
  // Whether workers should be sought for the gang in this round. Searches of a
  // service are spread over time, since each looks at all workers.
  bool MaySearch(const ReadyStep& step, Time now);
  // Records a search.
  void OnSearched(const ReadyStep& step, bool found, Time now);
  // The workers of the hold of the round before, as indexes; empty if there was
  // none or one of them is not known any more.
  std::vector<size_t> LastWorkers(const StepRef& step,
                                  const ClusterCapacity& capacity) const;
  // The hold or the reservation of the gang is not possible any more: a search
  // is due.
  void OnLost(const StepRef& step, Time now);
  // Borrowers are stopped for the gang: its hold ends for that reason.
  void OnReturned(const StepRef& step);

  // Ends a round: compares its holds with those of the round before, and
  // forgets gangs that no longer wait.
  std::vector<HoldChange> EndRound(const std::vector<GangHold>& holds,
                                   const ClusterCapacity* capacity, Time now);

 private:
  struct HeldWorker {
    std::string id;
    // Index in the round in which the hold was last set.
    size_t index = 0;
  };
  struct Gang {
    Time since{};
    Time next_search{};
    Milliseconds search_interval{0};
    bool seen = false;
    bool returned = false;
    // The workers with the hold, in the order of their ids; empty while it
    // holds nothing.
    std::vector<HeldWorker> workers;
    bool logged_workers = false;
    Time logged{};
  };

  // Returns true if the hold is on other workers than known.
  static bool UpdateWorkers(const GangHold& hold,
                            const ClusterCapacity& capacity,
                            std::vector<HeldWorker>* workers);
  static HoldChange Describe(const GangHold& hold,
                             const ClusterCapacity& capacity, Time now);

  std::map<StepRef, Gang> gangs_;
  // By service: when the next search for any gang may run.
  std::map<std::string, Time> next_search_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_HOLD_HISTORY_H_
