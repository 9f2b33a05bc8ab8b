// Hosted entries with executors that restart under their old ids: they have
// lost their state, and their sequence numbers and clocks start again.
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

constexpr int kExecutors = 6;

void Sleep(Duration duration) {
  HostedCluster::Eventually([] { return false; }, duration);
}

void Restart(HostedCluster* cluster, int first, int count) {
  for (int i = first; i < first + count; ++i) {
    CHECK(cluster->ControlExecutor(i, {{"restart", true}}));
  }
}

// Lets many tasks end on each executor, so that the sequence numbers of its
// next incarnation are lower than the current ones.
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
  // Time from the stop of an executor to its restart.
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
         Sleep(Milliseconds(1200));
         Restart(cluster, 0, kExecutors);
       }},
      {"some stay down for longer than their leases", 8000,
       [](HostedCluster* cluster) { Restart(cluster, 0, 3); }},
      // Guards against a stand-in that never returns: a crash replaced the
      // incarnation that the pending restart would have brought up.
      {"one crashes while it is down", 1500,
       [](HostedCluster* cluster) {
         Restart(cluster, 0, 1);
         CHECK(cluster->ControlExecutor(0, {{"crash", true}}));
       }},
      {"orders are carried out late, then all restart", 300,
       [](HostedCluster* cluster) {
         for (int i = 0; i < kExecutors; ++i) {
           CHECK(cluster->ControlExecutor(i, {{"late_percent", 50}}));
         }
         Sleep(Milliseconds(600));
         Restart(cluster, 0, kExecutors);
         for (int i = 0; i < kExecutors; ++i) {
           CHECK(cluster->ControlExecutor(i, {{"late_percent", 0}}));
         }
       }},
      {"the leader is killed while they restart", 300,
       [](HostedCluster* cluster) {
         const int leader = cluster->Leader();
         cluster->entry(leader).Kill();
         Restart(cluster, 0, kExecutors);
         cluster->StartEntry(leader);
       }},
      {"the directory cannot be read while they restart", 300,
       [](HostedCluster* cluster) {
         CHECK(cluster->ControlStore({{"mode", "silent"}}));
         Restart(cluster, 0, kExecutors);
         Sleep(std::chrono::seconds(2));
         CHECK(cluster->ControlStore({{"mode", "up"}}));
       }},
  };
}

// Guards against two faults: run ends of a new incarnation that are mistaken
// for those of the previous one, and capacity that stays occupied by runs that
// ended with their worker's incarnation.
TEST_CASE("tasks run exactly once on workers that restart under their ids") {
  for (const Row& row : Rows()) {
    CAPTURE(row.name);
    HostedScenario scenario;
    HostedCluster& cluster = scenario.cluster();
    RunManyTasks(&scenario, 1);
    for (int i = 0; i < kExecutors; ++i) {
      CHECK(cluster.ControlExecutor(i, {{"restart_ms", row.restart_ms}}));
    }
    scenario.Submit(2, {Step(18, 2)}, 1500);
    Sleep(Milliseconds(700));
    row.fault(&cluster);
    for (int i = 3; i < 6; ++i) {
      scenario.Submit(i, {Step(6, 2), Step(4, 1, {0})}, 300);
    }
    // The gang needs all executors, so that no ended run may still occupy
    // capacity.
    TestStep gang = Step(kExecutors, 8);
    gang.gang = true;
    scenario.Submit(6, {gang}, 300);
    scenario.AwaitAndCheckJobs();
  }
}

}  // namespace
}  // namespace thornplank
