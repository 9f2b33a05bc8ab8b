// The records of the log stream "claims", which decide which entry may send the
// request of an idempotency key.
#ifndef THORNPLANK_CLAIMS_CLAIM_RECORD_H_
#define THORNPLANK_CLAIMS_CLAIM_RECORD_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"
#include "claims/claim_key.h"

namespace thornplank {

inline constexpr char kClaimStream[] = "claims";

enum class ClaimRecordKind {
  // `holder` claims the right to send the request of this key; the first claim
  // in
  // log order wins.
  kClaim,
  // The holder guarantees that the request of the claim `claim_id` was not sent
  // and never will be.
  kReleased,
  // The holder received the complete answer.
  kDone,
};

// One incarnation of an entry. A restarted entry is a different holder.
struct ClaimHolder {
  std::string entry;
  std::string incarnation;

  bool operator==(const ClaimHolder& other) const {
    return entry == other.entry && incarnation == other.incarnation;
  }
};

struct ClaimRecord {
  ClaimRecordKind kind = ClaimRecordKind::kClaim;
  std::string account;
  std::string service;
  std::string key;
  ClaimHolder holder;
  // Globally unique and never reused; also the id of the log record of a
  // kClaim.
  std::string claim_id;
  // When the caller created the key; kClaim only.
  WallTime key_time;
  // Digest of the request body; kClaim only.
  Digest128 body_digest;
  // HTTP status of the answer; kDone only.
  int status = 0;
};

// The id of the log record that carries `record`.
std::string LogRecordId(const ClaimRecord& record);
Json ToJson(const ClaimRecord& record);
// Returns nullopt and sets `*error` when a field is missing or has a wrong
// type.
std::optional<ClaimRecord> ParseClaimRecord(const Json& data, Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_CLAIM_RECORD_H_
