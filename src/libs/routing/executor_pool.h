// The executors of one service at this entry: loads, limits, health checks, and
// the choice of the executor for the next request.
//
// The limits on one executor are kept in Executor. Times are passed in; the
// class reads no clock. Not thread-safe.
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

// Input of ExecutorPool::EndAttempt.
struct AttemptEnd {
  // Executor::generation when the attempt began.
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

  // Replaces the executors by `listed`, which holds all executors of this
  // pool's service.
  RoutingActions SetExecutors(const std::vector<ExecutorInfo>& listed,
                              Time now);
  // The slots of the executors that are not marked as leaving in the instance
  // list, in the order of OrderByDomain.
  const std::vector<ExecutorSlots>& slots() const { return slots_; }
  // Sets this entry's share of the slots of each element of slots(), at most
  // `connection_limit` each.
  void SetAllocation(const std::vector<int>& allocation, int connection_limit);

  Executor* Find(const std::string& name);
  // Returns the executor with the fewest requests in flight among those with a
  // usable slot, other than `excluded`; on equal load an executor in this
  // entry's failure domain is preferred. Null when there is none.
  Executor* Pick(const std::string& excluded, Time now);
  // Whether an executor other than `excluded` is in rotation and not leaving.
  bool HasAlternative(const std::string& excluded) const;
  // Number of attempts that this entry may have in flight at all executors
  // together.
  int usable_slots() const { return usable_slots_; }
  // Share of the allocated slots at executors that are in rotation and not
  // leaving, 0 to 1.
  double available_share() const;
  int in_flight() const { return in_flight_; }

  void BeginAttempt(Executor* executor, Time now);
  // Records the end of an attempt. Returns changes of the executor's state.
  RoutingActions EndAttempt(Executor* executor, const AttemptEnd& end,
                            Time now);
  RoutingActions ProbeResult(Executor* executor, const AttemptResult& result,
                             Time now);
  // Starts probes and ejects executors that do not answer or are too slow.
  RoutingActions Tick(Time now);
  // The next time at which Tick is due or Pick may find an executor again.
  // `waiting` says whether requests wait for an executor.
  std::optional<Time> NextTickTime(bool waiting) const;

 private:
  // Totals over the executors that are not leaving.
  struct HealthTotals {
    double failure_rate = 0;  // sum over the executors in rotation
    int in_rotation = 0;
    int ejected = 0;
    int ejected_for_latency = 0;
  };

  HealthTotals ComputeHealthTotals() const;
  PeerHealth PeerHealthOf(const Executor& executor,
                          const HealthTotals& totals) const;
  // Handles another executor under the same name: discards what is known about
  // the old one and keeps its attempts in flight.
  void Replace(Executor* executor, const ExecutorInfo& info);
  // Recomputes the executor's limits and the totals that depend on them; to be
  // called after each change of the executor.
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
  // All elements of `executors_`, sorted by name; Pick scans them from a random
  // position.
  std::vector<Executor*> pick_order_;
  // Sum of the executors' usable_slots().
  int usable_slots_ = 0;
  // Sum of the executors' attempts in flight.
  int in_flight_ = 0;
  // Sum of the slots allocated to this entry.
  int allocated_slots_ = 0;
  // Sum of the executors' available_slots().
  int available_slots_ = 0;
  // Pick found no executor and no executor has changed since, so Pick need not
  // scan again before `all_busy_until_`, the end of the first backoff.
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
