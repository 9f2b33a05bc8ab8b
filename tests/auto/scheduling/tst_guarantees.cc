// Guarantees: which fit together, how they are called back, what is reported.
#include <doctest/doctest.h>

#include "scheduling/guarantee_witness.h"
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

TEST_CASE("guarantees that cannot be held together are refused") {
  struct Case {
    const char* name;
    std::vector<GuaranteedShape> first;
    std::vector<GuaranteedShape> second;
    bool fits;
  };
  const std::vector<Case> cases = {
      {"all of it", {{kRackFour, 2}}, {{kRackPair, 2}}, true},
      {"one worker too many", {{kRackFour, 2}}, {{kRackPair, 3}}, false},
      {"no worker so large", {{{1, 9, Adjacency::kAnywhere}, 1}}, {}, false},
      {"no rack so large", {{{7, 8, Adjacency::kRack}, 1}}, {}, false},
      {"halves share workers", {{kRackFive, 2}}, {{kRackFour, 1}}, true},
      {"the hard one is declared last", {{kOne, 64}}, {{kRackFour, 1}}, true},
      {"nothing", {{{0, 8, Adjacency::kRack}, 1}}, {}, false},
  };
  for (const Case& one : cases) {
    CAPTURE(one.name);
    const std::optional<std::string> reason = CheckGuaranteesFit(
        Workers(2, 6, 8), {Account("a", one.first), Account("b", one.second)});
    CHECK(reason.has_value() != one.fits);
  }
}

TEST_CASE("jobs that can never run are told why") {
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
      {"nobody", kOne, false},
      {"strict", kRackPair, true},
      {"strict", kOne, true},
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

// Everything is lent to borrowers when the holder comes.
TEST_CASE("a guaranteed gang gets its accelerators back") {
  bool hang = false;
  SUBCASE("checkpoints are answered") { hang = false; }
  SUBCASE("checkpoints hang") { hang = true; }
  VirtualCluster cluster(Workers(2, 4, 8),
                         {Account("a", {{kRackFour, 1}}), Account("c")});
  for (int i = 0; i < 8; ++i) {
    cluster.Submit(Job("c" + std::to_string(i), "c", kWhole));
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
                         {Account("a", {{kWhole, 1}}), Account("c")});
  cluster.Submit(Job("a0", "a", kWhole));
  cluster.Submit(Job("c0", "c", kWhole));
  cluster.DeliverAll();
  JobSpec urgent = Job("u0", "c", kWhole);
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

TEST_CASE("a guarantee that lost its workers is reported, and taken back") {
  JobScheduler scheduler{SchedulerOptions()};
  scheduler.SetWorkers(Workers(2, 4, 8), At(0));
  scheduler.SetGuarantees({Account("a", {{kRackFour, 2}})}, At(0));
  CHECK(Only<ReportShortfall>(scheduler.Tick(At(0))).empty());
  const auto lost =
      Only<ReportShortfall>(scheduler.WorkerLost("w0", At(15), At(1)));
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].name == "a");
  CHECK_FALSE(lost[0].text.empty());
  const auto back =
      Only<ReportShortfall>(scheduler.WorkerRecovered("w0", At(20)));
  REQUIRE(back.size() == 1);
  CHECK(back[0].text.empty());
}

TEST_CASE("a guarantee moves off a lost worker when there is room") {
  JobScheduler scheduler{SchedulerOptions()};
  scheduler.SetWorkers(Workers(2, 3, 8), At(0));
  scheduler.SetGuarantees({Account("a", {{kRackPair, 2}})}, At(0));
  scheduler.Tick(At(0));
  for (const char* worker : {"w0", "w5"}) {
    const SchedulerActions lost = scheduler.WorkerLost(worker, At(15), At(1));
    CHECK(Only<ReportShortfall>(lost).empty());
  }
  CHECK(scheduler.witness().IsWhole());
}

// With too few workers for all, who has a place keeps it.
TEST_CASE("a start never takes the place of another account's guarantee") {
  AccountGuarantee strict = Account("strict", {{{3, 4, Adjacency::kRack}, 1}});
  VirtualCluster cluster(
      Workers(3, 3, 8),
      {Account("a", {{kRackPair, 1}, {{2, 2, Adjacency::kAnywhere}, 2}}),
       Account("b", {{kWhole, 2}}), strict});
  const auto missing = [&cluster](const std::string& account) {
    return cluster.scheduler().witness().Shortfall({account, ""});
  };
  cluster.LoseOrReturn(6);
  cluster.Submit(Job("j0", "b", kRackPair));
  cluster.LoseOrReturn(2);
  cluster.Submit(Job("j1", "a", kOne));
  cluster.LoseOrReturn(7);
  const std::string of_b = missing("b");
  const std::string of_strict = missing("strict");
  cluster.Submit(Job("j2", "a", {2, 2, Adjacency::kAnywhere}));
  CHECK(missing("b") == of_b);
  CHECK(missing("strict") == of_strict);
}

TEST_CASE("victims lose the least work for what they unblock") {
  struct Case {
    const char* name;
    std::map<WorkerIndex, int> needed;
    std::vector<VictimCandidate> candidates;
    std::vector<std::string> victims;
  };
  const std::vector<Case> cases = {
      {"the cheap ones",
       {{0, 8}},
       {{"dear", 100, {{0, 8}}}, {"b", 10, {{0, 4}}}, {"c", 9, {{0, 4}}}},
       {"b", "c"}},
      {"the one that frees both",
       {{0, 4}, {1, 4}},
       {{"a", 10, {{0, 4}}},
        {"b", 10, {{1, 4}}},
        {"both", 12, {{0, 4}, {1, 4}}}},
       {"both"}},
      {"none that a later choice made needless",
       {{0, 8}},
       {{"small", 1, {{0, 4}}}, {"whole", 10, {{0, 8}}}},
       {"whole"}},
      {"nobody elsewhere", {{0, 8}}, {{"a", 1, {{1, 8}}}}, {}},
  };
  for (const Case& one : cases) {
    CAPTURE(one.name);
    CHECK(SelectVictims(one.needed, one.candidates) == one.victims);
  }
}

TEST_CASE("borrowers that are saved fast leave before those that are not") {
  VirtualCluster cluster(Workers(1, 2, 8), {Account("a", {{kWhole, 1}}),
                                            Account("fast"), Account("slow")});
  // Each account's checkpoints are measured once, by a gang of its own.
  const auto measure = [&cluster](const std::string& account, int took) {
    cluster.Submit(Job("m" + account, account, kWhole));
    cluster.Submit(Job("n" + account, account, kWhole));
    cluster.DeliverAll();
    cluster.Submit(Job("a" + account, "a", kWhole));
    cluster.Advance(seconds(took));
    cluster.DeliverAll();
    for (const char* prefix : {"m", "n", "a"}) cluster.Cancel(prefix + account);
    cluster.DeliverAll();
  };
  measure("slow", 20);
  measure("fast", 1);
  cluster.Submit(Job("slow", "slow", kWhole));
  cluster.Submit(Job("fast", "fast", kWhole));
  Run(cluster, 5);
  cluster.Submit(Job("holder", "a", kWhole));
  Run(cluster, 1);
  CHECK(PhaseOf(cluster, "fast") == JobPhase::kWaiting);
  CHECK(PhaseOf(cluster, "slow") == JobPhase::kRunning);
}

TEST_CASE("a leaving worker's gangs are saved and moved whole") {
  VirtualCluster cluster(Workers(2, 2, 8), {Account("a", {{kRackPair, 1}})});
  cluster.Submit(Job("a0", "a", kRackPair));
  cluster.DeliverAll();
  const std::string worker = cluster.scheduler().job("a0")->members[0].worker;
  cluster.LeaveOrStay(static_cast<size_t>(std::stoi(worker.substr(1))));
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
