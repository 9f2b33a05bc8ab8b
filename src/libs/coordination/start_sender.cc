// Repetition of orders and evaluation of their answers.
#include "coordination/start_sender.h"

#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// For one order. If a third of all calls has no answer, about one order in 30
// has none after three copies.
constexpr int kMaxCopies = 3;

bool IsRefusal(StartOutcome outcome) {
  return outcome == StartOutcome::kRefused ||
         outcome == StartOutcome::kTicketRefused ||
         outcome == StartOutcome::kFenced;
}

}  // namespace

StartSender::StartSender(WorkerCalls& calls, StartSenderSettings settings)
    : calls_(calls), settings_(settings) {}

StartSender::~StartSender() { *alive_ = false; }

void StartSender::Send(const WorkerAddress& worker, const StartOrder& order,
                       Handlers handlers) {
  auto pending = std::make_shared<PendingOrder>();
  pending->worker = worker;
  pending->order = order;
  pending->handlers = std::move(handlers);
  pending->first_sent = std::chrono::steady_clock::now();
  SendCopy(pending);
}

void StartSender::SendCopy(const std::shared_ptr<PendingOrder>& pending) {
  ++pending->copies;
  calls_.Start(pending->worker, pending->order, settings_.copy_timeout,
               [this, alive = alive_, pending](const StartAnswer& answer) {
                 if (*alive) OnAnswer(pending, answer);
               });
}

bool StartSender::MayResend(const PendingOrder& pending) const {
  const Duration elapsed =
      std::chrono::steady_clock::now() - pending.first_sent;
  return pending.copies < kMaxCopies && elapsed < settings_.resend_period &&
         pending.handlers.may_resend();
}

void StartSender::LogOutcome(const Event& event, const PendingOrder& pending,
                             const Error& error) {
  LogEvent(event, error,
           {{"task", pending.order.task.ToString()},
            {"run", pending.order.run},
            {"worker", pending.worker.id},
            {"copies", pending.copies}});
}

void StartSender::OnAnswer(const std::shared_ptr<PendingOrder>& pending,
                           const StartAnswer& answer) {
  if (answer.outcome == StartOutcome::kNoAnswer && MayResend(*pending)) {
    LogOutcome(events::kStartRepeated, *pending, answer.error);
    return SendCopy(pending);
  }
  StartResult result{answer.outcome, answer.outcome, pending->copies > 1};
  if (result.has_unanswered_copy && IsRefusal(answer.outcome)) {
    result.outcome = StartOutcome::kNoAnswer;
  }
  if (result.outcome == StartOutcome::kNoAnswer) {
    LogOutcome(events::kStartUndecided, *pending, answer.error);
  } else if (result.outcome != StartOutcome::kAccepted) {
    LogOutcome(events::kStartRefused, *pending, answer.error);
  }
  pending->handlers.done(result);
}

}  // namespace thornplank
