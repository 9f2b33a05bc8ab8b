// How long a new leader waits for runs on workers that it cannot ask.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

// Longer than it takes a leader to record what it knows of its workers.
constexpr Milliseconds kReign{1600};

void Wait(Cluster* cluster, Milliseconds time) {
  RunUntil(
      cluster->io, [] { return false; }, time);
}

// Ends the process of the leader, and waits until another one leads.
Entry& ReplaceLeader(Cluster* cluster) {
  auto& entries = cluster->entries;
  const auto leads = [](const auto& entry) {
    return entry->coordinator().leading();
  };
  entries.erase(std::find_if(entries.begin(), entries.end(), leads));
  REQUIRE(RunUntil(cluster->io, [&] { return cluster->leaders() == 1; }));
  return **std::find_if(entries.begin(), entries.end(), leads);
}

Time LeaseBound(const Entry& leader, const std::string& worker) {
  return leader.coordinator().fleet()->trackers().at(worker).lease_bound();
}

struct Row {
  const char* name;
  bool listed;
};

// Guards against a wait that is counted from the takeover, and that leaves too
// little of the 14 s after which every job must be at work again for the time
// in which leadership was vacant.
TEST_CASE("the wait for a worker counts from the last sign of the leader") {
  const ClusterCoordinatorSettings settings;
  const Milliseconds longest_wait =
      settings.leadership_timeout +
      WorkerTracker::MaxLeaseDuration(settings.bounds.lease_term());
  Cluster cluster;
  Entry& first = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return first.Knows(2); }));
  cluster.Add("b");
  cluster.Submit({MakeStep(2, 8)}, 60000);
  REQUIRE(
      RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 2; }));
  cluster.calls.dead = {"w2"};
  const Time lost = std::chrono::steady_clock::now();
  const Time bound = LeaseBound(ReplaceLeader(&cluster), "w2");
  const Duration vacancy = std::chrono::steady_clock::now() - lost;
  CHECK(bound - lost < longest_wait + vacancy / 2);
  CHECK(bound - lost > longest_wait - vacancy / 2);
}

// Guards against jobs that have nothing running for longer with each change of
// the leader: every leader waited for the longest lease that its predecessor
// could have given to a worker that nobody reaches, counted from its own
// takeover.
TEST_CASE("a second change of leader does not prolong the wait for a worker") {
  for (const Row& row : {Row{"the worker has left the directory", false},
                         Row{"the worker is silent", true}}) {
    CAPTURE(row.name);
    Cluster cluster;
    Entry& first = cluster.Add("a");
    REQUIRE(RunUntil(cluster.io, [&] { return first.Knows(2); }));
    cluster.Add("b");
    cluster.Add("c");
    StepSpec gang = MakeStep(2, 8);
    gang.gang = true;
    cluster.Submit({gang}, 60000);
    REQUIRE(
        RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 2; }));
    cluster.calls.dead = {"w2"};
    if (!row.listed) cluster.Append(kWorkers, {"w2", std::nullopt, 0});
    const Time second_bound = LeaseBound(ReplaceLeader(&cluster), "w2");
    const Time begun = std::chrono::steady_clock::now();
    Wait(&cluster, kReign);
    const Time third_bound = LeaseBound(ReplaceLeader(&cluster), "w2");
    const Duration reign = std::chrono::steady_clock::now() - begun;
    CHECK(third_bound - second_bound < reign / 2);
  }
}

}  // namespace
}  // namespace thornplank::testing
