// Events 400-499: requests rejected on arrival, and claims on non-idempotent
// requests.
#ifndef THORNPLANK_LOGGING_EVENTS_CLAIMS_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_CLAIMS_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kRequestFault{400, "request-fault", Severity::kInfo};
inline constexpr Event kClaimWon{401, "claim-won", Severity::kInfo};
inline constexpr Event kClaimLost{402, "claim-lost", Severity::kInfo};
inline constexpr Event kClaimReleased{403, "claim-released", Severity::kInfo};
inline constexpr Event kClaimDone{404, "claim-done", Severity::kInfo};
inline constexpr Event kClaimOutcomeUnknown{405, "claim-outcome-unknown",
                                            Severity::kWarning};
inline constexpr Event kClaimRefused{406, "claim-refused", Severity::kInfo};
inline constexpr Event kClaimJoined{407, "claim-joined", Severity::kInfo};
inline constexpr Event kClaimHolderAsked{408, "claim-holder-asked",
                                         Severity::kInfo};
inline constexpr Event kClaimNotSeen{409, "claim-not-seen", Severity::kWarning};
inline constexpr Event kClaimRecordMalformed{410, "claim-record-malformed",
                                             Severity::kError};
inline constexpr Event kClaimStreamGap{411, "claim-stream-gap",
                                       Severity::kError};
inline constexpr Event kAttemptFailed{412, "attempt-failed",
                                      Severity::kWarning};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_CLAIMS_EVENTS_H_
