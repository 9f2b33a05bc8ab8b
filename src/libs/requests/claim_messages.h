// Messages of the peer call "claim-outcome", by which an entry queries the
// holder of a claim for the outcome of the claimed request.
#ifndef THORNPLANK_REQUESTS_CLAIM_MESSAGES_H_
#define THORNPLANK_REQUESTS_CLAIM_MESSAGES_H_

#include <optional>

#include "base/json.h"
#include "base/time.h"
#include "claims/claim_types.h"
#include "requests/claim_verdict.h"

namespace thornplank {

inline constexpr char kClaimOutcomeCall[] = "claim-outcome";

struct ClaimOutcomeQuery {
  ClaimRequest request;
  // How long the holder may wait for the outcome before it replies.
  Milliseconds max_wait{};
};

Json EncodeClaimOutcomeQuery(const ClaimOutcomeQuery& query);
// Returns nullopt when `body` is malformed.
std::optional<ClaimOutcomeQuery> DecodeClaimOutcomeQuery(const Json& body);

// Verdicts other than kAnswered and kNotRun are encoded as kUnknown, and so is
// an answer that is too large for a frame of the peer protocol.
Json EncodeClaimVerdict(const ClaimVerdict& verdict);
// A malformed body is decoded as kUnknown.
ClaimVerdict DecodeClaimVerdict(const Json& body);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_MESSAGES_H_
