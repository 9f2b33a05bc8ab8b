// Counts the calls to workers and measures their duration.
#ifndef THORNPLANK_COORDINATION_METERED_WORKER_CALLS_H_
#define THORNPLANK_COORDINATION_METERED_WORKER_CALLS_H_

#include <functional>
#include <string>

#include "coordination/worker_calls.h"
#include "metrics/call_meter.h"

namespace thornplank {

class MeteredWorkerCalls : public WorkerCalls {
 public:
  // Both must outlive this object.
  MeteredWorkerCalls(WorkerCalls& calls, MetricsRegistry& metrics);

  void Start(const WorkerAddress& worker, const StartOrder& order,
             Milliseconds timeout,
             std::function<void(const StartAnswer&)> done) override;
  void Stop(const WorkerAddress& worker, const StopOrder& order,
            Milliseconds timeout,
            std::function<void(CallOutcome, const Error&)> done) override;
  void SetPace(const WorkerAddress& worker, const PaceOrder& order,
               Milliseconds timeout,
               std::function<void(CallOutcome, const Error&)> done) override;
  void Status(const WorkerAddress& worker, const StatusQuery& query,
              Milliseconds timeout,
              std::function<void(const StatusAnswer&)> done) override;

 private:
  WorkerCalls& calls_;
  CallMeter meter_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_METERED_WORKER_CALLS_H_
