// A failure detector: decides from heartbeats, links and elapsed time which
// entries are alive. No I/O, not thread-safe.
//
// The instance list lags and is therefore only a hint. A member that is not on
// it is declared dead sooner once it is silent, and is removed some time after
// its death. The list alone neither makes a member dead that still sends
// heartbeats nor makes a silent one alive.
#ifndef THORNPLANK_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define THORNPLANK_MEMBERSHIP_MEMBERSHIP_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace thornplank {

enum class MemberState {
  // Linked or sending heartbeats, but not yet ready for work.
  kJoining,
  kAlive,
  // Silent for longer than expected.
  kSuspect,
  kDead,
  // Sending heartbeats that announce its shutdown.
  kLeaving,
};

std::string_view ToString(MemberState state);

struct MembershipSettings {
  Milliseconds heartbeat_interval{500};
  // Limits of the time without a heartbeat after which a member becomes
  // suspect. Between them that time depends on the observed gaps between its
  // heartbeats.
  Milliseconds min_suspect_after{1500};
  Milliseconds max_suspect_after{4000};
  // The time without a heartbeat after which a member whose link is down
  // becomes suspect.
  Milliseconds unlinked_suspect_after{1000};
  // A suspect member becomes dead after this time, or after half of it when it
  // is not on the instance list.
  Milliseconds dead_after{3000};
  // Dead members that are not on the instance list are removed after this time.
  Milliseconds forget_after{60000};
};

struct MemberIdentity {
  std::string name;
  // New at each start of the member.
  std::string incarnation;
  std::string failure_domain;
};

struct Heartbeat {
  MemberIdentity sender;
  // Starts at 1 and increases with each heartbeat of an incarnation.
  uint64_t sequence = 0;
  bool ready = false;
  bool leaving = false;
};

struct MembershipChange {
  std::string name;
  std::string incarnation;
  // nullopt for a member or an incarnation that is seen for the first time.
  std::optional<MemberState> from;
  MemberState to = MemberState::kJoining;
  std::string reason;
};

struct Member {
  MemberIdentity identity;
  MemberState state = MemberState::kJoining;
  // When the member entered `state`.
  Time state_since;
  bool linked = false;
  // Sequence number of the newest heartbeat; 0 before the first.
  uint64_t last_sequence = 0;
  Time last_heard;
  // Smoothed gap between heartbeats, and its smoothed mean deviation.
  Duration mean_gap{0};
  Duration gap_deviation{0};
  // Earlier incarnations, oldest first; their messages are ignored. Bounded.
  std::deque<std::string> retired_incarnations;
};

class MembershipTable {
 public:
  using Changes = std::vector<MembershipChange>;

  // This entry is itself a member of the table and never suspect or dead.
  MembershipTable(MembershipSettings settings, MemberIdentity self, Time now);

  Changes SetOwnReadiness(bool ready, bool leaving, Time now);
  Changes HandleHeartbeat(const Heartbeat& heartbeat, Time now);
  Changes HandleLinkUp(const MemberIdentity& peer, Time now);
  void HandleLinkDown(const MemberIdentity& peer);
  // Sets the names of all entries on the instance list.
  void SetListedNames(const std::vector<std::string>& names);
  // Must be called about once per heartbeat interval; detects silent members.
  Changes HandleTick(Time now);

  // Names of the alive members, sorted; includes this entry when it is ready.
  std::vector<std::string> alive() const;
  // The alive member responsible for `key`, by rendezvous hashing: the loss
  // of a member moves only the keys it owned. nullopt when none is alive.
  std::optional<std::string> OwnerOf(std::string_view key) const;
  // By name; includes this entry.
  const std::map<std::string, Member>& members() const { return members_; }

 private:
  bool IsCurrent(const MemberIdentity& identity) const;
  // Returns the member with this identity, or nullptr for this entry itself and
  // for an outdated incarnation. A new incarnation replaces the previous one.
  Member* FindOrAdd(const MemberIdentity& identity, Time now);
  void UpdateGapEstimate(Member* member, Time now) const;
  Duration SuspectAfter(const Member& member) const;
  Duration DeadAfter(const Member& member) const;
  // Detects that this process itself was paused since the last tick, when the
  // silence of others proves nothing. If so, shifts the members' timestamps by
  // the length of the pause and returns true.
  bool CompensateForPause(Time now);
  void CheckForSilence(Member* member, Time now, Changes* changes) const;
  void RemoveExpiredDead(Time now);

  const MembershipSettings settings_;
  const std::string self_;
  // By name; always contains self_.
  std::map<std::string, Member> members_;
  // Names on the instance list; empty while no list has been received.
  std::set<std::string> listed_;
  Time last_tick_;
};

}  // namespace thornplank

#endif  // THORNPLANK_MEMBERSHIP_MEMBERSHIP_TABLE_H_
