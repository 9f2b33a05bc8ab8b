// Events 750-799: the platform's instance list.
#ifndef THORNPLANK_LOGGING_EVENTS_INSTANCE_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_INSTANCE_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kInstanceListReachable{750, "instance-list-reachable",
                                              Severity::kInfo};
inline constexpr Event kInstanceListUnreachable{
    751, "instance-list-unreachable", Severity::kWarning};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_INSTANCE_EVENTS_H_
