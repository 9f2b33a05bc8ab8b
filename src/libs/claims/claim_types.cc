// Classifies and describes refusals.
#include "claims/claim_types.h"

namespace thornplank {

RefusalClass ClassOf(ClaimRefusal refusal) {
  switch (refusal) {
    case ClaimRefusal::kNone:
      return RefusalClass::kNone;
    case ClaimRefusal::kNotCaughtUp:
    case ClaimRefusal::kLogDown:
    case ClaimRefusal::kTableFull:
    case ClaimRefusal::kBeingReleased:
      return RefusalClass::kNotRun;
    case ClaimRefusal::kKeyExpired:
    case ClaimRefusal::kKeyNotRemembered:
    case ClaimRefusal::kHolderGone:
    case ClaimRefusal::kOutcomeUnknown:
    case ClaimRefusal::kAnswerNotHeld:
      return RefusalClass::kUnknown;
    case ClaimRefusal::kKeyTimeAhead:
    case ClaimRefusal::kBodyDiffers:
      return RefusalClass::kCallerFault;
  }
  return RefusalClass::kUnknown;
}

std::string Describe(ClaimRefusal refusal) {
  switch (refusal) {
    case ClaimRefusal::kNone:
      return "";
    case ClaimRefusal::kNotCaughtUp:
      return "this entry has not read the claim stream to its end yet";
    case ClaimRefusal::kLogDown:
      return "the log service is down, so the key cannot be claimed";
    case ClaimRefusal::kTableFull:
      return "too many idempotency keys are remembered";
    case ClaimRefusal::kBeingReleased:
      return "an earlier request of this key was not sent and its claim is "
             "being released";
    case ClaimRefusal::kKeyExpired:
      return "the key is older than the window in which keys are remembered";
    case ClaimRefusal::kKeyNotRemembered:
      return "the key is older than what this entry could read of the claims";
    case ClaimRefusal::kHolderGone:
      return "the entry that claimed the key is gone";
    case ClaimRefusal::kOutcomeUnknown:
      return "the request of this key was sent and no whole answer arrived";
    case ClaimRefusal::kAnswerNotHeld:
      return "answered earlier, answer no longer held";
    case ClaimRefusal::kKeyTimeAhead:
      return "the key's time lies in the future";
    case ClaimRefusal::kBodyDiffers:
      return "the key was used before with another body";
  }
  return "";
}

}  // namespace thornplank
