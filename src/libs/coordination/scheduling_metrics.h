// Metrics of jobs and tasks, recorded by the leader.
#ifndef THORNPLANK_COORDINATION_SCHEDULING_METRICS_H_
#define THORNPLANK_COORDINATION_SCHEDULING_METRICS_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "metrics/metrics_registry.h"
#include "workload/job_ledger.h"
#include "workload/planner.h"
#include "workload/worker_report.h"

namespace thornplank {

class SchedulingMetrics {
 public:
  // `metrics` must outlive this object.
  explicit SchedulingMetrics(MetricsRegistry& metrics) : metrics_(metrics) {}

  // The first task of an occurrence was placed, `waited` after the occurrence
  // was due.
  void OnFirstTaskPlaced(const JobDefinition& job, Duration waited);
  // An urgent step was placed on resources for which other runs were stopped.
  void OnRoomReclaimed(Duration waited);
  // A run has ended, `lasted` after a report first showed it running. nullopt
  // for short runs that no report showed.
  void OnRunEnded(RunKind kind, RunEnd end, std::optional<Duration> lasted);
  // A task will not be started again, since workers were lost while running it.
  void OnTaskGivenUp();
  // A checkpoint is too long to be stored.
  void OnCheckpointDropped();
  void OnLossesCleared(size_t tasks);
  // A run is stopped to return capacity that is held for a gang.
  void OnBorrowerStopped();
  // A run is stopped for a step that needs its room.
  void OnGaveWay(const StopDecision& stop);
  // A job has ended, `lasted` after it was accepted.
  void OnJobEnded(const JobDefinition& job, JobState state, Duration lasted);

 private:
  MetricsRegistry& metrics_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_SCHEDULING_METRICS_H_
