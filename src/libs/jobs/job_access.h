// The interface of JobManager towards the HTTP handlers of jobs.
//
// Thread-safe.
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
    // The change was read back from the stream or, for urgent jobs while the
    // log is down, is held by at least two entries: it survives the loss of any
    // single entry.
    kAccepted,
    // The id belongs to a different job.
    kConflict,
    // Proved to have no effect; retry after retry_after().
    kNotRun,
    // The change may take effect later. Repeating it with the same id is safe.
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

  // `job` must be validated and have an id.
  virtual void Submit(const JobRequest& job, ChangeCallback callback) = 0;
  // `by` is the name of the caller's token.
  virtual void Cancel(const std::string& id, const std::string& by,
                      ChangeCallback callback) = 0;
  virtual std::optional<JobEntry> Find(const std::string& id) const = 0;
  // The newest `limit` jobs of `account`, or of all accounts if it is empty, in
  // order of submission.
  virtual std::vector<JobEntry> List(const std::string& account,
                                     size_t limit) const = 0;
  // The reason why the job can never run; nullopt if there is none.
  virtual std::optional<std::string> CheckCanRun(const JobSpec& job) const = 0;
  // An id that no other job has.
  virtual std::string NewJobId() = 0;
  // Whether this entry has read the job stream and can answer reads.
  virtual bool ready() const = 0;
  virtual std::chrono::seconds retry_after() const = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_ACCESS_H_
