// Tests of guarantees: which ones fit together, how their accelerators are
// reclaimed from borrowers, and which shortfalls are reported.
#include <doctest/doctest.h>

#include "scheduling/guarantee_placement.h"
#include "scheduling/victim_selection.h"
#include "scheduling_fixtures.h"
#include "virtual_cluster.h"

namespace thornplank::testing {
namespace {

constexpr Shape kRackPair{2, 8, Adjacency::kRack};
constexpr Shape kRackFour{4, 8, Adjacency::kRack};
constexpr Shape kRackFive{5, 4, Adjacency::kRack};

JobPhase PhaseOf(VirtualCluster& cluster, const std::string& job) {
  return cluster.scheduler().job(job)->phase;
}

void Run(VirtualCluster& cluster, int for_seconds) {
  for (int i = 0; i < for_seconds; ++i) {
    cluster.DeliverAll();
    cluster.Advance(seconds(1));
  }
  cluster.DeliverAll();
}

TEST_CASE("guarantees that cannot be honoured together are refused") {
  struct Case {
    const char* name;
    std::vector<GuaranteedShape> first;
    std::vector<GuaranteedShape> second;
    bool fits;
  };
  const std::vector<Case> cases = {
      {"all accelerators", {{kRackFour, 2}}, {{kRackPair, 2}}, true},
      {"one worker too many", {{kRackFour, 2}}, {{kRackPair, 3}}, false},
      {"a member larger than any worker",
       {{{1, 9, Adjacency::kAnywhere}, 1}},
       {},
       false},
      {"a gang larger than any rack",
       {{{7, 8, Adjacency::kRack}, 1}},
       {},
       false},
      {"two gangs share workers", {{kRackFive, 2}}, {{kRackFour, 1}}, true},
      {"the shape that is hardest to place is declared last",
       {{kOneAccelerator, 64}},
       {{kRackFour, 1}},
       true},
      {"no members", {{{0, 8, Adjacency::kRack}, 1}}, {}, false},
  };
  for (const Case& one : cases) {
    CAPTURE(one.name);
    const std::optional<std::string> reason = CheckGuaranteesFit(
        Workers(2, 6, 8), {Account("a", one.first), Account("b", one.second)});
    CHECK(reason.has_value() != one.fits);
  }
}

TEST_CASE("jobs that can never run are rejected with a reason") {
  AccountGuarantee strict = Account("strict", {{kRackPair, 1}});
  strict.borrowing = false;
  const std::vector<AccountGuarantee> accounts = {Account("a"), strict};
  struct Case {
    const char* account;
    Shape shape;
    bool possible;
  };
  const std::vector<Case> cases = {
      {"a", kRackFour, true},
      {"a", {7, 8, Adjacency::kRack}, false},
      {"a", {1, 9, Adjacency::kAnywhere}, false},
      {"a", {13, 8, Adjacency::kAnywhere}, false},
      {"nobody", kOneAccelerator, false},
      {"strict", kRackPair, true},
      {"strict", kOneAccelerator, true},
      {"strict", kRackFour, false},
  };
  for (const Case& one : cases) {
    CAPTURE(one.shape.ToString());
    const std::optional<std::string> reason = CheckJobCanEverRun(
        Job("j", one.account, one.shape), Workers(2, 6, 8), accounts);
    CHECK(reason.has_value() != one.possible);
  }
  VirtualCluster cluster(Workers(2, 6, 8), accounts);
  cluster.Submit(Job("never", "strict", kRackFour));
  cluster.Advance(seconds(31));
  CHECK(PhaseOf(cluster, "never") == JobPhase::kFailed);
}

// All accelerators are in use by borrowers when the guaranteed job arrives.
TEST_CASE("a guaranteed gang reclaims its accelerators from borrowers") {
  bool hang = false;
  SUBCASE("checkpoints are answered") { hang = false; }
  SUBCASE("checkpoints hang") { hang = true; }
  VirtualCluster cluster(Workers(2, 4, 8),
                         {Account("a", {{kRackFour, 1}}), Account("c")});
  for (int i = 0; i < 8; ++i) {
    cluster.Submit(Job("c" + std::to_string(i), "c", kWholeWorker));
  }
  cluster.DeliverAll();
  REQUIRE(cluster.scheduler().free_accelerators() == 0);
  cluster.SetCheckpointsHang(hang);
  cluster.Submit(Job("a0", "a", kRackFour));
  CHECK(PhaseOf(cluster, "a0") == JobPhase::kWaiting);
  Run(cluster, hang ? 31 : 1);
  CHECK(PhaseOf(cluster, "a0") == JobPhase::kRunning);
  int still_running = 0;
  for (int i = 0; i < 8; ++i) {
    const JobPhase phase = PhaseOf(cluster, "c" + std::to_string(i));
    still_running += phase == JobPhase::kRunning ? 1 : 0;
  }
  CHECK(still_running == 4);
  CHECK(cluster.Check().empty());
}

TEST_CASE("urgent work reclaims from borrowers, never from a guarantee") {
  VirtualCluster cluster(Workers(1, 2, 8),
                         {Account("a", {{kWholeWorker, 1}}), Account("c")});
  cluster.Submit(Job("a0", "a", kWholeWorker));
  cluster.Submit(Job("c0", "c", kWholeWorker));
  cluster.DeliverAll();
  JobSpec urgent = Job("u0", "c", kWholeWorker);
  urgent.priority = Priority::kUrgent;
  cluster.Submit(urgent);
  urgent.id = "u1";
  cluster.Submit(urgent);
  Run(cluster, 2);
  CHECK(PhaseOf(cluster, "a0") == JobPhase::kRunning);
  CHECK(PhaseOf(cluster, "c0") == JobPhase::kWaiting);
  CHECK(PhaseOf(cluster, "u0") == JobPhase::kRunning);
  CHECK(PhaseOf(cluster, "u1") == JobPhase::kWaiting);
}

TEST_CASE(
    "a shortfall is reported when a guarantee loses its workers and is "
    "withdrawn afterwards") {
  JobScheduler scheduler{SchedulerOptions()};
  scheduler.SetWorkers(Workers(2, 4, 8), At(0));
  scheduler.SetGuarantees({Account("a", {{kRackFour, 2}})}, At(0));
  CHECK(ActionsOfType<ReportShortfall>(scheduler.Tick(At(0))).empty());
  const auto lost =
      ActionsOfType<ReportShortfall>(scheduler.WorkerLost("w0", At(15), At(1)));
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].name == "a");
  CHECK_FALSE(lost[0].text.empty());
  const auto back =
      ActionsOfType<ReportShortfall>(scheduler.WorkerRecovered("w0", At(20)));
  REQUIRE(back.size() == 1);
  CHECK(back[0].text.empty());
}

TEST_CASE("cells move off a lost worker if there is room elsewhere") {
  JobScheduler scheduler{SchedulerOptions()};
  scheduler.SetWorkers(Workers(2, 3, 8), At(0));
  scheduler.SetGuarantees({Account("a", {{kRackPair, 2}})}, At(0));
  scheduler.Tick(At(0));
  for (const char* worker : {"w0", "w5"}) {
    const SchedulerActions lost = scheduler.WorkerLost(worker, At(15), At(1));
    CHECK(ActionsOfType<ReportShortfall>(lost).empty());
  }
  CHECK(scheduler.guarantee_placement().IsComplete());
}

// Guards against a start that moves cells of other accounts out of their place
// when there are too few workers for all guarantees.
TEST_CASE("a start does not displace the cells of another account") {
  AccountGuarantee strict = Account("strict", {{{3, 4, Adjacency::kRack}, 1}});
  VirtualCluster cluster(
      Workers(3, 3, 8),
      {Account("a", {{kRackPair, 1}, {{2, 2, Adjacency::kAnywhere}, 2}}),
       Account("b", {{kWholeWorker, 2}}), strict});
  const auto missing = [&cluster](const std::string& account) {
    return cluster.scheduler().guarantee_placement().Shortfall({account, ""});
  };
  cluster.ToggleLost(6);
  cluster.Submit(Job("j0", "b", kRackPair));
  cluster.ToggleLost(2);
  cluster.Submit(Job("j1", "a", kOneAccelerator));
  cluster.ToggleLost(7);
  const std::string of_b = missing("b");
  const std::string of_strict = missing("strict");
  cluster.Submit(Job("j2", "a", {2, 2, Adjacency::kAnywhere}));
  CHECK(missing("b") == of_b);
  CHECK(missing("strict") == of_strict);
}

TEST_CASE("the chosen victims lose the least work per accelerator freed") {
  struct Case {
    const char* name;
    std::map<WorkerIndex, int> needed;
    std::vector<VictimCandidate> candidates;
    std::vector<std::string> victims;
  };
  const std::vector<Case> cases = {
      {"the cheapest gangs",
       {{0, 8}},
       {{"expensive", 100, {{0, 8}}}, {"b", 10, {{0, 4}}}, {"c", 9, {{0, 4}}}},
       {"b", "c"}},
      {"one gang that frees both workers",
       {{0, 4}, {1, 4}},
       {{"a", 10, {{0, 4}}},
        {"b", 10, {{1, 4}}},
        {"both", 12, {{0, 4}, {1, 4}}}},
       {"both"}},
      {"no gang that a later choice made redundant",
       {{0, 8}},
       {{"small", 1, {{0, 4}}}, {"whole", 10, {{0, 8}}}},
       {"whole"}},
      {"no gang on other workers", {{0, 8}}, {{"a", 1, {{1, 8}}}}, {}},
  };
  for (const Case& one : cases) {
    CAPTURE(one.name);
    CHECK(SelectVictims(one.needed, one.candidates) == one.victims);
  }
}

TEST_CASE(
    "borrowers with short checkpoints are stopped before those with long "
    "ones") {
  VirtualCluster cluster(Workers(1, 2, 8), {Account("a", {{kWholeWorker, 1}}),
                                            Account("fast"), Account("slow")});
  // Makes the scheduler measure a checkpoint of the account: a guaranteed job
  // reclaims one of its borrowers.
  const auto measure = [&cluster](const std::string& account, int took) {
    cluster.Submit(Job("m" + account, account, kWholeWorker));
    cluster.Submit(Job("n" + account, account, kWholeWorker));
    cluster.DeliverAll();
    cluster.Submit(Job("a" + account, "a", kWholeWorker));
    cluster.Advance(seconds(took));
    cluster.DeliverAll();
    for (const char* prefix : {"m", "n", "a"}) cluster.Cancel(prefix + account);
    cluster.DeliverAll();
  };
  measure("slow", 20);
  measure("fast", 1);
  cluster.Submit(Job("slow", "slow", kWholeWorker));
  cluster.Submit(Job("fast", "fast", kWholeWorker));
  Run(cluster, 5);
  cluster.Submit(Job("holder", "a", kWholeWorker));
  Run(cluster, 1);
  CHECK(PhaseOf(cluster, "fast") == JobPhase::kWaiting);
  CHECK(PhaseOf(cluster, "slow") == JobPhase::kRunning);
}

TEST_CASE(
    "the gangs of a leaving worker are checkpointed and placed elsewhere") {
  VirtualCluster cluster(Workers(2, 2, 8), {Account("a", {{kRackPair, 1}})});
  cluster.Submit(Job("a0", "a", kRackPair));
  cluster.DeliverAll();
  const std::string worker = cluster.scheduler().job("a0")->members[0].worker;
  cluster.ToggleLeaving(static_cast<size_t>(std::stoi(worker.substr(1))));
  CHECK(PhaseOf(cluster, "a0") == JobPhase::kCheckpointing);
  Run(cluster, 2);
  CHECK(PhaseOf(cluster, "a0") == JobPhase::kRunning);
  const std::optional<JobStatus> moved = cluster.scheduler().job("a0");
  REQUIRE(moved.has_value());
  for (const GangMember& member : moved->members) {
    CHECK(member.worker != worker);
  }
  CHECK(cluster.Check().empty());
}

}  // namespace
}  // namespace thornplank::testing
