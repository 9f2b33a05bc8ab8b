// The scheduler's record of a job, and of a class of interchangeable jobs.
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

// Workers chosen for a job that has to wait until borrowers on them have
// stopped. While the plan exists, its accelerators are claimed in the cluster
// model.
struct ClaimedPlan {
  // One worker per member.
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
  // Gang of the current attempt; empty if there is none. Invariant: empty
  // whenever `phase` is kWaiting or final.
  std::string gang_id;
  int attempts = 0;
  // Set only while waiting.
  std::optional<ClaimedPlan> plan;
  // Slots of the guarantee that are allocated to the plan or the gang, until
  // its last lease is gone. A gang without an allocation is a borrower.
  std::optional<CellAllocation> allocation;
  // Workers on which a task of the job failed, one entry per failed attempt.
  std::vector<WorkerIndex> failed_on;
  std::string last_failure;
  // Run time that checkpoints have saved: as reported by the workers, or the
  // time the gang ran if a worker did not report it. Used to estimate the
  // remaining run time.
  Duration saved_run_time = Duration::zero();
  // The part of saved_run_time that every member reported. The next attempt
  // resumes there.
  Duration saved_progress = Duration::zero();
  // The job is not placed before this time; set when a worker refused it.
  Time not_before;
};

// The jobs with the same account, shape, event and priority. Workers that fit
// one of them fit all of them.
struct JobClass {
  std::string account;
  Shape shape;
  std::string event;
  Priority priority = Priority::kNormal;
  // In the order of submission.
  std::vector<JobRecord*> waiting;
  // Since when the jobs have been infeasible: the declared workers could not
  // hold them even when empty, or the rules of their account forbid them.
  // nullopt while they are feasible.
  std::optional<Time> infeasible_since;
  std::string infeasible_reason;

  CellOwner owner() const { return {account, event}; }
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_JOB_RECORD_H_
