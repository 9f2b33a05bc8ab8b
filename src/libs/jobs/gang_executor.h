// Turns orders about gangs into calls to workers, one call per worker at a
// time.
//
// No I/O: calls come out of NextCalls and their answers go into CallDone.
// With one call in flight per worker and a new sequence number for each, a
// call that was delayed on its way can never undo a later one: the worker has
// seen a newer token and refuses it. An order is kept until it is carried out,
// so a lost answer is repeated, under the same lease ids.
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

  // A worker that is missing is kept while leases of ours are on it. New ones
  // are fenced before anything else.
  void SetWorkers(const std::vector<WorkerInfo>& workers, Time now);

  // `task` is handed to every member.
  WorkerEvents Grant(const GrantGang& gang, const std::string& account,
                     const Json& task, Time now);
  void Lift(const std::string& gang_id);
  void Checkpoint(const std::string& gang_id);
  // Members whose grant was never sent are gone at once.
  WorkerEvents Stop(const std::string& gang_id);
  void StopLease(const std::string& worker, const std::string& lease_id);
  // A lease found at takeover, or one that the stream says is there at a
  // worker that has not answered yet.
  void Adopt(const std::string& worker, const LeaseReport& lease, Time now);

  // The calls to send now. Each must be answered by CallDone once.
  std::vector<WorkerCall> NextCalls(Time now);
  // `report` is set exactly when `refusal` is kNone.
  WorkerEvents CallDone(const WorkerCall& call,
                        const std::optional<WorkerReport>& report,
                        WorkerRefusal refusal, const std::string& reason,
                        Time now);

  // Whether `worker` has answered the fence of this epoch.
  bool fenced(const std::string& worker) const;
  size_t leases() const;

 private:
  enum class Want { kHeld, kRunning, kCheckpointed, kStopped };

  struct Lease {
    std::string gang_id;
    std::string job;
    std::string account;
    int accelerators = 0;
    Json task;
    Want want = Want::kHeld;
    // The worker has confirmed it. While false, `grants_sent` tells whether
    // it may be there all the same.
    bool confirmed = false;
    int grants_sent = 0;
    bool lifted = false;
    bool checkpoint_told = false;
    // Meaningful once checkpoint_told.
    Time checkpoint_told_at;
    // When the task should end by its own run time; nullopt when unknown.
    std::optional<Time> ends_at;
    // The latest moment at which a grant or renewal of it was sent.
    Time extended_at;
    // A stop that left it there is repeated from then on.
    Time stop_again_at;
  };

  struct Slot {
    std::string address;
    std::map<std::string, Lease> leases;
    // Invariant: at most one call in flight.
    bool in_flight = false;
    bool fenced = false;
    bool listed = true;
    // No grant and no renewal goes to a lost worker, so its leases lapse.
    bool lost = false;
    Time lapse_at;
    int failures = 0;
    Time answered_at;
    Time retry_at;
    Time renew_at;
    // Its place in timers_.
    std::optional<Time> timer;
  };

  // Looks at one worker for NextCalls.
  void Visit(const std::string& worker, Slot* slot, Time now,
             std::vector<WorkerCall>* calls);
  // The worker is visited next at `when`, unless it is touched before.
  void SetTimer(const std::string& worker, Slot* slot,
                std::optional<Time> when);
  std::optional<WorkerCall> NextCall(Slot* slot, Time now);
  std::optional<WorkerCall> GrantCall(Slot* slot, Time now);
  WorkerCall RenewCall(Slot* slot, Time now);
  void Succeeded(const WorkerCall& call, const WorkerReport& report, Slot* slot,
                 Time now, WorkerEvents* events);
  void GrantSucceeded(const WorkerCall& call, Slot* slot, WorkerEvents* events);
  void StopSucceeded(const WorkerCall& call, const WorkerReport& report,
                     Slot* slot, Time now, WorkerEvents* events);
  void DropMissing(const WorkerReport& report, Slot* slot);
  void Failed(const WorkerCall& call, WorkerRefusal refusal,
              const std::string& reason, Slot* slot, Time now,
              WorkerEvents* events);
  void RefuseGrant(const WorkerCall& call, bool proved,
                   const std::string& reason, Slot* slot, WorkerEvents* events);
  void Lose(const std::string& worker, Slot* slot, Time now,
            WorkerEvents* events);
  Duration RenewalDelay(const Slot& slot, Time now);

  const int64_t epoch_;
  const LeaseSettings settings_;
  std::mt19937_64 random_;
  int64_t sequence_ = 0;
  std::map<std::string, Slot> slots_;
  // Workers for which something has changed since their last visit, and those
  // for which something comes due. Every worker that is in neither has nothing
  // to be sent, so that NextCalls costs as much as there is to do.
  std::set<std::string> touched_;
  std::set<std::pair<Time, std::string>> timers_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_GANG_EXECUTOR_H_
