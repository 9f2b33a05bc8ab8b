// Which jobs were late, each at the first thing that made it so.
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

// Jobs that were late for one cause.
struct LateJobsByCause {
  std::string cause;
  int64_t priority = 0;
  int64_t jobs = 0;
  // By how much, together.
  Duration total_lateness{};
  // By client account and by the entry that took the job.
  std::map<std::string, int64_t> accounts;
  std::map<std::string, int64_t> entries;
};

// Told of a job's life in order of time. A job is late when more time than its
// objective goes from the caller's first try until its end is published.
class LateJobs {
 public:
  // The caller was refused, and will come again.
  void OnRefused(const std::string& job, const std::string& cause,
                 WallTime time);
  void OnAccepted(const std::string& job, const std::string& account,
                  const std::string& entry, Milliseconds objective,
                  WallTime time);
  // It waited so long for something.
  void OnDelay(const std::string& job, const std::string& cause,
               Duration length);
  // A run of a step ended without a result; `lost` of its time was in vain.
  void OnRunLost(const std::string& job, const std::string& step, int64_t run,
                 const std::string& cause, Duration lost);
  void OnCompleted(const std::string& job, int64_t priority, WallTime time);

  // The most jobs first.
  std::vector<LateJobsByCause> Report() const;

 private:
  struct Delay {
    std::string cause;
    Duration length{};
  };
  struct Story {
    std::optional<WallTime> first_try;
    std::string refused_for;
    bool accepted = false;
    std::string account;
    std::string entry;
    Milliseconds objective{0};
    // In the order in which they began.
    std::vector<Delay> delays;
    // Of runs that were lost: where they are in `delays`, by step and run.
    std::map<std::pair<std::string, int64_t>, size_t> lost_runs;
  };

  static std::string FirstCause(const Story& story);

  std::map<std::string, Story> stories_;
  std::map<std::pair<int64_t, std::string>, LateJobsByCause> causes_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LATE_JOBS_H_
