// Interface for the calls from one entry to another; tests replace it.
//
// All callbacks run once, on the event loop of this entry, never before the
// call returns.
#ifndef THORNPLANK_REPLICAS_ENTRY_CALLS_H_
#define THORNPLANK_REPLICAS_ENTRY_CALLS_H_

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "coordination/caller_service.h"
#include "coordination/replica_roster.h"

namespace thornplank {

// What an entry tells a replica of itself.
struct EntryIntroduction {
  ReplicaAddress entry;
  // Preference for leadership: 0 is first, 1 is last.
  double rank = 0;
  // Epoch and number of the roster that it knows; 0 and 0 for none.
  int64_t roster_epoch = 0;
  int64_t roster_number = 0;
};

// The answer of a replica that can serve calls.
struct IntroductionAnswer {
  // Set if it is newer than the one of the introduction.
  std::optional<ReplicaRoster> roster;
};

// How the answer to a forwarded call turned out.
struct ForwardResult {
  // nullopt without an answer.
  std::optional<CallAnswer> answer;
  // Whether the call may have reached the replica.
  bool may_have_arrived = false;
  // Why there is no answer.
  Error error;
};

class EntryCalls {
 public:
  virtual ~EntryCalls() = default;

  // nullopt if there is no answer or the entry cannot serve calls.
  virtual void Introduce(
      const std::string& address, const EntryIntroduction& introduction,
      Milliseconds timeout,
      std::function<void(std::optional<IntroductionAnswer>)> done) = 0;
  // Tells an entry the roster; `done` gets whether it has answered.
  virtual void TellRoster(const std::string& address,
                          const ReplicaRoster& roster, Milliseconds timeout,
                          std::function<void(bool)> done) = 0;
  virtual void Forward(const std::string& address, const ForwardedCall& call,
                       Milliseconds timeout,
                       std::function<void(ForwardResult)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_ENTRY_CALLS_H_
