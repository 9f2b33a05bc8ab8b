// What is logged of a gang that waits for members of its last run.
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "coordinator_cluster.h"
#include "logging/event_log.h"

namespace thornplank::testing {
namespace {

// Guards against a gang of which nothing is logged while it waits for a member
// that may still be on a worker.
TEST_CASE("a gang that waits for members of its last run says so") {
  const char* const path = "unsettled-gang.log";
  Error error;
  REQUIRE(OpenEventLog("a", Severity::kInfo, LogWriter::kCallingThread, path,
                       &error));
  Cluster cluster;
  Entry& first = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return first.Knows(2); }));
  cluster.Add("b");
  StepSpec gang = MakeStep(2, 8);
  gang.gang = true;
  cluster.Submit({gang}, 60000);
  REQUIRE(
      RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 2; }));
  cluster.calls.dead = {"w2"};
  cluster.Append(kWorkers, {"w2", std::nullopt, 0});
  // Ends the other member.
  cluster.calls.models.at("w1").Restart(ClockMs());
  cluster.entries.erase(cluster.entries.begin());
  const auto logged = [&](const char* text) {
    std::ifstream log(path);
    const std::string lines((std::istreambuf_iterator<char>(log)), {});
    return lines.find(text) != std::string::npos;
  };
  CHECK(RunUntil(cluster.io, [&] {
    return logged("members of its last run may still be on their workers");
  }));
  CHECK(logged("\"unsettled\":[[\"w2\","));
  CHECK(logged("worker-unlisted"));
  CloseEventLog();
  std::remove(path);
}

}  // namespace
}  // namespace thornplank::testing
