// Events 700-749: the platform's log service.
#ifndef THORNPLANK_LOGGING_EVENTS_PLATFORM_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_PLATFORM_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kLogUnreachable{700, "log-unreachable",
                                       Severity::kWarning};
inline constexpr Event kLogReachable{701, "log-reachable", Severity::kInfo};
inline constexpr Event kLogRateCapped{702, "log-rate-capped",
                                      Severity::kWarning};
inline constexpr Event kLogRecordsLost{703, "log-records-lost",
                                       Severity::kError};
inline constexpr Event kLogInconsistent{704, "log-inconsistent",
                                        Severity::kError};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_PLATFORM_EVENTS_H_
