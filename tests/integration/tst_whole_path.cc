// Settings, requests, jobs, status and graceful shutdown with real processes
// and without faults.
#include <doctest/doctest.h>

#include <csignal>

#include <string>

#include "test_cluster.h"

namespace thornplank {
namespace {

constexpr char kAccountValues[] =
    R"({"kind":"account","guaranteed_slots":4,"guaranteed_shapes":
        [{"members":3,"accelerators":8,"adjacency":"rack","count":1}]})";

bool CreateAccount(TestCluster* cluster) {
  return cluster->PutNode(0, "north", *ParseJson(kAccountValues)) &&
         TestCluster::Eventually([cluster] {
           for (int entry = 0; entry < 3; ++entry) {
             const Json node =
                 cluster->CallJson(entry, "GET", "/v1/settings/north");
             if (IntField(node, "version").value_or(0) == 0) return false;
           }
           return true;
         });
}

TEST_CASE("settings, requests and a gang job work through every entry") {
  TestCluster cluster{TestClusterSettings()};
  REQUIRE(cluster.Start());
  REQUIRE(CreateAccount(&cluster));

  for (int entry = 0; entry < 3; ++entry) {
    CAPTURE(entry);
    const std::string id = "request-" + std::to_string(entry);
    const auto response = cluster.SendRequest(entry, "north", id);
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->headers.Value("Thornplank-Outcome") == "answered");
    CHECK(response->body.find(id) != std::string::npos);

    const std::string key = "key-" + std::to_string(entry);
    const auto keyed = cluster.SendRequest(entry, "north", id, key);
    REQUIRE(keyed.has_value());
    CHECK(keyed->headers.Value("Thornplank-Outcome") == "answered");
    const auto repeat = cluster.SendRequest((entry + 1) % 3, "north", id, key);
    REQUIRE(repeat.has_value());
    CHECK(repeat->headers.Value("Thornplank-Outcome") == "answered");
    CHECK(repeat->body == keyed->body);
    CHECK(cluster.RunsOfKey(key) == 1);
  }

  const Json job = cluster.CallJson(1, "POST", "/v1/jobs",
                                    {{"name", "trace"},
                                     {"account", "north"},
                                     {"members", 3},
                                     {"accelerators", 8},
                                     {"adjacency", "rack"},
                                     {"run_time_ms", 300},
                                     {"task", {{"run_ms", 300}}}});
  const std::string id = StringField(job, "id").value_or("");
  REQUIRE_FALSE(id.empty());
  for (int entry = 0; entry < 3; ++entry) {
    CAPTURE(entry);
    CHECK(TestCluster::Eventually([&] {
      const Json status = cluster.CallJson(entry, "GET", "/v1/jobs/" + id);
      return StringField(status, "phase") == "finished";
    }));
  }

  // Each of the three members started once.
  int started = 0;
  for (int worker = 0; worker < 6; ++worker) {
    const Json state = cluster.ControlState(cluster.worker_address(worker));
    const Json* history = ArrayField(state, "history");
    REQUIRE(history != nullptr);
    for (const Json& line : *history) {
      if (StringField(line, "what") == "started") ++started;
    }
  }
  CHECK(started == 3);

  for (int entry = 0; entry < 3; ++entry) {
    CAPTURE(entry);
    cluster.entry(entry).Signal(SIGTERM);
    CHECK(cluster.entry(entry).Wait(std::chrono::seconds(20)) == 0);
    CHECK(cluster.Events(entry, 104).size() == 1);
  }
}

TEST_CASE("an entry does not start under the name of a live entry") {
  TestClusterSettings settings;
  settings.entries = 2;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  cluster.entry(1).Kill();
  cluster.StartEntry(1, {{"name", "entry0"}});
  CHECK(cluster.entry(1).Wait(std::chrono::seconds(20)) == 2);
  CHECK(cluster.entry(0).running());
  CHECK(cluster.WaitReady(0));
}

TEST_CASE("a caller cannot act for another client account") {
  TestClusterSettings settings;
  settings.entries = 1;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(cluster.PutNode(0, "north", {{"kind", "account"}}));
  REQUIRE(cluster.PutNode(0, "south", {{"kind", "account"}}));
  HttpHeaders headers;
  headers.Set("Authorization", "Bearer north-secret");
  headers.Set("Thornplank-Account", "south");
  const auto job = cluster.Call(0, "POST", "/v1/jobs",
                                {{"account", "south"},
                                 {"members", 1},
                                 {"accelerators", 1},
                                 {"run_time_ms", 100}},
                                headers);
  REQUIRE(job.has_value());
  CHECK(job->status == 403);
  const auto settings_change =
      cluster.Call(0, "PUT", "/v1/settings/south", {{"weight", 9}}, headers);
  REQUIRE(settings_change.has_value());
  CHECK(settings_change->status == 403);
}

}  // namespace
}  // namespace thornplank
