// Hosted entries under the loss of entries, of the store, of executors and of
// answers: every job ends, and no task runs twice.
#include <doctest/doctest.h>

#include <csignal>
#include <functional>
#include <string>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

TEST_CASE("jobs go on and none runs twice whatever is lost") {
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
      {"the leader freezes for four seconds",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         cluster.entry(leader).Freeze();
         HostedCluster::Eventually([] { return false; },
                                   std::chrono::seconds(4));
         cluster.entry(leader).Thaw();
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
      {"an executor begins a new life",
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
      {"a failure domain with the leader is cut off and works on",
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
      {"an executor stands still",
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
    scenario.Finish();
  }
}

// Guards against starts beyond a capacity that has shrunk while work runs.
TEST_CASE("executors that shrink and grow again are never given too much") {
  HostedScenario scenario;
  HostedCluster& cluster = scenario.cluster();
  // 288 tasks, of which 24 fit at a time, and 6 on shrunk executors: either way
  // many begin when the smaller capacity must be kept to.
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
  scenario.Finish();
  CHECK(cluster.Events(cluster.Leader(), 941).size() >= 12);
}

// Two tasks fit on an executor, so the step takes the three that are there.
// Sound ones end in two seconds, the slow one would work for 40 s.
TEST_CASE("long work leaves a slow executor when empty ones are added") {
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
  scenario.Finish();
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
