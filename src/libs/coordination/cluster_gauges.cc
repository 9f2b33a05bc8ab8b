// The values are computed when the metrics are scraped.
#include "coordination/cluster_gauges.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/cluster_coordinator.h"
#include "coordination/job_board.h"
#include "workload/account_shares.h"

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

std::vector<MetricsRegistry::GaugeSample> WorkersByVerdict(
    const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return {};
  const Time now = std::chrono::steady_clock::now();
  std::map<MetricLabels, double> counts;
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    const WorkerHealth& health = tracker.health();
    if (!health.compared()) continue;
    const MetricLabels labels = {
        {"service", tracker.registration().service},
        {"verdict", std::string(ToText(health.verdict(now)))}};
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

// Runs on workers that cannot be asked, by what is believed of the worker.
std::vector<MetricsRegistry::GaugeSample> UnsettledRuns(
    const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return {};
  const Time now = std::chrono::steady_clock::now();
  std::map<MetricLabels, double> counts;
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    if (tracker.runs().empty() || tracker.can_be_asked()) continue;
    const std::string belief(ToText(tracker.availability(now)));
    counts[{{"belief", belief}}] += static_cast<double>(tracker.runs().size());
  }
  return ToRows(counts);
}

double LongestLeaseWait(const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return 0;
  const Time now = std::chrono::steady_clock::now();
  Milliseconds longest{0};
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    if (tracker.runs().empty() || tracker.can_be_asked()) continue;
    longest = std::max(longest, tracker.lease_left(now));
  }
  return std::chrono::duration<double>(longest).count();
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

// Bounds the number of series.
constexpr size_t kMaxAccountsShown = 32;

std::vector<MetricsRegistry::GaugeSample> ShareByAccount(
    const ClusterCoordinator& coordinator) {
  if (coordinator.fleet() == nullptr) return {};
  AccountShares shares(coordinator.guarantees());
  for (const auto& [id, tracker] : coordinator.fleet()->trackers()) {
    shares.AddWorker(tracker);
  }
  std::map<MetricLabels, double> by_account;
  for (const AccountShares::Sample& sample :
       shares.Samples(kMaxAccountsShown)) {
    by_account[{{"service", sample.service}, {"account", sample.account}}] =
        sample.share;
  }
  return ToRows(by_account);
}

std::vector<MetricsRegistry::GaugeSample> FragmentationByService(
    const ClusterCoordinator& coordinator) {
  std::vector<MetricsRegistry::GaugeSample> rows;
  for (const ServiceFragmentation& measured : coordinator.fragmentation()) {
    rows.push_back({{{"service", measured.service}}, measured.unusable_share});
  }
  return rows;
}

using ViewSource = std::function<std::optional<ClusterView>()>;

// Adds a gauge that is zero without a view.
void AddGauge(const ViewSource& view, const std::string& name,
              const std::string& help, const MetricLabels& labels,
              std::function<double(const ClusterView&)> read,
              MetricsRegistry& metrics) {
  metrics.AddGauge(name, help, labels, [view, read = std::move(read)] {
    const std::optional<ClusterView> current = view();
    return current ? read(*current) : 0.0;
  });
}

using Samples = std::vector<MetricsRegistry::GaugeSample>;

void AddGauges(const ViewSource& view, const std::string& name,
               const std::string& help,
               Samples (*read)(const ClusterCoordinator&),
               MetricsRegistry& metrics) {
  metrics.AddGauges(name, help, [view, read] {
    const std::optional<ClusterView> current = view();
    return current ? read(current->coordinator) : Samples();
  });
}

void AddLeadGauges(const ViewSource& view, MetricsRegistry& metrics) {
  AddGauge(
      view, "thornplank_is_leader", "1 while this entry leads.", {},
      [](const ClusterView& current) {
        return current.coordinator.leading() ? 1.0 : 0.0;
      },
      metrics);
  AddGauge(
      view, "thornplank_lead_epoch", "The last epoch led by this entry.", {},
      [](const ClusterView& current) {
        return static_cast<double>(current.coordinator.epoch());
      },
      metrics);
  AddGauge(
      view, "thornplank_workers", "Lives of workers that the leader knows.", {},
      [](const ClusterView& current) {
        const WorkerFleet* fleet = current.coordinator.fleet();
        return fleet == nullptr ? 0.0
                                : static_cast<double>(fleet->trackers().size());
      },
      metrics);
  AddGauges(view, "thornplank_workers_by_belief",
            "The same by service and by whether they may be given tasks, or "
            "why not.",
            WorkersByBelief, metrics);
  AddGauges(view, "thornplank_workers_by_verdict",
            "Workers by service and by what the outcome of their runs shows "
            "(healthy, probation, excluded); known to the leader.",
            WorkersByVerdict, metrics);
  AddGauges(view, "thornplank_accelerators_held",
            "Accelerators that runs hold, by what is known of the run and "
            "whether its worker answers; known to the leader.",
            HeldByStage, metrics);
  AddGauges(view, "thornplank_unsettled_runs",
            "Runs that count as there on workers that cannot be asked, by what "
            "is believed of the worker; known to the leader.",
            UnsettledRuns, metrics);
  AddGauge(
      view, "thornplank_lease_wait_seconds",
      "The longest time until the leases on such a worker are over; known to "
      "the leader.",
      {},
      [](const ClusterView& current) {
        return LongestLeaseWait(current.coordinator);
      },
      metrics);
  AddGauges(view, "thornplank_account_share",
            "Weighted dominant share of a service by account; known to the "
            "leader.",
            ShareByAccount, metrics);
  AddGauges(view, "thornplank_domain_runs",
            "Runs on the workers of a failure domain, and whether it takes new "
            "work; known to the leader.",
            RunsByDomain, metrics);
  AddGauges(view, "thornplank_fragmentation",
            "The share of idle accelerators on which the shapes of recent "
            "steps cannot start; known to the leader.",
            FragmentationByService, metrics);
  AddGauge(
      view, "thornplank_directory_entries_refused",
      "Entries of the directory that name no worker to use.", {},
      [](const ClusterView& current) {
        const WorkerFleet* fleet = current.coordinator.fleet();
        return fleet == nullptr ? 0.0
                                : static_cast<double>(fleet->refused_entries());
      },
      metrics);
}

void AddHeldGauges(const ViewSource& view, MetricsRegistry& metrics) {
  AddGauge(
      view, "thornplank_headroom_workers",
      "Workers left empty for urgent steps; known to the leader.", {},
      [](const ClusterView& current) {
        return static_cast<double>(
            current.coordinator.held_use().headroom_workers);
      },
      metrics);
  AddGauge(
      view, "thornplank_held_free_accelerators",
      "Accelerators that are free and held for gangs; known to the leader.", {},
      [](const ClusterView& current) {
        return static_cast<double>(
            current.coordinator.held_use().held_free_accelerators);
      },
      metrics);
  AddGauge(
      view, "thornplank_lent_accelerators",
      "Accelerators held for gangs and used by others meanwhile; known to the "
      "leader.",
      {},
      [](const ClusterView& current) {
        return static_cast<double>(
            current.coordinator.held_use().lent_accelerators);
      },
      metrics);
  AddGauge(
      view, "thornplank_equal_stops_limited",
      "Whether stops between accounts of one priority are held back; known to "
      "the leader.",
      {},
      [](const ClusterView& current) {
        return current.coordinator.limits_equal_stops() ? 1.0 : 0.0;
      },
      metrics);
}

void AddTaskGauges(const ViewSource& view, MetricsRegistry& metrics) {
  AddGauge(
      view, kTasksName, kTasksHelp, {{"phase", "waiting"}},
      [](const ClusterView& current) {
        return CountTasks(current.coordinator.ledger(), &StepProgress::waiting);
      },
      metrics);
  AddGauge(
      view, kTasksName, kTasksHelp, {{"phase", "done"}},
      [](const ClusterView& current) {
        return CountTasks(current.coordinator.ledger(), &StepProgress::done);
      },
      metrics);
  AddGauge(
      view, kTasksName, kTasksHelp, {{"phase", "active"}},
      [](const ClusterView& current) {
        return CountActiveTasks(current.coordinator.ledger());
      },
      metrics);
}

}  // namespace

void AddClusterGauges(std::function<std::optional<ClusterView>()> view,
                      MetricsRegistry& metrics) {
  AddLeadGauges(view, metrics);
  AddHeldGauges(view, metrics);
  AddTaskGauges(view, metrics);
  AddGauge(
      view, "thornplank_jobs_known", "Jobs on the board, ended ones included.",
      {},
      [](const ClusterView& current) {
        return static_cast<double>(current.board.jobs().size());
      },
      metrics);
  AddGauge(
      view, "thornplank_overdue_starts",
      "Steps that have waited for too long although they fit into idle room.",
      {},
      [](const ClusterView& current) {
        return static_cast<double>(current.coordinator.overdue_starts());
      },
      metrics);
  AddGauge(
      view, "thornplank_early_cancellations",
      "Cancellations on the board of jobs that had no submission.", {},
      [](const ClusterView& current) {
        return static_cast<double>(current.board.early_cancellations().size());
      },
      metrics);
  AddGauge(
      view, "thornplank_entries_known",
      "Entries on the board, this one included.", {},
      [](const ClusterView& current) {
        return static_cast<double>(current.board.entries().size());
      },
      metrics);
  AddGauge(
      view, "thornplank_replicas_known",
      "Entries that the roster names as replicas.", {},
      [](const ClusterView& current) {
        const auto& roster = current.board.roster();
        return roster ? static_cast<double>(roster->replicas.size()) : 0.0;
      },
      metrics);
  AddGauge(
      view, kAcceleratorsName, kAcceleratorsHelp, {{"use", "free"}},
      [](const ClusterView& current) {
        return FreeAccelerators(current.coordinator);
      },
      metrics);
  AddGauge(
      view, kAcceleratorsName, kAcceleratorsHelp, {{"use", "held"}},
      [](const ClusterView& current) {
        return HeldAccelerators(current.coordinator);
      },
      metrics);
}

}  // namespace thornplank
