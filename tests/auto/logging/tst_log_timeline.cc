// Which lines make up a story, and in which order.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "logging/log_timeline.h"

namespace thornplank {
namespace {

constexpr char kId[] = "5c0e7a21d94b36f8";

std::string Line(int time, int event, const std::string& rest,
                 const std::string& instance = "e1") {
  return R"({"time_ms":)" + std::to_string(time) +
         R"(,"level":"info","instance":")" + instance + R"(","event":)" +
         std::to_string(event) + R"(,"name":"n)" + std::to_string(event) +
         "\"" + (rest.empty() ? "" : "," + rest) + "}";
}

std::string Job() { return std::string(R"("job":")") + kId + "\""; }

std::vector<int> Events(const LogTimeline& timeline) {
  std::vector<int> events;
  for (const TimelineEvent& line : timeline.Events()) {
    events.push_back(line.event);
  }
  return events;
}

TEST_CASE("a story holds the id's lines and what explains its waits") {
  struct Row {
    std::string name;
    std::string line;
    bool told;
  };
  const std::vector<Row> rows = {
      {"a change of the lead", Line(150, 901, ""), true},
      {"a loss of the store", Line(150, 905, ""), true},
      {"a configuration", Line(150, 907, R"("version":3)"), true},
      {"a configuration of an entry that had no part",
       Line(150, 907, R"("version":3)", "e7"), false},
      {"its worker falls silent", Line(150, 922, R"("worker":"w1")"), true},
      {"another worker falls silent", Line(150, 922, R"("worker":"w9")"),
       false},
      {"another job", Line(150, 910, R"("job":"0000000000000000")"), false},
      {"the lead, before its time", Line(50, 901, ""), false},
      {"the lead, after its time", Line(500, 901, ""), false},
      {"a task of it is given up",
       Line(150, 939, std::string(R"("task":")") + kId + R"(.0.0.3")"), true},
      {"a task of it",
       Line(150, 917, std::string(R"("task":")") + kId + R"(.0.0.3")"), true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LogTimeline timeline(kId);
    CHECK(timeline.Add(row.line));
    CHECK(timeline.Add(Line(300, 914, Job())));
    CHECK(timeline.Add(Line(100, 910, Job())));
    CHECK(timeline.Add(Line(200, 915, Job() + R"(,"tasks":[[0,"w1"]])")));
    const std::vector<int> events = Events(story);
    CHECK(events.size() == (row.told ? 4 : 3));
    CHECK(events.front() == 910);
    CHECK(events.back() == 914);
  }
}

TEST_CASE("words before the line are skipped, other text is not a line") {
  LogTimeline timeline(kId);
  CHECK(timeline.Add("  0.93 edge-1 " + Line(100, 910, Job())));
  CHECK_FALSE(timeline.Add("no line at all"));
  CHECK_FALSE(timeline.Add("{\"time_ms\":1"));
  CHECK_FALSE(timeline.Add("{\"event\":910}"));
  CHECK(timeline.Events().size() == 1);
}

TEST_CASE("the longest wait lies between two lines of the id itself") {
  LogTimeline timeline(kId);
  timeline.Add(Line(100, 910, Job()));
  timeline.Add(Line(150, 915, Job()));
  timeline.Add(Line(900, 901, ""));
  timeline.Add(Line(1200, 917, Job()));
  const std::vector<TimelineEvent> lines = timeline.Events();
  const std::optional<TimelineGap> gap = LogTimeline::LongestGap(lines);
  REQUIRE(gap.has_value());
  CHECK(gap->length == std::chrono::milliseconds(1050));
  CHECK(lines[gap->from].event == 915);
  CHECK(lines[gap->to].event == 917);
  CHECK_FALSE(LogTimeline::LongestGap({lines.front()}).has_value());
}

}  // namespace
}  // namespace thornplank
