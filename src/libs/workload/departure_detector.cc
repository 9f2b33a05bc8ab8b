// Compares the times of directory entries, as far as the directory was followed
// without a gap.
#include "workload/departure_detector.h"

namespace thornplank {
namespace {

// Entries are read with a delay, so the announced time of departure may pass a
// little before the computed one.
constexpr Milliseconds kAnnouncementSlack{1000};

}  // namespace

void DepartureDetector::OnEntry(const WorkerRegistration& entry,
                                Time directory_read_at, Time now) {
  last_entry_ = now;
  entry_lag_ = now - directory_read_at;
  departure_.reset();
  if (entry.draining) departure_ = now + entry.drain_remaining;
}

bool DepartureDetector::IsDeparture(Milliseconds heartbeat,
                                    Time directory_read_at, Time now) const {
  if (!departure_ || now + kAnnouncementSlack < *departure_) return false;
  // An entry that expires has not been renewed for three heartbeats. Seen with
  // a lag below one heartbeat, that is at least two; a worker that leaves has
  // been silent for at most one.
  const bool prompt =
      entry_lag_ < heartbeat && now - directory_read_at < heartbeat;
  return prompt && now - last_entry_ < heartbeat * 3 / 2;
}

}  // namespace thornplank
