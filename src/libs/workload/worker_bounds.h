// Time limits that the platform guarantees for workers and demands of their
// users.
//
// They differ from deployment to deployment and come from the settings; all
// scheduling parameters that depend on them are derived here.
#ifndef THORNPLANK_WORKLOAD_WORKER_BOUNDS_H_
#define THORNPLANK_WORKLOAD_WORKER_BOUNDS_H_

#include <algorithm>

#include "base/time.h"

namespace thornplank {

struct WorkerBounds {
  // Upper bound on a lease, whatever was requested.
  Milliseconds longest_lease{10000};
  // Upper bound on the time from a stop order until the room is free.
  Milliseconds stop_bound{400};
  // How long a member of a gang waits for the others before it ends.
  Milliseconds gang_patience{3000};
  // Upper bound on the time from the acceptance of a cancellation until nothing
  // of the job may start any more.
  Milliseconds cancel_bound{3000};
  // Upper bound on the time from the acceptance of guaranteed work until it
  // must have started.
  Milliseconds reclaim_bound{2900};
  // Interval between two entries that a worker writes to the directory.
  Milliseconds heartbeat{1500};
  // How long, beside one heartbeat, a worker that has shrunk bears starts which
  // rely on its former capacity.
  Milliseconds resize_tolerance{3000};
  // Time before a run that resumes from a checkpoint starts to work.
  Milliseconds restore_time{600};
  // Factor by which work away from its data, or a gang over several racks,
  // takes longer.
  double far_slowdown = 3;

  // Length of the lease that a report renews. Long enough for a new leader,
  // which takes over after 2.3 s of silence and loads its state for 0.5 s, to
  // find the runs alive; the tasks of a lost worker are blocked for as long.
  Milliseconds lease_term() const {
    return std::min(Milliseconds(6500), longest_lease);
  }
  // The same on a worker that has announced to leave: its runs are settled soon
  // after it is gone, which nothing else proves while it may be cut off. Long
  // enough for a change of leader (0.7 s of silence and a first report).
  Milliseconds leaving_lease_term() const {
    return std::min(Milliseconds(3000), lease_term());
  }
  // Validity of a start order: one that arrives later has no effect. Longer
  // than the timeout of a call (0.9 s), so that a delayed order is settled soon
  // after it; short enough that members of a gang which started in time do not
  // wait in vain for a member that would arrive too late.
  Milliseconds start_order_term() const {
    return std::min(Milliseconds(1500), gang_patience / 2);
  }
  // Delay before a stop is sent again if it was acknowledged but the run has
  // not ended; a report arrives within half a second of the end.
  Milliseconds stop_resend_delay() const {
    return stop_bound + Milliseconds(500);
  }
  // Time to move a run: a stop, its report (0.25 s), the record and the start
  // elsewhere.
  Milliseconds move_cost() const { return stop_bound + Milliseconds(300); }
  // How long capacity stays reserved for the step that evicted others: three
  // stops with their reports and planning rounds.
  Milliseconds reservation_term() const {
    return stop_bound * 3 + Milliseconds(1300);
  }
  // How long a start that must come within reclaim_bound may wait for runs to
  // end by themselves: it must leave time for two attempts, each an eviction
  // with its report and records.
  Milliseconds reclaim_slack() const {
    const Milliseconds attempts = (stop_bound + Milliseconds(450)) * 2;
    return std::max(reclaim_bound - attempts, Milliseconds::zero());
  }
  // How long an urgent gang waits for a single rack before it spreads.
  Milliseconds urgent_rack_wait() const { return reclaim_slack(); }
  // After an outage of the store: the time in which living workers that reach
  // it have written their entries again.
  Milliseconds entry_rewrite_bound() const {
    return heartbeat + Milliseconds(500);
  }
  // How old an entry may be when a start is ordered by the capacity in it: the
  // worker may have shrunk just after it wrote the entry, and may carry out the
  // order at the end of its validity.
  Milliseconds max_entry_age() const {
    return std::max(resize_tolerance + heartbeat - start_order_term(),
                    heartbeat);
  }
  // Silence after which the platform removes the entry of a worker.
  Milliseconds entry_lapse() const { return heartbeat * 3; }
  // How long a lost worker, whose leases are over, is waited for to be seen
  // again, alive or as another incarnation.
  Milliseconds gone_after() const { return longest_lease; }
  // After which a step that fits into idle room should have started, whatever
  // it waited for: the longest of the other waits, with the age of an entry.
  Milliseconds start_overdue_after() const {
    return gone_after() + max_entry_age() + heartbeat;
  }
  // Maximum age of the view of the job board on which starts are decided.
  // Leaves time for a start order that is still under way when the view has
  // reached this age.
  Milliseconds max_board_age() const {
    return std::max(cancel_bound - start_order_term() + Milliseconds(200),
                    Milliseconds(500));
  }
  // Half-life of the counts that limit stops between accounts: the longest time
  // from a stop until the run works again elsewhere, as part of a gang, and the
  // room is reclaimed once more.
  Milliseconds equal_stop_half_life() const {
    return move_cost() + restart_cost() + gang_patience + reclaim_bound;
  }
  // Delay before an urgent step whose reclaim could not be completed may
  // reclaim again, after so many of them in a row.
  Milliseconds reclaim_retry_delay(int failures) const {
    constexpr int kMaxDoublings = 5;
    return move_cost() * (1 << std::clamp(failures - 1, 0, kMaxDoublings));
  }
  // What a run loses when it is stopped even if all its work is saved: the move
  // to another worker and the restore there.
  Milliseconds restart_cost() const { return restore_time + Milliseconds(200); }
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_BOUNDS_H_
