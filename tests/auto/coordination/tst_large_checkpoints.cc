// Jobs whose tasks report long checkpoints: their progress is stored in records
// that the store takes, and other jobs go on.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

constexpr char kOtherJob[] = "00000000000000ff";
constexpr StoreLimits kLimits;
// A checkpoint of more bytes is not stored: it would not fit into a record
// beside the longest key.
constexpr int kMaxCheckpoint = static_cast<int>(kLimits.record_bytes) - 31;

StepSpec Tasks(int count, bool gang) {
  StepSpec step = MakeStep(count, 1);
  step.gang = gang;
  return step;
}

struct Row {
  const char* name;
  int count;
  bool gang;
  int checkpoint_bytes;
  // The length with which every later run resumes.
  int resumed_bytes;
  // Also played with a change of leader, which takes seconds.
  bool takeover = true;
};

const std::vector<Row> kRows = {
    {"a gang, in one record", 4, true, 1000, 1000, false},
    {"a gang, a quarter of a record each", 4, true, 65536, 65536},
    {"a gang, one byte below the limit", 8, true, kMaxCheckpoint - 1,
     kMaxCheckpoint - 1, false},
    {"a gang, at the limit", 8, true, kMaxCheckpoint, kMaxCheckpoint},
    {"a gang, one byte above", 8, true, kMaxCheckpoint + 1, 0},
    {"tasks, in one record", 4, false, 1000, 1000, false},
    {"tasks, a quarter of a record each", 4, false, 65536, 65536},
    {"tasks, one byte below the limit", 4, false, kMaxCheckpoint - 1,
     kMaxCheckpoint - 1, false},
    {"tasks, at the limit", 4, false, kMaxCheckpoint, kMaxCheckpoint},
    {"tasks, one byte above", 4, false, kMaxCheckpoint + 1, 0},
    {"more tasks than one append takes", 12, false, kMaxCheckpoint,
     kMaxCheckpoint},
};

// The lengths of the checkpoints of all runs after the first of their task.
std::vector<int64_t> ResumedBytes(const Cluster& cluster) {
  std::vector<int64_t> resumed;
  for (const auto& [id, model] : cluster.calls.models) {
    for (const auto& run : model.history()) {
      if (run.run > 1) resumed.push_back(run.resumed_bytes);
    }
  }
  return resumed;
}

// Guards against a leader that repeats for ever the append of a progress record
// which the store rejects for its size: neither this job nor any other one
// starts or ends.
TEST_CASE("jobs with long checkpoints go on, and others too") {
  for (const Row& row : kRows) {
    CAPTURE(std::string(row.name));
    Cluster cluster;
    Entry& entry = cluster.Add("a");
    cluster.SubmitWithPayload({Tasks(row.count, row.gang)},
                              {{"work_ms", 150},
                               {"checkpoint_bytes", row.checkpoint_bytes},
                               {"failing_runs", 1}});
    const bool ran_again = RunUntil(
        cluster.io, [&] { return !ResumedBytes(cluster).empty(); },
        std::chrono::seconds(5));
    CHECK(ran_again);
    cluster.Submit({MakeStep(2, 1)}, 20, kOtherJob);
    CHECK(RunUntil(
        cluster.io,
        [&] { return entry.state(kOtherJob) == JobState::kCompleted; },
        std::chrono::seconds(5)));
    CHECK(RunUntil(
        cluster.io, [&] { return entry.state(kJob) == JobState::kCompleted; },
        std::chrono::seconds(5)));
    const std::vector<int64_t> resumed = ResumedBytes(cluster);
    CHECK(resumed.size() == static_cast<size_t>(row.count));
    for (const int64_t bytes : resumed) CHECK(bytes == row.resumed_bytes);
    CHECK(cluster.store.rejected_appends == 0);
    for (const auto& task : cluster.CompletedRunCounts()) {
      CAPTURE(task.first);
      CHECK(task.second <= 1);
    }
  }
}

// Guards against checkpoints that only the leader which got them knows: after a
// change of leader all work would be lost.
TEST_CASE("a new leader reads the checkpoints that fit") {
  for (const Row& row : kRows) {
    if (!row.takeover) continue;
    CAPTURE(std::string(row.name));
    Cluster cluster;
    cluster.Add("a");
    cluster.Add("b");
    REQUIRE(RunUntil(cluster.io, [&] { return cluster.leaders() == 1; }));
    cluster.SubmitWithPayload({Tasks(row.count, row.gang)},
                              {{"work_ms", 1500},
                               {"checkpoint_bytes", row.checkpoint_bytes},
                               {"failing_runs", 1}});
    const auto count = static_cast<size_t>(row.count);
    if (!RunUntil(
            cluster.io, [&] { return ResumedBytes(cluster).size() == count; },
            std::chrono::seconds(6))) {
      FAIL_CHECK("the tasks did not run again");
      continue;
    }
    Entry& successor = cluster.ReplaceLeader();
    for (int index = 0; index < row.count; ++index) {
      CAPTURE(index);
      const TaskStatus* task =
          successor.coordinator().ledger().FindTask({{kJob, 0, 0}, index});
      REQUIRE(task != nullptr);
      CHECK(static_cast<int>(task->checkpoint.size()) == row.resumed_bytes);
    }
    CHECK(RunUntil(
        cluster.io,
        [&] { return successor.state(kJob) == JobState::kCompleted; },
        std::chrono::seconds(10)));
    for (const auto& task : cluster.RunCounts()) {
      CAPTURE(task.first);
      CHECK(task.second == 2);
    }
  }
}

// Guards against a leader that believes the limits of the store to be larger
// than they are, and goes on as if the progress were stored: a successor would
// start the tasks a second time.
TEST_CASE("a job whose progress the store rejects fails, and others go on") {
  for (const bool gang : {true, false}) {
    CAPTURE(gang);
    Cluster cluster;
    cluster.store.model.set_limits({600, 10000});
    Entry& entry = cluster.Add("a");
    cluster.SubmitWithPayload(
        {Tasks(4, gang)},
        {{"work_ms", 150}, {"checkpoint_bytes", 1000}, {"failing_runs", 1}});
    REQUIRE(RunUntil(
        cluster.io, [&] { return entry.state(kJob) == JobState::kFailed; },
        std::chrono::seconds(5)));
    const BoardJob* job = entry.board().Find(kJob);
    CHECK(job->failure.find("too large for the store") != std::string::npos);
    cluster.Submit({MakeStep(2, 1)}, 20, kOtherJob);
    CHECK(RunUntil(
        cluster.io,
        [&] { return entry.state(kOtherJob) == JobState::kCompleted; },
        std::chrono::seconds(5)));
    CHECK(ResumedBytes(cluster).empty());
    CHECK(cluster.store.repeated_rejections == 0);
  }
}

// Guards against records that stay on the board for good.
TEST_CASE("the checkpoints of an ended job are removed") {
  Cluster cluster;
  Entry& entry = cluster.Add("a");
  cluster.SubmitWithPayload(
      {Tasks(4, true)},
      {{"work_ms", 150}, {"checkpoint_bytes", 100000}, {"failing_runs", 1}});
  const auto large_records = [&] {
    const auto newest = cluster.store.model.ReadNewest(kBoard, "").records;
    return std::count_if(
        newest.begin(), newest.end(),
        [](const KeyedRecord& record) { return RecordBytes(record) > 100000; });
  };
  REQUIRE(RunUntil(cluster.io, [&] { return large_records() > 0; }));
  REQUIRE(RunUntil(cluster.io,
                   [&] { return entry.state(kJob) == JobState::kCompleted; }));
  CHECK(RunUntil(cluster.io, [&] { return large_records() == 0; }));
}

}  // namespace
}  // namespace thornplank::testing
