// The calls to a worker.
#ifndef THORNPLANK_COORDINATION_WORKER_CALLS_H_
#define THORNPLANK_COORDINATION_WORKER_CALLS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "workload/worker_report.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct WorkerAddress {
  // The life that is meant; another one refuses.
  std::string id;
  std::string address;
};

struct StartOrder {
  TaskRef task;
  int run = 0;
  std::string payload;
  std::string checkpoint;
  // Shows that the worker is approved for the step; "" where none is needed.
  std::string ticket;
  // On the worker's clock: later it does nothing, and until then the lease of
  // everything on the worker lasts.
  Milliseconds deadline{0};
  int64_t epoch = 0;
};

struct StopOrder {
  TaskRef task;
  int run = 0;
  int64_t epoch = 0;
};

// How fast a task that fills may work from now on.
struct PaceOrder {
  TaskRef task;
  int run = 0;
  // Of its full speed; at zero it keeps its memory and does nothing.
  int percent = 100;
  int64_t epoch = 0;
};

struct StatusQuery {
  int64_t epoch = 0;
  // Ends up to here are recorded; the worker forgets them.
  int64_t recorded_ends = 0;
  // Renews the lease until then, on the worker's clock.
  std::optional<Milliseconds> lease_until;
  // The answer waits this long for an end.
  Milliseconds wait{0};
};

struct StartAnswer {
  StartOutcome outcome = StartOutcome::kNoAnswer;
  Error error;
};

enum class CallOutcome {
  kOk,
  kFenced,
  kOtherIncarnation,
  kRefused,
  // Its host says that nothing listens at the worker's address.
  kConnectionRefused,
  kNoAnswer,
};

struct StatusAnswer {
  CallOutcome outcome = CallOutcome::kNoAnswer;
  WorkerStatusReport report;
  Error error;
};

class WorkerCalls {
 public:
  virtual ~WorkerCalls() = default;

  // Callbacks run once, on the loop that the scheduler runs on.
  virtual void Start(const WorkerAddress& worker, const StartOrder& order,
                     Milliseconds timeout,
                     std::function<void(const StartAnswer&)> done) = 0;
  virtual void Stop(const WorkerAddress& worker, const StopOrder& order,
                    Milliseconds timeout,
                    std::function<void(CallOutcome, const Error&)> done) = 0;
  virtual void SetPace(const WorkerAddress& worker, const PaceOrder& order,
                       Milliseconds timeout,
                       std::function<void(CallOutcome, const Error&)> done) = 0;
  virtual void Status(const WorkerAddress& worker, const StatusQuery& query,
                      Milliseconds timeout,
                      std::function<void(const StatusAnswer&)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_WORKER_CALLS_H_
