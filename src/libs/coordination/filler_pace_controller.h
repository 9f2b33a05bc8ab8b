// Keeps tasks that fill from disturbing the ones that serve, worker by worker.
#ifndef THORNPLANK_COORDINATION_FILLER_PACE_CONTROLLER_H_
#define THORNPLANK_COORDINATION_FILLER_PACE_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "coordination/worker_calls.h"
#include "workload/pace_control.h"
#include "workload/worker_tracker.h"

namespace thornplank {

class FillerPaceController {
 public:
  struct Handlers {
    // The tracker of a worker, null once it is forgotten.
    std::function<WorkerTracker*(const std::string&)> find_tracker;
    // A worker obeys a higher epoch.
    std::function<void()> on_fenced;
  };

  FillerPaceController(WorkerCalls& calls, int64_t epoch,
                       Milliseconds call_timeout, Handlers handlers);
  ~FillerPaceController();

  // Whether tasks that fill and tasks that serve are on the worker, so that it
  // must be looked at often.
  static bool HasFillersAndServing(const WorkerTracker& tracker);
  // After the tracker took a report in.
  void OnReport(WorkerTracker* tracker, Time now);
  void Forget(const std::string& worker) { pace_controls_.erase(worker); }

 private:
  void Send(WorkerTracker* tracker, TrackedRun* run, int percent);

  WorkerCalls& calls_;
  const int64_t epoch_;
  const Milliseconds call_timeout_;
  const Handlers handlers_;
  std::map<std::string, PaceControl> pace_controls_;
  // Callbacks of calls that outlive this object do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_FILLER_PACE_CONTROLLER_H_
