// The lease table of one stand-in worker: grants, terms, throttle, progress
// and the history of starts and stops. No sockets, timers or clocks inside:
// calls and a Time go in.
#ifndef THORNPLANK_TESTS_STANDINS_LEASE_TABLE_H_
#define THORNPLANK_TESTS_STANDINS_LEASE_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"

namespace thornplank::standins {

enum class LeaseState {
  kThrottled,
  kRunning,
  kCheckpointing,
  kCheckpointed,
  kFinished,
  kFailed,
};

std::string ToString(LeaseState state);

struct Lease {
  std::string lease_id;
  std::string gang_id;
  std::string job_id;
  std::string account;
  int64_t accelerators = 0;
  // Absent: the task runs until it is stopped.
  std::optional<Milliseconds> run_time;
  // The task fails as soon as it is unthrottled.
  bool fails = false;
  LeaseState state = LeaseState::kThrottled;
  std::string reason;
  // The term ends then.
  Time deadline;
  // Progress up to the last stop; while running, `running_since` adds to it.
  Duration progress = Duration::zero();
  Time running_since;
  // When a checkpoint completes; only in kCheckpointing, absent in a hang.
  std::optional<Time> checkpoint_end;
};

// A fact for the history check. `what` is granted, started, throttled,
// checkpointing, checkpointed, finished, failed, stopped, lapsed or dropped.
struct LeaseEvent {
  Time time;
  std::string lease_id;
  std::string gang_id;
  std::string job_id;
  std::string what;
};

struct LeaseFaults {
  bool fail_everything = false;
  bool hang_checkpoint = false;
};

class LeaseTable {
 public:
  LeaseTable(int64_t accelerators, Milliseconds checkpoint_time,
             Milliseconds usage_lag, Time now);

  // Grants all of `leases` or, when they don't fit, none (false). A lease
  // that is already known is left as it is.
  bool Grant(const std::vector<Lease>& leases, Time now);
  void Renew(const std::vector<std::string>& lease_ids, Milliseconds term,
             Time now);
  void Throttle(const std::vector<std::string>& lease_ids, bool throttled,
                Time now);
  void Checkpoint(const std::vector<std::string>& lease_ids, Time now);
  void Stop(const std::vector<std::string>& lease_ids, Time now);
  // Forgets every lease, as a worker that dies does.
  void Drop(Time now);

  // Carries out what has become due. Every call above does so first.
  void Advance(Time now);
  // The next moment at which something becomes due.
  std::optional<Time> next_event() const;

  bool Knows(const std::string& lease_id) const;
  const std::map<std::string, Lease>& leases() const { return leases_; }
  Duration Progress(const Lease& lease, Time now) const;
  // Accelerators of running and checkpointing tasks, as of `now` - lag.
  int64_t LaggedUsage(Time now) const;
  Milliseconds usage_lag() const { return usage_lag_; }
  void set_usage_lag(Milliseconds lag) { usage_lag_ = lag; }
  LeaseFaults& faults() { return faults_; }
  const std::deque<LeaseEvent>& history() const { return history_; }

 private:
  struct Usage {
    Time time;
    int64_t accelerators = 0;
  };

  void Start(Lease* lease, Time now);
  void Pause(Lease* lease, Time now);
  // Moves one lease on; true when its term is over.
  bool AdvanceLease(Lease* lease, Time now);
  std::optional<Time> FinishTime(const Lease& lease) const;
  void Note(const Lease& lease, Time time, const std::string& what);
  void NoteUsage(Time now);

  const int64_t accelerators_;
  const Milliseconds checkpoint_time_;
  Milliseconds usage_lag_;
  LeaseFaults faults_;
  // By lease id. The accelerators of all add up to at most accelerators_.
  std::map<std::string, Lease> leases_;
  // Bounded; the oldest go first.
  std::deque<LeaseEvent> history_;
  // Changes of the usage, oldest first; never empty.
  std::deque<Usage> usage_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_LEASE_TABLE_H_
