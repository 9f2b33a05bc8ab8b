// Logs an event when the reachability of the log service changes, instead of
// one for each failed attempt.
#ifndef THORNPLANK_PLATFORM_LOG_REACHABILITY_H_
#define THORNPLANK_PLATFORM_LOG_REACHABILITY_H_

#include <string>
#include <utility>

#include "base/error.h"
#include "logging/events/platform_events.h"

namespace thornplank {

// Not thread-safe.
class LogReachability {
 public:
  // `use` is "append" or "read".
  LogReachability(std::string stream, std::string use)
      : stream_(std::move(stream)), use_(std::move(use)) {}

  void OnSuccess() {
    if (std::exchange(state_, State::kReachable) == State::kReachable) return;
    LogEvent(events::kLogReachable, {{"stream", stream_}, {"use", use_}});
  }
  void OnFailure(const Error& error) {
    Enter(State::kUnreachable, events::kLogUnreachable, error);
  }
  void OnRateCap(const Error& error) {
    Enter(State::kRateCapped, events::kLogRateCapped, error);
  }

 private:
  enum class State { kReachable, kRateCapped, kUnreachable };

  void Enter(State state, const Event& event, const Error& error) {
    if (std::exchange(state_, state) == state) return;
    LogEvent(event, error, {{"stream", stream_}, {"use", use_}});
  }

  const std::string stream_;
  const std::string use_;
  State state_ = State::kReachable;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_LOG_REACHABILITY_H_
