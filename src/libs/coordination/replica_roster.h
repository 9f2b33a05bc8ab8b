// The entries that hold a replica of the board: the leader and the followers
// that may replace it. All other entries are gateways, which forward the calls
// of their callers to a replica.
//
// The leader writes the roster. It bounds what grows with the number of
// entries: only replicas read the board and the configuration, and only they
// compete for leadership.
#ifndef THORNPLANK_COORDINATION_REPLICA_ROSTER_H_
#define THORNPLANK_COORDINATION_REPLICA_ROSTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"

namespace thornplank {

struct ReplicaAddress {
  // Name of the instance.
  std::string name;
  // "ip:port" where it answers the other entries.
  std::string address;
  std::string failure_domain;

  bool operator==(const ReplicaAddress& other) const {
    return name == other.name && address == other.address &&
           failure_domain == other.failure_domain;
  }
};

struct ReplicaRoster {
  // Epoch of the leader that wrote it.
  int64_t epoch = 0;
  // Counts the rosters of that leader.
  int64_t number = 0;
  // Number of known entries at that time, gateways included.
  int64_t entries = 0;
  // The leader comes first.
  std::vector<ReplicaAddress> replicas;

  bool IsNewerThan(const ReplicaRoster& other) const {
    return epoch != other.epoch ? epoch > other.epoch : number > other.number;
  }
  // The position of the instance among the replicas; nullopt for a gateway.
  std::optional<size_t> PositionOf(const std::string& name) const;
};

Json ToJson(const ReplicaRoster& roster);
// Returns nullopt if the value is not a roster.
std::optional<ReplicaRoster> ReadRoster(const Json& value);

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_REPLICA_ROSTER_H_
