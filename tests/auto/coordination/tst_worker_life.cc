// Tests of what shows that a worker which was taken for lost is alive.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

constexpr std::chrono::seconds kLeasesOver{60};
constexpr Milliseconds kMoment{1};

// A fleet whose only worker has a run and does not answer.
struct SilentWorker : Fixture {
  SilentWorker() {
    fleet.OnDirectoryCaughtUp(Now());
    Tick(Now());
    Start();
    calls.status_outcome = CallOutcome::kNoAnswer;
    if (calls.pending_long_poll != nullptr) calls.AnswerLongPoll();
  }
  // Its leases are over.
  void Lose() {
    Tick(Now() + kLeasesOver);
    REQUIRE(ends == std::vector<RunEnd>{RunEnd::kWorkerSilent});
    lost_at = Now();
    later = lost_at + kLeasesOver * 2;
    alive.clear();
  }
  void ReadEntry(int64_t offset, Time now) {
    fleet.OnDirectoryRecord({"w1", "listed", offset}, now);
  }

  Time lost_at{};
  // When its next report is due.
  Time later{};
};

// Guards against a worker that is taken for alive by a sign from before it was
// lost: a task that crashes its workers would be started on one after another.
// And against one that is not: a task of workers that were cut off would wait.
TEST_CASE("what shows that a lost worker is alive") {
  struct Row {
    const char* name;
    std::function<void(SilentWorker*)> happens;
    bool alive;
  };
  const Milliseconds delay = WorkerFleetSettings().max_entry_delay;
  const std::vector<Row> rows = {
      {"nothing", [](SilentWorker*) {}, false},
      {"it answers",
       [](SilentWorker* w) {
         w->calls.status_outcome = CallOutcome::kOk;
         w->ReadEntry(1, Fixture::Now());
         w->Tick(w->later);
       },
       true},
      {"another incarnation answers",
       [](SilentWorker* w) {
         w->calls.status_outcome = CallOutcome::kOtherIncarnation;
         w->ReadEntry(1, Fixture::Now());
         w->Tick(w->later);
       },
       false},
      {"an entry that may have been stored late",
       [delay](SilentWorker* w) {
         w->fleet.OnDirectoryCaughtUp(w->lost_at + delay - kMoment);
         w->ReadEntry(1, w->lost_at + delay * 2);
       },
       false},
      {"an entry after a gap in the reads of the directory",
       [delay](SilentWorker* w) { w->ReadEntry(1, w->lost_at + delay * 2); },
       false},
      {"an entry that it wrote since",
       [delay](SilentWorker* w) {
         w->fleet.OnDirectoryCaughtUp(w->lost_at + delay + kMoment);
         w->ReadEntry(1, w->lost_at + delay + kMoment);
       },
       true},
      {"the entry from before, read once more",
       [delay](SilentWorker* w) {
         w->fleet.OnDirectoryCaughtUp(w->lost_at + delay + kMoment);
         w->ReadEntry(0, w->lost_at + delay + kMoment);
       },
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SilentWorker worker;
    worker.Lose();
    row.happens(&worker);
    CHECK(worker.alive.empty() == !row.alive);
  }
}

// Guards against a task that waits for ever: its workers crashed while nobody
// heard them, and what shows that their incarnations are over is not used. And
// against workers that left or are only silent and are taken for crashed.
TEST_CASE("what shows that the incarnation of a lost worker is over") {
  struct Row {
    const char* name;
    std::function<void(SilentWorker*)> happens;
    bool over;
  };
  const std::vector<Row> rows = {
      {"nothing", [](SilentWorker*) {}, false},
      {"its entry is removed",
       [](SilentWorker* w) {
         w->fleet.OnDirectoryRecord({"w1", std::nullopt, 1}, w->later);
       },
       false},
      {"another worker is listed at its address",
       [](SilentWorker* w) {
         w->fleet.OnDirectoryRecord({"w1", std::nullopt, 1}, w->later);
         w->fleet.OnDirectoryRecord({"w2", "listed", 2}, w->later);
       },
       true},
      {"another incarnation answers",
       [](SilentWorker* w) {
         w->calls.status_outcome = CallOutcome::kOtherIncarnation;
         w->ReadEntry(1, w->later);
         w->Tick(w->later);
       },
       true},
      {"it is listed again after it was forgotten",
       [](SilentWorker* w) {
         w->fleet.OnDirectoryRecord({"w1", std::nullopt, 1}, w->later);
         w->Tick(w->later);
         w->ReadEntry(2, w->later);
       },
       false},
      {"another incarnation answers after it has announced its departure",
       [](SilentWorker* w) {
         w->fleet.OnDirectoryRecord({"w1", kLeaving, 1}, w->later);
         w->calls.status_outcome = CallOutcome::kOtherIncarnation;
         w->Tick(w->later);
       },
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SilentWorker worker;
    worker.Lose();
    CHECK(worker.ended.empty());
    row.happens(&worker);
    CHECK(worker.ended.empty() == !row.over);
  }
}

// Guards against a new leader that takes the entries which it reads first, of
// unknown age, for signs of life of the workers that its predecessors lost.
TEST_CASE("a new leader takes only later entries for signs of life") {
  const Time begin = Fixture::Now();
  const Milliseconds delay = WorkerFleetSettings().max_entry_delay;
  Fixture f;
  f.calls.status_outcome = CallOutcome::kNoAnswer;
  f.alive.clear();
  f.fleet.OnDirectoryRecord({"w1", "listed", 5}, begin);
  f.fleet.OnDirectoryCaughtUp(begin);
  f.fleet.OnDirectoryRecord({"w1", "listed", 6}, begin + kMoment);
  f.fleet.OnDirectoryCaughtUp(begin + delay);
  f.fleet.OnDirectoryRecord({"w1", "listed", 7}, begin + delay + kMoment);
  CHECK(f.alive.empty());
  f.fleet.OnDirectoryCaughtUp(begin + delay + kMoment);
  f.fleet.OnDirectoryRecord({"w1", "listed", 8}, begin + delay + kMoment);
  CHECK(f.alive == std::vector<std::string>{"w1"});
}

}  // namespace
}  // namespace thornplank::testing
