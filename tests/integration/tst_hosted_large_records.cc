// Jobs whose records would be larger than the store takes, on hosted entries.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

constexpr int kRecordRejectedEvent = 967;
constexpr int kCheckpointDroppedEvent = 968;

TestJob JobWithCheckpoints(int number, int count, bool gang, int bytes) {
  TestStep step = Step(count, 1);
  step.gang = gang;
  TestJob job;
  job.id = JobId(number);
  job.steps = {step};
  job.work_ms = 400;
  job.failing_runs = 1;
  job.checkpoint_bytes = bytes;
  return job;
}

size_t CountEvents(const HostedCluster& cluster, int number) {
  size_t count = 0;
  for (int entry = 0; entry < cluster.settings().entries; ++entry) {
    count += cluster.Events(entry, number).size();
  }
  return count;
}

// Guards against a leader that repeats for ever the append of a progress record
// which the store rejects for its size, so that no other job starts or ends.
TEST_CASE("jobs with long checkpoints and all others end, also after a crash") {
  HostedScenario scenario;
  scenario.Submit(JobWithCheckpoints(1, 4, true, 70000));
  scenario.Submit(JobWithCheckpoints(2, 8, false, 100000));
  scenario.Submit(JobWithCheckpoints(3, 4, true, 262114));
  scenario.Submit(4, {Step(4, 1)}, 100);
  HostedCluster& cluster = scenario.cluster();
  REQUIRE(HostedCluster::Eventually([&cluster] {
    return CountEvents(cluster, kCheckpointDroppedEvent) > 0;
  }));
  const int leader = cluster.Leader();
  REQUIRE(leader >= 0);
  cluster.entry(leader).Kill();
  cluster.StartEntry(leader);
  scenario.Submit(5, {Step(4, 1)}, 100);
  scenario.AwaitAndCheckJobs();
  CHECK(CountEvents(cluster, kRecordRejectedEvent) == 0);
}

// Guards against a caller that is told to come back with a job which can never
// be stored, and against other callers that are refused with it.
TEST_CASE("a job that is larger than the store takes is refused at once") {
  constexpr int kRecordBytes = 8192;
  // What entries are told, and whether they know the limit.
  for (const int told : {kRecordBytes, 262144}) {
    CAPTURE(told);
    HostedClusterSettings settings;
    settings.store_record_bytes = told;
    HostedScenario scenario(settings);
    HostedCluster& cluster = scenario.cluster();
    REQUIRE(cluster.ControlStore({{"record_bytes", kRecordBytes}}));
    const std::string target = HostedCluster::QueuePrefix(1) + JobId(7);
    const std::string body = R"({"spec":"","steps":[{"count":1,"image":")" +
                             std::string(kRecordBytes, 'i') + R"("}]})";
    for (int entry = 0; entry < settings.entries; ++entry) {
      const auto response = cluster.Call(entry, "POST", target, body,
                                         HostedCluster::AccountKey());
      REQUIRE(response.has_value());
      CHECK(response->status == 413);
      CHECK(response->body.find("larger than the store takes") !=
            std::string::npos);
      const auto state =
          cluster.Call(entry, "GET", target, "", HostedCluster::AccountKey());
      REQUIRE(state.has_value());
      CHECK(state->status == 410);
    }
    scenario.Submit(1, {Step(2, 1)}, 50);
    scenario.AwaitAndCheckJobs();
  }
}

}  // namespace
}  // namespace thornplank
