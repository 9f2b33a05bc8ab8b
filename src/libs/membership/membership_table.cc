// Heartbeats, suspicion, and ownership of keys.
#include "membership/membership_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr size_t kMaxRetiredIncarnations = 8;
// A tick that is this many heartbeat intervals late means that this process
// did not run.
constexpr int kPauseIntervals = 3;
// Weights of the smoothed gap and deviation, as for retransmission timers.
constexpr int kGapWeight = 8;
constexpr int kDeviationWeight = 4;
// The bound is this many gaps plus this many deviations.
constexpr int kBoundGaps = 2;
constexpr int kBoundDeviations = 4;

void ChangeState(Member* member, MemberState to, std::string reason, Time now,
                 MembershipTable::Changes* changes) {
  if (member->state == to) return;
  changes->push_back({member->identity.name, member->identity.incarnation,
                      member->state, to, std::move(reason)});
  member->state = to;
  member->state_since = now;
}

MemberState HeardState(bool ready, bool leaving) {
  if (leaving) return MemberState::kLeaving;
  return ready ? MemberState::kAlive : MemberState::kJoining;
}

bool IsSilent(MemberState state) {
  return state == MemberState::kSuspect || state == MemberState::kDead;
}

uint64_t Score(const std::string& name, std::string_view key) {
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
  ChangeState(&members_[self_], HeardState(ready, leaving), "own readiness",
              now, &changes);
  return changes;
}

MembershipTable::Changes MembershipTable::HandleHeartbeat(
    const Heartbeat& heartbeat, Time now) {
  Changes changes;
  const bool known = IsCurrent(heartbeat.sender);
  Member* member = Admit(heartbeat.sender, now);
  if (member == nullptr || heartbeat.sequence <= member->sequence) {
    return changes;
  }
  const bool first = member->sequence == 0;
  if (!first) LearnGap(member, now);
  member->sequence = heartbeat.sequence;
  member->last_heard = now;
  const MemberState to = HeardState(heartbeat.ready, heartbeat.leaving);
  if (!known) {
    member->state = to;
    changes.push_back({member->identity.name, member->identity.incarnation,
                       std::nullopt, to, "first heartbeat"});
    return changes;
  }
  ChangeState(member, to,
              IsSilent(member->state) ? "heard again" : "its heartbeat says so",
              now, &changes);
  return changes;
}

MembershipTable::Changes MembershipTable::HandleLinkUp(
    const MemberIdentity& peer, Time now) {
  Changes changes;
  const bool known = IsCurrent(peer);
  Member* member = Admit(peer, now);
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
  if (!ForgivePause(now)) {
    for (auto& [name, member] : members_) {
      if (name == self_) continue;
      CheckSilence(&member, now, &changes);
    }
    ForgetDead(now);
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
    const uint64_t score = Score(name, key);
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

Member* MembershipTable::Admit(const MemberIdentity& identity, Time now) {
  if (identity.name == self_) return nullptr;
  Member& member = members_[identity.name];
  if (member.identity.incarnation == identity.incarnation) return &member;
  if (std::count(member.retired.begin(), member.retired.end(),
                 identity.incarnation) > 0) {
    return nullptr;
  }
  Member fresh;
  fresh.retired = std::move(member.retired);
  if (!member.identity.incarnation.empty()) {
    fresh.retired.push_back(member.identity.incarnation);
    if (fresh.retired.size() > kMaxRetiredIncarnations) {
      fresh.retired.pop_front();
    }
  }
  fresh.identity = identity;
  fresh.state_since = now;
  fresh.last_heard = now;
  fresh.linked = true;
  fresh.mean_gap = settings_.heartbeat_interval;
  member = std::move(fresh);
  return &member;
}

void MembershipTable::LearnGap(Member* member, Time now) const {
  // A gap in which the member was taken for silent is no measure of its pace.
  if (IsSilent(member->state)) return;
  const Duration gap =
      std::min<Duration>(now - member->last_heard, settings_.max_suspect_after);
  const Duration error = gap - member->mean_gap;
  member->mean_gap += error / kGapWeight;
  member->gap_deviation +=
      (std::chrono::abs(error) - member->gap_deviation) / kDeviationWeight;
}

Duration MembershipTable::SuspectAfter(const Member& member) const {
  if (!member.linked) return settings_.unlinked_suspect_after;
  const Duration bound =
      kBoundGaps * member.mean_gap + kBoundDeviations * member.gap_deviation;
  return std::clamp<Duration>(bound, settings_.min_suspect_after,
                              settings_.max_suspect_after);
}

Duration MembershipTable::DeadAfter(const Member& member) const {
  const bool listed = listed_.count(member.identity.name) > 0;
  const bool list_known = !listed_.empty();
  return list_known && !listed ? settings_.dead_after / 2
                               : settings_.dead_after;
}

bool MembershipTable::ForgivePause(Time now) {
  const Duration gap = now - last_tick_;
  if (gap < kPauseIntervals * settings_.heartbeat_interval) return false;
  for (auto& [name, member] : members_) {
    member.last_heard += gap;
    if (member.state == MemberState::kSuspect) member.state_since += gap;
  }
  return true;
}

void MembershipTable::CheckSilence(Member* member, Time now,
                                   Changes* changes) const {
  if (member->state == MemberState::kDead) return;
  if (member->state == MemberState::kSuspect) {
    if (now - member->state_since < DeadAfter(*member)) return;
    ChangeState(member, MemberState::kDead, "silent for too long", now,
                changes);
    return;
  }
  if (now - member->last_heard < SuspectAfter(*member)) return;
  ChangeState(member, MemberState::kSuspect,
              member->linked ? "heartbeats missed" : "link down", now, changes);
}

void MembershipTable::ForgetDead(Time now) {
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const bool forget = member.state == MemberState::kDead &&
                        listed_.count(it->first) == 0 &&
                        now - member.state_since > settings_.forget_after;
    it = forget ? members_.erase(it) : std::next(it);
  }
}

}  // namespace thornplank
