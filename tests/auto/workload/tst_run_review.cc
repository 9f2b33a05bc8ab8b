// Which runs are stopped, and which continue.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "workload/run_review.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const TaskRef kTask{{"0123456789abcdef", 0, 0}, 0};
const TaskRef kSibling{{"0123456789abcdef", 0, 0}, 1};

// A worker with one run that starts at once.
WorkerTracker Running(const std::string& id, const TaskRef& task,
                      const RunProfile& profile) {
  WorkerTracker worker = MakeTracker(MakeWorker(id, "r0"));
  worker.Add(task, 1, profile, At(0));
  worker.OnStartAnswer(task, 1, StartOutcome::kAccepted, At(0));
  return worker;
}

void Report(WorkerTracker* worker, const TaskRef& task, int percent,
            int64_t when) {
  WorkerStatusReport report;
  report.running.push_back({task, 1, "", percent});
  std::vector<RunReport> unexpected;
  worker->OnReport(report, At(when), At(when), &unexpected);
}

TEST_CASE("why a run is stopped") {
  struct Row {
    const char* name;
    bool gang;
    bool long_running;
    bool checkpointable;
    int percent;
    // Progress of its sibling on another worker after the same time; 0: there
    // is none.
    int sibling_percent;
    bool draining;
    // Milliseconds since the report.
    int64_t later;
    std::string reason;
  };
  const std::vector<Row> rows = {
      {"makes progress", false, false, false, 20, 0, false, 1000, ""},
      {"no progress for long", false, false, false, 20, 0, false, 5001,
       "makes no progress"},
      {"a gang member that is done waits", true, false, false, 100, 0, false,
       9000, ""},
      {"a long-running task has no end", false, true, false, 20, 0, false, 9000,
       ""},
      {"its worker leaves, checkpointable", false, false, true, 20, 0, true,
       100, "worker leaves"},
      {"its worker leaves, not checkpointable", false, false, false, 20, 0,
       true, 100, ""},
      {"five times slower, but its sibling may have less work", false, false,
       false, 10, 50, false, 100, ""},
      {"a gang member five times slower is left to the gang review", true,
       false, false, 10, 50, false, 100, ""},
      {"a gang member whose worker leaves is left to the gang review", true,
       false, true, 20, 0, true, 100, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RunReview review{RunReviewSettings()};
    RunProfile profile;
    profile.gang = row.gang;
    profile.long_running = row.long_running;
    profile.checkpointable = row.checkpointable;
    WorkerTracker worker = Running("w1", kTask, profile);
    Report(&worker, kTask, row.percent, 2000);
    review.Observe(&worker, At(2000));
    if (row.sibling_percent > 0) {
      WorkerTracker sibling = Running("w2", kSibling, profile);
      Report(&sibling, kSibling, row.sibling_percent, 2000);
      review.Observe(&sibling, At(2000));
      review.Observe(&worker, At(2000));
    }
    if (row.draining) {
      WorkerRegistration leaving = MakeWorker("w1", "r0");
      leaving.draining = true;
      leaving.drain_remaining = Milliseconds(500);
      worker.Update(leaving, At(2000));
    }
    const std::vector<RunVerdict> verdicts =
        review.FindRunsToStop(&worker, At(2000 + row.later));
    REQUIRE(verdicts.size() == (row.reason.empty() ? 0 : 1));
    if (verdicts.empty()) continue;
    CHECK(verdicts[0].task == kTask);
    CHECK(verdicts[0].run == 1);
    CHECK(verdicts[0].reason == row.reason);
    const bool stalled = row.reason == "makes no progress";
    CHECK(verdicts[0].stalled == stalled);
  }
}

TEST_CASE("a task on a slow worker is moved if its siblings are alike") {
  struct Row {
    const char* name;
    // Progress of the siblings in percent.
    std::vector<int> siblings;
    std::string reason;
  };
  const std::vector<Row> rows = {
      {"alike", {50, 48, 52, 50}, "slow worker"},
      {"different amounts of work", {50, 20, 90, 33}, ""},
      {"too few to tell", {50, 50}, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RunReview review{RunReviewSettings()};
    int index = 1;
    for (const int percent : row.siblings) {
      const TaskRef task{kTask.step, index};
      WorkerTracker sibling =
          Running("s" + std::to_string(index++), task, RunProfile());
      Report(&sibling, task, percent, 2000);
      review.Observe(&sibling, At(2000));
    }
    WorkerTracker worker = Running("w1", kTask, RunProfile());
    Report(&worker, kTask, 8, 2000);
    review.Observe(&worker, At(2000));
    // With many siblings not every report is evaluated.
    Report(&worker, kTask, 9, 2300);
    review.Observe(&worker, At(2300));
    const std::vector<RunVerdict> verdicts =
        review.FindRunsToStop(&worker, At(2300));
    CHECK((verdicts.empty() ? "" : verdicts[0].reason) == row.reason);
  }
}

}  // namespace
}  // namespace thornplank::testing
