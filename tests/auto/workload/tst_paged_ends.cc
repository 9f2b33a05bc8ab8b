// Reports of a worker that holds more unrecorded ends than one report lists.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "workload/run_review.h"
#include "workload/worker_tracker.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr int kPage = 500;
constexpr int64_t kStart = 5000;
constexpr int64_t kJobAccepted = 500000;
constexpr int64_t kNextStart = 900000;

TaskRef Task(int index) { return {{"0123456789abcdef", 0, 0}, index}; }

RunProfile Profile() {
  RunProfile profile;
  profile.need = {10, 10, 0};
  profile.job_accepted = FromUnixMilliseconds(kJobAccepted);
  return profile;
}

// A worker on which the runs of the tasks 0 to `count` - 1 have ended in this
// order.
class PagedWorker {
 public:
  explicit PagedWorker(int count) : count_(count) {}

  WorkerStatusReport Report(int64_t recorded, int64_t clock) {
    forgotten_ = std::max(forgotten_, recorded);
    WorkerStatusReport report;
    report.clock = Milliseconds(clock);
    report.incarnation_start.time = FromUnixMilliseconds(kStart);
    for (int64_t number = forgotten_ + 1; number <= count_; ++number) {
      if (report.ended.size() == kPage) break;
      report.ended.push_back(
          {number, Task(static_cast<int>(number - 1)), 1, RunEnd::kDone, ""});
    }
    report.ends_complete = report.ended.size() < kPage;
    return report;
  }

 private:
  const int count_;
  int64_t forgotten_ = 0;
};

// A full page of ends of runs that nobody waits for.
WorkerStatusReport FullPage(int64_t start, int64_t clock) {
  WorkerStatusReport report = PagedWorker(kPage + 1).Report(0, clock);
  report.incarnation_start.time = FromUnixMilliseconds(start);
  for (RunEndReport& end : report.ended) end.task.step.job = "other";
  return report;
}

// A list with room for more ends.
WorkerStatusReport CompleteList(int64_t start, int64_t clock) {
  WorkerStatusReport report;
  report.clock = Milliseconds(clock);
  report.incarnation_start.time = FromUnixMilliseconds(start);
  return report;
}

std::vector<RunEndReport> HandleReport(WorkerTracker* tracker, int64_t sent,
                                       const WorkerStatusReport& report) {
  std::vector<RunReport> unexpected;
  return tracker->OnReport(report, At(sent), At(sent + 10), &unexpected);
}

void Accept(WorkerTracker* tracker, const TaskRef& task, int64_t now) {
  tracker->Add(task, 1, Profile(), At(now));
  tracker->OnStartSent(task, 1, Milliseconds(now + 1500), At(now));
  tracker->OnStartAnswer(task, 1, StartOutcome::kAccepted, At(now));
}

// Guards against a second start of tasks that ended `done` while nothing could
// be recorded: their ends did not fit into the report, and their runs were
// taken for lost because it did not mention them.
TEST_CASE("ends beyond the first page of a report are not lost runs") {
  struct Row {
    const char* name;
    int count;
    // Whether a new leader reads the first page; it inherits the runs.
    bool new_leader;
    // Ends that its predecessor had recorded.
    int recorded_before;
    // Reports that come before anything can be recorded.
    int reports_in_outage;
  };
  const std::vector<Row> rows = {
      {"501, the same leader", 501, false, 0, 3},
      {"1,000, the same leader", 1000, false, 0, 3},
      {"1,001, the same leader", 1001, false, 0, 3},
      {"501, recorded at once", 501, false, 0, 1},
      {"1,001, recorded at once", 1001, false, 0, 1},
      {"501, a new leader", 501, true, 0, 3},
      {"1,000, a new leader", 1000, true, 0, 3},
      {"1,001, a new leader", 1001, true, 0, 3},
      {"1,001, a new leader, recorded at once", 1001, true, 0, 1},
      {"1,001, a new leader after the first page", 1001, true, 500, 3},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    PagedWorker worker(row.count);
    worker.Report(row.recorded_before, 0);
    WorkerTracker tracker(MakeWorker("w", "r1"));
    for (int index = row.recorded_before; index < row.count; ++index) {
      if (row.new_leader) {
        tracker.Inherit(Task(index), 1, Profile(), At(0), At(9000));
      } else {
        Accept(&tracker, Task(index), 0);
      }
    }
    std::map<TaskRef, int> done;
    int other_ends = 0;
    int64_t now = 0;
    const auto read = [&] {
      now += 250;
      for (const RunEndReport& end : HandleReport(
               &tracker, now, worker.Report(tracker.recorded_ends(), now))) {
        if (end.end == RunEnd::kDone) {
          ++done[end.task];
        } else {
          ++other_ends;
        }
      }
    };
    for (int i = 0; i < row.reports_in_outage; ++i) read();
    CHECK(tracker.processed_ends() == row.recorded_before + kPage);
    CHECK(static_cast<int>(tracker.runs().size()) ==
          row.count - row.recorded_before - kPage);
    CHECK(tracker.synchronized());
    // One page after the other is recorded, and the last report is empty.
    for (int i = 0; i < 4; ++i) {
      tracker.OnEndsRecorded(0, tracker.processed_ends());
      read();
    }
    CHECK(other_ends == 0);
    CHECK(static_cast<int>(done.size()) == row.count - row.recorded_before);
    CHECK(std::all_of(done.begin(), done.end(),
                      [](const auto& entry) { return entry.second == 1; }));
    CHECK(tracker.runs().empty());
    CHECK(tracker.room().cpu_millis ==
          tracker.registration().capacity.cpu_millis);
  }
}

// Guards against a run that is settled by its absence in a report that does not
// list all ends, whatever else would let absence settle it.
TEST_CASE("absence beside a full page of ends settles nothing") {
  enum class Run { kRunning, kInherited, kUnknown, kStopped };
  struct Row {
    const char* name;
    Run run;
    // Whether the worker restarted under its id before the first report.
    bool restarted;
    // By the first report that lists all ends. A run of the previous
    // incarnation may have been lost with it.
    RunEnd end;
  };
  const std::vector<Row> rows = {
      {"running", Run::kRunning, false, RunEnd::kLost},
      {"inherited from the previous leader", Run::kInherited, false,
       RunEnd::kLost},
      {"not answered, after its deadline", Run::kUnknown, false, RunEnd::kLost},
      {"its stop was acknowledged", Run::kStopped, false, RunEnd::kLost},
      {"running, and the worker restarted", Run::kRunning, true,
       RunEnd::kWorkerCrashed},
      {"inherited, and the worker restarted", Run::kInherited, true,
       RunEnd::kWorkerCrashed},
      {"its stop was acknowledged, and the worker restarted", Run::kStopped,
       true, RunEnd::kWorkerCrashed},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    WorkerTracker tracker(MakeWorker("w", "r1"));
    HandleReport(&tracker, 0, CompleteList(kStart, 0));
    if (row.run == Run::kInherited) {
      tracker.Inherit(Task(0), 1, Profile(), At(0), At(9000));
    } else if (row.run == Run::kUnknown) {
      tracker.Add(Task(0), 1, Profile(), At(0));
      tracker.OnStartSent(Task(0), 1, Milliseconds(1500), At(0));
      tracker.OnStartAnswer(Task(0), 1, StartOutcome::kNoAnswer, At(500));
    } else {
      Accept(&tracker, Task(0), 0);
    }
    if (row.run == Run::kStopped) {
      tracker.OnStopAnswer(Task(0), 1, /*acknowledged=*/true, At(600));
    }
    const int64_t start = row.restarted ? kNextStart : kStart;
    for (const RunEndReport& end :
         HandleReport(&tracker, 2000, FullPage(start, 2000))) {
      CHECK(end.task.step.job == "other");
    }
    CHECK(tracker.Find(Task(0)) != nullptr);
    CHECK(tracker.room().cpu_millis ==
          tracker.registration().capacity.cpu_millis -
              Profile().need.cpu_millis);
    const std::vector<RunEndReport> ends =
        HandleReport(&tracker, 3000, CompleteList(start, 3000));
    CHECK(tracker.runs().empty());
    CHECK(ends.size() == 1);
    if (ends.size() != 1) continue;
    CHECK(ends[0].task == Task(0));
    CHECK(ends[0].end == row.end);
  }
}

// Guards against ends that are recorded unread: an end behind one with a higher
// number was passed over, and the worker forgot it.
TEST_CASE("ends are processed in whichever order a report lists them") {
  const std::vector<std::vector<int>> orders = {
      {1, 2, 3}, {3, 2, 1}, {2, 3, 1}, {3, 1, 2}};
  for (const std::vector<int>& order : orders) {
    CAPTURE(order.front());
    WorkerTracker tracker(MakeWorker("w", "r1"));
    WorkerStatusReport report = CompleteList(kStart, 1000);
    for (const int number : order) {
      Accept(&tracker, Task(number), 0);
      report.ended.push_back({number, Task(number), 1, RunEnd::kDone, ""});
    }
    CHECK(HandleReport(&tracker, 1000, report).size() == 3);
    CHECK(tracker.runs().empty());
    CHECK(tracker.processed_ends() == 3);
    // The same report again brings nothing new.
    CHECK(HandleReport(&tracker, 1100, report).empty());
  }
}

// Guards against a worker that is blamed for runs without progress that ended
// long ago: their ends do not fit into its reports while nothing can be
// recorded.
TEST_CASE("a run that may have ended is not reviewed as running") {
  struct Row {
    const char* name;
    // Whether the report shows the run as running, with the same progress.
    bool listed;
    bool stalled;
  };
  const std::vector<Row> rows = {
      {"it still runs", true, true},
      {"it may have ended", false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    RunReview review{RunReviewSettings()};
    WorkerTracker tracker(MakeWorker("w", "r1"));
    HandleReport(&tracker, 0, CompleteList(kStart, 0));
    Accept(&tracker, Task(0), 0);
    WorkerStatusReport running = CompleteList(kStart, 1000);
    running.running.push_back({Task(0), 1, "", 50});
    HandleReport(&tracker, 1000, running);
    WorkerStatusReport page = FullPage(kStart, 8000);
    if (row.listed) page.running = running.running;
    HandleReport(&tracker, 8000, page);
    const TrackedRun* run = tracker.Find(Task(0));
    CHECK(run != nullptr);
    if (run == nullptr) continue;
    CHECK(run->may_have_ended == !row.listed);
    CHECK(review.FindRunsToStop(&tracker, At(8010)).empty() != row.stalled);
  }
}

// Guards against a worker that counts as slowed for as long as its reports
// leave out a run that has ended: its last progress was taken for new evidence
// with each report.
TEST_CASE("a run that may have ended is no evidence of its worker's speed") {
  RunReview review{RunReviewSettings()};
  RunProfile member = Profile();
  member.gang = true;
  std::vector<WorkerTracker> workers;
  for (int index = 0; index < 2; ++index) {
    workers.emplace_back(MakeWorker("w" + std::to_string(index), "r1"));
    WorkerTracker& worker = workers.back();
    HandleReport(&worker, 0, CompleteList(kStart, 0));
    worker.Add(Task(index), 1, member, At(0));
    worker.OnStartAnswer(Task(index), 1, StartOutcome::kAccepted, At(0));
    WorkerStatusReport report = CompleteList(kStart, 2000);
    report.running.push_back({Task(index), 1, "", index == 0 ? 5 : 50});
    HandleReport(&worker, 2000, report);
  }
  review.Observe(&workers[1], At(2010));
  review.Observe(&workers[0], At(2010));
  REQUIRE(workers[0].IsSlowed());
  for (const int64_t now : {4000, 6000, 8000, 10000}) {
    HandleReport(&workers[0], now, FullPage(kStart, now));
    review.Observe(&workers[0], At(now + 10));
  }
  CHECK_FALSE(workers[0].IsSlowed());
}

}  // namespace
}  // namespace thornplank::testing
