// Tests that the loss and the return of a stream are logged once each.
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "coordination/stream_reachability.h"
#include "logging/event_log.h"
#include "logging/events/coordination_events.h"

namespace thornplank::testing {
namespace {

TEST_CASE("each loss and each return is logged as one event") {
  constexpr char kPath[] = "tst_stream_reachability.log";
  std::remove(kPath);
  Error error;
  REQUIRE(OpenEventLog("e1", Severity::kInfo, LogWriter::kCallingThread, kPath,
                       &error));
  StreamReachability contact("directory");
  contact.OnReadSucceeded(1);
  for (int i = 0; i < 3; ++i) {
    contact.OnReadFailed({"read", "127.0.0.1:1", "timed out"});
  }
  contact.OnReadSucceeded(7);
  contact.OnReadSucceeded(8);
  contact.OnReadFailed({"read", "127.0.0.1:1", "status 503"});
  CloseEventLog();
  std::vector<Json> lines;
  std::ifstream file(kPath);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(ParseJson(line).value_or(Json::object()));
  }
  REQUIRE(lines.size() == 3);
  for (const Json& line : lines) {
    CHECK(line["stream"] == "directory");
  }
  CHECK(lines[0]["event"] == events::kStoreLost.number);
  CHECK(lines[0]["reason"] == "timed out");
  CHECK(lines[1]["event"] == events::kStoreBack.number);
  CHECK(lines[1]["next"] == 7);
  CHECK(lines[2]["reason"] == "status 503");
  std::remove(kPath);
}

}  // namespace
}  // namespace thornplank::testing
