// What the scheduler remembers of one job.
#ifndef THORNPLANK_SCHEDULING_JOB_RECORD_H_
#define THORNPLANK_SCHEDULING_JOB_RECORD_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/cluster_model.h"
#include "scheduling/job_types.h"

namespace thornplank {

struct JobRecord {
  JobSpec spec;
  JobPhase phase = JobPhase::kWaiting;
  std::string reason;
  Time submitted_at;
  // The current attempt; empty while none is under way. Invariant: empty
  // whenever phase is kWaiting or final.
  std::string gang_id;
  int attempts = 0;
  // Workers on which an attempt failed by itself, the latest last.
  std::vector<WorkerIndex> failed_on;
  std::string last_failure;
  // Set when the job is judged to fail wherever it runs.
  bool judged_bad = false;
  // Run time kept by checkpoints.
  Duration saved_run_time = Duration::zero();
  // Not placed before, after a failed start.
  Time not_before;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_JOB_RECORD_H_
