// What reaches the file of a log, and what becomes of one that cannot be
// opened.
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "logging/event_log.h"
#include "logging/events/process_events.h"

namespace thornplank {
namespace {

constexpr char kPath[] = "tst_event_log.log";

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

TEST_CASE("each line is one object, whoever writes it and whatever it holds") {
  for (const LogWriter writer :
       {LogWriter::kBackgroundThread, LogWriter::kCallingThread}) {
    std::remove(kPath);
    Error error;
    REQUIRE(OpenEventLog("e\"1", Severity::kInfo, writer, kPath, &error));
    LogEvent(events::kProcessStarted,
             {{"text", "a\n\"b\" \xff"}, {"list", Json::array({1, "x"})}});
    LogEvent(events::kSettingsNotReloaded, Error{"read", "file", "gone"},
             {{"count", 3}});
    SetLogSeverity(Severity::kError);
    LogEvent(events::kProcessReady, {});
    CloseEventLog();
    const std::vector<Json> lines = ReadLines();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["event"] == events::kProcessStarted.number);
    CHECK(lines[0]["name"] == "process-started");
    CHECK(lines[0]["instance"] == "e\"1");
    CHECK(lines[0]["list"] == Json::array({1, "x"}));
    CHECK(lines[1]["level"] == "error");
    CHECK(lines[1]["step"] == "read");
    CHECK(lines[1]["reason"] == "gone");
    CHECK(lines[1]["count"] == 3);
  }
  std::remove(kPath);
}

TEST_CASE("a storm of one event is cut, told and counted") {
  constexpr int kLines = 5000;
  std::remove(kPath);
  Error error;
  REQUIRE(OpenEventLog("e1", Severity::kInfo, LogWriter::kCallingThread, kPath,
                       &error));
  for (int i = 0; i < kLines; ++i) {
    LogEvent(events::kProcessReady, {});
  }
  const LogTotals totals = log_totals();
  CloseEventLog();
  CHECK(totals.lines + totals.over_budget >= kLines);
  CHECK(totals.over_budget > 0);
  const std::vector<Json> lines = ReadLines();
  uint64_t told = 0;
  for (const Json& line : lines) {
    if (line["event"] != events::kLogLinesLeftOut.number) continue;
    CHECK(line["of_event"] == events::kProcessReady.number);
    told += line["lines"].get<uint64_t>();
  }
  CHECK(told == totals.over_budget);
  std::remove(kPath);
}

TEST_CASE("a file that cannot be opened is told, and logging does nothing") {
  Error error;
  CHECK_FALSE(OpenEventLog("e1", Severity::kInfo, LogWriter::kCallingThread,
                           "no/such/folder/log", &error));
  CHECK(error.peer == "no/such/folder/log");
  CHECK_FALSE(error.reason.empty());
  LogEvent(events::kProcessReady, {});
  CHECK(log_totals().lines == 0);
}

}  // namespace
}  // namespace thornplank
