// Decides which gang runs where and when: the one place where jobs,
// guarantees, events and workers meet.
//
// Decision code: events and a Time go in, SchedulerActions come out, to be
// carried out in their order. Only the coordinator of the current epoch holds
// one; after a takeover it is rebuilt by SetWorkers, SetGuarantees, SetEvents,
// Submit for every job that is not final, then Adopt for every gang found at
// the workers, and then Tick. Nothing is placed before the first Tick.
//
// What the carrier owes: it renews the leases of a gang until the StopGang of
// that gang and never after it; it repeats a GrantGang or StopGang whose reply
// was lost; it reports a member that had not confirmed as kGone only after a
// stop with a newer token was answered by its worker, since an older grant
// may still be on its way.
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

class GuaranteeWitness;

struct SchedulerOptions {
  // Part of every gang and lease id: the coordinator's epoch, so that no two
  // coordinators make the same id.
  std::string id_prefix = "0";
  // From GrantGang until the gang is stopped when a member has not confirmed.
  Duration start_timeout = std::chrono::seconds(10);
  // Attempts of a job that fail by themselves before the job fails.
  int max_attempts = 3;
  // A job is large when it needs at least this share of all accelerators...
  double large_job_share = 0.05;
  // ... and the oldest one gets a reservation after waiting this long.
  Duration large_job_wait_bound = std::chrono::seconds(60);
  // How often backfilled jobs that overrun may delay one reservation before
  // nothing more is backfilled around it.
  int max_reservation_delays = 3;
  // Added to the measured checkpoint time, as a share of it, when borrowers
  // are moved off before an event.
  double checkpoint_margin = 0.5;
  // Checkpoint time assumed for an account before one was measured.
  Duration assumed_checkpoint_time = std::chrono::seconds(10);
  // Largest share of workers in quarantine at once.
  double max_quarantined_share = 0.1;
  // From quarantine until a probe is placed on the worker.
  Duration quarantine_time = std::chrono::seconds(60);
  // A waiting job that the declared workers could not hold even if empty, or
  // that its account's rules forbid, fails after this long.
  Duration impossible_job_bound = std::chrono::seconds(30);
  // A worker that refused a grant gets none for this long, nor does the job.
  Duration refusal_pause = std::chrono::seconds(5);
  uint64_t seed = 1;
};

// How one member of a gang fared.
enum class MemberOutcome {
  // The lease is granted, throttled.
  kConfirmed,
  // The worker refused the grant: nothing is held there.
  kRefused,
  // The task failed; the lease is held until stopped.
  kFailed,
  // The task finished; the lease is held until stopped.
  kFinished,
  // The lease is proved gone: stopped, lapsed or unknown to the worker.
  kGone,
};

// A gang found at takeover in the workers' own lease tables.
struct AdoptedGang {
  std::string job;
  std::string gang_id;
  // Every member found, on all workers.
  std::vector<GangMember> members;
  // Phase of the job by the job stream, or kCancelled when the stream holds
  // a cancellation that was not carried through.
  JobPhase phase = JobPhase::kRunning;
  // How long the gang has run; zero when unknown.
  Duration ran_for = Duration::zero();
  // Set when every member has saved its state and the job does not count it
  // yet: the least progress over the members. The gang is stopped.
  std::optional<Duration> saved_progress;
};

// What is known about one job, for callers and operators.
struct JobStatus {
  JobSpec spec;
  JobPhase phase = JobPhase::kWaiting;
  // Why it is in this phase; for a waiting job, what it waits for.
  std::string reason;
  // Empty when no attempt is under way.
  std::string gang_id;
  std::vector<GangMember> members;
  int attempts = 0;
  // Whether the gang uses its account's own guarantee.
  bool guaranteed = false;
  // Run time saved by the checkpoints that completed on every member; a gang
  // that starts begins there.
  Duration saved_progress = Duration::zero();
};

class JobScheduler {
 public:
  explicit JobScheduler(SchedulerOptions options);
  ~JobScheduler();
  JobScheduler(const JobScheduler&) = delete;
  JobScheduler& operator=(const JobScheduler&) = delete;

  // Replaces the set of workers. A worker missing from `workers` is treated
  // as leaving while a gang of ours is on it.
  SchedulerActions SetWorkers(const std::vector<WorkerInfo>& workers, Time now);
  // Replaces all guarantees. Call CheckGuaranteesFit first: a set that does
  // not fit is taken as far as it goes and the rest reported as a shortfall.
  SchedulerActions SetGuarantees(const std::vector<AccountGuarantee>& accounts,
                                 Time now);
  // Replaces all events. One that cannot be served whole is reported at once.
  // An event stays until it is left out of a later call.
  SchedulerActions SetEvents(const std::vector<EventReservation>& events,
                             Time now);

  // Takes a job in. A repeat of a known id changes nothing. `saved_progress`
  // is what checkpoints under an earlier coordinator saved.
  SchedulerActions Submit(const JobSpec& job, Time now,
                          Duration saved_progress = Duration::zero());
  // No start after this. A running gang is stopped; the phase becomes
  // kCancelled when no lease of it is left.
  SchedulerActions Cancel(const std::string& job, Time now);
  // A gang whose job is unknown, final or already has another gang, or which
  // was found with part of its members only, is stopped.
  SchedulerActions Adopt(const AdoptedGang& gang, Time now);

  // The lease table of `worker` as answered to a call sent at `asked_at`. A
  // lease that was confirmed before `asked_at` and is missing here is gone.
  SchedulerActions WorkerReported(const std::string& worker,
                                  const std::vector<LeaseReport>& leases,
                                  Time asked_at, Time now);
  // Ignored when `gang_id` is not the job's current attempt.
  SchedulerActions MemberResult(const std::string& job,
                                const std::string& gang_id,
                                const std::string& lease_id,
                                MemberOutcome outcome,
                                const std::string& reason, Time now);
  // All members have saved their state.
  SchedulerActions CheckpointDone(const std::string& job,
                                  const std::string& gang_id, Time now);
  // The worker cannot be reached. Every lease on it is held until
  // `leases_lapse_at` (last renewal sent + term + margin for its clock).
  SchedulerActions WorkerLost(const std::string& worker, Time leases_lapse_at,
                              Time now);
  // The worker answers again; its lease table follows by WorkerReported.
  SchedulerActions WorkerRecovered(const std::string& worker, Time now);

  // Acts on what has come due and places what fits.
  SchedulerActions Tick(Time now);
  // When Tick is next needed if nothing else happens; nullopt when never.
  std::optional<Time> NextWake() const;

  std::optional<JobStatus> job(const std::string& id) const;
  // Workers that take no gang because of their failures.
  std::vector<std::string> quarantined_workers() const;
  // Accelerators not held by any lease on workers that may be used.
  int free_accelerators() const;
  // Where every guarantee would be honoured now.
  const GuaranteeWitness& witness() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Why the guarantees cannot all be held at once by `workers` (none of them
// lost), or nullopt when they can.
std::optional<std::string> CheckGuaranteesFit(
    const std::vector<WorkerInfo>& workers,
    const std::vector<AccountGuarantee>& guarantees);

// Why `job` can never run on `workers` even when all are empty, or by the
// rules of its account; nullopt when it can.
std::optional<std::string> CheckJobCanEverRun(
    const JobSpec& job, const std::vector<WorkerInfo>& workers,
    const std::vector<AccountGuarantee>& guarantees);

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_JOB_SCHEDULER_H_
