// Jobs while entries are killed, suspended and restarted.
#include <doctest/doctest.h>

#include <csignal>
#include <map>
#include <string>
#include <vector>

#include "job_observer.h"
#include "test_cluster.h"

namespace thornplank {
namespace {

constexpr int kWorkers = 6;
constexpr int kAcceleratorsPerWorker = 8;
// Long enough that the job is still running after a takeover.
constexpr Milliseconds kLongRun{12000};
constexpr Milliseconds kShortRun{300};
constexpr Milliseconds kSurvivorStopLimit{24000};

TestClusterSettings Settings(int lease_term_ms) {
  TestClusterSettings settings;
  settings.workers = kWorkers;
  settings.entry_overrides = {
      {"jobs",
       {{"lease_term_ms", lease_term_ms}, {"renewal_interval_ms", 1000}}}};
  return settings;
}

// Checks that every member of the job was started once and finished by itself.
void CheckRanOnceUndisturbed(JobObserver* jobs, const std::string& id,
                             int members) {
  std::map<std::string, std::vector<std::string>> leases;
  for (const LeaseEvent& event : jobs->History()) {
    if (event.job_id == id) leases[event.lease_id].push_back(event.type);
  }
  CHECK(leases.size() == static_cast<size_t>(members));
  for (const auto& lease : leases) {
    CAPTURE(lease.first);
    const std::vector<std::string>& what = lease.second;
    REQUIRE(what.size() >= 3);
    CHECK(what[0] == "granted");
    CHECK(what[1] == "started");
    CHECK(what[2] == "finished");
  }
}

// Gang ids begin with the epoch of the coordinator that granted the gang.
bool IsOfEpoch(const std::string& gang_id, int64_t epoch) {
  return gang_id.rfind("g" + std::to_string(epoch) + "-", 0) == 0;
}

TEST_CASE(
    "an acknowledged job survives the loss of its entry and the coordinator") {
  const TestClusterSettings settings = Settings(15000);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  JobObserver jobs(&cluster, settings);
  const int coordinator = jobs.AwaitCoordinator(-1);
  REQUIRE(coordinator >= 0);
  const int accepting_entry = (coordinator + 1) % settings.entries;

  const std::string running = jobs.Submit(
      accepting_entry,
      JobObserver::MakeJob("north", 4, kAcceleratorsPerWorker, kLongRun));
  REQUIRE(jobs.AwaitPhase(running, "running"));
  const std::string waiting = jobs.Submit(
      accepting_entry,
      JobObserver::MakeJob("north", 3, kAcceleratorsPerWorker, kShortRun));
  REQUIRE_FALSE(waiting.empty());
  cluster.entry(accepting_entry).Kill();
  cluster.entry(coordinator).Kill();

  const int successor = jobs.AwaitCoordinator(coordinator);
  REQUIRE(successor >= 0);
  CHECK(jobs.AwaitPhase(running, "finished"));
  CHECK(jobs.AwaitPhase(waiting, "finished"));
  CheckRanOnceUndisturbed(&jobs, running, 4);
  CheckRanOnceUndisturbed(&jobs, waiting, 3);
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
}

TEST_CASE(
    "a coordinator suspended beyond the end of its epoch starts nothing") {
  const TestClusterSettings settings = Settings(6000);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  JobObserver jobs(&cluster, settings);
  const int former = jobs.AwaitCoordinator(-1);
  REQUIRE(former >= 0);

  // The running gang ends while the former coordinator is suspended, so that it
  // would place the waiting jobs as soon as it resumes.
  const std::string running = jobs.Submit(
      0, JobObserver::MakeJob("north", kWorkers, kAcceleratorsPerWorker,
                              kLongRun / 2));
  REQUIRE(jobs.AwaitPhase(running, "running"));
  const std::vector<std::string> waiting = jobs.SubmitMany(
      0,
      JobObserver::MakeJob("north", kWorkers, kAcceleratorsPerWorker,
                           kShortRun * 5),
      3);
  const int64_t old_epoch = jobs.NewestEpoch(0);
  cluster.entry(former).Suspend();
  jobs.ExcludeEntry(former);
  const int successor = jobs.AwaitCoordinator(former);
  REQUIRE(successor >= 0);
  for (int worker = 0; worker < kWorkers; ++worker) {
    CAPTURE(worker);
    CHECK(TestCluster::Eventually(
        [&] { return jobs.NewestEpoch(worker) > old_epoch; }));
  }
  CHECK(TestCluster::Eventually(
      [&] { return jobs.Count(waiting[0], "started") == kWorkers; }));
  cluster.entry(former).Resume();

  CHECK(jobs.AwaitPhase(running, "finished"));
  CheckRanOnceUndisturbed(&jobs, running, kWorkers);
  for (const std::string& id : waiting) {
    CAPTURE(id);
    CHECK(jobs.AwaitPhase(id, "finished"));
    CheckRanOnceUndisturbed(&jobs, id, kWorkers);
  }
  CHECK(TestCluster::Eventually(
      [&] { return !cluster.Events(former, 502).empty(); }));
  for (const LeaseEvent& event : jobs.History()) {
    if (event.job_id == running) {
      CHECK(IsOfEpoch(event.gang_id, old_epoch));
      continue;
    }
    CHECK_FALSE(IsOfEpoch(event.gang_id, old_epoch));
  }
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
}

TEST_CASE("jobs survive a restart of all entries, and running ones continue") {
  const TestClusterSettings settings = Settings(15000);
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  JobObserver jobs(&cluster, settings);
  REQUIRE(jobs.AwaitCoordinator(-1) >= 0);
  const std::string running = jobs.Submit(
      0, JobObserver::MakeJob("north", 4, kAcceleratorsPerWorker, kLongRun));
  REQUIRE(jobs.AwaitPhase(running, "running"));
  const std::string waiting = jobs.Submit(
      1, JobObserver::MakeJob("north", 3, kAcceleratorsPerWorker, kShortRun));
  REQUIRE_FALSE(waiting.empty());

  for (int i = 0; i < settings.entries; ++i) cluster.entry(i).Kill();
  for (int i = 0; i < settings.entries; ++i) cluster.StartEntry(i);
  for (int i = 0; i < settings.entries; ++i) REQUIRE(cluster.WaitReady(i));
  CHECK_FALSE(jobs.Phase(running).empty());
  CHECK_FALSE(jobs.Phase(waiting).empty());
  CHECK(jobs.AwaitPhase(running, "finished"));
  CHECK(jobs.AwaitPhase(waiting, "finished"));
  CheckRanOnceUndisturbed(&jobs, running, 4);
  CheckRanOnceUndisturbed(&jobs, waiting, 3);
  CHECK(jobs.CheckGangs(kSurvivorStopLimit) == "");
}

}  // namespace
}  // namespace thornplank
