// Verdicts on workers by the outcome of their runs.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "workload/fleet_health.h"
#include "workload/worker_health.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr HealthVerdict kHealthy = HealthVerdict::kHealthy;
constexpr HealthVerdict kProbation = HealthVerdict::kProbation;
constexpr HealthVerdict kExcluded = HealthVerdict::kExcluded;

enum class Outcome { kDone, kFailed, kStalled };

// A run that ended on the worker; times in milliseconds.
struct Ended {
  Outcome outcome = Outcome::kDone;
  std::string job;
  int64_t placed = 0;
  int64_t at = 0;
};

WorkerHealth Compared() {
  WorkerHealth health;
  health.set_compared(true);
  return health;
}

void Apply(WorkerHealth* health, const Ended& run) {
  const RunEvidence evidence{run.job, At(run.placed), At(run.placed)};
  switch (run.outcome) {
    case Outcome::kDone:
      health->OnRunDone(evidence, At(run.at));
      return;
    case Outcome::kFailed:
      return health->OnRunFailed(evidence, At(run.at));
    case Outcome::kStalled:
      return health->OnRunStalled(evidence, At(run.at));
  }
}

// Guards against both faults: gangs of 13 members that lost the work of all on
// a worker known to fail, and workers that were not used for a single failure
// by chance, which 0.5% to 5% of the runs on healthy workers have.
TEST_CASE("the verdict on a worker follows its runs") {
  constexpr Outcome kDone = Outcome::kDone;
  constexpr Outcome kFailed = Outcome::kFailed;
  constexpr Outcome kStalled = Outcome::kStalled;
  struct Row {
    const char* name;
    std::vector<Ended> runs;
    int64_t now;
    HealthVerdict verdict;
  };
  const std::vector<Row> rows = {
      {"nothing is known", {}, 0, kHealthy},
      {"one failure", {{kFailed, "a", 0, 100}}, 100, kProbation},
      {"a later run succeeded",
       {{kFailed, "a", 0, 100}, {kDone, "b", 200, 900}},
       900,
       kHealthy},
      {"a run that was already there, placed after the failed one, succeeded",
       {{kFailed, "a", 0, 100}, {kDone, "b", 50, 300}},
       300,
       kHealthy},
      {"its success was reported before the failure",
       {{kDone, "b", 50, 90}, {kFailed, "a", 0, 100}},
       100,
       kProbation},
      {"an earlier run succeeded",
       {{kFailed, "a", 50, 100}, {kDone, "b", 0, 300}},
       300,
       kProbation},
      {"one job fails several times",
       {{kFailed, "a", 0, 100}, {kFailed, "a", 1, 100}, {kFailed, "a", 2, 110}},
       110,
       kProbation},
      {"two jobs fail",
       {{kFailed, "a", 0, 100}, {kFailed, "b", 0, 100}},
       100,
       kExcluded},
      {"a success lies between two failures",
       {{kFailed, "a", 0, 100},
        {kDone, "b", 150, 900},
        {kFailed, "c", 200, 1000}},
       1000,
       kProbation},
      {"one stall", {{kStalled, "a", 0, 100}}, 100, kProbation},
      {"a stall on probation",
       {{kFailed, "a", 0, 100}, {kStalled, "b", 0, 1300}},
       1300,
       kExcluded},
      {"the test fails, though it is of the same job",
       {{kFailed, "a", 0, 100}, {kFailed, "a", 200, 400}},
       400,
       kExcluded},
      {"the test stalls",
       {{kStalled, "a", 0, 100}, {kStalled, "a", 200, 2400}},
       2400,
       kExcluded},
      {"an exclusion ends in probation",
       {{kFailed, "a", 0, 100}, {kFailed, "b", 0, 100}},
       6100,
       kProbation},
      {"a success during the exclusion ends the doubt, not the exclusion",
       {{kFailed, "a", 0, 100}, {kFailed, "b", 0, 100}, {kDone, "c", 50, 900}},
       6000,
       kExcluded},
      {"after that exclusion there is no probation",
       {{kFailed, "a", 0, 100}, {kFailed, "b", 0, 100}, {kDone, "c", 50, 900}},
       6100,
       kHealthy},
      {"the test after an exclusion fails",
       {{kFailed, "a", 0, 100},
        {kFailed, "b", 0, 100},
        {kFailed, "a", 6200, 6300}},
       6300,
       kExcluded},
      {"the test after an exclusion succeeds",
       {{kFailed, "a", 0, 100},
        {kFailed, "b", 0, 100},
        {kDone, "c", 6200, 8000}},
       8000,
       kHealthy},
      {"no test waited for half a minute",
       {{kFailed, "a", 0, 100}},
       30200,
       kHealthy},
      {"no test waited for half a minute after an exclusion",
       {{kFailed, "a", 0, 100}, {kFailed, "b", 0, 100}},
       36200,
       kHealthy},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerHealth health = Compared();
    for (const Ended& run : row.runs) {
      Apply(&health, run);
    }
    CHECK(ToText(health.verdict(At(row.now))) == ToText(row.verdict));
    CHECK(health.IsExcluded(At(row.now)) == (row.verdict == kExcluded));
    CHECK(health.IsSuspect(At(row.now)) == (row.verdict != kHealthy));
  }
}

// Guards against a run whose placement is unknown, since a previous leader
// placed it, that would clear a failure it came before.
TEST_CASE("a run of a previous leader refutes nothing") {
  WorkerHealth health = Compared();
  health.OnRunFailed({"a", At(0), Time{}}, At(100));
  CHECK_FALSE(health.OnRunDone({"b", At(50), Time{}}, At(200)));
  CHECK(health.verdict(At(200)) == kProbation);
  CHECK(health.OnRunDone({"b", At(150), At(150)}, At(300)));
  CHECK(health.verdict(At(300)) == kHealthy);
}

// Guards against testing a worker that fails for minutes every 6 s, with a lost
// run each time, and against a long exclusion of one that has recovered.
TEST_CASE("exclusions double and halve") {
  WorkerHealth health = Compared();
  int64_t now = 0;
  const auto exclude = [&health, &now] {
    now += 100;
    Apply(&health, {Outcome::kFailed, "a", now - 1, now});
    if (!health.IsExcluded(At(now))) {
      Apply(&health, {Outcome::kFailed, "b", now - 1, now});
    }
    REQUIRE(health.IsExcluded(At(now)));
    const Duration length = health.excluded_until() - At(now);
    now += std::chrono::duration_cast<Milliseconds>(length).count();
    return length;
  };
  const auto succeed = [&health, &now] {
    now += 100;
    Apply(&health, {Outcome::kDone, "c", now - 1, now});
    CHECK(health.verdict(At(now)) == kHealthy);
  };
  CHECK(exclude() == std::chrono::seconds(6));
  CHECK(exclude() == std::chrono::seconds(12));
  CHECK(exclude() == std::chrono::seconds(24));
  CHECK(exclude() == std::chrono::seconds(30));
  CHECK(exclude() == std::chrono::seconds(30));
  succeed();
  CHECK(exclude() == std::chrono::seconds(24));
  succeed();
  succeed();
  CHECK(exclude() == std::chrono::seconds(12));
  for (int i = 0; i < 9; ++i) succeed();
  CHECK(exclude() == std::chrono::seconds(6));
}

// Guards against a verdict on one incarnation that keeps the next one, which
// may be sound, without tasks.
TEST_CASE("a restart ends an exclusion and what led to it") {
  WorkerHealth health = Compared();
  health.OnRunFailed({"a", At(0), At(0)}, At(100));
  health.OnRunFailed({"b", At(0), At(0)}, At(100));
  health.OnSilence(At(200));
  REQUIRE(health.verdict(At(200)) == kExcluded);
  health.OnRestart();
  CHECK(health.verdict(At(200)) == kHealthy);
  health.OnRunFailed({"a", At(300), At(300)}, At(400));
  health.OnRunFailed({"b", At(300), At(300)}, At(400));
  CHECK(health.excluded_until() - At(400) == std::chrono::seconds(6));
  // The new incarnation may be as hard to reach as the previous one.
  CHECK(health.WasSilentRecently(At(400)));
}

// Guards against a change of behaviour where the feature is switched off.
TEST_CASE("workers that are not compared are judged by WorkerTrust") {
  CHECK(rc::check("same answers after any events", [] {
    WorkerHealth health;
    WorkerTrust trust;
    int64_t now = 0;
    const int events = *rc::gen::inRange(0, 30);
    for (int i = 0; i < events; ++i) {
      now += *rc::gen::inRange(0, 3000);
      const std::string job = std::to_string(*rc::gen::inRange(0, 3));
      const Time began = At(now - *rc::gen::inRange(0, 4000));
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          health.OnRunFailed({job, began, began}, At(now));
          trust.OnRunFailed(job, At(now));
          break;
        case 1:
          health.OnRunDone({job, began, began}, At(now));
          trust.OnRunDone(began);
          break;
        case 2:
          health.OnRunStalled({job, began, began}, At(now));
          trust.OnRunStalled(At(now));
          break;
        case 3:
          health.OnSilence(At(now));
          trust.OnSilence(At(now));
          break;
        default:
          health.OnRestart();
          trust.OnRestart();
      }
      RC_ASSERT(health.IsExcluded(At(now)) == trust.IsQuarantined(At(now)));
      RC_ASSERT(health.IsSuspect(At(now)) == trust.suspect());
      RC_ASSERT(health.WasSilentRecently(At(now)) ==
                trust.WasSilentRecently(At(now)));
    }
  }));
}

// Guards against workers that are condemned for a job that fails everywhere,
// and against a large job that meets many faulty workers and would be taken for
// the cause itself.
TEST_CASE("a job is the cause only where it fails on most of its workers") {
  struct Row {
    const char* name;
    int open;
    int done;
    int interrupted;
    int failed;
    size_t exonerated;
  };
  const std::vector<Row> rows = {
      {"fails once", 0, 0, 0, 1, 0},
      {"fails on two workers", 0, 0, 0, 2, 0},
      {"fails on three workers", 0, 0, 0, 3, 3},
      {"its other runs go on", 4, 0, 0, 3, 0},
      {"its other runs succeed", 0, 4, 0, 3, 0},
      {"its other runs were stopped", 0, 0, 4, 3, 3},
      {"meets every faulty worker", 150, 60, 0, 33, 0},
      {"fails nearly everywhere", 3, 2, 0, 20, 20},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FleetHealth fleet;
    int worker = 0;
    const auto next = [&worker] { return std::to_string(worker++); };
    const int workers = row.open + row.done + row.interrupted + row.failed;
    for (int i = 0; i < workers; ++i) {
      fleet.OnRunPlaced("a", std::to_string(i), At(0));
    }
    worker = row.open;
    for (int i = 0; i < row.done; ++i) fleet.OnRunDone("a", next(), At(10));
    for (int i = 0; i < row.interrupted; ++i) {
      fleet.OnRunInterrupted("a", next());
    }
    std::set<std::string> exonerated;
    for (int i = 0; i < row.failed; ++i) {
      for (const std::string& id : fleet.OnRunFailed("a", next(), At(20))) {
        exonerated.insert(id);
      }
    }
    CHECK(exonerated.size() == row.exonerated);
  }
}

// Guards against an exclusion that stays though the job was found to be the
// cause.
TEST_CASE("an exonerated worker is free again unless other jobs failed too") {
  WorkerHealth health = Compared();
  health.OnRunFailed({"a", At(0), At(0)}, At(100));
  health.OnRunFailed({"b", At(0), At(0)}, At(110));
  REQUIRE(health.verdict(At(120)) == kExcluded);
  health.Exonerate("a", At(120));
  CHECK(health.verdict(At(120)) == kProbation);
  health.Exonerate("b", At(130));
  CHECK(health.verdict(At(130)) == kHealthy);
  health.OnRunFailed({"c", At(200), At(200)}, At(300));
  health.OnRunFailed({"d", At(200), At(200)}, At(300));
  CHECK(health.excluded_until() - At(300) == std::chrono::seconds(6));
}

// Guards against a fleet that excludes itself where many runs fail by chance.
TEST_CASE("the more runs fail by chance, the more failures exclude a worker") {
  struct Row {
    int chance_failures_of_1000;
    int failures_to_exclude;
  };
  const std::vector<Row> rows = {{0, 2},   {5, 2},   {20, 2}, {50, 2},
                                 {100, 3}, {200, 4}, {500, 4}};
  for (const Row& row : rows) {
    CAPTURE(row.chance_failures_of_1000);
    FleetHealth fleet;
    for (int i = 0; i < 1000; ++i) {
      if (i < row.chance_failures_of_1000) {
        fleet.OnChanceFailure(At(i));
      } else {
        fleet.OnRunDone("a", std::to_string(i), At(i));
      }
    }
    const int failures = fleet.FailuresToExclude(At(1000));
    CHECK(failures == row.failures_to_exclude);
    WorkerHealth health = Compared();
    health.set_failures_to_exclude(failures);
    for (int i = 1; i <= failures; ++i) {
      CHECK_FALSE(health.IsExcluded(At(1000)));
      CHECK((health.verdict(At(1000)) == kProbation) == (i == failures));
      health.OnRunFailed({std::to_string(i), At(0), At(0)}, At(1000));
    }
    CHECK(health.IsExcluded(At(1000)));
  }
}

}  // namespace
}  // namespace thornplank::testing
