// Input and output values of ClaimTable.
#ifndef THORNPLANK_CLAIMS_CLAIM_TYPES_H_
#define THORNPLANK_CLAIMS_CLAIM_TYPES_H_

#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"
#include "claims/claim_key.h"
#include "claims/claim_record.h"

namespace thornplank {

struct ClaimTableSettings {
  // This incarnation of this entry.
  ClaimHolder self;
  // Time for which a key is valid after the caller created it.
  Milliseconds window{15 * 60 * 1000};
  // How far a key time may lie in the future.
  Milliseconds max_key_time_ahead{60000};
  // The largest assumed difference between two clocks.
  Milliseconds max_clock_skew{30000};
  // No new claim is begun while the table holds this many keys and own claims.
  size_t max_keys = 1000000;
};

// A non-idempotent request that is to be sent.
struct ClaimRequest {
  // Globally unique and never reused; the id of the claim if one is begun.
  std::string claim_id;
  std::string account;
  std::string service;
  std::string key;
  WallTime key_time;
  Digest128 body_digest;
};

enum class ClaimDecisionKind {
  // Append the claim and wait for its ClaimEvent; the request may be sent only
  // after kWon.
  kAppend,
  // This entry is handling the same request under `claim_id`: wait for its
  // outcome.
  kJoin,
  // `holder` claimed the key and is reachable: ask it for the outcome.
  kAskHolder,
  // The request was answered through this entry: return the answer if it is
  // still
  // cached.
  kAnsweredHere,
  // Do not send; `refusal` says why.
  kRefuse,
};

enum class ClaimRefusal {
  kNone,
  // This request was certainly not sent and may be retried.
  kNotCaughtUp,
  kLogDown,
  kTableFull,
  kBeingReleased,
  // The request of the key may have run before and must not run again.
  kKeyExpired,
  kKeyNotRemembered,
  kHolderGone,
  kOutcomeUnknown,
  kAnswerNotHeld,
  // The caller's request is invalid.
  kKeyTimeAhead,
  kBodyDiffers,
};

// What a refusal means for the caller.
enum class RefusalClass { kNone, kNotRun, kUnknown, kCallerFault };
RefusalClass ClassOf(ClaimRefusal refusal);
// Returns one sentence for callers and logs.
std::string Describe(ClaimRefusal refusal);

struct ClaimDecision {
  ClaimDecisionKind kind = ClaimDecisionKind::kRefuse;
  ClaimRefusal refusal = ClaimRefusal::kNone;
  // kJoin: the claim to wait for. kAppend: the claim to append.
  std::string claim_id;
  // kAskHolder: the holder to ask.
  ClaimHolder holder;
  // kAppend, from BeginClaim only: the record to append.
  ClaimRecord record;
};

enum class ClaimEventKind {
  // This entry's claim is the first one in log order and holds the key.
  kWon,
  // Another claim holds the key, or the claim came too late or cannot be proved
  // the first. It will never win; the request needs a new decision.
  kLost,
};

// Effect of an applied record on a claim of this entry.
struct ClaimEvent {
  ClaimEventKind kind = ClaimEventKind::kLost;
  std::string claim_id;
  // For kLost: the reason when it is the key's time, kNone when another claim
  // came first.
  ClaimRefusal refusal = ClaimRefusal::kNone;
  // The record to append, if set.
  std::optional<ClaimRecord> release;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_CLAIM_TYPES_H_
