// Callers that wait until their record is read back from the stream.
//
// Not thread-safe. The returned callbacks must be called without a lock held.
#ifndef THORNPLANK_JOBS_JOB_WAITERS_H_
#define THORNPLANK_JOBS_JOB_WAITERS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job_access.h"

namespace thornplank {

class JobWaiters {
 public:
  struct Waiter {
    // Id of the appended record.
    std::string record_id;
    // Only the id is set for a cancellation.
    JobRequest job;
    // Waits until the job is final (a cancellation) rather than until the job
    // is known (a submission).
    bool until_final = false;
    Time deadline;
    JobAccess::ChangeCallback callback;
  };
  // Callbacks, each bound to its result.
  using Answers = std::vector<std::function<void()>>;

  void Add(Waiter waiter);
  // Remove the waiters whose condition `jobs` fulfils, for one job or for all,
  // and return their callbacks.
  Answers TakeFulfilled(const JobTable& jobs, const std::string& job);
  Answers TakeAllFulfilled(const JobTable& jobs);
  // Removes and returns the waiter for one record of `job`; empty if there is
  // none any more.
  std::vector<Waiter> TakeByRecord(const std::string& job,
                                   const std::string& record_id);
  // Removes and returns the waiters whose deadline has passed.
  std::vector<Waiter> TakeExpired(Time now);
  // Removes and returns the submissions of urgent jobs.
  std::vector<Waiter> TakeUrgent();
  size_t size() const { return waiters_.size(); }

 private:
  // By job id.
  std::multimap<std::string, Waiter> waiters_;
};

// The result of a submission of `job` when `jobs` knows the job's id.
JobChangeResult SubmissionResult(const JobTable& jobs, const JobRequest& job);

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_WAITERS_H_
