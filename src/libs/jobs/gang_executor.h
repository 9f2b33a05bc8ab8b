// Turns requests about gangs into calls to workers, with at most one call in
// flight per worker.
//
// No I/O: NextCalls returns the calls to send, and HandleCallResult takes their
// results. Each call to a worker has a new sequence number, so a delayed call
// cannot undo a later one: the worker has seen a newer token and refuses it. A
// request is kept until it is carried out: if a reply is lost, the call is
// repeated with the same lease ids.
//
// Not thread-safe.
#ifndef THORNPLANK_JOBS_GANG_EXECUTOR_H_
#define THORNPLANK_JOBS_GANG_EXECUTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_manager_settings.h"
#include "jobs/worker_call.h"
#include "scheduling/job_types.h"
#include "scheduling/scheduler_actions.h"

namespace thornplank {

class GangExecutor {
 public:
  GangExecutor(int64_t epoch, LeaseSettings settings, uint64_t seed);

  // Replaces the list of workers. A worker that is no longer listed is kept
  // while it holds leases of this executor or a call to it is in flight. A new
  // worker is fenced before any other call.
  void SetWorkers(const std::vector<WorkerInfo>& workers, Time now);

  // Requests a throttled lease for every member; `task` goes to each of them.
  // Returns a refusal for each member whose worker is unknown or lost.
  WorkerEvents Grant(const GrantGang& gang, const std::string& account,
                     const Json& task, Time now);
  void LiftThrottle(const std::string& gang_id);
  void Checkpoint(const std::string& gang_id);
  // Returns the outcome kGone for each member whose grant was never sent.
  WorkerEvents Stop(const std::string& gang_id);
  void StopLease(const std::string& worker, const std::string& lease_id);
  // Takes over a lease that the worker reported, or that the job stream records
  // for a worker that has not answered yet.
  void Adopt(const std::string& worker, const LeaseReport& lease, Time now);

  // The calls to send now. The result of each must be passed to
  // HandleCallResult exactly once.
  std::vector<WorkerCall> NextCalls(Time now);
  // `report` is set if and only if `refusal` is kNone.
  WorkerEvents HandleCallResult(const WorkerCall& call,
                                const std::optional<WorkerReport>& report,
                                WorkerRefusal refusal,
                                const std::string& reason, Time now);

  // Whether `worker` has answered a call of this epoch, so that it refuses the
  // calls of older epochs.
  bool fenced(const std::string& worker) const;
  size_t leases() const;

 private:
  // The state that a lease is to reach. kHeld: granted, but throttled.
  enum class Goal { kHeld, kRunning, kCheckpointed, kStopped };

  struct Lease {
    std::string gang_id;
    std::string job;
    std::string account;
    int accelerators = 0;
    Json task;
    Goal goal = Goal::kHeld;
    // The worker has confirmed the grant. While false, the worker may hold the
    // lease anyway if `grants_sent` is above 0.
    bool confirmed = false;
    int grants_sent = 0;
    bool throttle_lifted = false;
    // The worker has confirmed the request for a checkpoint.
    bool checkpoint_begun = false;
    // Valid only if checkpoint_begun.
    Time checkpoint_begun_at;
    // When the task should end according to its run time; nullopt if unknown.
    std::optional<Time> expected_end;
    // When the last grant or renewal of this lease was sent.
    Time extension_sent_at;
    // A stop after which the worker still held the lease is repeated from this
    // time on.
    Time next_stop_at;
  };

  struct WorkerState {
    std::string address;
    std::map<std::string, Lease> leases;
    // Invariant: at most one call in flight.
    bool in_flight = false;
    bool fenced = false;
    bool listed = true;
    // A lost worker gets no grants and no renewals, so its leases lapse.
    bool lost = false;
    // Valid only if lost: from then on no lease of the worker is still held.
    Time leases_lapse_at;
    // Failed calls in a row.
    int failures = 0;
    Time last_answer_at;
    // No call is sent before this time.
    Time retry_at;
    Time renew_at;
    // The time of this worker's entry in timers_, if it has one.
    std::optional<Time> timer_at;
  };

  // Adds the next call to `worker`, if one is due, and otherwise sets its
  // timer.
  void AddNextCall(const std::string& worker, WorkerState* state, Time now,
                   std::vector<WorkerCall>* calls);
  // NextCalls examines the worker again at `when`, or earlier if the worker is
  // added to changed_workers_.
  void SetTimer(const std::string& worker, WorkerState* state,
                std::optional<Time> when);
  std::optional<WorkerCall> NextCall(WorkerState* state, Time now);
  std::optional<WorkerCall> GrantCall(WorkerState* state, Time now);
  WorkerCall RenewCall(WorkerState* state, Time now);
  void HandleSuccess(const WorkerCall& call, const WorkerReport& report,
                     WorkerState* state, Time now, WorkerEvents* events);
  void HandleGrantSuccess(const WorkerCall& call, WorkerState* state,
                          WorkerEvents* events);
  void HandleStopSuccess(const WorkerCall& call, const WorkerReport& report,
                         WorkerState* state, Time now, WorkerEvents* events);
  void DropMissingLeases(const WorkerReport& report, WorkerState* state);
  void HandleFailure(const WorkerCall& call, WorkerRefusal refusal,
                     const std::string& reason, WorkerState* state, Time now,
                     WorkerEvents* events);
  void HandleGrantFailure(const WorkerCall& call, bool proved_not_granted,
                          const std::string& reason, WorkerState* state,
                          WorkerEvents* events);
  void MarkLost(const std::string& worker, WorkerState* state, Time now,
                WorkerEvents* events);
  Duration RenewalDelay(const WorkerState& state, Time now);

  const int64_t epoch_;
  const LeaseSettings settings_;
  std::mt19937_64 random_;
  int64_t sequence_ = 0;
  std::map<std::string, WorkerState> workers_;
  // Workers whose state has changed since NextCalls last examined them.
  std::set<std::string> changed_workers_;
  // Times at which NextCalls examines a worker, one at most per worker. Nothing
  // is to be sent to a worker that is in neither set, so the cost of NextCalls
  // depends only on the work that is due.
  std::set<std::pair<Time, std::string>> timers_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_GANG_EXECUTOR_H_
