// Limits the speed of filler tasks on each worker, so that they don't disturb
// the serving tasks on it.
//
// A filler task uses what other tasks leave idle; a serving task has a target
// for its tail latency. Pace is a percentage of full speed.
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
    // Returns the tracker of a worker, or null if the worker was forgotten.
    std::function<WorkerTracker*(const std::string&)> find_tracker;
    // Runs when a worker has accepted a higher epoch.
    std::function<void()> on_fenced;
  };

  FillerPaceController(WorkerCalls& calls, int64_t epoch,
                       Milliseconds call_timeout, Handlers handlers);
  ~FillerPaceController();

  // Whether both filler tasks and serving tasks are on the worker, in which
  // case reports must be requested often.
  static bool HasFillersAndServing(const WorkerTracker& tracker);
  // To be called after the tracker has applied a report. Sends the pace to each
  // filler task that has another one.
  void OnReport(WorkerTracker* tracker, Time now);
  void Forget(const std::string& worker) { pace_controls_.erase(worker); }

 private:
  void Send(WorkerTracker* tracker, TrackedRun* run, int percent);

  WorkerCalls& calls_;
  const int64_t epoch_;
  const Milliseconds call_timeout_;
  const Handlers handlers_;
  // By worker; only for workers with filler tasks.
  std::map<std::string, PaceControl> pace_controls_;
  // False once this object is destroyed; pending callbacks then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_FILLER_PACE_CONTROLLER_H_
