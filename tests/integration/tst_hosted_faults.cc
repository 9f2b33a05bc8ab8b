// Hosted entries with faults of entries, store, executors and connections:
// every job ends, and no task runs twice.
#include <doctest/doctest.h>

#include <csignal>
#include <functional>
#include <string>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

TEST_CASE("jobs end and no task runs twice under faults") {
  struct Row {
    const char* name;
    std::function<void(HostedCluster&)> fault;
  };
  const std::vector<Row> rows = {
      {"the leader is killed",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         cluster.entry(leader).Kill();
         cluster.StartEntry(leader);
       }},
      {"every entry is killed",
       [](HostedCluster& cluster) {
         for (int i = 0; i < 3; ++i) cluster.entry(i).Kill();
         for (int i = 0; i < 3; ++i) cluster.StartEntry(i);
       }},
      {"the leader is stopped gracefully",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         cluster.entry(leader).Signal(SIGTERM);
         CHECK(cluster.entry(leader).Wait(std::chrono::seconds(20)) == 0);
         cluster.StartEntry(leader);
       }},
      {"the leader is suspended for four seconds",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         cluster.entry(leader).Suspend();
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(4));
         cluster.entry(leader).Resume();
       }},
      {"the leader is cut off from the store",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         CHECK(cluster.ControlStoreProxy(leader, {{"freeze", true}}));
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(4));
         CHECK(cluster.ControlStoreProxy(leader, {{"freeze", false}}));
       }},
      {"the store is silent for three seconds",
       [](HostedCluster& cluster) {
         CHECK(cluster.ControlStore({{"mode", "silent"}}));
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(3));
         CHECK(cluster.ControlStore({{"mode", "up"}}));
       }},
      {"the store loses answers, some appends land late",
       [](HostedCluster& cluster) {
         CHECK(cluster.ControlStore(
             {{"lost_percent", 20}, {"late_percent", 10}}));
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(3));
         CHECK(
             cluster.ControlStore({{"lost_percent", 0}, {"late_percent", 0}}));
       }},
      {"the store drops its history",
       [](HostedCluster& cluster) {
         CHECK(cluster.ControlStore({{"drop_history", true}}));
       }},
      {"orders are carried out late and not answered",
       [](HostedCluster& cluster) {
         for (int i = 0; i < 6; ++i) {
           CHECK(cluster.ControlExecutor(i, {{"late_percent", 50}}));
         }
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(2));
         for (int i = 0; i < 6; ++i) {
           CHECK(cluster.ControlExecutor(i, {{"late_percent", 0}}));
         }
       }},
      {"orders are carried out and their answers lost",
       [](HostedCluster& cluster) {
         for (int i = 0; i < 6; ++i) {
           CHECK(cluster.ControlExecutor(i, {{"lost_percent", 50}}));
         }
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(2));
         for (int i = 0; i < 6; ++i) {
           CHECK(cluster.ControlExecutor(i, {{"lost_percent", 0}}));
         }
       }},
      {"connections to executors are reset again and again",
       [](HostedCluster& cluster) {
         for (int round = 0; round < 20; ++round) {
           for (int i = 0; i < 6; ++i) {
             CHECK(cluster.ControlExecutor(i, {{"reset", true}}));
           }
           HostedCluster::Eventually([] { return false; }, Milliseconds(100));
         }
       }},
      {"an executor crashes and starts a new incarnation",
       [](HostedCluster& cluster) {
         CHECK(cluster.ControlExecutor(0, {{"crash", true}}));
       }},
      {"a failure domain with the leader loses power",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         cluster.entry(leader).Kill();
         for (int i = 0; i < 6; i += 2) {
           CHECK(cluster.ControlExecutor(i, {{"silent", true}}));
         }
         HostedCluster::Eventually([] { return false; }, Milliseconds(1500));
         for (int i = 0; i < 6; i += 2) {
           CHECK(cluster.ControlExecutor(i,
                                         {{"crash", true}, {"silent", false}}));
         }
         cluster.StartEntry(leader);
       }},
      {"a failure domain with the leader is cut off and keeps working",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         CHECK(cluster.ControlStoreProxy(leader, {{"freeze", true}}));
         for (int i = 0; i < 6; i += 2) {
           CHECK(cluster.ControlExecutor(i, {{"silent", true}}));
         }
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(4));
         for (int i = 0; i < 6; i += 2) {
           CHECK(cluster.ControlExecutor(i, {{"silent", false}}));
         }
         CHECK(cluster.ControlStoreProxy(leader, {{"freeze", false}}));
       }},
      {"an executor makes no progress",
       [](HostedCluster& cluster) {
         CHECK(cluster.ControlExecutor(1, {{"stalled", true}}));
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(7));
         CHECK(cluster.ControlExecutor(1, {{"stalled", false}}));
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HostedScenario scenario;
    for (int i = 0; i < 4; ++i) {
      scenario.Submit(i, {Step(6, 2), Step(4, 1, {0})}, 900);
    }
    row.fault(scenario.cluster());
    for (int i = 4; i < 8; ++i) {
      scenario.Submit(i, {Step(6, 2), Step(4, 1, {0})}, 300);
    }
    scenario.AwaitAndCheckJobs();
  }
}

// Guards against starts beyond a capacity that shrank while work was running.
TEST_CASE("executors that shrink and grow again are never overloaded") {
  HostedScenario scenario;
  HostedCluster& cluster = scenario.cluster();
  // Of the 288 tasks 24 fit at a time, and 6 while the executors are shrunk, so
  // that many tasks start while the smaller capacity is in force.
  for (int i = 0; i < 12; ++i) {
    scenario.Submit(i, {Step(24, 2)}, 400);
  }
  const auto resize = [&cluster](int percent) {
    for (int i = 0; i < 6; ++i) {
      CHECK(cluster.ControlExecutor(i, {{"capacity_percent", percent}}));
    }
  };
  resize(25);
  HostedCluster::Eventually([] { return false; }, std::chrono::seconds(5));
  resize(100);
  scenario.AwaitAndCheckJobs();
  CHECK(cluster.Events(cluster.Leader(), 941).size() >= 12);
}

// Two tasks fit on an executor, so the step uses the three available executors.
// The healthy ones finish in 2 s, the slow one would take 40 s.
TEST_CASE("tasks move away from a slow executor when idle ones are added") {
  HostedScenario scenario;
  HostedCluster& cluster = scenario.cluster();
  for (int i = 3; i < 6; ++i) {
    REQUIRE(cluster.ControlExecutor(i, {{"draining", true}}));
  }
  REQUIRE(cluster.ControlExecutor(0, {{"slowdown", 20}}));
  HostedCluster::Eventually([] { return false; }, std::chrono::seconds(1));
  scenario.Submit(1, {Step(6, 4)}, 2000);
  REQUIRE(
      HostedCluster::Eventually([&] { return cluster.Runs().size() == 6; }));
  for (int i = 3; i < 6; ++i) {
    REQUIRE(cluster.ControlExecutor(i, {{"draining", false}}));
  }
  scenario.AwaitAndCheckJobs();
  int moved = 0;
  for (const Json& run : cluster.Runs()) {
    const std::string worker = run["worker"];
    const bool is_slow = worker.compare(0, 2, "x0") == 0;
    if (is_slow) CHECK(run["how"] == "stopped");
    if (IntField(run, "run") == 2) ++moved;
  }
  CHECK(moved == 2);
}

}  // namespace
}  // namespace thornplank
