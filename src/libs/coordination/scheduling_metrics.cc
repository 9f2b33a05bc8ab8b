// Names, help texts and labels of the metrics.
#include "coordination/scheduling_metrics.h"

namespace thornplank {
namespace {

std::string ToLabel(RunKind kind) {
  switch (kind) {
    case RunKind::kSingle:
      return "single";
    case RunKind::kGangMember:
      return "gang";
    case RunKind::kLongRunning:
      return "long_running";
  }
  return "single";
}

std::string PriorityOf(const JobDefinition& job) {
  return std::to_string(job.policy.priority);
}

}  // namespace

void SchedulingMetrics::OnFirstTaskPlaced(const JobDefinition& job,
                                          Duration waited) {
  metrics_
      .histogram("thornplank_wait_seconds",
                 "From the acceptance of a job, or the due time of an "
                 "occurrence, to the placement of its first task.",
                 {{"priority", PriorityOf(job)}})
      .Observe(waited);
}

void SchedulingMetrics::OnRoomReclaimed(Duration waited) {
  metrics_
      .histogram("thornplank_reclaim_seconds",
                 "From the first stop of others' runs to the placement of the "
                 "urgent step that needed the room.")
      .Observe(waited);
}

void SchedulingMetrics::OnRunEnded(RunKind kind, RunEnd end,
                                   std::optional<Duration> lasted) {
  const MetricLabels labels = {{"kind", ToLabel(kind)},
                               {"end", std::string(ToText(end))}};
  metrics_
      .counter("thornplank_runs_ended_total", "Runs that have ended.", labels)
      .Add();
  if (!lasted) return;
  metrics_
      .histogram("thornplank_run_seconds",
                 "From the first report of a run to its end.", labels)
      .Observe(*lasted);
}

void SchedulingMetrics::OnLossesCleared(size_t tasks) {
  metrics_
      .counter("thornplank_losses_cleared_total",
               "Tasks of which a worker that was taken for lost was seen alive "
               "again.")
      .Add(tasks);
}

void SchedulingMetrics::OnCheckpointDropped() {
  metrics_
      .counter("thornplank_checkpoints_dropped_total",
               "Runs of which a checkpoint was too long to be stored.")
      .Add();
}

void SchedulingMetrics::OnTaskGivenUp() {
  metrics_
      .counter("thornplank_tasks_given_up_total",
               "Tasks that are not started again, since workers crashed under "
               "them.")
      .Add();
}

void SchedulingMetrics::OnBorrowerStopped() {
  metrics_
      .counter("thornplank_borrowers_stopped_total",
               "Runs stopped to return capacity that is held for a gang.")
      .Add();
}

void SchedulingMetrics::OnGaveWay(const StopDecision& stop) {
  const MetricLabels labels = {
      {"reason", stop.returns_held ? "returns held capacity" : "gives way"},
      {"priority", std::to_string(stop.priority)},
      {"for_priority", std::to_string(stop.for_priority)}};
  metrics_
      .counter("thornplank_preemptions_total",
               "Runs stopped for a step that needs their room; of a gang those "
               "members whose room it needs.",
               labels)
      .Add();
  if (!stop.age) return;
  metrics_
      .histogram("thornplank_preempted_age_seconds",
                 "From the placement of a run to the order to stop it for "
                 "another step.",
                 labels)
      .Observe(*stop.age);
}

void SchedulingMetrics::OnJobEnded(const JobDefinition& job, JobState state,
                                   Duration lasted) {
  metrics_
      .histogram("thornplank_job_seconds",
                 "From a job's acceptance to its end.",
                 {{"priority", PriorityOf(job)},
                  {"state", std::string(ToText(state))}})
      .Observe(lasted);
}

}  // namespace thornplank
