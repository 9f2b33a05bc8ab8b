// Times of entries, as far as the directory was followed without a gap.
#include "workload/departure_watch.h"

namespace thornplank {
namespace {

// Entries are read a little late, so an announced time is up a little early.
constexpr Milliseconds kAnnouncementSlack{1000};

}  // namespace

void DepartureWatch::OnEntry(const WorkerRegistration& entry, Time contact,
                             Time now) {
  last_entry_ = now;
  entry_lag_ = now - contact;
  leaves_.reset();
  if (entry.draining) leaves_ = now + entry.drain_left;
}

bool DepartureWatch::IsDeparture(Milliseconds heartbeat, Time contact,
                                 Time now) const {
  if (!leaves_ || now + kAnnouncementSlack < *leaves_) return false;
  // An entry that lapses has been silent for three heartbeats. Seen with a lag
  // below one, that is two and more; a worker that leaves is silent for one.
  const bool prompt = entry_lag_ < heartbeat && now - contact < heartbeat;
  return prompt && now - last_entry_ < heartbeat * 3 / 2;
}

bool DepartureWatch::HasLeft(Milliseconds heartbeat, Time contact,
                             Time now) const {
  const bool gone = leaves_ && nobody_there_ && *nobody_there_ >= *leaves_;
  if (!gone) return false;
  const bool followed = now - contact < heartbeat;
  return followed && now - last_entry_ > heartbeat * 3 / 2;
}

}  // namespace thornplank
