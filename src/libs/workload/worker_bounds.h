// What the platform promises of its workers and asks of those that order them.
//
// These differ from deployment to deployment and come from the settings; every
// figure of scheduling that must fit them is worked out here.
#ifndef THORNPLANK_WORKLOAD_WORKER_BOUNDS_H_
#define THORNPLANK_WORKLOAD_WORKER_BOUNDS_H_

#include <algorithm>

#include "base/time.h"

namespace thornplank {

struct WorkerBounds {
  // A lease ends by then, whatever was asked for.
  Milliseconds longest_lease{10000};
  // From an order to stop until the room is free.
  Milliseconds stop_bound{400};
  // A member of a gang waits this long for the others, then ends.
  Milliseconds gang_patience{3000};
  // From the acceptance of a cancellation until nothing of the job may start.
  Milliseconds cancel_bound{3000};
  // From the acceptance of guaranteed work until it must have begun.
  Milliseconds reclaim_bound{2900};
  // Between two entries that a worker writes to the directory.
  Milliseconds heartbeat{1500};
  // Before a run that resumes from a checkpoint works.
  Milliseconds restore_time{600};
  // Work away from its data, or a gang over several racks, takes this many
  // times as long.
  double far_slowdown = 3;

  // Of the lease that a report renews. Long enough that a new leader (2.3 s of
  // silence, 0.5 s to load) finds the work alive; a worker that is lost holds
  // its tasks back for as long.
  Milliseconds lease_term() const {
    return std::min(Milliseconds(6500), longest_lease);
  }
  // An order that arrives later than this does nothing. Above the timeout of a
  // call (0.9 s), so that a late order is settled soon after it; the members of
  // a gang that begin on time must not wait in vain for one that comes last.
  Milliseconds start_order_term() const {
    return std::min(Milliseconds(1500), gang_patience / 2);
  }
  // Until a stop that was acknowledged and shows no end is sent again; a report
  // comes within half a second of the end.
  Milliseconds stop_resend_delay() const {
    return stop_bound + Milliseconds(500);
  }
  // A stop, its report (0.25 s), the record and the start elsewhere.
  Milliseconds move_cost() const { return stop_bound + Milliseconds(300); }
  // Room that was taken from others is kept for its job: three stops with their
  // reports and rounds.
  Milliseconds reservation_term() const {
    return stop_bound * 3 + Milliseconds(1300);
  }
  // An urgent gang that finds no rack spreads when there is time left for two
  // tries: each a stop of others, its report and the records.
  Milliseconds urgent_rack_wait() const {
    const Milliseconds tries = (stop_bound + Milliseconds(450)) * 2;
    return std::max(reclaim_bound - tries, Milliseconds::zero());
  }
  // No start is decided on a view of the board that is older. Leaves the start
  // term of an order that is on its way when the view is this old.
  Milliseconds max_board_age() const {
    return std::max(cancel_bound - start_order_term() + Milliseconds(200),
                    Milliseconds(500));
  }
  // What a run loses by a stop even where all its work is saved: the way to
  // another worker, and the restore there.
  Milliseconds restart_cost() const { return restore_time + Milliseconds(200); }
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_BOUNDS_H_
