// The Retry-After header of an entry that refuses requests because it cannot
// reach the store.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "hosted_cluster.h"

namespace thornplank {
namespace {

TEST_CASE(
    "a refused caller may retry at once only if another entry has the store") {
  struct Row {
    const char* name;
    // Entries that are cut off from the store.
    std::vector<int> cut;
    std::string retry_after;
  };
  const std::vector<Row> rows = {
      {"one of three entries is cut off", {0}, "0"},
      {"two of three entries are cut off", {0, 1}, "0"},
      {"all entries are cut off", {0, 1, 2}, "1"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HostedCluster cluster((HostedClusterSettings()));
    REQUIRE(cluster.Start());
    REQUIRE(HostedCluster::Eventually([&] { return cluster.Leader() >= 0; }));
    REQUIRE(HostedCluster::Eventually([&] {
      return cluster.Metrics(0).find("thornplank_replicas_known 3") !=
             std::string::npos;
    }));
    for (const int entry : row.cut) {
      REQUIRE(cluster.ControlStoreProxy(entry, {{"freeze", true}}));
    }
    const auto refusal = [&cluster] {
      const auto answer = cluster.Call(
          0, "GET", HostedCluster::QueuePrefix(1) + "00000000000000ff", "",
          HostedCluster::AccountKey());
      const bool refused = answer && answer->status == 503;
      return refused ? answer->headers.Value("Retry-After") : std::string();
    };
    CHECK(HostedCluster::Eventually([&] { return refusal() != ""; }));
    // The value is right once the other entries have reported their state.
    CHECK(HostedCluster::Eventually(
        [&] { return refusal() == row.retry_after; }));
    const bool all = row.retry_after == "1";
    if (all) {
      for (int i = 0; i < 20; ++i) CHECK(refusal() == "1");
    }
    for (const int entry : row.cut) {
      REQUIRE(cluster.ControlStoreProxy(entry, {{"freeze", false}}));
    }
    CHECK(cluster.WaitReady(0));
  }
}

}  // namespace
}  // namespace thornplank
