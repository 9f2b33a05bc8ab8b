// The leader before this entry, and until when it may still renew leases.
//
// A successor that cannot ask a worker must assume that the predecessor has
// renewed the leases there until the last moment at which it may. A leader
// renews only for a while after it has sent the last heartbeat that was stored,
// and whoever reads that heartbeat does so later than it was sent. Not
// thread-safe.
#ifndef THORNPLANK_COORDINATION_PREDECESSOR_H_
#define THORNPLANK_COORDINATION_PREDECESSOR_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "coordination/job_board.h"

namespace thornplank {

class Predecessor {
 public:
  // `own_holder`: "instance/incarnation" of this entry. `leadership_timeout`:
  // how long a leader renews leases after it has sent its last heartbeat.
  Predecessor(std::string own_holder, Milliseconds leadership_timeout);

  // A leader record was read at `now`.
  void OnLeaderRecord(const LeaderRecord& leader, Time now);
  // The board was read anew from its newest records, so that records of the
  // leader may have been passed over.
  void OnSnapshot(Time now) { heard_ = now; }
  // The time after which no leader before `own_epoch` renews a lease. It counts
  // from the last one also if that was an earlier incarnation of this instance:
  // nothing is left of that process, but the leader before it may still renew.
  Time LastRenewal(int64_t own_epoch, Time now) const;

 private:
  const std::string own_holder_;
  const Milliseconds leadership_timeout_;
  // Of the last leader record of another holder.
  int64_t epoch_ = 0;
  // When it was read.
  Time heard_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_PREDECESSOR_H_
