// The coordinator of one epoch: takes over, plans, and orders worker calls.
//
// No I/O: it holds the scheduler and the gang executor, is fed with what the
// stream and the workers say, and gives out worker calls and stream records
// for the carrier to send. It lives from the moment at which the stream says
// that this entry won the epoch until it steps down; a coordinator that was
// dropped has nothing left to send.
//
// Not thread-safe; JobManager calls it under its mutex.
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

// What the scheduler plans with besides jobs.
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

  // A job of the stream, or an urgent one while the log is down. Idempotent.
  void Submit(const JobEntry& entry, Time now);
  void Cancel(const std::string& job, Time now);
  void CallDone(const WorkerCall& call,
                const std::optional<WorkerReport>& report,
                WorkerRefusal refusal, const std::string& reason, Time now);

  // Ends the takeover when every worker was heard or the time is up, from the
  // fold as it stands; then places what fits. `wall_now` belongs to the same
  // moment as `now`.
  void Advance(const JobStreamState& fold, Time now, WallTime wall_now);

  // What to send now, each once.
  std::vector<WorkerCall> TakeCalls(Time now);
  std::vector<JobStreamRecord> TakeRecords();

  int64_t epoch() const { return epoch_; }
  bool planning() const { return planning_; }
  // Enough workers have seen a newer epoch: this coordinator must go.
  bool superseded() const;
  std::optional<JobStatus> job(const std::string& id) const;
  int free_accelerators() const { return scheduler_.free_accelerators(); }
  size_t leases() const { return executor_.leases(); }

 private:
  // What it remembers of a job until it is final.
  struct KnownJob {
    std::string account;
    Json task;
    int64_t revision = 0;
    // Saved by checkpoints that completed on every member.
    Milliseconds progress{0};
  };

  bool TakeoverDone(Time now) const;
  void TakeOver(const JobStreamState& fold, Time now, WallTime wall_now);
  std::map<std::string, AdoptedGang> FindGangs(Time now);
  void AddUnheardMembers(const JobStreamState& fold, Time now,
                         std::map<std::string, AdoptedGang>* gangs);
  void SettlePhase(const JobStreamState& fold, WallTime wall_now,
                   AdoptedGang* gang) const;
  std::optional<Duration> UncountedProgress(const JobEntry& entry,
                                            const AdoptedGang& gang) const;

  void ResyncRecords(const JobEntry& entry);

  void Handle(const WorkerEvents& events, Time now);
  void HandleOne(const MemberFared& event, Time now);
  void HandleOne(const ReportArrived& event, Time now);
  void HandleOne(const WorkerWentSilent& event, Time now);
  void HandleOne(const WorkerCameBack& event, Time now);
  void HandleOne(const TokenRefused& event, Time now);
  void Carry(const SchedulerActions& actions, Time now);
  void CarryOne(const GrantGang& action, Time now);
  void CarryOne(const LiftThrottle& action, Time now);
  void CarryOne(const CheckpointGang& action, Time now);
  void CarryOne(const StopGang& action, Time now);
  void CarryOne(const StopLease& action, Time now);
  void CarryOne(const PhaseChanged& action, Time now);
  void CarryOne(const ReportShortfall& action, Time now);
  void CarryOne(const WorkerQuarantineChanged& action, Time now);

  const int64_t epoch_;
  const Time takeover_deadline_;
  PlanningInputs inputs_;
  JobScheduler scheduler_;
  GangExecutor executor_;
  // False during the takeover: the scheduler is not fed yet, and what arrives
  // is kept in heard_, silent_ and early_.
  bool planning_ = false;
  Time next_tick_;
  std::map<std::string, ReportArrived> heard_;
  std::map<std::string, Time> silent_;
  std::vector<JobEntry> early_;
  // Jobs whose next record may still count; not those that the stream holds
  // as final.
  std::map<std::string, KnownJob> jobs_;
  // Actions not carried out yet, in order. Carrying one out may add others.
  std::deque<SchedulerAction> queue_;
  bool carrying_ = false;
  std::vector<JobStreamRecord> records_;
  // Workers that refused our token as old.
  std::set<std::string> refusing_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_COORDINATOR_H_
