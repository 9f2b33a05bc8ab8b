// Takes the events of JobScheduler apart and runs the steps of a decision in
// their order: end and repair, place, reclaim, report.
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
  // Returns nullptr when the job was known.
  JobRecord* Submit(const JobSpec& spec, Duration saved_progress, Time now);
  void Cancel(const std::string& id, Time now);
  void Adopt(const AdoptedGang& found, Time now);
  void WorkerReported(WorkerIndex worker,
                      const std::vector<LeaseReport>& leases, Time asked_at,
                      Time now);
  void MemberResult(Gang& gang, int member, MemberOutcome outcome,
                    const std::string& reason, Time now);
  void CheckpointDone(Gang& gang, Time now);
  void WorkerLost(WorkerIndex worker, Time leases_lapse_at, Time now);
  void WorkerRecovered(WorkerIndex worker);
  void Tick(Time now);

  // End an event: place, reclaim, report, and hand out the actions.
  SchedulerActions Decide(Time now);
  SchedulerActions DecideFor(JobRecord& job, Time now);
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
  void CheckpointAndStop(Gang& gang, const std::string& why, Time now) override;

 private:
  void DeclareCells();
  void SetLargeShapes();
  // Takes the guarantee from gangs and plans whose cells are gone or lent.
  void DemoteUncovered();
  void CheckPossible(JobClass& job_class, Time now);
  void FailImpossible(Time now);
  void DrainLeaving(Time now);
  void ReleaseRefusing(Time now);
  void JudgeProbes(Time now);
  void ReleaseFromQuarantine(WorkerIndex worker);
  void ReportShortfalls();
  void WithdrawReports();
  void ReportOne(ReportShortfall::Subject subject, const std::string& name,
                 const std::string& text);
  std::string EventShortfall(const EventReservation& event) const;
  SchedulerActions TakeActions();

  SchedulerState state_;
  GangLifecycle lifecycle_;
  Reclaimer reclaimer_;
  std::vector<WorkerInfo> workers_;
  // Shortfalls that stand reported: subject, name -> text.
  std::map<std::pair<ReportShortfall::Subject, std::string>, std::string>
      reported_;
  // Whether one of them has a text.
  bool reported_shortfall_ = false;
  Time last_event_;
  int64_t last_gang_ = 0;
  bool ticked_ = false;
  // Something other than a new job changed since the last full round.
  bool dirty_ = false;
  // The workers or the cells changed since the witness was repaired.
  bool repair_due_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_SCHEDULER_CORE_H_
