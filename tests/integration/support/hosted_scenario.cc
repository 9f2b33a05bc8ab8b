// Submits jobs to all entries in turn, and checks the executors' records.
#include "hosted_scenario.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <utility>

namespace thornplank {
namespace {

int64_t ClockMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool IsFinalState(const std::string& state) {
  return state == "completed" || state == "cancelled" || state == "failed";
}

}  // namespace

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", number + 1);
  return text;
}

TestStep Step(int count, int accelerators, std::vector<int> depends_on) {
  TestStep step;
  step.count = count;
  step.accelerators = accelerators;
  step.depends_on = std::move(depends_on);
  return step;
}

HostedScenario::HostedScenario(HostedClusterSettings settings)
    : cluster_(std::move(settings)) {
  REQUIRE(cluster_.Start());
  REQUIRE(HostedCluster::Eventually([this] { return cluster_.Leader() >= 0; }));
}

TestJob HostedScenario::Submit(int number, std::vector<TestStep> steps,
                               int work_ms, int priority) {
  TestJob job;
  job.id = JobId(number);
  job.steps = std::move(steps);
  job.work_ms = work_ms;
  job.priority = priority;
  Submit(job);
  return job;
}

void HostedScenario::Submit(const TestJob& job) {
  SubmittedJob submitted;
  submitted.job = job;
  submitted.accepted = HostedCluster::Eventually(
      [&] { return cluster_.Submit(NextEntry(), job) == 200; });
  CHECK(submitted.accepted);
  jobs_[job.id] = submitted;
}

void HostedScenario::Cancel(const TestJob& job) {
  CHECK(HostedCluster::Eventually(
      [&] { return cluster_.Cancel(NextEntry(), job) == 200; }));
  jobs_[job.id].cancelled_ms = ClockMs();
}

void HostedScenario::AwaitAndCheckJobs() {
  for (auto& entry : jobs_) {
    CAPTURE(entry.first);
    SubmittedJob& job = entry.second;
    CHECK(HostedCluster::Eventually(
        [&] {
          job.final_state = cluster_.State(NextEntry(), job.job);
          return IsFinalState(job.final_state);
        },
        std::chrono::seconds(40)));
    const char* const expected = job.job.crashes() ? "failed" : "completed";
    if (job.cancelled_ms < 0) CHECK(job.final_state == expected);
  }
  for (const std::string& problem : CheckRuns(cluster_.Runs(), jobs_)) {
    FAIL_CHECK(problem);
  }
  CHECK(cluster_.CapacityViolations().empty());
}

}  // namespace thornplank
