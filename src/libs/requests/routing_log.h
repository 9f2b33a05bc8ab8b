// One log line for each decision of the request router.
#ifndef THORNPLANK_REQUESTS_ROUTING_LOG_H_
#define THORNPLANK_REQUESTS_ROUTING_LOG_H_

#include "requests/attempt_sender.h"
#include "routing/routing_types.h"

namespace thornplank {

void LogRoutingAction(const RoutingAction& action);

// Only for attempts without an answer, with the step and peer of the failure.
void LogAttemptEnd(const SendAttempt& action, const AttemptReport& report);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_ROUTING_LOG_H_
