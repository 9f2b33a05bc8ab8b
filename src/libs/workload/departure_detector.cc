// Times of entries, as far as the directory was followed without a gap.
#include "workload/departure_detector.h"

namespace thornplank {
namespace {

// Entries are read a little late, so an announced time is up a little early.
constexpr Milliseconds kAnnouncementSlack{1000};

}  // namespace

void DepartureDetector::OnEntry(const WorkerRegistration& entry,
                                Time directory_read_at, Time now) {
  last_entry_ = now;
  entry_lag_ = now - directory_read_at;
  earliest_departure_.reset();
  if (entry.draining) earliest_departure_ = now + entry.drain_remaining;
}

bool DepartureDetector::IsDeparture(Milliseconds heartbeat,
                                    Time directory_read_at, Time now) const {
  if (!earliest_departure_ || now + kAnnouncementSlack < *earliest_departure_)
    return false;
  // An entry that lapses has been silent for three heartbeats. Seen with a lag
  // below one, that is two and more; a worker that leaves is silent for one.
  const bool prompt =
      entry_lag_ < heartbeat && now - directory_read_at < heartbeat;
  return prompt && now - last_entry_ < heartbeat * 3 / 2;
}

bool DepartureDetector::HasLeft(Milliseconds heartbeat, Time directory_read_at,
                                Time now) const {
  const bool gone = earliest_departure_ && refused_at_ &&
                    *refused_at_ >= *earliest_departure_;
  if (!gone) return false;
  const bool followed = now - directory_read_at < heartbeat;
  return followed && now - last_entry_ > heartbeat * 3 / 2;
}

}  // namespace thornplank
