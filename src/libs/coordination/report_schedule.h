// Decides when a report of a worker is due, and how long the request for it may
// wait for the end of a run.
//
// Reports are due while a worker has runs or its state is unknown, and until it
// was told that its ends are recorded. Runs whose start is still being recorded
// don't count: the worker can't know them, and a request that waits meanwhile
// would take the place of the first report after the start. No I/O and not
// thread-safe.
#ifndef THORNPLANK_COORDINATION_REPORT_SCHEDULE_H_
#define THORNPLANK_COORDINATION_REPORT_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "coordination/worker_call_state.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct ReportScheduleSettings {
  // How long a report waits for the end of a run; workers allow 2 s at most.
  Milliseconds max_wait{1900};
  // The same on workers that have both filler tasks and serving tasks, since
  // reported tail latencies cover the last half second.
  Milliseconds max_paced_wait{500};
  // The same on workers that have announced to leave, whose leases are short.
  Milliseconds max_leaving_wait{900};
  // How long the first report after a start waits: short enough to move an
  // urgent task off a slow worker in time, long enough for a few percent of
  // progress.
  Milliseconds max_first_wait{700};
  // Between reports that don't wait, and before failed calls are retried.
  Milliseconds retry_delay{250};
};

class ReportSchedule {
 public:
  explicit ReportSchedule(ReportScheduleSettings settings);

  // How long the report that is due now may wait; nullopt if none is due.
  // Sets the time of the next one if this one does not wait.
  std::optional<Milliseconds> TakeDue(const WorkerTracker& worker, Time now,
                                      WorkerCallState* state) const;

  Milliseconds retry_delay() const { return settings_.retry_delay; }

 private:
  Milliseconds WaitFor(const WorkerTracker& worker,
                       const WorkerCallState& state) const;

  const ReportScheduleSettings settings_;
};

// The number up to which the next report may tell the worker to forget ends; 0
// if it already knows that number, and for a worker that did not answer the
// last report: if it has restarted meanwhile, it would forget ends of its new
// incarnation by the numbers of the old one.
int64_t EndsToAcknowledge(const WorkerTracker& worker,
                          const WorkerCallState& state);

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_REPORT_SCHEDULE_H_
