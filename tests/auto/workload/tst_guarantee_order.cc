// Urgent steps within the guarantee of their account come before what others
// use beyond theirs.
//
// Guards against an account with a backlog that stays far below its guarantee:
// it is owed nothing, and each gap that opens is filled by smaller steps of
// accounts beyond their guarantees before its own step finds enough room.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "planner_cluster.h"

namespace thornplank::testing {
namespace {

constexpr Milliseconds kRound{100};
// Of all tasks.
constexpr Milliseconds kRunTime{2000};
// The record of an end and the start that it makes possible.
constexpr Milliseconds kStartDelay = kRound * 2;

// Two racks of four workers with 8 accelerators each: 64.
class BacklogCluster {
 public:
  BacklogCluster() : cluster_(2, 4) {}

  void Guarantee(const std::string& account, int64_t accelerators) {
    cluster_.guarantees[account] = accelerators;
  }

  // From now on the account always has this number of waiting jobs of the step.
  void KeepWaiting(const std::string& account, StepSpec step, int jobs) {
    step.estimate = kRunTime;
    supplies_[account] = {std::move(step), jobs};
  }

  // Ends what is done or stopped, and places others.
  Plan Turn() {
    cluster_.CarryOutStops();
    for (auto& [id, worker] : cluster_.workers) {
      std::vector<TaskRef> done;
      for (const auto& [task, run] : worker.runs()) {
        if (cluster_.now - run.placed >= kRunTime) done.push_back(task);
      }
      for (const TaskRef& task : done) {
        cluster_.End(id, task, RunEnd::kDone);
      }
    }
    for (const auto& [account, supply] : supplies_) Supply(account, supply);
    Plan plan = cluster_.Round();
    cluster_.now += kRound;
    cluster_.wall_now += kRound;
    return plan;
  }

  // Runs that are being stopped do not count.
  int64_t UseOf(const std::string& account) const {
    int64_t use = 0;
    for (const auto& [id, worker] : cluster_.workers) {
      for (const auto& [task, run] : worker.runs()) {
        if (run.profile.account != account || run.stop_wanted) continue;
        use += run.profile.need.accelerators;
      }
    }
    return use;
  }

  Time now() const { return cluster_.now; }

 private:
  struct BacklogSupply {
    StepSpec step;
    int jobs = 0;
  };

  void Supply(const std::string& account, const BacklogSupply& supply) {
    int waiting = 0;
    for (const auto& [id, job] : cluster_.ledger.jobs()) {
      if (job->spec.account != account) continue;
      if (job->occurrences[0][0].waiting > 0) ++waiting;
    }
    for (; waiting < supply.jobs; ++waiting) {
      JobDefinition job = MakeJob(Id(++jobs_), {supply.step}, 0, account);
      job.accepted = cluster_.wall_now;
      job.policy.slack = std::chrono::hours(1);
      cluster_.ledger.Add(job, cluster_.now);
    }
  }

  PlannerCluster cluster_;
  std::map<std::string, BacklogSupply> supplies_;
  int jobs_ = 0;
};

// Accounts which use more than their guarantees, as a step of theirs does that
// fits into it only in part.
const std::vector<std::string> kOthers = {"other0", "other1", "other2",
                                          "other3"};

TEST_CASE("an account with a backlog reaches its guarantee in time") {
  struct Row {
    const char* name;
    int64_t guarantee;
    StepSpec step;
    // Of the others, each guaranteed 4 accelerators.
    StepSpec other;
  };
  const std::vector<Row> rows = {
      {"gang on one rack, against gangs", 32, Gang(4, 8, true),
       Gang(2, 3, false)},
      {"gang over racks, against gangs", 32, Gang(4, 8, false),
       Gang(2, 3, false)},
      {"whole workers, against gangs", 32, MakeStep(1, 8), Gang(1, 6, false)},
      {"tasks of one step, against gangs", 32, MakeStep(16, 2),
       Gang(2, 3, false)},
      {"step beyond the guarantee, against gangs", 32, MakeStep(24, 2),
       Gang(2, 3, false)},
      {"gang on one rack, against small tasks", 32, Gang(4, 8, true),
       MakeStep(1, 1)},
      {"gang over racks, against small tasks", 32, Gang(2, 8, false),
       MakeStep(1, 1)},
      {"whole workers, against small tasks", 32, MakeStep(1, 8),
       MakeStep(1, 1)},
      {"small gangs, against large ones", 32, Gang(2, 2, true),
       Gang(3, 4, true)},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    BacklogCluster cluster;
    cluster.Guarantee("late", row.guarantee);
    // Their tasks end at different times.
    for (const std::string& other : kOthers) {
      cluster.Guarantee(other, 4);
    }
    for (int turn = 0; turn < 40; ++turn) {
      const size_t others = std::min<size_t>(kOthers.size(), turn / 4 + 1);
      for (size_t i = 0; i < others; ++i) {
        cluster.KeepWaiting(kOthers[i], row.other, 1 + turn / 8);
      }
      cluster.Turn();
    }
    int64_t used = 0;
    for (const std::string& other : kOthers) {
      used += cluster.UseOf(other);
    }
    REQUIRE(used >= 48);
    // More than the guarantee, so that nothing is owed to the account.
    cluster.KeepWaiting("late", row.step, 40);
    const Time begin = cluster.now();
    std::optional<Milliseconds> reached;
    int64_t least = row.guarantee;
    for (int turn = 0; turn < 80; ++turn) {
      cluster.Turn();
      const int64_t use = cluster.UseOf("late");
      if (!reached && use >= row.guarantee) {
        reached =
            std::chrono::duration_cast<Milliseconds>(cluster.now() - begin);
      }
      // What has ended is replaced as soon as enough room is free again.
      if (reached) least = std::min(least, use);
    }
    CAPTURE(least);
    const int64_t took_ms = reached ? reached->count() : -1;
    CAPTURE(took_ms);
    CHECK(reached);
    if (reached) CHECK(*reached <= kRunTime + kStartDelay);
  }
}

// Guards against an account with a backlog that waits for as long as the runs
// of others last, however long that is.
TEST_CASE("an account with a backlog does not wait for runs that last") {
  struct Row {
    const char* name;
    int jobs;
    Milliseconds stops_after;
  };
  const std::vector<Row> rows = {
      {"owed its room", 1, Milliseconds(0)},
      {"not owed its room", 2, PlannerSettings().max_share_wait},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    PlannerCluster cluster(1, 2);
    cluster.guarantees = {{"owner", 8}, {"other", 4}};
    StepSpec lasting = MakeStep(4, 4);
    lasting.estimate = std::chrono::minutes(10);
    cluster.ledger.Add(MakeJob(Id(1), {lasting}, 0, "other"), cluster.now);
    cluster.Round();
    REQUIRE(cluster.free_accelerators() == 0);
    for (int job = 0; job < row.jobs; ++job) {
      JobDefinition waiting =
          MakeJob(Id(2 + job), {MakeStep(1, 8)}, 0, "owner");
      waiting.policy.slack = std::chrono::hours(1);
      cluster.ledger.Add(waiting, cluster.now);
    }
    Milliseconds waited{0};
    while (cluster.Round().stops.empty() && waited < kRunTime * 10) {
      waited += kRound;
      cluster.now += kRound;
      cluster.wall_now += kRound;
    }
    CHECK(waited == row.stops_after);
  }
}

// Guards against work that is stopped at once for a step that is too late to
// earn anything: at the end of a burst the oldest steps of a backlog become
// owed their room together. They must start within the bound all the same.
TEST_CASE("an expired step takes from others only when time is short") {
  struct Row {
    const char* name;
    Milliseconds age;
    Milliseconds stops_after;
  };
  const WorkerBounds bounds;
  const std::vector<Row> rows = {
      {"new", Milliseconds(0), Milliseconds(0)},
      // Its objective is 3 s.
      {"late", Milliseconds(8000), Milliseconds(0)},
      {"expired", Milliseconds(10000), bounds.reclaim_slack()},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    PlannerCluster cluster(1, 1, bounds);
    cluster.guarantees = {{"owner", 8}};
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 8)}, 0, "other"),
                       cluster.now);
    cluster.Round();
    JobDefinition job = MakeJob(Id(2), {MakeStep(1, 8)}, 0, "owner");
    job.accepted = cluster.wall_now - row.age;
    cluster.ledger.Add(job, cluster.now);
    Milliseconds waited{0};
    while (cluster.Round().stops.empty() && waited < bounds.reclaim_bound) {
      waited += kRound;
      cluster.now += kRound;
    }
    CHECK(waited == row.stops_after);
  }
}

// Guards against room that is not kept for an expired step while it waits: it
// would have to take what was free a moment before.
TEST_CASE("an expired step that is owed its room gets what becomes free") {
  PlannerCluster cluster(1, 2);
  cluster.guarantees = {{"owner", 8}};
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(4, 4)}, 0, "other"), cluster.now);
  cluster.Round();
  REQUIRE(cluster.free_accelerators() == 0);
  JobDefinition job = MakeJob(Id(2), {MakeStep(1, 8)}, 0, "owner");
  job.accepted = cluster.wall_now - std::chrono::seconds(60);
  cluster.ledger.Add(job, cluster.now);
  cluster.ledger.Add(MakeJob(Id(3), {MakeStep(8, 4)}, 0, "other"), cluster.now);
  std::vector<std::string> order;
  for (int task = 0; task < 2; ++task) {
    cluster.now += kRound;
    WorkerTracker& worker = cluster.workers.at("w0-0");
    cluster.End("w0-0", worker.runs().begin()->first, RunEnd::kDone);
    const Plan plan = cluster.Round();
    CHECK(plan.stops.empty());
    for (const StartDecision& start : plan.starts) {
      order.push_back(start.step.job);
    }
  }
  CHECK(order == std::vector<std::string>{Id(2)});
}

}  // namespace
}  // namespace thornplank::testing
