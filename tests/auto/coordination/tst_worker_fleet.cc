// Calls of workers: what each kind of answer does to the belief on a worker.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

// Workers that answer a part of their orders late or never: the run begins with
// the copy that arrives first, and nothing is held for one that had no answer.
TEST_CASE("a start order without an answer is sent again") {
  constexpr StartOutcome kNone = StartOutcome::kNoAnswer;
  struct Row {
    const char* name;
    std::vector<StartOutcome> answers;
    int copies;
    // Known to run; else nothing is known until a report.
    bool runs;
  };
  const std::vector<Row> rows = {
      {"answered", {StartOutcome::kAccepted}, 1, true},
      {"the second is answered", {kNone, StartOutcome::kAccepted}, 2, true},
      {"the third is", {kNone, kNone, StartOutcome::kAccepted}, 3, true},
      {"none is", {kNone, kNone, kNone, kNone}, 3, false},
      {"the first may have run when the second is refused",
       {kNone, StartOutcome::kRefused},
       2,
       false},
      {"or has no ticket", {kNone, StartOutcome::kTicketRefused}, 2, false},
      {"or is fenced", {kNone, StartOutcome::kFenced}, 2, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.first_starts = row.answers;
    fixture.calls.status = CallOutcome::kNoAnswer;
    fixture.Start();
    CHECK(fixture.calls.starts == row.copies);
    CHECK(fixture.ends.empty());
    const auto& runs = fixture.fleet.trackers().at("w1").runs();
    REQUIRE(runs.size() == 1);
    CHECK(runs.begin()->second.stage ==
          (row.runs ? RunStage::kRunning : RunStage::kUnknown));
  }
}

// An urgent gang waited up to a quarter of a second for room that was free: the
// ends of runs that were told to stop were asked for in that pace.
TEST_CASE("the end of a run that stops is told as it comes") {
  Fixture fixture;
  fixture.calls.report.running = {{kTask, 1, "", 10}};
  fixture.calls.answers_waiting = true;
  fixture.Start();
  fixture.calls.answers_waiting = false;
  fixture.fleet.RequestStop("w1", kTask, 1, "gives way");
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1), true);
  REQUIRE(fixture.calls.waiting != nullptr);
  CHECK(fixture.ends.empty());
  fixture.calls.report.running.clear();
  RunEndReport end;
  end.number = 1;
  end.task = kTask;
  end.run = 1;
  end.end = RunEnd::kStopped;
  fixture.calls.report.ended = {end};
  fixture.calls.AnswerWaiting();
  CHECK(fixture.ends == std::vector<RunEnd>{RunEnd::kStopped});
}

TEST_CASE("what the answer to a start does") {
  struct Row {
    const char* name;
    StartOutcome answer;
    // Ends as lost.
    bool settled;
    bool worker_known;
    int fenced;
  };
  const std::vector<Row> rows = {
      {"accepted", StartOutcome::kAccepted, false, true, 0},
      {"refused", StartOutcome::kRefused, true, true, 0},
      {"no answer", StartOutcome::kNoAnswer, false, true, 0},
      {"fenced", StartOutcome::kFenced, true, true, 1},
      {"another life", StartOutcome::kOtherIncarnation, true, false, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.start = row.answer;
    fixture.Start();
    CHECK(fixture.ends.size() == (row.settled ? 1 : 0));
    CHECK(fixture.knows_worker() == row.worker_known);
    CHECK(fixture.fenced == row.fenced);
  }
}

TEST_CASE("tasks that fill are slowed beside a serving task in need") {
  struct Row {
    std::string name;
    int64_t tail;
    CallOutcome answer;
    std::vector<int> told;
  };
  const std::vector<Row> rows = {
      {"all is well", 40, CallOutcome::kOk, {}},
      {"the tail is over its target", 150, CallOutcome::kOk, {25, 6, 0}},
      {"near its target", 95, CallOutcome::kOk, {66, 44, 29}},
      {"told again until it is confirmed",
       150,
       CallOutcome::kNoAnswer,
       {25, 6, 0}},
  };
  const TaskRef serving{{"0123456789abcdef", 0, 1}, 0};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.pace = row.answer;
    RunProfile filler;
    filler.is_filler = true;
    fixture.fleet.Add("w1", kTask, 1, filler, Fixture::Now());
    RunProfile server;
    server.long_running = true;
    server.tail_latency_target = Milliseconds(100);
    fixture.fleet.Add("w1", serving, 1, server, Fixture::Now());
    fixture.calls.report.running = {{kTask, 1, "", 10, 2000},
                                    {serving, 1, "", 100, row.tail}};
    for (int i = 0; i < 3; ++i) {
      fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1), true);
      fixture.calls.AnswerWaiting();
    }
    CHECK(fixture.calls.paces == row.told);
  }
}

TEST_CASE("a stop that finds nobody is repeated after a pause") {
  Fixture fixture;
  fixture.Start();
  fixture.calls.stop = CallOutcome::kNoAnswer;
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  REQUIRE(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(100), /*may_renew=*/true);
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(300), /*may_renew=*/true);
  CHECK(fixture.calls.stops == 2);
}

TEST_CASE("nothing begins in a failure domain that takes no new work") {
  struct Row {
    const char* name;
    // Closed before the order is sent, or while it has no answer.
    bool before;
    std::set<std::string> closed;
    int orders;
  };
  const std::vector<Row> rows = {
      {"another one is closed", true, {"b"}, 3},
      {"closed after the decision", true, {"a"}, 0},
      {"closed while the order has no answer", false, {"a"}, 1},
      {"with another", true, {"a", "b"}, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.fleet.OnDirectoryRecord({"w1", "listed", 1}, Fixture::Now());
    fixture.calls.start = StartOutcome::kNoAnswer;
    fixture.fleet.Add("w1", kTask, 1, RunProfile(), Fixture::Now());
    if (row.before) {
      fixture.fleet.CloseDomains(row.closed);
    } else {
      fixture.calls.on_start = [&] { fixture.fleet.CloseDomains(row.closed); };
    }
    fixture.fleet.SendStart("w1", kTask, 1, {});
    CHECK(fixture.calls.starts == row.orders);
    // What was never sent is settled; what may have begun is not.
    CHECK(fixture.ends.size() == (row.orders == 0 ? 1 : 0));
  }
}

// Guards against starts that were decided while the worker was larger: between
// the decision and the order lies a record in the store.
TEST_CASE("nothing begins on a worker that has shrunk below what it holds") {
  struct Row {
    const char* name;
    // Its entries before the order is sent, and while it has no answer.
    std::vector<std::string> before;
    std::vector<std::string> during;
    int orders;
  };
  const std::vector<Row> rows = {
      {"as it was", {"listed"}, {}, 3},
      {"shrunk after the decision", {kShrunk}, {}, 0},
      {"shrunk, and grown again", {kShrunk, "listed"}, {}, 3},
      {"shrunk while the order has no answer", {}, {kShrunk}, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.start = StartOutcome::kNoAnswer;
    RunProfile profile;
    profile.need.accelerators = 4;
    fixture.fleet.Add("w1", kTask, 1, profile, Fixture::Now());
    for (const std::string& entry : row.before) {
      fixture.fleet.OnDirectoryRecord({"w1", entry, 1}, Fixture::Now());
    }
    fixture.calls.on_start = [&] {
      for (const std::string& entry : row.during) {
        fixture.fleet.OnDirectoryRecord({"w1", entry, 2}, Fixture::Now());
      }
    };
    fixture.fleet.SendStart("w1", kTask, 1, {});
    CHECK(fixture.calls.starts == row.orders);
    CHECK(fixture.ends.size() == (row.orders == 0 ? 1 : 0));
  }
}

TEST_CASE("a worker that moves is judged by the domain where it stands") {
  Fixture fixture;
  fixture.fleet.CloseDomains({"b"});
  const auto belief = [&fixture] {
    return fixture.fleet.trackers().at("w1").domain_closed();
  };
  CHECK_FALSE(belief());
  fixture.fleet.OnDirectoryRecord({"w1", kInDomainB, 1}, Fixture::Now());
  CHECK(belief());
  fixture.fleet.CloseDomains({});
  CHECK_FALSE(belief());
}

TEST_CASE("a worker of a service that nobody configured is not looked at") {
  Fixture fixture;
  const int before = fixture.calls.reports;
  fixture.fleet.OnDirectoryRecord({"w9", kStray, 1}, Fixture::Now());
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1), true);
  CHECK(fixture.calls.reports == before);
}

TEST_CASE("a worker that does not answer is asked on, but not renewed") {
  Fixture fixture;
  fixture.calls.status = CallOutcome::kNoAnswer;
  fixture.calls.answers_waiting = true;
  fixture.Start();
  const int before = fixture.calls.reports;
  Time now = Fixture::Now();
  for (int i = 0; i < 5; ++i) {
    now += Milliseconds(300);
    fixture.fleet.Tick(now, /*may_renew=*/true);
    // Only the first, before its silence showed.
    CHECK(fixture.calls.renewed == (i == 0));
  }
  CHECK(fixture.calls.reports == before + 5);
  CHECK(fixture.ends.empty());
}

TEST_CASE("nothing is started by one that may lead no more") {
  Fixture fixture;
  fixture.fleet.Tick(Fixture::Now(), /*may_renew=*/false);
  fixture.Start();
  CHECK(fixture.calls.starts == 0);
  REQUIRE(fixture.ends.size() == 1);
  CHECK(fixture.ends[0] == RunEnd::kLost);
}

TEST_CASE("leases and stops fit what the workers promise") {
  struct Row {
    const char* name;
    Milliseconds longest_lease;
    Milliseconds stop;
  };
  const std::vector<Row> rows = {
      {"as by default", Milliseconds(10000), Milliseconds(400)},
      {"short leases", Milliseconds(3000), Milliseconds(200)},
      {"slow stops", Milliseconds(6000), Milliseconds(1500)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerBounds bounds;
    bounds.longest_lease = row.longest_lease;
    bounds.stop_bound = row.stop;
    Fixture fixture(bounds);
    // The worker's clock, as its first report has it, begins at zero.
    const Time begin = Fixture::Now();
    fixture.Start();
    // Behind the pause after the first report.
    fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1),
                       /*may_renew=*/true);
    REQUIRE(fixture.calls.renewed);
    const Duration slack = Fixture::Now() - begin + Milliseconds(1);
    CHECK(fixture.calls.lease_until <= row.longest_lease + slack);
    fixture.fleet.RequestStop("w1", kTask, 1, "test");
    REQUIRE(fixture.calls.stops == 1);
    // A worker that takes its time is not told again before it is over.
    fixture.fleet.Tick(Fixture::Now() + row.stop, /*may_renew=*/true);
    CHECK(fixture.calls.stops == 1);
    fixture.fleet.Tick(Fixture::Now() + row.stop + std::chrono::seconds(1),
                       /*may_renew=*/true);
    CHECK(fixture.calls.stops == 2);
  }
}

TEST_CASE("a stop is sent for a run once, and again only without an end") {
  Fixture fixture;
  fixture.Start();
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(200), /*may_renew=*/true);
  CHECK(fixture.calls.stops == 1);
}

}  // namespace
}  // namespace thornplank::testing
