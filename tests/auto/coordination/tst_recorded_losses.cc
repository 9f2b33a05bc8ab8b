// What a new leader learns of workers whose loss its predecessors recorded.
#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

// When the incarnations that were lost started, on the clocks of the workers.
constexpr int64_t kLostStart = 5000;
constexpr int64_t kEarlierStart = 1000;
// After the acceptance of the job.
constexpr int64_t kLaterStart = 4000000000000;
const std::vector<std::string> kLost = {"w1", "w2", "w3", "w4"};
const TaskRef kTask{{kJob, 0, 0}, 0};
// For several planning rounds after the workers are known.
constexpr Milliseconds kManyRounds{400};

std::string AddressOf(const std::string& id) { return "10.0.0.1:" + id; }

// A task with as many losses as make it wait.
void SubmitTaskWithLosses(Cluster* cluster) {
  cluster->Submit({MakeStep(1, 8)}, 60000);
  ProgressBlock block;
  block.tasks.resize(1);
  block.tasks[0].run = static_cast<int>(kLost.size());
  for (const std::string& id : kLost) {
    block.tasks[0].crashes.losses.push_back(
        {id, FromUnixMilliseconds(kLostStart), false, true, false, 0,
         AddressOf(id)});
  }
  cluster->Append(kBoard,
                  JobBoard::Progress({kTask.step, 0}, EncodeBlock(block)));
}

// Guards against a task that waits for ever: its workers were lost in silence
// under an earlier leader, and are back under their ids as other incarnations.
TEST_CASE("a later incarnation shows that the recorded one is over") {
  struct Row {
    const char* name;
    // Of the lost workers that are back, in order.
    std::vector<int64_t> starts;
    size_t ended;
  };
  const int64_t later = kLaterStart;
  const std::vector<Row> rows = {
      {"all are back", {later, later, later, later}, 4},
      {"three are back", {later, later, later}, 3},
      {"two are back", {later, later}, 2},
      {"entries of earlier incarnations",
       {kEarlierStart, kEarlierStart, kEarlierStart, kEarlierStart},
       0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Cluster cluster;
    for (const char* id : {"w3", "w4"}) cluster.AddWorker(id);
    for (size_t i = 0; i < kLost.size(); ++i) {
      const std::string& id = kLost[i];
      if (i >= row.starts.size()) {
        cluster.calls.models.erase(id);
        cluster.Append(kWorkers, {id, std::nullopt, 0});
        continue;
      }
      cluster.calls.births[id] = FromUnixMilliseconds(row.starts[i]);
      cluster.Append(kWorkers,
                     {id, kBornAt + std::to_string(row.starts[i]), 0});
    }
    SubmitTaskWithLosses(&cluster);
    Entry& leader = cluster.Add("a");
    REQUIRE(RunUntil(
        cluster.io, [&] { return leader.Knows(cluster.calls.models.size()); }));
    RunUntil(
        cluster.io, [&] { return cluster.RunCounts().size() == 1; },
        kManyRounds);
    const TaskStatus* task = leader.coordinator().ledger().FindTask(kTask);
    REQUIRE(task != nullptr);
    CHECK(task->crashes.accounted_losses() == row.ended);
    CHECK(task->crashes.losses.size() == kLost.size());
    const bool may_start = row.ended >= 3;
    CHECK(cluster.RunCounts().size() == (may_start ? 1U : 0U));
  }
}

// Guards against a task that waits for ever: the directory still lists the
// incarnations that were lost, and others answer at their addresses before this
// leader has heard the lost ones.
TEST_CASE("another id at the address shows that the listed one is over") {
  struct Row {
    const char* name;
    int64_t listed_start;
    size_t ended;
  };
  const std::vector<Row> rows = {
      {"the incarnations that were lost", kLostStart, 4},
      {"others", kEarlierStart, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Cluster cluster;
    for (const char* id : {"w3", "w4", "w5"}) cluster.AddWorker(id);
    for (const std::string& id : kLost) {
      cluster.calls.replaced.insert(id);
      cluster.Append(kWorkers,
                     {id, kBornAt + std::to_string(row.listed_start), 0});
    }
    SubmitTaskWithLosses(&cluster);
    Entry& leader = cluster.Add("a");
    REQUIRE(RunUntil(cluster.io, [&] { return leader.Knows(1); }));
    RunUntil(
        cluster.io, [&] { return cluster.RunCounts().size() == 1; },
        kManyRounds);
    const TaskStatus* task = leader.coordinator().ledger().FindTask(kTask);
    REQUIRE(task != nullptr);
    CHECK(task->crashes.accounted_losses() == row.ended);
    CHECK(cluster.RunCounts().size() == (row.ended > 0 ? 1U : 0U));
  }
}

// Guards against a task that waits for ever: the workers that were lost under
// an earlier leader crashed while nobody heard them, and others with new ids
// are at their addresses.
TEST_CASE("another worker at the address shows that the recorded one is over") {
  struct Row {
    const char* name;
    // The lost workers whose addresses others have.
    std::vector<std::string> replaced;
  };
  const std::vector<Row> rows = {
      {"none", {}},
      {"two of four", {"w1", "w2"}},
      {"three of four", {"w1", "w2", "w4"}},
      {"all", kLost},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Cluster cluster;
    for (const char* id : {"w1", "w2"}) {
      cluster.calls.models.erase(id);
      cluster.Append(kWorkers, {id, std::nullopt, 0});
    }
    cluster.AddWorker("x");
    for (const std::string& lost : row.replaced) {
      const std::string id = "next-" + lost;
      cluster.AddWorker(id);
      cluster.Append(kWorkers, {id, kAtAddress + AddressOf(lost), 0});
    }
    SubmitTaskWithLosses(&cluster);
    Entry& leader = cluster.Add("a");
    REQUIRE(RunUntil(
        cluster.io, [&] { return leader.Knows(cluster.calls.models.size()); }));
    RunUntil(
        cluster.io, [&] { return cluster.RunCounts().size() == 1; },
        kManyRounds);
    const TaskStatus* task = leader.coordinator().ledger().FindTask(kTask);
    REQUIRE(task != nullptr);
    CHECK(task->crashes.accounted_losses() == row.replaced.size());
    const bool may_start = row.replaced.size() >= 3;
    CHECK(cluster.RunCounts().size() == (may_start ? 1U : 0U));
  }
}

}  // namespace
}  // namespace thornplank::testing
