// Which evidence settles a run, and when a worker's leases have expired.
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "workload/worker_tracker.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const TaskRef kTask{{"0123456789abcdef", 0, 0}, 0};

RunProfile Profile() {
  RunProfile profile;
  profile.need = {1000, 1000, 2};
  return profile;
}

WorkerStatusReport Report(int64_t clock, bool runs) {
  WorkerStatusReport report;
  report.clock = Milliseconds(clock);
  if (runs) report.running.push_back({kTask, 1, "", 10});
  return report;
}

std::vector<RunEndReport> HandleReport(WorkerTracker* tracker, int64_t sent,
                                       int64_t received,
                                       const WorkerStatusReport& report) {
  std::vector<RunReport> unexpected;
  return tracker->OnReport(report, At(sent), At(received), &unexpected);
}

// A run whose start order was not answered until 500.
WorkerTracker Undecided() {
  WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
  tracker.Add(kTask, 1, Profile(), At(0));
  tracker.OnStartSent(kTask, 1,
                      tracker.IssueDeadline(Milliseconds(1500), At(0)), At(0));
  tracker.OnStartAnswer(kTask, 1, StartOutcome::kNoAnswer, At(500));
  return tracker;
}

TEST_CASE("an order without an answer is settled only by evidence") {
  struct Row {
    const char* name;
    std::function<std::vector<RunEndReport>(WorkerTracker*)> happens;
    bool settled;
  };
  const std::vector<Row> rows = {
      {"absent before its deadline",
       [](WorkerTracker* tracker) {
         return HandleReport(tracker, 600, 700, Report(700, false));
       },
       false},
      {"absent after its deadline",
       [](WorkerTracker* tracker) {
         return HandleReport(tracker, 1600, 1700, Report(1700, false));
       },
       true},
      {"seen running",
       [](WorkerTracker* tracker) {
         return HandleReport(tracker, 600, 700, Report(700, true));
       },
       false},
      {"stopped, and absent in a report requested afterwards",
       [](WorkerTracker* tracker) {
         tracker->OnStopAnswer(kTask, 1, true, At(650));
         return HandleReport(tracker, 700, 800, Report(800, false));
       },
       true},
      {"stopped, and absent in a report requested before",
       [](WorkerTracker* tracker) {
         tracker->OnStopAnswer(kTask, 1, true, At(650));
         return HandleReport(tracker, 600, 800, Report(800, false));
       },
       false},
      {"the stop is not answered",
       [](WorkerTracker* tracker) {
         tracker->OnStopAnswer(kTask, 1, false, At(650));
         return HandleReport(tracker, 700, 800, Report(800, false));
       },
       false},
      {"another incarnation answers",
       [](WorkerTracker* tracker) {
         return tracker->OnIncarnationEnded(IncarnationEnd::kCrashed, At(600));
       },
       true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = Undecided();
    const std::vector<RunEndReport> ends = row.happens(&tracker);
    CHECK(ends.size() == (row.settled ? 1 : 0));
    CHECK((tracker.Find(kTask) == nullptr) == row.settled);
    CHECK(tracker.room().accelerators == (row.settled ? 8 : 6));
  }
}

TEST_CASE("a refused start frees its room at once") {
  WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
  tracker.Add(kTask, 1, Profile(), At(0));
  tracker.OnStartSent(kTask, 1, Milliseconds(1500), At(0));
  const auto ends =
      tracker.OnStartAnswer(kTask, 1, StartOutcome::kRefused, At(10));
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].end == RunEnd::kLost);
  CHECK(tracker.room().accelerators == 8);
}

TEST_CASE("a start answer that arrives after a report changes nothing") {
  WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
  tracker.Add(kTask, 1, Profile(), At(0));
  tracker.OnStartSent(kTask, 1, Milliseconds(1500), At(0));
  HandleReport(&tracker, 5, 20, Report(20, true));
  CHECK(
      tracker.OnStartAnswer(kTask, 1, StartOutcome::kRefused, At(30)).empty());
  CHECK(tracker.Find(kTask)->stage == RunStage::kRunning);
}

TEST_CASE("a running task that is absent in a later report is lost") {
  WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
  tracker.Add(kTask, 1, Profile(), At(0));
  tracker.OnStartSent(kTask, 1, Milliseconds(1500), At(0));
  tracker.OnStartAnswer(kTask, 1, StartOutcome::kAccepted, At(20));
  // The worker may have written this report before the start.
  CHECK(HandleReport(&tracker, 10, 30, Report(30, false)).empty());
  CHECK(HandleReport(&tracker, 40, 50, Report(50, false)).size() == 1);
}

TEST_CASE("each end is returned once") {
  WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
  tracker.Add(kTask, 1, Profile(), At(0));
  WorkerStatusReport report = Report(100, false);
  report.ended.push_back({1, kTask, 1, RunEnd::kDone, ""});
  CHECK(HandleReport(&tracker, 90, 100, report).size() == 1);
  CHECK(HandleReport(&tracker, 110, 120, report).empty());
  CHECK(tracker.processed_ends() == 1);
  CHECK(tracker.recorded_ends() == 0);
  tracker.OnEndsRecorded(0, 1);
  CHECK(tracker.recorded_ends() == 1);
}

TEST_CASE("how much of a run's work is preserved at its end") {
  struct Row {
    const char* name;
    // Checkpoint that the run resumed from.
    const char* resumed_from;
    // Checkpoints in the reports at 1000, 2000 and 3000.
    std::vector<const char*> reported;
    // Checkpoint of the end at 4000; null if its worker is gone instead.
    const char* at_end;
    int64_t saved_ms;
  };
  const std::vector<Row> rows = {
      {"never saved", "", {"", "", ""}, "", 0},
      {"saved once", "", {"", "a", "a"}, "a", 2000},
      {"saved again by its end", "", {"", "a", "a"}, "b", 4000},
      {"saved by its end alone", "", {"", "", ""}, "a", 4000},
      {"its worker is gone", "", {"", "a", "b"}, nullptr, 3000},
      {"its worker is gone before it saved", "", {"", "", ""}, nullptr, 0},
      {"resumed, saved nothing itself", "a", {"a", "a", "a"}, "a", 0},
      {"resumed and saved", "a", {"a", "b", "b"}, "b", 2000},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
    tracker.Add(kTask, 1, Profile(), At(0));
    tracker.Find(kTask)->resumed = row.resumed_from[0] != '\0';
    tracker.OnStartSent(kTask, 1, Milliseconds(1500), At(0));
    tracker.OnStartAnswer(kTask, 1, StartOutcome::kAccepted, At(0));
    int64_t now = 0;
    for (const char* checkpoint : row.reported) {
      now += 1000;
      WorkerStatusReport report = Report(now, false);
      report.running.push_back({kTask, 1, checkpoint, 10});
      HandleReport(&tracker, now, now, report);
    }
    std::vector<RunEndReport> ends;
    if (row.at_end == nullptr) {
      ends = tracker.OnIncarnationEnded(IncarnationEnd::kCrashed, At(4000));
    } else {
      WorkerStatusReport report = Report(4000, false);
      report.ended.push_back({1, kTask, 1, RunEnd::kStopped, row.at_end});
      ends = HandleReport(&tracker, 4000, 4000, report);
    }
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].saved_work == Milliseconds(row.saved_ms));
    CHECK(ends[0].began == At(0));
  }
}

// Guards against a lost member that resets a gang's checkpoint: members
// checkpoint at the same points of their work, but report at different times,
// so the last checkpoint reported by one member may be older than what another
// has reported since.
TEST_CASE("a lost gang member does not reset a later checkpoint") {
  const StepRef step{"0123456789abcdef", 0, 0};
  StepSpec spec = MakeStep(2, 1);
  spec.gang = true;
  spec.checkpointable = true;
  JobLedger ledger;
  ledger.Add(MakeJob(step.job, {spec}), At(0));
  ledger.RecordStart(step, {{0, "w"}, {1, "v"}});
  WorkerTracker lost = MakeTracker(MakeWorker("w", "r1"));
  lost.Add({step, 0}, 1, Profile(), At(0));
  WorkerStatusReport report = Report(1000, false);
  report.running.push_back({{step, 0}, 1, "first", 10});
  HandleReport(&lost, 1000, 1000, report);
  ledger.RecordCheckpoint({step, 0}, 1, "first");
  ledger.RecordCheckpoint({step, 1}, 1, "second");
  for (const RunEndReport& end :
       lost.OnIncarnationEnded(IncarnationEnd::kSilent, At(2000))) {
    ledger.RecordRunEnd(end.task, end.run, end.end, end.checkpoint);
  }
  CHECK(ledger.FindTask({step, 0})->checkpoint == "second");
  CHECK(ledger.FindTask({step, 1})->checkpoint == "second");
}

// Guards against a single reason for all runs that end with a worker: the log
// must tell a task that crashed its worker from one that never began.
TEST_CASE("runs that end with their worker's incarnation get the reason") {
  enum class Order { kNotSent, kSent, kAccepted, kInherited };
  struct Row {
    const char* name;
    IncarnationEnd end;
    Order order;
    // When a call to the worker first failed; -1: never. Orders are sent at
    // 100.
    int64_t silent;
    // The announced time of departure; -1: none.
    int64_t announced_departure;
    RunEnd expected;
  };
  const std::vector<Row> rows = {
      {"crashed", IncarnationEnd::kCrashed, Order::kAccepted, 110, -1,
       RunEnd::kWorkerCrashed},
      {"crashed, found by its next incarnation", IncarnationEnd::kCrashed,
       Order::kAccepted, -1, -1, RunEnd::kWorkerCrashed},
      {"before the order was sent", IncarnationEnd::kCrashed, Order::kNotSent,
       110, -1, RunEnd::kLost},
      {"before the order was answered", IncarnationEnd::kCrashed, Order::kSent,
       110, -1, RunEnd::kWorkerCrashed},
      {"before the order arrived", IncarnationEnd::kCrashed, Order::kSent, 90,
       -1, RunEnd::kLost},
      {"the order reached the next incarnation", IncarnationEnd::kCrashed,
       Order::kSent, -1, -1, RunEnd::kLost},
      {"inherited from the previous leader", IncarnationEnd::kCrashed,
       Order::kInherited, -1, -1, RunEnd::kWorkerCrashed},
      {"left", IncarnationEnd::kLeft, Order::kAccepted, -1, 500,
       RunEnd::kWorkerLeft},
      {"left, and another is there already", IncarnationEnd::kCrashed,
       Order::kAccepted, -1, 500, RunEnd::kWorkerLeft},
      {"another is there before the time that was computed from an old entry",
       IncarnationEnd::kCrashed, Order::kAccepted, -1, 5000,
       RunEnd::kWorkerLeft},
      {"left before the order was sent", IncarnationEnd::kCrashed,
       Order::kNotSent, -1, 5000, RunEnd::kLost},
      {"inherited, and another is there already", IncarnationEnd::kCrashed,
       Order::kInherited, -1, 5000, RunEnd::kWorkerLeft},
      {"silent", IncarnationEnd::kSilent, Order::kAccepted, 110, -1,
       RunEnd::kWorkerSilent},
      {"silent, and its announced time has passed", IncarnationEnd::kSilent,
       Order::kAccepted, 110, 500, RunEnd::kWorkerLeft},
      {"silent before its announced time", IncarnationEnd::kSilent,
       Order::kAccepted, 110, 5000, RunEnd::kWorkerLeft},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
    if (row.announced_departure >= 0) {
      WorkerRegistration leaving = MakeWorker("w", "r1");
      leaving.draining = true;
      leaving.drain_remaining = Milliseconds(row.announced_departure);
      tracker.Update(leaving, At(0));
    }
    if (row.order == Order::kInherited) {
      tracker.Inherit(kTask, 1, Profile(), At(100), At(9000));
    } else {
      tracker.Add(kTask, 1, Profile(), At(100));
    }
    if (row.order == Order::kSent || row.order == Order::kAccepted) {
      tracker.OnStartSent(kTask, 1, Milliseconds(1500), At(100));
    }
    if (row.order == Order::kAccepted) {
      tracker.OnStartAnswer(kTask, 1, StartOutcome::kAccepted, At(105));
    }
    if (row.silent >= 0) tracker.OnReportFailed(At(row.silent));
    const auto ends = tracker.OnIncarnationEnded(row.end, At(1000));
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].end == row.expected);
  }
}

// Guards against an announcement that is forgotten, so that a departure counts
// as a crash, and against one that outlives its incarnation, so that crashes of
// the next one do not count.
TEST_CASE("an announced departure holds for the incarnation that leaves") {
  struct Entry {
    bool draining;
    // Start time of the incarnation; 0: the entry does not say.
    int64_t born;
  };
  struct Row {
    const char* name;
    // In the order in which they are read.
    std::vector<Entry> entries;
    // In the reports of the run's incarnation and in the one that ends it.
    int64_t born;
    int64_t next;
    RunEnd expected;
    // Whether the announcement holds for the next incarnation.
    bool next_leaves;
  };
  constexpr RunEnd kLeft = RunEnd::kWorkerLeft;
  constexpr RunEnd kCrashed = RunEnd::kWorkerCrashed;
  const std::vector<Row> rows = {
      {"announced", {{true, 5000}}, 5000, 9000, kLeft, false},
      {"not announced", {{false, 5000}}, 5000, 9000, kCrashed, false},
      {"an older entry is stored late",
       {{true, 5000}, {false, 5000}},
       5000,
       9000,
       kLeft,
       false},
      {"the next incarnation has written its entry",
       {{true, 5000}, {false, 9000}},
       5000,
       9000,
       kLeft,
       false},
      {"only the next incarnation leaves",
       {{false, 5000}, {true, 9000}},
       5000,
       9000,
       kCrashed,
       true},
      {"the entries do not tell the incarnations apart",
       {{true, 0}, {false, 0}},
       5000,
       9000,
       kCrashed,
       false},
      {"announced, and the entry does not say by which incarnation",
       {{true, 0}},
       5000,
       9000,
       kLeft,
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker(MakeWorker("w", "r1"));
    std::vector<RunReport> unexpected;
    WorkerStatusReport report;
    report.incarnation_start.time = FromUnixMilliseconds(row.born);
    tracker.OnReport(report, At(0), At(1), &unexpected);
    tracker.Add(kTask, 1, Profile(), At(100));
    tracker.OnStartSent(kTask, 1, Milliseconds(1500), At(100));
    tracker.OnStartAnswer(kTask, 1, StartOutcome::kAccepted, At(105));
    for (const Entry& entry : row.entries) {
      WorkerRegistration registration = MakeWorker("w", "r1");
      registration.draining = entry.draining;
      registration.drain_remaining = Milliseconds(5000);
      if (entry.born > 0) {
        registration.incarnation_start.time = FromUnixMilliseconds(entry.born);
      }
      tracker.Update(registration, At(200));
    }
    report.incarnation_start.time = FromUnixMilliseconds(row.next);
    const auto ends = tracker.OnReport(report, At(400), At(500), &unexpected);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].end == row.expected);
    CHECK(tracker.has_announced_departure() == row.next_leaves);
  }
}

// Guards against a recorded departure that covers the crashes of a later
// incarnation under the same id, and is written on for it.
TEST_CASE("a recorded departure holds for its incarnation only") {
  struct Row {
    const char* name;
    std::optional<WallTime> recorded;
    int64_t reported;
    bool leaves;
  };
  const std::vector<Row> rows = {
      {"the same", FromUnixMilliseconds(5000), 5000, true},
      {"another one", FromUnixMilliseconds(5000), 9000, false},
      {"its entry did not say", std::nullopt, 5000, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker(MakeWorker("w", "r1"));
    const DepartingWorker recorded{"w", row.recorded};
    tracker.RestoreDeparture(recorded);
    tracker.Inherit(kTask, 1, Profile(), At(0), At(9000));
    CHECK(tracker.departure() == recorded);
    WorkerStatusReport report = Report(1, /*runs=*/true);
    report.incarnation_start.time = FromUnixMilliseconds(row.reported);
    HandleReport(&tracker, 10, 20, report);
    CHECK(tracker.departure().has_value() == row.leaves);
    const auto ends =
        tracker.OnIncarnationEnded(IncarnationEnd::kSilent, At(9100));
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].end ==
          (row.leaves ? RunEnd::kWorkerLeft : RunEnd::kWorkerSilent));
  }
}

// Guards against tasks that are given up because their workers lost power
// before a report included the run: a report may be delayed for seconds, a
// broken connection shows at once.
TEST_CASE("how long a worker survived a run ends when it fell silent") {
  struct Row {
    const char* name;
    // When a call first failed; -1: never.
    int64_t silent;
    int64_t survived_ms;
  };
  const std::vector<Row> rows = {
      {"at the start", 20, 20},
      {"later, though no report has shown the run", 1000, 1000},
      {"no call was made", -1, 3000},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
    tracker.Add(kTask, 1, Profile(), At(0));
    tracker.OnStartAnswer(kTask, 1, StartOutcome::kAccepted, At(0));
    if (row.silent >= 0) {
      tracker.OnReportFailed(At(row.silent));
      tracker.OnReportFailed(At(2000));
    }
    const auto ends =
        tracker.OnIncarnationEnded(IncarnationEnd::kCrashed, At(3000));
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].survived == Milliseconds(row.survived_ms));
  }
}

TEST_CASE("an inherited run is kept until the first report") {
  WorkerTracker tracker(MakeWorker("w", "r1"));
  tracker.Inherit(kTask, 1, Profile(), At(0), At(9000));
  CHECK_FALSE(tracker.synchronized());
  CHECK_FALSE(tracker.LeasesExpired(At(8000)));
  CHECK(tracker.LeasesExpired(At(9001)));
  SUBCASE("it runs") {
    CHECK(HandleReport(&tracker, 10, 20, Report(20, true)).empty());
    CHECK(tracker.Find(kTask)->stage == RunStage::kRunning);
  }
  SUBCASE("it does not") {
    CHECK(HandleReport(&tracker, 10, 20, Report(20, false)).size() == 1);
  }
  CHECK(tracker.synchronized());
}

TEST_CASE("the lease bound allows for the slowest clock") {
  WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
  const Milliseconds deadline =
      tracker.IssueDeadline(Milliseconds(4900), At(100));
  CHECK(deadline == Milliseconds(5000));
  // At 98% of our speed its clock shows 5,000 when ours shows 5,102.
  CHECK_FALSE(tracker.LeasesExpired(At(5102)));
  CHECK(tracker.LeasesExpired(At(5800)));
}

TEST_CASE(
    "a worker that fails several jobs in a row is quarantined for a while") {
  WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
  tracker.health().OnRunFailed({"job1"}, At(0));
  tracker.health().OnRunFailed({"job1"}, At(10));
  CHECK_FALSE(tracker.health().IsExcluded(At(20)));
  CHECK(tracker.health().IsSuspect(At(50)));
  tracker.health().OnRunFailed({"job2"}, At(30));
  CHECK(tracker.health().IsExcluded(At(40)));
  CHECK_FALSE(tracker.health().IsExcluded(At(40 + 6000)));
  SUBCASE("a run that began after the failure clears it") {
    tracker.health().OnRunDone({"job3", At(31)}, At(45));
    CHECK_FALSE(tracker.health().IsSuspect(At(50)));
  }
  SUBCASE("a run that began before does not clear it") {
    tracker.health().OnRunDone({"job3", At(29)}, At(45));
    CHECK(tracker.health().IsSuspect(At(50)));
  }
}

// Guards against a late report that is taken for a stall.
TEST_CASE("time without progress is measured between reports") {
  struct Row {
    const char* name;
    // When the second report was made and arrived, and what it shows. The first
    // one was made and arrived at 1,000 and showed 10%.
    int64_t made;
    int64_t arrived;
    int percent;
    int64_t idle;
  };
  const std::vector<Row> rows = {
      {"progress", 1300, 1300, 11, 0},
      {"no progress", 1300, 1300, 10, 300},
      {"the report is late", 1300, 2300, 10, 300},
      {"the worker's clock is ahead", 3300, 1300, 10, 300},
      {"the worker shows no clock", 0, 1300, 10, 300},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
    const TaskRef task{{"0123456789abcdef", 0, 0}, 0};
    tracker.Add(task, 1, RunProfile(), At(0));
    tracker.OnStartAnswer(task, 1, StartOutcome::kAccepted, At(0));
    const auto report = [&](int64_t made, int64_t arrived, int percent) {
      WorkerStatusReport report;
      report.clock = Milliseconds(made);
      report.running.push_back({task, 1, "", percent});
      std::vector<RunReport> unexpected;
      tracker.OnReport(report, At(arrived), At(arrived), &unexpected);
    };
    report(1000, 1000, 10);
    report(row.made, row.arrived, row.percent);
    CHECK(tracker.Find(task)->idle_in_reports() == Milliseconds(row.idle));
  }
}

TEST_CASE("runs that this process did not decide on are returned") {
  WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
  std::vector<RunReport> unexpected;
  tracker.OnReport(Report(10, true), At(5), At(10), &unexpected);
  REQUIRE(unexpected.size() == 1);
  CHECK(unexpected[0].task == kTask);
}

}  // namespace
}  // namespace thornplank::testing
