// Open-loop load of jobs: each is submitted at its planned time, whatever
// became of earlier ones, and then polled until its end.
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
  // Jobs per second over `duration`, and `burst` more at `burst_at`.
  double rate = 1;
  Milliseconds duration{5000};
  int burst = 0;
  Milliseconds burst_at{1000};
  int members = 1;
  int accelerators = 1;
  std::string adjacency = "none";
  std::string priority = "normal";
  Milliseconds run_time{500};
  // How long a job is polled after its submission before it is abandoned.
  Milliseconds deadline{60000};
  std::string name = "load";
};

// The course of one job.
struct JobHistoryRecord {
  std::string id;
  // The last phase seen, or "refused" or "no-answer" if the submission was not
  // acknowledged.
  std::string phase;
  // Times by the clock of the log service; 0 for a phase that was not reached.
  int64_t submitted_ms = 0;
  int64_t running_ms = 0;
  int64_t ended_ms = 0;
};

// Runs the load in the calling thread and returns when every job has ended or
// reached its deadline.
std::vector<JobHistoryRecord> RunJobLoad(const JobLoadSettings& settings);

Json ToJson(const JobHistoryRecord& record);

// Returns the number of jobs by phase and, for finished jobs, the distributions
// of the wait (submitted to running) and the completion time (submitted to
// ended) in milliseconds: p50, p90, p99 and max.
Json SummarizeJobs(const std::vector<JobHistoryRecord>& history);

}  // namespace thornplank

#endif  // THORNPLANK_LOADGEN_JOB_LOAD_H_
