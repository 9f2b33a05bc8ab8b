// Tests of the choice of replicas.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "replicas/replica_appointer.h"

namespace thornplank::testing {
namespace {

const ReplicaAddress kLeader{"leader", "leader:1", "d0"};

// `large` entries of rank 0 and `small` ones of rank 0.8, named "l0" and "s0"
// onwards, in six failure domains.
ReplicaAppointer::Entries MakeEntries(int large, int small) {
  ReplicaAppointer::Entries entries;
  const auto add = [&entries](const std::string& name, double rank, int i) {
    EntryRecord entry;
    entry.address = name + ":1";
    entry.rank = rank;
    entry.failure_domain = "d" + std::to_string(i % 6);
    entries[name] = entry;
  };
  add("leader", 0, 0);
  for (int i = 0; i < large; ++i) add("l" + std::to_string(i), 0, i);
  for (int i = 0; i < small; ++i) add("s" + std::to_string(i), 0.8, i);
  return entries;
}

class Leader {
 public:
  explicit Leader(ReplicaAppointer::Entries known)
      : entries(std::move(known)), appointer({}, kLeader) {}

  // One round of questions and the decision after it. Entries in `dead` do not
  // answer.
  void Round(Time now, const std::vector<std::string>& dead = {}) {
    asked = appointer.EntriesToAsk(entries, roster, now);
    for (const std::string& name : asked) {
      const bool lives =
          std::find(dead.begin(), dead.end(), name) == dead.end();
      if (lives) {
        appointer.OnAnswer(name, now);
      } else {
        appointer.OnNoAnswer(name, now);
      }
    }
    ReplicaRoster next;
    next.number = roster ? roster->number + 1 : 1;
    next.replicas = appointer.Decide(entries, roster, now);
    roster = next;
  }

  std::vector<std::string> names() const {
    std::vector<std::string> list;
    for (const ReplicaAddress& replica : roster->replicas) {
      list.push_back(replica.name);
    }
    return list;
  }
  bool Has(const std::string& name) const {
    return roster->PositionOf(name).has_value();
  }

  ReplicaAppointer::Entries entries;
  ReplicaAppointer appointer;
  std::optional<ReplicaRoster> roster;
  std::vector<std::string> asked;
};

// Guards against replicas, and questions to entries, whose number grows as the
// number of entries does.
TEST_CASE("the number of replicas is fixed and grows slowly beyond") {
  struct Row {
    int entries;
    size_t replicas;
  };
  const std::vector<Row> rows = {{1, 1},  {5, 5},   {8, 8},
                                 {45, 8}, {588, 8}, {1200, 16}};
  for (const Row& row : rows) {
    CAPTURE(row.entries);
    Leader leader(MakeEntries(row.entries - 1, 0));
    for (int round = 0; round < 8; ++round) {
      leader.Round(At(round * 500));
      CHECK(leader.asked.size() <= row.replicas + 2);
    }
    CHECK(leader.roster->replicas.size() == row.replicas);
    CHECK(leader.names().front() == "leader");
  }
}

TEST_CASE("large entries are preferred, in different failure domains") {
  Leader leader(MakeEntries(30, 200));
  for (int round = 0; round < 8; ++round) leader.Round(At(round * 500));
  std::map<std::string, int> by_domain;
  for (const ReplicaAddress& replica : leader.roster->replicas) {
    CHECK(replica.name.front() == 'l');
    ++by_domain[replica.failure_domain];
  }
  for (const auto& domain : by_domain) {
    CAPTURE(domain.first);
    CHECK(domain.second <= 3);
  }
}

TEST_CASE("a large entry that comes later takes the place of a small one") {
  Leader leader(MakeEntries(0, 20));
  for (int round = 0; round < 4; ++round) leader.Round(At(round * 500));
  REQUIRE(leader.Has("leader"));
  const std::vector<std::string> before = leader.names();
  leader.entries = MakeEntries(2, 20);
  for (int round = 4; round < 8; ++round) leader.Round(At(round * 500));
  CHECK(leader.Has("l0"));
  CHECK(leader.Has("l1"));
  CHECK(leader.names().size() == before.size());
}

TEST_CASE("a replica is replaced only after a restart would have ended") {
  Leader leader(MakeEntries(20, 0));
  for (int round = 0; round < 4; ++round) leader.Round(At(round * 500));
  const std::string dead = leader.names()[1];
  const std::vector<std::string> before = leader.names();
  for (int64_t now = 2000; now < 7000; now += 500) {
    leader.Round(At(now), {dead});
    CHECK(leader.names() == before);
  }
  for (int64_t now = 7000; now < 9000; now += 500) {
    leader.Round(At(now), {dead});
  }
  CHECK(!leader.Has(dead));
  CHECK(leader.names().size() == before.size());
}

// Guards against a roster without reachable replicas, written by a leader that
// is cut off from the other entries and not from the store.
TEST_CASE("a leader that nobody answers keeps the roster") {
  Leader leader(MakeEntries(20, 0));
  for (int round = 0; round < 4; ++round) leader.Round(At(round * 500));
  const std::vector<std::string> before = leader.names();
  std::vector<std::string> all;
  for (const auto& [name, entry] : leader.entries) all.push_back(name);
  for (int64_t now = 2000; now < 20000; now += 500) leader.Round(At(now), all);
  CHECK(leader.names() == before);
}

TEST_CASE("a new leader takes over the replicas of its predecessor") {
  Leader leader(MakeEntries(20, 0));
  ReplicaRoster old;
  for (const char* name : {"l3", "l4", "leader", "l5"}) {
    old.replicas.push_back({name, "old address", "d"});
  }
  leader.roster = old;
  leader.Round(At(0));
  CHECK(leader.names()[0] == "leader");
  for (const char* name : {"l3", "l4", "l5"}) {
    CHECK(leader.Has(name));
  }
  // The record of the entry has its newest address.
  const auto position = leader.roster->PositionOf("l3");
  CHECK(leader.roster->replicas[*position].address == "l3:1");
}

}  // namespace
}  // namespace thornplank::testing
