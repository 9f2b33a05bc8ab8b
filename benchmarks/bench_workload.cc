// Processor time of one planning round, by number of workers and of waiting
// steps.
//
// A third of the workers is full, the others have room for small tasks. The
// waiting steps are gangs that find no rack with room for all of their members,
// so that no round changes the cluster. With a guarantee, held capacity is
// active.
#include <ctime>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "../tests/auto/workload/workload_fixtures.h"
#include "workload/planner.h"

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
// Between two rounds.
constexpr Milliseconds kRoundInterval{50};

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

void Measure(int workers, int waiting_steps, bool guaranteed) {
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
    profile.priority = 1;
    profile.estimate = kEstimates[i % 4];
    for (int t = 0; t < kTasksPerWorker; ++t) {
      tracker.Add({{JobId(i), 0, 0}, t}, 1, profile, testing::At(0));
    }
  }
  for (int i = 0; i < waiting_steps; ++i) {
    StepSpec step = testing::MakeStep(kWorkersPerRack, 4);
    step.gang = true;
    step.same_rack = true;
    ledger.Add(testing::MakeJob(JobId(1 << 30 | i), {step}, 1 + i % 2),
               testing::At(0));
  }
  Planner planner((PlannerSettings()));
  Guarantees guarantees;
  if (guaranteed) guarantees["north"] = 16;
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

}  // namespace
}  // namespace thornplank

int main() {
  std::printf("%8s %8s %10s %10s\n", "workers", "waiting", "guarantee", "ms");
  for (const int workers : {100, 350, 1000, 6000, 12000}) {
    for (const int waiting : {0, 1, 10, 50}) {
      thornplank::Measure(workers, waiting, /*guaranteed=*/false);
      thornplank::Measure(workers, waiting, /*guaranteed=*/true);
    }
  }
  return 0;
}
