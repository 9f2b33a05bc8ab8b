// Hosted entries with tasks that crash the executors that start them: such
// tasks are given up in time, and all other jobs end.
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

// A task that was started this often is regarded as never given up.
constexpr int kStartLimit = 6;

TestJob MakeCrashingJob(int number, int count, bool gang = false) {
  TestJob job;
  job.id = JobId(number);
  job.steps = {Step(count, 2)};
  job.steps[0].gang = gang;
  job.work_ms = 500;
  job.crash_after_ms = 10;
  return job;
}

bool ExceedsStartLimit(HostedCluster* cluster) {
  for (const Json& run : cluster->Runs()) {
    if (IntField(run, "run").value_or(0) >= kStartLimit) return true;
  }
  return false;
}

int CountCrashes(HostedCluster* cluster) {
  int crashes = 0;
  for (const Json& run : cluster->Runs()) {
    if (StringField(run, "how") == "crashed") ++crashes;
  }
  return crashes;
}

// The reason that a caller gets for a failed job.
std::string FailureReason(HostedCluster* cluster, const TestJob& job) {
  const auto response =
      cluster->Call(0, "GET", HostedCluster::QueuePrefix(job.priority) + job.id,
                    "", HostedCluster::AccountKey());
  if (!response) return "";
  const Json body = ParseJson(response->body).value_or(Json::object());
  return StringField(body, "reason").value_or("");
}

void AwaitCrash(HostedCluster* cluster) {
  CHECK(HostedCluster::Eventually([&] { return CountCrashes(cluster) > 0; }));
}

// Guards against a task that crashes one worker after the other without end:
// runs lost with their workers were not counted as failures of the task.
TEST_CASE("a task that crashes its workers is given up in time") {
  struct Row {
    const char* name;
    std::vector<TestJob> jobs;
    std::function<void(HostedCluster*)> fault;
  };
  const auto nothing = [](HostedCluster*) {};
  std::vector<TestJob> many;
  for (int i = 10; i < 16; ++i) {
    many.push_back(MakeCrashingJob(i, 1));
  }
  TestJob one_member = MakeCrashingJob(10, 3, /*gang=*/true);
  one_member.crash_task = 1;
  const std::vector<Row> rows = {
      {"one task", {MakeCrashingJob(10, 1)}, nothing},
      {"one member of a gang", {one_member}, nothing},
      {"every task of a wide step", {MakeCrashingJob(10, 6)}, nothing},
      {"many, with three workers left", many,
       [](HostedCluster* cluster) {
         for (int i = 3; i < 6; ++i) {
           CHECK(cluster->ControlExecutor(i, {{"draining", true}}));
         }
       }},
      {"the leader is killed after a crash",
       {MakeCrashingJob(10, 1)},
       [](HostedCluster* cluster) {
         AwaitCrash(cluster);
         const int leader = cluster->Leader();
         cluster->entry(leader).Kill();
         cluster->StartEntry(leader);
       }},
      {"every entry is killed after a crash",
       {MakeCrashingJob(10, 1)},
       [](HostedCluster* cluster) {
         AwaitCrash(cluster);
         for (int i = 0; i < 3; ++i) cluster->entry(i).Kill();
         for (int i = 0; i < 3; ++i) cluster->StartEntry(i);
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    HostedScenario scenario;
    HostedCluster& cluster = scenario.cluster();
    for (const TestJob& job : row.jobs) {
      scenario.Submit(job);
    }
    for (int i = 0; i < 3; ++i) {
      scenario.Submit(i, {Step(4, 2)}, 300);
    }
    row.fault(&cluster);
    const auto given_up = [&] {
      for (const TestJob& job : row.jobs) {
        if (cluster.State(0, job) != "failed") return false;
      }
      return true;
    };
    HostedCluster::Eventually(
        [&] { return given_up() || ExceedsStartLimit(&cluster); },
        std::chrono::seconds(60));
    REQUIRE_FALSE(ExceedsStartLimit(&cluster));
    for (const TestJob& job : row.jobs) {
      CHECK(FailureReason(&cluster, job).find("was given up") !=
            std::string::npos);
    }
    scenario.AwaitAndCheckJobs();
  }
}

// Guards against giving up work for crashes that it did not cause.
TEST_CASE("work whose workers lose power twice is not given up") {
  HostedScenario scenario;
  HostedCluster& cluster = scenario.cluster();
  scenario.Submit(1, {Step(12, 2)}, 2500);
  for (int round = 0; round < 2; ++round) {
    const int before = CountCrashes(&cluster);
    // Shorter than the time until the reports show all runs.
    HostedCluster::Eventually([] { return false; },
                              std::chrono::milliseconds(1200));
    for (int i = 0; i < 6; ++i) {
      CHECK(cluster.ControlExecutor(i, {{"crash", true}}));
    }
    CHECK(CountCrashes(&cluster) > before);
  }
  scenario.AwaitAndCheckJobs();
}

}  // namespace
}  // namespace thornplank
