// Construction of verdicts.
#include "requests/claim_verdict.h"

#include <utility>

namespace thornplank {

ClaimVerdict SendVerdict(std::string claim_id) {
  ClaimVerdict verdict;
  verdict.kind = ClaimVerdictKind::kSend;
  verdict.claim_id = std::move(claim_id);
  return verdict;
}

ClaimVerdict AnsweredVerdict(UpstreamAnswer answer) {
  ClaimVerdict verdict;
  verdict.kind = ClaimVerdictKind::kAnswered;
  verdict.answer = std::move(answer);
  return verdict;
}

ClaimVerdict NotRunVerdict(std::string reason, Duration retry_after) {
  ClaimVerdict verdict;
  verdict.kind = ClaimVerdictKind::kNotRun;
  verdict.reason = std::move(reason);
  verdict.retry_after = retry_after;
  return verdict;
}

ClaimVerdict UnknownVerdict(std::string reason) {
  ClaimVerdict verdict;
  verdict.kind = ClaimVerdictKind::kUnknown;
  verdict.reason = std::move(reason);
  return verdict;
}

ClaimVerdict RefusalVerdict(ClaimRefusal refusal) {
  ClaimVerdict verdict = UnknownVerdict(Describe(refusal));
  verdict.refusal = refusal;
  const RefusalClass refusal_class = ClassOf(refusal);
  if (refusal_class == RefusalClass::kCallerFault) {
    verdict.kind = ClaimVerdictKind::kFault;
  }
  if (refusal_class == RefusalClass::kNotRun) {
    verdict.kind = ClaimVerdictKind::kNotRun;
    verdict.retry_after = refusal == ClaimRefusal::kLogDown ? kRetryAfterLogDown
                                                            : kRetryAfterClaim;
  }
  return verdict;
}

}  // namespace thornplank
