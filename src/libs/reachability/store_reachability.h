// Whether the store that this entry cannot reach serves other entries.
//
// A call that is refused here is served there, so its caller should come back
// at once. Where the store is away for all, that would use up the caller's
// tries within milliseconds. Decisions only: what others say comes in as
// events.
#ifndef THORNPLANK_REACHABILITY_STORE_REACHABILITY_H_
#define THORNPLANK_REACHABILITY_STORE_REACHABILITY_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"

namespace thornplank {

enum class StoreStatus {
  // This entry reaches it.
  kReached,
  // Not reached, and nobody has said yet whether others reach it.
  kUnknown,
  // Another entry has read it since this one lost it.
  kServesOthers,
  // No other entry answers either: this one is cut off.
  kCutOff,
};

std::string_view ToText(StoreStatus belief);

class StoreReachability {
 public:
  // The store was lost, or is still; only the first of a row counts.
  void OnReadFailed(Time now);
  void OnReadSucceeded();
  // A question that was sent to another entry at `sent` has an answer: its last
  // whole read of the store began `age` before that.
  void OnAnswer(Duration age, Time sent, Time now);
  // A question to `peer` has no answer.
  void OnSilence(const std::string& peer);

  StoreStatus belief(Time now) const;
  // Whether a caller should try another entry at once.
  bool ReachableElsewhere(Time now) const;
  bool lost() const { return lost_.has_value(); }

 private:
  std::optional<Time> lost_;
  // When it was last shown that others are served.
  std::optional<Time> proved_;
  // Some entry has answered since the loss.
  bool heard_ = false;
  // Entries that did not answer since the loss.
  std::set<std::string> silent_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_STORE_REACHABILITY_H_
