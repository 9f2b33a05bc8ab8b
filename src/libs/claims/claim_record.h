// The records of the log stream "claims".
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
  // `holder` wants to send the request of this key; the first one in the
  // order of the log wins.
  kClaim,
  // The holder proves that the claim `claim_id` was not sent and never will.
  kReleased,
  // The holder has the whole answer.
  kDone,
};

// One run of one entry. A restarted entry is another holder.
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
  // Unique for ever; also the id of the log record of a kClaim.
  std::string claim_id;
  // When the caller made the key; kClaim only.
  WallTime key_time;
  // Of the request body; kClaim only.
  Digest128 body_digest;
  // HTTP status of the answer; kDone only.
  int status = 0;
};

// The id of the log record that carries `record`.
std::string LogRecordId(const ClaimRecord& record);
Json ToJson(const ClaimRecord& record);
// nullopt and `*error` when a field is missing or of a wrong type.
std::optional<ClaimRecord> ParseClaimRecord(const Json& data, Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_CLAIM_RECORD_H_
