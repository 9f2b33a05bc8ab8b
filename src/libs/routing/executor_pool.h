// The executors of one service as this entry uses them: their loads, the
// limits on them, and which one gets the next request.
//
// What limits the use of one executor is kept in Executor.
#ifndef THORNPLANK_ROUTING_EXECUTOR_POOL_H_
#define THORNPLANK_ROUTING_EXECUTOR_POOL_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "routing/executor.h"
#include "routing/executor_health.h"
#include "routing/routing_types.h"
#include "routing/slot_sharing_policy.h"

namespace thornplank {

// The end of an attempt at an executor.
struct AttemptEnd {
  // Of the executor when the attempt began.
  uint64_t generation = 0;
  Time start;
  bool timed_out = false;
  // See PeerHealth.
  double account_failure_rate = 0;
  AttemptResult result;
};

class ExecutorPool {
 public:
  ExecutorPool(uint64_t seed, std::string own_failure_domain);

  // Replaces the executors by `listed`, all of this pool's service.
  RoutingActions SetExecutors(const std::vector<ExecutorInfo>& listed,
                              Time now);
  // The executors that share slots, in the order common to all entries.
  const std::vector<ExecutorSlots>& slots() const { return slots_; }
  // Sets this entry's share of each of slots().
  void SetAllocation(const std::vector<int>& allocation, int connection_limit);

  Executor* Find(const std::string& name);
  // The least loaded executor with room, other than `excluded`; the own failure
  // domain goes first among equals. Null when there is none.
  Executor* Pick(const std::string& excluded, Time now);
  // Whether some executor other than `excluded` is in rotation.
  bool HasAlternative(const std::string& excluded) const;
  // Attempts that this entry may have in flight, over all executors.
  int usable_slots() const { return usable_slots_; }
  // Share of the allocated slots that health and leaving allow, 0 to 1.
  double available_share() const;
  int in_flight() const { return in_flight_; }

  void BeginAttempt(Executor* executor, Time now);
  // An attempt has ended. Returns state changes.
  RoutingActions EndAttempt(Executor* executor, const AttemptEnd& end,
                            Time now);
  RoutingActions ProbeResult(Executor* executor, const AttemptResult& result,
                             Time now);
  // Starts probes and looks for silent and slow executors.
  RoutingActions Tick(Time now);
  // The next time at which Tick or Pick may have something to do. `waiting`
  // says whether requests wait for an executor.
  std::optional<Time> NextTickTime(bool waiting) const;

 private:
  // Sums over the executors that are not leaving.
  struct HealthTotals {
    double failure_rate = 0;  // of those in rotation
    int in_rotation = 0;
    int ejected = 0;
    int ejected_for_latency = 0;
  };

  HealthTotals ComputeHealthTotals() const;
  PeerHealth PeerHealthOf(const Executor& executor,
                          const HealthTotals& totals) const;
  // Another executor has taken the name; nothing is known about it.
  void Replace(Executor* executor, const ExecutorInfo& info);
  // Brings the totals up to date after a change of the executor.
  void UpdateExecutor(Executor* executor);
  std::optional<RoutingAction> MarkLeaving(Executor* executor,
                                           const std::string& reason, Time now);
  void Eject(Executor* executor, const std::string& reason, bool for_latency,
             Time now, RoutingActions* actions);
  void SendProbes(Executor* executor, Time now, RoutingActions* actions);
  void CheckResponsiveness(Time now, RoutingActions* actions);
  void UpdateTypicalLatency();
  void UpdateNextProbe();

  const std::string own_failure_domain_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, Executor> executors_;
  std::vector<ExecutorSlots> slots_;
  // Executors in the order in which Pick looks at them.
  std::vector<Executor*> pick_order_;
  // Sum of the executors' usable().
  int usable_slots_ = 0;
  // Sum of the executors' attempts in flight.
  int in_flight_ = 0;
  // Sum of the slots allocated to this entry.
  int allocated_slots_ = 0;
  // Sum of the executors' available().
  int available_slots_ = 0;
  // Pick found nothing, and nothing has changed since; valid until
  // `exhausted_until_`.
  bool all_busy_ = false;
  Time all_busy_until_;
  Time next_responsiveness_check_;
  // The earliest time at which an executor is to be probed.
  std::optional<Time> next_probe_;
  Duration typical_latency_{};
  std::optional<Time> last_answer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_EXECUTOR_POOL_H_
