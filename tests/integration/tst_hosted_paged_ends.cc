// More tasks of one executor end during an outage of the store than one of its
// reports lists; with real processes.
#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

constexpr char kLostRuns[] =
    "thornplank_runs_ended_total{end=\"lost\",kind=\"single\"}";
constexpr int kTasks = 640;
constexpr int kWorkMs = 4000;
// The outage begins this long after the last start, and ends this long after
// the last end. It stays below the outages after which starts are withheld for
// other reasons, which would hide a start that is wrong.
constexpr Milliseconds kOutageAfterStarts{2700};
constexpr Milliseconds kOutageAfterEnds{400};

enum class LeaderChange { kNone, kBefore, kDuring, kAfter };

struct Row {
  const char* name;
  LeaderChange change;
};

bool HasEnded(const Json& run) { return run["ended_ms"].get<int64_t>() >= 0; }

// The processes of the leader end; it starts again if `restart` is set.
void KillLeader(HostedCluster* cluster, bool restart) {
  const int leader = cluster->Leader();
  cluster->entry(leader).Kill();
  if (!restart) return;
  REQUIRE(HostedCluster::Eventually(
      [&] { return cluster->Leader() >= 0 && cluster->Leader() != leader; }));
  cluster->StartEntry(leader);
}

// Guards against a second start of tasks that ended `done` during an outage of
// the store: a run whose end did not fit into the executor's report was taken
// for lost. No run may be taken for lost, whether or not its task starts again.
TEST_CASE("a full report of ends leads to no second start of a task") {
  const std::vector<Row> rows = {
      {"the same leader", LeaderChange::kNone},
      {"the leader is new before the outage", LeaderChange::kBefore},
      {"the leader is killed during the outage", LeaderChange::kDuring},
      {"the leader is killed right after the outage", LeaderChange::kAfter},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    HostedScenario scenario;
    HostedCluster& cluster = scenario.cluster();
    TestStep step;
    step.count = kTasks;
    step.cpu_millis = 100;
    step.memory_mb = 400;
    step.accelerators = 0;
    scenario.Submit(0, {step}, kWorkMs);
    REQUIRE(HostedCluster::Eventually(
        [&] { return cluster.Runs().size() == kTasks; }));
    const Time begun = std::chrono::steady_clock::now();
    if (row.change == LeaderChange::kBefore) KillLeader(&cluster, true);
    std::this_thread::sleep_until(begun + kOutageAfterStarts);
    REQUIRE(cluster.ControlStore({{"mode", "busy"}}));
    REQUIRE(HostedCluster::Eventually([&] {
      const auto runs = cluster.Runs();
      return std::all_of(runs.begin(), runs.end(), HasEnded);
    }));
    std::this_thread::sleep_for(kOutageAfterEnds);
    if (row.change == LeaderChange::kDuring) KillLeader(&cluster, false);
    REQUIRE(cluster.ControlStore({{"mode", "up"}}));
    if (row.change == LeaderChange::kAfter) KillLeader(&cluster, false);
    scenario.AwaitAndCheckJobs();
    CHECK(cluster.Runs().size() == kTasks);
    for (int entry = 0; entry < cluster.settings().entries; ++entry) {
      CHECK(cluster.Metric(entry, kLostRuns).value_or(0) == 0);
    }
  }
}

}  // namespace
}  // namespace thornplank
