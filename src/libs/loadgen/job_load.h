// Open-loop load of jobs: submitted at their planned times, then followed to
// their end.
#ifndef THORNPLANK_LOADGEN_JOB_LOAD_H_
#define THORNPLANK_LOADGEN_JOB_LOAD_H_

#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"

namespace thornplank {

struct JobLoadSettings {
  std::vector<std::string> entries;
  std::string token;
  std::string account;
  // Jobs a second over `duration`, and `burst` more at `burst_at`.
  double rate = 1;
  Milliseconds duration{5000};
  int burst = 0;
  Milliseconds burst_at{1000};
  int members = 1;
  int accelerators = 1;
  std::string adjacency = "none";
  std::string priority = "normal";
  Milliseconds run_time{500};
  // From a job's submission until it is given up on.
  Milliseconds deadline{60000};
  std::string name = "load";
};

// What became of one job.
struct JobHistoryRecord {
  std::string id;
  // Last phase seen; "refused" or "no-answer" when it was not acknowledged.
  std::string phase;
  // By the log's clock; 0 when not reached.
  int64_t submitted_ms = 0;
  int64_t running_ms = 0;
  int64_t ended_ms = 0;
};

// Runs the load and waits for every job's end or deadline. One thread.
std::vector<JobHistoryRecord> RunJobLoad(const JobLoadSettings& settings);

Json ToJson(const JobHistoryRecord& record);

// Counts per phase; wait (submitted to running) and completion (submitted to
// ended) in milliseconds at p50, p90, p99 and max, of finished jobs.
Json SummarizeJobs(const std::vector<JobHistoryRecord>& history);

}  // namespace thornplank

#endif  // THORNPLANK_LOADGEN_JOB_LOAD_H_
