// Evidence against an executor, and its way back.
#include "routing/executor_health.h"

#include <algorithm>

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kFailureWeight = 0.1;
// Above this share of failures among peers, the fault is not one executor's.
constexpr double kCommonFault = 0.5;
constexpr int kMaxFailuresInARow = 3;
constexpr int kMaxTimeoutsInARow = 2;
constexpr int kMaxNotSentInARow = 3;
// Failures in a row speak against an executor when a sound one would show as
// many with less than this probability.
constexpr double kChance = 1e-4;
// No single failure is less probable than this.
constexpr double kLeastChance = 1e-3;
// In slow start one failure is enough unless it is at least this probable.
constexpr double kSlowStartChance = 0.2;
constexpr int kMinSamples = 10;
constexpr double kHighFailureShare = 0.5;
constexpr double kFailureRatioToPeers = 3.0;
constexpr int kSlowRatioToPeers = 5;
constexpr int kSilentRatioToPeers = 8;
constexpr Duration kMinSilence = milliseconds(500);
// A timeout shorter than this many typical latencies blames nobody.
constexpr int kShortTimeoutRatio = 3;
constexpr Duration kFirstStay = seconds(1);
constexpr int kMaxStayDoublings = 5;
// Answers in slow start double the limit, from 1; above this it is in again.
constexpr double kSlowStartEnd = 16;

}  // namespace

ExecutorHealth::ExecutorHealth() : failure_share_(kFailureWeight) {}

int ExecutorHealth::Limit(int slots) const {
  switch (state_) {
    case State::kIn:
      return slots;
    case State::kSlowStart:
      return std::min(slots, static_cast<int>(slow_start_limit_));
    case State::kOut:
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
    not_sent_in_a_row_ = 0;
    last_answer_ = now;
    return std::nullopt;
  }
  if (result.outcome == AttemptOutcome::kAnswered) {
    RecordSuccess(result.latency, now);
    return std::nullopt;
  }
  if (timed_out &&
      result.latency < kShortTimeoutRatio * peers.typical_latency) {
    return std::nullopt;
  }
  return RecordFailure(result, timed_out, peers);
}

void ExecutorHealth::ForgetRow() {
  failures_in_a_row_ = 0;
  timeouts_in_a_row_ = 0;
  not_sent_in_a_row_ = 0;
  chance_of_row_ = 1;
}

void ExecutorHealth::RecordSuccess(Duration latency, Time now) {
  ForgetRow();
  failure_share_.Add(0.0);
  latency_.Record(latency);
  last_answer_ = now;
  if (state_ != State::kSlowStart) {
    return;
  }
  slow_start_limit_ *= 2;
  if (slow_start_limit_ > kSlowStartEnd) {
    state_ = State::kIn;
    times_out_ = 0;
  }
}

std::optional<std::string> ExecutorHealth::RecordFailure(
    const AttemptResult& result, bool timed_out, const PeerHealth& peers) {
  ++failures_in_a_row_;
  chance_of_row_ *= std::max(kLeastChance, peers.account_failure_share);
  failure_share_.Add(1.0 - peers.account_failure_share);
  timeouts_in_a_row_ = timed_out ? timeouts_in_a_row_ + 1 : 0;
  const bool not_sent = result.outcome == AttemptOutcome::kNotSent;
  not_sent_in_a_row_ = not_sent ? not_sent_in_a_row_ + 1 : 0;
  if (!in_rotation()) {
    return std::nullopt;
  }
  if (not_sent_in_a_row_ >= kMaxNotSentInARow) {
    return "cannot be reached";
  }
  if (peers.failure_share > kCommonFault || !peers.may_take_out) {
    return std::nullopt;
  }
  if (state_ == State::kSlowStart && chance_of_row_ < kSlowStartChance) {
    return "failed in slow start";
  }
  if (timeouts_in_a_row_ >= kMaxTimeoutsInARow && chance_of_row_ < kChance) {
    return "timed out repeatedly while peers answer";
  }
  if (failures_in_a_row_ >= kMaxFailuresInARow && chance_of_row_ < kChance) {
    return "failed repeatedly while peers answer";
  }
  if (failure_share_.samples() >= kMinSamples &&
      failure_share_.value() > kHighFailureShare &&
      failure_share_.value() > kFailureRatioToPeers * peers.failure_share) {
    return "fails far more often than its peers";
  }
  return std::nullopt;
}

std::optional<std::string> ExecutorHealth::Inspect(
    std::optional<Time> oldest_start, const PeerHealth& peers, Time now) const {
  if (!in_rotation() || !peers.may_take_out_for_latency ||
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
  if (failure_share_.samples() >= kMinSamples &&
      latency_.mean() > kSlowRatioToPeers * peers.typical_latency) {
    return "far slower than its peers";
  }
  return std::nullopt;
}

void ExecutorHealth::TakeOut(bool for_latency, Time now) {
  const int doublings = std::min(times_out_, kMaxStayDoublings);
  state_ = State::kOut;
  for_latency_ = for_latency;
  probe_time_ = now + kFirstStay * (1 << doublings);
  ++times_out_;
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
    TakeOut(for_latency_, now);
    return false;
  }
  state_ = State::kSlowStart;
  slow_start_limit_ = 1;
  // Old evidence is settled by the probe.
  failure_share_ = FailureShare(kFailureWeight);
  latency_ = ServiceTime();
  ForgetRow();
  return true;
}

}  // namespace thornplank
