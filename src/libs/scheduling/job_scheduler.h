// Decides which gang runs where and when, given jobs, guarantees, events and
// workers.
//
// Decision code without I/O: each call takes an event and the time and returns
// SchedulerActions, which the caller carries out in order. Only the coordinator
// of the current epoch has a JobScheduler. A new coordinator builds it by
// calling SetWorkers, SetGuarantees and SetEvents, then Submit for every job
// that is not final, then Adopt for every gang found at the workers, and then
// Tick. Nothing is placed before the first Tick.
//
// Requirements on the caller:
// - It renews the leases of a gang until the StopGang of that gang, and never
//   after that.
// - It repeats a GrantGang or StopGang whose reply was lost.
// - It reports an unconfirmed member as kGone only after the worker has
//   answered a stop with a newer token, since an earlier grant may still be in
//   flight.
#ifndef THORNPLANK_SCHEDULING_JOB_SCHEDULER_H_
#define THORNPLANK_SCHEDULING_JOB_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/worker_client.h"
#include "scheduling/job_types.h"
#include "scheduling/scheduler_actions.h"

namespace thornplank {

class GuaranteePlacement;

struct SchedulerOptions {
  // The coordinator's epoch. It is part of every gang and lease id, so that no
  // two coordinators create the same id.
  std::string id_prefix = "0";
  // Time from GrantGang until the gang is stopped if a member is not confirmed.
  Duration start_timeout = std::chrono::seconds(10);
  // Number of attempts that end by a failing task, on distinct workers that are
  // not suspected, after which the job fails.
  int max_attempts = 3;
  // A job is large if it needs at least this share of all accelerators.
  double large_job_share = 0.05;
  // The oldest large job gets a reservation after waiting this long.
  Duration large_job_wait_bound = std::chrono::seconds(60);
  // Number of times that backfilled jobs may delay a reservation by overrunning
  // before nothing more is backfilled around it.
  int max_reservation_delays = 3;
  // Safety margin, as a share of the measured checkpoint time, that is added to
  // it when borrowers are stopped ahead of an event.
  double checkpoint_margin = 0.5;
  // Checkpoint time assumed for an account until one has been measured.
  Duration assumed_checkpoint_time = std::chrono::seconds(10);
  // Largest share of the workers that may be in quarantine at the same time.
  double max_quarantined_share = 0.1;
  // Time in quarantine after which a probe is placed on the worker. Doubled
  // after each failed probe, up to a limit.
  Duration quarantine_time = std::chrono::seconds(60);
  // A waiting job fails after this long if the declared workers could not hold
  // it even when empty, or if the rules of its account forbid it.
  Duration infeasible_job_timeout = std::chrono::seconds(30);
  // After a refused grant, neither the worker nor the job gets a new grant for
  // this long.
  Duration refusal_backoff = std::chrono::seconds(5);
  // Seed of the search for layouts of cells; see CellLayout.
  uint64_t seed = 1;
};

// What became of one member of a gang.
enum class MemberOutcome {
  // The lease is granted and throttled.
  kConfirmed,
  // The worker refused the grant: nothing is held there.
  kRefused,
  // The task failed; the lease is held until stopped.
  kFailed,
  // The task finished; the lease is held until stopped.
  kFinished,
  // The lease is proved to be gone: stopped, lapsed or unknown to the worker.
  kGone,
};

// A gang that a new coordinator found in the lease tables of the workers.
struct AdoptedGang {
  std::string job;
  std::string gang_id;
  // All members found on any worker.
  std::vector<GangMember> members;
  // Phase of the job according to the job stream, or kCancelled if the stream
  // contains a cancellation that was not completed.
  JobPhase phase = JobPhase::kRunning;
  // How long the gang has run; zero if unknown.
  Duration ran_for = Duration::zero();
  // The smallest progress over the members. Set if every member has saved its
  // state and the job's progress does not include it yet; the gang is stopped.
  std::optional<Duration> saved_progress;
};

// The state of one job, for callers and operators.
struct JobStatus {
  JobSpec spec;
  JobPhase phase = JobPhase::kWaiting;
  // Why the job is in this phase; for a waiting job, what it waits for.
  std::string reason;
  // Empty if no attempt is in progress.
  std::string gang_id;
  std::vector<GangMember> members;
  int attempts = 0;
  // Whether the gang runs under the guarantee of its account.
  bool guaranteed = false;
  // Run time saved by checkpoints that completed on every member. A new attempt
  // resumes there.
  Duration saved_progress = Duration::zero();
};

class JobScheduler {
 public:
  explicit JobScheduler(SchedulerOptions options);
  ~JobScheduler();
  JobScheduler(const JobScheduler&) = delete;
  JobScheduler& operator=(const JobScheduler&) = delete;

  // Replaces the set of workers. A worker missing from `workers` is treated as
  // leaving while a gang still has a member on it.
  SchedulerActions SetWorkers(const std::vector<WorkerInfo>& workers, Time now);
  // Replaces all guarantees. Call CheckGuaranteesFit first: if the guarantees
  // do not fit, as many as possible are placed and the rest is reported as a
  // shortfall.
  SchedulerActions SetGuarantees(const std::vector<AccountGuarantee>& accounts,
                                 Time now);
  // Replaces all events; an event that is left out ends. An event that cannot
  // be served completely is reported as a shortfall at once.
  SchedulerActions SetEvents(const std::vector<EventReservation>& events,
                             Time now);

  // Adds a job. A known id changes nothing. `saved_progress` is the run time
  // that checkpoints under an earlier coordinator have saved.
  SchedulerActions Submit(const JobSpec& job, Time now,
                          Duration saved_progress = Duration::zero());
  // The job is not started after this. A running gang is stopped; the phase
  // becomes kCancelled when none of its leases is left.
  SchedulerActions Cancel(const std::string& job, Time now);
  // Takes over a gang that runs at the workers. The gang is stopped if its job
  // is unknown, final or has another gang, or if some of its members are
  // missing.
  SchedulerActions Adopt(const AdoptedGang& gang, Time now);

  // The lease table that `worker` returned to a request sent at `requested_at`.
  // A lease that was confirmed before `requested_at` and is missing from it is
  // gone.
  SchedulerActions WorkerReported(const std::string& worker,
                                  const std::vector<LeaseReport>& leases,
                                  Time requested_at, Time now);
  // Ignored if `gang_id` is not the job's current attempt.
  SchedulerActions MemberResult(const std::string& job,
                                const std::string& gang_id,
                                const std::string& lease_id,
                                MemberOutcome outcome,
                                const std::string& reason, Time now);
  // All members have saved their state.
  SchedulerActions CheckpointDone(const std::string& job,
                                  const std::string& gang_id, Time now);
  // The worker is unreachable. Its leases count as held until
  // `leases_lapse_at`: the time of the last renewal sent, plus the lease term,
  // plus a margin for the worker's clock.
  SchedulerActions WorkerLost(const std::string& worker, Time leases_lapse_at,
                              Time now);
  // The worker is reachable again; WorkerReported with its lease table follows.
  SchedulerActions WorkerRecovered(const std::string& worker, Time now);

  // Handles expired deadlines and places the jobs that fit.
  SchedulerActions Tick(Time now);
  // When Tick is next needed if no other event comes; nullopt if never.
  std::optional<Time> NextWake() const;

  std::optional<JobStatus> job(const std::string& id) const;
  // Workers that get no gang because of their failures, except as probes.
  std::vector<std::string> quarantined_workers() const;
  // Accelerators of usable workers that are neither held by a lease nor
  // claimed.
  int free_accelerators() const;
  // The current placement of all guarantees.
  const GuaranteePlacement& guarantee_placement() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Why `workers`, all of them reachable, cannot honour all guarantees at the
// same time; nullopt if they can.
std::optional<std::string> CheckGuaranteesFit(
    const std::vector<WorkerInfo>& workers,
    const std::vector<AccountGuarantee>& guarantees);

// Why `job` can never run, either on `workers` even when all are empty or by
// the rules of its account; nullopt if it can.
std::optional<std::string> CheckJobCanEverRun(
    const JobSpec& job, const std::vector<WorkerInfo>& workers,
    const std::vector<AccountGuarantee>& guarantees);

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_JOB_SCHEDULER_H_
