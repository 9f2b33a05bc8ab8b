// Moves borrowers off: for plans that wait for their accelerators, and for
// events before their fixed start.
#ifndef THORNPLANK_SCHEDULING_RECLAIMER_H_
#define THORNPLANK_SCHEDULING_RECLAIMER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/cluster_snapshot.h"
#include "scheduling/scheduler_state.h"
#include "scheduling/victim_selection.h"

namespace thornplank {

class Reclaimer {
 public:
  // Both outlive the object.
  Reclaimer(SchedulerState& state, GangStopper& stopper);

  // Starts the leaving of whatever borrower still stands in the way.
  void Run(Time now);
  // Lends cells to the events that come near and settles them where the
  // least work is lost.
  void PrepareEvents(const ClusterSnapshot& snapshot, Time now);
  // When the next event has to be looked at; nullopt when none is ahead.
  std::optional<Time> NextDue(Time now) const;

 private:
  // Which plans' claims are served.
  enum class PlanFilter { kGuaranteed, kAll };

  void ReclaimForPlans(PlanFilter claims, const ClusterSnapshot& snapshot,
                       Time now);
  void ReclaimForEvent(const EventReservation& event,
                       const ClusterSnapshot& snapshot, Time now);
  // Claimed accelerators per worker beyond what is free or coming free.
  std::map<WorkerIndex, int> AcceleratorsToReclaim(
      const std::map<WorkerIndex, int>& claimed,
      const ClusterSnapshot& snapshot) const;
  std::map<WorkerIndex, int> ClaimedAccelerators(PlanFilter claims) const;
  std::vector<VictimCandidate> Candidates(const ClusterSnapshot& snapshot,
                                          bool urgent_too, Time now) const;

  SchedulerState& state_;
  GangStopper& stopper_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_RECLAIMER_H_
