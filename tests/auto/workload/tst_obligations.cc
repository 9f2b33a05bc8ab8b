// Preferences of the planner give way to starts that are owed.
#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "planner_cluster.h"
#include "workload/obligation.h"
#include "workload/preference.h"

namespace thornplank::testing {
namespace {

constexpr std::array<Obligation, 3> kAllObligations = {
    Obligation::kLastingTask, Obligation::kIdleJob, Obligation::kGuaranteed};

// The job to which a start is owed.
const char* const kOwedJob = "00000000000000aa";

SchedulingFeatures FeaturesWith(FeatureMode held_capacity) {
  SchedulingFeatures features;
  features.held_capacity = held_capacity;
  features.account_shares = FeatureMode::kOff;
  return features;
}

// Three racks of five workers with eight accelerators each.
class OwedCluster : public PlannerCluster {
 public:
  explicit OwedCluster(FeatureMode held_capacity = FeatureMode::kOff)
      : PlannerCluster(3, 5, WorkerBounds(), FeaturesWith(held_capacity)) {}

  // Work that is not evicted uses the accelerators of a worker.
  void Fill(const std::string& id, int accelerators, int priority = 0,
            Milliseconds estimate = Milliseconds(0)) {
    RunProfile profile;
    profile.need = {1000, 1000, accelerators};
    profile.priority = priority;
    profile.account = "filler";
    profile.estimate = estimate;
    guarantees["filler"] = 1000;
    const TaskRef task{{Id(900 + ++fillers_), 0, 0}, 0};
    workers.at(id).Add(task, 1, profile, now);
    workers.at(id).OnStartAnswer(task, 1, StartOutcome::kAccepted, now);
  }

  void FillRack(int rack, int first, int count, int accelerators = 8) {
    for (int i = first; i < first + count; ++i) {
      Fill("w" + std::to_string(rack) + "-" + std::to_string(i), accelerators);
    }
  }

  // Adds the step as a job to which a start of this kind will be owed.
  void Owe(Obligation obligation, StepSpec step) {
    step.long_running = obligation == Obligation::kLastingTask;
    const bool guaranteed = obligation == Obligation::kGuaranteed;
    if (guaranteed) guarantees["north"] = 100;
    ledger.Add(MakeJob(kOwedJob, {step}, guaranteed ? 0 : 2), now);
  }

  // Like Owe(), but another step of a job that lasts stays at work.
  void OweBesideOthers(Obligation obligation, StepSpec step) {
    Owe(obligation, step);
    if (obligation != Obligation::kLastingTask) return;
    ledger.Remove(kOwedJob);
    step.long_running = true;
    StepSpec other = MakeStep(1, 1);
    other.long_running = true;
    ledger.Add(MakeJob(kOwedJob, {step, other}, 2), now);
    ledger.RecordStart({kOwedJob, 0, 1}, {{0, "w0-0"}});
  }

  // An urgent job that starts in the next round: room is left for more.
  void ExpectUrgent() {
    ledger.Add(MakeJob(Id(800), {MakeStep(1, 1)}, 0, "urgent"), now);
  }

  TaskStatus* OwedTask(int index = 0) {
    return &ledger.FindStep({kOwedJob, 0, 0})
                ->tasks[static_cast<size_t>(index)];
  }

  // Runs on some workers have failed.
  void DoubtLastWorkers(bool compared) {
    for (auto& [id, worker] : workers) {
      worker.health().set_compared(compared);
    }
    for (const char* id : kDoubtful) {
      workers.at(id).health().OnRunFailed({"other", now, now}, now);
    }
  }

  static constexpr std::array<const char*, 3> kDoubtful = {"w2-2", "w2-3",
                                                           "w2-4"};

 private:
  int fillers_ = 0;
};

// A label that only the doubtful workers have.
void LabelDoubtful(OwedCluster* cluster) {
  for (const char* id : OwedCluster::kDoubtful) {
    WorkerRegistration worker = cluster->workers.at(id).registration();
    worker.labels.push_back("doubtful");
    cluster->workers.erase(id);
    cluster->workers.emplace(id, MakeTracker(worker));
  }
}

// How a preference treats a kind of obligation.
enum class Effect {
  // It holds the step back until the start is owed.
  kHoldsUntilOwed,
  // It ends by itself before.
  kEndsBefore,
  // It does not apply.
  kNeverHolds,
};

struct Row {
  Preference preference;
  // By obligation, in the order of kAllObligations.
  std::array<Effect, 3> effects;
  FeatureMode held_capacity;
  // Lets the preference hold back a step, if it can.
  std::function<void(OwedCluster*, Obligation)> prepare;
};

std::vector<Row> Rows() {
  constexpr Effect kHolds = Effect::kHoldsUntilOwed;
  constexpr Effect kEnds = Effect::kEndsBefore;
  constexpr Effect kNever = Effect::kNeverHolds;
  constexpr FeatureMode kOff = FeatureMode::kOff;
  return {
      {Preference::kIsolation,
       {kEnds, kEnds, kEnds},
       kOff,
       [](OwedCluster* cluster, Obligation obligation) {
         for (int rack = 0; rack < 3; ++rack) {
           cluster->FillRack(rack, 0, 5, 1);
         }
         cluster->now += Milliseconds(1000);
         cluster->Owe(obligation, MakeStep(1, 1));
         cluster->OwedTask()->crashes.losses = {{"gone", std::nullopt, true}};
         cluster->OwedTask()->crashes.start_crashes = 1;
       }},
      {Preference::kTrustedWorkers,
       {kHolds, kHolds, kHolds},
       kOff,
       [](OwedCluster* cluster, Obligation obligation) {
         LabelDoubtful(cluster);
         cluster->DoubtLastWorkers(/*compared=*/false);
         StepSpec step = MakeStep(1, 1);
         step.required_label = "doubtful";
         cluster->Owe(obligation, step);
         cluster->OwedTask()->failures = 1;
       }},
      {Preference::kProbation,
       {kHolds, kHolds, kNever},
       kOff,
       [](OwedCluster* cluster, Obligation obligation) {
         LabelDoubtful(cluster);
         cluster->DoubtLastWorkers(/*compared=*/true);
         StepSpec gang = Gang(2, 1, false);
         gang.required_label = "doubtful";
         cluster->Owe(obligation, gang);
       }},
      {Preference::kGangDemand,
       {kHolds, kNever, kNever},
       kOff,
       [](OwedCluster* cluster, Obligation obligation) {
         cluster->FillRack(0, 0, 5);
         cluster->FillRack(1, 0, 4);
         cluster->ledger.Add(MakeJob(Id(1), {Gang(12, 8, false)}, 1),
                             cluster->now);
         cluster->ExpectUrgent();
         cluster->OweBesideOthers(obligation, MakeStep(1, 8));
       }},
      {Preference::kHeldCapacity,
       {kHolds, kNever, kNever},
       FeatureMode::kOn,
       [](OwedCluster* cluster, Obligation obligation) {
         for (int rack = 0; rack < 3; ++rack) {
           for (int i = 0; i < 4; ++i) {
             cluster->Fill("w" + std::to_string(rack) + "-" + std::to_string(i),
                           8, 1, Milliseconds(2000));
           }
         }
         cluster->ledger.Add(MakeJob(Id(1), {Gang(4, 8, false)}, 1),
                             cluster->now);
         cluster->OweBesideOthers(obligation, MakeStep(1, 8));
       }},
      {Preference::kUrgentHeadroom,
       {kHolds, kHolds, kNever},
       kOff,
       [](OwedCluster* cluster, Obligation obligation) {
         cluster->FillRack(0, 0, 5, 1);
         cluster->FillRack(1, 0, 5, 1);
         cluster->FillRack(2, 0, 2, 1);
         cluster->ExpectUrgent();
         cluster->Owe(obligation, MakeStep(1, 8));
       }},
      {Preference::kOneRack,
       {kHolds, kHolds, kHolds},
       kOff,
       [](OwedCluster* cluster, Obligation obligation) {
         cluster->FillRack(0, 0, 2);
         cluster->FillRack(1, 0, 2);
         cluster->FillRack(2, 0, 3);
         cluster->Owe(obligation, Gang(4, 8, true));
       }},
      {Preference::kDataRack,
       {kHolds, kHolds, kHolds},
       kOff,
       [](OwedCluster* cluster, Obligation obligation) {
         cluster->FillRack(0, 0, 5);
         cluster->FillRack(1, 0, 2);
         StepSpec step = MakeStep(1, 1);
         step.data_rack = "r0";
         cluster->Owe(obligation, step);
       }},
  };
}

// The start of the owed job in the plan, if there is one.
std::optional<StartDecision> OwedStartIn(const Plan& plan) {
  for (const StartDecision& start : plan.starts) {
    if (start.step.job == kOwedJob) return start;
  }
  return std::nullopt;
}

bool Names(const StartDecision& start, std::string_view text) {
  return start.reason.find(text) != std::string::npos;
}

// Guards against a preference that is added without a decision on what it may
// do to each kind of obligation.
TEST_CASE("every preference is listed with each kind of obligation") {
  std::set<Preference> listed;
  for (const Row& row : Rows()) {
    CHECK(listed.insert(row.preference).second);
  }
  for (const Preference preference : kAllPreferences) {
    CAPTURE(ToText(preference));
    CHECK(listed.count(preference) == 1);
    CHECK(PreferenceSet::All().Contains(preference));
    CHECK(ToText(preference) != "unknown");
  }
  CHECK(listed.size() == kAllPreferences.size());
}

// Guards against a preference that keeps a step from a start that is owed, with
// capacity for it twice over: a task that lasts and needs a whole worker stayed
// away beside the empty workers for urgent steps.
TEST_CASE("no preference holds back a start that is owed") {
  for (const Row& row : Rows()) {
    for (size_t kind = 0; kind < kAllObligations.size(); ++kind) {
      const Obligation obligation = kAllObligations[kind];
      const Effect effect = row.effects[kind];
      CAPTURE(ToText(row.preference));
      CAPTURE(ToText(obligation));
      OwedCluster cluster(row.held_capacity);
      row.prepare(&cluster, obligation);
      const std::optional<StartDecision> first = OwedStartIn(cluster.Round());
      CHECK(first.has_value() == (effect == Effect::kNeverHolds));
      if (effect == Effect::kNeverHolds) continue;
      cluster.now += kMaxPreferenceWait - Milliseconds(1);
      cluster.wall_now += kMaxPreferenceWait - Milliseconds(1);
      const std::optional<StartDecision> early = OwedStartIn(cluster.Round());
      // Guaranteed work leaves its rack a little earlier.
      if (effect == Effect::kEndsBefore) {
        CHECK(early.has_value());
      }
      if (early) {
        CHECK(!Names(*early, "owed to"));
        CHECK((effect == Effect::kEndsBefore ||
               obligation == Obligation::kGuaranteed));
        continue;
      }
      cluster.now += Milliseconds(1);
      cluster.wall_now += Milliseconds(1);
      const std::optional<StartDecision> owed = OwedStartIn(cluster.Round());
      CHECK(owed.has_value());
      if (!owed) continue;
      CHECK(Names(*owed, ToText(obligation)));
      CHECK(Names(*owed, ToText(row.preference)));
    }
  }
}

// Guards against obligations that take what urgent work needs, or more than is
// owed.
TEST_CASE("an owed start takes no more than is owed and leaves room") {
  struct Case {
    std::string name;
    Obligation obligation;
    StepSpec step;
    // Empty workers of 15; three are headroom.
    int empty;
    // Accelerators in use on each of the others.
    int used;
    size_t started;
  };
  const std::vector<Case> cases = {
      {"one task of an idle job", Obligation::kIdleJob, MakeStep(3, 8), 3, 1,
       1},
      {"an idle job in a busy cluster", Obligation::kIdleJob, MakeStep(3, 8), 3,
       6, 0},
      {"all tasks that last and are away", Obligation::kLastingTask,
       MakeStep(2, 8), 3, 1, 2},
      {"tasks that last, in a busy cluster", Obligation::kLastingTask,
       MakeStep(2, 8), 3, 6, 2},
      {"not the last room", Obligation::kLastingTask, MakeStep(5, 8), 3, 1, 2},
      {"not the only room", Obligation::kLastingTask, MakeStep(1, 8), 1, 1, 0},
      {"not the only room for a gang", Obligation::kLastingTask,
       Gang(2, 8, false), 3, 1, 0},
  };
  for (const Case& row : cases) {
    CAPTURE(row.name);
    OwedCluster cluster;
    for (int i = 0; i < 15 - row.empty; ++i) {
      cluster.FillRack(i / 5, i % 5, 1, row.used);
    }
    cluster.ExpectUrgent();
    cluster.Owe(row.obligation, row.step);
    CHECK(!OwedStartIn(cluster.Round()));
    cluster.now += kMaxPreferenceWait;
    const std::optional<StartDecision> start = OwedStartIn(cluster.Round());
    CHECK((start ? start->assignments.size() : 0) == row.started);
  }
}

// Guards against a service without accelerators that counts as full.
TEST_CASE("a job leaves a lost rack in a service without accelerators") {
  OwedCluster cluster;
  cluster.workers.clear();
  for (const char* id : {"w1-0", "w1-1"}) {
    cluster.workers.emplace(id, MakeTracker(MakeWorker(id, "r1", 0)));
  }
  StepSpec step = MakeStep(1, 0);
  step.data_rack = "r0";
  cluster.Owe(Obligation::kIdleJob, step);
  CHECK(!OwedStartIn(cluster.Round()));
  cluster.now += kMaxPreferenceWait;
  CHECK(OwedStartIn(cluster.Round()));
}

// Guards against a start that is counted as owed since an earlier wait, and
// against waits that are kept for ever.
TEST_CASE("a wait begins anew when a task has run in between") {
  OwedStarts owed;
  JobLedger ledger;
  StepSpec step = MakeStep(2, 1);
  step.long_running = true;
  ledger.Add(MakeJob(kOwedJob, {step}), At(0));
  const auto observe = [&](Time now) {
    const std::vector<ReadyStep> steps =
        CollectReadySteps(ledger, FromUnixMilliseconds(1000100));
    owed.Observe(steps, now);
    return steps.empty() ? std::nullopt : owed.Find(steps.front(), 0.9, now);
  };
  CHECK(!observe(At(0)));
  ledger.RecordStart({kOwedJob, 0, 0}, {{0, "w0-0"}});
  CHECK(!observe(At(1000)));
  ledger.RecordRunEnd({{kOwedJob, 0, 0}, 0}, 1, RunEnd::kFailed, "");
  // Task 1 has been away all the time, task 0 only since now.
  std::optional<OwedStart> start = observe(At(1600));
  REQUIRE(start.has_value());
  CHECK(start->tasks == std::vector<int>{1});
  CHECK(start->since == At(0));
  start = observe(At(3100));
  REQUIRE(start.has_value());
  CHECK(start->tasks == std::vector<int>{0, 1});
  ledger.RecordStart({kOwedJob, 0, 0}, {{0, "w0-0"}, {1, "w0-0"}});
  CHECK(!observe(At(3200)));
  ledger.RecordRunEnd({{kOwedJob, 0, 0}, 1}, 2, RunEnd::kFailed, "");
  CHECK(!observe(At(3300)));
}

}  // namespace
}  // namespace thornplank::testing
