// Applies claim records and decides what this entry may do with a key.
#include "claims/claim_table.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

// Identifies a claim by its id and its holder, so that a holder cannot release
// the claim of another one by its id alone.
Digest128 ClaimDigest(const ClaimRecord& record) {
  return ClaimKeyDigest(record.claim_id, record.holder.entry,
                        record.holder.incarnation);
}

Digest128 KeyDigest(const ClaimRecord& record) {
  return ClaimKeyDigest(record.account, record.service, record.key);
}

ClaimDecision Refuse(ClaimRefusal refusal) {
  ClaimDecision decision;
  decision.kind = ClaimDecisionKind::kRefuse;
  decision.refusal = refusal;
  return decision;
}

ClaimDecision Join(const std::string& claim_id) {
  ClaimDecision decision;
  decision.kind = ClaimDecisionKind::kJoin;
  decision.claim_id = claim_id;
  return decision;
}

}  // namespace

ClaimTable::ClaimTable(ClaimTableSettings settings)
    : settings_(std::move(settings)) {}

// A claim is valid only while the log's clock is between
// max_key_time_ahead + max_clock_skew before the key time and
// window + max_clock_skew after it. Hence at most
// window + max_key_time_ahead + 2 * max_clock_skew lie between the first valid
// claim on a key and the last possible one.
Duration ClaimTable::retention() const {
  return settings_.window + settings_.max_key_time_ahead +
         2 * settings_.max_clock_skew;
}

std::optional<ClaimEvent> ClaimTable::Apply(const ClaimRecord& record,
                                            WallTime time) {
  log_time_ = std::max(log_time_, time);
  if (first_after_gap_) {
    first_after_gap_ = false;
    history_complete_since_ = std::min(*history_complete_since_, time);
  }
  RemoveExpired();
  switch (record.kind) {
    case ClaimRecordKind::kClaim:
      return ApplyClaim(record);
    case ClaimRecordKind::kReleased:
      ApplyReleased(record);
      break;
    case ClaimRecordKind::kDone:
      ApplyDone(record);
      break;
  }
  return std::nullopt;
}

std::optional<ClaimEvent> ClaimTable::ApplyClaim(const ClaimRecord& record) {
  const Digest128 claim = ClaimDigest(record);
  if (void_claims_.count(claim) > 0) return std::nullopt;
  const ClaimRefusal refusal = CheckKeyTime(record);
  if (refusal != ClaimRefusal::kNone) return HandleLoss(record, claim, refusal);
  const Digest128 key = KeyDigest(record);
  const auto held = keys_.find(key);
  if (held != keys_.end()) {
    if (held->second.claim == claim) return std::nullopt;
    return HandleLoss(record, claim, ClaimRefusal::kNone);
  }
  KeyState state;
  state.body_digest = record.body_digest;
  state.claim = claim;
  state.holder = InternHolder(record.holder);
  KeyState* inserted = &keys_.emplace(key, state).first->second;
  key_expiry_.push_back({log_time_ + retention(), key, claim});
  return HandleWin(record, inserted);
}

std::optional<ClaimEvent> ClaimTable::HandleWin(const ClaimRecord& record,
                                                KeyState* held) {
  const auto own_claim = own_claims_.find(record.claim_id);
  if (own_claim == own_claims_.end()) return std::nullopt;
  if (own_claim->second.phase == OwnClaimPhase::kAbandoned) {
    held->phase = KeyPhase::kReleasing;
    return std::nullopt;
  }
  ClaimEvent event;
  event.claim_id = record.claim_id;
  if (!HistoryCovers(record.key_time)) {
    event.kind = ClaimEventKind::kLost;
    event.refusal = ClaimRefusal::kKeyNotRemembered;
    event.release = Release(record.claim_id);
    return event;
  }
  own_claim->second.phase = OwnClaimPhase::kWon;
  event.kind = ClaimEventKind::kWon;
  return event;
}

std::optional<ClaimEvent> ClaimTable::HandleLoss(const ClaimRecord& record,
                                                 const Digest128& claim,
                                                 ClaimRefusal refusal) {
  VoidClaim(claim);
  const auto found = own_claims_.find(record.claim_id);
  if (found == own_claims_.end()) return std::nullopt;
  const OwnClaim own_claim = std::move(found->second);
  own_claims_.erase(found);
  RemoveFromKeyIndex(own_claim);
  if (own_claim.phase != OwnClaimPhase::kPending) return std::nullopt;
  ClaimEvent event;
  event.kind = ClaimEventKind::kLost;
  event.claim_id = record.claim_id;
  event.refusal = refusal;
  return event;
}

void ClaimTable::ApplyReleased(const ClaimRecord& record) {
  const Digest128 claim = ClaimDigest(record);
  VoidClaim(claim);
  const auto held = keys_.find(KeyDigest(record));
  if (held != keys_.end() && held->second.claim == claim &&
      held->second.phase != KeyPhase::kDone) {
    keys_.erase(held);
  }
  const auto own_claim = own_claims_.find(record.claim_id);
  if (own_claim == own_claims_.end()) return;
  RemoveFromKeyIndex(own_claim->second);
  own_claims_.erase(own_claim);
}

void ClaimTable::ApplyDone(const ClaimRecord& record) {
  const auto held = keys_.find(KeyDigest(record));
  if (held == keys_.end() || held->second.claim != ClaimDigest(record)) return;
  held->second.phase = KeyPhase::kDone;
}

ClaimRefusal ClaimTable::CheckKeyTime(const ClaimRecord& record) const {
  const Duration margin = settings_.max_clock_skew;
  if (record.key_time > log_time_ + settings_.max_key_time_ahead + margin) {
    return ClaimRefusal::kKeyTimeAhead;
  }
  if (record.key_time + settings_.window + margin < log_time_) {
    return ClaimRefusal::kKeyExpired;
  }
  return ClaimRefusal::kNone;
}

// No claim on a key can be older than the key time minus the largest lead of a
// key time and the clock skew.
bool ClaimTable::HistoryCovers(WallTime key_time) const {
  if (!history_complete_since_) return true;
  return key_time - settings_.max_key_time_ahead - settings_.max_clock_skew >=
         *history_complete_since_;
}

void ClaimTable::VoidClaim(const Digest128& claim) {
  if (!void_claims_.insert(claim).second) return;
  void_expiry_.push_back({log_time_ + retention(), claim});
}

void ClaimTable::RemoveExpired() {
  while (!key_expiry_.empty() && key_expiry_.front().expires_at < log_time_) {
    const KeyExpiry& expiry = key_expiry_.front();
    const auto held = keys_.find(expiry.key);
    if (held != keys_.end() && held->second.claim == expiry.claim) {
      keys_.erase(held);
    }
    key_expiry_.pop_front();
  }
  while (!void_expiry_.empty() && void_expiry_.front().expires_at < log_time_) {
    void_claims_.erase(void_expiry_.front().claim);
    void_expiry_.pop_front();
  }
  while (!abandoned_expiry_.empty() &&
         abandoned_expiry_.front().expires_at < log_time_) {
    own_claims_.erase(abandoned_expiry_.front().claim_id);
    abandoned_expiry_.pop_front();
  }
}

void ClaimTable::HandleGap(WallTime now) {
  first_after_gap_ = true;
  history_complete_since_ = now + settings_.max_clock_skew;
}

void ClaimTable::SetReachableEntries(std::vector<ClaimHolder> entries) {
  reachable_entries_ = std::move(entries);
}

ClaimDecision ClaimTable::Evaluate(const ClaimRequest& request, WallTime now,
                                   bool log_available) const {
  if (request.key_time > now + settings_.max_key_time_ahead) {
    return Refuse(ClaimRefusal::kKeyTimeAhead);
  }
  const Digest128 key =
      ClaimKeyDigest(request.account, request.service, request.key);
  const auto held = keys_.find(key);
  if (held != keys_.end()) return EvaluateHeldKey(held->second, request);
  const auto pending = own_by_key_.find(key);
  if (pending != own_by_key_.end()) {
    const OwnClaim& own_claim = own_claims_.at(pending->second);
    if (own_claim.record.body_digest != request.body_digest) {
      return Refuse(ClaimRefusal::kBodyDiffers);
    }
    return Join(pending->second);
  }
  const ClaimRefusal refusal = CheckUnclaimedKey(request, now, log_available);
  if (refusal != ClaimRefusal::kNone) return Refuse(refusal);
  ClaimDecision decision;
  decision.kind = ClaimDecisionKind::kAppend;
  decision.claim_id = request.claim_id;
  return decision;
}

ClaimDecision ClaimTable::EvaluateHeldKey(const KeyState& held,
                                          const ClaimRequest& request) const {
  if (held.body_digest != request.body_digest) {
    return Refuse(ClaimRefusal::kBodyDiffers);
  }
  const ClaimHolder& holder = holders_[held.holder];
  if (holder == settings_.self) {
    return EvaluateOwnKey(
        held, ClaimKeyDigest(request.account, request.service, request.key));
  }
  if (IsReachable(holder)) {
    ClaimDecision decision;
    decision.kind = ClaimDecisionKind::kAskHolder;
    decision.holder = holder;
    return decision;
  }
  return Refuse(held.phase == KeyPhase::kDone ? ClaimRefusal::kAnswerNotHeld
                                              : ClaimRefusal::kHolderGone);
}

ClaimDecision ClaimTable::EvaluateOwnKey(const KeyState& held,
                                         const Digest128& key) const {
  switch (held.phase) {
    case KeyPhase::kDone: {
      ClaimDecision decision;
      decision.kind = ClaimDecisionKind::kAnsweredHere;
      return decision;
    }
    case KeyPhase::kUnknown:
      return Refuse(ClaimRefusal::kOutcomeUnknown);
    case KeyPhase::kReleasing:
      return Refuse(ClaimRefusal::kBeingReleased);
    case KeyPhase::kHeld:
      break;
  }
  const auto running = own_by_key_.find(key);
  if (running == own_by_key_.end()) {
    return Refuse(ClaimRefusal::kOutcomeUnknown);
  }
  return Join(running->second);
}

ClaimRefusal ClaimTable::CheckUnclaimedKey(const ClaimRequest& request,
                                           WallTime now,
                                           bool log_available) const {
  if (request.key_time + settings_.window < now) {
    return ClaimRefusal::kKeyExpired;
  }
  if (!caught_up_) return ClaimRefusal::kNotCaughtUp;
  if (!HistoryCovers(request.key_time)) return ClaimRefusal::kKeyNotRemembered;
  if (!log_available) return ClaimRefusal::kLogDown;
  if (keys_.size() + own_claims_.size() >= settings_.max_keys) {
    return ClaimRefusal::kTableFull;
  }
  return ClaimRefusal::kNone;
}

ClaimDecision ClaimTable::BeginClaim(const ClaimRequest& request, WallTime now,
                                     bool log_available) {
  ClaimDecision decision = Evaluate(request, now, log_available);
  if (decision.kind != ClaimDecisionKind::kAppend) return decision;
  OwnClaim own_claim;
  own_claim.record.kind = ClaimRecordKind::kClaim;
  own_claim.record.account = request.account;
  own_claim.record.service = request.service;
  own_claim.record.key = request.key;
  own_claim.record.holder = settings_.self;
  own_claim.record.claim_id = request.claim_id;
  own_claim.record.key_time = request.key_time;
  own_claim.record.body_digest = request.body_digest;
  own_claim.key = KeyDigest(own_claim.record);
  own_by_key_[own_claim.key] = request.claim_id;
  decision.record = own_claim.record;
  own_claims_[request.claim_id] = std::move(own_claim);
  return decision;
}

bool ClaimTable::MaySend(const std::string& claim_id) const {
  const auto own_claim = own_claims_.find(claim_id);
  if (own_claim == own_claims_.end()) return false;
  if (own_claim->second.phase != OwnClaimPhase::kWon) return false;
  const auto held = keys_.find(own_claim->second.key);
  return held != keys_.end() &&
         held->second.claim == ClaimDigest(own_claim->second.record);
}

std::optional<ClaimRecord> ClaimTable::Release(const std::string& claim_id) {
  const auto found = own_claims_.find(claim_id);
  if (found == own_claims_.end()) return std::nullopt;
  OwnClaim& own_claim = found->second;
  if (own_claim.phase == OwnClaimPhase::kAbandoned) return std::nullopt;
  own_claim.phase = OwnClaimPhase::kAbandoned;
  RemoveFromKeyIndex(own_claim);
  const auto held = keys_.find(own_claim.key);
  if (held != keys_.end() &&
      held->second.claim == ClaimDigest(own_claim.record)) {
    held->second.phase = KeyPhase::kReleasing;
  }
  // After this time the claim can no longer win.
  const WallTime expires_at =
      own_claim.record.key_time + settings_.window + settings_.max_clock_skew;
  abandoned_expiry_.push_back({expires_at, claim_id});
  return MakeRecord(own_claim, ClaimRecordKind::kReleased);
}

void ClaimTable::ForgetUnappended(const std::string& claim_id) {
  const auto found = own_claims_.find(claim_id);
  if (found == own_claims_.end()) return;
  RemoveFromKeyIndex(found->second);
  own_claims_.erase(found);
}

std::optional<ClaimRecord> ClaimTable::Finish(const std::string& claim_id,
                                              int status) {
  const auto found = own_claims_.find(claim_id);
  if (found == own_claims_.end()) return std::nullopt;
  const OwnClaim own_claim = std::move(found->second);
  own_claims_.erase(found);
  RemoveFromKeyIndex(own_claim);
  const auto held = keys_.find(own_claim.key);
  if (held != keys_.end() &&
      held->second.claim == ClaimDigest(own_claim.record)) {
    held->second.phase = KeyPhase::kDone;
  }
  ClaimRecord record = MakeRecord(own_claim, ClaimRecordKind::kDone);
  record.status = status;
  return record;
}

void ClaimTable::FinishUnknown(const std::string& claim_id) {
  const auto found = own_claims_.find(claim_id);
  if (found == own_claims_.end()) return;
  const OwnClaim own_claim = std::move(found->second);
  own_claims_.erase(found);
  RemoveFromKeyIndex(own_claim);
  const auto held = keys_.find(own_claim.key);
  if (held == keys_.end()) return;
  if (held->second.claim != ClaimDigest(own_claim.record)) return;
  held->second.phase = KeyPhase::kUnknown;
}

void ClaimTable::RemoveFromKeyIndex(const OwnClaim& own_claim) {
  const auto found = own_by_key_.find(own_claim.key);
  if (found == own_by_key_.end()) return;
  if (found->second == own_claim.record.claim_id) own_by_key_.erase(found);
}

bool ClaimTable::IsReachable(const ClaimHolder& holder) const {
  return std::find(reachable_entries_.begin(), reachable_entries_.end(),
                   holder) != reachable_entries_.end();
}

ClaimTable::HolderIndex ClaimTable::InternHolder(const ClaimHolder& holder) {
  const auto found = std::find(holders_.begin(), holders_.end(), holder);
  if (found != holders_.end()) {
    return static_cast<HolderIndex>(found - holders_.begin());
  }
  holders_.push_back(holder);
  return static_cast<HolderIndex>(holders_.size() - 1);
}

ClaimRecord ClaimTable::MakeRecord(const OwnClaim& own_claim,
                                   ClaimRecordKind kind) const {
  ClaimRecord record = own_claim.record;
  record.kind = kind;
  return record;
}

}  // namespace thornplank
