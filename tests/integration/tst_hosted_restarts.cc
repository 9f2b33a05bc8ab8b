// Hosted entries beside executors that start again under the ids that they had:
// with nothing of before, and with counts and clocks that begin anew.
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

constexpr int kExecutors = 6;

void Wait(Duration duration) {
  HostedCluster::Eventually([] { return false; }, duration);
}

void Restart(HostedCluster* cluster, int first, int count) {
  for (int i = first; i < first + count; ++i) {
    CHECK(cluster->ControlExecutor(i, {{"restart", true}}));
  }
}

// Ends of many tasks on each executor, so that the next life's numbers lie
// below those of this one.
void RunManyTasks(HostedScenario* scenario, int number) {
  scenario->Submit(number, {Step(72, 2)}, 60);
  HostedCluster& cluster = scenario->cluster();
  CHECK(HostedCluster::Eventually([&] {
    TestJob job;
    job.id = JobId(number);
    return cluster.State(0, job) == "completed";
  }));
}

struct Row {
  const char* name;
  // How long an executor is away.
  int restart_ms;
  std::function<void(HostedCluster*)> fault;
};

std::vector<Row> Rows() {
  return {
      {"all restart at once", 300,
       [](HostedCluster* cluster) { Restart(cluster, 0, kExecutors); }},
      {"all restart twice", 300,
       [](HostedCluster* cluster) {
         Restart(cluster, 0, kExecutors);
         Wait(Milliseconds(1200));
         Restart(cluster, 0, kExecutors);
       }},
      {"some are away for longer than their leases", 8000,
       [](HostedCluster* cluster) { Restart(cluster, 0, 3); }},
      {"orders are carried out late, then all restart", 300,
       [](HostedCluster* cluster) {
         for (int i = 0; i < kExecutors; ++i) {
           CHECK(cluster->ControlExecutor(i, {{"late_percent", 50}}));
         }
         Wait(Milliseconds(600));
         Restart(cluster, 0, kExecutors);
         for (int i = 0; i < kExecutors; ++i) {
           CHECK(cluster->ControlExecutor(i, {{"late_percent", 0}}));
         }
       }},
      {"the leader is killed as they restart", 300,
       [](HostedCluster* cluster) {
         const int leader = cluster->Leader();
         cluster->entry(leader).Kill();
         Restart(cluster, 0, kExecutors);
         cluster->StartEntry(leader);
       }},
      {"the directory cannot be read as they restart", 300,
       [](HostedCluster* cluster) {
         CHECK(cluster->ControlStore({{"mode", "silent"}}));
         Restart(cluster, 0, kExecutors);
         Wait(std::chrono::seconds(2));
         CHECK(cluster->ControlStore({{"mode", "up"}}));
       }},
  };
}

// Guards against ends of a new life that are taken for those of the life
// before, and against room that is held by runs which ended with their worker's
// life.
TEST_CASE("work goes on, once, on workers that restart under their ids") {
  for (const Row& row : Rows()) {
    CAPTURE(row.name);
    HostedScenario scenario;
    HostedCluster& cluster = scenario.cluster();
    RunManyTasks(&scenario, 1);
    for (int i = 0; i < kExecutors; ++i) {
      CHECK(cluster.ControlExecutor(i, {{"restart_ms", row.restart_ms}}));
    }
    scenario.Submit(2, {Step(18, 2)}, 1500);
    Wait(Milliseconds(700));
    row.fault(&cluster);
    for (int i = 3; i < 6; ++i) {
      scenario.Submit(i, {Step(6, 2), Step(4, 1, {0})}, 300);
    }
    // A gang that needs all of them: no room may be held for nothing.
    TestStep gang = Step(kExecutors, 8);
    gang.gang = true;
    scenario.Submit(6, {gang}, 300);
    scenario.Finish();
  }
}

}  // namespace
}  // namespace thornplank
