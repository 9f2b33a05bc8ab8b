// Log events for the decisions of the request router and for failed attempts.
#ifndef THORNPLANK_REQUESTS_ROUTING_LOG_H_
#define THORNPLANK_REQUESTS_ROUTING_LOG_H_

#include "requests/attempt_sender.h"
#include "routing/routing_types.h"

namespace thornplank {

void LogRoutingAction(const RoutingAction& action);

// Logs an attempt that got no response, with the step and peer of the failure;
// does nothing for other attempts.
void LogFailedAttempt(const SendAttempt& action, const AttemptReport& report);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_ROUTING_LOG_H_
