// Which workers have something open.
#include "coordination/worker_call_state.h"

namespace thornplank {

bool NeedsVisit(const WorkerTracker& worker, const WorkerCallState& state) {
  const bool ends_open = worker.processed_ends() > worker.recorded_ends() ||
                         worker.recorded_ends() > state.acknowledged_ends;
  const bool listed = !state.missing_since && !worker.missing() &&
                      !worker.registration().address.empty();
  return !worker.runs().empty() || ends_open || !listed || state.recheck ||
         !worker.synchronized() || !worker.reachable();
}

}  // namespace thornplank
