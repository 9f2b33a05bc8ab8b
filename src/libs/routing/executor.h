// State of one executor at this entry: its load, the limits on its use, and its
// health.
//
// The number of usable slots is the minimum of this entry's share, a limit that
// adapts to refusals (additive increase, multiplicative decrease), and the
// limit set by the executor's health. It is 0 while the executor is leaving.
#ifndef THORNPLANK_ROUTING_EXECUTOR_H_
#define THORNPLANK_ROUTING_EXECUTOR_H_

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "routing/executor_health.h"
#include "routing/retry_budget.h"
#include "routing/routing_types.h"

namespace thornplank {

class Executor {
 public:
  explicit Executor(ExecutorInfo executor_info);

  int in_flight() const { return static_cast<int>(attempt_starts.size()); }
  bool leaving() const { return info.leaving || announced_leaving || !listed; }
  int allocated_slots() const { return allocated_slots_; }
  // Requests that may be in flight at the same time, as of the latest
  // UpdateLimits().
  int usable_slots() const { return usable_slots_; }
  // allocated_slots(), or 0 while the executor is ejected or leaving; as of the
  // latest UpdateLimits().
  int available_slots() const { return available_slots_; }
  // Recomputes usable_slots() and available_slots(); to be called after each
  // change of the share, the adaptive limit, the health or the leaving state.
  void UpdateLimits();

  // Sets this entry's share of the slots.
  void SetAllocated(int slots);
  // The executor refused a request because it was full. Nothing is sent to it
  // during a backoff, which doubles up to `max_backoff` with each refusal until
  // it answers a request again; `random` adds jitter.
  void RecordFull(Duration max_backoff, uint64_t random, Time now);
  void RecordAnswer();
  bool InBackoff(Time now) const { return now < backoff_until_; }
  Time backoff_until() const { return backoff_until_; }

  ExecutorInfo info;
  // Incremented when the executor is replaced by another of the same name, so
  // that outcomes of attempts at the old one do not count for the new one.
  uint64_t generation = 0;
  // False when the executor is no longer in the instance list.
  bool listed = true;
  // Set by the executor's own notice; the instance list does not clear it.
  bool announced_leaving = false;
  // When to probe an executor that announced that it is leaving, to learn
  // whether it still is.
  Time leaving_probe_time;
  // Start times of the attempts in flight, ascending.
  std::vector<Time> attempt_starts;
  ExecutorHealth health;
  RetryBudget retry_budget;

 private:
  int allocated_slots_ = 0;
  // At most `allocated_slots_`; reduced by refusals, but never below 1 by them.
  double adaptive_limit_ = 0;
  int usable_slots_ = 0;
  int available_slots_ = 0;
  Time backoff_until_;
  Duration backoff_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_EXECUTOR_H_
