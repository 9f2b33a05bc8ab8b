// Decides, on the leader, which entries are replicas.
//
// Their number is fixed in a small system and grows slowly with its size. Large
// instances are preferred, then a spread over failure domains. A replica that
// has not answered for a while is replaced by an entry that does; without one,
// the roster stays as it is, since the leader may be the one that is cut off.
// No I/O and not thread-safe.
#ifndef THORNPLANK_REPLICAS_REPLICA_APPOINTER_H_
#define THORNPLANK_REPLICAS_REPLICA_APPOINTER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "coordination/job_board.h"
#include "coordination/replica_roster.h"

namespace thornplank {

struct ReplicaAppointerSettings {
  // The leader included.
  size_t min_replicas = 8;
  // Beyond the minimum there is one replica for as many entries, so that the
  // calls that a replica serves for gateways don't grow with the system.
  size_t entries_per_replica = 75;
  // A replica that has not answered for this long is replaced. Longer than a
  // restart.
  Milliseconds failure_patience{5000};
  // An entry is appointed only if it has answered within this time.
  Milliseconds answer_validity{2500};
  // A replica whose rank is greater by this much gives way to another entry.
  double min_rank_gain = 0.15;
};

class ReplicaAppointer {
 public:
  using Entries = std::map<std::string, EntryRecord>;

  // `own`: the leader itself.
  ReplicaAppointer(ReplicaAppointerSettings settings, ReplicaAddress own);

  // An entry has answered, or not, whether it lives and may be a replica.
  void OnAnswer(const std::string& entry, Time now);
  void OnNoAnswer(const std::string& entry, Time now);

  // Entries to ask: all replicas, and those that may be appointed next.
  std::vector<std::string> EntriesToAsk(
      const Entries& entries, const std::optional<ReplicaRoster>& current,
      Time now) const;
  // The replicas that there should be now, the leader first.
  std::vector<ReplicaAddress> Decide(
      const Entries& entries, const std::optional<ReplicaRoster>& current,
      Time now) const;

 private:
  struct Answers {
    Time last_answer{};
    // Since when it has not answered.
    std::optional<Time> silent_since;
  };

  size_t WantedReplicas(const Entries& entries) const;
  // The replicas of the roster that remain, the leader first.
  std::vector<ReplicaAddress> KeptReplicas(
      const Entries& entries,
      const std::optional<ReplicaRoster>& current) const;
  // Entries that are not in `replicas`, best first.
  std::vector<std::string> Candidates(
      const Entries& entries,
      const std::vector<ReplicaAddress>& replicas) const;
  bool HasAnswered(const std::string& entry, Time now) const;
  bool HasFailed(const std::string& entry, Time now) const;

  const ReplicaAppointerSettings settings_;
  const ReplicaAddress own_;
  std::map<std::string, Answers> answers_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_REPLICA_APPOINTER_H_
