// Callers that wait for their record to come back through the stream.
//
// Not thread-safe; what is taken out is to be called without a lock.
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
    // Id of the record that was appended.
    std::string record_id;
    JobRequest job;
    // Waits for the job to be final rather than to be known.
    bool for_end = false;
    Time deadline;
    JobAccess::ChangeCallback callback;
  };
  // A callback with its result, ready to be called.
  using Answers = std::vector<std::function<void()>>;

  void Add(Waiter waiter);
  // Those whose wish the table now fulfils.
  Answers TakeFulfilled(const JobTable& jobs, const std::string& job);
  Answers TakeAllFulfilled(const JobTable& jobs);
  // Takes the waiter of one record about `job`, if it still waits.
  std::vector<Waiter> TakeByRecord(const std::string& job,
                                   const std::string& record_id);
  std::vector<Waiter> TakeExpired(Time now);
  // Takes the submissions of urgent jobs.
  std::vector<Waiter> TakeUrgent();
  size_t size() const { return waiters_.size(); }

 private:
  // By job id.
  std::multimap<std::string, Waiter> waiters_;
};

// The answer to a submission of `job` once the table knows its id.
JobChangeResult SubmissionResult(const JobTable& jobs, const JobRequest& job);

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_WAITERS_H_
