// Outlier detection for one executor, based on the outcomes of its attempts.
//
// The load alone is no sign of health: an executor that fails fast looks idle
// and would attract all requests. An executor is ejected when it fails while
// its peers do not, when it cannot be reached, when it does not answer while
// its peers do, or when it is far slower than they are. After the ejection time
// a probe is sent; when that succeeds, the executor gets one request at a time
// at first (slow start). When all executors fail alike, the cause lies
// elsewhere and none is ejected for failing.
#ifndef THORNPLANK_ROUTING_EXECUTOR_HEALTH_H_
#define THORNPLANK_ROUTING_EXECUTOR_HEALTH_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "routing/failure_rate.h"
#include "routing/routing_types.h"
#include "routing/service_time.h"

namespace thornplank {

// State of the other executors, with which an executor is compared.
struct PeerHealth {
  // Mean failure rate of the other executors, 0 to 1.
  double failure_rate = 0;
  // Failure rate of the request's client account over all executors, 0 to 1.
  // Failures of an account that fails everywhere are no evidence against an
  // executor.
  double account_failure_rate = 0;
  // Median of the executors' mean latencies; zero while unknown.
  Duration typical_latency{};
  // When any executor last answered a request.
  std::optional<Time> last_answer;
  // Whether one more executor may be ejected for failing, and for latency
  // alone.
  bool may_eject = true;
  bool may_eject_for_latency = true;
};

class ExecutorHealth {
 public:
  ExecutorHealth();

  enum class State {
    kActive,     // gets requests up to its slots
    kEjected,    // gets no requests; probed at `probe_time`
    kProbing,    // gets no requests; a probe is in flight
    kSlowStart,  // gets at most `slow_start_limit_` requests at a time
  };

  State state() const { return state_; }
  bool in_rotation() const {
    return state_ == State::kActive || state_ == State::kSlowStart;
  }
  bool ejected_for_latency() const {
    return !in_rotation() && ejected_for_latency_;
  }
  double failure_rate() const { return failure_rate_.value(); }
  Duration mean_latency() const { return latency_.mean(); }
  bool latency_known() const { return latency_.known(); }
  std::optional<Time> last_answer() const { return last_answer_; }
  // In kEjected: when to send a probe. In kProbing: when the probe counts as
  // lost. Not meaningful in the other states.
  Time probe_time() const { return probe_time_; }
  // The number of requests, out of `slots`, that the health allows at a time.
  int SlotLimit(int slots) const;

  // Records the end of an attempt. Returns the reason when the executor is to
  // be ejected; the caller then calls Eject.
  std::optional<std::string> Record(const AttemptResult& result, bool timed_out,
                                    const PeerHealth& peers, Time now);
  // Checks whether the executor has stopped answering or is too slow;
  // `oldest_start` is the start of the oldest attempt in flight. Returns the
  // reason when the executor is to be ejected for latency.
  std::optional<std::string> CheckResponsiveness(
      std::optional<Time> oldest_start, const PeerHealth& peers,
      Time now) const;
  void Eject(bool for_latency, Time now);
  void BeginProbe(Time probe_deadline);
  // Returns true when the executor is reinstated.
  bool EndProbe(bool healthy, Time now);

 private:
  std::optional<std::string> RecordFailure(const AttemptResult& result,
                                           bool timed_out,
                                           const PeerHealth& peers);
  void RecordSuccess(Duration latency, Time now);
  void ResetConsecutiveFailures();

  State state_ = State::kActive;
  FailureRate failure_rate_;
  ServiceTime latency_;
  int consecutive_failures_ = 0;
  // Probability that a healthy executor would show as many consecutive
  // failures.
  double consecutive_failures_probability_ = 1;
  int consecutive_timeouts_ = 0;
  int consecutive_not_sent_ = 0;
  // Ejections since the executor was last in kActive; each one lengthens the
  // ejection time.
  int ejection_count_ = 0;
  bool ejected_for_latency_ = false;
  double slow_start_limit_ = 1;
  Time probe_time_;
  std::optional<Time> last_answer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_EXECUTOR_HEALTH_H_
