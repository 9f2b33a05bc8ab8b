// Selects the runs to evict for an urgent step that finds no room.
#ifndef THORNPLANK_WORKLOAD_VICTIM_SELECTION_H_
#define THORNPLANK_WORKLOAD_VICTIM_SELECTION_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/account_shares.h"
#include "workload/cluster_capacity.h"
#include "workload/disruption_budgets.h"
#include "workload/eviction.h"
#include "workload/guarantee_holds.h"
#include "workload/job_ledger.h"
#include "workload/ready_step.h"
#include "workload/stop_limits.h"
#include "workload/urgent_balance.h"

namespace thornplank {

// Serves one step; all inputs must outlive it.
class VictimSelection {
 public:
  struct Inputs {
    const ClusterCapacity* capacity = nullptr;
    const JobLedger* ledger = nullptr;
    const UrgentBalance* balance = nullptr;
    // Runs that this round has already decided to stop.
    const std::set<TaskRef>* stopped = nullptr;
    DisruptionBudgets* budgets = nullptr;
    // Null where accounts have no shares.
    const AccountShares* shares = nullptr;
    // Null if nothing is kept for others.
    const GuaranteeHolds* guarantee_holds = nullptr;
    // Urgent runs of other accounts may be stopped for the step.
    bool may_reclaim = false;
    // The time a stopped run loses even where all its work is saved.
    Milliseconds restart_cost{0};
    Time now{};
  };

  VictimSelection(const Inputs& inputs, const ReadyStep& step);

  // The evictions that lose the least work, those of runs of accounts above
  // their share first and those of long-running tasks last; empty when no set
  // of them suffices. Long-running tasks are stopped only for a step within the
  // guarantee of its account, and no more of them than their steps may miss.
  // Urgent runs of another account are stopped only with `may_reclaim`, while
  // that account uses more than its guarantee. Unless the step is owed its
  // room, no stop brings the other account below its guarantee.
  // With `near_only` only on the rack of the step's data. With `one_rack` all
  // on one rack, or on several if no rack suffices and `may_spread` is set.
  std::vector<Eviction> ChooseEvictions(bool near_only, bool one_rack,
                                        bool may_spread) const;

 private:
  // Evictions on one worker, each building on those before it.
  std::vector<Eviction> EvictionsOnWorker(size_t index) const;
  bool IsPreemptible(const TrackedRun& run) const;
  static StopLimits LimitsFor(const Inputs& inputs, const ReadyStep& step);
  // Whether the run's account is not above its share. False where accounts have
  // no shares.
  bool IsProtected(const TrackedRun& run) const;
  // The work lost with the run and the rest of its gang, and its rank.
  EvictionCost CostOf(const TrackedRun& run) const;

  const Inputs& inputs_;
  const ReadyStep& step_;
  // Nothing is taken of them yet.
  const StopLimits limits_;
  // The mean weighted share in the step's service.
  double mean_share_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_VICTIM_SELECTION_H_
