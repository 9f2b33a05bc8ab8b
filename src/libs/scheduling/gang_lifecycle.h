// The rules by which a gang starts, runs, is saved and stops, as one.
//
// The throttle is lifted only when every member has confirmed; a member that
// is lost, refused or failed stops all others; a gang ends only when no lease
// of it can be held any more, so that no job has two attempts at once.
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

// Told of what happens to gangs.
class GangObserver {
 public:
  virtual ~GangObserver() = default;
  virtual void OnPhase(const Gang& gang, JobPhase phase,
                       const std::string& reason) = 0;
  // A member's task failed, or the worker refused the grant.
  virtual void OnMemberFailed(const Gang& gang, const MemberRecord& member,
                              bool refused, const std::string& reason,
                              Time now) = 0;
  // All members saved their state `took` after being asked.
  virtual void OnCheckpointed(const Gang& gang, Duration took) = 0;
  // The checkpoint was not done by its deadline.
  virtual void OnCheckpointHung(const Gang& gang) = 0;
  // Every member finished; the leases are released next.
  virtual void OnFinished(const Gang& gang, Time now) = 0;
  // No lease is left; the gang is removed next.
  virtual void OnEnded(const Gang& gang) = 0;
};

class GangLifecycle {
 public:
  // All arguments outlive the object.
  GangLifecycle(const SchedulerOptions& options, GangTable& gangs,
                GangObserver& observer);

  void Start(std::unique_ptr<Gang> gang, const std::string& reason, Time now,
             SchedulerActions* actions);
  // Takes over a gang whose members are all held.
  void TakeOver(std::unique_ptr<Gang> gang, JobPhase phase, Duration ran_for,
                Time now, SchedulerActions* actions);
  // Does nothing to a gang that is already being saved or stopped, except
  // that `end` is taken over when the job was cancelled.
  void Checkpoint(Gang& gang, const std::string& reason, Duration deadline,
                  Time now, SchedulerActions* actions);
  void Stop(Gang& gang, const std::string& reason, JobDisposition disposition,
            Time now, SchedulerActions* actions);

  void MemberResult(Gang& gang, int member, MemberOutcome outcome,
                    const std::string& reason, Time now,
                    SchedulerActions* actions);
  void CheckpointDone(Gang& gang, Time now, SchedulerActions* actions);
  // Returns the accelerators held on `worker` by leases that are not ours.
  int ApplyWorkerReport(WorkerIndex worker, const std::string& worker_name,
                        const std::vector<LeaseReport>& leases, Time asked_at,
                        Time now, SchedulerActions* actions);
  void WorkerLost(WorkerIndex worker, Time lapses_at, Time now,
                  SchedulerActions* actions);
  void Tick(Time now, SchedulerActions* actions);
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
  // Removes the gang when no lease is left; `gang` is then invalid.
  void RemoveIfAllGone(Gang& gang);
  void TickGang(Gang& gang, Time now, SchedulerActions* actions);

  const SchedulerOptions& options_;
  GangTable& gangs_;
  GangObserver& observer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GANG_LIFECYCLE_H_
