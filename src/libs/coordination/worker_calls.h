// Interface for calls to workers.
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
  // Id of the worker's incarnation; another incarnation at the same address
  // refuses the call.
  std::string id;
  std::string address;
};

// Starts a run of a task.
struct StartOrder {
  TaskRef task;
  int run = 0;
  std::string payload;
  std::string checkpoint;
  // Issued by the advisor for a worker that it approved for the step; "" if no
  // approval is needed.
  std::string ticket;
  // On the clock of the worker. A later order is ignored; the lease of all runs
  // on the worker is extended until then.
  Milliseconds deadline{0};
  int64_t epoch = 0;
};

struct StopOrder {
  TaskRef task;
  int run = 0;
  int64_t epoch = 0;
};

// Sets the pace of a filler task.
struct PaceOrder {
  TaskRef task;
  int run = 0;
  // Of full speed. At 0 the task keeps its memory and is suspended.
  int percent = 100;
  int64_t epoch = 0;
};

// Requests a report.
struct StatusQuery {
  int64_t epoch = 0;
  // Ends with numbers up to this one are recorded; the worker may forget them.
  int64_t recorded_ends = 0;
  // If set, the leases of all runs are renewed until then, on the clock of the
  // worker.
  std::optional<Milliseconds> lease_until;
  // Long poll: the answer waits up to this long for the end of a run.
  Milliseconds wait{0};

  // A worker that has restarted meanwhile would take numbers of ends and
  // deadlines for its own.
  bool idempotent() const { return recorded_ends == 0 && !lease_until; }
};

struct StartAnswer {
  StartOutcome outcome = StartOutcome::kNoAnswer;
  Error error;
};

enum class CallOutcome {
  kOk,
  // The worker has accepted a higher epoch.
  kFenced,
  kOtherIncarnation,
  kRefused,
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

  // Callbacks run exactly once, on the loop of the scheduler.
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
