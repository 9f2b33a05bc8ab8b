// Workers that restart, leave, or are listed wrongly: what has ended there.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

// Guards against a worker that is dead by its id for as long as its leader
// leads.
TEST_CASE(
    "a life that is over stays so; another one under its id is a new one") {
  struct Row {
    const char* name;
    const char* entry;
    bool known;
  };
  const std::vector<Row> rows = {
      {"listed as it was", "born at 5000", false},
      {"born anew", "born at 9000", true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.fleet.OnDirectoryRecord({"w1", "born at 5000", 1}, Fixture::Now());
    fixture.calls.start = StartOutcome::kOtherLife;
    fixture.Start();
    REQUIRE_FALSE(fixture.knows_worker());
    fixture.fleet.OnDirectoryRecord({"w1", row.entry, 2}, Fixture::Now());
    CHECK(fixture.knows_worker() == row.known);
  }
}

// Guards against ends that a worker forgets by the numbers of its last life.
TEST_CASE("ends are told as recorded once, and to the life that counted them") {
  Fixture fixture;
  fixture.calls.answers_waiting = true;
  fixture.calls.report.birth.born = FromUnixMilliseconds(5000);
  fixture.calls.report.ended = {{7, kTask, 1, RunEnd::kDone, ""}};
  fixture.Start();
  Time now = Fixture::Now();
  const auto tick = [&fixture, &now] {
    now += std::chrono::seconds(1);
    fixture.fleet.Tick(now, /*may_renew=*/true);
  };
  tick();
  fixture.fleet.OnEndsRecorded("w1", 0, 7);
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 7);
  // Another run, so that the worker is asked on: the number is known there.
  fixture.fleet.Add("w1", kTask, 2, RunProfile(), now);
  fixture.fleet.SendStart("w1", kTask, 2, {});
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 0);
  // An end of its while another run goes on.
  fixture.calls.report.ended = {{8, kTask, 2, RunEnd::kDone, ""}};
  fixture.fleet.Add("w1", {kTask.step, 1}, 1, RunProfile(), now);
  fixture.fleet.SendStart("w1", {kTask.step, 1}, 1, {});
  fixture.calls.report.running = {{{kTask.step, 1}, 1, "", 5, 0}};
  tick();
  fixture.fleet.OnEndsRecorded("w1", 0, 8);
  tick();
  CHECK(fixture.calls.waits_that_tell == 0);
  fixture.calls.report.running.clear();
  fixture.calls.report.birth.born = FromUnixMilliseconds(9000);
  fixture.calls.report.ended.clear();
  tick();
  CHECK(fixture.fleet.trackers().at("w1").life() == 1);
  fixture.fleet.OnEndsRecorded("w1", 0, 7);
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 0);
}

TEST_CASE("orders of the life before are stopped in the next one") {
  Fixture fixture;
  fixture.calls.report.birth.born = FromUnixMilliseconds(5000);
  fixture.fleet.OnDirectoryRecord({"w2", "born at 5000", 1}, Fixture::Now());
  fixture.fleet.Add("w2", kTask, 1, RunProfile(), Fixture::Now());
  fixture.calls.start = StartOutcome::kNoAnswer;
  fixture.fleet.SendStart("w2", kTask, 1, {});
  fixture.calls.report.birth.born = FromUnixMilliseconds(9000);
  Time now = Fixture::Now();
  for (int i = 0; i < 3; ++i) {
    now += Milliseconds(300);
    fixture.fleet.Tick(now, /*may_renew=*/true);
  }
  CHECK(fixture.calls.stops == 1);
  REQUIRE(fixture.ends.size() == 1);
  CHECK(fixture.ends[0] == RunEnd::kLost);
}

TEST_CASE("a life that is over stays so, though it is still listed") {
  Fixture fixture;
  fixture.calls.start = StartOutcome::kOtherLife;
  fixture.Start();
  fixture.fleet.OnDirectoryRecord({"w1", "listed", 1}, Fixture::Now());
  CHECK_FALSE(fixture.knows_worker());
  fixture.fleet.OnDirectoryRecord({"w2", "listed", 2}, Fixture::Now());
  CHECK(fixture.fleet.trackers().count("w2") == 1);
}

TEST_CASE("an entry that cannot be read names no worker, whatever it was") {
  struct Row {
    const char* name;
    std::string key;
    std::vector<std::string> entries;
    bool known;
    bool missing;
  };
  const std::vector<Row> rows = {
      {"a good entry", "w1", {"listed"}, true, false},
      {"a known worker's entry is overwritten",
       "w1",
       {kUnreadable},
       true,
       true},
      {"and written anew by the worker",
       "w1",
       {kUnreadable, "listed"},
       true,
       false},
      {"a key that was never a worker", "x", {kUnreadable}, false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    for (const std::string& entry : row.entries) {
      fixture.fleet.OnDirectoryRecord({row.key, entry, 1}, Fixture::Now());
    }
    const auto& trackers = fixture.fleet.trackers();
    const auto tracker = trackers.find(row.key);
    CHECK((tracker != trackers.end()) == row.known);
    if (tracker == trackers.end()) continue;
    CHECK(tracker->second.missing() == row.missing);
  }
}

TEST_CASE("what runs on a worker whose entry was overwritten goes on") {
  Fixture fixture;
  fixture.Start();
  fixture.fleet.OnDirectoryRecord({"w1", kUnreadable, 1}, Fixture::Now());
  fixture.calls.report.running = {{kTask, 1, "", 10, 0}};
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1), true);
  fixture.calls.AnswerWaiting();
  CHECK(fixture.calls.renewed);
  CHECK(fixture.ends.empty());
}

TEST_CASE("what runs on a worker that has left as announced has ended") {
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    Fixture fixture;
    fixture.Start();
    Time now = Fixture::Now();
    fixture.fleet.OnDirectoryCaughtUp(now);
    fixture.fleet.OnDirectoryRecord({"w1", announced ? kLeaving : "listed", 1},
                                    now);
    now += Milliseconds(300);
    fixture.fleet.OnDirectoryCaughtUp(now);
    fixture.fleet.OnDirectoryRecord({"w1", std::nullopt, 2}, now);
    REQUIRE(fixture.ends.size() == (announced ? 1 : 0));
    if (announced) CHECK(fixture.ends[0] == RunEnd::kWorkerLeft);
    CHECK(fixture.knows_worker() == !announced);
  }
}

// Many workers are taken away at two seconds' notice: what ran there begins
// elsewhere when their heartbeats end, not when their leases do, 5 s later.
TEST_CASE(
    "what runs on a worker that is found gone after its notice has ended") {
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    Fixture fixture;
    fixture.Start();
    Time now = Fixture::Now();
    fixture.fleet.OnDirectoryCaughtUp(now);
    fixture.fleet.OnDirectoryRecord({"w1", announced ? kLeaving : "listed", 1},
                                    now);
    fixture.calls.status = CallOutcome::kConnectionRefused;
    fixture.calls.answers_waiting = true;
    for (int i = 0; i < 24; ++i) {
      now += Milliseconds(100);
      fixture.fleet.OnDirectoryCaughtUp(now);
      fixture.fleet.Tick(now, /*may_renew=*/true);
    }
    REQUIRE(fixture.ends.size() == (announced ? 1 : 0));
    if (announced) CHECK(fixture.ends[0] == RunEnd::kWorkerLeft);
    CHECK(fixture.knows_worker() == !announced);
  }
}

// Guards against a worker that fell silent, lost its runs, and is never asked
// again: only those with runs or ends were, and a silent one gets no runs.
TEST_CASE(
    "a silent worker with nothing on it is asked again when it is listed") {
  struct Row {
    const char* name;
    bool listed_again;
    bool answers;
    WorkerBelief belief;
  };
  const std::vector<Row> rows = {
      {"it answers", true, true, WorkerBelief::kUsable},
      {"it does not", true, false, WorkerBelief::kSilent},
      {"nothing is heard of it", false, true, WorkerBelief::kSilent},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.answers_waiting = true;
    fixture.Start();
    fixture.calls.status = CallOutcome::kNoAnswer;
    Time now = Fixture::Now();
    const auto tick = [&fixture, &now](int times) {
      for (int i = 0; i < times; ++i) {
        now += Milliseconds(300);
        fixture.fleet.Tick(now, /*may_renew=*/true);
      }
    };
    tick(30);
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends[0] == RunEnd::kWorkerSilent);
    if (row.answers) fixture.calls.status = CallOutcome::kOk;
    const int asked = fixture.calls.reports;
    if (row.listed_again) {
      fixture.fleet.OnDirectoryRecord({"w1", "listed", 2}, now);
    }
    tick(5);
    CHECK(fixture.fleet.trackers().at("w1").belief(now) == row.belief);
    // Once for each entry: a worker that is gone is not asked for ever.
    CHECK(fixture.calls.reports == asked + (row.listed_again ? 1 : 0));
  }
}

}  // namespace
}  // namespace thornplank::testing
