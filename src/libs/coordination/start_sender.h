// Sends start orders, again where a worker leaves one without an answer.
//
// A worker begins a run once, however many orders for it arrive, and none after
// the deadline that all of them carry. So an order without an answer is pending
// again, and what is said of a later copy settles nothing of the first.
#ifndef THORNPLANK_COORDINATION_START_SENDER_H_
#define THORNPLANK_COORDINATION_START_SENDER_H_

#include <functional>
#include <memory>

#include "base/time.h"
#include "coordination/worker_calls.h"
#include "logging/event_log.h"

namespace thornplank {

struct StartSenderSettings {
  // A copy that is not answered by then is followed by another. Answers take
  // 2 ms in a zone and 0.1 s between regions; a gang of which one member has
  // not begun loses 2 s.
  Milliseconds copy_timeout{250};
  // No copy is pending later than this after the first: the lease that an order
  // brings must outlast the way to the first report.
  Milliseconds resend_period{750};
};

// How the copies of one order ended.
struct StartResult {
  // What is known of the run.
  StartOutcome outcome = StartOutcome::kNoAnswer;
  // What the worker said of the last copy.
  StartOutcome last_answer = StartOutcome::kNoAnswer;
};

class StartSender {
 public:
  struct Handlers {
    // Whether the order is still wanted and nothing is known of the run.
    std::function<bool()> may_resend;
    // Runs once.
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
  // Callbacks of calls that outlive this object do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_START_SENDER_H_
