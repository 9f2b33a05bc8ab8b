// The coordinator of one epoch: takes over the running gangs, schedules jobs
// and decides on worker calls.
//
// No I/O: it owns the scheduler and the gang executor, takes input from the job
// stream and the workers, and returns the worker calls and stream records that
// JobManager is to send. It exists from the moment at which the stream shows
// that this entry won the epoch until the entry steps down. Destroying it
// discards everything that was not sent.
//
// Not thread-safe; JobManager calls it with its mutex held.
#ifndef THORNPLANK_JOBS_COORDINATOR_H_
#define THORNPLANK_JOBS_COORDINATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/gang_executor.h"
#include "jobs/job_manager_settings.h"
#include "jobs/worker_call.h"
#include "scheduling/job_scheduler.h"
#include "state/job_stream_state.h"

namespace thornplank {

// Inputs of the scheduler other than jobs.
struct PlanningInputs {
  std::vector<WorkerInfo> workers;
  std::vector<AccountGuarantee> guarantees;
  std::vector<EventReservation> events;
};

class Coordinator {
 public:
  Coordinator(int64_t epoch, const JobManagerSettings& settings,
              PlanningInputs inputs, Time now);

  void SetWorkers(const std::vector<WorkerInfo>& workers, Time now);
  void SetGuarantees(const std::vector<AccountGuarantee>& accounts, Time now);
  void SetEvents(const std::vector<EventReservation>& events, Time now);

  // Adds a job of the stream or, while the log is down, an urgent job.
  // Idempotent.
  void Submit(const JobEntry& entry, Time now);
  void Cancel(const std::string& job, Time now);
  void HandleCallResult(const WorkerCall& call,
                        const std::optional<WorkerReport>& report,
                        WorkerRefusal refusal, const std::string& reason,
                        Time now);

  // Completes the takeover, based on the current `state`, once every worker has
  // answered or the takeover timeout has passed. After that, runs the scheduler
  // when its next tick is due. `wall_now` is the wall time at `now`.
  void Advance(const JobStreamState& state, Time now, WallTime wall_now);

  // Return what is to be sent now; each call and record is returned once.
  std::vector<WorkerCall> TakeCalls(Time now);
  std::vector<JobStreamRecord> TakeRecords();

  int64_t epoch() const { return epoch_; }
  // Whether the takeover is complete, so that jobs are scheduled.
  bool planning() const { return planning_; }
  // Whether enough workers have seen a newer epoch: the entry must step down.
  bool superseded() const;
  std::optional<JobStatus> job(const std::string& id) const;
  int free_accelerators() const { return scheduler_.free_accelerators(); }
  size_t leases() const { return executor_.leases(); }

 private:
  // A job that is not final.
  struct TrackedJob {
    std::string account;
    Json task;
    // Of the newest record of the job.
    int64_t revision = 0;
    // Saved by checkpoints that were completed on every member.
    Milliseconds progress{0};
  };

  bool TakeoverMayComplete(Time now) const;
  void CompleteTakeover(const JobStreamState& state, Time now,
                        WallTime wall_now);
  std::map<std::string, AdoptedGang> AdoptReportedGangs(Time now);
  void AddUnreportedMembers(const JobStreamState& state, Time now,
                            std::map<std::string, AdoptedGang>* gangs);
  void ReconcilePhase(const JobStreamState& state, WallTime wall_now,
                      AdoptedGang* gang) const;
  std::optional<Duration> UnrecordedProgress(const JobEntry& entry,
                                             const AdoptedGang& gang) const;

  void AddMissingRecords(const JobEntry& entry);

  void HandleWorkerEvents(const WorkerEvents& events, Time now);
  void HandleEvent(const MemberOutcomeEvent& event, Time now);
  void HandleEvent(const WorkerReportEvent& event, Time now);
  void HandleEvent(const WorkerLostEvent& event, Time now);
  void HandleEvent(const WorkerRecoveredEvent& event, Time now);
  void HandleEvent(const TokenRefusedEvent& event, Time now);
  void ExecuteActions(const SchedulerActions& actions, Time now);
  void ExecuteAction(const GrantGang& action, Time now);
  void ExecuteAction(const LiftThrottle& action, Time now);
  void ExecuteAction(const CheckpointGang& action, Time now);
  void ExecuteAction(const StopGang& action, Time now);
  void ExecuteAction(const StopLease& action, Time now);
  void ExecuteAction(const PhaseChanged& action, Time now);
  void ExecuteAction(const ReportShortfall& action, Time now);
  void ExecuteAction(const WorkerQuarantineChanged& action, Time now);

  const int64_t epoch_;
  const Time takeover_deadline_;
  PlanningInputs inputs_;
  JobScheduler scheduler_;
  GangExecutor executor_;
  // False during the takeover: nothing is passed to the scheduler yet, and
  // input is kept in reports_, lost_workers_ and early_jobs_.
  bool planning_ = false;
  Time next_tick_;
  // The newest report by worker.
  std::map<std::string, WorkerReportEvent> reports_;
  // When the leases of a lost worker lapse, by worker.
  std::map<std::string, Time> lost_workers_;
  // Jobs submitted before the takeover was complete.
  std::vector<JobEntry> early_jobs_;
  // By id. Jobs that are final in the stream are left out: further records do
  // not change them.
  std::map<std::string, TrackedJob> jobs_;
  // Actions that are still to be executed, in order. Executing one may add
  // others.
  std::deque<SchedulerAction> pending_actions_;
  bool executing_actions_ = false;
  std::vector<JobStreamRecord> records_;
  // Workers that refused this epoch's token as stale.
  std::set<std::string> workers_refusing_token_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_COORDINATOR_H_
