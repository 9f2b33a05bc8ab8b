// Which waiting steps are reported as overdue.
#include <doctest/doctest.h>

#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "workload/overdue_starts.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr char kJob[] = "0123456789abcdef";
const StepRef kStep{kJob, 0, 0};
constexpr Milliseconds kBound{1000};

std::map<std::string, WorkerTracker> MakeWorkers(int count) {
  std::map<std::string, WorkerTracker> workers;
  for (int i = 0; i < count; ++i) {
    const std::string id = "w" + std::to_string(i);
    workers.emplace(id, MakeTracker(MakeWorker(id, i % 2 == 0 ? "r0" : "r1")));
  }
  return workers;
}

Plan WaitOf(WaitReason reason) {
  Plan plan;
  plan.waits.push_back({kStep, reason, {}});
  return plan;
}

Plan StartOf() {
  Plan plan = WaitOf(WaitReason::kNoRoom);
  plan.starts.emplace_back();
  plan.starts.back().step = kStep;
  return plan;
}

// Guards against a step that waits for ever unseen, and against an alarm for
// one that waits for room.
TEST_CASE("a step that waits beside room in which it fits is overdue") {
  struct Row {
    const char* name;
    std::function<void(StepSpec*)> change;
    int workers;
    bool overdue;
  };
  const std::vector<Row> rows = {
      {"fits", [](StepSpec*) {}, 1, true},
      {"no worker", [](StepSpec*) {}, 0, false},
      {"too large for any worker",
       [](StepSpec* step) { step->need.accelerators = 9; }, 2, false},
      {"one task of several fits", [](StepSpec* step) { step->count = 100; }, 1,
       true},
      {"a gang that fits",
       [](StepSpec* step) {
         step->gang = true;
         step->count = 16;
       },
       2, true},
      {"a gang of which not all fit",
       [](StepSpec* step) {
         step->gang = true;
         step->count = 17;
       },
       2, false},
      {"a gang that no rack can hold",
       [](StepSpec* step) {
         step->gang = true;
         step->same_rack = true;
         step->count = 16;
       },
       2, false},
      {"a gang with few tasks on each worker",
       [](StepSpec* step) {
         step->gang = true;
         step->count = 4;
         step->max_per_worker = 1;
       },
       3, false},
      {"a label that no worker has",
       [](StepSpec* step) { step->required_label = "other"; }, 2, false},
      {"a label that they have",
       [](StepSpec* step) { step->required_label = "a"; }, 2, true},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    StepSpec spec = MakeStep(1, 1);
    row.change(&spec);
    JobLedger ledger;
    ledger.Add(MakeJob(kJob, {spec}), At(0));
    const auto workers = MakeWorkers(row.workers);
    OverdueStarts starts;
    starts.Observe(WaitOf(WaitReason::kNoRoom), At(0));
    CHECK(starts.Review(ledger, workers, At(1000), kBound).empty());
    starts.Observe(WaitOf(WaitReason::kNoRoom), At(1001));
    CHECK(starts.Review(ledger, workers, At(1001), kBound).empty());
    CHECK(starts.Review(ledger, workers, At(4000), kBound).empty());
    const auto found = starts.Review(ledger, workers, At(4001), kBound);
    CHECK(found.size() == static_cast<size_t>(row.overdue));
    CHECK(starts.count() == found.size());
    if (!row.overdue) continue;
    CHECK(found[0].step == kStep);
    CHECK(found[0].waited == Milliseconds(4001));
    CHECK(found[0].tasks == spec.count);
  }
}

// Guards against an alarm that goes on, or is repeated each second.
TEST_CASE("an overdue step is told once for each reason until it starts") {
  JobLedger ledger;
  ledger.Add(MakeJob(kJob, {MakeStep(2, 1)}), At(0));
  const auto workers = MakeWorkers(1);
  OverdueStarts starts;
  const auto told = [&](const Plan& plan, int64_t time) {
    starts.Observe(plan, At(time));
    return starts.Review(ledger, workers, At(time), kBound).size();
  };
  const Plan waits = WaitOf(WaitReason::kNoRoom);
  CHECK(told(waits, 0) == 0);
  CHECK(told(waits, 2000) == 0);
  CHECK(told(waits, 5000) == 1);
  CHECK(told(waits, 6000) == 0);
  CHECK(starts.count() == 1);
  CHECK(told(WaitOf(WaitReason::kWorkersMissing), 7000) == 1);
  CHECK(told(StartOf(), 8000) == 0);
  CHECK(starts.count() == 0);
  CHECK(told(waits, 8900) == 0);
  CHECK(told(waits, 9100) == 0);
  CHECK(told(waits, 12100) == 1);
  CHECK(told(Plan(), 12200) == 0);
  CHECK(starts.count() == 0);
}

// Guards against an alarm for room that was just freed for another step.
TEST_CASE("room that is used again soon makes no step overdue") {
  JobLedger ledger;
  ledger.Add(MakeJob(kJob, {MakeStep(1, 8)}), At(0));
  const auto idle = MakeWorkers(1);
  auto busy = MakeWorkers(1);
  RunProfile profile;
  profile.need = {1000, 1000, 8};
  busy.at("w0").Add({{"ffffffffffffffff", 0, 0}, 0}, 1, profile, At(0));
  OverdueStarts starts;
  starts.Observe(WaitOf(WaitReason::kNoRoom), At(0));
  for (int second = 2; second < 20; ++second) {
    const bool is_idle = second % 4 != 0;
    const auto& workers = is_idle ? idle : busy;
    CHECK(starts.Review(ledger, workers, At(second * 1000), kBound).empty());
  }
}

// Guards against a step that is never checked since others wait longer, or
// since others fit.
TEST_CASE("of many waiting steps each is checked in turn") {
  constexpr int kSteps = 100;
  struct Row {
    const char* name;
    // The first and the last ones fit.
    int first_fitting;
    int last_fitting;
  };
  const std::vector<Row> rows = {
      {"only the last one fits", 0, 1},
      {"as many as are checked at a time, and the last", 16, 1},
      {"half of them fit", 50, 0},
      {"all fit", kSteps, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    JobLedger ledger;
    Plan plan;
    for (int i = 0; i < kSteps; ++i) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", i);
      const bool fits = i < row.first_fitting || i >= kSteps - row.last_fitting;
      ledger.Add(MakeJob(id, {MakeStep(1, fits ? 1 : 9)}), At(0));
      plan.waits.push_back({{id, 0, 0}, WaitReason::kNoRoom, {}});
    }
    const auto workers = MakeWorkers(1);
    OverdueStarts starts;
    size_t found = 0;
    for (int second = 0; second < 40; ++second) {
      starts.Observe(plan, At(second * 1000));
      found += starts.Review(ledger, workers, At(second * 1000), kBound).size();
    }
    CHECK(found == static_cast<size_t>(row.first_fitting + row.last_fitting));
    CHECK(starts.count() == found);
  }
}

}  // namespace
}  // namespace thornplank::testing
