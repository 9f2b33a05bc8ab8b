// Attributes failures to faulty workers or to faulty jobs by correlating them.
//
// A worker is suspected when several distinct jobs failed on it, not counting
// jobs that turned out to be bad. A job is bad when it failed on several
// workers that are not suspected themselves. A suspected worker is quarantined,
// unless the limit on the share of quarantined workers is reached. It is
// released when a gang that is placed on it as a probe succeeds.
#ifndef THORNPLANK_SCHEDULING_FAILURE_TRACKER_H_
#define THORNPLANK_SCHEDULING_FAILURE_TRACKER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/cluster_model.h"

namespace thornplank {

struct FailureLimits {
  // Distinct jobs that must fail on a worker, with no success in between, to
  // make it suspected.
  int jobs_to_suspect_worker = 3;
  // Failures on distinct unsuspected workers that make a job bad.
  int failures_to_judge_job = 3;
  // Failures that make a job bad whichever workers they occurred on.
  int failures_at_most = 8;
  double max_quarantined_share = 0.1;
  Duration quarantine_time = std::chrono::seconds(60);
};

class FailureTracker {
 public:
  enum class WorkerState { kHealthy, kQuarantined, kProbing };

  explicit FailureTracker(FailureLimits limits);

  // Records that a member of `job` failed on `worker`. Quarantines the worker
  // if it is now suspected and fewer than the allowed share of `worker_count`
  // workers are in quarantine. A failed probe always sends the worker back into
  // quarantine, for twice as long. Returns whether the worker was quarantined
  // by this call.
  bool RecordFailure(const std::string& job, WorkerIndex worker,
                     int worker_count, Time now);
  // Records that a member of `job` ran successfully on `worker`. Returns
  // whether that ended the worker's quarantine.
  bool RecordSuccess(const std::string& job, WorkerIndex worker);
  // Whether the failures of the job are attributed to the job itself.
  bool IsBadJob(const std::string& job) const;
  // Removes the job. If it was bad, its failures no longer count against the
  // workers on which they occurred.
  void ForgetJob(const std::string& job);

  WorkerState state(WorkerIndex worker) const;
  // Whether the worker has been in quarantine long enough to be probed with a
  // gang.
  bool IsProbeDue(WorkerIndex worker, Time now) const;
  void StartProbe(WorkerIndex worker);
  // The probe ended without a result, for example because it was cancelled.
  void AbandonProbe(WorkerIndex worker);
  // Workers that are in quarantine or being probed.
  std::vector<WorkerIndex> quarantined() const;
  // When the next probe of a worker is due.
  std::optional<Time> NextProbe() const;

 private:
  struct Worker {
    // Jobs that failed on the worker since the last success there.
    std::set<std::string> failed_jobs;
    WorkerState state = WorkerState::kHealthy;
    Time probe_at;
    Duration quarantine_time = Duration::zero();
  };
  struct Job {
    // Number of failures by worker.
    std::map<WorkerIndex, int> failed_on;
    int failures = 0;
  };

  bool IsSuspected(const Worker& worker) const;
  void Quarantine(Worker& worker, Time now);

  const FailureLimits limits_;
  std::map<WorkerIndex, Worker> workers_;
  std::map<std::string, Job> jobs_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_FAILURE_TRACKER_H_
