// Hosted entries with executors that are lost under one task again and again:
// cut off for longer than their leases, or crashed by the task.
#include <doctest/doctest.h>

#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "hosted_scenario.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Short, so that executors are soon taken for lost.
constexpr Milliseconds kLongestLease{1500};
// From the cut of an executor until the leader has taken it for lost.
constexpr Milliseconds kLossTime{2800};
// Longer than the leases, so that no run ends while its executor is cut off.
constexpr int kWorkMs = 2000;
constexpr int kExecutors = 8;
// Silent workers after which a task waits.
constexpr int kLossesUntilWait = 4;
constexpr int kMaxStartsOfCrashingTask = 5;
constexpr int kNever = 600000;

HostedClusterSettings Settings() {
  HostedClusterSettings settings;
  settings.executors = kExecutors;
  settings.longest_lease = kLongestLease;
  return settings;
}

void Sleep(Duration duration) {
  HostedCluster::Eventually([] { return false; }, duration);
}

void ReplaceLeader(HostedCluster* cluster) {
  const int leader = cluster->Leader();
  cluster->entry(leader).Kill();
  cluster->StartEntry(leader);
}

// Runs of the first task of the job.
std::vector<Json> RunsOf(HostedCluster* cluster, const TestJob& job) {
  std::vector<Json> runs;
  for (Json& run : cluster->Runs()) {
    if (StringField(run, "task") == job.id + ".0.0.0") {
      runs.push_back(std::move(run));
    }
  }
  return runs;
}

// The number of the executor with this id, such as "x3-2".
int ExecutorNumber(const std::string& id) { return std::atoi(id.c_str() + 1); }

// Cuts off the executor that runs the first task of the job, after the run with
// the number `*last_run`, which is updated. Returns its number; -1 if the job
// is shown as failed, or no such run begins.
int CutOffNextExecutor(HostedCluster* cluster, const TestJob& job,
                       const Json& control, int* last_run) {
  int executor = -1;
  HostedCluster::Eventually([&] {
    for (const Json& run : RunsOf(cluster, job)) {
      const int number = static_cast<int>(IntField(run, "run").value_or(0));
      if (number <= *last_run || IntField(run, "ended_ms") != -1) continue;
      *last_run = number;
      executor = ExecutorNumber(StringField(run, "worker").value_or(""));
      CHECK(cluster->ControlExecutor(executor, control));
      return true;
    }
    return cluster->State(0, job) == "failed";
  });
  return executor;
}

// Guards against a job that is shown as failed although none of its tasks
// failed: executors that were cut off from the entries for longer than their
// leases were counted like executors that the task had crashed.
TEST_CASE("executors that are cut off and come back fail no job") {
  struct Row {
    const char* name;
    // Whether the executors write their entries while they are cut off.
    bool writes_entries;
    bool leader_changes;
    bool gang;
  };
  const std::vector<Row> rows = {
      {"cut off from the entries and the store", false, false, false},
      {"cut off from the entries only", true, false, false},
      {"a gang, and the leader changes", false, true, true},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    HostedScenario scenario(Settings());
    HostedCluster& cluster = scenario.cluster();
    TestStep step = Step(row.gang ? 3 : 1, 2);
    step.gang = row.gang;
    const TestJob job = scenario.Submit(1, {step}, kWorkMs);
    const char* const control = row.writes_entries ? "unreachable" : "silent";
    int last_run = 0;
    std::set<int> cut_off;
    for (int i = 0; i < kLossesUntilWait; ++i) {
      if (row.leader_changes && i == 2) ReplaceLeader(&cluster);
      cut_off.insert(
          CutOffNextExecutor(&cluster, job, {{control, true}}, &last_run));
    }
    Sleep(kLossTime);
    const bool has_failed = cluster.State(0, job) == "failed";
    CHECK_FALSE(has_failed);
    if (has_failed) continue;
    CHECK(cut_off.count(-1) == 0);
    for (const int executor : cut_off) {
      CHECK(cluster.ControlExecutor(executor, {{control, false}}));
    }
    // The executors that are back count no more: the task may lose others.
    const int last =
        CutOffNextExecutor(&cluster, job, {{control, true}}, &last_run);
    REQUIRE(last >= 0);
    CHECK(HostedCluster::Eventually([&] {
      for (const Json& run : RunsOf(&cluster, job)) {
        if (IntField(run, "ended_ms") == -1) return false;
      }
      return true;
    }));
    CHECK(cluster.ControlExecutor(last, {{control, false}}));
    scenario.AwaitAndCheckJobs();
  }
}

bool IsWaitingForLostExecutors(HostedCluster* cluster) {
  for (int i = 0; i < cluster->settings().entries; ++i) {
    for (const Json& event : cluster->Events(i, events::kStepWaits.number)) {
      const std::string reason = StringField(event, "reason").value_or("");
      if (reason.find("not accounted for") != std::string::npos) return true;
    }
  }
  return false;
}

// Guards against a task that is started a sixth time after it has crashed five
// executors, whether or not anything shows that they crashed.
TEST_CASE("a task that crashes its executors is started five times at most") {
  struct Row {
    const char* name;
    // kNever: the executors do not return.
    int restart_ms;
    bool leader_changes;
  };
  const std::vector<Row> rows = {
      {"they come back", 300, false},
      {"they come back, and the leader changes", 300, true},
      {"they do not return", kNever, false},
      {"they do not return, and the leader changes", kNever, true},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    HostedScenario scenario(Settings());
    HostedCluster& cluster = scenario.cluster();
    for (int i = 0; i < kExecutors; ++i) {
      CHECK(cluster.ControlExecutor(i, {{"restart_ms", row.restart_ms}}));
    }
    TestJob job;
    job.id = JobId(1);
    job.steps = {Step(1, 2)};
    job.work_ms = kWorkMs;
    job.crash_after_ms = 10;
    scenario.Submit(job);
    const auto starts = [&] {
      return static_cast<int>(RunsOf(&cluster, job).size());
    };
    if (row.leader_changes) {
      for (const int count : {1, 2}) {
        CHECK(HostedCluster::Eventually([&] { return starts() >= count; }));
        ReplaceLeader(&cluster);
      }
    }
    CHECK(HostedCluster::Eventually(
        [&] {
          return starts() > kMaxStartsOfCrashingTask ||
                 cluster.State(0, job) == "failed" ||
                 IsWaitingForLostExecutors(&cluster);
        },
        std::chrono::seconds(60)));
    if (row.restart_ms == kNever) {
      // Enough for a further start.
      Sleep(kLossTime);
      scenario.Cancel(job);
    }
    scenario.AwaitAndCheckJobs();
    CHECK(starts() <= kMaxStartsOfCrashingTask);
  }
}

}  // namespace
}  // namespace thornplank
