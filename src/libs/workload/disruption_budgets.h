// How many tasks of long-running steps the scheduler may stop.
//
// A step with `max_unavailable` is protected: none of its tasks may be stopped
// while that many of them are not at work, whatever the cause. A long-running
// step without it has no such protection. Counted from the ledger and the
// workers' reports alone, so that a new leader counts the same. Lives for one
// planning round. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_DISRUPTION_BUDGETS_H_
#define THORNPLANK_WORKLOAD_DISRUPTION_BUDGETS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "workload/job_definition.h"
#include "workload/job_ledger.h"
#include "workload/task_ref.h"
#include "workload/worker_tracker.h"

namespace thornplank {

class DisruptionBudgets {
 public:
  // Both must outlive this object.
  DisruptionBudgets(const JobLedger* ledger,
                    const std::map<std::string, WorkerTracker>* workers)
      : ledger_(*ledger), workers_(*workers) {}

  // Whether some of the step's tasks must stay at work.
  static bool IsProtected(const StepSpec& spec);
  // The number of tasks that must stay at work when all of them are. A gang
  // ends with any of its members.
  static int64_t MustStay(const StepSpec& spec);

  // How many more tasks of the step may be stopped; nullopt if there is no
  // limit.
  std::optional<int> StopsLeft(const StepRef& ref);
  // A task of the step is to be stopped in this round.
  void OnStop(const StepRef& ref);

 private:
  std::optional<int> CountStopsLeft(const StepRef& ref) const;
  bool IsAtWork(const TaskRef& ref, const TaskStatus& task) const;

  const JobLedger& ledger_;
  const std::map<std::string, WorkerTracker>& workers_;
  // Of the steps asked about so far, less the stops of this round.
  std::map<StepRef, std::optional<int>> stops_left_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_DISRUPTION_BUDGETS_H_
