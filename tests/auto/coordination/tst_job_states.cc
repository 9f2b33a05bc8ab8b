// What is shown of a job whose first start comes to nothing: its state, and the
// length of its queue.
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

constexpr char kQueue[] = "queue";
constexpr Milliseconds kLease{800};
// For several starts that come to nothing.
constexpr Milliseconds kLongTime{2500};

struct Row {
  const char* name;
  // What becomes of the start.
  std::function<void(Cluster*)> fault;
  // Whether a run begins.
  bool begins;
};

void Wait(Cluster* cluster, Milliseconds time) {
  RunUntil(
      cluster->io, [] { return false; }, time);
}

std::vector<Row> Rows() {
  return {
      {"carried out", [](Cluster*) {}, true},
      {"withheld, the worker does not answer",
       [](Cluster* cluster) { cluster->calls.dead.insert("w1"); }, false},
      {"refused",
       [](Cluster* cluster) { cluster->calls.refusing.insert("w1"); }, false},
      {"lost on its way",
       [](Cluster* cluster) { cluster->calls.losing_starts.insert("w1"); },
       false},
  };
}

// One worker, two entries and a job of two steps.
void Prepare(Cluster* cluster) {
  cluster->bounds.longest_lease = kLease;
  cluster->Append(kWorkers, {"w2", std::nullopt, 0});
  cluster->Add("a");
  cluster->Add("b");
  REQUIRE(RunUntil(cluster->io, [&] {
    return cluster->leaders() == 1 &&
           (cluster->entries[0]->Knows(1) || cluster->entries[1]->Knows(1));
  }));
}

int64_t Waiting(const Cluster& cluster) {
  int64_t most = 0;
  for (const auto& entry : cluster.entries) {
    most = std::max(most, entry->board().WaitingJobs(kQueue));
  }
  return most;
}

void CheckEntries(const Cluster& cluster, JobState state) {
  const int64_t waiting = state == JobState::kQueued ? 1 : 0;
  for (const auto& entry : cluster.entries) {
    CHECK(entry->state(kJob) == state);
    CHECK(entry->board().WaitingJobs(kQueue) == waiting);
  }
}

// Guards against a job that is shown as running, and is missing in the length
// of its queue, though nothing of it has begun: a start was decided that came
// to nothing.
TEST_CASE("a job is queued until a run of it has begun") {
  for (const Row& row : Rows()) {
    for (const bool replaced : {false, true}) {
      CAPTURE(std::string(row.name));
      CAPTURE(replaced);
      Cluster cluster;
      Prepare(&cluster);
      row.fault(&cluster);
      cluster.Submit({MakeStep(1, 8), MakeStep(1, 8, {0})}, 60000);
      Wait(&cluster, kLongTime);
      if (replaced) {
        cluster.Add("c");
        cluster.ReplaceLeader();
        Wait(&cluster, kLongTime);
      }
      CheckEntries(cluster,
                   row.begins ? JobState::kRunning : JobState::kQueued);
      CHECK(cluster.RunCounts().empty() == !row.begins);
      cluster.calls.dead.clear();
      cluster.calls.refusing.clear();
      cluster.calls.losing_starts.clear();
      CHECK(RunUntil(cluster.io, [&] { return Waiting(cluster) == 0; }));
      CHECK_FALSE(cluster.RunCounts().empty());
      CheckEntries(cluster, JobState::kRunning);
    }
  }
}

// Guards against a job that is shown as queued again after a run of it began.
TEST_CASE("a job whose run began stays running when the run is lost") {
  for (const bool replaced : {false, true}) {
    CAPTURE(replaced);
    Cluster cluster;
    Prepare(&cluster);
    cluster.Submit({MakeStep(1, 8)}, 60000);
    REQUIRE(RunUntil(cluster.io, [&] { return !cluster.RunCounts().empty(); }));
    if (!replaced) {
      REQUIRE(RunUntil(cluster.io, [&] { return Waiting(cluster) == 0; }));
    }
    cluster.calls.models.at("w1").Crash(ClockMs());
    cluster.calls.dead.insert("w1");
    cluster.Append(kWorkers, {"w1", std::nullopt, 0});
    if (replaced) {
      cluster.Add("c");
      cluster.ReplaceLeader();
    }
    const auto is_lost = [&] {
      for (const auto& entry : cluster.entries) {
        const StepProgress* step =
            entry->coordinator().ledger().FindStep({kJob, 0, 0});
        if (step != nullptr && step->waiting == 1) return true;
      }
      return false;
    };
    REQUIRE(RunUntil(cluster.io, is_lost));
    Wait(&cluster, Milliseconds(600));
    CheckEntries(cluster, JobState::kRunning);
  }
}

}  // namespace
}  // namespace thornplank::testing
