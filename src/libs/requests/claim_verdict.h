// What becomes of a non-idempotent request, as its carrier is told.
#ifndef THORNPLANK_REQUESTS_CLAIM_VERDICT_H_
#define THORNPLANK_REQUESTS_CLAIM_VERDICT_H_

#include <string>

#include "base/time.h"
#include "claims/claim_types.h"
#include "claims/upstream_answer.h"

namespace thornplank {

enum class ClaimVerdictKind {
  // Won: the request may be sent, under ClaimFlow::MaySend, and must end with
  // exactly one of Answered, NotSent and Unknown.
  kSend,
  // The answer of an earlier request of the same key.
  kAnswered,
  // Proved that this request was not sent.
  kNotRun,
  // The key may have run; this request will not.
  kUnknown,
  // The caller's mistake; `refusal` says which.
  kFault,
};

struct ClaimVerdict {
  ClaimVerdictKind kind = ClaimVerdictKind::kUnknown;
  // kSend.
  std::string claim_id;
  // kAnswered.
  UpstreamAnswer answer;
  // Every kind but kSend and kAnswered.
  std::string reason;
  // kNotRun.
  Duration retry_after{};
  // kFault.
  ClaimRefusal refusal = ClaimRefusal::kNone;
};

inline constexpr Duration kRetryAfterClaim = std::chrono::seconds(1);
inline constexpr Duration kRetryAfterLogDown = std::chrono::seconds(2);

ClaimVerdict SendVerdict(std::string claim_id);
ClaimVerdict AnsweredVerdict(UpstreamAnswer answer);
ClaimVerdict NotRunVerdict(std::string reason, Duration retry_after);
ClaimVerdict UnknownVerdict(std::string reason);
// kNotRun, kUnknown or kFault by the class of `refusal`.
ClaimVerdict RefusalVerdict(ClaimRefusal refusal);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_VERDICT_H_
