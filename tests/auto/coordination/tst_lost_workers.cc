// Tasks that lose one worker for good after the other.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

constexpr char kTask[] = "0123456789abcdef.0.0.0";
// So that workers are taken for lost soon.
constexpr Milliseconds kLease{500};
// Longer than the start of a run, with its reports.
constexpr Milliseconds kSeenAlive{700};
constexpr int kWorkMs = 1500;

// When the leader is replaced.
enum class Change { kNever, kAfterFirstLoss, kAfterEachLoss };

struct Row {
  int losses;
  Change change;
  // Whether the runs are seen alive before their workers are lost.
  bool seen_alive;
};

class LostWorkers {
 public:
  explicit LostWorkers(int workers) {
    cluster.bounds.longest_lease = kLease;
    for (int i = 3; i <= workers; ++i) {
      cluster.AddWorker("w" + std::to_string(i));
    }
    // One at the address of another would show that that is over.
    for (const auto& [id, model] : cluster.calls.models) {
      cluster.Append(kWorkers, {id, kAtAddress + ("10.0.0.1:" + id), 0});
    }
  }

  // The worker on which the task runs; "" if it does not.
  std::string Worker() {
    for (auto& [id, model] : cluster.calls.models) {
      if (cluster.calls.dead.count(id) > 0) continue;
      const auto& history = model.HistoryAt(ClockMs());
      const auto run =
          std::find_if(history.begin(), history.end(),
                       [](const auto& entry) { return entry.ended_ms < 0; });
      if (run != history.end()) return id;
    }
    return "";
  }

  std::string AwaitRun() {
    REQUIRE(RunUntil(cluster.io, [this] { return Worker() != ""; }));
    return Worker();
  }

  void Lose(const std::string& id) {
    cluster.calls.models.at(id).Crash(ClockMs());
    cluster.calls.dead.insert(id);
    cluster.Append(kWorkers, {id, std::nullopt, 0});
  }

  const Entry& leader() const {
    return **std::find_if(
        cluster.entries.begin(), cluster.entries.end(),
        [](const auto& entry) { return entry->coordinator().leading(); });
  }

  Cluster cluster;
};

// Guards against a sound task that waits for ever: four of its workers were
// lost for good, and nothing tells of them any more.
TEST_CASE("a task goes on whose workers are lost after it was seen at work") {
  const std::vector<Row> rows = {
      {1, Change::kNever, true},         {4, Change::kNever, true},
      {6, Change::kNever, true},         {4, Change::kAfterFirstLoss, true},
      {4, Change::kAfterEachLoss, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.losses);
    CAPTURE(static_cast<int>(row.change));
    LostWorkers test(row.losses + 1);
    Cluster& cluster = test.cluster;
    for (int i = 0; i <= row.losses; ++i) {
      cluster.Add(std::string(1, static_cast<char>('a' + i)));
    }
    REQUIRE(RunUntil(cluster.io, [&] { return cluster.leaders() == 1; }));
    cluster.Submit({MakeStep(1, 8)}, kWorkMs);
    for (int loss = 0; loss < row.losses; ++loss) {
      CAPTURE(loss);
      const std::string worker = test.AwaitRun();
      RunUntil(
          cluster.io, [] { return false; }, kSeenAlive);
      test.Lose(worker);
      const bool changes = row.change == Change::kAfterEachLoss ||
                           (row.change == Change::kAfterFirstLoss && loss == 0);
      if (changes) cluster.ReplaceLeader();
    }
    CHECK(RunUntil(cluster.io, [&] {
      return test.leader().state(kJob) == JobState::kCompleted;
    }));
    CHECK(cluster.RunCounts()[kTask] == row.losses + 1);
    CHECK(cluster.CompletedRunCounts()[kTask] == 1);
  }
}

// Guards against a job that is shown as running for ever: its task crashes
// workers at its start that never return, so that nothing proves a crash.
TEST_CASE("a task that loses each worker at its start ends with its job") {
  for (const Change change : {Change::kNever, Change::kAfterFirstLoss}) {
    CAPTURE(static_cast<int>(change));
    LostWorkers test(7);
    Cluster& cluster = test.cluster;
    cluster.Add("a");
    cluster.Add("b");
    REQUIRE(RunUntil(cluster.io, [&] { return cluster.leaders() == 1; }));
    cluster.Submit({MakeStep(1, 8)}, kWorkMs);
    int losses = 0;
    const auto has_failed = [&] {
      const std::string worker = test.Worker();
      if (worker != "") {
        test.Lose(worker);
        ++losses;
        if (change == Change::kAfterFirstLoss && losses == 1) {
          cluster.ReplaceLeader();
        }
      }
      return cluster.leaders() == 1 &&
             test.leader().state(kJob) == JobState::kFailed;
    };
    CHECK(RunUntil(cluster.io, has_failed, std::chrono::seconds(40)));
    CHECK(losses == 5);
    CHECK(cluster.RunCounts()[kTask] == 5);
  }
}

}  // namespace
}  // namespace thornplank::testing
