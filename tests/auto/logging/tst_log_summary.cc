// Which cause a wait is put down to, and which work counts as thrown away.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "logging/log_summary.h"

namespace thornplank {
namespace {

using Waits = std::map<std::string, int64_t>;

std::string Line(int time, int event, const std::string& fields) {
  return R"({"time_ms":)" + std::to_string(time) +
         R"(,"level":"info","instance":"e1","event":)" + std::to_string(event) +
         R"(,"name":"n")" + (fields.empty() ? "" : "," + fields) + "}";
}

std::string Accepted(int time, const std::string& job = "a") {
  return Line(time, 910, R"("job":")" + job + "\"");
}
std::string State(int time, const std::string& state) {
  return Line(time, 914, R"("job":"a","state":")" + state + "\"");
}
std::string Waiting(int time, const std::string& reason) {
  return Line(time, 928,
              R"("step":"a.0.0","priority":1,"reason":")" + reason + "\"");
}
std::string Placed(int time, const std::string& step = "a.0.0") {
  return Line(time, 915,
              R"("step":")" + step + R"(","priority":1,"accelerators":2)");
}
std::string Stop(int time, const std::string& reason) {
  return Line(time, 916,
              R"("task":"a.0.0.3","run":1,"reason":")" + reason + "\"");
}
std::string Ended(int time, const std::string& end, bool in_force = true) {
  return Line(time, 917,
              R"("task":"a.0.0.3","run":1,"lasted_ms":400,"end":")" + end +
                  R"(","in_force":)" + (in_force ? "true" : "false"));
}
std::string Lead(int time, int event) {
  return Line(time, event, R"("epoch":2)");
}

LogSummaryReport ReportOf(const std::vector<std::string>& lines) {
  LogSummary summary;
  for (const std::string& line : lines) {
    CHECK(summary.Add(line));
  }
  return summary.Report();
}

Waits ToCounts(const WaitsByCause& waits) {
  Waits counts;
  for (const auto& [cause, length] : waits) {
    counts[cause] = std::chrono::duration_cast<Milliseconds>(length).count();
  }
  return counts;
}

TEST_CASE("each part of a wait is put down to its cause") {
  struct Row {
    const char* name;
    std::vector<std::string> lines;
    Waits waits;
    int64_t lasted_ms;
  };
  const std::vector<Row> rows = {
      {"placed in the first round",
       {Accepted(100), Placed(110), State(900, "completed")},
       {{"not yet decided", 10}},
       800},
      {"placed before its acceptance was told",
       {Placed(99), Accepted(100), State(900, "completed")},
       {},
       801},
      {"its acceptance is not in the logs",
       {Waiting(100, "no room"), Placed(400), State(900, "completed")},
       {{"no room", 300}},
       800},
      {"reasons follow one another",
       {Accepted(100), Waiting(110, "no room"), Waiting(150, "no rack"),
        Placed(400), State(900, "completed")},
       {{"not yet decided", 10}, {"no room", 40}, {"no rack", 250}},
       800},
      {"lines come in any order",
       {Placed(400), State(900, "completed"), Waiting(110, "no room"),
        Accepted(100)},
       {{"not yet decided", 10}, {"no room", 290}},
       800},
      {"the lead was vacant, and nothing was told",
       {Accepted(100), Lead(700, 901), Placed(710), State(900, "completed")},
       {{"no leader", 600}, {"not yet decided", 10}},
       800},
      {"the lead was given back meanwhile",
       {Accepted(100), Waiting(110, "no room"), Lead(200, 903), Lead(700, 901),
        Placed(710), State(900, "completed")},
       {{"not yet decided", 20}, {"no room", 90}, {"no leader", 500}},
       800},
      {"a run was lost",
       {Accepted(100), Placed(100), Ended(500, "lost"), Placed(800),
        State(900, "completed")},
       {{"again: lost", 300}},
       800},
      {"no end is known",
       {Accepted(100), Waiting(100, "no room"), Waiting(600, "no rack")},
       {{"no room", 500}},
       500},
      {"nothing counts after the end",
       {Accepted(100), Placed(100), State(900, "completed"),
        Ended(950, "stopped")},
       {},
       800},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const LogSummaryReport report = ReportOf(row.lines);
    REQUIRE(report.jobs.size() == 1);
    CHECK(ToCounts(report.jobs[0].waits) == row.waits);
    CHECK(report.jobs[0].duration == Milliseconds(row.lasted_ms));
  }
}

TEST_CASE("work without a result is counted by cause and priority") {
  struct Row {
    const char* name;
    std::vector<std::string> lines;
    std::vector<std::string> causes;
  };
  const std::vector<Row> rows = {
      {"a result", {Ended(500, "done")}, {}},
      {"nothing waited for it", {Ended(500, "lost", false)}, {}},
      {"by itself", {Ended(500, "failed")}, {"failed"}},
      {"whom it gave way to does not matter",
       {Stop(300, "gives way to urgent b.0.0"), Ended(500, "stopped")},
       {"gives way to urgent"}},
      {"another stop",
       {Stop(300, "worker leaves"), Ended(500, "stopped")},
       {"worker leaves"}},
      {"it ended otherwise before the stop came",
       {Stop(300, "worker leaves"), Ended(500, "failed")},
       {"failed"}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<std::string> lines = {Placed(100)};
    lines.insert(lines.end(), row.lines.begin(), row.lines.end());
    const LogSummaryReport report = ReportOf(lines);
    std::vector<std::string> causes;
    for (const DiscardedRuns& runs : report.discarded_runs) {
      causes.push_back(runs.cause);
      CHECK(runs.priority == 1);
      CHECK(runs.runs == 1);
      CHECK(runs.lost_accelerator_time == Milliseconds(800));
    }
    CHECK(causes == row.causes);
  }
}

TEST_CASE("what a checkpoint kept is not thrown away") {
  const std::string ended = Line(
      500, 917,
      R"("task":"a.0.0.3","run":1,"lasted_ms":400,"kept_ms":300,"end":"lost",)"
      R"("in_force":true)");
  const LogSummaryReport report = ReportOf({Placed(100), ended});
  REQUIRE(report.discarded_runs.size() == 1);
  CHECK(report.discarded_runs[0].lost_accelerator_time == Milliseconds(200));
  CHECK(report.discarded_runs[0].kept_accelerator_time == Milliseconds(600));
}

TEST_CASE("jobs that are not completed come first, then the longest waits") {
  const LogSummaryReport report = ReportOf(
      {Accepted(100, "b"), Placed(110, "b.0.0"),
       Line(900, 914, R"("job":"b","state":"completed")"), Accepted(100, "c"),
       Placed(300, "c.0.0"), Line(900, 914, R"("job":"c","state":"completed")"),
       Accepted(100, "d"), Placed(105, "d.0.0"),
       Line(900, 914, R"("job":"d","state":"failed")")});
  std::vector<std::string> jobs;
  for (const JobSummary& job : report.jobs) {
    jobs.push_back(job.job);
  }
  CHECK(jobs == std::vector<std::string>{"d", "c", "b"});
}

TEST_CASE("other text is not a line") {
  LogSummary summary;
  CHECK_FALSE(summary.Add("no line at all"));
  CHECK(summary.Add(Line(100, 100, "")));
  CHECK(summary.Report().jobs.empty());
}

}  // namespace
}  // namespace thornplank
