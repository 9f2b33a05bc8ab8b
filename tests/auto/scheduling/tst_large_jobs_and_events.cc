// Tests of reservations for large jobs, events with a fixed start, faulty
// workers and faulty jobs.
#include <doctest/doctest.h>

#include "scheduling/failure_tracker.h"
#include "scheduling/run_time_estimator.h"
#include "scheduling_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr Shape kRackFour{4, 8, Adjacency::kRack};

// A scheduler whose actions succeed at once, apart from checkpoints while
// `checkpoints_hang` is set. Jobs run until the test ends them.
class RespondingScheduler {
 public:
  explicit RespondingScheduler(std::vector<AccountGuarantee> accounts,
                               SchedulerOptions options = SchedulerOptions())
      : scheduler(options) {
    scheduler.SetWorkers(Workers(1, 4, 8), At(0));
    scheduler.SetGuarantees(accounts, At(0));
    CarryOut(scheduler.Tick(At(0)), At(0));
  }

  void CarryOut(SchedulerActions actions, Time now) {
    for (size_t i = 0; i < actions.size(); ++i) {
      const SchedulerAction action = actions[i];
      SchedulerActions more;
      if (const auto* grant = std::get_if<GrantGang>(&action)) {
        grants[grant->job] = *grant;
        ++attempts[grant->job];
        more = ReportMembers(scheduler, *grant, now);
      } else if (const auto* stop = std::get_if<StopGang>(&action)) {
        more = ReportMembers(scheduler, grants[stop->job], now,
                             MemberOutcome::kGone);
      } else if (const auto* save = std::get_if<CheckpointGang>(&action)) {
        if (!checkpoints_hang) {
          more = scheduler.CheckpointDone(save->job, save->gang_id, now);
        }
      } else if (const auto* report = std::get_if<ReportShortfall>(&action)) {
        shortfalls[report->name] = report->text;
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
  }
  void Submit(const JobSpec& job, int second) {
    CarryOut(scheduler.Submit(job, At(second)), At(second));
  }
  void Tick(int second) { CarryOut(scheduler.Tick(At(second)), At(second)); }
  void End(const std::string& job, int second, MemberOutcome outcome) {
    CarryOut(ReportMembers(scheduler, grants[job], At(second), outcome),
             At(second));
  }
  bool Runs(const std::string& job) const {
    const std::optional<JobStatus> status = scheduler.job(job);
    return status && status->phase == JobPhase::kRunning;
  }

  JobScheduler scheduler;
  std::map<std::string, GrantGang> grants;
  std::map<std::string, int> attempts;
  std::map<std::string, std::string> shortfalls;
  bool checkpoints_hang = false;
};

// Guards against starvation of a large job. Small jobs keep arriving, and
// either end as declared or overrun.
TEST_CASE("a large job starts within a bound while small jobs keep arriving") {
  bool honest = true;
  SUBCASE("run times are as declared") { honest = true; }
  SUBCASE("small jobs never end by themselves") { honest = false; }
  RespondingScheduler t({Account("c"), Account("d")});
  for (int i = 0; i < 4; ++i) {
    t.Submit(Job("first" + std::to_string(i), "c", kWholeWorker, 10 + 10 * i),
             0);
  }
  t.Submit(Job("large", "d", kRackFour, 50), 1);
  std::map<std::string, int> ends;
  for (int i = 0; i < 4; ++i) ends["first" + std::to_string(i)] = 10 + 10 * i;
  int started = 0;
  for (int second = 2; second <= 600 && started == 0; ++second) {
    if (second % 5 == 0) {
      const std::string id = "s" + std::to_string(second);
      t.Submit(Job(id, "c", kWholeWorker, 20), second);
    }
    for (auto& [job, grant] : std::map<std::string, GrantGang>(t.grants)) {
      if (job == "large" || !t.Runs(job)) continue;
      const int end = ends.emplace(job, second + 20).first->second;
      if (honest && end <= second) t.End(job, second, MemberOutcome::kFinished);
    }
    t.Tick(second);
    if (t.Runs("large")) started = second;
  }
  // The wait bound of 60 s, then 40 s, the longest run time of a small job, for
  // the first start of the reservation and for each of its 3 allowed delays.
  CHECK(started > 0);
  CHECK(started <= 60 + 4 * 40);
}

TEST_CASE("an event's accelerators become free shortly before its start") {
  RespondingScheduler t({Account("a"), Account("c")});
  const std::vector<EventReservation> events = {
      {"opening", "a", At(1000), {{kRackFour, 1}}}};
  t.CarryOut(t.scheduler.SetEvents(events, At(0)), At(0));
  CHECK(t.shortfalls["opening"].empty());
  for (int i = 0; i < 4; ++i) {
    t.Submit(Job("c" + std::to_string(i), "c", kWholeWorker, 5000), 0);
  }
  JobSpec job = Job("alert", "a", kRackFour);
  job.event = "opening";
  t.Submit(job, 1);
  // The lead time is 17 s: 10 s assumed for a checkpoint, half of that as
  // margin, and 2 s to stop.
  t.checkpoints_hang = true;
  t.Tick(980);
  CHECK(t.Runs("c0"));
  t.Tick(984);
  CHECK_FALSE(t.Runs("c0"));
  for (int i = 0; i < 4; ++i) {
    const std::string id = "c" + std::to_string(i);
    t.CarryOut(t.scheduler.CheckpointDone(id, t.grants[id].gang_id, At(990)),
               At(990));
  }
  CHECK(t.scheduler.free_accelerators() == 32);
  CHECK_FALSE(t.Runs("alert"));
  t.Submit(Job("late", "c", kWholeWorker, 500), 991);
  CHECK_FALSE(t.Runs("late"));
  t.Submit(Job("short", "c", kWholeWorker, 5), 991);
  CHECK(t.Runs("short"));
  t.End("short", 996, MemberOutcome::kFinished);
  t.Tick(1000);
  CHECK(t.Runs("alert"));
}

TEST_CASE("an event that cannot be served completely is reported at once") {
  RespondingScheduler t({Account("a"), Account("b", {{kWholeWorker, 1}})});
  t.CarryOut(t.scheduler.SetEvents(
                 {{"opening", "a", At(1000), {{kRackFour, 1}}}}, At(0)),
             At(0));
  CHECK_FALSE(t.shortfalls["opening"].empty());
  t.CarryOut(t.scheduler.SetEvents(
                 {{"opening", "a", At(1000), {{kWholeWorker, 3}}}}, At(1)),
             At(1));
  CHECK(t.shortfalls["opening"].empty());
  t.CarryOut(t.scheduler.WorkerLost("w3", At(20), At(5)), At(5));
  const bool reported =
      !t.shortfalls["opening"].empty() || !t.shortfalls["b"].empty();
  CHECK(reported);
}

TEST_CASE("an event uses the guarantee of its account first") {
  RespondingScheduler t({Account("a", {{kRackFour, 1}})});
  t.CarryOut(t.scheduler.SetEvents(
                 {{"opening", "a", At(1000), {{kRackFour, 1}}}}, At(0)),
             At(0));
  CHECK(t.shortfalls["opening"].empty());
  t.Submit(Job("usual", "a", kRackFour, 5000), 1);
  CHECK(t.scheduler.job("usual")->guaranteed);
  JobSpec job = Job("alert", "a", kRackFour);
  job.event = "opening";
  t.Submit(job, 2);
  t.Tick(990);
  t.Tick(1000);
  CHECK(t.Runs("alert"));
}

TEST_CASE("failures are attributed to the worker or to the job") {
  FailureTracker tracker{FailureLimits()};
  constexpr int kWorkers = 50;
  SUBCASE("several jobs fail on one worker") {
    CHECK_FALSE(tracker.RecordFailure("j1", 0, kWorkers, At(0)));
    CHECK_FALSE(tracker.RecordFailure("j2", 0, kWorkers, At(0)));
    CHECK(tracker.RecordFailure("j3", 0, kWorkers, At(0)));
    CHECK_FALSE(tracker.IsBadJob("j3"));
    CHECK_FALSE(tracker.IsProbeDue(0, At(59)));
    CHECK(tracker.IsProbeDue(0, At(60)));
    tracker.StartProbe(0);
    SUBCASE("the probe fails") {
      CHECK(tracker.RecordFailure("j4", 0, kWorkers, At(61)));
      CHECK_FALSE(tracker.IsProbeDue(0, At(180)));
      CHECK(tracker.IsProbeDue(0, At(181)));
    }
    SUBCASE("the probe succeeds") {
      CHECK(tracker.RecordSuccess("j4", 0));
      CHECK(tracker.quarantined().empty());
    }
  }
  SUBCASE("one job fails on several workers") {
    for (int worker = 0; worker < 3; ++worker) {
      CHECK_FALSE(tracker.RecordFailure("bad", worker, kWorkers, At(0)));
    }
    CHECK(tracker.IsBadJob("bad"));
    tracker.ForgetJob("bad");
    // The failures of a bad job no longer count against the workers.
    CHECK_FALSE(tracker.RecordFailure("j1", 0, kWorkers, At(0)));
    CHECK_FALSE(tracker.RecordFailure("j2", 0, kWorkers, At(0)));
    CHECK(tracker.quarantined().empty());
  }
  SUBCASE("no more than the allowed share of workers is quarantined") {
    for (int worker = 0; worker < 10; ++worker) {
      for (const char* job : {"j1", "j2", "j3", "j4"}) {
        tracker.RecordFailure(job + std::to_string(worker), worker, kWorkers,
                              At(0));
      }
    }
    CHECK(tracker.quarantined().size() == 5);
  }
}

TEST_CASE(
    "a job that fails on every worker fails, others avoid a faulty worker") {
  SchedulerOptions options;
  options.max_quarantined_share = 0.25;
  RespondingScheduler t({Account("c")}, options);
  t.Submit(Job("bad", "c", kWholeWorker), 0);
  for (int second = 1; second < 20 && t.Runs("bad"); ++second) {
    t.End("bad", second, MemberOutcome::kFailed);
  }
  CHECK(t.scheduler.job("bad")->phase == JobPhase::kFailed);
  CHECK(t.attempts["bad"] == 3);
  CHECK(t.scheduler.quarantined_workers().empty());
  // Every job that runs on w0 fails.
  for (int i = 0; i < 12; ++i) {
    const std::string id = "g" + std::to_string(i);
    t.Submit(Job(id, "c", kWholeWorker), 100 + i);
    for (int tries = 0; tries < 3 && t.Runs(id); ++tries) {
      const bool faulty = t.grants[id].members[0].worker == "w0";
      const auto outcome =
          faulty ? MemberOutcome::kFailed : MemberOutcome::kFinished;
      t.End(id, 100 + i, outcome);
    }
    CHECK(t.scheduler.job(id)->phase == JobPhase::kFinished);
  }
  CHECK(t.scheduler.quarantined_workers() == std::vector<std::string>{"w0"});
}

TEST_CASE("declared run times are corrected per account") {
  RunTimeEstimator estimator(seconds(10));
  for (int i = 0; i < 20; ++i) {
    estimator.RecordRunTime("a", seconds(10), seconds(40));
  }
  CHECK(estimator.correction_factor("a") == doctest::Approx(4));
  CHECK(estimator.correction_factor("b") == doctest::Approx(1));
  CHECK(estimator.ExpectedRunTime("a", seconds(20)) > seconds(79));
  // A job that overruns is not expected to end immediately.
  CHECK(estimator.RemainingRunTime("b", seconds(10), seconds(100)) >=
        seconds(10));
}

}  // namespace
}  // namespace thornplank::testing
