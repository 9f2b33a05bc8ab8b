// One planning round: the decisions of Planner::Decide() and what they share.
//
// Each kind of decision has a file of its own: the order of steps, the
// preferences, the placement, and the victims. What outlasts the round is in
// the Planner. Included by these files only.
#ifndef THORNPLANK_WORKLOAD_PLANNING_ROUND_H_
#define THORNPLANK_WORKLOAD_PLANNING_ROUND_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "workload/account_shares.h"
#include "workload/cluster_capacity.h"
#include "workload/disruption_budgets.h"
#include "workload/gang_holds.h"
#include "workload/gang_placement.h"
#include "workload/guarantee_holds.h"
#include "workload/obligation.h"
#include "workload/planner.h"
#include "workload/protected_tasks.h"
#include "workload/ready_step.h"
#include "workload/step_queue.h"
#include "workload/urgent_balance.h"
#include "workload/victim_selection.h"
#include "workload/waiting_demand.h"

namespace thornplank {

class Planner::Round {
 public:
  Round(Planner* planner, const PlanInputs& inputs,
        std::vector<ReadyStep> steps);
  Plan Run();

 private:
  using Assignments = std::vector<JobLedger::Assignment>;

  // Null while no service is shared.
  AccountShares* shares() { return shares_ ? &*shares_ : nullptr; }
  bool KnowsWorkersInPart() const {
    return inputs_.surveying || inputs_.awaiting_entries;
  }

  // Order of the steps, and why some wait (planning_round.cc).
  static std::optional<AccountShares> MakeShares(const SharedServices& services,
                                                 const Guarantees& guarantees);
  // Null if the service of the step is not shared.
  AccountShares* SharesFor(const ReadyStep& step);
  // Counts tasks of the account that were started, or stopped if negative.
  void ChangeShares(const std::string& service, const std::string& account,
                    int priority, const Resources& need, int64_t tasks);
  void RecordUrgentSteps();
  void ReleaseExpiredReservations();
  // A step whose last start crashed its worker starts alone, for as long as it
  // can wait for that.
  void IsolateSuspects();
  // Marks the steps that fit into the guarantee of their account, even if its
  // later ones exceed it. They come before the other urgent ones.
  std::vector<ReadyStep> MarkGuaranteedSteps(
      std::vector<ReadyStep> steps) const;
  void AddWait(const ReadyStep& step, WaitReason reason);
  bool LacksCapacity(const ReadyStep& step, WaitReason reason) const;
  void RecordScarcity(const ReadyStep& step);

  // Preferences: what a step leaves for others, and which start passes that
  // (planning_preferences.cc).
  void ObserveHeadroom(const std::string& service);
  // Number of workers to leave empty for urgent jobs to come.
  int64_t Headroom(const ReadyStep& step) const;
  // Whether the step has waited long enough to run away from its data or over
  // several racks. There it takes several times as long and blocks others
  // meanwhile. So this is only for an idle cluster, and for guaranteed work,
  // which must start in time.
  bool MayLeaveRack(const ReadyStep& step) const;
  // Whether the total need of the account's urgent jobs is within its
  // guarantee.
  bool IsGuaranteed(const ReadyStep& step) const;
  bool IsBoundToData(const ReadyStep& step) const;
  FreePlaces PlacesFor(const ReadyStep& step) const;
  // A worker from which runs were stopped for the gang may have become headroom
  // by that. The gang may use it all the same.
  void AdmitReservedWorkers(const ReadyStep& step, FreePlaces* places) const;
  // Removes what is held for other steps. A gang may start while the less used
  // resource is mostly free. Returns true if capacity was removed.
  bool LeaveHeldCapacity(const ReadyStep& step, FreePlaces* places) const;
  // How many tasks of the step may start without delaying steps of higher
  // priority. Small tasks fit into every gap as it opens, so without this limit
  // a gang would never find enough room at one moment.
  int64_t AllowedTasks(const ReadyStep& step) const;
  // Only gangs need much capacity at one moment. Capacity for a step that
  // evicted others is reserved already, and one that may not use what is free
  // needs none yet.
  void RecordWaitingDemand(const ReadyStep& step, WaitReason reason);
  // Places what is owed to a step that preferences hold back. It passes the
  // one that holds it back, or all of them if several do. Returns true if all
  // waiting tasks start.
  bool PlaceOwed(const ReadyStep& step);
  // Returns true if tasks start.
  bool PlaceOwedPart(const ReadyStep& part, const OwedStart& owed,
                     std::string_view passed);
  bool HasStart(const std::string& job) const;
  // Unless the work is guaranteed, an owed start leaves as much room as one
  // task, or the gang, takes. Returns false if nothing may start.
  bool LimitToRoom(Obligation obligation, ReadyStep* part) const;
  // Of accelerators; of cores in a service without accelerators.
  double UsedShareOf(const std::string& service) const;

  // Placement: where the tasks of a step start (planning_placement.cc).
  void PlaceProbationTests();
  void PlaceStep(const ReadyStep& step);
  // Returns true if all waiting tasks start.
  bool PlaceWaiting(const ReadyStep& step, WaitReason* reason);
  bool PlaceSingleTasks(const ReadyStep& step, WaitReason* reason);
  Assignments TakeSlots(const ReadyStep& step, FreePlaces places,
                        int64_t allowed) const;
  bool PlaceGang(const ReadyStep& step, WaitReason* reason);
  void Start(const ReadyStep& step, Assignments chosen, std::string reason);

  // Victims: capacity that is taken from running tasks (planning_victims.cc).
  GangHolds::Inputs HoldInputs() const;
  GangHolds::Inputs GuaranteeHoldInputs() const;
  void PrepareHolds();
  // A gang that has started or ended needs no reservation, and one that names a
  // worker which can no longer be used does not let the gang start.
  void DropUselessGangReservations();
  void RecordHolds();
  // Reservations of gangs count from the first step of their priority on.
  void ReserveForGangs(int priority);
  // Evicts other runs for an urgent step; returns false when that cannot make
  // enough room.
  bool PreemptFor(const ReadyStep& waiting);
  // Whether urgent runs of other accounts may be stopped for the step. Also
  // records that it waits.
  bool MayReclaim(const ReadyStep& step);
  // Keeps the waits of steps with a reservation and forgets other steps that
  // did not wait in this round.
  void RecordGuaranteeWaits();
  // False for some time after a reclaim for the step that could not be
  // completed, unless the step is owed its room.
  bool MayReclaimAgain(const ReadyStep& step) const;
  static bool HasUrgentVictim(const std::vector<Eviction>& evictions);
  bool MayHold(const ReadyStep& step) const;
  // Also records that the gang still waits.
  Duration WaitedOf(const ReadyStep& step);
  // Holds capacity for a gang that does not fit. Returns true if runs are
  // stopped for it.
  bool HoldFor(const ReadyStep& step);
  void Evict(const ReadyStep& step, const std::vector<Eviction>& evictions);
  // Takes the tasks of the step that have started, from `first_start` of the
  // plan on, off its reservation.
  void UseReservation(const ReadyStep& step, size_t first_start,
                      CapacityReservation* reservation) const;
  // Reservations for urgent steps count as used by their accounts.
  void CountReserved(const StepRef& step,
                     const CapacityReservation& reservation, int sign);
  // Keeps room for an urgent step that waits for runs of others to end.
  // `first_start` is the first start of the plan that may be its own.
  void HoldGuaranteed(const ReadyStep& step, size_t first_start);
  // Counts the run as stopped, with the rest of its gang, unless it is already.
  void OnStopped(const std::string& worker, const TrackedRun& victim);

  Planner& planner_;
  const PlanInputs& inputs_;
  Plan plan_;
  const SharedServices shared_services_;
  // Empty while no service is shared.
  std::optional<AccountShares> shares_;
  ClusterCapacity capacity_;
  DisruptionBudgets budgets_;
  UrgentBalance balance_;
  ProtectedTasks protected_tasks_;
  // Runs that this round has already decided to stop.
  std::set<TaskRef> stopped_;
  GuaranteeHolds guarantee_holds_;
  std::vector<ReadyStep> steps_;
  StepQueue queue_;
  // Steps left waiting for capacity: their services, and their number by
  // account in services that are shared.
  std::set<std::string> scarce_services_;
  AccountWaits::WaitingSteps waiting_for_capacity_;
  // Demand of the steps that this round could not place.
  WaitingDemand waiting_demand_;
  // Of the steps that this round could not place.
  std::map<StepRef, GuaranteeWait> guarantee_waits_;
  // Accelerators needed by waiting urgent steps, by account.
  std::map<std::string, int64_t> urgent_demand_;
  // Set while held capacity is active.
  std::optional<GangHolds> holds_;
  // Workers to leave empty for urgent steps, by service.
  std::map<std::string, int64_t> headroom_;
  // Gangs whose reservations this round has taken off the capacity.
  std::set<StepRef> reserved_gangs_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PLANNING_ROUND_H_
