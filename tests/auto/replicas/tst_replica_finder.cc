// Tests of how a gateway finds the replicas.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "../coordination/store_fixture.h"
#include "coordination/job_board.h"
#include "entry_calls_fixture.h"
#include "replicas/replica_finder.h"

namespace thornplank::testing {
namespace {

const Partition kBoard{"keyed.thornplank", 0};

ReplicaRoster MakeRoster(int64_t number,
                         const std::vector<std::string>& names) {
  ReplicaRoster roster;
  roster.epoch = 1;
  roster.number = number;
  for (const std::string& name : names) {
    roster.replicas.push_back({name, name, "x"});
  }
  return roster;
}

class Gateway {
 public:
  Gateway()
      : store(io), calls(io), role(RoleSettings()), selector({"me", "x"}) {
    ReplicaFinderSettings settings;
    settings.board = kBoard;
    settings.entry = {"me", "me", "x"};
    settings.interval = Milliseconds(50);
    settings.round_delay = Milliseconds(5);
    settings.initial_retry_delay = Milliseconds(5);
    settings.min_longest_delay = Milliseconds(20);
    settings.no_roster_delay = Milliseconds(5);
    ReplicaFinder::Handlers handlers;
    handlers.on_roster = [this](const ReplicaRoster& roster) {
      if (role.OnRoster(roster, Now())) selector.SetReplicas(roster);
    };
    handlers.on_no_roster = [this] {
      ++no_rosters;
      role.OnNoRoster(Now());
    };
    handlers.on_answered = [this] { ++answered; };
    handlers.on_silent = [this] { ++silent; };
    finder = std::make_unique<ReplicaFinder>(io, store, calls, role, selector,
                                             settings, std::move(handlers));
  }

  void Store(const ReplicaRoster& roster) {
    AppendRequest request;
    request.partition = kBoard;
    request.records = {JobBoard::Roster(roster)};
    store.model.Append(request);
  }

  static Time Now() { return std::chrono::steady_clock::now(); }
  static EntryRoleSettings RoleSettings() {
    EntryRoleSettings settings;
    settings.name = "me";
    return settings;
  }

  boost::asio::io_context io;
  FakeRecordStore store;
  FakeEntryCalls calls;
  EntryRole role;
  ReplicaSelector selector;
  std::unique_ptr<ReplicaFinder> finder;
  int no_rosters = 0;
  int answered = 0;
  int silent = 0;
};

TEST_CASE("a gateway reads the roster once and then only asks replicas") {
  Gateway gateway;
  // A board with many other records: only the roster is read.
  for (int i = 0; i < 50; ++i) {
    AppendRequest request;
    request.partition = kBoard;
    request.records = {{"j" + std::to_string(i), "job", 0}};
    gateway.store.model.Append(request);
  }
  gateway.Store(MakeRoster(1, {"a", "b"}));
  gateway.calls.answers["a"] = FakeAnswer();
  gateway.calls.answers["b"] = FakeAnswer();
  gateway.finder->Start();
  REQUIRE(RunUntil(gateway.io, [&] { return gateway.answered >= 4; }));
  CHECK(gateway.store.newest_reads == 1);
  CHECK(gateway.silent == 0);
}

TEST_CASE("a gateway hears of a newer roster from a replica") {
  Gateway gateway;
  gateway.Store(MakeRoster(1, {"a"}));
  gateway.calls.answers["a"] = FakeAnswer();
  gateway.calls.answers["b"] = FakeAnswer();
  gateway.calls.roster = MakeRoster(2, {"b"});
  gateway.finder->Start();
  REQUIRE(RunUntil(gateway.io, [&] {
    return !gateway.calls.introduced.empty() &&
           gateway.calls.introduced.back() == "b";
  }));
  CHECK(gateway.store.newest_reads == 1);
}

TEST_CASE("the next replica is asked at once if one does not answer") {
  Gateway gateway;
  gateway.Store(MakeRoster(1, {"a", "b", "c"}));
  gateway.calls.answers["c"] = FakeAnswer();
  gateway.finder->Start();
  REQUIRE(RunUntil(gateway.io, [&] { return gateway.answered >= 1; }));
  CHECK(gateway.silent == 0);
  CHECK(gateway.calls.introduced.size() <= 3);
}

TEST_CASE("without any answer the roster is read again") {
  Gateway gateway;
  gateway.Store(MakeRoster(1, {"a"}));
  gateway.finder->Start();
  REQUIRE(RunUntil(gateway.io, [&] { return gateway.silent >= 2; }));
  gateway.Store(MakeRoster(2, {"b"}));
  gateway.calls.answers["b"] = FakeAnswer();
  CHECK(RunUntil(gateway.io, [&] { return gateway.answered >= 1; }));
}

TEST_CASE("a store without a roster, or out of reach, is asked again") {
  Gateway gateway;
  gateway.store.reachable = false;
  gateway.finder->Start();
  REQUIRE(RunUntil(gateway.io,
                   [&] { return gateway.finder->store_unreachable(); }));
  CHECK(gateway.no_rosters == 0);
  gateway.store.reachable = true;
  REQUIRE(RunUntil(gateway.io, [&] { return gateway.no_rosters >= 2; }));
  CHECK(!gateway.finder->store_unreachable());
  gateway.Store(MakeRoster(1, {"a"}));
  gateway.calls.answers["a"] = FakeAnswer();
  CHECK(RunUntil(gateway.io, [&] { return gateway.answered >= 1; }));
}

// Guards against reads that grow with the number of entries: those that lost
// all replicas together must not overload the store.
TEST_CASE("the delay between reads of the roster grows with the entries") {
  struct Row {
    int64_t entries;
    int max_reads;
  };
  for (const Row& row : std::vector<Row>{{0, 60}, {200, 12}, {1200, 8}}) {
    CAPTURE(row.entries);
    Gateway gateway;
    ReplicaRoster roster = MakeRoster(1, {"a"});
    roster.entries = row.entries;
    gateway.Store(roster);
    gateway.finder->Start();
    RunUntil(
        gateway.io, [] { return false; }, std::chrono::milliseconds(400));
    CHECK(gateway.store.newest_reads <= row.max_reads);
    CHECK(gateway.store.newest_reads >= 2);
  }
}

}  // namespace
}  // namespace thornplank::testing
