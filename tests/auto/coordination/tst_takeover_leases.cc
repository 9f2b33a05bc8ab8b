// How long a new leader waits for runs on workers that it cannot ask.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

// Longer than it takes a leader to find that a worker is silent, and to record
// that.
constexpr Milliseconds kReign{2500};

void Wait(Cluster* cluster, Milliseconds time) {
  RunUntil(
      cluster->io, [] { return false; }, time);
}

Time LeaseBound(const Entry& leader, const std::string& worker) {
  return leader.coordinator().fleet()->trackers().at(worker).lease_bound();
}

struct Row {
  std::string name;
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
  const Time bound = LeaseBound(cluster.ReplaceLeader(), "w2");
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
    const Time second_bound = LeaseBound(cluster.ReplaceLeader(), "w2");
    const Time begun = std::chrono::steady_clock::now();
    Wait(&cluster, kReign);
    const Time third_bound = LeaseBound(cluster.ReplaceLeader(), "w2");
    const Duration reign = std::chrono::steady_clock::now() - begun;
    CHECK(third_bound - second_bound < reign / 2);
  }
}

// Guards against a successor that takes a run for ended whose leases were
// renewed after the board said that they were not.
TEST_CASE("a worker that answers again is renewed once the board allows it") {
  Cluster cluster;
  Entry& leader = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return leader.Knows(2); }));
  cluster.Submit({MakeStep(2, 8)}, 60000);
  REQUIRE(
      RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 2; }));
  cluster.calls.dead = {"w2"};
  const auto is_stopped = [&] {
    return leader.board().renewal_stops().has_value();
  };
  REQUIRE(RunUntil(cluster.io, is_stopped));
  cluster.store.refused_producer = "progress";
  const int before = cluster.calls.renewals["w2"];
  cluster.calls.dead.clear();
  const auto answers = [&] {
    return leader.coordinator().fleet()->trackers().at("w2").reachable();
  };
  REQUIRE(RunUntil(cluster.io, answers));
  Wait(&cluster, Milliseconds(600));
  CHECK(cluster.calls.renewals["w2"] == before);
  cluster.store.refused_producer.clear();
  CHECK(RunUntil(cluster.io,
                 [&] { return cluster.calls.renewals["w2"] > before; }));
  CHECK(RunUntil(cluster.io, [&] { return !is_stopped(); }));
}

// Guards against a run that is taken for ended too early: a lease covers all
// that runs on a worker, also a task that a later leader starts there.
TEST_CASE("a worker without runs may have leases of the previous leader") {
  Cluster cluster;
  Entry& first = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return first.Knows(2); }));
  cluster.Add("b");
  Entry& second = cluster.ReplaceLeader();
  REQUIRE(RunUntil(cluster.io, [&] { return second.Knows(2); }));
  const WorkerBounds bounds;
  CHECK(LeaseBound(second, "w1") >
        std::chrono::steady_clock::now() + bounds.lease_term());
}

// Guards against a record that is believed although a leader after its writer
// may have renewed the leases.
TEST_CASE("only the record of the leader just before counts") {
  struct Case {
    const char* name;
    int64_t epoch;
    bool counts;
  };
  for (const Case& row :
       {Case{"an earlier one", 0, false}, Case{"the one before", 1, true},
        Case{"the own epoch", 2, false}}) {
    CAPTURE(row.name);
    Cluster cluster;
    Entry& first = cluster.Add("a");
    REQUIRE(RunUntil(cluster.io, [&] { return first.Knows(2); }));
    REQUIRE(first.coordinator().epoch() == 1);
    cluster.Add("b");
    cluster.Submit({MakeStep(2, 8)}, 60000);
    REQUIRE(
        RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 2; }));
    const RenewalStopRecord record{row.epoch, {{"w2", Milliseconds(0)}}};
    cluster.Append(kBoard, JobBoard::RenewalStops(EncodeRenewalStops(record)));
    cluster.calls.dead = {"w2"};
    const Entry& second = cluster.ReplaceLeader();
    const bool believed =
        LeaseBound(second, "w2") <= std::chrono::steady_clock::now();
    CHECK(believed == row.counts);
  }
}

}  // namespace
}  // namespace thornplank::testing
