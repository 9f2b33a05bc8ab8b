// More tasks of one worker end during an outage of the store than one of its
// reports lists.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

constexpr size_t kEndsInReport = 500;
constexpr int kWorkMs = 1500;
// Long enough for the leader to read a full page of ends. With kWorkMs it stays
// below the outages after which starts are withheld for other reasons, which
// would hide a start that is wrong.
constexpr Milliseconds kOutageAfterEnds{400};

enum class LeaderChange { kNone, kBefore, kDuring, kAfterFirstPage };

struct Row {
  const char* name;
  int tasks;
  LeaderChange change;
};

StepSpec SmallTasks(int count) {
  StepSpec step = MakeStep(count, 0);
  step.need = {60, 60, 0};
  return step;
}

void Wait(Cluster* cluster, Milliseconds time) {
  RunUntil(
      cluster->io, [] { return false; }, time);
}

size_t CountRunning(Cluster* cluster) {
  const auto& history = cluster->calls.models.at("w1").history();
  return static_cast<size_t>(
      std::count_if(history.begin(), history.end(),
                    [](const auto& run) { return run.ended_ms < 0; }));
}

int LostRuns(Entry* entry) {
  return static_cast<int>(entry->metrics()
                              .counter("thornplank_runs_ended_total", "",
                                       {{"kind", "single"}, {"end", "lost"}})
                              .value());
}

// Workers write their entries again after the outage, which makes them usable.
// Returns whether the job is completed in time.
bool AwaitCompletion(Cluster* cluster, const Entry& entry) {
  const Time end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (std::chrono::steady_clock::now() < end) {
    cluster->Append(kWorkers, {"w1", "listed", 0});
    Wait(cluster, Milliseconds(50));
    if (entry.state(kJob) == JobState::kCompleted) return true;
  }
  return false;
}

// Guards against a second start of tasks that ended `done` during an outage of
// the store: a run whose end did not fit into the worker's report was taken for
// lost. No other reason to withhold the second start is in effect here.
TEST_CASE("no task whose end is beyond a full report starts again") {
  const std::vector<Row> rows = {
      {"501 ends, the same leader", 501, LeaderChange::kNone},
      {"1,001 ends, the same leader", 1001, LeaderChange::kNone},
      {"the leader is new before the outage", 640, LeaderChange::kBefore},
      {"the leader is lost during the outage", 640, LeaderChange::kDuring},
      {"the leader is lost once a page is recorded", 1001,
       LeaderChange::kAfterFirstPage},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    Cluster cluster;
    cluster.Append(kWorkers, {"w2", std::nullopt, 0});
    Entry* leader = &cluster.Add("a");
    REQUIRE(RunUntil(cluster.io, [&] { return leader->Knows(1); }));
    cluster.Add("b");
    cluster.Submit({SmallTasks(row.tasks)}, kWorkMs);
    const auto all_begun = [&] {
      return cluster.RunCounts().size() == static_cast<size_t>(row.tasks);
    };
    REQUIRE(RunUntil(cluster.io, all_begun));
    if (row.change == LeaderChange::kBefore) leader = &cluster.ReplaceLeader();
    cluster.TakeStoreAway();
    REQUIRE(RunUntil(cluster.io, [&] { return CountRunning(&cluster) == 0; }));
    Wait(&cluster, kOutageAfterEnds);
    const WorkerTracker& tracker =
        leader->coordinator().fleet()->trackers().at("w1");
    CHECK(tracker.recorded_ends() == 0);
    CHECK(tracker.processed_ends() == kEndsInReport);
    if (row.change == LeaderChange::kDuring) {
      CHECK(LostRuns(leader) == 0);
      cluster.entries.erase(cluster.entries.begin());
      leader = cluster.entries.front().get();
    }
    cluster.RestoreStore();
    if (row.change == LeaderChange::kAfterFirstPage) {
      REQUIRE(
          RunUntil(cluster.io, [&] { return tracker.recorded_ends() > 0; }));
      CHECK(LostRuns(leader) == 0);
      leader = &cluster.ReplaceLeader();
    }
    CHECK(AwaitCompletion(&cluster, *leader));
    CHECK(LostRuns(leader) == 0);
    const auto runs = cluster.RunCounts();
    CHECK(std::all_of(runs.begin(), runs.end(),
                      [](const auto& entry) { return entry.second == 1; }));
  }
}

}  // namespace
}  // namespace thornplank::testing
