// Processor time of one planning round, by number of workers and of waiting
// steps.
//
// A third of the workers is full, the others have room for small tasks. The
// waiting steps are gangs that find no rack with room for all of their members,
// so that no round changes the cluster.
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
constexpr int kRounds = 20;

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

void Measure(int workers, int waiting_steps) {
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
  const Guarantees guarantees;
  PlanInputs inputs;
  inputs.ledger = &ledger;
  inputs.workers = &trackers;
  inputs.guarantees = &guarantees;
  inputs.now = testing::At(100);
  inputs.wall_now = FromUnixMilliseconds(1000100);
  const double begin = ProcessorMilliseconds();
  for (int round = 0; round < kRounds; ++round) {
    planner.Decide(inputs);
  }
  const double each = (ProcessorMilliseconds() - begin) / kRounds;
  std::printf("%8d %8d %10.3f\n", workers, waiting_steps, each);
}

}  // namespace
}  // namespace thornplank

int main() {
  std::printf("%8s %8s %10s\n", "workers", "waiting", "ms");
  for (const int workers : {100, 350, 1000, 6000, 12000}) {
    for (const int waiting : {0, 1, 10, 50}) {
      thornplank::Measure(workers, waiting);
    }
  }
  return 0;
}
