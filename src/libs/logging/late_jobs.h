// Attributes each job that missed its objective to the first significant delay.
#ifndef THORNPLANK_LOGGING_LATE_JOBS_H_
#define THORNPLANK_LOGGING_LATE_JOBS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace thornplank {

// The late jobs of one cause and priority.
struct LateJobsByCause {
  std::string cause;
  int64_t priority = 0;
  int64_t jobs = 0;
  // Sum over the jobs of the time by which each missed its objective.
  Duration total_lateness{};
  // Number of late jobs by client account and by the entry that accepted them.
  std::map<std::string, int64_t> accounts;
  std::map<std::string, int64_t> entries;
};

// The On... functions must be called in order of time. A job is late if the
// time from its first submission until its end is published exceeds its
// objective.
class LateJobs {
 public:
  // The submission was refused; the caller is expected to retry.
  void OnRefused(const std::string& job, const std::string& cause,
                 WallTime time);
  void OnAccepted(const std::string& job, const std::string& account,
                  const std::string& entry, Milliseconds objective,
                  WallTime time);
  // The job waited for `length` because of `cause`.
  void OnDelay(const std::string& job, const std::string& cause,
               Duration length);
  // A run of a task of `step` ended without a result, which wasted `lost_time`.
  void OnRunLost(const std::string& job, const std::string& step, int64_t run,
                 const std::string& cause, Duration lost_time);
  void OnCompleted(const std::string& job, int64_t priority, WallTime time);

  // Sorted by the number of jobs, largest first.
  std::vector<LateJobsByCause> Report() const;

 private:
  struct Delay {
    std::string cause;
    Duration length{};
  };
  struct Job {
    std::optional<WallTime> first_submission;
    std::string refusal_cause;
    bool accepted = false;
    std::string account;
    std::string entry;
    Milliseconds objective{0};
    // In the order in which they were reported; a refusal comes first.
    std::vector<Delay> delays;
    // Indices in `delays` of the lost runs, by step and run.
    std::map<std::pair<std::string, int64_t>, size_t> lost_runs;
  };

  static std::string FirstSignificantCause(const Job& tracked);

  std::map<std::string, Job> jobs_;
  std::map<std::pair<int64_t, std::string>, LateJobsByCause> causes_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LATE_JOBS_H_
