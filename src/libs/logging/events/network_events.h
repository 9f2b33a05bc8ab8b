// Events 800-899: HTTP servers, clients and their connections.
#ifndef THORNPLANK_LOGGING_EVENTS_NETWORK_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_NETWORK_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kHttpListening{800, "http-listening", Severity::kInfo};
inline constexpr Event kConnectionLimitReached{801, "connection-limit-reached",
                                               Severity::kWarning};
inline constexpr Event kBufferLimitReached{802, "buffer-limit-reached",
                                           Severity::kWarning};
inline constexpr Event kHttpDrained{803, "http-drained", Severity::kInfo};
inline constexpr Event kAnswerMismatched{804, "answer-crossed",
                                         Severity::kWarning};
inline constexpr Event kStrayBytes{805, "stray-bytes", Severity::kWarning};
inline constexpr Event kPeerSilent{806, "peer-silent", Severity::kWarning};
inline constexpr Event kPeerAnswering{807, "peer-answering", Severity::kInfo};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_NETWORK_EVENTS_H_
