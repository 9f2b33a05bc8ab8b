// Which workers crashed under a task, and whether the task is to blame.
//
// A task may crash each worker that starts it. One that crashes has taken down
// all that ran there, and none of these is told from the culprit by the crash
// alone. What tells them apart is time: a worker that bore a run for a while
// did not crash for its start.
#ifndef THORNPLANK_WORKLOAD_CRASH_RECORD_H_
#define THORNPLANK_WORKLOAD_CRASH_RECORD_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_definition.h"

namespace thornplank {

// A worker that is alive so long after it has taken an order has borne its
// start.
inline constexpr Milliseconds kStartPhase{200};

// What is known of a run whose worker's life ended.
struct LostRun {
  std::string worker;
  // The worker is proved to have crashed; else it was not heard of for long.
  bool crashed = false;
  // The worker had taken the order.
  bool began = false;
  // From its begin until the worker fell silent.
  Duration survived{};
};

struct CrashRecord {
  // Workers that were lost under the task, the oldest first.
  std::vector<std::string> lost_workers;
  // Crashes of a worker that had just taken the order, in a row.
  int start_crashes = 0;

  bool empty() const { return lost_workers.empty(); }
  // A task that lasts loses many workers in time, so that one that had borne it
  // for a while clears it.
  void OnWorkerLost(const LostRun& run, const StepSpec& step);
  // A run of it ended while its worker lived on.
  void OnRunEnded() { start_crashes = 0; }
  // No worker should start it any more.
  bool ShouldGiveUp() const;
  // For callers and operators.
  std::string ToText() const;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_CRASH_RECORD_H_
