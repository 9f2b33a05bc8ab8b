// The rules for retries and final outcomes.
#include "routing/retry_policy.h"

namespace thornplank {
namespace {

// Attempts that were not refused and attempts that were refused, per request.
constexpr int kMaxTries = 3;
constexpr int kMaxRefusals = 8;

bool MayRetry(AttemptOutcome outcome, const AttemptHistory& history) {
  if (!history.still_wanted || !history.has_alternative) {
    return false;
  }
  if (outcome == AttemptOutcome::kRefusedNotRun) {
    return history.refusals < kMaxRefusals;
  }
  if (history.tries >= kMaxTries || !history.has_budget) {
    return false;
  }
  return history.idempotent || !MayHaveRun(outcome);
}

}  // namespace

bool MayHaveRun(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kRefusedNotRun:
    case AttemptOutcome::kNotSent:
      return false;
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kUnknown:
      break;
  }
  return true;
}

NextStep DecideNextStep(AttemptOutcome outcome, const AttemptHistory& history) {
  if (outcome == AttemptOutcome::kAnswered) {
    return NextStep::kDeliver;
  }
  if (MayRetry(outcome, history)) {
    return NextStep::kRetry;
  }
  if (outcome == AttemptOutcome::kFailed) {
    return NextStep::kDeliver;
  }
  if (history.may_have_run || MayHaveRun(outcome)) {
    return NextStep::kFinishUnknown;
  }
  return NextStep::kFinishNotRun;
}

bool ConsumesRetryBudget(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kRefusedNotRun;
}

int MaxTries() { return kMaxTries; }

}  // namespace thornplank
