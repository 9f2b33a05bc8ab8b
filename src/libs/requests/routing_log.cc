// Log events for routing decisions.
#include "requests/routing_log.h"

#include <variant>

#include "logging/events/claims_events.h"
#include "logging/events/routing_events.h"

namespace thornplank {
namespace {

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

// One overload for each action. FinishAnswered is not logged: it follows from
// the executor's answer and is not a decision of the router.
struct ActionLogger {
  void operator()(const SendAttempt& action) const {
    LogEvent(
        action.attempt > 1 ? events::kRequestRetried : events::kRequestRouted,
        {{"request", action.request_id},
         {"executor", action.executor},
         {"attempt", action.attempt},
         {"reason", action.reason}});
  }
  void operator()(const FinishAnswered&) const {}
  void operator()(const FinishNotRun& action) const {
    LogEvent(events::kRequestRefused,
             {{"request", action.request_id},
              {"retry_after_ms", ToMilliseconds(action.retry_after)},
              {"reason", action.reason}});
  }
  void operator()(const FinishUnknown& action) const {
    LogEvent(events::kRequestUnknown,
             {{"request", action.request_id}, {"reason", action.reason}});
  }
  void operator()(const DropAnswer& action) const {
    LogEvent(events::kAnswerDropped,
             {{"request", action.request_id},
              {"executor", action.executor},
              {"reason", "its request already has an outcome"}});
  }
  void operator()(const ExecutorEjected& action) const {
    LogEvent(events::kExecutorEjected,
             {{"executor", action.executor}, {"reason", action.reason}});
  }
  void operator()(const ProbeExecutor& action) const {
    LogEvent(events::kExecutorProbed,
             {{"executor", action.executor}, {"reason", "due for a probe"}});
  }
  void operator()(const ExecutorReinstated& action) const {
    LogEvent(events::kExecutorReinstated,
             {{"executor", action.executor}, {"reason", action.reason}});
  }
  void operator()(const ExecutorLeaving& action) const {
    LogEvent(events::kExecutorLeaving,
             {{"executor", action.executor}, {"reason", action.reason}});
  }
};

}  // namespace

void LogRoutingAction(const RoutingAction& action) {
  std::visit(ActionLogger(), action);
}

void LogFailedAttempt(const SendAttempt& action, const AttemptReport& report) {
  if (report.result.outcome != AttemptOutcome::kNotSent &&
      report.result.outcome != AttemptOutcome::kUnknown) {
    return;
  }
  const bool not_sent = report.result.outcome == AttemptOutcome::kNotSent;
  LogEvent(events::kAttemptFailed, report.error,
           {{"request", action.request_id},
            {"executor", action.executor},
            {"attempt", action.attempt},
            {"progress", not_sent ? "not sent" : "unknown"}});
}

}  // namespace thornplank
