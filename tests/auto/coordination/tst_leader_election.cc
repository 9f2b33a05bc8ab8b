// When an entry claims the lead.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/leader_election.h"

namespace thornplank::testing {
namespace {

const LeaderRecord kNobody;
const LeaderRecord kHeld{"a", 3, false};
const LeaderRecord kReleased{"a", 3, true};
const LeaderRecord kPreviousIncarnation{"me/1", 3, false};
const LeaderRecord kSimilarName{"me-too/1", 3, false};

TEST_CASE("a claim waits for a silence that was observed") {
  struct Row {
    const char* name;
    LeaderRecord leader;
    double rank;
    // Times of contact with the store, in order.
    std::vector<int64_t> read_times;
    int64_t leader_heard;
    int64_t now;
    bool claims;
    int64_t latency = 0;
  };
  const std::vector<Row> rows = {
      {"no contact yet", kNobody, 0, {}, -1, 5000, false},
      {"nobody leads", kNobody, 0, {0}, -1, 10, true},
      {"nobody leads, others go first", kNobody, 1, {0}, -1, 10, false},
      {"nobody leads, the others did not",
       kNobody,
       1,
       {0, 500, 800},
       -1,
       810,
       true},
      {"the leader writes", kHeld, 0, {0, 1000, 2000}, 1900, 2100, false},
      {"the leader is silent", kHeld, 0, {0, 1000, 1300}, 0, 1350, true},
      {"the leader is silent, not for long",
       kHeld,
       0,
       {0, 1000},
       0,
       1250,
       false},
      {"the leader of a slow store",
       kHeld,
       0,
       {0, 1000, 2000},
       0,
       2100,
       false,
       250},
      {"the silent leader of a slow store",
       kHeld,
       0,
       {0, 1000, 2000, 2400},
       0,
       2450,
       true,
       250},
      {"the lead was given back", kReleased, 0, {0, 1000}, 1000, 1001, true},
      {"an earlier life of its own led",
       kPreviousIncarnation,
       1,
       {0},
       -1,
       10,
       true},
      {"one of a like name leads", kSimilarName, 0, {0}, -1, 10, false},
      {"the store was away as long", kHeld, 0, {0, 2400}, 0, 2450, false},
      {"the store is away now", kHeld, 0, {0, 1000}, 0, 4000, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LeaderElection election(LeaderElectionSettings(), "me/2", row.rank);
    size_t next = 0;
    const auto read_until = [&](int64_t time) {
      while (next < row.read_times.size() && row.read_times[next] <= time) {
        election.OnBoardCaughtUp(Milliseconds(row.latency),
                                 At(row.read_times[next++]));
      }
    };
    if (row.leader_heard >= 0) {
      read_until(row.leader_heard);
      election.OnLeaderRecord(row.leader, At(row.leader_heard));
    }
    read_until(row.now);
    CHECK(election.ShouldClaim(row.leader, At(row.now)) == row.claims);
  }
}

}  // namespace
}  // namespace thornplank::testing
