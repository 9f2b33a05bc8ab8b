// Tests of when an entry claims leadership.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/leader_election.h"

namespace thornplank::testing {
namespace {

const LeaderRecord kNoLeader;
const LeaderRecord kOtherLeader{"a", 3, false};
const LeaderRecord kReleased{"a", 3, true};
const LeaderRecord kPreviousIncarnation{"me/1", 3, false};
const LeaderRecord kSimilarName{"me-too/1", 3, false};

TEST_CASE("a claim requires that the silence of the leader was observed") {
  struct Row {
    const char* name;
    LeaderRecord leader;
    double rank;
    // Times in milliseconds at which the board was read, in order.
    std::vector<int64_t> read_times;
    // When the last leader record was read; -1 for never.
    int64_t leader_read_at;
    int64_t now;
    bool claims;
    int64_t latency = 0;
  };
  const std::vector<Row> rows = {
      {"the board was never read", kNoLeader, 0, {}, -1, 5000, false},
      {"nobody leads", kNoLeader, 0, {0}, -1, 10, true},
      {"nobody leads, entries of lower rank go first",
       kNoLeader,
       1,
       {0},
       -1,
       10,
       false},
      {"nobody leads, entries of lower rank did not claim",
       kNoLeader,
       1,
       {0, 500, 800},
       -1,
       810,
       true},
      {"the leader writes",
       kOtherLeader,
       0,
       {0, 1000, 2000},
       1900,
       2100,
       false},
      {"the leader is silent", kOtherLeader, 0, {0, 1000, 1300}, 0, 1350, true},
      {"the leader has been silent for too short a time",
       kOtherLeader,
       0,
       {0, 1000},
       0,
       1250,
       false},
      {"a short silence with a slow store",
       kOtherLeader,
       0,
       {0, 1000, 2000},
       0,
       2100,
       false,
       250},
      {"a long silence with a slow store",
       kOtherLeader,
       0,
       {0, 1000, 2000, 2400},
       0,
       2450,
       true,
       250},
      {"leadership was released", kReleased, 0, {0, 1000}, 1000, 1001, true},
      {"a previous incarnation of this entry led",
       kPreviousIncarnation,
       1,
       {0},
       -1,
       10,
       true},
      {"an entry with a similar name leads",
       kSimilarName,
       0,
       {0},
       -1,
       10,
       false},
      {"the store was unreachable during the silence",
       kOtherLeader,
       0,
       {0, 2400},
       0,
       2450,
       false},
      {"the store is unreachable", kOtherLeader, 0, {0, 1000}, 0, 4000, false},
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
    if (row.leader_read_at >= 0) {
      read_until(row.leader_read_at);
      election.OnLeaderRecord(row.leader, At(row.leader_read_at));
    }
    read_until(row.now);
    CHECK(election.ShouldClaim(row.leader, At(row.now)) == row.claims);
  }
}

}  // namespace
}  // namespace thornplank::testing
