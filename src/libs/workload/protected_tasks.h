// Tasks that must not be stopped, and the guaranteed accelerators that they
// must leave free: those could not be freed in time for the account that owns
// them.
//
// Where workers are lost, a step may lose tasks and no longer have that room.
// These tasks start again on guaranteed accelerators that are unlikely to be
// asked for: each other account keeps what it has needed lately, and beside
// that the largest rest of a guarantee stays free.
//
// Counts the accelerators that such tasks use as a planning round starts more
// of them. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_PROTECTED_TASKS_H_
#define THORNPLANK_WORKLOAD_PROTECTED_TASKS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "workload/cluster_capacity.h"
#include "workload/guarantee_demand.h"
#include "workload/job_ledger.h"
#include "workload/ready_step.h"
#include "workload/victim_selection.h"

namespace thornplank {

class ProtectedTasks {
 public:
  // All of it must outlive this object.
  ProtectedTasks(const ClusterCapacity* capacity, const JobLedger* ledger,
                 const Guarantees* guarantees, const GuaranteeDemand* demand);

  // How many tasks of the step may start without using guaranteed accelerators
  // that could not be freed in time. Tasks that may be stopped need no limit.
  int64_t MayStart(const ReadyStep& step);
  // To be called after each start, once the capacity contains it.
  void OnStarted(const ReadyStep& step, size_t tasks);

 private:
  // Accelerators of the service that tasks of the account which must not be
  // stopped may use: the others are guaranteed to other accounts, or in use
  // under the account's own guarantee.
  int64_t AcceleratorsOutsideGuarantees(const ReadyStep& step) const;
  // The same for tasks that have run before and lost their workers.
  int64_t AcceleratorsForRestarts(const ReadyStep& step) const;
  // How many of the waiting tasks may start if tasks that must not be stopped
  // may use `accelerators`.
  int64_t TasksWithin(int64_t accelerators, const ReadyStep& step);
  // Accelerators that the account uses under its own guarantee.
  int64_t OwnUse(const std::string& account, int64_t guaranteed) const;
  // Tasks of the step that run, those started in this round included.
  int64_t ActiveTasks(const StepRef& ref, const StepProgress& progress) const;
  // Urgent tasks of an account within its guarantee use that.
  bool UsesOwnGuarantee(const JobDefinition& job) const;
  // Accelerators that tasks of the step use which must not be stopped.
  int64_t UsedByStep(const StepRef& ref, const StepSpec& spec,
                     const StepProgress& progress) const;
  // The same of all steps of the service.
  int64_t UsedInService(const std::string& service);

  const ClusterCapacity& capacity_;
  const JobLedger& ledger_;
  const Guarantees& guarantees_;
  const GuaranteeDemand& demand_;
  // Number of tasks that this round has started, of steps some of whose tasks
  // must stay at work.
  std::map<StepRef, int64_t> started_;
  // Accelerators that tasks use which must not be stopped, by service.
  std::map<std::string, int64_t> used_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PROTECTED_TASKS_H_
