// Sends start orders to workers and repeats orders that have no answer.
//
// A worker starts a run at most once, however many copies of the order arrive,
// and not after the deadline that all copies carry, so an order can safely be
// repeated. The refusal of a later copy does not prove that the first one did
// not start the run.
#ifndef THORNPLANK_COORDINATION_START_SENDER_H_
#define THORNPLANK_COORDINATION_START_SENDER_H_

#include <functional>
#include <memory>

#include "base/time.h"
#include "coordination/worker_calls.h"
#include "logging/event_log.h"

namespace thornplank {

struct StartSenderSettings {
  // Time-out of one copy, after which the next one is sent. Answers take 2 ms
  // within a zone and 0.1 s between regions; a gang of which one member does
  // not start loses 2 s.
  Milliseconds copy_timeout{250};
  // No copy is sent later than this after the first one: the lease that the
  // order grants must last until the first report.
  Milliseconds resend_period{750};
};

// The outcome of all copies of one order.
struct StartResult {
  // What the answers prove about the run.
  StartOutcome outcome = StartOutcome::kNoAnswer;
  // The answer to the last copy.
  StartOutcome last_answer = StartOutcome::kNoAnswer;
  // A copy before the last one had no answer, so it may have begun the run.
  bool has_unanswered_copy = false;
};

class StartSender {
 public:
  struct Handlers {
    // Whether the order is still valid and the state of the run unknown.
    std::function<bool()> may_resend;
    // Runs exactly once, unless the sender is destroyed before.
    std::function<void(const StartResult&)> done;
  };

  StartSender(WorkerCalls& calls, StartSenderSettings settings);
  ~StartSender();

  void Send(const WorkerAddress& worker, const StartOrder& order,
            Handlers handlers);

 private:
  struct PendingOrder {
    WorkerAddress worker;
    StartOrder order;
    Handlers handlers;
    Time first_sent{};
    int copies = 0;
  };

  void SendCopy(const std::shared_ptr<PendingOrder>& pending);
  void OnAnswer(const std::shared_ptr<PendingOrder>& pending,
                const StartAnswer& answer);
  bool MayResend(const PendingOrder& pending) const;
  static void LogOutcome(const Event& event, const PendingOrder& pending,
                         const Error& error);

  WorkerCalls& calls_;
  const StartSenderSettings settings_;
  // False once this object is destroyed; pending callbacks then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_START_SENDER_H_
