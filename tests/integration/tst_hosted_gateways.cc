// Hosted entries of which only some are replicas: the others forward calls, and
// take over when the replicas are lost.
#include <doctest/doctest.h>

#include <csignal>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "hosted_scenario.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

constexpr int kEntries = 6;
constexpr int kReplicas = 2;

HostedClusterSettings Settings() {
  HostedClusterSettings settings;
  settings.entries = kEntries;
  settings.min_replicas = kReplicas;
  return settings;
}

std::vector<int> Replicas(HostedCluster* cluster) {
  std::vector<int> replicas;
  for (int i = 0; i < kEntries; ++i) {
    if (cluster->IsReplica(i)) replicas.push_back(i);
  }
  return replicas;
}

// Waits until as many entries as wanted are replicas, the leader among them.
bool AwaitReplicas(HostedCluster* cluster) {
  return HostedCluster::Eventually([cluster] {
    return cluster->Leader() >= 0 && Replicas(cluster).size() == kReplicas &&
           cluster->IsReplica(cluster->Leader());
  });
}

int AnyGateway(HostedCluster* cluster) {
  for (int i = 0; i < kEntries; ++i) {
    if (!cluster->IsReplica(i)) return i;
  }
  return -1;
}

void Pause(std::chrono::milliseconds time) {
  HostedCluster::Eventually([] { return false; }, time);
}

TEST_CASE("gateways serve callers and do not follow the store") {
  HostedScenario scenario(Settings());
  HostedCluster& cluster = scenario.cluster();
  REQUIRE(AwaitReplicas(&cluster));
  const int gateway = AnyGateway(&cluster);
  REQUIRE(gateway >= 0);
  TestJob job;
  job.id = "00000000000000a1";
  CHECK(cluster.Submit(gateway, job) == 200);
  CHECK(HostedCluster::Eventually(
      [&] { return cluster.State(gateway, job) == "completed"; }));
  TestJob unknown;
  unknown.id = "00000000000000a2";
  CHECK(cluster.State(gateway, unknown) == "gone");
  const auto no_queue = cluster.Call(gateway, "GET", "/no-such-queue/", "",
                                     HostedCluster::AccountKey());
  REQUIRE(no_queue);
  CHECK(no_queue->status == 404);
  const auto length =
      cluster.Call(gateway, "GET", HostedCluster::QueuePrefix(1), "",
                   HostedCluster::AccountKey());
  REQUIRE(length);
  CHECK(length->status == 200);
  // What a gateway asks the store does not grow with time or work.
  const std::string newest =
      "thornplank_store_calls_total{call=\"newest\",outcome=\"read\"}";
  const auto calls_before = cluster.Metric(gateway, newest);
  Pause(std::chrono::milliseconds(1500));
  CHECK(cluster.Metric(gateway, newest) == calls_before);
}

// The status and the body of an answer without the address of the connection,
// which differs between connections.
std::string ToComparable(const std::optional<HttpResponse>& response) {
  if (!response) return "";
  Json body = ParseJson(response->body).value_or(Json::object());
  body.erase("peer");
  return std::to_string(response->status) + " " + body.dump();
}

// Guards against an account that reads, cancels or replaces another account's
// job, at a replica or through a gateway.
TEST_CASE("another account's job is answered like an unknown one") {
  HostedScenario scenario(Settings());
  HostedCluster& cluster = scenario.cluster();
  REQUIRE(AwaitReplicas(&cluster));
  TestJob job;
  job.id = "00000000000000c1";
  job.steps = {Step(1, 1)};
  job.work_ms = 3000;
  REQUIRE(cluster.Submit(AnyGateway(&cluster), job) == 200);
  const std::string queue = HostedCluster::QueuePrefix(job.priority);
  const std::string key = HostedCluster::OtherAccountKey();
  for (int i = 0; i < kEntries; ++i) {
    CAPTURE(i);
    for (const std::string method : {"GET", "DELETE"}) {
      CAPTURE(method);
      const auto foreign = cluster.Call(i, method, queue + job.id, "", key);
      const auto unknown =
          cluster.Call(i, method, queue + "00000000000000c2", "", key);
      CHECK(ToComparable(foreign).rfind("410 ", 0) == 0);
      CHECK(ToComparable(foreign) == ToComparable(unknown));
    }
  }
  const auto submission = cluster.Call(
      AnyGateway(&cluster), "POST", queue + job.id,
      R"({"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":1}]})", key);
  CHECK(ToComparable(submission).rfind("503 ", 0) == 0);
  CHECK(HostedCluster::Eventually(
      [&] { return cluster.State(AnyGateway(&cluster), job) == "completed"; }));
  std::vector<Json> events;
  for (int i = 0; i < kEntries; ++i) {
    for (Json& event : cluster.Events(i, events::kForeignJobCalled.number)) {
      events.push_back(std::move(event));
    }
  }
  // A gateway may ask a second replica for the same call.
  CHECK(events.size() >= 2 * kEntries + 1);
  for (const Json& event : events) {
    CHECK(StringField(event, "account") == "south");
    CHECK(StringField(event, "owner") == "north");
  }
}

TEST_CASE("a key that was taken away is refused by gateways in time") {
  HostedScenario scenario(Settings());
  HostedCluster& cluster = scenario.cluster();
  REQUIRE(AwaitReplicas(&cluster));
  REQUIRE(cluster.PublishConfiguration(/*with_account_key=*/false));
  for (int i = 0; i < kEntries; ++i) {
    CAPTURE(i);
    TestJob job;
    job.id = "00000000000000b" + std::to_string(i);
    CHECK(HostedCluster::Eventually(
        [&] { return cluster.Submit(i, job) == 401; }));
  }
}

TEST_CASE("jobs end and no task runs twice while replicas are lost") {
  struct Row {
    const char* name;
    std::function<void(HostedCluster&)> fault;
  };
  const std::vector<Row> rows = {
      {"the leader is killed",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         cluster.entry(leader).Kill();
         Pause(std::chrono::milliseconds(2000));
         cluster.StartEntry(leader);
       }},
      {"all replicas are killed and do not come back",
       [](HostedCluster& cluster) {
         const std::vector<int> lost = Replicas(&cluster);
         for (const int entry : lost) cluster.entry(entry).Kill();
         CHECK(HostedCluster::Eventually([&] {
           for (const int entry : lost) {
             if (cluster.Leader() == entry) return false;
           }
           return cluster.Leader() >= 0;
         }));
         for (const int entry : lost) cluster.StartEntry(entry);
       }},
      {"every entry is killed",
       [](HostedCluster& cluster) {
         for (int i = 0; i < kEntries; ++i) cluster.entry(i).Kill();
         for (int i = 0; i < kEntries; ++i) cluster.StartEntry(i);
       }},
      {"the leader is suspended for four seconds",
       [](HostedCluster& cluster) {
         const int leader = cluster.Leader();
         cluster.entry(leader).Suspend();
         Pause(std::chrono::milliseconds(4000));
         cluster.entry(leader).Resume();
       }},
      {"the replicas are stopped gracefully, one after the other",
       [](HostedCluster& cluster) {
         for (const int entry : Replicas(&cluster)) {
           cluster.entry(entry).Signal(SIGTERM);
           CHECK(cluster.entry(entry).Wait(std::chrono::seconds(20)) == 0);
           cluster.StartEntry(entry);
         }
       }},
      {"the replicas are cut off from the store",
       [](HostedCluster& cluster) {
         const std::vector<int> cut = Replicas(&cluster);
         for (const int entry : cut) {
           CHECK(cluster.ControlStoreProxy(entry, {{"freeze", true}}));
         }
         Pause(std::chrono::milliseconds(5000));
         for (const int entry : cut) {
           CHECK(cluster.ControlStoreProxy(entry, {{"freeze", false}}));
         }
       }},
      {"the gateways are cut off from the store",
       [](HostedCluster& cluster) {
         for (int i = 0; i < kEntries; ++i) {
           if (cluster.IsReplica(i)) continue;
           CHECK(cluster.ControlStoreProxy(i, {{"freeze", true}}));
         }
         Pause(std::chrono::milliseconds(3000));
         for (int i = 0; i < kEntries; ++i) {
           CHECK(cluster.ControlStoreProxy(i, {{"freeze", false}}));
         }
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HostedScenario scenario(Settings());
    HostedCluster& cluster = scenario.cluster();
    REQUIRE(AwaitReplicas(&cluster));
    for (int i = 0; i < 4; ++i) {
      scenario.Submit(i, {Step(4, 2), Step(2, 4, {0})}, 700);
    }
    row.fault(cluster);
    for (int i = 4; i < 8; ++i) {
      scenario.Submit(i, {Step(4, 2)}, 300);
    }
    scenario.AwaitAndCheckJobs();
  }
}

}  // namespace
}  // namespace thornplank
