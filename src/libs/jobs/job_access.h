// What the HTTP handlers of jobs need from the carrier.
#ifndef THORNPLANK_JOBS_JOB_ACCESS_H_
#define THORNPLANK_JOBS_JOB_ACCESS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "state/job_table.h"

namespace thornplank {

// How a submission or a cancellation ended.
struct JobChangeResult {
  enum class Outcome {
    // Folded from the stream, or held by two entries at least (urgent jobs
    // while the log is down): it survives the death of any one entry.
    kAccepted,
    // The id stands for another job.
    kConflict,
    // Proved to have no effect; `retry_after` says when to come back.
    kNotRun,
    // It may take effect later. Repeating it under the same id is safe.
    kUnknown,
    kNoSuchJob,
  };
  Outcome outcome = Outcome::kUnknown;
  JobPhase phase = JobPhase::kWaiting;
  std::string reason;
};

class JobAccess {
 public:
  // Runs once, on any thread, without a lock held.
  using ChangeCallback = std::function<void(const JobChangeResult&)>;

  virtual ~JobAccess() = default;

  // `job` is checked and has an id.
  virtual void Submit(const JobRequest& job, ChangeCallback callback) = 0;
  // `by` is the name of the token that asked.
  virtual void Cancel(const std::string& id, const std::string& by,
                      ChangeCallback callback) = 0;
  virtual std::optional<JobEntry> Find(const std::string& id) const = 0;
  // The newest `limit` jobs of `account` ("": of all), in order of
  // submission.
  virtual std::vector<JobEntry> List(const std::string& account,
                                     size_t limit) const = 0;
  // Why the job can never run, or nullopt.
  virtual std::optional<std::string> CheckCanRun(const JobSpec& job) const = 0;
  // An id that no other job has.
  virtual std::string NewJobId() = 0;
  // Whether the fold can answer reads.
  virtual bool ready() const = 0;
  virtual std::chrono::seconds retry_after() const = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_ACCESS_H_
