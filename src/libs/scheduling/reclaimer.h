// Stops borrowers whose accelerators are needed: by plans that wait for them,
// and by events before their fixed start.
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
  // Both must outlive the object.
  Reclaimer(SchedulerState& state, GangStopper& stopper);

  // Requests the stop of every borrower that has to give way now.
  void Run(Time now);
  // Lends cells to events that start soon and pins them where the least work of
  // borrowers is lost.
  void PrepareEvents(const ClusterSnapshot& snapshot, Time now);
  // When an event next requires an action; nullopt if no event is ahead.
  std::optional<Time> NextDue(Time now) const;

 private:
  // The plans for which accelerators are reclaimed: those under a guarantee, or
  // all.
  enum class PlanFilter { kGuaranteed, kAll };

  void ReclaimForPlans(PlanFilter claims, const ClusterSnapshot& snapshot,
                       Time now);
  void ReclaimForEvent(const EventReservation& event,
                       const ClusterSnapshot& snapshot, Time now);
  // For each worker in `claimed`, the claimed accelerators minus those that are
  // free or held by gangs that are being stopped. May be negative.
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
