// Tests of when an entry is a replica and when a gateway.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "replicas/entry_role.h"

namespace thornplank::testing {
namespace {

ReplicaRoster MakeRoster(int64_t number, int64_t entries,
                         const std::vector<std::string>& names) {
  ReplicaRoster roster;
  roster.epoch = 1;
  roster.number = number;
  roster.entries = entries;
  for (const std::string& name : names) {
    roster.replicas.push_back({name, name + ":1", "a"});
  }
  return roster;
}

EntryRoleSettings Settings(double rank, double chance) {
  EntryRoleSettings settings;
  settings.name = "me";
  settings.rank = rank;
  settings.chance = chance;
  return settings;
}

TEST_CASE("the roster decides who is a replica") {
  EntryRole role(Settings(0, 0));
  CHECK(role.Decide(At(0)) == EntryMode::kUndecided);
  CHECK(role.OnRoster(MakeRoster(1, 3, {"a", "b"}), At(0)));
  CHECK(role.Decide(At(0)) == EntryMode::kGateway);
  CHECK(role.OnRoster(MakeRoster(2, 3, {"a", "me"}), At(10)));
  CHECK(role.Decide(At(10)) == EntryMode::kReplica);
  // An older roster that arrives late changes nothing.
  CHECK(!role.OnRoster(MakeRoster(1, 3, {"a", "b"}), At(20)));
  CHECK(role.Decide(At(20)) == EntryMode::kReplica);
  CHECK(role.OnRoster(MakeRoster(3, 3, {"a"}), At(30)));
  CHECK(role.Decide(At(30)) == EntryMode::kGateway);
}

TEST_CASE("without a roster large entries follow first, after a new read") {
  struct Row {
    const char* name;
    double rank;
    double chance;
    // Times in milliseconds of the reads that found no roster.
    std::vector<int64_t> reads;
    EntryMode mode;
  };
  const std::vector<Row> rows = {
      {"never read", 0, 0, {}, EntryMode::kUndecided},
      {"a large entry", 0, 0, {0}, EntryMode::kReplica},
      {"a small entry", 1, 0, {0}, EntryMode::kUndecided},
      {"a small entry that has read only at first",
       1,
       0,
       {0, 100},
       EntryMode::kUndecided},
      {"a small entry later", 1, 0, {0, 950}, EntryMode::kReplica},
      {"the last of large entries", 0, 1, {0, 650}, EntryMode::kUndecided},
      {"the last of large entries, later", 0, 1, {0, 700}, EntryMode::kReplica},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EntryRole role(Settings(row.rank, row.chance));
    for (const int64_t read : row.reads) {
      role.OnNoRoster(At(read));
    }
    CHECK(role.Decide(At(5000)) == row.mode);
  }
}

// Guards against all entries that follow the board at once when the replicas
// are lost: each reads the whole board and competes for leadership.
TEST_CASE("few entries replace silent replicas, at any size") {
  for (const int entries : {45, 588, 1200}) {
    CAPTURE(entries);
    std::vector<EntryRole> roles;
    for (int i = 0; i < entries; ++i) {
      const double chance = (i + 0.5) / entries;
      roles.emplace_back(Settings(0, chance));
      roles.back().OnRoster(MakeRoster(1, entries, {"a", "b"}), At(0));
      roles.back().OnReplicasSilent(At(0));
    }
    const auto replicas_at = [&roles](int64_t ms) {
      int count = 0;
      for (EntryRole& role : roles) {
        count += role.Decide(At(ms)) == EntryMode::kReplica ? 1 : 0;
      }
      return count;
    };
    CHECK(replicas_at(2400) == 0);
    // The first ones come soon, and not more of them in a larger system.
    const int early = replicas_at(2600);
    CHECK(early >= 1);
    CHECK(early <= 5);
    CHECK(replicas_at(3500) <= 36);
  }
}

TEST_CASE("a replica that nobody appointed steps back when others answer") {
  EntryRole role(Settings(0, 0));
  role.OnRoster(MakeRoster(1, 10, {"a", "b"}), At(0));
  role.OnReplicasSilent(At(0));
  REQUIRE(role.Decide(At(3000)) == EntryMode::kReplica);
  role.OnReplicaAnswered(At(4000));
  CHECK(role.Decide(At(4000)) == EntryMode::kReplica);
  CHECK(role.Decide(At(6900)) == EntryMode::kReplica);
  CHECK(role.Decide(At(7000)) == EntryMode::kGateway);
}

TEST_CASE("a silence that ends, or a new roster, begins the wait anew") {
  struct Row {
    const char* name;
    bool answered;
    bool new_roster;
    EntryMode mode;
  };
  const std::vector<Row> rows = {
      {"nothing happens", false, false, EntryMode::kReplica},
      {"a replica answers in between", true, false, EntryMode::kGateway},
      {"other replicas are appointed", false, true, EntryMode::kGateway},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EntryRole role(Settings(0, 0));
    role.OnRoster(MakeRoster(1, 0, {"a", "b"}), At(0));
    role.OnReplicasSilent(At(0));
    if (row.answered) {
      role.OnReplicaAnswered(At(1000));
      role.OnReplicasSilent(At(1100));
    }
    if (row.new_roster) role.OnRoster(MakeRoster(2, 0, {"c"}), At(1100));
    CHECK(role.Decide(At(3000)) == row.mode);
  }
}

}  // namespace
}  // namespace thornplank::testing
