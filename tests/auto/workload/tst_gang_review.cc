// Which gangs are told to stop, all members at one moment, and which go on.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "workload/gang_review.h"
#include "workload/run_review.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr int64_t kBegin = 1000;

// A gang of three, each on a worker of its own. Reports come every half second,
// as long as `Work` is told.
class GangWorld {
 public:
  explicit GangWorld(bool checkpointable) {
    RunProfile profile;
    profile.gang = true;
    profile.checkpointable = checkpointable;
    for (int i = 0; i < 3; ++i) {
      const std::string id = "w" + std::to_string(i);
      WorkerTracker worker = MakeTracker(MakeWorker(id, "r0"));
      worker.Add(Task(i), 1, profile, At(kBegin));
      worker.OnStartAnswer(Task(i), 1, StartOutcome::kAccepted, At(kBegin));
      workers.emplace(id, std::move(worker));
    }
  }

  static TaskRef Task(int index) { return {{"0123456789abcdef", 0, 0}, index}; }

  // Each member does its percents a second until `end`, reported half a second
  // apart.
  void Work(const std::vector<double>& rates, int64_t end) {
    for (int64_t when = last_ + 500; when <= end; when += 500) {
      last_ = when;
      for (size_t i = 0; i < rates.size(); ++i) {
        done_[i] = std::min(done_[i] + rates[i] / 2, 100.0);
        Report(static_cast<int>(i), static_cast<int>(done_[i]), when);
      }
    }
  }

  void Leave(int member, int64_t left, int64_t when) {
    WorkerRegistration leaving = MakeWorker("w" + std::to_string(member), "r0");
    leaving.draining = true;
    leaving.drain_remaining = Milliseconds(left);
    workers.at(leaving.id).Update(leaving, At(when));
  }

  std::vector<GangVerdict> FindRunsToStop(int64_t now) const {
    return GangReview(GangReviewSettings())
        .FindRunsToStop(workers, review.speeds(), At(now));
  }

  std::map<std::string, WorkerTracker> workers;
  RunReview review{RunReviewSettings()};

 private:
  void Report(int member, int percent, int64_t when) {
    WorkerStatusReport report;
    report.running.push_back({Task(member), 1, "", percent});
    std::vector<RunReport> unexpected;
    WorkerTracker& worker = workers.at("w" + std::to_string(member));
    worker.OnReport(report, At(when), At(when), &unexpected);
    review.Observe(&worker, At(when));
  }

  int64_t last_ = kBegin;
  std::vector<double> done_ = {0, 0, 0};
};

// A third of the workers turned five times slower for 6 to 8 s while urgent
// gangs came: each that was moved off threw away what all members had done, and
// was no earlier. 92 of 540 workers went at 2 s notice, twice: gangs worked on
// there until they were gone. Tasks stood still on a tenth of the workers.
TEST_CASE("a gang stops for what one of its members shows") {
  struct Row {
    const char* name;
    bool checkpointable;
    // Percents a second, of each member.
    std::vector<double> rates;
    // Told to leave then, with so much left; -1: it stays.
    int64_t told;
    int64_t left;
    // When it is judged, from the begin of the day.
    int64_t now;
    std::string reason;
  };
  const std::vector<Row> rows = {
      {"works", false, {40, 40, 40}, -1, 0, 2000, ""},
      {"one stands still",
       false,
       {40, 40, 0},
       -1,
       0,
       2500,
       "makes no progress"},
      {"not long enough to tell", false, {40, 40, 0}, -1, 0, 1500, ""},
      {"a long gang is given more time", false, {10, 10, 0}, -1, 0, 3500, ""},
      {"but not for ever",
       false,
       {10, 10, 0},
       -1,
       0,
       4500,
       "makes no progress"},
      {"one is done and waits", false, {10, 10, 100}, -1, 0, 9000, ""},
      {"one is five times slower, lately", false, {10, 10, 2}, -1, 0, 4000, ""},
      {"and stays so", false, {10, 10, 2}, -1, 0, 11000, "slow worker"},
      {"one is a little slower", false, {10, 10, 7}, -1, 0, 11000, ""},
      {"a worker leaves before the end",
       false,
       {10, 10, 10},
       3000,
       1900,
       3000,
       "worker leaves"},
      {"it leaves after the end", false, {40, 40, 40}, 2000, 1900, 2000, ""},
      {"the slowest decides when that is",
       false,
       {40, 40, 20},
       2000,
       1900,
       2000,
       "worker leaves"},
      {"its work is saved: it works on for now",
       true,
       {10, 10, 10},
       3000,
       1900,
       3000,
       ""},
      {"and stops in time",
       true,
       {10, 10, 10},
       3000,
       1900,
       4300,
       "worker leaves"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    GangWorld world(row.checkpointable);
    world.Work(row.rates, row.now);
    if (row.told >= 0) world.Leave(0, row.left, row.told);
    const std::vector<GangVerdict> verdicts = world.FindRunsToStop(row.now);
    CHECK(verdicts.size() == (row.reason.empty() ? 0 : 3));
    int stalled = 0;
    for (const GangVerdict& verdict : verdicts) {
      CHECK(verdict.reason == row.reason);
      stalled += verdict.stalled ? 1 : 0;
      if (verdict.stalled) CHECK(verdict.worker == "w2");
    }
    CHECK(stalled == (row.reason == "makes no progress" ? 1 : 0));
  }
}

TEST_CASE("a gang that is not whole, or is stopping, is left alone") {
  GangWorld world(/*checkpointable=*/false);
  world.Work({40, 40, 0}, 2500);
  REQUIRE_FALSE(world.FindRunsToStop(2500).empty());
  SUBCASE("a member is being stopped") {
    world.workers.at("w0").Find(GangWorld::Task(0))->stop_wanted = true;
  }
  SUBCASE("a member is not known to run") {
    world.workers.at("w0").Find(GangWorld::Task(0))->stage = RunStage::kUnknown;
  }
  CHECK(world.FindRunsToStop(2500).empty());
}

}  // namespace
}  // namespace thornplank::testing
