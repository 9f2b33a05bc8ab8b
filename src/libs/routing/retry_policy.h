// Decides what follows from the outcome of an attempt: the answer is delivered,
// another attempt is made, or the request ends as "not run" or "unknown".
//
// A request that may have run is sent again only when it is idempotent, and it
// never ends as "not run".
#ifndef THORNPLANK_ROUTING_RETRY_POLICY_H_
#define THORNPLANK_ROUTING_RETRY_POLICY_H_

#include "routing/routing_types.h"

namespace thornplank {

enum class NextStep {
  kDeliver,
  kRetry,
  kFinishNotRun,
  kFinishUnknown,
};

// State of a request at the end of an attempt.
struct AttemptHistory {
  bool idempotent = false;
  // Attempts so far that the executor did not refuse.
  int tries = 0;
  // Attempts so far that ended as kRefusedNotRun.
  int refusals = 0;
  // Whether an earlier attempt may have run.
  bool may_have_run = false;
  // False when the caller is gone or the deadline has passed.
  bool still_wanted = true;
  // Whether another executor could take the request.
  bool has_alternative = true;
  // Whether the budgets of the account and of the upstream allow a retry.
  bool has_budget = true;
};

// Whether an attempt with this outcome may have run at the executor.
bool MayHaveRun(AttemptOutcome outcome);

NextStep DecideNextStep(AttemptOutcome outcome, const AttemptHistory& history);

// Whether a retry after this outcome consumes tokens of the retry budgets.
bool ConsumesRetryBudget(AttemptOutcome outcome);

// The number of attempts, without refused ones, after which a request is not
// sent again.
int MaxTries();

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_RETRY_POLICY_H_
