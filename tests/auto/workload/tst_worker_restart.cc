// A worker that restarts under the same id: the effect on its runs, ends and
// clock.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "workload/worker_tracker.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const TaskRef kTask{{"0123456789abcdef", 0, 0}, 0};
const TaskRef kOther{{"0123456789abcdef", 0, 0}, 1};

// Clock of the first incarnation; that of the second starts near zero.
constexpr int64_t kFirstClock = 900000;
constexpr int64_t kFirstStart = 5000;
constexpr int64_t kSecondStart = 9000;

RunProfile Profile() {
  RunProfile profile;
  profile.need = {1000, 1000, 2};
  return profile;
}

WorkerStatusReport Report(int64_t start, int64_t clock) {
  WorkerStatusReport report;
  report.incarnation_start.time = FromUnixMilliseconds(start);
  report.clock = Milliseconds(clock);
  return report;
}

WorkerStatusReport WithEnd(WorkerStatusReport report, int64_t number,
                           const TaskRef& task) {
  report.ended.push_back({number, task, 1, RunEnd::kDone, ""});
  return report;
}

std::vector<RunEndReport> HandleReport(WorkerTracker* tracker, int64_t sent,
                                       int64_t received,
                                       const WorkerStatusReport& report) {
  std::vector<RunReport> unexpected;
  return tracker->OnReport(report, At(sent), At(received), &unexpected);
}

// A worker in its first incarnation, with twenty recorded ends.
WorkerTracker FirstIncarnation() {
  WorkerTracker tracker(MakeWorker("w", "r1"));
  HandleReport(&tracker, 0, 10,
               WithEnd(Report(kFirstStart, kFirstClock), 20, kOther));
  tracker.OnEndsRecorded(0, 20);
  return tracker;
}

enum class Order { kNotSent, kSent, kNoAnswer, kAccepted, kInherited };

void GiveOrder(WorkerTracker* tracker, Order order, int64_t now) {
  if (order == Order::kInherited) {
    return tracker->Inherit(kTask, 1, Profile(), At(now), At(now + 9000));
  }
  tracker->Add(kTask, 1, Profile(), At(now));
  if (order == Order::kNotSent) return;
  tracker->OnStartSent(
      kTask, 1, tracker->IssueDeadline(Milliseconds(1500), At(now)), At(now));
  if (order == Order::kSent) return;
  tracker->OnStartAnswer(kTask, 1,
                         order == Order::kAccepted ? StartOutcome::kAccepted
                                                   : StartOutcome::kNoAnswer,
                         At(now));
}

// Guards against runs that the new incarnation never had but that keep
// occupying its room, and against a second start of a task whose order is still
// under way.
TEST_CASE("what a restart does to a run") {
  struct Row {
    const char* name;
    Order order;
    // When the order was given; the first report of the new incarnation is
    // requested at 500.
    int64_t given;
    // Whether the new incarnation lists the run.
    bool listed;
    bool ended;
  };
  const std::vector<Row> rows = {
      {"running before", Order::kAccepted, 100, false, true},
      {"inherited from the previous leader", Order::kInherited, 100, false,
       true},
      {"decided, not sent", Order::kNotSent, 100, false, false},
      {"sent", Order::kSent, 100, false, false},
      {"sent, not answered", Order::kNoAnswer, 100, false, false},
      {"accepted since, by either incarnation", Order::kAccepted, 510, false,
       false},
      {"started by the new incarnation", Order::kAccepted, 100, true, false},
      {"started by the new incarnation, not answered", Order::kNoAnswer, 100,
       true, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = FirstIncarnation();
    GiveOrder(&tracker, row.order, row.given);
    WorkerStatusReport report = Report(kSecondStart, 40);
    if (row.listed) report.running.push_back({kTask, 1, "", 1});
    const auto ends = HandleReport(&tracker, 500, 520, report);
    CHECK(tracker.incarnation() == 1);
    REQUIRE(ends.size() == (row.ended ? 1 : 0));
    CHECK((tracker.Find(kTask) == nullptr) == row.ended);
    CHECK(tracker.room().accelerators == (row.ended ? 8 : 6));
    if (row.ended) CHECK(ends[0].end == RunEnd::kWorkerCrashed);
  }
}

TEST_CASE("an order of the previous incarnation is settled only by a stop") {
  WorkerTracker tracker = FirstIncarnation();
  GiveOrder(&tracker, Order::kNoAnswer, 100);
  HandleReport(&tracker, 500, 520, Report(kSecondStart, 40));
  // Its deadline referred to the clock of the previous incarnation.
  CHECK(HandleReport(&tracker, 5000, 5020, Report(kSecondStart, 4540)).empty());
  CHECK(HandleReport(&tracker, 9000000, 9000020, Report(kSecondStart, 9000000))
            .empty());
  tracker.OnStopAnswer(kTask, 1, /*acknowledged=*/true, At(9000030));
  CHECK(HandleReport(&tracker, 9000040, 9000050, Report(kSecondStart, 9000010))
            .size() == 1);
}

// Guards against tasks that run again after they were done: ends of the new
// incarnation were skipped because of their low numbers and acknowledged as
// recorded.
TEST_CASE("the numbers of ends restart with each incarnation") {
  WorkerTracker tracker = FirstIncarnation();
  CHECK(tracker.recorded_ends() == 20);
  HandleReport(&tracker, 500, 520, Report(kSecondStart, 40));
  CHECK(tracker.recorded_ends() == 0);
  // Ends of the previous incarnation, stored only now.
  tracker.OnEndsRecorded(0, 20);
  CHECK(tracker.recorded_ends() == 0);
  GiveOrder(&tracker, Order::kAccepted, 600);
  const auto ends = HandleReport(&tracker, 800, 820,
                                 WithEnd(Report(kSecondStart, 340), 1, kTask));
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end == RunEnd::kDone);
  CHECK(ends[0].incarnation == 1);
  // No more than were reported.
  tracker.OnEndsRecorded(1, 7);
  CHECK(tracker.recorded_ends() == 1);
}

TEST_CASE("the clock restarts with each incarnation") {
  WorkerTracker tracker = FirstIncarnation();
  HandleReport(&tracker, 500, 500, Report(kSecondStart, 40));
  CHECK(tracker.IssueDeadline(Milliseconds(1000), At(600)) ==
        Milliseconds(1140));
}

TEST_CASE(
    "an end that was processed is not undone by low numbers of a new "
    "incarnation") {
  WorkerTracker tracker(MakeWorker("w", "r1"));
  HandleReport(&tracker, 0, 10, Report(kFirstStart, kFirstClock));
  GiveOrder(&tracker, Order::kAccepted, 100);
  CHECK(HandleReport(&tracker, 200, 210,
                     WithEnd(Report(kFirstStart, kFirstClock + 200), 1, kTask))
            .size() == 1);
  // The worker crashes just after the task was done.
  CHECK(HandleReport(&tracker, 500, 520, Report(kSecondStart, 40)).empty());
}

// Guards against a list of runs that arrives after one of the next incarnation.
TEST_CASE("a report of a past incarnation changes nothing") {
  WorkerTracker tracker = FirstIncarnation();
  HandleReport(&tracker, 500, 520, Report(kSecondStart, 40));
  GiveOrder(&tracker, Order::kAccepted, 600);
  WorkerStatusReport late = Report(kFirstStart, kFirstClock + 400);
  late = WithEnd(late, 21, kTask);
  CHECK(tracker.IsFromPastIncarnation(late, At(480)));
  CHECK(HandleReport(&tracker, 480, 700, late).empty());
  CHECK(tracker.Find(kTask) != nullptr);
  CHECK(tracker.processed_ends() == 0);
  CHECK(tracker.incarnation() == 1);
  CHECK(tracker.clock() == Milliseconds(40));
}

TEST_CASE(
    "nothing starts on a worker listed with another start time until it "
    "reports") {
  struct Row {
    const char* name;
    // Start times in the entries, in order; 0: not included.
    std::vector<int64_t> entries;
    bool usable;
    // After a report of the second incarnation. It may be of another size than
    // the entry of the first one says.
    WorkerAvailability availability_after;
  };
  const WorkerAvailability usable = WorkerAvailability::kUsable;
  const WorkerAvailability outdated = WorkerAvailability::kEntryOutdated;
  const std::vector<Row> rows = {
      {"the same start time", {kFirstStart, kFirstStart}, true, outdated},
      {"another start time", {kFirstStart, kSecondStart}, false, usable},
      {"no start time", {kFirstStart, 0}, true, usable},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = FirstIncarnation();
    for (const int64_t start : row.entries) {
      WorkerRegistration entry = MakeWorker("w", "r1");
      if (start > 0) entry.incarnation_start.time = FromUnixMilliseconds(start);
      tracker.Update(entry, At(100));
    }
    CHECK((tracker.availability(At(100)) == WorkerAvailability::kUsable) ==
          row.usable);
    HandleReport(&tracker, 200, 210, Report(kSecondStart, 40));
    CHECK(tracker.availability(At(210)) == row.availability_after);
    WorkerRegistration second = MakeWorker("w", "r1");
    second.incarnation_start.time = FromUnixMilliseconds(kSecondStart);
    tracker.Update(second, At(220));
    CHECK(tracker.availability(At(220)) == usable);
  }
}

TEST_CASE(
    "failures of the previous incarnation do not count against the new one") {
  WorkerTracker tracker = FirstIncarnation();
  tracker.health().OnRunFailed({"job1"}, At(100));
  tracker.health().OnRunFailed({"job2"}, At(110));
  REQUIRE(tracker.health().IsExcluded(At(200)));
  HandleReport(&tracker, 500, 520, Report(kSecondStart, 40));
  CHECK_FALSE(tracker.health().IsExcluded(At(530)));
  CHECK_FALSE(tracker.health().IsSuspect(At(530)));
}

}  // namespace
}  // namespace thornplank::testing
