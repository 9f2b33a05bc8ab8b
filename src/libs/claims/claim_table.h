// The fold of the log stream "claims" and the decisions of one entry on it.
//
// Every entry folds the same records in the same order, so all agree which
// claim holds a key: the first in the order of the log that was not released.
// An entry may send a request only while its own fold says that its own claim
// holds the key, and nobody else's decision can take the claim away: only the
// holder's own incarnation may release it. So it does no harm when a holder is
// paused for any time between its check and its send.
//
// Which claims are too late or too early follows from the times that the log
// service gives to records, which all entries see alike. Not thread-safe.
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

  // Folds the next record, appended at `time` by the log's clock. Records come
  // in order of offset; a record whose claim id was folded before changes
  // nothing. Returns what it means for claims of this entry.
  std::optional<ClaimEvent> Apply(const ClaimRecord& record, WallTime time);
  // Records before the next one to be folded were lost to retention.
  void HandleGap(WallTime now);
  // The stream has been read to its end once.
  void MarkCaughtUp() { caught_up_ = true; }
  // The entries that may still answer for their claims, this one included or
  // not.
  void SetReachableEntries(std::vector<ClaimHolder> entries);

  // What would be decided on the request; changes nothing.
  ClaimDecision Evaluate(const ClaimRequest& request, WallTime now,
                         bool log_available) const;
  // Decides; with kAppend this entry's claim is pending from now on.
  ClaimDecision BeginClaim(const ClaimRequest& request, WallTime now,
                           bool log_available);

  // Whether this entry's fold says that its claim holds the key and it has
  // neither released nor finished it.
  bool MaySend(const std::string& claim_id) const;
  // From now on the claim is never sent. Returns the record to append, so that
  // the key is free again; nullopt when there is nothing to release.
  std::optional<ClaimRecord> Release(const std::string& claim_id);
  // The claim's append certainly never reached the log.
  void ForgetUnappended(const std::string& claim_id);
  // A whole answer arrived. Returns the record to append.
  std::optional<ClaimRecord> Finish(const std::string& claim_id, int status);
  // The request may have run and there will be no answer.
  void FinishUnknown(const std::string& claim_id);

  bool caught_up() const { return caught_up_; }
  // Every claim appended since then is known; nullopt: since ever.
  std::optional<WallTime> history_complete_since() const {
    return history_complete_since_;
  }
  size_t key_count() const { return keys_.size(); }
  // How long the log's records are remembered after their time.
  Duration retention() const;

 private:
  // Interned holder; grows by one for each start of an entry.
  using HolderIndex = uint32_t;

  enum class KeyPhase : uint8_t {
    kHeld,
    // This entry's own knowledge, ahead of the log: never sent.
    kReleasing,
    // This entry's own knowledge: sent, no whole answer.
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

  // A claim of this entry that has not come to its end.
  struct OwnClaim {
    ClaimRecord record;
    Digest128 key;
    OwnClaimPhase phase = OwnClaimPhase::kPending;
  };

  // A key to be forgotten once the log's clock has passed `at`, unless another
  // claim holds it by then.
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
  bool HistoryCovers(WallTime key_time) const;
  void RemoveFromKeyIndex(const OwnClaim& own);
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
  ClaimRecord MakeRecord(const OwnClaim& own, ClaimRecordKind kind) const;

  const ClaimTableSettings settings_;
  bool caught_up_ = false;
  std::optional<WallTime> history_complete_since_;
  // The next record folded is the oldest one known.
  bool first_after_gap_ = false;
  // The newest record time folded; never goes back.
  WallTime log_time_ = WallTime::min();

  std::vector<ClaimHolder> holders_;
  std::vector<ClaimHolder> reachable_entries_;

  // Keys that a claim holds. Equal on all entries up to `phase`, which only
  // matters to the holder itself.
  std::unordered_map<Digest128, KeyState, Digest128Hash> keys_;
  std::deque<KeyExpiry> key_expiry_;
  // Claims that lost or were released, by claim id and holder. A record of
  // theirs that turns up (again) must not hold a key.
  std::unordered_set<Digest128, Digest128Hash> void_claims_;
  std::deque<VoidExpiry> void_expiry_;

  // By claim id; contains every claim that this entry may still send, and the
  // abandoned ones whose release has not been folded.
  std::unordered_map<std::string, OwnClaim> own_claims_;
  std::deque<AbandonedExpiry> abandoned_expiry_;
  // The claim of this entry that is pending or won, by key; never an abandoned
  // one.
  std::unordered_map<Digest128, std::string, Digest128Hash> own_by_key_;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_CLAIM_TABLE_H_
