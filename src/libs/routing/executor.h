// One executor as this entry uses it: its load, what limits its use, and its
// health.
//
// The limit is the least of this entry's share, what is left of it after
// refusals (additive increase, multiplicative decrease), and what the health
// allows; nothing while the executor is leaving.
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
  // Requests that may be in flight at a time, and the part of the share that
  // health and leaving leave, both at the latest UpdateLimits().
  int usable_slots() const { return usable_slots_; }
  int available_slots() const { return available_slots_; }
  // To be called after each change of what they depend on.
  void UpdateLimits();

  // Sets this entry's share of the slots.
  void SetAllocated(int slots);
  // The executor was full. Nothing is sent until after a pause, which doubles
  // up to `longest_pause`; `random` spreads it.
  void RecordFull(Duration max_backoff, uint64_t random, Time now);
  void RecordAnswer();
  bool InBackoff(Time now) const { return now < backoff_until_; }
  Time backoff_until() const { return backoff_until_; }

  ExecutorInfo info;
  // Grows when the executor is replaced by another of the same name, so that
  // attempts at the old one are not held against the new one.
  uint64_t generation = 0;
  // False when the instance list no longer has it.
  bool listed = true;
  // Set by the executor's own sign; the instance list does not clear it.
  bool announced_leaving = false;
  // When to ask an executor that said that it leaves whether it still does.
  Time leaving_probe_time;
  // Starts of the attempts in flight, ascending.
  std::vector<Time> attempt_starts;
  ExecutorHealth health;
  RetryBudget retry_budget;

 private:
  int allocated_slots_ = 0;
  // At most `allocated_slots_`; below it after refusals, but at least 1.
  double adaptive_limit_ = 0;
  int usable_slots_ = 0;
  int available_slots_ = 0;
  Time backoff_until_;
  Duration backoff_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_EXECUTOR_H_
