// Which recorded starts are sent, and when.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/start_gate.h"

namespace thornplank::testing {
namespace {

PendingStart StartOf(int step, int index, const std::string& worker,
                     bool gang) {
  PendingStart start;
  start.worker = worker;
  start.task = {{"0123456789abcdef", 0, step}, index};
  start.run = 1;
  start.gang = gang;
  return start;
}

// Members 0 to `size` - 1, each on a worker of its own.
StartGate::Group GangOf(int size) {
  StartGate::Group group;
  for (int i = 0; i < size; ++i) {
    group.push_back(StartOf(0, i, "w" + std::to_string(i), true));
  }
  return group;
}

std::set<std::string> WorkersOf(const StartGate::Group& group) {
  std::set<std::string> workers;
  for (const PendingStart& start : group) {
    workers.insert(start.worker);
  }
  return workers;
}

TEST_CASE("the members of a gang form one group, other starts one each") {
  const std::vector<StartGate::Group> groups = StartGate::GroupsOf({
      StartOf(0, 0, "a", true),
      StartOf(1, 0, "b", false),
      StartOf(0, 1, "c", true),
      StartOf(1, 1, "d", false),
      StartOf(2, 0, "e", true),
  });
  REQUIRE(groups.size() == 4);
  CHECK(WorkersOf(groups[0]) == std::set<std::string>{"a", "c"});
  CHECK(WorkersOf(groups[1]) == std::set<std::string>{"b"});
  CHECK(WorkersOf(groups[2]) == std::set<std::string>{"d"});
  CHECK(WorkersOf(groups[3]) == std::set<std::string>{"e"});
}

// One of twenty workers of a gang has died unnoticed. The other nineteen would
// hold their room for seconds, until its leases are over.
TEST_CASE("a gang is sent once all of its workers have answered, or not") {
  struct Row {
    const char* name;
    int answers;
    bool last_call_fails;
    bool sent;
    bool refused;
  };
  constexpr int kMembers = 20;
  const std::vector<Row> rows = {
      {"all answer", kMembers, false, true, false},
      {"one is silent", kMembers - 1, false, false, true},
      {"one call fails", kMembers - 1, true, false, true},
      {"none answers", 0, false, false, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StartGate gate;
    const StartGate::Group gang = GangOf(kMembers);
    gate.Hold(gang, WorkersOf(gang), At(100));
    std::vector<StartGate::Group> sent;
    for (int i = 0; i < row.answers; ++i) {
      for (auto& group : gate.OnAnswer("w" + std::to_string(i))) {
        sent.push_back(std::move(group));
      }
    }
    std::vector<StartGate::Refusal> refused;
    if (row.last_call_fails) {
      refused = gate.OnFailure("w" + std::to_string(kMembers - 1));
    }
    CHECK(gate.TakeExpired(At(99)).empty());
    for (auto& refusal : gate.TakeExpired(At(100))) {
      refused.push_back(std::move(refusal));
    }
    REQUIRE(sent.size() == (row.sent ? 1 : 0));
    REQUIRE(refused.size() == (row.refused ? 1 : 0));
    if (row.sent) CHECK(sent[0].size() == kMembers);
    if (row.refused) {
      CHECK(refused[0].starts.size() == kMembers);
      CHECK(refused[0].silent_workers.size() ==
            static_cast<size_t>(kMembers - row.answers));
      CHECK(refused[0].silent_workers.count("w19") == 1);
    }
    CHECK(gate.TakeExpired(At(1000)).empty());
  }
}

TEST_CASE("a silent worker holds up no other group") {
  StartGate gate;
  gate.Hold({StartOf(0, 0, "dead", false)}, {"dead"}, At(100));
  gate.Hold({StartOf(1, 0, "sound", false)}, {"sound"}, At(100));
  const std::vector<StartGate::Group> sent = gate.OnAnswer("sound");
  REQUIRE(sent.size() == 1);
  CHECK(sent[0][0].worker == "sound");
  CHECK(gate.TakeExpired(At(100)).size() == 1);
}

}  // namespace
}  // namespace thornplank::testing
