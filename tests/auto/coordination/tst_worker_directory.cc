// What a fleet learns from a directory that was read before the fleet existed.
#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/worker_directory.h"
#include "store_fixture.h"
#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

const Partition kWorkers{"keyed.servers", 0};

struct Setup {
  Setup() : store(io) {}

  void Write(const std::string& worker,
             const std::optional<std::string>& value) {
    AppendRequest request;
    request.partition = kWorkers;
    request.records = {{worker, value, 0}};
    store.model.Append(request);
  }

  static RecordTailSettings TailSettings() {
    RecordTailSettings settings;
    settings.partition = kWorkers;
    settings.long_poll_wait = Milliseconds(20);
    return settings;
  }

  // The workers that the fleet knows and that are still listed.
  std::set<std::string> Listed() const {
    std::set<std::string> ids;
    for (const auto& [id, tracker] : fixture.fleet.trackers()) {
      if (!tracker.missing()) ids.insert(id);
    }
    return ids;
  }

  boost::asio::io_context io;
  FakeRecordStore store;
  Fixture fixture;
};

// The directory is read while leadership is still being claimed. Whatever
// happens to a worker in that time, the fleet must know its newest record.
TEST_CASE("a fleet gets the newest record of each worker when it is attached") {
  struct Row {
    const char* name;
    // Written before the directory is first read, and before the fleet is
    // attached.
    std::vector<std::pair<std::string, std::optional<std::string>>> first;
    std::vector<std::pair<std::string, std::optional<std::string>>> second;
    std::set<std::string> listed;
    bool w2_leaves;
  };
  const std::vector<Row> rows = {
      {"one joins",
       {{"w1", "listed"}},
       {{"w2", "listed"}},
       {"w1", "w2"},
       false},
      {"one is removed",
       {{"w1", "listed"}, {"w2", "listed"}},
       {{"w1", std::nullopt}},
       {"w2"},
       false},
      {"one announces that it leaves",
       {{"w1", "listed"}, {"w2", "listed"}},
       {{"w2", kLeaving}},
       {"w1", "w2"},
       true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Setup setup;
    for (const auto& [worker, value] : row.first) setup.Write(worker, value);
    WorkerDirectory directory(setup.io, setup.store, Setup::TailSettings());
    REQUIRE(RunUntil(setup.io, [&] { return directory.has_snapshot(); }));
    for (const auto& [worker, value] : row.second) setup.Write(worker, value);
    const auto begun = std::chrono::steady_clock::now();
    RunUntil(setup.io, [&] {
      return std::chrono::steady_clock::now() - begun > Milliseconds(60);
    });
    directory.Attach(&setup.fixture.fleet);
    setup.fixture.Tick(Fixture::Now() + std::chrono::seconds(10));
    CHECK(setup.Listed() == row.listed);
    const auto& trackers = setup.fixture.fleet.trackers();
    const auto w2 = trackers.find("w2");
    REQUIRE(w2 != trackers.end());
    CHECK(w2->second.registration().draining == row.w2_leaves);
  }
}

TEST_CASE("an attached fleet gets records as they come") {
  Setup setup;
  WorkerDirectory directory(setup.io, setup.store, Setup::TailSettings());
  directory.Attach(&setup.fixture.fleet);
  setup.Write("w2", "listed");
  CHECK(RunUntil(setup.io, [&] { return setup.Listed().count("w2") > 0; }));
}

}  // namespace
}  // namespace thornplank::testing
