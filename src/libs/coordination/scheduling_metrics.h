// What the leader measures of jobs and tasks.
#ifndef THORNPLANK_COORDINATION_SCHEDULING_METRICS_H_
#define THORNPLANK_COORDINATION_SCHEDULING_METRICS_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "metrics/metrics_registry.h"
#include "workload/job_ledger.h"

namespace thornplank {

class SchedulingMetrics {
 public:
  // `metrics` outlives this object.
  explicit SchedulingMetrics(MetricsRegistry& metrics) : metrics_(metrics) {}

  // The first task of an occurrence is placed, this long after its turn came.
  void OnFirstTaskPlaced(const JobDefinition& job, Duration waited);
  // An urgent step is placed in room that was taken from others.
  void OnRoomReclaimed(Duration waited);
  // A run has ended, `lasted` after it was first seen at work; short ones are
  // never seen.
  void OnRunEnded(const StepSpec& step, RunEnd end,
                  std::optional<Duration> lasted);
  // A task is not started again, for the workers that it took down.
  void OnTaskGivenUp();
  // A job has ended, this long after it was accepted.
  void OnJobEnded(const JobDefinition& job, JobState state, Duration lasted);

 private:
  MetricsRegistry& metrics_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_SCHEDULING_METRICS_H_
