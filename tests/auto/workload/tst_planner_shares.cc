// Shares of accounts in rounds of the planner: which account's steps start when
// there is too little capacity, and whose runs give way.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "planner_cluster.h"

namespace thornplank::testing {
namespace {

PlannerSettings SettingsWith(FeatureMode mode) {
  PlannerSettings settings;
  settings.features.account_shares = mode;
  return settings;
}

// Jobs of several accounts that arrive and run in turns of one second.
class SharedCluster {
 public:
  // Four racks of four workers with 8 accelerators each: 128.
  explicit SharedCluster(FeatureMode mode) : cluster(4, 4) {
    cluster.planner = Planner(SettingsWith(mode));
  }

  std::string Submit(const std::string& account, int tasks, int priority = 2,
                     Milliseconds slack = std::chrono::hours(1)) {
    JobDefinition job =
        MakeJob(Id(next_++), {MakeStep(tasks, 1)}, priority, account);
    job.accepted = cluster.wall_now;
    job.policy.slack = slack;
    cluster.ledger.Add(job, cluster.now);
    return job.id;
  }

  // Ends the tasks that have run for `length` turns, and places others. Returns
  // the decisions.
  Plan Turn(int length) {
    for (auto& [id, worker] : cluster.workers) {
      std::vector<TaskRef> over;
      for (const auto& [task, run] : worker.runs()) {
        if (cluster.now - run.stage_since >= std::chrono::seconds(length)) {
          over.push_back(task);
        }
      }
      for (const TaskRef& task : over) {
        cluster.End(id, task, RunEnd::kDone);
      }
    }
    Plan plan = cluster.Round();
    cluster.now += std::chrono::seconds(1);
    cluster.wall_now += std::chrono::seconds(1);
    return plan;
  }

  std::map<std::string, int64_t> UseByAccount() const {
    std::map<std::string, int64_t> use;
    for (const auto& [id, worker] : cluster.workers) {
      for (const auto& [task, run] : worker.runs()) {
        use[run.profile.account] += run.profile.need.accelerators;
      }
    }
    return use;
  }

  std::set<std::string> StartedAccounts(const Plan& plan) const {
    std::set<std::string> accounts;
    for (const StartDecision& start : plan.starts) {
      accounts.insert(cluster.ledger.Find(start.step.job)->spec.account);
    }
    return accounts;
  }

  PlannerCluster cluster;

 private:
  int next_ = 1;
};

std::string Small(int number) { return "small-" + std::to_string(number); }

Guarantees TenAccounts() {
  Guarantees guarantees = {{"large", 24}};
  for (int i = 0; i < 9; ++i) guarantees[Small(i)] = 8;
  return guarantees;
}

// Guards against a large account whose backlog comes before all that others
// submit. On a day with too little capacity, two of ten accounts waited 20 and
// 26 s for the first start of a tenth of their jobs, the others 0.1 to 4 s.
// Each turn, 10 jobs of 4 tasks fit; 6 of one account and 9 of others arrive.
TEST_CASE("a large account's backlog does not delay nine small ones") {
  for (const FeatureMode mode :
       {FeatureMode::kAuto, FeatureMode::kOn, FeatureMode::kOff}) {
    CAPTURE(static_cast<int>(mode));
    SharedCluster shared(mode);
    shared.cluster.guarantees = TenAccounts();
    for (int i = 0; i < 400; ++i) shared.Submit("large", 4);
    shared.Turn(3);
    shared.Turn(3);
    std::map<std::string, int> first_turn;
    std::map<std::string, double> use;
    constexpr int kTurns = 60;
    constexpr int kSettled = 15;
    for (int turn = 0; turn < kTurns; ++turn) {
      for (int i = 0; i < 6; ++i) shared.Submit("large", 4);
      for (int i = 0; i < 9; ++i) shared.Submit(Small(i), 4);
      for (const std::string& name : shared.StartedAccounts(shared.Turn(3))) {
        first_turn.emplace(name, turn);
      }
      if (turn < kSettled) continue;
      for (const auto& [name, amount] : shared.UseByAccount()) {
        use[name] += static_cast<double>(amount) / (kTurns - kSettled);
      }
    }
    const bool on = mode != FeatureMode::kOff;
    bool all_soon = true;
    bool all_fair = true;
    for (int i = 0; i < 9; ++i) {
      const auto first = first_turn.find(Small(i));
      all_soon = all_soon && first != first_turn.end() && first->second <= 3;
      // 8 of 96 parts of 128 accelerators.
      const double fair = 128.0 * 8 / 96;
      all_fair = all_fair && std::abs(use[Small(i)] - fair) < fair * 0.25;
    }
    all_fair = all_fair && std::abs(use["large"] - 32) < 32 * 0.25;
    CHECK(all_soon == on);
    CHECK(all_fair == on);
  }
}

// Guards against an account that is not in the configuration's guarantees and
// never gets its turn.
TEST_CASE("an account without a guarantee gets a small share") {
  for (const FeatureMode mode : {FeatureMode::kAuto, FeatureMode::kOff}) {
    CAPTURE(static_cast<int>(mode));
    SharedCluster shared(mode);
    shared.cluster.guarantees = {{"a", 40}, {"b", 40}};
    for (int i = 0; i < 200; ++i) {
      shared.Submit("a", 4);
      shared.Submit("b", 4);
    }
    shared.Turn(3);
    for (int i = 0; i < 50; ++i) shared.Submit("none", 4);
    int64_t largest = 0;
    int first = 100;
    for (int turn = 0; turn < 12; ++turn) {
      shared.Turn(3);
      const int64_t use = shared.UseByAccount()["none"];
      largest = std::max(largest, use);
      if (use > 0) first = std::min(first, turn);
    }
    CHECK((first <= 3) == (mode == FeatureMode::kAuto));
    // A weight of 4 of 84 parts is 6 accelerators, in steps of 4.
    CHECK(largest <= 12);
  }
}

// Guards against capacity that is kept for accounts which ask for nothing.
TEST_CASE("one account may use all while the others are idle") {
  SharedCluster shared(FeatureMode::kOn);
  shared.cluster.guarantees = TenAccounts();
  for (int i = 0; i < 40; ++i) shared.Submit(Small(0), 4);
  shared.Turn(3);
  CHECK(shared.cluster.free_accelerators() == 0);
  SUBCASE("and gives way to them as its tasks end") {
    for (int i = 1; i < 9; ++i) shared.Submit(Small(i), 4);
    for (int i = 0; i < 100; ++i) shared.Submit(Small(0), 4);
    for (int turn = 0; turn < 3; ++turn) shared.Turn(3);
    auto use = shared.UseByAccount();
    for (int i = 1; i < 9; ++i) CHECK(use[Small(i)] == 4);
  }
}

// Guards against tasks of jobs that earn nothing any more and are started
// before others of the same account.
TEST_CASE("late and expired jobs start after those that can be in time") {
  for (const FeatureMode mode : {FeatureMode::kOn, FeatureMode::kOff}) {
    CAPTURE(static_cast<int>(mode));
    SharedCluster shared(mode);
    for (int i = 0; i < 32; ++i) shared.Submit("a", 4, 2, Milliseconds(0));
    shared.Turn(20);
    // They all miss their objective of 3 s while the first ones run.
    std::set<std::string> late;
    for (int i = 0; i < 40; ++i) {
      late.insert(shared.Submit("a", 4, 2, Milliseconds(0)));
    }
    for (int turn = 0; turn < 18; ++turn) shared.Turn(20);
    for (int i = 0; i < 10; ++i) shared.Submit("a", 4);
    std::vector<std::string> order;
    while (order.empty()) {
      for (const StartDecision& start : shared.Turn(20).starts) {
        order.push_back(start.step.job);
      }
    }
    REQUIRE(order.size() == 32);
    const bool late_first = late.count(order.front()) > 0;
    CHECK(late_first == (mode == FeatureMode::kOff));
    CHECK(std::count_if(order.begin(), order.end(), [&](const auto& job) {
            return late.count(job) == 0;
          }) == (mode == FeatureMode::kOff ? 0 : 10));
  }
}

// Guards against shares that apply where nothing is scarce or no account has a
// guarantee: the order must be exactly that of before.
TEST_CASE("in auto mode shares apply only while capacity is scarce") {
  struct Row {
    const char* name;
    Guarantees guarantees;
    // Tasks that are left waiting by the round before.
    int excess;
    bool shared;
  };
  const std::vector<Row> rows = {
      {"scarce", {{"a", 8}, {"b", 8}}, 1, true},
      {"not scarce", {{"a", 8}, {"b", 8}}, 0, false},
      {"one account with a guarantee", {{"a", 8}}, 1, false},
      {"another guarantee is negative", {{"a", 8}, {"b", -8}}, 1, false},
      {"no guarantees", {}, 1, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SharedCluster shared(FeatureMode::kAuto);
    shared.cluster.guarantees = row.guarantees;
    shared.Submit("a", 128 + row.excess);
    shared.Turn(100);
    shared.Submit("a", 64);
    shared.Submit("a", 64);
    shared.cluster.wall_now += std::chrono::seconds(1);
    shared.Submit("b", 1);
    // All tasks end.
    shared.cluster.now += std::chrono::seconds(100);
    // The older jobs fill the cluster.
    const std::set<std::string> started =
        shared.StartedAccounts(shared.Turn(100));
    CHECK(started.count("a") == 1);
    CHECK((started.count("b") == 1) == row.shared);
  }
}

// Demand in one service must not change the order in another.
TEST_CASE("shares apply to the scarce service only") {
  SharedCluster shared(FeatureMode::kAuto);
  shared.cluster.guarantees = {{"a", 8}, {"b", 8}};
  WorkerRegistration other = MakeWorker("x", "r9");
  other.service = "letters";
  shared.cluster.workers.emplace("x", MakeTracker(other));
  // The service that the jobs below are for is full; "letters" is idle.
  shared.Submit("a", 200);
  shared.Turn(100);
  for (const char* account : {"a", "a", "b"}) {
    JobDefinition job = MakeJob(Id(account[0] == 'a' ? 900 : 901),
                                {MakeStep(1, 1)}, 2, account);
    if (account[0] == 'a' && shared.cluster.ledger.Find(Id(900))) {
      job.id = Id(902);
    }
    job.policy.service = "letters";
    job.accepted = shared.cluster.wall_now;
    shared.cluster.wall_now += Milliseconds(1);
    shared.cluster.ledger.Add(job, shared.cluster.now);
  }
  std::vector<std::string> order;
  for (const StartDecision& start : shared.Turn(100).starts) {
    order.push_back(start.step.job);
  }
  CHECK(order == std::vector<std::string>{Id(900), Id(902), Id(901)});
}

// Guards against urgent steps that take their capacity from an account that has
// less than its share, while another one uses several times its own.
TEST_CASE("runs of accounts above their share give way first") {
  for (const FeatureMode mode : {FeatureMode::kOn, FeatureMode::kOff}) {
    CAPTURE(static_cast<int>(mode));
    PlannerCluster cluster(1, 4);
    cluster.planner = Planner(SettingsWith(mode));
    cluster.guarantees = {{"urgent", 8}, {"above", 8}, {"below", 8}};
    // 24 accelerators of work that would be lost against 8 of work that a stop
    // saves.
    StepSpec saved = MakeStep(1, 8);
    saved.checkpointable = true;
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(3, 8)}, 2, "above"),
                       cluster.now);
    cluster.ledger.Add(MakeJob(Id(2), {saved}, 2, "below"), cluster.now);
    cluster.Round();
    REQUIRE(cluster.free_accelerators() == 0);
    for (auto& [id, worker] : cluster.workers) {
      for (auto& [task, run] : worker.runs()) run.began = cluster.now;
    }
    cluster.now += std::chrono::seconds(5);
    cluster.ledger.Add(MakeJob(Id(3), {MakeStep(1, 8)}, 0, "urgent"),
                       cluster.now);
    const Plan plan = cluster.Round();
    REQUIRE(plan.stops.size() == 1);
    const Job* victim = cluster.ledger.Find(plan.stops[0].task.step.job);
    CHECK((victim->spec.account == "above") == (mode == FeatureMode::kOn));
  }
}

// Guards against several urgent steps of one round that all stop runs of the
// account that was above its share at first.
TEST_CASE("an account that has given way is no longer above its share") {
  PlannerCluster cluster(1, 4);
  cluster.planner = Planner(SettingsWith(FeatureMode::kOn));
  cluster.guarantees = {{"urgent", 16}, {"above", 8}, {"below", 8}};
  StepSpec saved = MakeStep(1, 8);
  saved.checkpointable = true;
  // Three times and once its share; both use as much after two stops. Then the
  // run that loses least is the victim.
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(3, 8)}, 2, "above"), cluster.now);
  cluster.ledger.Add(MakeJob(Id(2), {saved}, 2, "below"), cluster.now);
  cluster.Round();
  for (auto& [id, worker] : cluster.workers) {
    for (auto& [task, run] : worker.runs()) run.began = cluster.now;
  }
  cluster.now += std::chrono::seconds(5);
  for (int i = 3; i < 6; ++i) {
    cluster.ledger.Add(MakeJob(Id(i), {MakeStep(1, 8)}, 0, "urgent"),
                       cluster.now);
  }
  std::map<std::string, int> stops;
  for (const StopDecision& stop : cluster.Round().stops) {
    ++stops[cluster.ledger.Find(stop.task.step.job)->spec.account];
  }
  CHECK(stops == std::map<std::string, int>{{"above", 2}, {"below", 1}});
}

// Guards against a strict order by share that breaks several gangs of an
// account on one rack to spare a single task on another.
TEST_CASE("a rack is not chosen by shares alone") {
  struct Row {
    const char* name;
    // Members of the gang of the account that is above its share, each on a
    // whole worker of the first rack.
    int members;
    // The other rack holds single tasks of the other account.
    bool first_rack;
  };
  const std::vector<Row> rows = {
      {"little is lost", 3, true},
      {"much is lost", 8, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(2, 8);
    cluster.planner = Planner(SettingsWith(FeatureMode::kOn));
    cluster.guarantees = {{"urgent", 8}, {"above", 8}, {"below", 8}};
    StepSpec gang = Gang(row.members, 8, true);
    gang.data_rack = "r0";
    StepSpec filling = MakeStep(8 - row.members, 8);
    filling.data_rack = "r0";
    filling.long_running = true;
    StepSpec single = MakeStep(1, 8);
    single.data_rack = "r1";
    StepSpec lasting = MakeStep(7, 8);
    lasting.data_rack = "r1";
    lasting.long_running = true;
    cluster.ledger.Add(MakeJob(Id(1), {gang}, 1, "above"), cluster.now);
    if (row.members < 8) {
      cluster.ledger.Add(MakeJob(Id(2), {filling}, 1, "above"), cluster.now);
    }
    cluster.ledger.Add(MakeJob(Id(3), {single}, 1, "below"), cluster.now);
    cluster.ledger.Add(MakeJob(Id(4), {lasting}, 1, "above"), cluster.now);
    cluster.Round();
    REQUIRE(cluster.free_accelerators() == 0);
    for (auto& [id, worker] : cluster.workers) {
      for (auto& [task, run] : worker.runs()) {
        run.began = cluster.now;
        run.profile.long_running =
            task.step.job == Id(2) || task.step.job == Id(4);
      }
    }
    cluster.now += std::chrono::seconds(5);
    cluster.ledger.Add(MakeJob(Id(5), {Gang(1, 8, true)}, 0, "urgent"),
                       cluster.now);
    const Plan plan = cluster.Round();
    REQUIRE(plan.stops.size() == 1);
    CHECK((plan.stops[0].task.step.job == Id(1)) == row.first_rack);
  }
}

// Guards against a task that is stopped for the third time although a rack has
// runs that were not stopped before: racks were compared by the lost work only,
// and a run that has just begun again loses the least.
TEST_CASE("a rack is chosen where no run was stopped twice before") {
  for (const FeatureMode mode : {FeatureMode::kOn, FeatureMode::kOff}) {
    CAPTURE(static_cast<int>(mode));
    PlannerCluster cluster(2, 1);
    cluster.planner = Planner(SettingsWith(mode));
    cluster.guarantees = {{"urgent", 8}, {"above", 0}};
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(2, 8)}, 0, "above"),
                       cluster.now);
    cluster.Round();
    REQUIRE(cluster.free_accelerators() == 0);
    TrackedRun* third = nullptr;
    for (auto& [id, worker] : cluster.workers) {
      for (auto& [task, run] : worker.runs()) {
        run.began = cluster.now;
        third = &run;
      }
    }
    third->run = 3;
    cluster.now += std::chrono::seconds(5);
    third->began = cluster.now;
    cluster.ledger.Add(MakeJob(Id(2), {Gang(1, 8, true)}, 0, "urgent"),
                       cluster.now);
    const Plan plan = cluster.Round();
    REQUIRE(plan.stops.size() == 1);
    CHECK(plan.stops[0].run == 1);
  }
}

// Guards against urgent runs that give way although batch tasks would do.
TEST_CASE("urgent runs above a share give way after other work above it") {
  PlannerCluster cluster(1, 4);
  cluster.planner = Planner(SettingsWith(FeatureMode::kOn));
  cluster.guarantees = {{"urgent", 8}, {"above", 1}};
  StepSpec saved = MakeStep(1, 8);
  saved.checkpointable = true;
  // The urgent run would lose less.
  cluster.ledger.Add(MakeJob(Id(1), {saved}, 0, "above"), cluster.now);
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(3, 8)}, 2, "above"), cluster.now);
  cluster.Round();
  // The headroom is given up when no urgent step has come for a while.
  cluster.now += std::chrono::seconds(6);
  cluster.Round();
  REQUIRE(cluster.free_accelerators() == 0);
  for (auto& [id, worker] : cluster.workers) {
    for (auto& [task, run] : worker.runs()) run.began = cluster.now;
  }
  cluster.now += std::chrono::seconds(5);
  cluster.ledger.Add(MakeJob(Id(3), {MakeStep(1, 8)}, 0, "urgent"),
                     cluster.now);
  const Plan plan = cluster.Round();
  REQUIRE(plan.stops.size() == 1);
  CHECK(plan.stops[0].task.step.job == Id(2));
}

// An urgent run within its account's guarantee is never a victim, however far
// the account is above its share.
TEST_CASE("runs within a guarantee never give way") {
  for (const int64_t guaranteed : {int64_t{8}, int64_t{32}}) {
    CAPTURE(guaranteed);
    PlannerCluster cluster(1, 4);
    cluster.planner = Planner(SettingsWith(FeatureMode::kOn));
    cluster.guarantees = {{"urgent", 8}, {"above", guaranteed}};
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(4, 8)}, 0, "above"),
                       cluster.now);
    cluster.Round();
    REQUIRE(cluster.free_accelerators() == 0);
    cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 8)}, 0, "urgent"),
                       cluster.now);
    CHECK(cluster.Round().stops.empty() == (guaranteed == 32));
  }
}

// A new leader must not begin with the order of before: it inherits its
// predecessor's runs, which say who uses what.
TEST_CASE("a new leader knows the shares from the runs that it inherits") {
  for (const FeatureMode mode : {FeatureMode::kOn, FeatureMode::kOff}) {
    CAPTURE(static_cast<int>(mode));
    SharedCluster shared(mode);
    PlannerCluster& cluster = shared.cluster;
    cluster.guarantees = {{"a", 8}, {"b", 8}};
    // The board says that "a" has 124 runs; no report has confirmed them.
    const std::string running = shared.Submit("a", 124);
    const StepRef ref{running, 0, 0};
    std::vector<JobLedger::Assignment> assignments;
    int index = 0;
    for (const auto& [id, worker] : cluster.workers) {
      for (int i = 0; i < 8 && index < 124; ++i) {
        assignments.push_back({index++, id});
      }
    }
    const int run = cluster.ledger.RecordStart(ref, assignments);
    RunProfile profile;
    profile.need = MakeStep(1, 1).need;
    profile.priority = 2;
    profile.account = "a";
    for (const JobLedger::Assignment& assignment : assignments) {
      cluster.workers.at(assignment.worker)
          .Inherit({ref, assignment.index}, run, profile, cluster.now,
                   cluster.now + std::chrono::seconds(10));
    }
    shared.Submit("a", 4);
    cluster.wall_now += std::chrono::seconds(1);
    shared.Submit("b", 4);
    const std::set<std::string> started =
        shared.StartedAccounts(cluster.Round());
    const std::string first = mode == FeatureMode::kOn ? "b" : "a";
    CHECK(started == std::set<std::string>{first});
  }
}

// Guards against an account that waits for its share without a trace in the
// log, and waits that are still reported when nothing is left to place.
TEST_CASE("the plan reports accounts that wait for their share") {
  SharedCluster shared(FeatureMode::kAuto);
  shared.cluster.guarantees = {{"a", 8}, {"b", 8}};
  shared.Submit("a", 200);
  shared.Turn(100);
  const std::string job = shared.Submit("b", 4);
  std::vector<AccountWait> waits;
  const auto turn = [&] {
    for (const AccountWait& wait : shared.Turn(100).account_waits) {
      waits.push_back(wait);
    }
  };
  for (int i = 0; i < 5; ++i) turn();
  REQUIRE(waits.size() == 1);
  CHECK(waits[0].begins);
  CHECK(waits[0].key.service == "claims");
  CHECK(waits[0].key.account == "b");
  CHECK(waits[0].key.priority == 2);
  CHECK(waits[0].waiting == 1);
  shared.cluster.ledger.Cancel(job);
  turn();
  REQUIRE(waits.size() == 2);
  CHECK_FALSE(waits[1].begins);
}

}  // namespace
}  // namespace thornplank::testing
