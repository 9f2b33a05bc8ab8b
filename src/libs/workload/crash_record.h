// Records which workers crashed while they ran a task, and decides when the
// task must not be started again.
//
// A task may crash every worker that starts it. A crash ends all runs on the
// worker, and the crash alone does not tell which of them caused it. The time
// does: a worker that survived the start of a run for a while did not crash
// because of that start.
#ifndef THORNPLANK_WORKLOAD_CRASH_RECORD_H_
#define THORNPLANK_WORKLOAD_CRASH_RECORD_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_definition.h"

namespace thornplank {

// A worker that is alive this long after it accepted an order has survived the
// start of the run.
inline constexpr Milliseconds kStartPhase{200};

// What is known of a run whose worker's incarnation ended.
struct LostRun {
  std::string worker;
  // True if the worker is known to have crashed; false if it was only silent
  // for long.
  bool crashed = false;
  // True if the worker had accepted the order.
  bool began = false;
  // From the start of the run until the worker fell silent.
  Duration survived{};
};

struct CrashRecord {
  // Workers that were lost while they ran the task, the oldest first.
  std::vector<std::string> lost_workers;
  // Consecutive crashes of workers that had just accepted the order.
  int start_crashes = 0;

  bool empty() const { return lost_workers.empty(); }
  // A long-running task loses many workers over time, so a worker that ran it
  // for a while before it was lost resets the record.
  void OnWorkerLost(const LostRun& run, const StepSpec& step);
  // A run of the task ended while its worker lived on.
  void OnRunEnded() { start_crashes = 0; }
  // Whether the task must not be started again.
  bool ShouldGiveUp() const;
  // Text for callers and operators.
  std::string ToText() const;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_CRASH_RECORD_H_
