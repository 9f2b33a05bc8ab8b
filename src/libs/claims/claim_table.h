// State of the idempotency keys of non-idempotent requests, built from the log
// stream "claims", and the decisions of this entry on them.
//
// Every entry applies the same records in the same order, so all agree which
// claim holds a key: the first one in log order that was not released. An entry
// may send a request only while its own claim holds the key in its own table.
// No other entry can revoke the claim: only the incarnation that holds it may
// release it. A holder may therefore be paused for any time between its check
// and its send.
//
// Whether a claim is too late or too early depends only on the times that the
// log service assigns to records, which are the same for all entries. Not
// thread-safe.
#ifndef THORNPLANK_CLAIMS_CLAIM_TABLE_H_
#define THORNPLANK_CLAIMS_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "claims/claim_key.h"
#include "claims/claim_record.h"
#include "claims/claim_types.h"

namespace thornplank {

class ClaimTable {
 public:
  explicit ClaimTable(ClaimTableSettings settings);

  // Applies the next record, appended at `time` by the log's clock. Records
  // must be passed in order of offset; one that was applied before changes
  // nothing. Returns the effect on a claim of this entry, if any.
  std::optional<ClaimEvent> Apply(const ClaimRecord& record, WallTime time);
  // To be called when records before the next one to be applied were lost to
  // the log's retention; `now` is this entry's time.
  void HandleGap(WallTime now);
  // To be called when the stream has been read to its end once.
  void MarkCaughtUp() { caught_up_ = true; }
  // Sets the entries that can be asked about their claims, with or without this
  // one.
  void SetReachableEntries(std::vector<ClaimHolder> entries);

  // Returns the decision that BeginClaim would make; changes nothing.
  ClaimDecision Evaluate(const ClaimRequest& request, WallTime now,
                         bool log_available) const;
  // Decides on the request; with kAppend, a claim of this entry is pending from
  // now on.
  ClaimDecision BeginClaim(const ClaimRequest& request, WallTime now,
                           bool log_available);

  // Whether the claim holds its key and was neither released nor finished by
  // this entry.
  bool MaySend(const std::string& claim_id) const;
  // Abandons a claim: its request is never sent from now on. Returns the
  // record to append, which frees the key; nullopt when there is nothing to
  // release.
  std::optional<ClaimRecord> Release(const std::string& claim_id);
  // Removes a claim whose record is known never to have reached the log.
  void ForgetUnappended(const std::string& claim_id);
  // Handles the arrival of a complete answer. Returns the record to append;
  // nullopt when the claim is unknown.
  std::optional<ClaimRecord> Finish(const std::string& claim_id, int status);
  // Handles the end of a request that may have run and will get no answer.
  void FinishUnknown(const std::string& claim_id);

  bool caught_up() const { return caught_up_; }
  // All claims appended since this time are known; nullopt when no records were
  // lost.
  std::optional<WallTime> history_complete_since() const {
    return history_complete_since_;
  }
  size_t key_count() const { return keys_.size(); }
  // Time for which the table keeps the state of a record, by the log's clock.
  Duration retention() const;

 private:
  // Index into `holders_`, which grows by one for each incarnation of an entry.
  using HolderIndex = uint32_t;

  enum class KeyPhase : uint8_t {
    kHeld,
    // Known to this entry only, ahead of the log: its request is never sent.
    kReleasing,
    // Known to this entry only: its request was sent and has no complete
    // answer.
    kUnknown,
    kDone,
  };

  struct KeyState {
    Digest128 body_digest;
    Digest128 claim;
    HolderIndex holder = 0;
    KeyPhase phase = KeyPhase::kHeld;
  };

  enum class OwnClaimPhase { kPending, kWon, kAbandoned };

  // A claim of this entry that is neither lost nor finished.
  struct OwnClaim {
    ClaimRecord record;
    Digest128 key;
    OwnClaimPhase phase = OwnClaimPhase::kPending;
  };

  // A key to be removed once the log's clock has passed `expires_at`, unless
  // another claim holds it by then.
  struct KeyExpiry {
    WallTime expires_at;
    Digest128 key;
    Digest128 claim;
  };

  struct VoidExpiry {
    WallTime expires_at;
    Digest128 claim;
  };

  struct AbandonedExpiry {
    WallTime expires_at;
    std::string claim_id;
  };

  std::optional<ClaimEvent> ApplyClaim(const ClaimRecord& record);
  void ApplyReleased(const ClaimRecord& record);
  void ApplyDone(const ClaimRecord& record);
  std::optional<ClaimEvent> HandleWin(const ClaimRecord& record,
                                      KeyState* held);
  std::optional<ClaimEvent> HandleLoss(const ClaimRecord& record,
                                       const Digest128& claim,
                                       ClaimRefusal refusal);
  ClaimRefusal CheckKeyTime(const ClaimRecord& record) const;
  // Whether all possible claims on a key of this time are known.
  bool HistoryCovers(WallTime key_time) const;
  // Removes the claim from `own_by_key_`.
  void RemoveFromKeyIndex(const OwnClaim& own_claim);
  // Marks a claim as void, so that its record can no longer hold a key.
  void VoidClaim(const Digest128& claim);
  void RemoveExpired();
  ClaimDecision EvaluateHeldKey(const KeyState& held,
                                const ClaimRequest& request) const;
  ClaimDecision EvaluateOwnKey(const KeyState& held,
                               const Digest128& key) const;
  ClaimRefusal CheckUnclaimedKey(const ClaimRequest& request, WallTime now,
                                 bool log_available) const;
  bool IsReachable(const ClaimHolder& holder) const;
  HolderIndex InternHolder(const ClaimHolder& holder);
  ClaimRecord MakeRecord(const OwnClaim& own_claim, ClaimRecordKind kind) const;

  const ClaimTableSettings settings_;
  bool caught_up_ = false;
  std::optional<WallTime> history_complete_since_;
  // Whether the next record to be applied is the first one after a gap.
  bool first_after_gap_ = false;
  // The latest time of an applied record; never decreases.
  WallTime log_time_ = WallTime::min();

  std::vector<ClaimHolder> holders_;
  std::vector<ClaimHolder> reachable_entries_;

  // Keys held by a claim. The same at all entries that applied the same
  // records, except for `phase`, which matters only to the holder.
  std::unordered_map<Digest128, KeyState, Digest128Hash> keys_;
  std::deque<KeyExpiry> key_expiry_;
  // Claims that lost or were released, by ClaimDigest. Their records may be
  // delivered late or again and must not hold a key then.
  std::unordered_set<Digest128, Digest128Hash> void_claims_;
  std::deque<VoidExpiry> void_expiry_;

  // By claim id; contains every claim whose request this entry may still send,
  // and the abandoned ones whose release has not been applied.
  std::unordered_map<std::string, OwnClaim> own_claims_;
  std::deque<AbandonedExpiry> abandoned_expiry_;
  // Ids of this entry's pending and won claims, by key; never an abandoned one.
  std::unordered_map<Digest128, std::string, Digest128Hash> own_by_key_;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_CLAIM_TABLE_H_
