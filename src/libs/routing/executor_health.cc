// Ejects an executor on evidence of a fault and reinstates it by a probe.
#include "routing/executor_health.h"

#include <algorithm>

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kFailureWeight = 0.1;
// When the peers' failure rate is above this, the cause is not one executor.
constexpr double kCommonFailureRate = 0.5;
constexpr int kConsecutiveFailuresToEject = 3;
constexpr int kConsecutiveTimeoutsToEject = 2;
constexpr int kConsecutiveNotSentToEject = 3;
// Consecutive failures are evidence against an executor when a healthy one
// would show as many with less than this probability.
constexpr double kSignificanceLevel = 1e-4;
// Lower bound of the assumed probability of a single failure.
constexpr double kMinFailureProbability = 1e-3;
// In slow start one failure is enough unless it is at least this probable at a
// healthy executor.
constexpr double kSlowStartSignificanceLevel = 0.2;
constexpr int kMinSamples = 10;
constexpr double kHighFailureRate = 0.5;
constexpr double kFailureRatioToPeers = 3.0;
constexpr int kSlowRatioToPeers = 5;
constexpr int kSilentRatioToPeers = 8;
constexpr Duration kMinSilence = milliseconds(500);
// A timeout shorter than this many typical latencies is no evidence against the
// executor.
constexpr int kMinTimeoutRatio = 3;
constexpr Duration kBaseEjectionTime = seconds(1);
constexpr int kMaxEjectionTimeDoublings = 5;
// Each answer in slow start doubles the limit, from 1; above this limit the
// executor is active again.
constexpr double kSlowStartMaxLimit = 16;

}  // namespace

ExecutorHealth::ExecutorHealth() : failure_rate_(kFailureWeight) {}

int ExecutorHealth::SlotLimit(int slots) const {
  switch (state_) {
    case State::kActive:
      return slots;
    case State::kSlowStart:
      return std::min(slots, static_cast<int>(slow_start_limit_));
    case State::kEjected:
    case State::kProbing:
      break;
  }
  return 0;
}

std::optional<std::string> ExecutorHealth::Record(const AttemptResult& result,
                                                  bool timed_out,
                                                  const PeerHealth& peers,
                                                  Time now) {
  if (result.outcome == AttemptOutcome::kRefusedNotRun) {
    consecutive_not_sent_ = 0;
    last_answer_ = now;
    return std::nullopt;
  }
  if (result.outcome == AttemptOutcome::kAnswered) {
    RecordSuccess(result.latency, now);
    return std::nullopt;
  }
  if (timed_out && result.latency < kMinTimeoutRatio * peers.typical_latency) {
    return std::nullopt;
  }
  return RecordFailure(result, timed_out, peers);
}

void ExecutorHealth::ResetConsecutiveFailures() {
  consecutive_failures_ = 0;
  consecutive_timeouts_ = 0;
  consecutive_not_sent_ = 0;
  consecutive_failures_probability_ = 1;
}

void ExecutorHealth::RecordSuccess(Duration latency, Time now) {
  ResetConsecutiveFailures();
  failure_rate_.Add(0.0);
  latency_.Record(latency);
  last_answer_ = now;
  if (state_ != State::kSlowStart) {
    return;
  }
  slow_start_limit_ *= 2;
  if (slow_start_limit_ > kSlowStartMaxLimit) {
    state_ = State::kActive;
    ejection_count_ = 0;
  }
}

std::optional<std::string> ExecutorHealth::RecordFailure(
    const AttemptResult& result, bool timed_out, const PeerHealth& peers) {
  ++consecutive_failures_;
  consecutive_failures_probability_ *=
      std::max(kMinFailureProbability, peers.account_failure_rate);
  failure_rate_.Add(1.0 - peers.account_failure_rate);
  consecutive_timeouts_ = timed_out ? consecutive_timeouts_ + 1 : 0;
  const bool not_sent = result.outcome == AttemptOutcome::kNotSent;
  consecutive_not_sent_ = not_sent ? consecutive_not_sent_ + 1 : 0;
  if (!in_rotation()) {
    return std::nullopt;
  }
  if (consecutive_not_sent_ >= kConsecutiveNotSentToEject) {
    return "cannot be reached";
  }
  if (peers.failure_rate > kCommonFailureRate || !peers.may_eject) {
    return std::nullopt;
  }
  if (state_ == State::kSlowStart &&
      consecutive_failures_probability_ < kSlowStartSignificanceLevel) {
    return "failed in slow start";
  }
  if (consecutive_timeouts_ >= kConsecutiveTimeoutsToEject &&
      consecutive_failures_probability_ < kSignificanceLevel) {
    return "timed out repeatedly while peers answer";
  }
  if (consecutive_failures_ >= kConsecutiveFailuresToEject &&
      consecutive_failures_probability_ < kSignificanceLevel) {
    return "failed repeatedly while peers answer";
  }
  if (failure_rate_.samples() >= kMinSamples &&
      failure_rate_.value() > kHighFailureRate &&
      failure_rate_.value() > kFailureRatioToPeers * peers.failure_rate) {
    return "fails far more often than its peers";
  }
  return std::nullopt;
}

std::optional<std::string> ExecutorHealth::CheckResponsiveness(
    std::optional<Time> oldest_start, const PeerHealth& peers, Time now) const {
  if (!in_rotation() || !peers.may_eject_for_latency ||
      peers.typical_latency <= Duration::zero()) {
    return std::nullopt;
  }
  const Duration silence =
      std::max(kMinSilence, kSilentRatioToPeers * peers.typical_latency);
  const bool silent =
      oldest_start.has_value() && now - *oldest_start > silence &&
      (!last_answer_.has_value() || *last_answer_ < *oldest_start);
  const bool peers_answer = peers.last_answer.has_value() &&
                            oldest_start.has_value() &&
                            *peers.last_answer > *oldest_start;
  if (silent && peers_answer) {
    return "silent while peers answer";
  }
  if (failure_rate_.samples() >= kMinSamples &&
      latency_.mean() > kSlowRatioToPeers * peers.typical_latency) {
    return "far slower than its peers";
  }
  return std::nullopt;
}

void ExecutorHealth::Eject(bool for_latency, Time now) {
  const int doublings = std::min(ejection_count_, kMaxEjectionTimeDoublings);
  state_ = State::kEjected;
  ejected_for_latency_ = for_latency;
  probe_time_ = now + kBaseEjectionTime * (1 << doublings);
  ++ejection_count_;
}

void ExecutorHealth::BeginProbe(Time probe_deadline) {
  state_ = State::kProbing;
  probe_time_ = probe_deadline;
}

bool ExecutorHealth::EndProbe(bool healthy, Time now) {
  if (state_ != State::kProbing) {
    return false;
  }
  if (!healthy) {
    Eject(ejected_for_latency_, now);
    return false;
  }
  state_ = State::kSlowStart;
  slow_start_limit_ = 1;
  // The successful probe outweighs the evidence from before the ejection.
  failure_rate_ = FailureRate(kFailureWeight);
  latency_ = ServiceTime();
  ResetConsecutiveFailures();
  return true;
}

}  // namespace thornplank
