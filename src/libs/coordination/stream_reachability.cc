// Logs one event when reads start to fail and one when they succeed again.
#include "coordination/stream_reachability.h"

#include "logging/events/coordination_events.h"

namespace thornplank {

bool StreamReachability::OnReadSucceeded(int64_t next) {
  if (!lost_) return false;
  lost_ = false;
  LogEvent(events::kStoreBack, {{"stream", stream_}, {"next", next}});
  return true;
}

void StreamReachability::OnReadFailed(const Error& error) {
  if (lost_) return;
  lost_ = true;
  LogEvent(events::kStoreLost, error, {{"stream", stream_}});
}

}  // namespace thornplank
