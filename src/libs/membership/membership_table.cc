// State transitions of members, and ownership of keys.
#include "membership/membership_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr size_t kMaxRetiredIncarnations = 8;
// Ticks this many heartbeat intervals apart mean that this process was paused.
constexpr int kPauseIntervals = 3;
// Divisors of the exponential smoothing of the gap and its deviation, as in the
// estimation of TCP retransmission timeouts.
constexpr int kGapDivisor = 8;
constexpr int kDeviationDivisor = 4;
// A member becomes suspect after this many mean gaps plus this many deviations.
constexpr int kSuspectGaps = 2;
constexpr int kSuspectDeviations = 4;

void ChangeState(Member* member, MemberState to, std::string reason, Time now,
                 MembershipTable::Changes* changes) {
  if (member->state == to) return;
  changes->push_back({member->identity.name, member->identity.incarnation,
                      member->state, to, std::move(reason)});
  member->state = to;
  member->state_since = now;
}

MemberState StateFromHeartbeat(bool ready, bool leaving) {
  if (leaving) return MemberState::kLeaving;
  return ready ? MemberState::kAlive : MemberState::kJoining;
}

bool IsSilent(MemberState state) {
  return state == MemberState::kSuspect || state == MemberState::kDead;
}

uint64_t RendezvousScore(const std::string& name, std::string_view key) {
  const uint64_t seed = XXH3_64bits(name.data(), name.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

}  // namespace

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kJoining:
      return "joining";
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "";
}

MembershipTable::MembershipTable(MembershipSettings settings,
                                 MemberIdentity self, Time now)
    : settings_(settings), self_(self.name), last_tick_(now) {
  Member& member = members_[self_];
  member.identity = std::move(self);
  member.state_since = now;
  member.last_heard = now;
  member.linked = true;
}

MembershipTable::Changes MembershipTable::SetOwnReadiness(bool ready,
                                                          bool leaving,
                                                          Time now) {
  Changes changes;
  ChangeState(&members_[self_], StateFromHeartbeat(ready, leaving),
              "own readiness changed", now, &changes);
  return changes;
}

MembershipTable::Changes MembershipTable::HandleHeartbeat(
    const Heartbeat& heartbeat, Time now) {
  Changes changes;
  const bool known = IsCurrent(heartbeat.sender);
  Member* member = FindOrAdd(heartbeat.sender, now);
  if (member == nullptr || heartbeat.sequence <= member->last_sequence) {
    return changes;
  }
  const bool first = member->last_sequence == 0;
  if (!first) UpdateGapEstimate(member, now);
  member->last_sequence = heartbeat.sequence;
  member->last_heard = now;
  const MemberState to = StateFromHeartbeat(heartbeat.ready, heartbeat.leaving);
  if (!known) {
    member->state = to;
    changes.push_back({member->identity.name, member->identity.incarnation,
                       std::nullopt, to, "first heartbeat"});
    return changes;
  }
  ChangeState(member, to,
              IsSilent(member->state) ? "heartbeats resumed"
                                      : "state announced by heartbeat",
              now, &changes);
  return changes;
}

MembershipTable::Changes MembershipTable::HandleLinkUp(
    const MemberIdentity& peer, Time now) {
  Changes changes;
  const bool known = IsCurrent(peer);
  Member* member = FindOrAdd(peer, now);
  if (member == nullptr) return changes;
  member->linked = true;
  if (!known) {
    changes.push_back(
        {peer.name, peer.incarnation, std::nullopt, member->state, "linked"});
  }
  return changes;
}

void MembershipTable::HandleLinkDown(const MemberIdentity& peer) {
  const auto found = members_.find(peer.name);
  if (found == members_.end() || peer.name == self_) return;
  Member& member = found->second;
  if (member.identity.incarnation == peer.incarnation) member.linked = false;
}

void MembershipTable::SetListedNames(const std::vector<std::string>& names) {
  listed_ = std::set<std::string>(names.begin(), names.end());
}

MembershipTable::Changes MembershipTable::HandleTick(Time now) {
  Changes changes;
  if (!CompensateForPause(now)) {
    for (auto& [name, member] : members_) {
      if (name == self_) continue;
      CheckForSilence(&member, now, &changes);
    }
    RemoveExpiredDead(now);
  }
  last_tick_ = now;
  return changes;
}

std::vector<std::string> MembershipTable::alive() const {
  std::vector<std::string> names;
  for (const auto& [name, member] : members_) {
    if (member.state == MemberState::kAlive) names.push_back(name);
  }
  return names;
}

std::optional<std::string> MembershipTable::OwnerOf(
    std::string_view key) const {
  std::optional<std::string> owner;
  uint64_t best = 0;
  for (const auto& [name, member] : members_) {
    if (member.state != MemberState::kAlive) continue;
    const uint64_t score = RendezvousScore(name, key);
    if (owner && score <= best) continue;
    owner = name;
    best = score;
  }
  return owner;
}

bool MembershipTable::IsCurrent(const MemberIdentity& identity) const {
  const auto found = members_.find(identity.name);
  return found != members_.end() &&
         found->second.identity.incarnation == identity.incarnation;
}

Member* MembershipTable::FindOrAdd(const MemberIdentity& identity, Time now) {
  if (identity.name == self_) return nullptr;
  Member& member = members_[identity.name];
  if (member.identity.incarnation == identity.incarnation) return &member;
  if (std::count(member.retired_incarnations.begin(),
                 member.retired_incarnations.end(), identity.incarnation) > 0) {
    return nullptr;
  }
  Member added;
  added.retired_incarnations = std::move(member.retired_incarnations);
  if (!member.identity.incarnation.empty()) {
    added.retired_incarnations.push_back(member.identity.incarnation);
    if (added.retired_incarnations.size() > kMaxRetiredIncarnations) {
      added.retired_incarnations.pop_front();
    }
  }
  added.identity = identity;
  added.state_since = now;
  added.last_heard = now;
  added.linked = true;
  added.mean_gap = settings_.heartbeat_interval;
  member = std::move(added);
  return &member;
}

void MembershipTable::UpdateGapEstimate(Member* member, Time now) const {
  // A gap during which the member was suspect or dead says nothing about its
  // usual heartbeat interval.
  if (IsSilent(member->state)) return;
  const Duration gap =
      std::min<Duration>(now - member->last_heard, settings_.max_suspect_after);
  const Duration error = gap - member->mean_gap;
  member->mean_gap += error / kGapDivisor;
  member->gap_deviation +=
      (std::chrono::abs(error) - member->gap_deviation) / kDeviationDivisor;
}

Duration MembershipTable::SuspectAfter(const Member& member) const {
  if (!member.linked) return settings_.unlinked_suspect_after;
  const Duration bound = kSuspectGaps * member.mean_gap +
                         kSuspectDeviations * member.gap_deviation;
  return std::clamp<Duration>(bound, settings_.min_suspect_after,
                              settings_.max_suspect_after);
}

Duration MembershipTable::DeadAfter(const Member& member) const {
  const bool listed = listed_.count(member.identity.name) > 0;
  const bool list_received = !listed_.empty();
  return list_received && !listed ? settings_.dead_after / 2
                                  : settings_.dead_after;
}

bool MembershipTable::CompensateForPause(Time now) {
  const Duration gap = now - last_tick_;
  if (gap < kPauseIntervals * settings_.heartbeat_interval) return false;
  for (auto& [name, member] : members_) {
    member.last_heard += gap;
    if (member.state == MemberState::kSuspect) member.state_since += gap;
  }
  return true;
}

void MembershipTable::CheckForSilence(Member* member, Time now,
                                      Changes* changes) const {
  if (member->state == MemberState::kDead) return;
  if (member->state == MemberState::kSuspect) {
    if (now - member->state_since < DeadAfter(*member)) return;
    ChangeState(member, MemberState::kDead, "no heartbeat for too long", now,
                changes);
    return;
  }
  if (now - member->last_heard < SuspectAfter(*member)) return;
  ChangeState(member, MemberState::kSuspect,
              member->linked ? "heartbeats missed" : "link down", now, changes);
}

void MembershipTable::RemoveExpiredDead(Time now) {
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const bool forget = member.state == MemberState::kDead &&
                        listed_.count(it->first) == 0 &&
                        now - member.state_since > settings_.forget_after;
    it = forget ? members_.erase(it) : std::next(it);
  }
}

}  // namespace thornplank
