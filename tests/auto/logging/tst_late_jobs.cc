// What a late job is put down to, from the lines of its life.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "logging/log_summary.h"

namespace thornplank {
namespace {

std::string Line(int time, int event, const std::string& fields) {
  return R"({"time_ms":)" + std::to_string(time) +
         R"(,"level":"info","instance":"e1","event":)" + std::to_string(event) +
         R"(,"name":"n",)" + fields + "}";
}

std::string Refused(int time, const std::string& method = "POST") {
  return Line(time, 911,
              R"("job":"a","cause":"store_away","method":")" + method + "\"");
}
// To be done within a second.
std::string Accepted(int time) {
  return Line(time, 910, R"("job":"a","account":"north","objective_ms":1000)");
}
std::string Waiting(int time, const std::string& reason) {
  return Line(time, 928,
              R"("step":"a.0.0","priority":1,"reason":")" + reason + "\"");
}
std::string Placed(int time) {
  return Line(time, 915, R"("step":"a.0.0","priority":1,"accelerators":2)");
}
std::string Ended(int time, int member, const std::string& end, int lasted) {
  return Line(time, 917,
              R"("task":"a.0.0.)" + std::to_string(member) +
                  R"(","run":1,"in_force":true,"end":")" + end +
                  R"(","lasted_ms":)" + std::to_string(lasted));
}
std::string State(int time, const std::string& state) {
  return Line(time, 914, R"("job":"a","state":")" + state + "\"");
}

TEST_CASE("a late job is put down to the first thing that made it late") {
  struct Row {
    const char* name;
    std::vector<std::string> lines;
    // "" when it was in time.
    std::string cause;
    int64_t late_ms = 0;
  };
  const std::vector<Row> rows = {
      {"in time", {Accepted(0), Placed(10), State(1000, "completed")}, ""},
      {"its run took long",
       {Accepted(0), Placed(10), State(1500, "completed")},
       "ran longer than estimated",
       500},
      {"it was cancelled",
       {Accepted(0), Placed(10), State(1500, "cancelled")},
       ""},
      {"its caller was refused",
       {Refused(0), Accepted(900), Placed(910), State(1500, "completed")},
       "refused: store_away",
       500},
      {"it was refused a moment only, and waited for room",
       {Refused(0), Accepted(50), Waiting(60, "no room"), Placed(900),
        State(1500, "completed")},
       "no room",
       500},
      {"only its state was refused",
       {Accepted(0), Placed(10), Refused(20, "GET"), State(1500, "completed")},
       "ran longer than estimated",
       500},
      {"nobody led",
       {Accepted(0), Line(800, 901, R"("epoch":2)"), Placed(810),
        State(1500, "completed")},
       "no leader",
       500},
      {"the member that failed, not those that ended with it",
       {Accepted(0), Placed(10), Ended(500, 1, "gang-broken", 490),
        Ended(510, 0, "failed", 480), Placed(520), State(1600, "completed")},
       "failed",
       600},
      {"what came first counts, not what took longest",
       {Accepted(0), Waiting(10, "no room"), Placed(150),
        Ended(900, 0, "failed", 700), Placed(910), State(1900, "completed")},
       "no room",
       900},
      {"a run that was hardly begun is no cause",
       {Accepted(0), Placed(10), Ended(60, 0, "lost", 0), Placed(70),
        State(1500, "completed")},
       "ran longer than estimated",
       500},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LogSummary summary;
    for (const std::string& line : row.lines) {
      CHECK(summary.Add(line));
    }
    const std::vector<LateJobsByCause> late = summary.Report().late_jobs;
    REQUIRE(late.size() == (row.cause.empty() ? 0 : 1));
    if (late.empty()) continue;
    CHECK(late[0].cause == row.cause);
    CHECK(late[0].priority == 1);
    CHECK(late[0].jobs == 1);
    CHECK(late[0].total_lateness == Milliseconds(row.late_ms));
    CHECK(late[0].accounts.at("north") == 1);
    CHECK(late[0].entries.at("e1") == 1);
  }
}

// Entries of an earlier version don't say by when a job should be done.
TEST_CASE("a job without an objective is not judged") {
  LogSummary summary;
  CHECK(summary.Add(Line(0, 910, R"("job":"a","account":"north")")));
  CHECK(summary.Add(Placed(10)));
  CHECK(summary.Add(State(90000, "completed")));
  CHECK(summary.Report().late_jobs.empty());
}

}  // namespace
}  // namespace thornplank
