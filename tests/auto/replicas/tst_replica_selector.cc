// Tests of the order in which a gateway asks replicas.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "replicas/replica_selector.h"

namespace thornplank::testing {
namespace {

// Replicas r0 to r5 in the failure domains a, b and c; r0 leads.
ReplicaRoster SixReplicas() {
  ReplicaRoster roster;
  const char* domains[] = {"a", "b", "c"};
  for (int i = 0; i < 6; ++i) {
    const std::string name = "r" + std::to_string(i);
    roster.replicas.push_back({name, name, domains[i % 3]});
  }
  return roster;
}

ReplicaSelector MakeSelector(const std::string& name,
                             const std::string& domain) {
  ReplicaSelector selector({name, domain});
  selector.SetReplicas(SixReplicas());
  return selector;
}

TEST_CASE("changes go to the leader, reads to the own failure domain") {
  const ReplicaSelector selector = MakeSelector("g", "b");
  const auto changes = selector.Order(ReplicaPreference::kLeader, At(0));
  REQUIRE(changes.size() == 6);
  CHECK(changes[0] == "r0");
  const auto reads = selector.Order(ReplicaPreference::kNearest, At(0));
  const bool in_domain = (reads[0] == "r1" && reads[1] == "r4") ||
                         (reads[0] == "r4" && reads[1] == "r1");
  CHECK(in_domain);
}

TEST_CASE("an entry never asks itself") {
  const ReplicaSelector selector = MakeSelector("r0", "a");
  const auto order = selector.Order(ReplicaPreference::kLeader, At(0));
  CHECK(order.size() == 5);
  CHECK(order[0] != "r0");
}

TEST_CASE("the gateways of a system spread over the replicas") {
  std::map<std::string, int> first;
  constexpr int kGateways = 600;
  for (int i = 0; i < kGateways; ++i) {
    const auto selector = MakeSelector("g" + std::to_string(i), "none");
    ++first[selector.Order(ReplicaPreference::kNearest, At(0))[0]];
  }
  REQUIRE(first.size() == 6);
  for (const auto& chosen : first) {
    CAPTURE(chosen.first);
    CHECK(chosen.second > kGateways / 6 / 2);
    CHECK(chosen.second < kGateways / 6 * 2);
  }
}

// Guards against appends by all replicas at once while the leader is silent: a
// slow store takes them one after the other, and the claim of the successor
// queues behind them.
TEST_CASE("without the leader all gateways write through one other replica") {
  for (int i = 0; i < 600; ++i) {
    ReplicaSelector selector = MakeSelector("g" + std::to_string(i), "c");
    selector.OnFailure("r0", At(0));
    CHECK(selector.Order(ReplicaPreference::kLeader, At(100))[0] == "r1");
    selector.OnFailure("r1", At(100));
    CHECK(selector.Order(ReplicaPreference::kLeader, At(200))[0] == "r2");
  }
}

TEST_CASE("a replica that failed is asked last until it had time to recover") {
  struct Row {
    const char* name;
    int failures;
    bool answered;
    int64_t now;
    bool leader_first;
  };
  const std::vector<Row> rows = {
      {"it failed just now", 1, false, 100, false},
      {"it failed a while ago", 1, false, 301, true},
      {"it failed twice", 2, false, 301, false},
      {"it failed twice, a longer while ago", 2, false, 601, true},
      {"it failed many times", 20, false, 3999, false},
      {"it failed many times, long ago", 20, false, 4001, true},
      {"it has answered since", 20, true, 10, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ReplicaSelector selector = MakeSelector("g", "b");
    for (int i = 0; i < row.failures; ++i) {
      selector.OnFailure("r0", At(0));
    }
    if (row.answered) selector.OnAnswer("r0", Milliseconds(5));
    const auto order = selector.Order(ReplicaPreference::kLeader, At(row.now));
    CHECK((order.front() == "r0") == row.leader_first);
    if (!row.leader_first) CHECK(order.back() == "r0");
  }
}

// Guards against a second call for each one while the store is slow.
TEST_CASE("the wait before another replica is asked follows the latency") {
  ReplicaSelector selector = MakeSelector("g", "b");
  CHECK(selector.HedgeDelay() == Milliseconds(120));
  for (int i = 0; i < 100; ++i) {
    selector.OnAnswer("r1", Milliseconds(100));
  }
  CHECK(selector.HedgeDelay() > Milliseconds(300));
  for (int i = 0; i < 100; ++i) {
    selector.OnAnswer("r1", Milliseconds(1000));
  }
  CHECK(selector.HedgeDelay() == Milliseconds(800));
}

TEST_CASE("what is known of a replica survives a new roster") {
  ReplicaSelector selector = MakeSelector("g", "b");
  selector.OnFailure("r0", At(0));
  selector.SetReplicas(SixReplicas());
  CHECK(selector.Order(ReplicaPreference::kLeader, At(100)).back() == "r0");
}

}  // namespace
}  // namespace thornplank::testing
