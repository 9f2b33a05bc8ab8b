// Jobs on hosted entries: submission, runs, completion and cancellation, and
// what an entry may answer while it cannot reach the store.
#include <doctest/doctest.h>

#include <csignal>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

TEST_CASE("a job of dependent steps runs in order and is shown as completed") {
  HostedScenario scenario;
  scenario.Submit(1, {Step(4, 1), Step(6, 1, {0}), Step(1, 1, {0, 1})}, 150);
  TestStep gang = Step(3, 8);
  gang.gang = true;
  gang.same_rack = true;
  scenario.Submit(2, {gang}, 150);
  scenario.AwaitAndCheckJobs();
  const std::string metrics = scenario.cluster().Metrics(0);
  CHECK(metrics.find("thornplank_jobs_known") != std::string::npos);
}

TEST_CASE("invalid input is refused with a reason and changes nothing") {
  HostedScenario scenario;
  struct Row {
    const char* name;
    const char* method;
    std::string target;
    std::string body;
    std::string key;
    int status;
  };
  const std::string job = HostedCluster::QueuePrefix(1) + JobId(7);
  const std::string key = HostedCluster::AccountKey();
  const std::string good = R"({"spec":"","steps":[{"count":1,"cpu":1}]})";
  const std::vector<Row> rows = {
      {"unknown queue", "POST", "/nowhere/" + JobId(7), good, key, 404},
      {"unknown key", "POST", job, good, "stranger", 401},
      {"no key", "POST", job, good, "", 401},
      {"not JSON", "POST", job, "{", key, 400},
      {"no steps", "POST", job, R"({"spec":"x"})", key, 400},
      {"empty steps", "POST", job, R"({"steps":[]})", key, 400},
      {"negative count", "POST", job, R"({"steps":[{"count":-1}]})", key, 400},
      {"huge count", "POST", job, R"({"steps":[{"count":4000000000000}]})", key,
       400},
      {"wrong type", "POST", job, R"({"steps":[{"count":"2"}]})", key, 400},
      {"forward dependency", "POST", job,
       R"({"steps":[{"count":1,"depends_on":[0]}]})", key, 400},
      {"payload too large", "POST", job,
       R"({"spec":")" + std::string(5000, 'x') + R"(","steps":[{"count":1}]})",
       key, 400},
      {"body too large", "POST", job, std::string(70000, ' '), key, 413},
      {"no job's id", "POST", HostedCluster::QueuePrefix(1) + "zz", good, key,
       404},
      {"unknown job", "GET", job, "", key, 410},
      {"unknown job", "DELETE", job, "", key, 410},
      {"other method", "PUT", job, good, key, 405},
      {"queue length", "GET", HostedCluster::QueuePrefix(1), "", key, 200},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto response =
        scenario.cluster().Call(0, row.method, row.target, row.body, row.key);
    REQUIRE(response.has_value());
    CHECK(response->status == row.status);
    if (row.status >= 400) CHECK(!response->body.empty());
  }
  CHECK(scenario.cluster().Runs().empty());
}

TEST_CASE("a revoked key is refused at every entry") {
  HostedScenario scenario;
  REQUIRE(scenario.cluster().PublishConfiguration(/*with_account_key=*/false));
  for (int entry = 0; entry < 3; ++entry) {
    TestJob job;
    job.id = JobId(entry);
    CHECK(HostedCluster::Eventually(
        [&] { return scenario.cluster().Submit(entry, job) == 401; }));
  }
}

TEST_CASE("an entry without the store accepts no key that may be revoked") {
  HostedScenario scenario;
  HostedCluster& cluster = scenario.cluster();
  const TestJob job = scenario.Submit(1, {Step(1, 1)}, 50);
  REQUIRE(HostedCluster::Eventually(
      [&] { return cluster.State(0, job) == "completed"; }));
  REQUIRE(cluster.ControlStoreProxy(0, {{"freeze", true}}));
  REQUIRE(cluster.PublishConfiguration(/*with_account_key=*/false));
  // After this time revocations must be effective, but the entry cannot learn
  // of this one.
  HostedCluster::Eventually([] { return false; }, std::chrono::seconds(5));
  const auto answer =
      cluster.Call(0, "GET", HostedCluster::QueuePrefix(1) + job.id, "",
                   HostedCluster::AccountKey());
  REQUIRE(answer.has_value());
  CHECK(answer->status == 503);
  CHECK(answer->headers.Has("Retry-After"));
  REQUIRE(cluster.ControlStoreProxy(0, {{"freeze", false}}));
  CHECK(
      HostedCluster::Eventually([&] { return cluster.Submit(0, job) == 401; }));
}

TEST_CASE("an entry without the store reports only final states") {
  HostedScenario scenario;
  HostedCluster& cluster = scenario.cluster();
  const TestJob done = scenario.Submit(1, {Step(1, 1)}, 50);
  const TestJob running = scenario.Submit(2, {Step(1, 1)}, 2000);
  REQUIRE(HostedCluster::Eventually([&] {
    return cluster.State(0, done) == "completed" &&
           cluster.State(0, running) == "running";
  }));
  REQUIRE(cluster.ControlStoreProxy(0, {{"freeze", true}}));
  const auto query_running = [&] {
    return cluster.Call(
        0, "GET", HostedCluster::QueuePrefix(running.priority) + running.id, "",
        HostedCluster::AccountKey());
  };
  REQUIRE(HostedCluster::Eventually([&] {
    const auto answer = query_running();
    return answer && answer->status == 503;
  }));
  // Asked as soon as the entry lacks the store: later it refuses every key,
  // since it may have been revoked.
  CHECK(cluster.State(0, done) == "completed");
  // The other entries continue and report the end of the job. This entry must
  // not report an older state.
  REQUIRE(HostedCluster::Eventually(
      [&] { return cluster.State(1, running) == "completed"; }));
  const auto stale = query_running();
  REQUIRE(stale.has_value());
  CHECK(stale->status == 503);
  CHECK(stale->headers.Has("Retry-After"));
  REQUIRE(cluster.ControlStoreProxy(0, {{"freeze", false}}));
  CHECK(HostedCluster::Eventually(
      [&] { return cluster.State(0, running) == "completed"; }));
  scenario.AwaitAndCheckJobs();
}

TEST_CASE("directory entries of other writers have no effect") {
  HostedScenario scenario;
  HostedCluster& cluster = scenario.cluster();
  scenario.Submit(0, {Step(12, 1)}, 300);
  REQUIRE(HostedCluster::Eventually([&] { return cluster.Runs().size() > 6; }));
  // The key of a live worker, which rewrites its own entry within a second.
  const std::string own = cluster.Runs().front()["worker"].get<std::string>();
  const std::string stray =
      R"({"service":"nobody","addr":"127.0.0.1:1","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":64000,"mem_mb":256000,"gpu":8},"labels":["a","r"]})";
  const std::vector<std::pair<std::string, std::string>> entries = {
      {"foreign", "no JSON"},
      {"foreign-2", "{}"},
      {"foreign\n3", stray},
      {"foreign-4", stray},
      {"foreign-5", R"({"service":7,"addr":[],"state":"asleep"})"},
      {own, R"({"state":"ready"})"},
  };
  const auto publish = [&] {
    for (const auto& [key, value] : entries) {
      CHECK(cluster.ControlStore({{"put_directory", value}, {"key", key}}));
    }
  };
  publish();
  for (int i = 1; i < 4; ++i) {
    scenario.Submit(i, {Step(12, 2), Step(4, 1, {0})}, 300);
  }
  // The next leader reads all of them at once, as the newest value of each key.
  publish();
  const int leader = cluster.Leader();
  cluster.entry(leader).Kill();
  cluster.StartEntry(leader);
  scenario.Submit(4, {Step(48, 1)}, 300);
  scenario.AwaitAndCheckJobs();
  for (const Json& run : cluster.Runs()) {
    CHECK(run["worker"].get<std::string>().rfind("foreign", 0) ==
          std::string::npos);
  }
}

TEST_CASE("a cancelled job stops, also if the leader is killed right after") {
  for (const bool kill : {false, true}) {
    CAPTURE(kill);
    HostedScenario scenario;
    const TestJob job = scenario.Submit(1, {Step(8, 1), Step(8, 1, {0})}, 1500);
    REQUIRE(HostedCluster::Eventually(
        [&] { return !scenario.cluster().Runs().empty(); }));
    scenario.Cancel(job);
    if (kill) scenario.cluster().entry(scenario.cluster().Leader()).Kill();
    CHECK(HostedCluster::Eventually([&] {
      for (const Json& run : scenario.cluster().Runs()) {
        if (IntField(run, "ended_ms").value_or(-1) < 0) return false;
      }
      return true;
    }));
    if (kill) {
      for (int i = 0; i < 3; ++i) {
        if (!scenario.cluster().entry(i).running()) {
          scenario.cluster().StartEntry(i);
        }
      }
    }
    scenario.AwaitAndCheckJobs();
  }
}

TEST_CASE("steps that need advice run on approved executors, with a ticket") {
  HostedClusterSettings settings;
  settings.requires_advice = true;
  HostedScenario scenario(settings);
  HostedCluster& cluster = scenario.cluster();
  for (int i = 0; i < 4; ++i) {
    scenario.Submit(i, {Step(4, 2), Step(2, 1, {0})}, 300);
  }
  // Without the advisor new steps wait, and start when it answers again. This
  // also holds after a change of the leader, which does not have the earlier
  // advice.
  REQUIRE(cluster.ControlAdvisor({{"silent", true}}));
  const TestJob waiting = scenario.Submit(4, {Step(2, 1)}, 100);
  const int leader = cluster.Leader();
  cluster.entry(leader).Kill();
  cluster.StartEntry(leader);
  CHECK(HostedCluster::Eventually(
      [&] { return cluster.State(0, waiting) == "queued"; }));
  REQUIRE(cluster.ControlAdvisor({{"silent", false}}));
  scenario.AwaitAndCheckJobs();
}

TEST_CASE(
    "filler tasks are throttled until a serving task meets its tail latency") {
  HostedClusterSettings settings;
  settings.executors = 1;
  HostedScenario scenario(settings);
  HostedCluster& cluster = scenario.cluster();
  TestJob server;
  server.id = JobId(1);
  server.work_ms = 60000;
  server.tail_latency_ms = 50;
  server.steps[0].long_running = true;
  server.steps[0].tail_latency_target_ms = 100;
  // At full speed it adds 150 ms; the target leaves 50 ms.
  TestJob filler;
  filler.id = JobId(2);
  filler.work_ms = 60000;
  filler.interference_ms = 150;
  filler.steps[0].long_running = true;
  filler.steps[0].is_filler = true;
  filler.steps[0].accelerators = 0;
  scenario.Submit(server);
  scenario.Submit(filler);
  const auto tail_is_well = [&] {
    for (const Json& run : cluster.Runs()) {
      const int64_t load = IntField(run, "load").value_or(0);
      if (run["task"] == server.id + ".0.0.0" && load > 0) return load <= 100;
    }
    return false;
  };
  const auto filler_is_slowed = [&] {
    for (const Json& run : cluster.Runs()) {
      if (run["task"] != filler.id + ".0.0.0") continue;
      return IntField(run, "pace").value_or(100) <= 25;
    }
    return false;
  };
  CHECK(HostedCluster::Eventually(
      [&] { return filler_is_slowed() && tail_is_well(); }));
  scenario.Cancel(server);
  scenario.Cancel(filler);
  scenario.AwaitAndCheckJobs();
}

TEST_CASE("an urgent job takes accelerators from other jobs") {
  HostedScenario scenario;
  // Uses all 48 accelerators for 8 s.
  const TestJob filler = scenario.Submit(1, {Step(48, 1)}, 8000, 2);
  REQUIRE(HostedCluster::Eventually(
      [&] { return scenario.cluster().Runs().size() >= 48; }));
  TestStep gang = Step(2, 8);
  gang.gang = true;
  const TestJob urgent = scenario.Submit(2, {gang}, 200, 0);
  CHECK(HostedCluster::Eventually(
      [&] { return scenario.cluster().State(0, urgent) == "completed"; },
      std::chrono::seconds(6)));
  CHECK(scenario.cluster().State(0, filler) == "running");
  scenario.Cancel(filler);
  scenario.AwaitAndCheckJobs();
}

}  // namespace
}  // namespace thornplank
