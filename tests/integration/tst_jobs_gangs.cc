// Gangs run with all members or not at all, with lost members, failing workers,
// hanging checkpoints, drains and many cancellations at a time.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "job_observer.h"
#include "test_cluster.h"

namespace thornplank {
namespace {

constexpr int kAcceleratorsPerWorker = 8;
constexpr Milliseconds kUnboundedRun{600000};
constexpr Milliseconds kShortRun{300};
// Limit for the stop of a gang's other members, from docs/design/jobs.md with
// the settings below: 0.55 s until the next renewal, 5 s until the worker is
// regarded as lost, 2 x 2 s for the stop.
constexpr Milliseconds kSurvivorStopLimit{9550};
constexpr int kWorkerJudgedEvent = 510;

TestClusterSettings Settings(int workers) {
  TestClusterSettings settings;
  settings.workers = workers;
  settings.entry_overrides = {
      {"jobs", {{"lease_term_ms", 3000}, {"renewal_interval_ms", 500}}}};
  return settings;
}

int64_t NowMs() { return ToUnixMilliseconds(std::chrono::system_clock::now()); }

bool Contains(const std::vector<int>& workers, int worker) {
  return std::find(workers.begin(), workers.end(), worker) != workers.end();
}

// Workers of the job's current gang, as an entry reports it.
std::vector<int> CurrentWorkers(JobObserver* jobs, const std::string& id) {
  std::vector<int> workers;
  const Json job = jobs->Job(id);
  const Json* gang = ArrayField(job, "gang");
  if (gang == nullptr) return workers;
  for (const Json& member : *gang) {
    const std::string name = StringField(member, "worker").value_or("w");
    workers.push_back(std::atoi(name.c_str() + 1));
  }
  return workers;
}

bool AwaitRunningWithout(JobObserver* jobs, const std::string& id, int worker,
                         size_t members) {
  return TestCluster::Eventually(
      [&] {
        const std::vector<int> current = CurrentWorkers(jobs, id);
        return current.size() == members && !Contains(current, worker) &&
               jobs->Phase(id) == "running";
      },
      std::chrono::seconds(40));
}

TEST_CASE(
    "a gang that loses a worker is stopped and restarted on other workers") {
  const TestClusterSettings settings = Settings(6);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  JobObserver jobs(&cluster, settings);
  for (const char* fault : {"dead", "freeze"}) {
    CAPTURE(fault);
    const std::string id =
        jobs.Submit(0, JobObserver::MakeJob("north", 3, 6, kUnboundedRun));
    REQUIRE(jobs.AwaitPhase(id, "running"));
    const std::vector<int> before = CurrentWorkers(&jobs, id);
    REQUIRE(before.size() == 3);
    const std::string lost = cluster.worker_address(before[0]);
    REQUIRE(cluster.Control(lost, {{fault, true}}));
    CHECK(AwaitRunningWithout(&jobs, id, before[0], 3));
    CHECK(jobs.Count(id, "started") == 6);
    CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
    cluster.Call(1, "DELETE", "/v1/jobs/" + id);
    CHECK(jobs.AwaitPhase(id, "cancelled"));
    REQUIRE(cluster.Control(lost, {{"revive", true}}));
  }
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
}

TEST_CASE("a gang does not start before all of its members are granted") {
  const TestClusterSettings settings = Settings(6);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  JobObserver jobs(&cluster, settings);
  REQUIRE(jobs.AwaitCoordinator(-1) >= 0);
  const std::string silent = cluster.worker_address(5);
  REQUIRE(cluster.Control(silent, {{"freeze", true}}));
  const std::string id = jobs.Submit(
      0, JobObserver::MakeJob("north", 6, kAcceleratorsPerWorker, kShortRun));
  // The other members were granted, not started, and released.
  CHECK(
      TestCluster::Eventually([&] { return jobs.Count(id, "stopped") >= 5; }));
  CHECK(jobs.Count(id, "granted") >= 5);
  CHECK(jobs.Count(id, "started") == 0);
  REQUIRE(cluster.Control(silent, {{"revive", true}}));
  CHECK(jobs.AwaitPhase(id, "finished"));
  CHECK(jobs.Count(id, "started") == 6);
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
}

TEST_CASE("a gang on a drained worker is moved as a whole") {
  const TestClusterSettings settings = Settings(6);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  JobObserver jobs(&cluster, settings);
  const std::string id =
      jobs.Submit(0, JobObserver::MakeJob("north", 2, 6, kUnboundedRun));
  REQUIRE(jobs.AwaitPhase(id, "running"));
  const std::vector<int> before = CurrentWorkers(&jobs, id);
  REQUIRE(before.size() == 2);
  const auto drained = cluster.Call(
      1, "POST", "/v1/drains/w" + std::to_string(before[0]), Json::object());
  REQUIRE(drained.has_value());
  CHECK(drained->status == 200);
  CHECK(AwaitRunningWithout(&jobs, id, before[0], 2));
  CHECK(jobs.Count(id, "checkpointed") == 2);
  CHECK(jobs.Count(id, "started") == 4);
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");

  const std::string later =
      jobs.Submit(2, JobObserver::MakeJob("north", 3, 6, kShortRun));
  CHECK(jobs.AwaitPhase(later, "finished"));
  CHECK_FALSE(Contains(jobs.WorkersOf(later), before[0]));
}

TEST_CASE("a worker that fails all tasks is detected and avoided") {
  const TestClusterSettings settings = Settings(12);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  JobObserver jobs(&cluster, settings);
  REQUIRE(
      cluster.Control(cluster.worker_address(0), {{"fail_everything", true}}));
  // The jobs need every worker, so that the failing one is used.
  const Json job =
      JobObserver::MakeJob("north", 2, kAcceleratorsPerWorker, kShortRun);
  std::vector<std::string> ids = jobs.SubmitMany(0, job, 12);
  CHECK(jobs.AwaitPhases(ids, "finished"));
  const int coordinator = jobs.AwaitCoordinator(-1);
  REQUIRE(coordinator >= 0);
  CHECK(cluster.Events(coordinator, kWorkerJudgedEvent).size() == 1);

  const std::vector<std::string> later = jobs.SubmitMany(1, job, 12);
  CHECK(jobs.AwaitPhases(later, "finished"));
  for (const std::string& id : later) {
    CAPTURE(id);
    CHECK_FALSE(Contains(jobs.WorkersOf(id), 0));
  }
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
}

TEST_CASE("a hanging checkpoint does not block a guaranteed job") {
  const TestClusterSettings settings = Settings(6);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  const Json shape = {{"members", 2}, {"accelerators", 8}, {"count", 1}};
  REQUIRE(cluster.PutNode(
      0, "north",
      {{"kind", "account"}, {"guaranteed_shapes", Json::array({shape})}}));
  REQUIRE(cluster.PutNode(
      0, "south", {{"kind", "account"}, {"checkpoint_deadline_ms", 1000}}));
  JobObserver jobs(&cluster, settings);
  const std::vector<std::string> borrowers = jobs.SubmitMany(
      0,
      JobObserver::MakeJob("south", 3, kAcceleratorsPerWorker, kUnboundedRun),
      2);
  REQUIRE(jobs.AwaitPhases(borrowers, "running"));
  for (int i = 0; i < settings.workers; ++i) {
    REQUIRE(cluster.Control(cluster.worker_address(i),
                            {{"hang_checkpoint", true}}));
  }
  const std::string guaranteed = jobs.Submit(
      1,
      JobObserver::MakeJob("north", 2, kAcceleratorsPerWorker, kUnboundedRun));
  CHECK(jobs.AwaitPhase(guaranteed, "running"));
  const int stopped =
      jobs.Count(borrowers[0], "stopped") + jobs.Count(borrowers[1], "stopped");
  CHECK(stopped == 3);
  CHECK(jobs.Count(borrowers[0], "checkpointing") +
            jobs.Count(borrowers[1], "checkpointing") ==
        3);
  CHECK(jobs.Count(borrowers[0], "checkpointed") +
            jobs.Count(borrowers[1], "checkpointed") ==
        0);
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
}

TEST_CASE("many cancellations at a time, and jobs that cannot run") {
  const TestClusterSettings settings = Settings(6);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  JobObserver jobs(&cluster, settings);

  const auto impossible = cluster.Call(
      0, "POST", "/v1/jobs",
      JobObserver::MakeJob("north", 7, kAcceleratorsPerWorker, kShortRun));
  REQUIRE(impossible.has_value());
  CHECK(impossible->status == 422);
  const Json problem = ParseJson(impossible->body).value_or(Json::object());
  CHECK_FALSE(StringField(problem, "detail").value_or("").empty());
  Json failing = JobObserver::MakeJob("north", 2, 1, kShortRun);
  failing["task"] = {{"run_ms", 300}, {"fails", true}};
  const std::string failed = jobs.Submit(0, failing);
  CHECK(jobs.AwaitPhase(failed, "failed"));
  CHECK_FALSE(StringField(jobs.Job(failed), "reason").value_or("").empty());

  // Half of the waiting jobs are cancelled while the blocker releases its
  // workers.
  const std::string blocker = jobs.Submit(
      0,
      JobObserver::MakeJob("north", 6, kAcceleratorsPerWorker, kUnboundedRun));
  REQUIRE(jobs.AwaitPhase(blocker, "running"));
  const std::vector<std::string> ids = jobs.SubmitMany(
      0, JobObserver::MakeJob("north", 2, kAcceleratorsPerWorker, kShortRun),
      40);
  std::vector<int64_t> answered(ids.size(), 0);
  std::vector<std::thread> callers;
  callers.reserve(static_cast<size_t>(settings.entries));
  for (int caller = 0; caller < settings.entries; ++caller) {
    callers.emplace_back([&, caller] {
      if (caller == 0) cluster.Call(0, "DELETE", "/v1/jobs/" + blocker);
      for (size_t i = 1; i < ids.size(); i += 2) {
        if (static_cast<int>(i / 2) % settings.entries != caller) continue;
        const auto answer =
            cluster.Call(caller, "DELETE", "/v1/jobs/" + ids[i]);
        if (answer && answer->status == 202) answered[i] = NowMs();
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  int cancelled = 0;
  for (size_t i = 0; i < ids.size(); ++i) {
    CAPTURE(i);
    REQUIRE_FALSE(ids[i].empty());
    if (i % 2 == 0) {
      CHECK(jobs.AwaitPhase(ids[i], "finished"));
      continue;
    }
    CHECK(answered[i] > 0);
    const std::string phase = jobs.Phase(ids[i]);
    CHECK((phase == "cancelled" || phase == "finished"));
    if (phase == "cancelled") ++cancelled;
  }
  CHECK(cancelled > 0);
  for (const LeaseEvent& event : jobs.History()) {
    const auto at = std::find(ids.begin(), ids.end(), event.job_id);
    if (at == ids.end() || event.type != "started") continue;
    const int64_t cancelled_ms = answered[at - ids.begin()];
    CHECK((cancelled_ms == 0 || event.time_ms <= cancelled_ms));
  }
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
}

}  // namespace
}  // namespace thornplank
