// The causes to which waits are attributed, and which work counts as discarded.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "logging/log_summary.h"

namespace thornplank {
namespace {

using WaitMilliseconds = std::map<std::string, int64_t>;

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
std::string StopOrdered(int time, const std::string& reason) {
  return Line(time, 916,
              R"("task":"a.0.0.3","run":1,"reason":")" + reason + "\"");
}
std::string RunEnded(int time, const std::string& end, bool in_force = true) {
  return Line(time, 917,
              R"("task":"a.0.0.3","run":1,"lasted_ms":400,"end":")" + end +
                  R"(","in_force":)" + (in_force ? "true" : "false"));
}
std::string LeadershipChange(int time, int event) {
  return Line(time, event, R"("epoch":2)");
}

LogSummaryReport ReportOf(const std::vector<std::string>& lines) {
  LogSummary summary;
  for (const std::string& line : lines) {
    CHECK(summary.Add(line));
  }
  return summary.Report();
}

WaitMilliseconds ToMilliseconds(const WaitsByCause& waits) {
  WaitMilliseconds result;
  for (const auto& [cause, length] : waits) {
    result[cause] = std::chrono::duration_cast<Milliseconds>(length).count();
  }
  return result;
}

TEST_CASE("each part of a wait is attributed to its cause") {
  struct Row {
    const char* name;
    std::vector<std::string> lines;
    WaitMilliseconds waits;
    int64_t duration_ms;
  };
  const std::vector<Row> rows = {
      {"placed in the first round",
       {Accepted(100), Placed(110), State(900, "completed")},
       {{"not yet decided", 10}},
       800},
      {"placed before its acceptance was logged",
       {Placed(99), Accepted(100), State(900, "completed")},
       {},
       801},
      {"its acceptance is not in the logs",
       {Waiting(100, "no room"), Placed(400), State(900, "completed")},
       {{"no room", 300}},
       800},
      {"two reasons in sequence",
       {Accepted(100), Waiting(110, "no room"), Waiting(150, "no rack"),
        Placed(400), State(900, "completed")},
       {{"not yet decided", 10}, {"no room", 40}, {"no rack", 250}},
       800},
      {"lines come in any order",
       {Placed(400), State(900, "completed"), Waiting(110, "no room"),
        Accepted(100)},
       {{"not yet decided", 10}, {"no room", 290}},
       800},
      {"no leader, and no reason was logged",
       {Accepted(100), LeadershipChange(700, 901), Placed(710),
        State(900, "completed")},
       {{"no leader", 600}, {"not yet decided", 10}},
       800},
      {"leadership was released while the job waited",
       {Accepted(100), Waiting(110, "no room"), LeadershipChange(200, 903),
        LeadershipChange(700, 901), Placed(710), State(900, "completed")},
       {{"not yet decided", 20}, {"no room", 90}, {"no leader", 500}},
       800},
      {"a run was lost",
       {Accepted(100), Placed(100), RunEnded(500, "lost"), Placed(800),
        State(900, "completed")},
       {{"again: lost", 300}},
       800},
      {"no end is known",
       {Accepted(100), Waiting(100, "no room"), Waiting(600, "no rack")},
       {{"no room", 500}},
       500},
      {"lines after the end of the job are ignored",
       {Accepted(100), Placed(100), State(900, "completed"),
        RunEnded(950, "stopped")},
       {},
       800},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const LogSummaryReport report = ReportOf(row.lines);
    REQUIRE(report.jobs.size() == 1);
    CHECK(ToMilliseconds(report.jobs[0].waits) == row.waits);
    CHECK(report.jobs[0].duration == Milliseconds(row.duration_ms));
  }
}

// Guards against a wait without end that is summed up as want of room.
TEST_CASE("a wait beside idle room is a cause of its own") {
  const std::string overdue =
      Line(9000, 972,
           R"("step":"a.0.0","reason":"no room","waited_ms":8000,"tasks":1)");
  const LogSummaryReport report =
      ReportOf({Accepted(0), Waiting(1000, "no room"), overdue, Placed(9500)});
  REQUIRE(report.jobs.size() == 1);
  const WaitMilliseconds expected = {{"not yet decided", 1000},
                                     {"beside idle room: no room", 8500}};
  CHECK(ToMilliseconds(report.jobs[0].waits) == expected);
}

TEST_CASE("work without a result is counted by cause and priority") {
  struct Row {
    const char* name;
    std::vector<std::string> lines;
    std::vector<std::string> causes;
  };
  const std::vector<Row> rows = {
      {"a result", {RunEnded(500, "done")}, {}},
      {"the run was no longer in force", {RunEnded(500, "lost", false)}, {}},
      {"the run failed", {RunEnded(500, "failed")}, {"failed"}},
      {"all preemptions have one cause",
       {StopOrdered(300, "gives way to urgent b.0.0"),
        RunEnded(500, "stopped")},
       {"gives way to urgent"}},
      {"stopped for another reason",
       {StopOrdered(300, "worker leaves"), RunEnded(500, "stopped")},
       {"worker leaves"}},
      {"the run failed before it was stopped",
       {StopOrdered(300, "worker leaves"), RunEnded(500, "failed")},
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

// Accounts that take room from each other have to show as a cause of their own.
TEST_CASE("preemption between accounts of one priority is told apart") {
  const std::string placed =
      Line(100, 915,
           R"("job":"a","step":"a.0.0","run":1,"priority":0,"accelerators":2)");
  const LogSummaryReport report =
      ReportOf({placed, StopOrdered(300, "gives way to urgent b.0.0"),
                RunEnded(500, "stopped")});
  REQUIRE(report.discarded_runs.size() == 1);
  CHECK(report.discarded_runs[0].cause ==
        "gives way to urgent work of another account");
  CHECK(report.discarded_runs[0].priority == 0);
}

TEST_CASE("work that a checkpoint preserved is not lost") {
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

// Guards against a summary that is as long as the day: the leader logs a line
// every 10 s for each service.
TEST_CASE("the course of fragmentation, by service and interval") {
  const auto line = [](int64_t second, const std::string& service,
                       const std::string& share) {
    return Line(static_cast<int>(second * 1000), 955,
                R"("service":")" + service +
                    R"(","idle_accelerators":8,"unusable_share":)" + share +
                    R"(,"shapes":2)");
  };
  SUBCASE("lines 10 s apart are shown one by one, in order of time") {
    const LogSummaryReport report =
        ReportOf({line(120, "b", "1"), line(110, "b", "0.5"),
                  line(100, "a", "0.25"), line(105, "a", "0.75")});
    CHECK(report.jobs.empty());
    REQUIRE(report.fragmentation.size() == 3);
    CHECK(report.fragmentation[0].service == "a");
    CHECK(report.fragmentation[0].lines == 2);
    CHECK(report.fragmentation[0].idle_accelerators == 8);
    CHECK(report.fragmentation[0].unusable_share == doctest::Approx(0.5));
    CHECK(report.fragmentation[0].max_unusable_share == doctest::Approx(0.75));
    CHECK(report.fragmentation[1].service == "b");
    CHECK(report.fragmentation[1].begin == FromUnixMilliseconds(110000));
    CHECK(report.fragmentation[1].unusable_share == doctest::Approx(0.5));
    CHECK(report.fragmentation[2].begin == FromUnixMilliseconds(120000));
  }
  SUBCASE("a long time is divided into few intervals") {
    constexpr int kLines = 8000;
    std::vector<std::string> lines;
    lines.reserve(kLines);
    for (int i = 0; i < kLines; ++i) {
      lines.push_back(line(100 + i * 10, "a", i < 4000 ? "0" : "1"));
    }
    const LogSummaryReport report = ReportOf(lines);
    REQUIRE(report.fragmentation.size() == 20);
    int64_t counted = 0;
    for (const FragmentationInterval& interval : report.fragmentation) {
      counted += interval.lines;
    }
    CHECK(counted == 8000);
    CHECK(report.fragmentation.front().unusable_share == 0);
    CHECK(report.fragmentation.back().unusable_share == 1);
  }
  SUBCASE("lines without the fields are left out") {
    CHECK(ReportOf({Line(100, 955, R"("service":"a")"), Line(100, 955, "")})
              .fragmentation.empty());
  }
}

TEST_CASE("other text is not a line") {
  LogSummary summary;
  CHECK_FALSE(summary.Add("no line at all"));
  CHECK(summary.Add(Line(100, 100, "")));
  CHECK(summary.Report().jobs.empty());
}

}  // namespace
}  // namespace thornplank
