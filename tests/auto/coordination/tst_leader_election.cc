// Tests of when an entry claims leadership.
#include <doctest/doctest.h>

#include <set>
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
    int place;
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
      {"nobody leads, entries of a later place go first",
       kNoLeader,
       8,
       {0},
       -1,
       10,
       false},
      {"nobody leads, entries of a later place did not claim",
       kNoLeader,
       8,
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
      {"the leader is silent", kOtherLeader, 0, {0, 400, 700}, 0, 700, true},
      {"the leader has been silent for too short a time",
       kOtherLeader,
       0,
       {0, 400},
       0,
       699,
       false},
      {"a short silence with a slow store",
       kOtherLeader,
       0,
       {0, 1000, 1600},
       0,
       1699,
       false,
       250},
      {"a long silence with a slow store",
       kOtherLeader,
       0,
       {0, 1000, 1600},
       0,
       1700,
       true,
       250},
      {"leadership was released", kReleased, 0, {0, 1000}, 1000, 1001, true},
      {"a previous incarnation of this entry led",
       kPreviousIncarnation,
       8,
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
    LeaderElection election(LeaderElectionSettings(), "me/2");
    election.set_place(row.place);
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

// Guards against a claim against a leader that has just taken over: its first
// heartbeat is among the appends that a slow store has queued, and is stored
// only a while after the store answers reads quickly again.
TEST_CASE("the silence allowed by a slow store is remembered for a while") {
  struct Row {
    const char* name;
    int64_t slow_latency;
    // Since the store was slow, and since the leader wrote.
    int64_t now;
    bool claims;
  };
  const std::vector<Row> rows = {
      {"just after, a silence that is long for a fast store", 240, 900, false},
      {"just after, a silence that is long for a slow store", 240, 1400, true},
      {"the store was never slow", 4, 900, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LeaderElection election(LeaderElectionSettings(), "me/2");
    election.OnBoardCaughtUp(Milliseconds(row.slow_latency), At(0));
    election.OnLeaderRecord(kOtherLeader, At(0));
    for (int64_t time = 100; time <= row.now; time += 100) {
      election.OnBoardCaughtUp(Milliseconds(4), At(time));
    }
    CHECK(election.ShouldClaim(kOtherLeader, At(row.now)) == row.claims);
  }
}

// Guards against claims that all followers send within the time that one of
// them takes: a slow store that gets hundreds of them answers none.
TEST_CASE("a lost leader is followed by few claims, at any size and latency") {
  struct Row {
    int replicas;
    int64_t latency_ms;
    int max_claims;
  };
  const std::vector<Row> rows = {
      {8, 4, 2}, {8, 240, 1}, {16, 4, 2}, {16, 240, 1}, {16, 1000, 1}};
  for (const Row& row : rows) {
    CAPTURE(row.replicas);
    CAPTURE(row.latency_ms);
    std::vector<LeaderElection> followers;
    for (int i = 0; i + 1 < row.replicas; ++i) {
      followers.emplace_back(LeaderElectionSettings(),
                             "f" + std::to_string(i) + "/1");
      followers.back().set_place(i);
      followers.back().OnBoardCaughtUp(Milliseconds(0), At(0));
      followers.back().OnLeaderRecord(kOtherLeader, At(0));
    }
    std::set<size_t> claimed;
    int64_t decided_at = -1;
    for (int64_t now = 100; now < 30000 && decided_at != 0; now += 100) {
      // A claim takes a read, an append and the next read of the others.
      if (decided_at > 0 && now >= decided_at) break;
      for (size_t i = 0; i < followers.size(); ++i) {
        followers[i].OnBoardCaughtUp(Milliseconds(row.latency_ms), At(now));
        if (claimed.count(i) > 0) continue;
        if (!followers[i].ShouldClaim(kOtherLeader, At(now))) continue;
        claimed.insert(i);
        if (decided_at < 0) decided_at = now + 3 * row.latency_ms + 100;
      }
    }
    CHECK(!claimed.empty());
    CHECK(static_cast<int>(claimed.size()) <= row.max_claims);
  }
}

}  // namespace
}  // namespace thornplank::testing
