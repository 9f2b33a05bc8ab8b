// What is shown of a job whose first start comes to nothing: its state, and the
// length of its queue.
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

constexpr char kQueue[] = "queue";
constexpr Milliseconds kLease{800};
// Runs without an answer stay undecided for longer than a row is played.
constexpr Milliseconds kLongLease{8000};
// For several starts that come to nothing.
constexpr Milliseconds kLongTime{2500};
// After this time without an answer a worker is asked for one before it gets a
// start, and is not yet known to be silent.
constexpr Milliseconds kQuietTime{400};

struct Row {
  const char* name;
  // What becomes of the start.
  std::function<void(Cluster*)> fault;
  // Whether a run begins.
  bool begins;
  // Whether an order is sent, if that is certain.
  std::optional<bool> sent;
  Milliseconds longest_lease = kLease;
};

void Wait(Cluster* cluster, Milliseconds time) {
  RunUntil(
      cluster->io, [] { return false; }, time);
}

std::vector<Row> Rows() {
  return {
      {"carried out", [](Cluster*) {}, true, true},
      {"withheld, the worker does not answer",
       [](Cluster* cluster) {
         cluster->calls.dead.insert("w1");
         Wait(cluster, kQuietTime);
       },
       false, false},
      {"undecided, the worker does not answer",
       [](Cluster* cluster) { cluster->calls.dead.insert("w1"); }, false,
       std::nullopt, kLongLease},
      {"refused",
       [](Cluster* cluster) { cluster->calls.refusing.insert("w1"); }, false,
       true},
      {"lost on its way",
       [](Cluster* cluster) { cluster->calls.losing_starts.insert("w1"); },
       false, true},
  };
}

// One worker, two entries and a job of two steps.
void Prepare(Cluster* cluster, Milliseconds longest_lease) {
  cluster->bounds.longest_lease = longest_lease;
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
      Prepare(&cluster, row.longest_lease);
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
      if (row.sent) CHECK((cluster.calls.starts["w1"] > 0) == *row.sent);
      cluster.calls.dead.clear();
      cluster.calls.refusing.clear();
      cluster.calls.losing_starts.clear();
      // A silent worker without runs is asked again when it writes its entry.
      cluster.Append(kWorkers, {"w1", "listed", 0});
      CHECK(RunUntil(cluster.io, [&] {
        return !cluster.RunCounts().empty() && Waiting(cluster) == 0;
      }));
      CheckEntries(cluster, JobState::kRunning);
    }
  }
}

// Guards against a job that is shown as queued though a run of it began, or may
// have begun, and was lost.
TEST_CASE("a job whose run was lost with its worker is shown as running") {
  // Whether the worker has told that the run began.
  for (const bool is_known : {true, false}) {
    for (const bool replaced : {false, true}) {
      CAPTURE(is_known);
      CAPTURE(replaced);
      Cluster cluster;
      Prepare(&cluster, kLease);
      if (!is_known) cluster.calls.losing_starts.insert("w1");
      cluster.Submit({MakeStep(1, 8)}, 60000);
      REQUIRE(
          RunUntil(cluster.io, [&] { return cluster.calls.starts["w1"] > 0; }));
      if (is_known && !replaced) {
        REQUIRE(RunUntil(cluster.io, [&] { return Waiting(cluster) == 0; }));
      }
      CHECK(cluster.RunCounts().empty() == !is_known);
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
}

}  // namespace
}  // namespace thornplank::testing
