// Tells faulty workers from faulty jobs by crossing their failures.
//
// A worker is suspected when several jobs failed there that did not prove to
// fail elsewhere as well; a job is judged bad when it failed on several
// workers that are not suspected themselves. A suspected worker goes into
// quarantine, never more of them at once than a set share, and comes back
// through a probe.
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
  // Distinct jobs that have to fail on a worker without a success between.
  int jobs_to_suspect_worker = 3;
  // Failures on distinct unsuspected workers that make a job bad.
  int failures_to_judge_job = 3;
  // Failures on any worker after which a job is bad whatever the workers.
  int failures_at_most = 8;
  double max_quarantined_share = 0.1;
  Duration quarantine_time = std::chrono::seconds(60);
};

class FailureTracker {
 public:
  enum class WorkerState { kHealthy, kQuarantined, kProbing };

  explicit FailureTracker(FailureLimits limits);

  // A member of `job` failed on `worker`. Quarantines the worker when it is
  // due and fewer than the allowed share of `worker_count` are; returns
  // whether that happened now. Quarantine lasts twice as long after a failed
  // probe.
  bool RecordFailure(const std::string& job, WorkerIndex worker,
                     int worker_count, Time now);
  // A member of `job` ran on `worker` to its end. Returns whether that ended
  // the worker's quarantine.
  bool RecordSuccess(const std::string& job, WorkerIndex worker);
  // Whether the job failed wherever it ran.
  bool IsBadJob(const std::string& job) const;
  // Forgets the job; when it was bad, its failures no longer count against
  // the workers.
  void ForgetJob(const std::string& job);

  WorkerState state(WorkerIndex worker) const;
  // In quarantine for long enough to take one gang as a probe.
  bool IsProbeDue(WorkerIndex worker, Time now) const;
  void StartProbe(WorkerIndex worker);
  // The probe ended without an answer, for instance by being cancelled.
  void AbandonProbe(WorkerIndex worker);
  std::vector<WorkerIndex> quarantined() const;
  // When the next worker becomes due for a probe.
  std::optional<Time> NextProbe() const;

 private:
  struct Worker {
    // Jobs that failed here since the last success.
    std::set<std::string> failed_jobs;
    WorkerState state = WorkerState::kHealthy;
    Time probe_at;
    Duration quarantine_time = Duration::zero();
  };
  struct Job {
    // Workers where it failed, with the number of failures.
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
