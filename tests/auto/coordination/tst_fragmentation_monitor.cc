// When fragmentation is measured and logged.
#include "coordination/fragmentation_monitor.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "logging/event_log.h"
#include "logging/events/coordination_events.h"

namespace thornplank::testing {
namespace {

constexpr char kPath[] = "tst_fragmentation_monitor.log";

std::vector<Json> ReadLines() {
  std::vector<Json> lines;
  std::ifstream file(kPath);
  for (std::string line; std::getline(file, line);) {
    const auto json = ParseJson(line);
    REQUIRE(json.has_value());
    lines.push_back(*json);
  }
  return lines;
}

// Guards against a line of each measurement in a log of limited size, and
// against lines about services in which nothing waits.
TEST_CASE("a line every 10 s while steps of the service wait") {
  struct Row {
    const char* name;
    std::set<std::string> waiting;
    int seconds;
    size_t lines;
  };
  const std::vector<Row> rows = {
      {"nothing waits", {}, 25, 0},
      {"steps of another service wait", {"letters"}, 25, 0},
      {"steps wait", {"claims"}, 25, 3},
      {"steps wait, and no shape was asked for recently", {"claims"}, 45, 3},
  };
  std::map<std::string, WorkerTracker> workers;
  workers.emplace("w0", MakeTracker(MakeWorker("w0", "r0", 3)));
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::remove(kPath);
    Error error;
    REQUIRE(OpenEventLog("e1", Severity::kInfo, LogWriter::kCallingThread,
                         kPath, &error));
    FragmentationMonitor monitor;
    monitor.OnJob(MakeJob("0123456789abcdef", {MakeStep(3, 1), MakeStep(1, 4)}),
                  At(0));
    int measured = 0;
    for (int tick = 0; tick < row.seconds * 10; ++tick) {
      const Time now = At(tick * 100);
      if (!monitor.IsDue(now)) continue;
      ++measured;
      monitor.Measure(workers, row.waiting, now);
    }
    CloseEventLog();
    CHECK(measured == row.seconds);
    const std::vector<Json> lines = ReadLines();
    CHECK(lines.size() == row.lines);
    for (const Json& line : lines) {
      CHECK(line["event"] == events::kFragmentation.number);
      CHECK(line["service"] == "claims");
      CHECK(line["idle_accelerators"] == 3);
      CHECK(line["unusable_share"] == 0.5);
      CHECK(line["shapes"] == 2);
    }
  }
  std::remove(kPath);
}

}  // namespace
}  // namespace thornplank::testing
