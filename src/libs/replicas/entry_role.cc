// The delays after which an entry that is not on the roster follows the board.
#include "replicas/entry_role.h"

#include <cmath>
#include <utility>

namespace thornplank {
namespace {

Milliseconds ShareOf(Milliseconds whole, double share) {
  return Milliseconds(static_cast<int64_t>(
      std::lround(static_cast<double>(whole.count()) * share)));
}

}  // namespace

EntryRole::EntryRole(EntryRoleSettings settings)
    : settings_(std::move(settings)) {}

bool EntryRole::OnRoster(const ReplicaRoster& roster, Time now) {
  if (roster_ && !roster.IsNewerThan(*roster_)) return false;
  roster_ = roster;
  no_roster_since_.reset();
  // The replicas may be others now.
  if (silent_since_) silent_since_ = now;
  return true;
}

void EntryRole::OnNoRoster(Time now) {
  if (roster_) return;
  if (!no_roster_since_) no_roster_since_ = now;
  const Milliseconds delay =
      ShareOf(settings_.first_rank_delay, settings_.rank) +
      ShareOf(settings_.first_random_delay, settings_.chance);
  if (now - *no_roster_since_ >= delay) self_appointed_ = true;
}

void EntryRole::OnReplicaAnswered(Time now) {
  silent_since_.reset();
  if (!answered_since_) answered_since_ = now;
}

void EntryRole::OnReplicasSilent(Time now) {
  answered_since_.reset();
  if (!silent_since_) silent_since_ = now;
}

bool EntryRole::listed() const {
  return roster_ && roster_->PositionOf(settings_.name).has_value();
}

EntryMode EntryRole::Decide(Time now) {
  if (listed()) {
    self_appointed_ = false;
    return EntryMode::kReplica;
  }
  return DecideUnlisted(now);
}

EntryMode EntryRole::DecideUnlisted(Time now) {
  if (self_appointed_) {
    const bool served =
        answered_since_ && now - *answered_since_ >= settings_.demotion_delay;
    if (!roster_ || !served) return EntryMode::kReplica;
    self_appointed_ = false;
    return EntryMode::kGateway;
  }
  if (!roster_) return EntryMode::kUndecided;
  self_appointed_ =
      silent_since_ && now - *silent_since_ >= DelayToReplaceReplicas();
  return self_appointed_ ? EntryMode::kReplica : EntryMode::kGateway;
}

Milliseconds EntryRole::DelayToReplaceReplicas() const {
  const Milliseconds random_part =
      settings_.random_delay_per_entry * roster_->entries;
  return settings_.patience + ShareOf(settings_.rank_delay, settings_.rank) +
         ShareOf(random_part, settings_.chance);
}

std::string_view ToText(EntryMode mode) {
  switch (mode) {
    case EntryMode::kUndecided:
      return "undecided";
    case EntryMode::kGateway:
      return "gateway";
    case EntryMode::kReplica:
      return "replica";
  }
  return "undecided";
}

}  // namespace thornplank
