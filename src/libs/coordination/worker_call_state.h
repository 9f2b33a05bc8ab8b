// The calls to one worker: what is under way, what is due, and what they have
// shown. WorkerTracker holds what is known of the worker itself.
#ifndef THORNPLANK_COORDINATION_WORKER_CALL_STATE_H_
#define THORNPLANK_COORDINATION_WORKER_CALL_STATE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "workload/departure_detector.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct WorkerCallState {
  bool report_pending = false;
  // A report that does not wait, beside a pending one that does.
  bool extra_report_pending = false;
  // A report is due although nothing is expected: the worker did not answer
  // before, and its directory record was rewritten since.
  bool recheck = false;
  Time next_report_time{};
  // When it last answered a request for a report.
  Time answered_at{};
  // The lease of the worker lasts at least until then.
  Time leased_until{};
  // Ends up to this number were reported to the worker as recorded.
  int64_t acknowledged_ends = 0;
  // After a stop that was not confirmed, no stop is sent before this time.
  Time next_stop_time{};
  // Offset of its newest directory record; -1 before the first.
  int64_t entry_offset = -1;
  // Since when the worker has been missing from the directory.
  std::optional<Time> missing_since;
  DepartureDetector departure;
};

// Whether the worker must be reviewed regularly: it has runs, or something of
// it is open. Of thousands of workers most have nothing to do at a time.
bool NeedsVisit(const WorkerTracker& worker, const WorkerCallState& state);

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_WORKER_CALL_STATE_H_
