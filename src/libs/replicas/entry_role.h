// Decides whether this entry follows the board as a replica or forwards calls
// as a gateway.
//
// The roster names the replicas. An entry that is not on it becomes a replica
// by itself only if there is no roster, or if none of the replicas has answered
// for a while; it waits for a time that grows with the number of entries, so
// that only a few of them do so at once. No I/O and not thread-safe.
#ifndef THORNPLANK_REPLICAS_ENTRY_ROLE_H_
#define THORNPLANK_REPLICAS_ENTRY_ROLE_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "coordination/replica_roster.h"

namespace thornplank {

enum class EntryMode {
  // Whether there is a roster is not known yet.
  kUndecided,
  kGateway,
  kReplica,
};

std::string_view ToText(EntryMode mode);

struct EntryRoleSettings {
  // Of this instance.
  std::string name;
  // Preference for leadership: 0 is first, 1 is last.
  double rank = 0;
  // From 0 to 1, different for each instance.
  double chance = 0;
  // Where no roster exists: the delay of rank 1, and the random part.
  Milliseconds first_rank_delay{900};
  Milliseconds first_random_delay{700};
  // How long no replica has answered before an entry takes over.
  Milliseconds patience{2500};
  Milliseconds rank_delay{1500};
  // The random delay after `patience`, for each entry of the system: of all
  // entries together, one in this time begins to follow.
  Milliseconds random_delay_per_entry{30};
  // An entry that follows without being on the roster stops after replicas have
  // answered for this long.
  Milliseconds demotion_delay{3000};
};

class EntryRole {
 public:
  explicit EntryRole(EntryRoleSettings settings);

  // Returns whether it is newer than the known one.
  bool OnRoster(const ReplicaRoster& roster, Time now);
  // The store was just read and holds no roster. Only this makes an entry
  // follow where there is none: another one may have begun to lead since an
  // earlier read.
  void OnNoRoster(Time now);
  // A replica has answered, or none of all replicas has.
  void OnReplicaAnswered(Time now);
  void OnReplicasSilent(Time now);

  EntryMode Decide(Time now);
  // nullopt before the first.
  const std::optional<ReplicaRoster>& roster() const { return roster_; }
  // Whether the roster names this entry.
  bool listed() const;
  // Whether a replica has answered since the last silence.
  bool answered() const { return answered_since_.has_value(); }
  // Whether none of the replicas has answered lately.
  bool replicas_silent() const { return silent_since_.has_value(); }

 private:
  EntryMode DecideUnlisted(Time now);
  Milliseconds DelayToReplaceReplicas() const;

  const EntryRoleSettings settings_;
  std::optional<ReplicaRoster> roster_;
  std::optional<Time> no_roster_since_;
  std::optional<Time> silent_since_;
  std::optional<Time> answered_since_;
  // This entry follows without being on the roster.
  bool self_appointed_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_ENTRY_ROLE_H_
