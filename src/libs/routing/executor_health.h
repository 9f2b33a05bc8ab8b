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
#include "routing/failure_share.h"
#include "routing/routing_types.h"
#include "routing/service_time.h"

namespace thornplank {

// What an executor is compared with.
struct PeerHealth {
  // Mean share of failed attempts at the other executors, 0 to 1.
  double failure_share = 0;
  // Share of failed attempts of the request's client account at all executors.
  // Failures of an account that fails everywhere are no evidence.
  double account_failure_share = 0;
  // Median of their mean latencies; zero while unknown.
  Duration typical_latency{};
  // When any of them last answered a request.
  std::optional<Time> last_answer;
  // Whether one more may be taken out for failing, and for latency alone.
  bool may_take_out = true;
  bool may_take_out_for_latency = true;
};

class ExecutorHealth {
 public:
  ExecutorHealth();

  enum class State {
    kIn,         // gets requests up to its slots
    kOut,        // gets nothing until `probe_time`
    kProbing,    // gets nothing; a probe is on its way
    kSlowStart,  // gets at most `slow_start_limit` requests at a time
  };

  State state() const { return state_; }
  bool in_rotation() const {
    return state_ == State::kIn || state_ == State::kSlowStart;
  }
  bool out_for_latency() const { return !in_rotation() && for_latency_; }
  double failure_share() const { return failure_share_.value(); }
  Duration mean_latency() const { return latency_.mean(); }
  bool latency_known() const { return latency_.known(); }
  std::optional<Time> last_answer() const { return last_answer_; }
  // Meaningful in kOut: when to probe. In kProbing: when the probe is lost.
  Time probe_time() const { return probe_time_; }
  // Requests at a time that health allows out of `slots`.
  int Limit(int slots) const;

  // An attempt ended. Returns the reason when the executor is to be taken out;
  // the caller then calls TakeOut.
  std::optional<std::string> Record(const AttemptResult& result, bool timed_out,
                                    const PeerHealth& peers, Time now);
  // Checks for silence and slowness; `oldest_start` is the start of the oldest
  // attempt in flight. Returns the reason to take it out for latency.
  std::optional<std::string> Inspect(std::optional<Time> oldest_start,
                                     const PeerHealth& peers, Time now) const;
  void TakeOut(bool for_latency, Time now);
  void BeginProbe(Time probe_deadline);
  // Returns true when the executor is back.
  bool EndProbe(bool healthy, Time now);

 private:
  std::optional<std::string> RecordFailure(const AttemptResult& result,
                                           bool timed_out,
                                           const PeerHealth& peers);
  void RecordSuccess(Duration latency, Time now);
  void ForgetRow();

  State state_ = State::kIn;
  FailureShare failure_share_;
  ServiceTime latency_;
  int failures_in_a_row_ = 0;
  // Probability that a sound executor would show these failures in a row.
  double chance_of_row_ = 1;
  int timeouts_in_a_row_ = 0;
  int not_sent_in_a_row_ = 0;
  // Times taken out since it was last in good standing; lengthens the stay.
  int times_out_ = 0;
  bool for_latency_ = false;
  double slow_start_limit_ = 1;
  Time probe_time_;
  std::optional<Time> last_answer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_EXECUTOR_HEALTH_H_
