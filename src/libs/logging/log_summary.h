// What held up the jobs of a time, and which work was thrown away, from the
// logs of all entries.
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
#include "logging/late_jobs.h"
#include "logging/log_line.h"

namespace thornplank {

// How long steps have waited, by cause. Steps of a job that wait at once count
// each.
using WaitsByCause = std::map<std::string, Duration>;

struct JobSummary {
  std::string job;
  std::optional<int64_t> priority;
  // As last published; empty if that is not in the logs.
  std::string state;
  // From its acceptance until its end, or until the last line that names it.
  Duration duration{};
  WaitsByCause waits;

  bool completed() const { return state == "completed"; }
  Duration waited() const;
};

// Runs that ended without a result, of one cause and priority.
struct DiscardedRuns {
  std::string cause;
  int64_t priority = 0;
  int64_t runs = 0;
  // Times the accelerators that they held, without what checkpoints kept.
  Duration lost_accelerator_time{};
  // What checkpoints kept of their time, times the accelerators.
  Duration kept_accelerator_time{};
};

struct LogSummaryReport {
  // Those that are not completed first, then by the time that they waited.
  std::vector<JobSummary> jobs;
  // The most accelerator time first.
  std::vector<DiscardedRuns> discarded_runs;
  // The most jobs first.
  std::vector<LateJobsByCause> late_jobs;
};

class LogSummary {
 public:
  // One line of a log; false when it cannot be read.
  bool Add(std::string_view text);
  LogSummaryReport Report() const;

 private:
  std::vector<LogLine> lines_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LOG_SUMMARY_H_
