// The verdict of ClaimManager on a non-idempotent request: whether to send it,
// or what to answer instead.
#ifndef THORNPLANK_REQUESTS_CLAIM_VERDICT_H_
#define THORNPLANK_REQUESTS_CLAIM_VERDICT_H_

#include <string>

#include "base/time.h"
#include "claims/claim_types.h"
#include "claims/upstream_answer.h"

namespace thornplank {

enum class ClaimVerdictKind {
  // The claim was won. The request may be sent while ClaimManager::MaySend
  // returns true, and its outcome must be reported by exactly one of
  // RecordAnswer, RecordNotSent and RecordUnknownOutcome.
  kSend,
  // An earlier request of the same key was answered.
  kAnswered,
  // This request was provably not sent.
  kNotRun,
  // An earlier request of the key may have run; this one will not be sent.
  kUnknown,
  // The request is invalid; `refusal` says why.
  kFault,
};

struct ClaimVerdict {
  ClaimVerdictKind kind = ClaimVerdictKind::kUnknown;
  // Set for kSend.
  std::string claim_id;
  // Set for kAnswered.
  UpstreamAnswer answer;
  // Set for every kind but kSend and kAnswered.
  std::string reason;
  // Set for kNotRun.
  Duration retry_after{};
  // Set for verdicts made by RefusalVerdict.
  ClaimRefusal refusal = ClaimRefusal::kNone;
};

inline constexpr Duration kRetryAfterClaim = std::chrono::seconds(1);
inline constexpr Duration kRetryAfterLogDown = std::chrono::seconds(2);

ClaimVerdict SendVerdict(std::string claim_id);
ClaimVerdict AnsweredVerdict(UpstreamAnswer answer);
ClaimVerdict NotRunVerdict(std::string reason, Duration retry_after);
ClaimVerdict UnknownVerdict(std::string reason);
// The kind is kNotRun, kUnknown or kFault, depending on the class of `refusal`.
ClaimVerdict RefusalVerdict(ClaimRefusal refusal);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_VERDICT_H_
