// Summarizes the logs of all entries: what delayed the jobs, which of them were
// late, and which work was discarded.
#ifndef THORNPLANK_LOGGING_LOG_SUMMARY_H_
#define THORNPLANK_LOGGING_LOG_SUMMARY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "logging/fragmentation_course.h"
#include "logging/late_jobs.h"
#include "logging/log_line.h"

namespace thornplank {

// How long steps have waited, by cause. Steps of a job that wait at the same
// time are counted separately.
using WaitsByCause = std::map<std::string, Duration>;

struct JobSummary {
  std::string job;
  std::optional<int64_t> priority;
  // The last state in the logs; empty if they contain none.
  std::string state;
  // From the first line about the job, usually its acceptance, until its end or
  // the last line about it.
  Duration duration{};
  WaitsByCause waits;

  bool completed() const { return state == "completed"; }
  Duration waited() const;
};

// Runs of one cause and priority that ended without a result.
struct DiscardedRuns {
  std::string cause;
  int64_t priority = 0;
  int64_t runs = 0;
  // Run time that no checkpoint preserved, multiplied by the accelerators held.
  Duration lost_accelerator_time{};
  // Run time that checkpoints preserved, multiplied by the accelerators held.
  Duration kept_accelerator_time{};
};

struct LogSummaryReport {
  // Jobs that are not completed first, then by the time waited, longest first.
  std::vector<JobSummary> jobs;
  // Sorted by lost accelerator time, largest first.
  std::vector<DiscardedRuns> discarded_runs;
  // Sorted by the number of jobs, largest first.
  std::vector<LateJobsByCause> late_jobs;
  std::vector<FragmentationInterval> fragmentation;
};

class LogSummary {
 public:
  // Adds one line of a log. Returns false if it cannot be parsed.
  bool Add(std::string_view text);
  LogSummaryReport Report() const;

 private:
  std::vector<LogLine> lines_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LOG_SUMMARY_H_
