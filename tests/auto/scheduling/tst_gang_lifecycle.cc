// Tests that a gang starts, runs and stops as a unit, whatever its members do.
#include <doctest/doctest.h>

#include "scheduling_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr Shape kPair{2, 8, Adjacency::kRack};

// A scheduler with two racks of two workers, which has granted a gang of two
// members for job "j".
struct GrantedGang {
  JobScheduler scheduler{SchedulerOptions()};
  GrantGang grant;

  GrantedGang() {
    scheduler.SetWorkers(Workers(2, 2, 8), At(0));
    scheduler.SetGuarantees({Account("a")}, At(0));
    scheduler.Tick(At(0));
    grant =
        ActionsOfType<GrantGang>(scheduler.Submit(Job("j", "a", kPair), At(1)))
            .at(0);
  }
  SchedulerActions Result(int member, MemberOutcome outcome, int second) {
    return scheduler.MemberResult("j", grant.gang_id,
                                  grant.members[member].lease_id, outcome,
                                  "cause", At(second));
  }
  JobPhase phase() const { return scheduler.job("j")->phase; }
};

TEST_CASE("the throttle is lifted only when every member has confirmed") {
  GrantedGang t;
  CHECK(t.grant.members.size() == 2);
  CHECK(t.grant.members[0].worker != t.grant.members[1].worker);
  CHECK(ActionsOfType<LiftThrottle>(t.Result(0, MemberOutcome::kConfirmed, 2))
            .empty());
  CHECK(ActionsOfType<LiftThrottle>(t.Result(0, MemberOutcome::kConfirmed, 2))
            .empty());
  CHECK(t.phase() == JobPhase::kStarting);
  CHECK(ActionsOfType<LiftThrottle>(t.Result(1, MemberOutcome::kConfirmed, 3))
            .size() == 1);
  CHECK(t.phase() == JobPhase::kRunning);
}

TEST_CASE(
    "a lost, refused or failed member stops the others and the job "
    "waits for the last lease") {
  const MemberOutcome outcome = [] {
    MemberOutcome chosen = MemberOutcome::kGone;
    SUBCASE("gone") { chosen = MemberOutcome::kGone; }
    SUBCASE("refused") { chosen = MemberOutcome::kRefused; }
    SUBCASE("failed") { chosen = MemberOutcome::kFailed; }
    return chosen;
  }();
  GrantedGang t;
  t.Result(0, MemberOutcome::kConfirmed, 2);
  const SchedulerActions actions = t.Result(1, outcome, 3);
  CHECK(ActionsOfType<StopGang>(actions).size() == 1);
  CHECK(t.phase() == JobPhase::kStopping);
  CHECK(ActionsOfType<LiftThrottle>(t.Result(1, MemberOutcome::kConfirmed, 4))
            .empty());
  t.Result(1, MemberOutcome::kGone, 5);
  CHECK(ActionsOfType<GrantGang>(t.scheduler.Tick(At(6))).empty());
  SchedulerActions last = t.Result(0, MemberOutcome::kGone, 7);
  for (SchedulerAction& action : t.scheduler.Tick(At(100))) {
    last.push_back(std::move(action));
  }
  const std::vector<GrantGang> again = ActionsOfType<GrantGang>(last);
  REQUIRE(again.size() == 1);
  CHECK(again[0].gang_id != t.grant.gang_id);
}

TEST_CASE("results of an earlier attempt are ignored") {
  GrantedGang t;
  const GrantGang first = t.grant;
  t.Result(0, MemberOutcome::kRefused, 2);
  t.Result(1, MemberOutcome::kGone, 3);
  t.scheduler.Tick(At(9));
  REQUIRE(t.scheduler.job("j")->gang_id != first.gang_id);
  CHECK(ReportMembers(t.scheduler, first, At(10)).empty());
  CHECK(t.phase() == JobPhase::kStarting);
}

TEST_CASE("a gang whose members are not all confirmed in time is stopped") {
  GrantedGang t;
  t.Result(0, MemberOutcome::kConfirmed, 2);
  REQUIRE(t.scheduler.NextWake().has_value());
  CHECK(ActionsOfType<StopGang>(t.scheduler.Tick(*t.scheduler.NextWake()))
            .size() == 1);
}

TEST_CASE("a lost worker's lease counts as held until it lapses") {
  GrantedGang t;
  ReportMembers(t.scheduler, t.grant, At(2));
  const SchedulerActions lost =
      t.scheduler.WorkerLost(t.grant.members[0].worker, At(20), At(3));
  CHECK(ActionsOfType<StopGang>(lost).size() == 1);
  CHECK(ActionsOfType<GrantGang>(t.Result(1, MemberOutcome::kGone, 4)).empty());
  CHECK(t.phase() == JobPhase::kStopping);
  const std::vector<GrantGang> again =
      ActionsOfType<GrantGang>(t.scheduler.Tick(At(20)));
  REQUIRE(again.size() == 1);
  for (const GangMember& member : again[0].members) {
    CHECK(member.worker != t.grant.members[0].worker);
  }
}

TEST_CASE("a cancelled job never starts afterwards") {
  GrantedGang t;
  t.Result(0, MemberOutcome::kConfirmed, 2);
  CHECK(ActionsOfType<StopGang>(t.scheduler.Cancel("j", At(3))).size() == 1);
  CHECK(ActionsOfType<LiftThrottle>(t.Result(1, MemberOutcome::kConfirmed, 4))
            .empty());
  t.Result(0, MemberOutcome::kGone, 5);
  CHECK(t.phase() == JobPhase::kStopping);
  t.Result(1, MemberOutcome::kGone, 6);
  CHECK(t.phase() == JobPhase::kCancelled);
  CHECK(t.scheduler.Tick(At(200)).empty());
  CHECK(t.scheduler.Submit(Job("j", "a", kPair), At(201)).empty());
}

TEST_CASE(
    "a lease report requested before the grant was confirmed does not make "
    "the member count as lost") {
  GrantedGang t;
  ReportMembers(t.scheduler, t.grant, At(5));
  const std::string worker = t.grant.members[0].worker;
  t.scheduler.WorkerReported(worker, {}, At(4), At(6));
  CHECK(t.phase() == JobPhase::kRunning);
  t.scheduler.WorkerReported(worker, {}, At(7), At(8));
  CHECK(t.phase() == JobPhase::kStopping);
}

TEST_CASE("a job finishes once all members have finished") {
  GrantedGang t;
  ReportMembers(t.scheduler, t.grant, At(5));
  t.Result(0, MemberOutcome::kFinished, 50);
  CHECK(t.phase() == JobPhase::kRunning);
  const SchedulerActions done = t.Result(1, MemberOutcome::kFinished, 60);
  CHECK(t.phase() == JobPhase::kFinished);
  CHECK(ActionsOfType<StopGang>(done).size() == 1);
}

TEST_CASE("a new coordinator keeps complete gangs and stops the others") {
  GrantedGang t;
  JobScheduler next{SchedulerOptions()};
  next.SetWorkers(Workers(2, 2, 8), At(0));
  next.SetGuarantees({Account("a")}, At(0));
  next.Submit(Job("j", "a", kPair), At(0));
  AdoptedGang found{"j",
                    t.grant.gang_id,
                    t.grant.members,
                    JobPhase::kRunning,
                    Duration::zero(),
                    std::nullopt};
  SUBCASE("all members found") {
    CHECK(next.Adopt(found, At(1)).empty());
    CHECK(next.Tick(At(2)).empty());
    CHECK(next.job("j")->phase == JobPhase::kRunning);
  }
  SUBCASE("a member is missing") {
    found.members.pop_back();
    CHECK(ActionsOfType<StopGang>(next.Adopt(found, At(1))).size() == 1);
    CHECK(ActionsOfType<GrantGang>(next.Tick(At(2))).empty());
  }
  SUBCASE("cancelled before the takeover") {
    found.phase = JobPhase::kCancelled;
    CHECK(ActionsOfType<StopGang>(next.Adopt(found, At(1))).size() == 1);
    for (const GangMember& member : found.members) {
      next.MemberResult("j", found.gang_id, member.lease_id,
                        MemberOutcome::kGone, "", At(2));
    }
    CHECK(next.Tick(At(3)).empty());
    CHECK(next.job("j")->phase == JobPhase::kCancelled);
  }
  SUBCASE("a second gang of the same job") {
    next.Adopt(found, At(1));
    found.gang_id = "other";
    found.members[0].lease_id = "other.0";
    found.members[1].lease_id = "other.1";
    CHECK(ActionsOfType<StopLease>(next.Adopt(found, At(1))).size() == 2);
    CHECK(next.job("j")->phase == JobPhase::kRunning);
  }
}

}  // namespace
}  // namespace thornplank::testing
