// The state machine by which a gang starts, runs, is checkpointed and stops as
// a unit.
//
// - The throttle is lifted only when every member is confirmed.
// - If a member is lost, refused or fails, all members are stopped.
// - A gang ends only when none of its leases can be held any more, so that a
//   job never has two attempts at the same time.
#ifndef THORNPLANK_SCHEDULING_GANG_LIFECYCLE_H_
#define THORNPLANK_SCHEDULING_GANG_LIFECYCLE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/gang.h"
#include "scheduling/gang_table.h"
#include "scheduling/job_scheduler.h"
#include "scheduling/scheduler_actions.h"

namespace thornplank {

// Receives the events of gangs.
class GangObserver {
 public:
  virtual ~GangObserver() = default;
  virtual void OnPhase(const Gang& gang, JobPhase phase,
                       const std::string& reason) = 0;
  // A member's task failed, or the worker refused the grant.
  virtual void OnMemberFailed(const Gang& gang, const MemberRecord& member,
                              bool refused, const std::string& reason,
                              Time now) = 0;
  // All members have saved their state, `took` after the checkpoint request.
  virtual void OnCheckpointed(const Gang& gang, Duration took) = 0;
  // The checkpoint was not done by its deadline.
  virtual void OnCheckpointHung(const Gang& gang) = 0;
  // Every member finished; the leases are about to be released.
  virtual void OnFinished(const Gang& gang, Time now) = 0;
  // No lease is left; the gang is about to be removed.
  virtual void OnEnded(const Gang& gang) = 0;
};

class GangLifecycle {
 public:
  // All arguments must outlive the object.
  GangLifecycle(const SchedulerOptions& options, GangTable& gangs,
                GangObserver& observer);

  void Start(std::unique_ptr<Gang> gang, const std::string& reason, Time now,
             SchedulerActions* actions);
  // Adds a gang whose leases were found at the workers after a change of
  // coordinator. `phase` is its phase under the previous coordinator.
  void TakeOver(std::unique_ptr<Gang> gang, JobPhase phase, Duration ran_for,
                Time now, SchedulerActions* actions);
  // Requests a checkpoint, to be followed by a stop after `deadline` at the
  // latest. A gang that has not started to run is stopped at once. Does nothing
  // if the gang is already being checkpointed or stopped.
  void Checkpoint(Gang& gang, const std::string& reason, Duration deadline,
                  Time now, SchedulerActions* actions);
  // Does nothing if the gang is already being stopped, except that the
  // end kCancel replaces the earlier one.
  void Stop(Gang& gang, const std::string& reason, GangEnd end, Time now,
            SchedulerActions* actions);

  void MemberResult(Gang& gang, int member, MemberOutcome outcome,
                    const std::string& reason, Time now,
                    SchedulerActions* actions);
  void CheckpointDone(Gang& gang, Time now, SchedulerActions* actions);
  // Applies the lease table that `worker` sent in reply to a request of
  // `requested_at`. Returns the accelerators held by leases of no current gang.
  int ApplyWorkerReport(WorkerIndex worker, const std::string& worker_name,
                        const std::vector<LeaseReport>& leases,
                        Time requested_at, Time now, SchedulerActions* actions);
  // The worker is unreachable; its leases lapse at `lapses_at`.
  void WorkerLost(WorkerIndex worker, Time lapses_at, Time now,
                  SchedulerActions* actions);
  void Tick(Time now, SchedulerActions* actions);
  // When Tick is next needed; nullopt if no gang has a deadline.
  std::optional<Time> NextDue() const;

 private:
  void MemberConfirmed(Gang& gang, int member, Time now,
                       SchedulerActions* actions);
  void MemberFailed(Gang& gang, int member, bool refused,
                    const std::string& reason, Time now,
                    SchedulerActions* actions);
  void MemberGone(Gang& gang, int member, const std::string& reason, Time now,
                  SchedulerActions* actions);
  void ApplyLeaseState(Gang& gang, int member, const LeaseReport& lease,
                       Time now, SchedulerActions* actions);
  void FinishIfAllFinished(Gang& gang, Time now, SchedulerActions* actions);
  void CompleteCheckpointIfAllSaved(Gang& gang, Time now,
                                    SchedulerActions* actions);
  void LiftThrottleIfAllConfirmed(Gang& gang, Time now,
                                  SchedulerActions* actions);
  // Removes the gang if no lease is left; `gang` is invalid after that.
  void RemoveIfAllGone(Gang& gang);
  void TickGang(Gang& gang, Time now, SchedulerActions* actions);

  const SchedulerOptions& options_;
  GangTable& gangs_;
  GangObserver& observer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GANG_LIFECYCLE_H_
