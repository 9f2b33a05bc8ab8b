// Tests of workers that restart, leave, or have wrong directory records: which
// of their runs have ended.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

// Guards against a worker that a leader never uses again because an earlier
// incarnation with the same id has ended.
TEST_CASE("a new incarnation is used although it has the id of an ended one") {
  struct Row {
    const char* name;
    const char* entry;
    bool known;
  };
  const std::vector<Row> rows = {
      {"the ended incarnation", "born at 5000", false},
      {"a new incarnation", "born at 9000", true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.fleet.OnDirectoryRecord({"w1", "born at 5000", 1}, Fixture::Now());
    fixture.calls.start_answer = StartOutcome::kOtherIncarnation;
    fixture.Start();
    REQUIRE_FALSE(fixture.has_worker());
    fixture.fleet.OnDirectoryRecord({"w1", row.entry, 2}, Fixture::Now());
    CHECK(fixture.has_worker() == row.known);
  }
}

// Guards against acknowledging ends of a previous incarnation: the worker would
// forget ends of the present one that have the same numbers.
TEST_CASE("ends are acknowledged once, to the incarnation that counted them") {
  Fixture fixture;
  fixture.calls.answer_long_polls = true;
  fixture.calls.report.incarnation_start.time = FromUnixMilliseconds(5000);
  fixture.calls.report.ended = {{7, kTask, 1, RunEnd::kDone, ""}};
  fixture.Start();
  Time now = Fixture::Now();
  const auto tick = [&fixture, &now] {
    now += std::chrono::seconds(1);
    fixture.Tick(now);
  };
  tick();
  fixture.fleet.OnEndsRecorded("w1", 0, 7);
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 7);
  // Another run, so that further reports are requested; the worker already
  // knows the number.
  fixture.fleet.Add("w1", kTask, 2, RunProfile(), now);
  fixture.fleet.SendStart("w1", kTask, 2, {});
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 0);
  // That run ends while another one continues.
  fixture.calls.report.ended = {{8, kTask, 2, RunEnd::kDone, ""}};
  fixture.fleet.Add("w1", {kTask.step, 1}, 1, RunProfile(), now);
  fixture.fleet.SendStart("w1", {kTask.step, 1}, 1, {});
  fixture.calls.report.running = {{{kTask.step, 1}, 1, "", 5, 0}};
  tick();
  fixture.fleet.OnEndsRecorded("w1", 0, 8);
  tick();
  CHECK(fixture.calls.polls_with_ends == 0);
  fixture.calls.report.running.clear();
  fixture.calls.report.incarnation_start.time = FromUnixMilliseconds(9000);
  fixture.calls.report.ended.clear();
  tick();
  CHECK(fixture.fleet.trackers().at("w1").incarnation() == 1);
  fixture.fleet.OnEndsRecorded("w1", 0, 7);
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 0);
}

TEST_CASE("orders to the previous incarnation are stopped in the next one") {
  Fixture fixture;
  fixture.calls.report.incarnation_start.time = FromUnixMilliseconds(5000);
  fixture.fleet.OnDirectoryRecord({"w2", "born at 5000", 1}, Fixture::Now());
  fixture.fleet.Add("w2", kTask, 1, RunProfile(), Fixture::Now());
  fixture.calls.start_answer = StartOutcome::kNoAnswer;
  fixture.fleet.SendStart("w2", kTask, 1, {});
  fixture.calls.report.incarnation_start.time = FromUnixMilliseconds(9000);
  Time now = Fixture::Now();
  for (int i = 0; i < 3; ++i) {
    now += Milliseconds(300);
    fixture.fleet.Tick(now);
  }
  CHECK(fixture.calls.stops == 1);
  REQUIRE(fixture.ends.size() == 1);
  // The previous incarnation may have begun the run.
  CHECK(fixture.ends[0] == RunEnd::kWorkerCrashed);
}

TEST_CASE("an ended incarnation is not used while it is still listed") {
  Fixture fixture;
  fixture.calls.start_answer = StartOutcome::kOtherIncarnation;
  fixture.Start();
  fixture.fleet.OnDirectoryRecord({"w1", "listed", 1}, Fixture::Now());
  CHECK_FALSE(fixture.has_worker());
  fixture.fleet.OnDirectoryRecord({"w2", "listed", 2}, Fixture::Now());
  CHECK(fixture.fleet.trackers().count("w2") == 1);
}

TEST_CASE("a worker whose directory record cannot be read counts as missing") {
  struct Row {
    const char* name;
    std::string key;
    std::vector<std::string> entries;
    bool known;
    bool missing;
  };
  const std::vector<Row> rows = {
      {"a valid record", "w1", {"listed"}, true, false},
      {"the record of a known worker is overwritten",
       "w1",
       {kUnreadable},
       true,
       true},
      {"overwritten, and written again by the worker",
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

TEST_CASE("runs continue on a worker whose directory record was overwritten") {
  Fixture fixture;
  fixture.Start();
  fixture.fleet.OnDirectoryRecord({"w1", kUnreadable, 1}, Fixture::Now());
  fixture.calls.report.running = {{kTask, 1, "", 10, 0}};
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1));
  fixture.calls.AnswerLongPoll();
  CHECK(fixture.calls.renewed);
  CHECK(fixture.ends.empty());
}

TEST_CASE("runs have ended on a worker that has left as announced") {
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
    CHECK(fixture.has_worker() == !announced);
  }
}

// Guards against a second run of a task beside its first one: a worker that
// leaves and is cut off for longer than its notice refuses connections and
// writes no entries, but its runs go on until their leases end.
TEST_CASE("refused connections do not show that a leaving worker is gone") {
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    Fixture fixture;
    fixture.Start();
    Time now = Fixture::Now();
    fixture.fleet.OnDirectoryCaughtUp(now);
    fixture.fleet.OnDirectoryRecord({"w1", announced ? kLeaving : "listed", 1},
                                    now);
    fixture.calls.status_outcome = CallOutcome::kNoAnswer;
    fixture.calls.answer_long_polls = true;
    const auto tick = [&](int times) {
      for (int i = 0; i < times; ++i) {
        now += Milliseconds(100);
        fixture.fleet.OnDirectoryCaughtUp(now);
        fixture.Tick(now);
      }
    };
    tick(60);
    CHECK(fixture.ends.empty());
    CHECK(fixture.has_worker());
    tick(20);
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends[0] ==
          (announced ? RunEnd::kWorkerLeft : RunEnd::kWorkerSilent));
  }
}

// Guards against tasks that wait for long leases of a worker that has told when
// it leaves, and does not remove its entry.
TEST_CASE("leases are short on a worker that has announced to leave") {
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    Fixture fixture;
    const Time begin = Fixture::Now();
    fixture.fleet.OnDirectoryRecord({"w1", announced ? kLeaving : "listed", 1},
                                    begin);
    fixture.Start();
    fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1));
    REQUIRE(fixture.calls.renewed);
    const WorkerBounds bounds;
    const Duration slack = Fixture::Now() - begin + Milliseconds(1);
    CHECK(fixture.calls.lease_until <=
          (announced ? bounds.leaving_lease_term() : bounds.lease_term()) +
              slack);
    CHECK(fixture.calls.last_wait <=
          (announced ? Milliseconds(900) : Milliseconds(1900)));
  }
}

// Guards against a worker that did not answer, lost its runs, and is never
// called again: only workers with runs or ends are called, and one that does
// not answer gets no runs.
TEST_CASE("a silent worker without runs is called again when it is listed") {
  struct Row {
    const char* name;
    bool listed_again;
    bool answers;
    WorkerAvailability availability;
  };
  const std::vector<Row> rows = {
      {"it answers", true, true, WorkerAvailability::kUsable},
      {"it does not answer", true, false, WorkerAvailability::kSilent},
      {"its record is not written again", false, true,
       WorkerAvailability::kSilent},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.answer_long_polls = true;
    fixture.calls.status_outcome = CallOutcome::kNoAnswer;
    fixture.Start();
    Time now = Fixture::Now();
    const auto tick = [&fixture, &now](int times) {
      for (int i = 0; i < times; ++i) {
        now += Milliseconds(300);
        fixture.Tick(now);
      }
    };
    tick(30);
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends[0] == RunEnd::kWorkerSilent);
    if (row.answers) fixture.calls.status_outcome = CallOutcome::kOk;
    const int asked = fixture.calls.reports;
    if (row.listed_again) {
      fixture.fleet.OnDirectoryRecord({"w1", "listed", 2}, now);
    }
    tick(5);
    CHECK(fixture.fleet.trackers().at("w1").availability(now) ==
          row.availability);
    // Once for each record, so that a worker that is gone is not called
    // forever.
    CHECK(fixture.calls.reports == asked + (row.listed_again ? 1 : 0));
  }
}

}  // namespace
}  // namespace thornplank::testing
