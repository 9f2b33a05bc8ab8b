// Decides whether the store, when this entry cannot reach it, is reachable from
// other entries.
//
// If it is, a call that this entry refuses would be served by another entry, so
// the caller should retry at once. If the store is unreachable for all entries,
// immediate retries would use up the caller's attempts within milliseconds.
// No I/O and not thread-safe: the results of queries come in as events.
#ifndef THORNPLANK_REACHABILITY_STORE_REACHABILITY_H_
#define THORNPLANK_REACHABILITY_STORE_REACHABILITY_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"

namespace thornplank {

enum class StoreStatus {
  // This entry reaches the store.
  kReachable,
  // This entry does not reach the store, and it is not known whether others do.
  kUnknown,
  // Another entry has recently read the store, after the first failure here.
  kReachableByOthers,
  // No other entry answers either: this entry is cut off from the network.
  kIsolated,
};

std::string_view ToText(StoreStatus status);

class StoreReachability {
 public:
  // A read of the store failed; only the first failure after a success counts.
  void OnReadFailed(Time now);
  void OnReadSucceeded();
  // Another entry answered a query that was sent at `sent`: its most recent
  // complete read of the store began `age` before.
  void OnAnswer(Duration age, Time sent, Time now);
  // A query to `peer` failed or timed out.
  void OnNoAnswer(const std::string& peer);

  StoreStatus status(Time now) const;
  // Whether a caller should try another entry at once.
  bool ReachableElsewhere(Time now) const;
  bool unreachable() const { return first_failure_.has_value(); }

 private:
  // The first failure since the last success; nullopt while the store is
  // reachable.
  std::optional<Time> first_failure_;
  // When it was last proved that the store is reachable from another entry.
  std::optional<Time> last_proof_;
  // Whether any entry has answered since first_failure_.
  bool answered_ = false;
  // Entries that have failed to answer a query since first_failure_.
  std::set<std::string> silent_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_STORE_REACHABILITY_H_
