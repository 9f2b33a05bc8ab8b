// Which entries are alive, decided from heartbeats, links and the passing of
// time. No I/O.
//
// Observation decides; the lagging instance list is a hint. It shortens the
// wait for a member that is silent already, and lets dead members be
// forgotten. Alone it neither ends a member that is heard nor revives one
// that is not.
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
  // Heard, but its heartbeats say that it does not take work yet.
  kJoining,
  kAlive,
  // Silent for longer than expected.
  kSuspect,
  kDead,
  // Heard, and shutting down.
  kLeaving,
};

std::string_view ToString(MemberState state);

struct MembershipSettings {
  Milliseconds heartbeat_interval{500};
  // Bounds of the silence after which a member is suspect. Between them the
  // bound follows the gaps seen between its heartbeats.
  Milliseconds min_suspect_after{1500};
  Milliseconds max_suspect_after{4000};
  // The same for a member whose link is down.
  Milliseconds unlinked_suspect_after{1000};
  // From suspect to dead; half of it when the list does not hold the member.
  Milliseconds dead_after{3000};
  // Dead members off the list are forgotten after this time.
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
  // Grows with each heartbeat of an incarnation; begins at 1.
  uint64_t sequence = 0;
  bool ready = false;
  bool leaving = false;
};

struct MembershipChange {
  std::string name;
  std::string incarnation;
  // Empty for a member or an incarnation seen for the first time.
  std::optional<MemberState> from;
  MemberState to = MemberState::kJoining;
  std::string reason;
};

struct Member {
  MemberIdentity identity;
  MemberState state = MemberState::kJoining;
  // When `state` began.
  Time state_since;
  bool linked = false;
  uint64_t sequence = 0;
  Time last_heard;
  // Smoothed gap between heartbeats and its mean deviation.
  Duration mean_gap{0};
  Duration gap_deviation{0};
  // Earlier incarnations, which are ignored; a bounded number.
  std::deque<std::string> retired;
};

class MembershipTable {
 public:
  using Changes = std::vector<MembershipChange>;

  // This entry itself is a member too, never suspect or dead.
  MembershipTable(MembershipSettings settings, MemberIdentity self, Time now);

  Changes SetOwnReadiness(bool ready, bool leaving, Time now);
  Changes HandleHeartbeat(const Heartbeat& heartbeat, Time now);
  Changes HandleLinkUp(const MemberIdentity& peer, Time now);
  void HandleLinkDown(const MemberIdentity& peer);
  // The names of all entries that the instance list holds.
  void SetListedNames(const std::vector<std::string>& names);
  // To be called about once every heartbeat interval.
  Changes HandleTick(Time now);

  // Names of the alive members, sorted; with this entry when it is ready.
  std::vector<std::string> alive() const;
  // The alive member responsible for `key`, by rendezvous hashing: the loss
  // of a member moves only the keys it owned. nullopt when none is alive.
  std::optional<std::string> OwnerOf(std::string_view key) const;
  // By name, with this entry.
  const std::map<std::string, Member>& members() const { return members_; }

 private:
  bool IsCurrent(const MemberIdentity& identity) const;
  // The member when `identity` is its newest incarnation, nullptr when it is
  // an old one. An incarnation not known yet starts anew.
  Member* Admit(const MemberIdentity& identity, Time now);
  void LearnGap(Member* member, Time now) const;
  Duration SuspectAfter(const Member& member) const;
  Duration DeadAfter(const Member& member) const;
  // Whether this process itself did not run for a while; then silence proves
  // nothing.
  bool ForgivePause(Time now);
  void CheckSilence(Member* member, Time now, Changes* changes) const;
  void ForgetDead(Time now);

  const MembershipSettings settings_;
  const std::string self_;
  // Holds self_ always.
  std::map<std::string, Member> members_;
  std::set<std::string> listed_;
  Time last_tick_;
};

}  // namespace thornplank

#endif  // THORNPLANK_MEMBERSHIP_MEMBERSHIP_TABLE_H_
