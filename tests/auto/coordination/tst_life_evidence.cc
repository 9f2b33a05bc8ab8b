// Signs that are older than the loss of a worker, or of another incarnation,
// and signs that account for a lost worker and are not used.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

constexpr std::chrono::seconds kLeasesOver{60};
constexpr std::chrono::seconds kLongAgo{20};
constexpr Milliseconds kMoment{1};

// Guards against a worker that crashed while this process was suspended: the
// answer that it had sent before is read only after its leases were found to be
// over, and takes the crash off the record.
TEST_CASE("a report that was requested before the loss proves no life") {
  Fixture f;
  f.fleet.OnDirectoryCaughtUp(Fixture::Now());
  f.Tick(Fixture::Now());
  f.Start();
  REQUIRE(f.calls.pending_long_poll != nullptr);
  f.fleet.OnProbeTimeout("w1", Fixture::Now());
  f.Tick(Fixture::Now() + kLeasesOver);
  REQUIRE(f.ends == std::vector<RunEnd>{RunEnd::kWorkerSilent});
  f.alive.clear();
  f.calls.AnswerLongPoll();
  CHECK(f.alive.empty());
}

// Guards against late entries of a worker that crashed and was no longer listed
// when it was lost: with its call state the time of the loss is forgotten.
TEST_CASE("a late entry proves no life of a worker that was forgotten") {
  Fixture f;
  // The directory has been read for longer than entries may be late.
  for (Duration ago = kLongAgo; ago >= Duration::zero();
       ago -= std::chrono::seconds(1)) {
    f.fleet.OnDirectoryCaughtUp(Fixture::Now() - ago);
  }
  f.Tick(Fixture::Now());
  f.Start();
  f.calls.status_outcome = CallOutcome::kNoAnswer;
  if (f.calls.pending_long_poll != nullptr) f.calls.AnswerLongPoll();
  f.fleet.OnDirectoryRecord({"w1", std::nullopt, 1}, Fixture::Now());
  f.Tick(Fixture::Now() + kLeasesOver);
  REQUIRE(f.ends == std::vector<RunEnd>{RunEnd::kWorkerSilent});
  REQUIRE_FALSE(f.has_worker());
  f.alive.clear();
  const Time now = Fixture::Now();
  f.fleet.OnDirectoryCaughtUp(now);
  f.fleet.OnDirectoryRecord({"w1", "listed", 2}, now + kMoment);
  f.fleet.OnDirectoryCaughtUp(now + kMoment);
  f.fleet.OnDirectoryRecord({"w1", "listed", 3}, now + kMoment * 2);
  CHECK(f.alive.empty());
}

// Guards against an entry of another writer, which may lack any field, that
// takes a crash off the record: without a start time it matches every
// incarnation.
TEST_CASE("an entry without a start time proves no life of a known one") {
  const Milliseconds delay = WorkerFleetSettings().max_entry_delay;
  Fixture f;
  f.calls.report.incarnation_start.time = FromUnixMilliseconds(5000);
  f.fleet.OnDirectoryCaughtUp(Fixture::Now());
  f.fleet.OnDirectoryRecord({"w1", "born at 5000", 1}, Fixture::Now());
  f.fleet.ProbeIfQuiet("w1", Fixture::Now() + std::chrono::seconds(1));
  f.Tick(Fixture::Now());
  f.Start();
  f.calls.status_outcome = CallOutcome::kNoAnswer;
  if (f.calls.pending_long_poll != nullptr) f.calls.AnswerLongPoll();
  f.Tick(Fixture::Now() + kLeasesOver);
  REQUIRE(f.ends == std::vector<RunEnd>{RunEnd::kWorkerSilent});
  REQUIRE(f.fleet.trackers().at("w1").incarnation_start().has_value());
  f.alive.clear();
  const Time now = Fixture::Now() + delay + kMoment;
  f.fleet.OnDirectoryCaughtUp(now);
  f.fleet.OnDirectoryRecord({"w1", "listed", 2}, now);
  CHECK(f.alive.empty());
}

// Guards against a task that waits for ever: its worker is cut off from the
// leader only, its leases end, and it leaves as announced within the time in
// which its entries prove nothing. What is reported to the owner may be another
// call than `on_alive`; there is none today.
TEST_CASE("a lost worker that leaves as announced is accounted for") {
  Fixture f;
  f.fleet.OnDirectoryCaughtUp(Fixture::Now());
  f.Tick(Fixture::Now());
  f.Start();
  f.calls.status_outcome = CallOutcome::kNoAnswer;
  if (f.calls.pending_long_poll != nullptr) f.calls.AnswerLongPoll();
  f.Tick(Fixture::Now() + kLeasesOver);
  REQUIRE(f.ends == std::vector<RunEnd>{RunEnd::kWorkerSilent});
  f.alive.clear();
  Time now = Fixture::Now();
  f.fleet.OnDirectoryCaughtUp(now);
  f.fleet.OnDirectoryRecord({"w1", kLeaving, 1}, now);
  now += Milliseconds(300);
  f.fleet.OnDirectoryCaughtUp(now);
  f.fleet.OnDirectoryRecord({"w1", std::nullopt, 2}, now);
  CHECK(f.alive == std::vector<std::string>{"w1"});
}

// Guards against a proved crash of a worker that left as announced: the removal
// of its entry is read too late to count as a departure, and the next
// incarnation under its id is listed before a call shows that it has left.
TEST_CASE("a departure that was read late is no crash when its id is back") {
  struct Row {
    const char* name;
    Milliseconds read_after;
  };
  const std::vector<Row> rows = {{"at once", Milliseconds(300)},
                                 {"late", Milliseconds(2000)}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    Time now = Fixture::Now();
    f.calls.report.incarnation_start.time = FromUnixMilliseconds(5000);
    f.fleet.OnDirectoryCaughtUp(now);
    f.fleet.ProbeIfQuiet("w1", now + std::chrono::seconds(1));
    f.Start();
    REQUIRE(f.fleet.trackers().at("w1").runs().size() == 1);
    f.fleet.OnDirectoryRecord({"w1", kLeaving, 1}, now);
    now += row.read_after;
    f.fleet.OnDirectoryRecord({"w1", std::nullopt, 2}, now);
    f.calls.report.incarnation_start.time = FromUnixMilliseconds(9000);
    f.calls.report.running.clear();
    f.fleet.OnDirectoryRecord({"w1", "born at 9000", 3}, now);
    f.fleet.OnDirectoryCaughtUp(now);
    f.fleet.ProbeIfQuiet("w1", now + std::chrono::seconds(1));
    REQUIRE(f.ends.size() == 1);
    CHECK(ToText(f.ends[0]) == "worker-left");
  }
}

// Guards against a crash that counts nowhere: the first copy of an order has no
// answer, since the task crashes the worker by it, and the next copy finds
// another incarnation. No other call was under way that could fail.
TEST_CASE("a copy that finds the next incarnation settles not the first one") {
  Fixture f;
  f.fleet.OnDirectoryCaughtUp(Fixture::Now());
  f.Tick(Fixture::Now());
  f.calls.first_start_answers = {StartOutcome::kNoAnswer,
                                 StartOutcome::kOtherIncarnation};
  f.Start();
  REQUIRE(f.calls.starts == 2);
  REQUIRE(f.ends.size() == 1);
  CHECK(f.ends[0] != RunEnd::kLost);
}

// Guards against a crash that counts nowhere, so that its task is started a
// sixth time: the task crashes the worker by its order, and another call finds
// the next incarnation before the order is known to have no answer.
TEST_CASE("an order that is under way at a restart may have begun its run") {
  struct Row {
    const char* name;
    // What the other call gets.
    CallOutcome outcome;
    int64_t incarnation_start;
  };
  const std::vector<Row> rows = {
      {"another id at its address", CallOutcome::kOtherIncarnation, 5000},
      {"a report of the next incarnation", CallOutcome::kOk, 9000},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    f.calls.report.incarnation_start.time = FromUnixMilliseconds(5000);
    f.fleet.OnDirectoryCaughtUp(Fixture::Now());
    f.fleet.ProbeIfQuiet("w1", Fixture::Now() + std::chrono::seconds(1));
    f.calls.start_answer = StartOutcome::kNoAnswer;
    bool is_found = false;
    f.calls.on_start = [&] {
      if (std::exchange(is_found, true)) return;
      f.calls.status_outcome = row.outcome;
      f.calls.report.incarnation_start.time =
          FromUnixMilliseconds(row.incarnation_start);
      f.fleet.ProbeIfQuiet("w1", Fixture::Now() + std::chrono::seconds(1));
    };
    f.Start();
    f.calls.answer_long_polls = true;
    Time now = Fixture::Now();
    for (int i = 0; i < 10 && f.ends.empty(); ++i) {
      now += Milliseconds(300);
      f.Tick(now);
    }
    CHECK(f.ends == std::vector<RunEnd>{RunEnd::kWorkerCrashed});
  }
}

// Guards against a proved crash of a worker that lives: it has restarted under
// its id at another address, and a call to the one that it had before is
// answered by whoever is there now, after the new incarnation was heard.
TEST_CASE("an answer from a former address ends no run of the next life") {
  Fixture f;
  f.fleet.OnDirectoryCaughtUp(Fixture::Now());
  f.calls.report.incarnation_start.time = FromUnixMilliseconds(5000);
  f.fleet.OnDirectoryRecord({"w2", "born at 5000", 1}, Fixture::Now());
  f.Tick(Fixture::Now());
  f.fleet.Add("w2", kTask, 1, RunProfile(), Fixture::Now());
  f.fleet.SendStart("w2", kTask, 1, {});
  REQUIRE(f.calls.pending_long_poll != nullptr);
  const auto former = std::exchange(f.calls.pending_long_poll, nullptr);
  f.calls.report.incarnation_start.time = FromUnixMilliseconds(9000);
  f.fleet.OnDirectoryRecord({"w2", "born at 9000", 2}, Fixture::Now());
  // A probe is answered by the next incarnation, then a run begins there.
  f.fleet.ProbeIfQuiet("w2", Fixture::Now() + std::chrono::seconds(1));
  REQUIRE(f.ends == std::vector<RunEnd>{RunEnd::kWorkerCrashed});
  f.fleet.Add("w2", kTask, 2, RunProfile(), Fixture::Now());
  f.calls.report.running = {{kTask, 2, "", 5, 0}};
  f.fleet.SendStart("w2", kTask, 2, {});
  f.ends.clear();
  REQUIRE(f.fleet.trackers().at("w2").runs().size() == 1);
  StatusAnswer answer;
  answer.outcome = CallOutcome::kOtherIncarnation;
  former(answer);
  CHECK(f.ends.empty());
}

}  // namespace
}  // namespace thornplank::testing
