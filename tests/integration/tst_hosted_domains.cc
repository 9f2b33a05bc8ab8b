// A failure domain that operators closed gets no new work, also after a change
// of the leader.
#include <doctest/doctest.h>

#include <csignal>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "hosted_cluster.h"

namespace thornplank {
namespace {

constexpr int kClosedEvent = 937;
constexpr int kOpenedEvent = 938;

// A cluster with six executors in two racks. x0 to x2 are in failure domain a,
// the others in b.
class DomainFixture {
 public:
  DomainFixture() : cluster_(HostedClusterSettings()) {
    REQUIRE(cluster_.Start());
    REQUIRE(
        HostedCluster::Eventually([this] { return cluster_.Leader() >= 0; }));
  }

  HostedCluster& cluster() { return cluster_; }

  void WaitForEvents(int number, size_t count, const std::set<int>& entries) {
    for (const int entry : entries) {
      REQUIRE(HostedCluster::Eventually(
          [&] { return cluster_.Events(entry, number).size() >= count; }));
    }
  }

  // Runs one job whose tasks each need a whole executor, and returns the
  // executors that ran them.
  std::set<std::string> Run(int tasks, int entry) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", ++jobs_);
    TestJob job;
    job.id = id;
    job.steps[0].count = tasks;
    job.steps[0].accelerators = 8;
    job.work_ms = 50;
    CHECK(HostedCluster::Eventually(
        [&] { return cluster_.Submit(entry, job) == 200; }));
    CHECK(HostedCluster::Eventually(
        [&] { return cluster_.State(entry, job) == "completed"; }));
    std::set<std::string> executors;
    for (const Json& run : cluster_.Runs()) {
      const std::string task = run["task"];
      if (task.compare(0, 16, id) != 0) continue;
      const std::string worker = run["worker"];
      executors.insert(worker.substr(0, 2));
    }
    return executors;
  }

 private:
  HostedCluster cluster_;
  int jobs_ = 0;
};

bool IsInDomainA(const std::string& executor) { return executor < "x3"; }

TEST_CASE("a closed failure domain gets nothing, also from the next leader") {
  DomainFixture fixture;
  HostedCluster& cluster = fixture.cluster();
  const int first = cluster.Leader();
  REQUIRE(
      cluster.ControlStore({{"put_operator", "{}"}, {"key", "evacuate/a"}}));
  // A failure domain that does not exist, with a malformed value.
  REQUIRE(cluster.ControlStore(
      {{"put_operator", "[1,"}, {"key", "evacuate/nowhere"}}));
  fixture.WaitForEvents(kClosedEvent, 2, {0, 1, 2});
  for (const std::string& executor : fixture.Run(6, 0)) {
    CHECK_FALSE(IsInDomainA(executor));
  }

  cluster.entry(first).Signal(SIGKILL);
  REQUIRE(HostedCluster::Eventually([&] {
    const int leader = cluster.Leader();
    return leader >= 0 && leader != first;
  }));
  const int alive = (first + 1) % 3;
  for (const std::string& executor : fixture.Run(6, alive)) {
    CHECK_FALSE(IsInDomainA(executor));
  }

  REQUIRE(cluster.ControlStore({{"drop_operator", "evacuate/a"}}));
  fixture.WaitForEvents(kOpenedEvent, 1, {alive});
  fixture.WaitForEvents(kOpenedEvent, 1, {(first + 2) % 3});
  CHECK(fixture.Run(6, alive).size() == 6);
}

}  // namespace
}  // namespace thornplank
