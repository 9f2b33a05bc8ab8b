// Copies of one order, and what their answers prove together.
#include "coordination/start_sender.h"

#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Of one order. Where a third of all orders gets no answer, one in 30 gets none
// three times.
constexpr int kMostCopies = 3;

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
  auto sent = std::make_shared<Sent>();
  sent->worker = worker;
  sent->order = order;
  sent->handlers = std::move(handlers);
  sent->first = std::chrono::steady_clock::now();
  SendCopy(sent);
}

void StartSender::SendCopy(const std::shared_ptr<Sent>& sent) {
  ++sent->copies;
  calls_.Start(sent->worker, sent->order, settings_.timeout,
               [this, alive = alive_, sent](const StartAnswer& answer) {
                 if (*alive) OnAnswer(sent, answer);
               });
}

bool StartSender::MayRepeat(const Sent& sent) const {
  const Duration gone = std::chrono::steady_clock::now() - sent.first;
  return sent.copies < kMostCopies && gone < settings_.repeats_for &&
         sent.handlers.may_repeat();
}

void StartSender::Tell(const Event& event, const Sent& sent,
                       const Error& error) {
  LogEvent(event, error,
           {{"task", sent.order.task.ToString()},
            {"run", sent.order.run},
            {"worker", sent.worker.id},
            {"copies", sent.copies}});
}

void StartSender::OnAnswer(const std::shared_ptr<Sent>& sent,
                           const StartAnswer& answer) {
  if (answer.outcome == StartOutcome::kNoAnswer && MayRepeat(*sent)) {
    Tell(events::kStartRepeated, *sent, answer.error);
    return SendCopy(sent);
  }
  StartResult result{answer.outcome, answer.outcome};
  if (sent->copies > 1 && IsRefusal(answer.outcome)) {
    result.outcome = StartOutcome::kNoAnswer;
  }
  if (result.outcome == StartOutcome::kNoAnswer) {
    Tell(events::kStartUndecided, *sent, answer.error);
  } else if (result.outcome != StartOutcome::kAccepted) {
    Tell(events::kStartRefused, *sent, answer.error);
  }
  sent->handlers.done(result);
}

}  // namespace thornplank
