// A worker that restarts under its id: what becomes of its runs, ends and
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

// The clock of the first life, that of the second begins anew.
constexpr int64_t kFirstClock = 900000;
constexpr int64_t kFirstBorn = 5000;
constexpr int64_t kSecondBorn = 9000;

RunProfile Profile() {
  RunProfile profile;
  profile.need = {1000, 1000, 2};
  return profile;
}

WorkerStatusReport Report(int64_t born, int64_t clock) {
  WorkerStatusReport report;
  report.incarnation_start.time = FromUnixMilliseconds(born);
  report.clock = Milliseconds(clock);
  return report;
}

WorkerStatusReport WithEnd(WorkerStatusReport report, int64_t number,
                           const TaskRef& task) {
  report.ended.push_back({number, task, 1, RunEnd::kDone, ""});
  return report;
}

std::vector<RunEndReport> Hear(WorkerTracker* tracker, int64_t sent,
                               int64_t heard,
                               const WorkerStatusReport& report) {
  std::vector<RunReport> unexpected;
  return tracker->OnReport(report, At(sent), At(heard), &unexpected);
}

// A worker in its first life, of which twenty ends were recorded.
WorkerTracker FirstLife() {
  WorkerTracker tracker(MakeWorker("w", "r1"));
  Hear(&tracker, 0, 10, WithEnd(Report(kFirstBorn, kFirstClock), 20, kOther));
  tracker.OnEndsRecorded(0, 20);
  return tracker;
}

enum class Order { kNotSent, kSent, kNoAnswer, kAccepted, kInherited };

void Give(WorkerTracker* tracker, Order order, int64_t now) {
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

// Guards against runs that a new life never had and that hold its room for
// ever, and against a second start of what an order under way may yet begin.
TEST_CASE("what a restart does to a run") {
  struct Row {
    const char* name;
    Order order;
    // Given at this time; the first report of the new life is asked for at 500.
    int64_t given;
    // The new life lists it.
    bool listed;
    bool ended;
  };
  const std::vector<Row> rows = {
      {"at work before", Order::kAccepted, 100, false, true},
      {"a predecessor's", Order::kInherited, 100, false, true},
      {"decided, not sent", Order::kNotSent, 100, false, false},
      {"sent", Order::kSent, 100, false, false},
      {"sent, without an answer", Order::kNoAnswer, 100, false, false},
      {"accepted since, by whom is not known", Order::kAccepted, 510, false,
       false},
      {"begun by the new life", Order::kAccepted, 100, true, false},
      {"begun by the new life, not answered", Order::kNoAnswer, 100, true,
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = FirstLife();
    Give(&tracker, row.order, row.given);
    WorkerStatusReport report = Report(kSecondBorn, 40);
    if (row.listed) report.running.push_back({kTask, 1, "", 1});
    const auto ends = Hear(&tracker, 500, 520, report);
    CHECK(tracker.incarnation() == 1);
    REQUIRE(ends.size() == (row.ended ? 1 : 0));
    CHECK((tracker.Find(kTask) == nullptr) == row.ended);
    CHECK(tracker.room().accelerators == (row.ended ? 8 : 6));
    if (row.ended) CHECK(ends[0].end == RunEnd::kWorkerCrashed);
  }
}

TEST_CASE("an order of the life before is settled by a stop alone") {
  WorkerTracker tracker = FirstLife();
  Give(&tracker, Order::kNoAnswer, 100);
  Hear(&tracker, 500, 520, Report(kSecondBorn, 40));
  // Its deadline was on the clock of the life before.
  CHECK(Hear(&tracker, 5000, 5020, Report(kSecondBorn, 4540)).empty());
  CHECK(Hear(&tracker, 9000000, 9000020, Report(kSecondBorn, 9000000)).empty());
  tracker.OnStopAnswer(kTask, 1, /*acknowledged=*/true, At(9000030));
  CHECK(Hear(&tracker, 9000040, 9000050, Report(kSecondBorn, 9000010)).size() ==
        1);
}

// Guards against tasks that run again after they were done: ends of the new
// life were passed over by their numbers, and told as recorded.
TEST_CASE("the numbers of ends begin anew") {
  WorkerTracker tracker = FirstLife();
  CHECK(tracker.recorded_ends() == 20);
  Hear(&tracker, 500, 520, Report(kSecondBorn, 40));
  CHECK(tracker.recorded_ends() == 0);
  // Stored only now, of the life before.
  tracker.OnEndsRecorded(0, 20);
  CHECK(tracker.recorded_ends() == 0);
  Give(&tracker, Order::kAccepted, 600);
  const auto ends =
      Hear(&tracker, 800, 820, WithEnd(Report(kSecondBorn, 340), 1, kTask));
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end == RunEnd::kDone);
  CHECK(ends[0].incarnation == 1);
  // No more than was heard of.
  tracker.OnEndsRecorded(1, 7);
  CHECK(tracker.recorded_ends() == 1);
}

TEST_CASE("the clock begins anew") {
  WorkerTracker tracker = FirstLife();
  Hear(&tracker, 500, 500, Report(kSecondBorn, 40));
  CHECK(tracker.IssueDeadline(Milliseconds(1000), At(600)) ==
        Milliseconds(1140));
}

TEST_CASE(
    "an end that was noted is not undone by small numbers of a new life") {
  WorkerTracker tracker(MakeWorker("w", "r1"));
  Hear(&tracker, 0, 10, Report(kFirstBorn, kFirstClock));
  Give(&tracker, Order::kAccepted, 100);
  CHECK(Hear(&tracker, 200, 210,
             WithEnd(Report(kFirstBorn, kFirstClock + 200), 1, kTask))
            .size() == 1);
  // The worker crashes a moment after the task was done.
  CHECK(Hear(&tracker, 500, 520, Report(kSecondBorn, 40)).empty());
}

// Guards against a list of runs that was overtaken by one of the next life.
TEST_CASE("a report of a life that is over changes nothing") {
  WorkerTracker tracker = FirstLife();
  Hear(&tracker, 500, 520, Report(kSecondBorn, 40));
  Give(&tracker, Order::kAccepted, 600);
  WorkerStatusReport late = Report(kFirstBorn, kFirstClock + 400);
  late = WithEnd(late, 21, kTask);
  CHECK(tracker.IsFromPastIncarnation(late, At(480)));
  CHECK(Hear(&tracker, 480, 700, late).empty());
  CHECK(tracker.Find(kTask) != nullptr);
  CHECK(tracker.processed_ends() == 0);
  CHECK(tracker.incarnation() == 1);
  CHECK(tracker.clock() == Milliseconds(40));
}

TEST_CASE("nothing begins on a worker that is listed with another birth") {
  struct Row {
    const char* name;
    // Of the entries, in their order; 0: it says nothing.
    std::vector<int64_t> entries;
    bool believed;
  };
  const std::vector<Row> rows = {
      {"the same", {kFirstBorn, kFirstBorn}, true},
      {"another", {kFirstBorn, kSecondBorn}, false},
      {"one that says nothing", {kFirstBorn, 0}, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = FirstLife();
    for (const int64_t born : row.entries) {
      WorkerRegistration entry = MakeWorker("w", "r1");
      if (born > 0) entry.incarnation_start.time = FromUnixMilliseconds(born);
      tracker.Update(entry, At(100));
    }
    CHECK((tracker.availability(At(100)) == WorkerAvailability::kUsable) ==
          row.believed);
    Hear(&tracker, 200, 210, Report(kSecondBorn, 40));
    CHECK(tracker.availability(At(210)) == WorkerAvailability::kUsable);
  }
}

TEST_CASE("failures of the life before are not held against the new one") {
  WorkerTracker tracker = FirstLife();
  tracker.trust().OnRunFailed("job1", At(100));
  tracker.trust().OnRunFailed("job2", At(110));
  REQUIRE(tracker.trust().Quarantined(At(200)));
  Hear(&tracker, 500, 520, Report(kSecondBorn, 40));
  CHECK_FALSE(tracker.trust().Quarantined(At(530)));
  CHECK_FALSE(tracker.trust().suspect());
}

}  // namespace
}  // namespace thornplank::testing
