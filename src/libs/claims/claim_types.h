// Plain values that go into and come out of the table of claims.
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
  // This run of this entry.
  ClaimHolder self;
  // How long a key is valid after the caller made it.
  Milliseconds window{15 * 60 * 1000};
  // How far ahead of the present a key time may lie.
  Milliseconds max_key_time_ahead{60000};
  // The largest difference assumed between two clocks.
  Milliseconds max_clock_skew{30000};
  // No new claim is begun while the table holds this many keys.
  size_t max_keys = 1000000;
};

// A non-idempotent request that wants to be sent.
struct ClaimRequest {
  // Unique for ever; used when the request has to claim its key.
  std::string claim_id;
  std::string account;
  std::string service;
  std::string key;
  WallTime key_time;
  Digest128 body_digest;
};

enum class ClaimDecisionKind {
  // Append the claim and wait for ClaimEvent; only kWon permits to send.
  kAppend,
  // This entry is running the same request under `claim_id`: wait for it.
  kJoin,
  // `holder`, which may still answer, has the request: ask it.
  kAskHolder,
  // The request was answered through this entry: give the answer if it is
  // still held.
  kAnsweredHere,
  // Do not send; `refusal` says why.
  kRefuse,
};

enum class ClaimRefusal {
  kNone,
  // Proved that this request was not sent; may be tried again.
  kNotCaughtUp,
  kLogDown,
  kTableFull,
  kBeingReleased,
  // The key may have run before; never run again.
  kKeyExpired,
  kKeyNotRemembered,
  kHolderGone,
  kOutcomeUnknown,
  kAnswerNotHeld,
  // The caller's mistake.
  kKeyTimeAhead,
  kBodyDiffers,
};

// What a refusal means for the caller.
enum class RefusalClass { kNone, kNotRun, kUnknown, kCallerFault };
RefusalClass ClassOf(ClaimRefusal refusal);
// One sentence for callers and logs.
std::string Describe(ClaimRefusal refusal);

struct ClaimDecision {
  ClaimDecisionKind kind = ClaimDecisionKind::kRefuse;
  ClaimRefusal refusal = ClaimRefusal::kNone;
  // kJoin: the claim to wait for.
  std::string claim_id;
  // kAskHolder.
  ClaimHolder holder;
  // kAppend, from Begin only: the record to append.
  ClaimRecord record;
};

enum class ClaimEventKind {
  // This entry's claim is the first in the order of the log.
  kWon,
  // It is not, or it came too late. It will never win: decide anew.
  kLost,
};

// What a folded record means for a claim of this entry.
struct ClaimEvent {
  ClaimEventKind kind = ClaimEventKind::kLost;
  std::string claim_id;
  // kLost because of the key's time; kNone when another claim came first.
  ClaimRefusal refusal = ClaimRefusal::kNone;
  // To be appended, when set.
  std::optional<ClaimRecord> release;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_CLAIM_TYPES_H_
