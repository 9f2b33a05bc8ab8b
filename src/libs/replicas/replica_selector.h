// Decides which replicas a gateway asks, in which order, and how long it waits
// for one before it asks the next one as well.
//
// Replicas in the same failure domain come first; each gateway prefers another
// one of them. Replicas that failed lately come last. No I/O and not
// thread-safe.
#ifndef THORNPLANK_REPLICAS_REPLICA_SELECTOR_H_
#define THORNPLANK_REPLICAS_REPLICA_SELECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/latency_average.h"
#include "base/time.h"
#include "coordination/replica_roster.h"

namespace thornplank {

// Which replica should get a call.
enum class ReplicaPreference {
  kNearest,
  // For what is written to the board: one writer combines many records into one
  // append. If the leader does not answer, all gateways turn to the next
  // replica of the roster, which is likely to lead next.
  kLeader,
};

struct ReplicaSelectorSettings {
  // Name and failure domain of this instance.
  std::string name;
  std::string failure_domain;
  // A replica that failed is asked last for this long; doubled by each further
  // failure.
  Milliseconds initial_avoidance{300};
  Milliseconds max_avoidance{4000};
  // The wait for a replica before another one is asked as well: a multiple of
  // the usual latency, within these bounds.
  int hedge_per_latency = 4;
  Milliseconds min_hedge_delay{120};
  Milliseconds max_hedge_delay{800};
};

class ReplicaSelector {
 public:
  explicit ReplicaSelector(ReplicaSelectorSettings settings);

  void SetReplicas(const ReplicaRoster& roster);
  bool empty() const { return replicas_.empty(); }

  // Addresses in the order in which to ask them.
  std::vector<std::string> Order(ReplicaPreference preference, Time now) const;
  // A replica has answered the call that was sent `latency` before.
  void OnAnswer(const std::string& address, Duration latency);
  // A replica did not answer, or cannot serve calls at the moment.
  void OnFailure(const std::string& address, Time now);
  Milliseconds HedgeDelay() const;

 private:
  // Parts of the average latency of which a new one is one.
  static constexpr int kLatencyParts = 8;

  struct Replica {
    // On the roster; the leader has position 0.
    size_t position = 0;
    bool same_domain = false;
    // Differs between gateways, so that they spread over the replicas.
    uint64_t order = 0;
    int failures = 0;
    Time avoid_until{};
  };

  const ReplicaSelectorSettings settings_;
  // By address.
  std::map<std::string, Replica> replicas_;
  LatencyAverage usual_latency_{kLatencyParts};
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_REPLICA_SELECTOR_H_
