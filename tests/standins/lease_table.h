// Lease table of one stand-in worker: grants, terms, throttling, progress and
// the history of starts and stops. It uses no sockets, timers or clocks; the
// caller passes the current time.
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
  // If absent, the task runs until it is stopped.
  std::optional<Milliseconds> run_time;
  // The task fails as soon as it is unthrottled.
  bool fails = false;
  LeaseState state = LeaseState::kThrottled;
  std::string reason;
  // End of the term.
  Time deadline;
  // Excludes the time since `running_since` while the task runs.
  Duration progress = Duration::zero();
  Time running_since;
  // When the checkpoint completes. Set only in kCheckpointing, and not for a
  // checkpoint that hangs.
  std::optional<Time> checkpoint_end;
};

// An entry of the history that tests check. `what` is granted, started,
// throttled, checkpointing, checkpointed, finished, failed, stopped, lapsed or
// dropped.
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

  // Grants all of `leases`. If they do not fit, returns false and grants none.
  // A lease that is already in the table is left unchanged.
  bool Grant(const std::vector<Lease>& leases, Time now);
  void Renew(const std::vector<std::string>& lease_ids, Milliseconds term,
             Time now);
  void Throttle(const std::vector<std::string>& lease_ids, bool throttled,
                Time now);
  void Checkpoint(const std::vector<std::string>& lease_ids, Time now);
  void Stop(const std::vector<std::string>& lease_ids, Time now);
  // Removes all leases, as if the worker had died.
  void DropAll(Time now);

  // Applies all transitions due at `now`. Every function above calls it first.
  void Advance(Time now);
  // When the next transition becomes due.
  std::optional<Time> next_event_time() const;

  bool Contains(const std::string& lease_id) const;
  const std::map<std::string, Lease>& leases() const { return leases_; }
  Duration Progress(const Lease& lease, Time now) const;
  // Accelerators of running and checkpointing tasks at `now` - usage_lag().
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
  void SaveProgress(Lease* lease, Time now);
  // Applies the due transitions of one lease. Returns whether its term is over.
  bool AdvanceLease(Lease* lease, Time now);
  std::optional<Time> FinishTime(const Lease& lease) const;
  void RecordEvent(const Lease& lease, Time time, const std::string& what);
  void RecordUsage(Time now);

  const int64_t accelerators_;
  const Milliseconds checkpoint_time_;
  Milliseconds usage_lag_;
  LeaseFaults faults_;
  // By lease id. Together they hold at most accelerators_.
  std::map<std::string, Lease> leases_;
  // The last kMaxHistory events, oldest first.
  std::deque<LeaseEvent> history_;
  // Values after each change of the usage, oldest first; never empty.
  std::deque<Usage> usage_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_LEASE_TABLE_H_
