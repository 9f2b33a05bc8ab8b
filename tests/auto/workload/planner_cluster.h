// A simulated cluster in which the planner's decisions take effect at once.
#ifndef THORNPLANK_TESTS_AUTO_WORKLOAD_PLANNER_CLUSTER_H_
#define THORNPLANK_TESTS_AUTO_WORKLOAD_PLANNER_CLUSTER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "workload/planner.h"
#include "workload_fixtures.h"

namespace thornplank::testing {

// A ledger and workers that apply the planner's decisions at once.
class PlannerCluster {
 public:
  PlannerCluster(int racks, int workers_per_rack,
                 const WorkerBounds& bounds = WorkerBounds(),
                 const SchedulingFeatures& features = SchedulingFeatures())
      : planner(SettingsWith(bounds, features)) {
    for (int rack = 0; rack < racks; ++rack) {
      for (int i = 0; i < workers_per_rack; ++i) {
        const std::string id =
            "w" + std::to_string(rack) + "-" + std::to_string(i);
        workers.emplace(
            id, MakeTracker(MakeWorker(id, "r" + std::to_string(rack))));
      }
    }
  }

  Plan Round() {
    PlanInputs inputs;
    inputs.ledger = &ledger;
    inputs.workers = &workers;
    inputs.guarantees = &guarantees;
    inputs.advice = &advice;
    inputs.surveying = surveying;
    inputs.awaiting_entries = awaiting_entries;
    inputs.now = now;
    inputs.wall_now = wall_now;
    Plan plan = planner.Decide(inputs);
    for (const StartDecision& start : plan.starts) {
      const int run = ledger.RecordStart(start.step, start.assignments);
      const Job& job = *ledger.Find(start.step.job);
      const StepSpec& spec = *ledger.FindStepSpec(start.step);
      for (const auto& assignment : start.assignments) {
        RunProfile profile;
        profile.need = spec.need;
        profile.priority = job.spec.policy.priority;
        profile.account = job.spec.account;
        profile.gang = spec.gang;
        profile.long_running = spec.long_running;
        profile.checkpointable = spec.checkpointable;
        profile.estimate = spec.estimate;
        const TaskRef task{start.step, assignment.index};
        WorkerTracker& worker = workers.at(assignment.worker);
        worker.Add(task, run, profile, now);
        worker.OnStartAnswer(task, run, StartOutcome::kAccepted, now);
      }
    }
    for (const StopDecision& stop : plan.stops) {
      workers.at(stop.worker).Find(stop.task)->stop_wanted = true;
    }
    return plan;
  }

  // Ends the runs that a round decided to stop; a gang ends with any of its
  // members.
  void CarryOutStops() {
    std::set<StepRef> broken;
    for (const auto& [id, worker] : workers) {
      for (const auto& [task, run] : worker.runs()) {
        if (run.stop_wanted && run.profile.gang) broken.insert(task.step);
      }
    }
    for (auto& [id, worker] : workers) {
      for (auto& [task, run] : worker.runs()) {
        if (broken.count(task.step) > 0) run.stop_wanted = true;
      }
    }
    for (auto& [id, worker] : workers) {
      std::vector<TaskRef> stopped;
      for (const auto& [task, run] : worker.runs()) {
        if (run.stop_wanted) stopped.push_back(task);
      }
      for (const TaskRef& task : stopped) {
        End(id, task, RunEnd::kStopped);
      }
    }
  }

  void End(const std::string& id, const TaskRef& task, RunEnd end) {
    WorkerTracker& worker = workers.at(id);
    const int run = worker.Find(task)->run;
    worker.OnStopAnswer(task, run, true, now);
    std::vector<RunReport> unexpected;
    WorkerStatusReport report;
    for (const auto& [other, tracked] : worker.runs()) {
      if (other == task) continue;
      report.running.push_back({other, tracked.run, "", 1});
    }
    worker.OnReport(report, now, now, &unexpected);
    ledger.RecordRunEnd(task, run, end, "");
  }

  int64_t free_accelerators() const {
    int64_t free = 0;
    for (const auto& [id, worker] : workers) {
      free += worker.room().accelerators;
    }
    return free;
  }

  JobLedger ledger;
  std::map<std::string, WorkerTracker> workers;
  Guarantees guarantees;
  AdviceCache advice;
  // See PlanInputs.
  bool surveying = false;
  bool awaiting_entries = false;
  Planner planner;
  Time now = At(0);
  WallTime wall_now = FromUnixMilliseconds(1000100);

 private:
  static PlannerSettings SettingsWith(const WorkerBounds& bounds,
                                      const SchedulingFeatures& features) {
    PlannerSettings settings;
    settings.bounds = bounds;
    settings.features = features;
    return settings;
  }
};

inline std::string Id(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

inline StepSpec Gang(int count, int accelerators, bool same_rack) {
  StepSpec step = MakeStep(count, accelerators);
  step.gang = true;
  step.same_rack = same_rack;
  return step;
}

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_WORKLOAD_PLANNER_CLUSTER_H_
