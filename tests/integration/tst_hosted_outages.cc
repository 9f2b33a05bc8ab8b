// When a caller that an entry refuses for want of the store may come back.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "hosted_cluster.h"

namespace thornplank {
namespace {

TEST_CASE("a refused caller is sent to another entry only if that is served") {
  struct Row {
    const char* name;
    // Entries that lose the store.
    std::vector<int> cut;
    std::string retry_after;
  };
  const std::vector<Row> rows = {
      {"one of three has lost it", {0}, "0"},
      {"two of three", {0, 1}, "0"},
      {"it is away for all", {0, 1, 2}, "1"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HostedCluster cluster((HostedClusterSettings()));
    REQUIRE(cluster.Start());
    REQUIRE(HostedCluster::Eventually([&] { return cluster.Leader() >= 0; }));
    REQUIRE(HostedCluster::Eventually([&] {
      return cluster.Metrics(0).find("thornplank_entries_known 3") !=
             std::string::npos;
    }));
    for (const int entry : row.cut) {
      REQUIRE(cluster.ControlStoreProxy(entry, {{"freeze", true}}));
    }
    const auto refusal = [&cluster] {
      const auto answer = cluster.Call(
          0, "GET", HostedCluster::PrefixOf(1) + "00000000000000ff", "",
          HostedCluster::Key());
      const bool refused = answer && answer->status == 503;
      return refused ? answer->headers.Value("Retry-After") : std::string();
    };
    CHECK(HostedCluster::Eventually([&] { return refusal() != ""; }));
    // Once the others have had their say.
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
