// Events 300-399: which executor gets which request, and why.
#ifndef THORNPLANK_LOGGING_EVENTS_ROUTING_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_ROUTING_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kRequestRouted{300, "request-routed", Severity::kInfo};
inline constexpr Event kRequestRefused{301, "request-refused", Severity::kInfo};
inline constexpr Event kRequestRetried{302, "request-retried", Severity::kInfo};
inline constexpr Event kRequestUnknown{303, "request-unknown",
                                       Severity::kWarning};
inline constexpr Event kExecutorEjected{304, "executor-taken-out",
                                        Severity::kWarning};
inline constexpr Event kExecutorProbed{305, "executor-probed", Severity::kInfo};
inline constexpr Event kExecutorReinstated{306, "executor-back",
                                           Severity::kInfo};
inline constexpr Event kExecutorLeaving{307, "executor-leaving",
                                        Severity::kInfo};
inline constexpr Event kAnswerDropped{308, "answer-dropped",
                                      Severity::kWarning};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_ROUTING_EVENTS_H_
