// What the scheduler remembers of one job, and of jobs that are alike.
#ifndef THORNPLANK_SCHEDULING_JOB_RECORD_H_
#define THORNPLANK_SCHEDULING_JOB_RECORD_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/cluster_model.h"
#include "scheduling/guarantee_placement.h"
#include "scheduling/job_types.h"

namespace thornplank {

// Workers chosen for a job that still has to wait for borrowers to leave.
// While it exists, its accelerators are claimed in the cluster model.
struct ClaimedPlan {
  // One per member.
  std::vector<WorkerIndex> workers;
  std::string reason;
};

struct JobRecord {
  JobSpec spec;
  // Index of its JobClass.
  int job_class = 0;
  JobPhase phase = JobPhase::kWaiting;
  std::string reason;
  Time submitted_at;
  // The current attempt; empty while none is under way. Invariant: empty
  // whenever phase is kWaiting or final.
  std::string gang_id;
  int attempts = 0;
  // Set only while waiting.
  std::optional<ClaimedPlan> plan;
  // Slots of the guarantee that the plan or the gang uses, kept until the
  // last lease is gone. Without it a gang is a borrower.
  std::optional<CellAllocation> allocation;
  // Workers on which an attempt failed by itself.
  std::vector<WorkerIndex> failed_on;
  std::string last_failure;
  // Run time kept by checkpoints, for the expected run time: as reported, or
  // the time run when a worker did not report it.
  Duration saved_run_time = Duration::zero();
  // The part of it that all members reported: the next attempt begins there.
  Duration saved_progress = Duration::zero();
  // Not placed before, after a failed start.
  Time not_before;
};

// Jobs of one account, shape, event and priority: what fits one, fits all.
struct JobClass {
  std::string account;
  Shape shape;
  std::string event;
  Priority priority = Priority::kNormal;
  std::vector<JobRecord*> waiting;
  // Since when no set of the declared workers could hold it.
  std::optional<Time> infeasible_since;
  std::string infeasible_reason;

  CellOwner owner() const { return {account, event}; }
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_JOB_RECORD_H_
