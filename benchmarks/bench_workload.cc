// Processor time of one planning round, by number of workers and of waiting
// steps.
//
// A third of the workers is full, the others have room for small tasks. The
// waiting steps are gangs that find no rack with room for all of their members,
// so that no round changes the cluster. With a guarantee, held capacity is
// active. The same with urgent gangs, none of which may take from others: with
// guarantees, room is kept for each of them (GuaranteeHolds).
//
// Then the target size with all running tasks in the ledger: rounds without and
// with guarantees, the part of them that counts what urgent jobs need, the cost
// of finding the tasks of workers that are alive again, and the check for
// starts that are overdue (OverdueStarts), once a second.
#include <ctime>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "../tests/auto/workload/workload_fixtures.h"
#include "workload/overdue_starts.h"
#include "workload/planner.h"
#include "workload/urgent_balance.h"

namespace thornplank {
namespace {

constexpr int kWorkersPerRack = 20;
constexpr int kTasksPerWorker = 4;
// Two seconds, within which each gang that holds capacity looks for better
// workers once.
constexpr int kRounds = 40;
// Some runs end within the horizon of a hold, others do not.
constexpr Milliseconds kEstimates[] = {Milliseconds(1000), Milliseconds(2500),
                                       Milliseconds(7000), Milliseconds(9000)};
constexpr int kWorkerAccelerators = 8;
// Gangs that fit into the guarantee of an account.
constexpr int kGuaranteedGangs = 2;
// The account of the runs beside which urgent gangs wait; it is within its
// guarantee.
constexpr char kHolder[] = "holder";
// Between two rounds.
constexpr Milliseconds kRoundInterval{50};

// Between two checks for overdue starts.
constexpr std::chrono::seconds kReviewInterval{1};

// The target size.
constexpr int kTargetWorkers = 1100;
constexpr int kTargetTasksPerWorker = 10;
constexpr int kTargetAccounts = 27;
constexpr int64_t kTargetGuarantee = 16;
// One job of so many is urgent.
constexpr int kJobsPerUrgent = 4;

double ProcessorMilliseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", number);
  return id;
}

// The gangs that wait in Measure.
enum class Waiting { kOrdinary, kUrgent };

std::string AccountName(int job) {
  return "account-" + std::to_string(job % kTargetAccounts);
}

void Measure(int workers, int waiting_steps, bool guaranteed, Waiting waiting) {
  const bool urgent = waiting == Waiting::kUrgent;
  std::map<std::string, WorkerTracker> trackers;
  JobLedger ledger;
  for (int i = 0; i < workers; ++i) {
    const std::string id = "i-" + JobId(i * 7919).substr(8);
    const auto registration =
        testing::MakeWorker(id, "rack-" + std::to_string(i / kWorkersPerRack));
    auto& tracker =
        trackers.emplace(id, testing::MakeTracker(registration)).first->second;
    RunProfile profile;
    profile.need = {1000, 1000, i % 3 == 0 ? 2 : 1};
    profile.priority = urgent ? 0 : 1;
    profile.account = urgent ? kHolder : "";
    profile.estimate = kEstimates[i % 4];
    for (int t = 0; t < kTasksPerWorker; ++t) {
      tracker.Add({{JobId(i), 0, 0}, t}, 1, profile, testing::At(0));
    }
  }
  for (int i = 0; i < waiting_steps; ++i) {
    StepSpec step = testing::MakeStep(kWorkersPerRack, 4);
    step.gang = true;
    step.same_rack = true;
    ledger.Add(
        testing::MakeJob(JobId(1 << 30 | i), {step}, urgent ? 0 : 1 + i % 2,
                         urgent ? AccountName(i) : "north"),
        testing::At(0));
  }
  Planner planner((PlannerSettings()));
  Guarantees guarantees;
  if (guaranteed) guarantees["north"] = 16;
  if (urgent) guarantees[kHolder] = workers * kWorkerAccelerators;
  for (int i = 0; urgent && guaranteed && i < kTargetAccounts; ++i) {
    guarantees[AccountName(i)] = kGuaranteedGangs * kWorkersPerRack * 4;
  }
  PlanInputs inputs;
  inputs.ledger = &ledger;
  inputs.workers = &trackers;
  inputs.guarantees = &guarantees;
  inputs.now = testing::At(100);
  inputs.wall_now = FromUnixMilliseconds(1000100);
  const double begin = ProcessorMilliseconds();
  for (int round = 0; round < kRounds; ++round) {
    planner.Decide(inputs);
    inputs.now += kRoundInterval;
  }
  const double each = (ProcessorMilliseconds() - begin) / kRounds;
  std::printf("%8d %8d %10s %10.3f\n", workers, waiting_steps,
              guaranteed ? "yes" : "no", each);
}

// The target size: workers, and a ledger that contains the jobs of all runs.
struct TargetCluster {
  std::map<std::string, WorkerTracker> workers;
  JobLedger ledger;
};

// The tasks of each job are on consecutive workers.
void FillTarget(int tasks_per_job, int waiting_steps, TargetCluster* cluster) {
  std::vector<std::string> ids;
  for (int i = 0; i < kTargetWorkers; ++i) {
    ids.push_back("i-" + JobId(i * 7919).substr(8));
    const std::string rack = "rack-" + std::to_string(i / kWorkersPerRack);
    cluster->workers.emplace(
        ids.back(),
        testing::MakeTracker(testing::MakeWorker(ids.back(), rack)));
  }
  const int tasks = kTargetWorkers * kTargetTasksPerWorker;
  for (int job = 0; job * tasks_per_job < tasks; ++job) {
    // One accelerator in eight tasks, so that there is room for small ones.
    const StepSpec step =
        testing::MakeStep(tasks_per_job, job % 8 == 0 ? 1 : 0);
    const int priority = job % kJobsPerUrgent == 0 ? 0 : 1;
    const JobDefinition definition =
        testing::MakeJob(JobId(job), {step}, priority, AccountName(job));
    cluster->ledger.Add(definition, testing::At(0));
    std::vector<JobLedger::Assignment> assignments;
    RunProfile profile;
    profile.need = step.need;
    profile.priority = priority;
    profile.account = definition.account;
    profile.estimate = kEstimates[job % 4];
    for (int t = 0; t < tasks_per_job; ++t) {
      const int number = job * tasks_per_job + t;
      const std::string& worker =
          ids[static_cast<size_t>(number % kTargetWorkers)];
      assignments.push_back({t, worker});
      cluster->workers.at(worker).Add({{definition.id, 0, 0}, t}, 1, profile,
                                      testing::At(0));
    }
    cluster->ledger.RecordStart({definition.id, 0, 0}, assignments);
  }
  for (int i = 0; i < waiting_steps; ++i) {
    StepSpec step = testing::MakeStep(kWorkersPerRack, 8);
    step.gang = true;
    step.same_rack = true;
    cluster->ledger.Add(testing::MakeJob(JobId(1 << 30 | i), {step}, 1 + i % 2),
                        testing::At(0));
  }
}

// Processor time of one call of `function`, over kRounds calls.
template <typename Function>
double MeanMilliseconds(const Function& function) {
  const double begin = ProcessorMilliseconds();
  for (int round = 0; round < kRounds; ++round) {
    function();
  }
  return (ProcessorMilliseconds() - begin) / kRounds;
}

double MeasureRounds(const TargetCluster& cluster,
                     const Guarantees& guarantees) {
  Planner planner((PlannerSettings()));
  PlanInputs inputs;
  inputs.ledger = &cluster.ledger;
  inputs.workers = &cluster.workers;
  inputs.guarantees = &guarantees;
  inputs.now = testing::At(100);
  inputs.wall_now = FromUnixMilliseconds(1000100);
  return MeanMilliseconds([&] {
    planner.Decide(inputs);
    inputs.now += kRoundInterval;
  });
}

// One check for overdue starts, after the plan of a round.
double MeasureOverdueStarts(const TargetCluster& cluster, int waiting_steps) {
  Plan plan;
  for (int i = 0; i < waiting_steps; ++i) {
    plan.waits.push_back({{JobId(1 << 30 | i), 0, 0}, WaitReason::kNoRoom, {}});
  }
  OverdueStarts starts;
  Time now = testing::At(0);
  return MeanMilliseconds([&] {
    now += kReviewInterval;
    starts.Observe(plan, now);
    starts.Review(cluster.ledger, cluster.workers, now, kReviewInterval);
  });
}

// Milliseconds to tell the ledger that every worker is alive.
double MeasureWorkersAlive(
    JobLedger* ledger, const std::map<std::string, WorkerTracker>& workers) {
  const double begin = ProcessorMilliseconds();
  for (const auto& [id, worker] : workers) {
    ledger->OnWorkerAlive(id, std::nullopt);
  }
  return ProcessorMilliseconds() - begin;
}

void LoseAllWorkers(TargetCluster* cluster) {
  for (const auto& [id, worker] : cluster->workers) {
    LostRun lost;
    lost.worker = id;
    lost.began = true;
    for (const auto& [task, run] : worker.runs()) {
      cluster->ledger.RecordRunEnd(task, run.run, RunEnd::kWorkerSilent, "",
                                   lost);
    }
  }
}

void MeasureTarget(int tasks_per_job, int waiting_steps) {
  TargetCluster cluster;
  FillTarget(tasks_per_job, waiting_steps, &cluster);
  Guarantees guarantees;
  for (int i = 0; i < kTargetAccounts; ++i) {
    guarantees[AccountName(i)] = kTargetGuarantee;
  }
  const double without = MeasureRounds(cluster, Guarantees());
  const double with = MeasureRounds(cluster, guarantees);
  const ClusterCapacity capacity(cluster.workers, nullptr, testing::At(100));
  const double needs = MeanMilliseconds(
      [&] { UrgentBalance(&capacity, &cluster.ledger, &guarantees); });
  const double overdue = MeasureOverdueStarts(cluster, waiting_steps);
  const double none_lost =
      MeasureWorkersAlive(&cluster.ledger, cluster.workers);
  LoseAllWorkers(&cluster);
  const double all_lost = MeasureWorkersAlive(&cluster.ledger, cluster.workers);
  std::printf("%8d %8d %10.3f %10.3f %10.3f %10.3f %10.3f %10.3f\n",
              tasks_per_job, waiting_steps, without, with, needs, overdue,
              none_lost, all_lost);
}

}  // namespace
}  // namespace thornplank

int main() {
  std::printf("%8s %8s %10s %10s\n", "workers", "waiting", "guarantee", "ms");
  for (const int workers : {100, 350, 1000, 6000, 12000}) {
    for (const int waiting : {0, 1, 10, 50}) {
      thornplank::Measure(workers, waiting, /*guaranteed=*/false,
                          thornplank::Waiting::kOrdinary);
      thornplank::Measure(workers, waiting, /*guaranteed=*/true,
                          thornplank::Waiting::kOrdinary);
    }
  }
  std::printf("\nurgent gangs\n%8s %8s %10s %10s\n", "workers", "waiting",
              "guarantee", "ms");
  for (const int workers : {350, 1100, 2200}) {
    for (const int waiting : {1, 10, 50}) {
      thornplank::Measure(workers, waiting, /*guaranteed=*/false,
                          thornplank::Waiting::kUrgent);
      thornplank::Measure(workers, waiting, /*guaranteed=*/true,
                          thornplank::Waiting::kUrgent);
    }
  }
  std::printf("\n%d workers, %d tasks, ms of processor time\n",
              thornplank::kTargetWorkers,
              thornplank::kTargetWorkers * thornplank::kTargetTasksPerWorker);
  std::printf("%8s %8s %10s %10s %10s %10s %10s %10s\n", "per job", "waiting",
              "round", "guaranteed", "needs", "overdue", "alive", "were lost");
  for (const int tasks_per_job : {1, 10, 100}) {
    for (const int waiting : {1, 10, 50}) {
      thornplank::MeasureTarget(tasks_per_job, waiting);
    }
  }
  return 0;
}
