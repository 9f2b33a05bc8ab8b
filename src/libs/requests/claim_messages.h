// The call "claim-outcome", by which an entry asks the holder of a claim for
// the outcome of the request.
#ifndef THORNPLANK_REQUESTS_CLAIM_MESSAGES_H_
#define THORNPLANK_REQUESTS_CLAIM_MESSAGES_H_

#include <optional>

#include "base/json.h"
#include "base/time.h"
#include "claims/claim_types.h"
#include "requests/claim_verdict.h"

namespace thornplank {

inline constexpr char kClaimOutcomeCall[] = "claim-outcome";

struct ClaimQuestion {
  ClaimRequest request;
  // How long the holder may wait for the outcome.
  Milliseconds wait{};
};

Json EncodeClaimQuestion(const ClaimQuestion& question);
// nullopt when malformed.
std::optional<ClaimQuestion> DecodeClaimQuestion(const Json& body);

// Of kAnswered, kNotRun and kUnknown; any other kind travels as kUnknown.
Json EncodeClaimVerdict(const ClaimVerdict& verdict);
// A malformed body is kUnknown.
ClaimVerdict DecodeClaimVerdict(const Json& body);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_MESSAGES_H_
