// The values are computed when the metrics are scraped.
#include "coordination/cluster_gauges.h"

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_coordinator.h"
#include "coordination/job_board.h"

namespace thornplank {
namespace {

constexpr char kTasksName[] = "thornplank_tasks";
constexpr char kTasksHelp[] =
    "Tasks of jobs that have not ended, by phase; known to the leader.";
constexpr char kAcceleratorsName[] = "thornplank_accelerators";
constexpr char kAcceleratorsHelp[] =
    "Accelerators of known workers, by use; known to the leader.";

double CountTasks(const JobLedger& ledger, int StepProgress::*phase) {
  int64_t count = 0;
  for (const auto& [id, job] : ledger.jobs()) {
    if (IsTerminal(job->state)) continue;
    for (const auto& steps : job->occurrences) {
      for (const StepProgress& progress : steps) {
        count += progress.*phase;
      }
    }
  }
  return static_cast<double>(count);
}

double CountActiveTasks(const JobLedger& ledger) {
  int64_t count = 0;
  for (const auto& [id, job] : ledger.jobs()) {
    for (const auto& steps : job->occurrences) {
      for (const StepProgress& progress : steps) {
        count += progress.active();
      }
    }
  }
  return static_cast<double>(count);
}

double FreeAccelerators(const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return 0;
  int64_t free = 0;
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    free += tracker.room().accelerators;
  }
  return static_cast<double>(free);
}

double HeldAccelerators(const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return 0;
  int64_t held = 0;
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    held += tracker.registration().capacity.accelerators -
            tracker.room().accelerators;
  }
  return static_cast<double>(held);
}

std::vector<MetricsRegistry::GaugeSample> ToRows(
    const std::map<MetricLabels, double>& counts) {
  std::vector<MetricsRegistry::GaugeSample> rows;
  rows.reserve(counts.size());
  for (const auto& [labels, count] : counts) {
    rows.push_back({labels, count});
  }
  return rows;
}

std::vector<MetricsRegistry::GaugeSample> WorkersByBelief(
    const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return {};
  const Time now = std::chrono::steady_clock::now();
  std::map<MetricLabels, double> counts;
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    const MetricLabels labels = {
        {"service", tracker.registration().service},
        {"belief", std::string(ToText(tracker.availability(now)))}};
    ++counts[labels];
  }
  return ToRows(counts);
}

std::vector<MetricsRegistry::GaugeSample> HeldByStage(
    const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return {};
  std::map<MetricLabels, double> counts;
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    const char* const heard = tracker.reachable() ? "yes" : "no";
    for (const auto& [task, run] : tracker.runs()) {
      const std::string stage =
          run.stop_wanted ? "stopping" : std::string(ToText(run.stage));
      counts[{{"stage", stage}, {"heard", heard}}] +=
          static_cast<double>(run.profile.need.accelerators);
    }
  }
  return ToRows(counts);
}

std::vector<MetricsRegistry::GaugeSample> RunsByDomain(
    const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return {};
  std::map<MetricLabels, double> counts;
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    const MetricLabels labels = {
        {"failure_domain", tracker.registration().failure_domain},
        {"work", tracker.domain_closed() ? "closed" : "taken"}};
    counts[labels] += static_cast<double>(tracker.runs().size());
  }
  return ToRows(counts);
}

void AddLeadGauges(const ClusterCoordinator& coordinator,
                   MetricsRegistry& metrics) {
  metrics.AddGauge("thornplank_is_leader", "1 while this entry leads.", {},
                   [&] { return coordinator.leading() ? 1.0 : 0.0; });
  metrics.AddGauge("thornplank_lead_epoch", "The last epoch led by this entry.",
                   {},
                   [&] { return static_cast<double>(coordinator.epoch()); });
  metrics.AddGauge(
      "thornplank_workers", "Lives of workers that the leader knows.", {}, [&] {
        const WorkerFleet* fleet = coordinator.fleet();
        return fleet == nullptr ? 0.0
                                : static_cast<double>(fleet->trackers().size());
      });
  metrics.AddGauges("thornplank_workers_by_belief",
                    "The same by service and by whether they may be given "
                    "tasks, or why not.",
                    [&] { return WorkersByBelief(coordinator); });
  metrics.AddGauges("thornplank_accelerators_held",
                    "Accelerators that runs hold, by what is known of the run "
                    "and whether its worker answers; known to the leader.",
                    [&] { return HeldByStage(coordinator); });
  metrics.AddGauges("thornplank_domain_runs",
                    "Runs on the workers of a failure domain, and whether it "
                    "takes new work; known to the leader.",
                    [&] { return RunsByDomain(coordinator); });
  metrics.AddGauge(
      "thornplank_directory_entries_refused",
      "Entries of the directory that name no worker to use.", {}, [&] {
        const WorkerFleet* fleet = coordinator.fleet();
        return fleet == nullptr ? 0.0
                                : static_cast<double>(fleet->refused_entries());
      });
}

}  // namespace

void AddClusterGauges(const JobBoard& board,
                      const ClusterCoordinator& coordinator,
                      MetricsRegistry& metrics) {
  AddLeadGauges(coordinator, metrics);
  metrics.AddGauge("thornplank_jobs_known",
                   "Jobs on the board, ended ones included.", {},
                   [&] { return static_cast<double>(board.jobs().size()); });
  metrics.AddGauge("thornplank_entries_known",
                   "Entries on the board, this one included.", {},
                   [&] { return static_cast<double>(board.entries().size()); });
  metrics.AddGauge(kTasksName, kTasksHelp, {{"phase", "waiting"}}, [&] {
    return CountTasks(coordinator.ledger(), &StepProgress::waiting);
  });
  metrics.AddGauge(kTasksName, kTasksHelp, {{"phase", "done"}}, [&] {
    return CountTasks(coordinator.ledger(), &StepProgress::done);
  });
  metrics.AddGauge(kTasksName, kTasksHelp, {{"phase", "active"}},
                   [&] { return CountActiveTasks(coordinator.ledger()); });
  metrics.AddGauge(kAcceleratorsName, kAcceleratorsHelp, {{"use", "free"}},
                   [&] { return FreeAccelerators(coordinator); });
  metrics.AddGauge(kAcceleratorsName, kAcceleratorsHelp, {{"use", "held"}},
                   [&] { return HeldAccelerators(coordinator); });
}

}  // namespace thornplank
