// Implements JobScheduler. Handles its events and runs the steps of a decision
// in order: repair the placement of guarantees, place jobs, reclaim
// accelerators, report shortfalls.
#ifndef THORNPLANK_SCHEDULING_SCHEDULER_CORE_H_
#define THORNPLANK_SCHEDULING_SCHEDULER_CORE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/gang_lifecycle.h"
#include "scheduling/placement_round.h"
#include "scheduling/reclaimer.h"
#include "scheduling/scheduler_state.h"

namespace thornplank {

class SchedulerCore : public GangObserver,
                      public GangStarter,
                      public GangStopper {
 public:
  explicit SchedulerCore(SchedulerOptions options);

  // The events; see JobScheduler.
  void SetWorkers(const std::vector<WorkerInfo>& workers, Time now);
  void SetGuarantees(const std::vector<AccountGuarantee>& accounts, Time now);
  void SetEvents(const std::vector<EventReservation>& events);
  // Returns nullptr if the job is already known.
  JobRecord* Submit(const JobSpec& spec, Duration saved_progress, Time now);
  void Cancel(const std::string& id, Time now);
  void Adopt(const AdoptedGang& found, Time now);
  void WorkerReported(WorkerIndex worker,
                      const std::vector<LeaseReport>& leases, Time requested_at,
                      Time now);
  void MemberResult(Gang& gang, int member, MemberOutcome outcome,
                    const std::string& reason, Time now);
  void CheckpointDone(Gang& gang, Time now);
  void WorkerLost(WorkerIndex worker, Time leases_lapse_at, Time now);
  void WorkerRecovered(WorkerIndex worker);
  void Tick(Time now);

  // To be called after each event: runs the steps of a decision and returns the
  // actions of the event and the decision. DecideForJob does so after the
  // submission of `job`.
  SchedulerActions Decide(Time now);
  SchedulerActions DecideForJob(JobRecord& job, Time now);
  std::optional<Time> NextWake(Time now) const;

  SchedulerState& state() { return state_; }
  const SchedulerState& state() const { return state_; }
  Time last_event() const { return last_event_; }

  // GangObserver
  void OnPhase(const Gang& gang, JobPhase phase,
               const std::string& reason) override;
  void OnMemberFailed(const Gang& gang, const MemberRecord& member,
                      bool refused, const std::string& reason,
                      Time now) override;
  void OnCheckpointed(const Gang& gang, Duration took) override;
  void OnCheckpointHung(const Gang& gang) override;
  void OnFinished(const Gang& gang, Time now) override;
  void OnEnded(const Gang& gang) override;
  // GangStarter
  void StartGang(JobRecord& job, const std::vector<WorkerIndex>& workers,
                 const std::string& reason, Time now) override;
  // GangStopper
  void CheckpointAndStop(Gang& gang, const std::string& reason,
                         Time now) override;

 private:
  void UpdateCellDemands();
  void UpdateLargeShapes();
  // Turns gangs into borrowers, and drops plans, whose cells are no longer
  // declared or have been lent to an event.
  void DemoteGangsWithoutCells();
  void CheckFeasibility(JobClass& job_class, Time now);
  void FailInfeasibleJobs(Time now);
  void DrainLeavingWorkers(Time now);
  void EndRefusalBackoffs(Time now);
  void CompleteProbes(Time now);
  void ReleaseFromQuarantine(WorkerIndex worker);
  void ReportShortfalls();
  void ClearStaleReports();
  void ReportIfChanged(ReportShortfall::Subject subject,
                       const std::string& name, const std::string& text);
  // Describes the capacity that the event lacks; empty if it lacks none.
  std::string EventShortfall(const EventReservation& event) const;
  SchedulerActions TakeActions();

  SchedulerState state_;
  GangLifecycle lifecycle_;
  Reclaimer reclaimer_;
  std::vector<WorkerInfo> workers_;
  // Last reported text by subject and name; empty if there is no shortfall.
  std::map<std::pair<ReportShortfall::Subject, std::string>, std::string>
      reported_shortfalls_;
  // Whether a shortfall was reported and has not been withdrawn.
  bool has_reported_shortfall_ = false;
  // Time of the latest decision.
  Time last_event_;
  // Number of the last gang started; part of gang ids.
  int64_t last_gang_ = 0;
  // Whether Tick was called; nothing is placed before that.
  bool ticked_ = false;
  // Whether anything other than a new job changed since the last complete
  // round.
  bool dirty_ = false;
  // Whether the workers or the cells changed since the placement of guarantees
  // was last repaired.
  bool repair_due_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_SCHEDULER_CORE_H_
