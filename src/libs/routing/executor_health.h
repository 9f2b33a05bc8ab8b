// Whether one executor deserves requests, judged by its answers.
//
// An executor that fails fast looks idle and would draw all requests, so its
// load says nothing. It is taken out when it fails while its peers do not, when
// it cannot be reached, when it is silent while its peers answer, or when it is
// far slower than they are. After a while one probe is sent; when that
// succeeds, requests come back one at a time at first. When all executors fail
// alike, the fault is not theirs and none is taken out for failing.
#ifndef THORNPLANK_ROUTING_EXECUTOR_HEALTH_H_
#define THORNPLANK_ROUTING_EXECUTOR_HEALTH_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "routing/failure_rate.h"
#include "routing/routing_types.h"
#include "routing/service_time.h"

namespace thornplank {

// What an executor is compared with.
struct PeerHealth {
  // Mean share of failed attempts at the other executors, 0 to 1.
  double failure_rate = 0;
  // Share of failed attempts of the request's client account at all executors.
  // Failures of an account that fails everywhere are no evidence.
  double account_failure_rate = 0;
  // Median of their mean latencies; zero while unknown.
  Duration typical_latency{};
  // When any of them last answered a request.
  std::optional<Time> last_answer;
  // Whether one more may be taken out for failing, and for latency alone.
  bool may_eject = true;
  bool may_eject_for_latency = true;
};

class ExecutorHealth {
 public:
  ExecutorHealth();

  enum class State {
    kActive,     // gets requests up to its slots
    kEjected,    // gets nothing until `probe_time`
    kProbing,    // gets nothing; a probe is on its way
    kSlowStart,  // gets at most `slow_start_limit` requests at a time
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
  // Meaningful in kOut: when to probe. In kProbing: when the probe is lost.
  Time probe_time() const { return probe_time_; }
  // Requests at a time that health allows out of `slots`.
  int SlotLimit(int slots) const;

  // An attempt ended. Returns the reason when the executor is to be taken out;
  // the caller then calls TakeOut.
  std::optional<std::string> Record(const AttemptResult& result, bool timed_out,
                                    const PeerHealth& peers, Time now);
  // Checks for silence and slowness; `oldest_start` is the start of the oldest
  // attempt in flight. Returns the reason to take it out for latency.
  std::optional<std::string> CheckResponsiveness(
      std::optional<Time> oldest_start, const PeerHealth& peers,
      Time now) const;
  void Eject(bool for_latency, Time now);
  void BeginProbe(Time probe_deadline);
  // Returns true when the executor is back.
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
  // Probability that a sound executor would show these failures in a row.
  double consecutive_failures_probability_ = 1;
  int consecutive_timeouts_ = 0;
  int consecutive_not_sent_ = 0;
  // Times taken out since it was last in good standing; lengthens the stay.
  int ejection_count_ = 0;
  bool ejected_for_latency_ = false;
  double slow_start_limit_ = 1;
  Time probe_time_;
  std::optional<Time> last_answer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_EXECUTOR_HEALTH_H_
