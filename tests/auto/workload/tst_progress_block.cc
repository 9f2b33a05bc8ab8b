// The stored form of a step's progress, and how a new leader restores it.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "base/json.h"
#include "workload/job_ledger.h"
#include "workload/progress_block.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const StepRef kStep{"0123456789abcdef", 0, 0};

StepSpec Wide(int count, bool gang = false) {
  StepSpec step = MakeStep(count, 1);
  step.gang = gang;
  return step;
}

ProgressBlocks Blocks(const JobLedger& ledger, const StepSpec& spec) {
  ProgressBlocks blocks;
  for (int number = 0; number < BlockCount(spec); ++number) {
    const std::string bytes = EncodeBlock(*ledger.FindBlock({kStep, number}));
    blocks[number] = *DecodeBlock(bytes, nullptr);
  }
  return blocks;
}

const WorkerLoss kCrashed{"w1", FromUnixMilliseconds(1700000000123), true,
                          true};
const WorkerLoss kSilent{"w2", std::nullopt, false, false, false,
                         8,    "10.0.0.1:1"};
const WorkerLoss kEnded{
    "w4", FromUnixMilliseconds(1700000000123), false, true, true, 7};

bool Same(const TaskStatus& a, const TaskStatus& b) {
  return a.phase == b.phase && a.run == b.run && a.failures == b.failures &&
         a.worker == b.worker && a.checkpoint == b.checkpoint &&
         a.crashes.losses == b.crashes.losses &&
         a.crashes.start_crashes == b.crashes.start_crashes &&
         a.crashes.unclear_starts == b.crashes.unclear_starts;
}

TEST_CASE("which tasks a block holds") {
  struct Row {
    const char* name;
    StepSpec spec;
    // The number of tasks in each block.
    std::vector<int> sizes;
  };
  const std::vector<Row> rows = {
      {"no tasks", Wide(0), {}},
      {"one task", Wide(1), {1}},
      {"one full block", Wide(4), {4}},
      {"a partial last block", Wide(9), {4, 4, 1}},
      {"a gang", Wide(9, true), {9}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    REQUIRE(BlockCount(row.spec) == static_cast<int>(row.sizes.size()));
    int index = 0;
    for (int block = 0; block < BlockCount(row.spec); ++block) {
      const TaskRange range = TasksOfBlock(row.spec, block);
      CHECK(range.first == index);
      CHECK(range.count == row.sizes[static_cast<size_t>(block)]);
      for (int i = 0; i < range.count; ++i) {
        CHECK(BlockOfTask(row.spec, index + i) == block);
      }
      index += range.count;
    }
  }
}

TEST_CASE("a task's record keeps everything that is needed later") {
  struct Row {
    const char* name;
    TaskStatus stored;
    TaskStatus read;
  };
  const std::vector<Row> rows = {
      {"never started", {}, {}},
      {"active",
       {TaskPhase::kActive, 3, 1, "worker", "saved"},
       {TaskPhase::kActive, 3, 1, "worker", "saved"}},
      {"waiting again",
       {TaskPhase::kWaiting, 3, 1, "", "saved"},
       {TaskPhase::kWaiting, 3, 1, "", "saved"}},
      {"waiting again after a crash and a silence",
       {TaskPhase::kWaiting, 3, 0, "", "", {{kCrashed, kSilent}, 1}},
       {TaskPhase::kWaiting, 3, 0, "", "", {{kCrashed, kSilent}, 1}}},
      {"waiting again after a loss that ended out of sight",
       {TaskPhase::kWaiting, 3, 0, "", "", {{kEnded, kSilent}, 0}},
       {TaskPhase::kWaiting, 3, 0, "", "", {{kEnded, kSilent}, 0}}},
      {"waiting again after an unclear start",
       {TaskPhase::kWaiting, 3, 0, "", "", {{}, 0, 1}},
       {TaskPhase::kWaiting, 3, 0, "", "", {{}, 0, 1}}},
      {"active again after a crash, without failures",
       {TaskPhase::kActive, 2, 0, "w3", "", {{kCrashed}, 0}},
       {TaskPhase::kActive, 2, 0, "w3", "", {{kCrashed}, 0}}},
      {"done, without what is no longer needed",
       {TaskPhase::kDone, 3, 0, "", "saved"},
       {TaskPhase::kDone, 3, 0, "", ""}},
      {"done after failures",
       {TaskPhase::kDone, 3, 2, "", ""},
       {TaskPhase::kDone, 3, 2, "", ""}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const ProgressBlock block{2, 7, {row.stored}};
    const auto read = DecodeBlock(EncodeBlock(block), nullptr);
    REQUIRE(read.has_value());
    CHECK(read->gang_failures == 2);
    CHECK(read->last_failed_run == 7);
    REQUIRE(read->tasks.size() == 1);
    CHECK(Same(read->tasks[0], row.read));
  }
  Error error;
  CHECK_FALSE(DecodeBlock("no cbor", &error).has_value());
  CHECK(error.step == "decode progress");
}

TEST_CASE("a step is restored from the blocks that were stored") {
  const StepSpec spec = Wide(9);
  const JobDefinition job = MakeJob(kStep.job, {spec});
  JobLedger before;
  before.Add(job, At(0));
  before.RecordStart(kStep, {{1, "u"}, {8, "v"}});
  before.RecordRunEnd({kStep, 1}, 1, RunEnd::kDone, "");
  CHECK(before.TakeDirtyBlocks() ==
        std::set<ProgressBlockRef>{{kStep, 0}, {kStep, 2}});
  ProgressBlocks stored = Blocks(before, spec);
  stored.erase(1);
  JobLedger after;
  after.Add(job, At(0));
  REQUIRE(after.Restore(kStep, stored));
  const StepProgress* progress = after.FindStep(kStep);
  CHECK(progress->done == 1);
  CHECK(progress->waiting == 7);
  CHECK(progress->active() == 1);
  CHECK(after.FindTask({kStep, 8})->worker == "v");
  CHECK(after.TakeDirtyBlocks().empty());
}

// Guards against entries of different releases that cannot read each other's
// progress while they are replaced one by one: a task would run twice.
TEST_CASE("crash records are exchanged with earlier releases") {
  const Json before =
      Json::array({0, 0, {{0, 2, 0, "", "", 1, Json::array({"w1", "w2"})}}});
  std::string bytes;
  Json::to_cbor(before, bytes);
  const auto read = DecodeBlock(bytes, nullptr);
  REQUIRE(read.has_value());
  const CrashRecord& crashes = read->tasks.at(0).crashes;
  CHECK(crashes.start_crashes == 1);
  CHECK(crashes.losses == std::vector<WorkerLoss>{{"w1"}, {"w2"}});

  ProgressBlock block;
  block.tasks = {{TaskPhase::kWaiting, 3, 0, "", "", {{kCrashed, kSilent}, 1}}};
  const Json written = ParseCbor(EncodeBlock(block)).value_or(Json());
  const Json& row = written.at(2).at(0);
  CHECK(row.at(5) == 1);
  CHECK(row.at(6) == Json::array({"w1", "w2"}));
}

// An earlier release stored each step in one record.
TEST_CASE("a step in one record is restored and stored in blocks") {
  const StepSpec spec = Wide(9);
  JobLedger ledger;
  ledger.Add(MakeJob(kStep.job, {spec}), At(0));
  ProgressBlock whole;
  whole.tasks.resize(9);
  whole.tasks[5] = {TaskPhase::kActive, 1, 0, "w", ""};
  REQUIRE(ledger.Restore(kStep, {{0, whole}}));
  CHECK(ledger.FindStep(kStep)->active() == 1);
  CHECK(ledger.TakeDirtyBlocks().size() == 3);
  CHECK(ledger.FindBlock({kStep, 1})->tasks[1].worker == "w");
}

TEST_CASE("blocks that do not fit their step change nothing") {
  struct Row {
    const char* name;
    int block;
    size_t tasks;
  };
  const std::vector<Row> rows = {
      {"too few tasks", 0, 3},
      {"too many tasks", 0, 5},
      {"the last one is shorter", 2, 4},
      {"no such block", 3, 4},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    JobLedger ledger;
    ledger.Add(MakeJob(kStep.job, {Wide(9)}), At(0));
    ProgressBlock block;
    block.tasks.resize(row.tasks, {TaskPhase::kActive, 1, 0, "w", ""});
    CHECK_FALSE(ledger.Restore(kStep, {{row.block, block}}));
    CHECK(ledger.FindStep(kStep)->waiting == 9);
    CHECK_FALSE(ledger.FindBlock({kStep, 3}).has_value());
  }
}

// Guards against records whose size grows with the step: every entry reads what
// the leader writes, so the bytes read grow with the number of entries. Here
// the ends of a wide step are stored one at a time.
TEST_CASE("the bytes stored for a wide step grow linearly with its tasks") {
  constexpr int kTasks = 40;
  constexpr size_t kMostBytesOfTask = 150;
  JobLedger ledger;
  ledger.Add(MakeJob(kStep.job, {Wide(kTasks)}), At(0));
  size_t bytes = 0;
  const auto store = [&] {
    for (const ProgressBlockRef& ref : ledger.TakeDirtyBlocks()) {
      bytes +=
          ref.ToString().size() + EncodeBlock(*ledger.FindBlock(ref)).size();
    }
  };
  std::vector<JobLedger::Assignment> all;
  all.reserve(kTasks);
  for (int index = 0; index < kTasks; ++index) {
    all.push_back({index, "i-3f4300f850"});
  }
  ledger.RecordStart(kStep, all);
  store();
  for (int index = 0; index < kTasks; ++index) {
    ledger.RecordRunEnd({kStep, index}, 1, RunEnd::kDone, "00000bb87a21d94b");
    store();
  }
  CHECK(bytes < kMostBytesOfTask * kTasks);
}

}  // namespace
}  // namespace thornplank::testing
