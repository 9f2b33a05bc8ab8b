// Limits on what the evictions for one step may stop in all.
//
// Counts gangs as a whole, since a gang ends with any of its members. Not
// thread-safe; copied while evictions are compared.
#ifndef THORNPLANK_WORKLOAD_STOP_LIMITS_H_
#define THORNPLANK_WORKLOAD_STOP_LIMITS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "workload/disruption_budgets.h"
#include "workload/job_ledger.h"
#include "workload/task_ref.h"
#include "workload/urgent_balance.h"
#include "workload/worker_tracker.h"

namespace thornplank {

class StopLimits {
 public:
  // The pointers must outlive this object.
  struct Sources {
    const JobLedger* ledger = nullptr;
    DisruptionBudgets* budgets = nullptr;
    const UrgentBalance* balance = nullptr;
    // The step fits into the guarantee of its account, so that urgent runs of
    // accounts beyond theirs may be stopped for it.
    bool may_reclaim = false;
    // The step is owed its room: such a stop may bring the other account below
    // its guarantee, by the rest of a gang, and may hit a task that was stopped
    // before.
    bool is_owed = false;
  };

  explicit StopLimits(const Sources& sources) : sources_(sources) {}

  bool MayTake(const TrackedRun& run) const;
  // Counts the run as stopped; changes nothing and returns false if that
  // exceeds a limit.
  bool Take(const TrackedRun& run);
  // The same of all of them.
  bool TakeAll(const std::vector<const TrackedRun*>& runs);
  // Whether only a step that is owed its room may stop the urgent run: that
  // would leave the run's account below its guarantee, or the task has been
  // stopped before.
  bool IsLastResort(const TrackedRun& run) const;

 private:
  // Accelerators that the run's account still uses beyond its guarantee.
  int64_t ExcessLeft(const TrackedRun& run) const;
  // What is freed if the run is stopped, with the rest of its gang.
  int64_t AcceleratorsFreedBy(const TrackedRun& run) const;

  Sources sources_;
  // What was taken so far: protected tasks by step, urgent accelerators by
  // account, and urgent gangs.
  std::map<StepRef, int> tasks_;
  std::map<std::string, int64_t> accelerators_;
  std::set<StepRef> gangs_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_STOP_LIMITS_H_
