// Tests of when an entry claims the next coordinator epoch.
#include <doctest/doctest.h>

#include "state/coordinator_election.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;

const Time kStart{};

CoordinatorElection MakeElection(const std::string& name) {
  return {name, name + "-1", ElectionSettings{}};
}

struct HolderCase {
  const char* name;
  CoordinatorEpoch epoch;
  std::set<std::string> live;
  // Latest time at which entry "a" must claim, in milliseconds; -1 for never.
  int claims_by_ms;
};

TEST_CASE("an entry claims if the holder is dead or has resigned") {
  const std::vector<HolderCase> cases = {
      {"no epoch yet", {}, {"a", "b"}, 700},
      {"the holder is alive", {1, "b", "b-1"}, {"a", "b"}, -1},
      {"the holder is dead", {1, "b", "b-1"}, {"a", "c"}, 3000},
      {"the holder resigned", {1, "b", "b-1", true}, {"a", "b"}, 700},
      {"this process holds it", {1, "a", "a-1"}, {"a", "b"}, -1},
      {"an earlier process of this name held it",
       {1, "a", "a-0"},
       {"a", "b"},
       3000},
  };
  for (const HolderCase& one : cases) {
    CAPTURE(one.name);
    CoordinatorElection election = MakeElection("a");
    election.SetLiveEntries(one.live, kStart);
    election.SetEpoch(one.epoch, kStart);
    int claimed_at = -1;
    for (int ms = 0; ms <= 10000 && claimed_at < 0; ms += 50) {
      const auto number = election.ClaimIfDue(kStart + milliseconds(ms));
      if (!number) continue;
      CHECK(*number == one.epoch.number + 1);
      claimed_at = ms;
    }
    CHECK((claimed_at >= 0) == (one.claims_by_ms >= 0));
    CHECK(claimed_at <= one.claims_by_ms);
  }
}

TEST_CASE("live entries claim at different times") {
  const std::set<std::string> live = {"a", "b", "c", "d"};
  std::set<Time> due;
  for (const std::string& name : live) {
    CoordinatorElection election = MakeElection(name);
    election.SetLiveEntries(live, kStart);
    election.SetEpoch({}, kStart);
    REQUIRE(election.NextWake());
    due.insert(*election.NextWake());
  }
  CHECK(due.size() == live.size());
}

TEST_CASE("a new epoch is not challenged during its minimum tenure") {
  CoordinatorElection election = MakeElection("a");
  election.SetLiveEntries({"a"}, kStart);
  election.SetEpoch({1, "b", "b-1"}, kStart);
  CHECK_FALSE(election.ClaimIfDue(kStart + milliseconds(2999)));
  CHECK(election.ClaimIfDue(kStart + milliseconds(3000)));
  // A claim with unknown outcome is repeated only after the claim interval.
  CHECK_FALSE(election.ClaimIfDue(kStart + milliseconds(3100)));
  CHECK(election.ClaimIfDue(kStart + milliseconds(5500)));
}

}  // namespace
}  // namespace thornplank
