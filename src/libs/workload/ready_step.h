// Steps with waiting tasks whose dependencies are done, in the order in which
// they are placed.
#ifndef THORNPLANK_WORKLOAD_READY_STEP_H_
#define THORNPLANK_WORKLOAD_READY_STEP_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_ledger.h"
#include "workload/preference.h"

namespace thornplank {

// Whether a job can still end within its objective, by the caller's estimates.
// In the order in which the steps of an account are placed.
enum class Timeliness { kInTime, kLate, kExpired };

struct ReadyStep {
  const Job* job = nullptr;
  StepRef ref;
  const StepSpec* spec = nullptr;
  // So late that its completion earns nothing any more: no capacity is held
  // back for it.
  bool expired = false;
  // The time left until the objective; negative after it.
  Milliseconds time_left{0};
  // Always kInTime for a job without an objective.
  Timeliness timeliness = Timeliness::kInTime;
  // A waiting task has failed before; another failure may end the job.
  bool failed_before = false;
  // Workers were lost while they ran one of its waiting tasks.
  bool on_probation = false;
  // The last start of one of its waiting tasks crashed the worker.
  bool crashed_at_start = false;
  // Uses only workers on which nothing runs.
  bool alone = false;
  // Urgent and within the guarantee of its account, also if it has expired:
  // long-running tasks may be stopped for it. Set by the planner.
  bool within_guarantee = false;
  // The same, and not expired: no verdict on workers may delay it. Set by the
  // planner.
  bool guaranteed = false;
  // Urgent, and all unfinished urgent jobs of its account fit into the
  // account's guarantee: what others use beyond theirs is taken from them for
  // it. Set by the planner.
  bool owed = false;
  // Which preferences do not hold it back, since a start is owed to it. Set by
  // the planner.
  PreferenceSet passes;
  // Indices of its waiting tasks; for a gang, all of them.
  std::vector<int> waiting;

  int priority() const { return job->spec.policy.priority; }
  bool urgent() const { return priority() == 0; }
  // Whether any task of its job is active.
  bool job_is_active() const;
  const std::string& service() const { return job->spec.policy.service; }
};

// Steps with waiting tasks that must not start yet, whatever room there is.
struct BlockedSteps {
  // Gangs that have lost members: others of that run may still be on their
  // workers.
  std::vector<StepRef> broken_gangs;
  // Steps all of whose waiting tasks wait for workers that were lost under them
  // to be accounted for.
  std::vector<StepRef> suspects;
};

// Sorted by priority, then by age, oldest first. The pointers refer to the
// ledger. `blocked`, if not null, receives the steps that are not ready.
std::vector<ReadyStep> CollectReadySteps(const JobLedger& ledger, WallTime now,
                                         BlockedSteps* blocked = nullptr);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_READY_STEP_H_
