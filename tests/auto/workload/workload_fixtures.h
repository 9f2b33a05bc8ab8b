// Helpers that create jobs and workers for the tests of this folder.
#ifndef THORNPLANK_TESTS_AUTO_WORKLOAD_WORKLOAD_FIXTURES_H_
#define THORNPLANK_TESTS_AUTO_WORKLOAD_WORKLOAD_FIXTURES_H_

#include <string>
#include <utility>
#include <vector>

#include "workload/job_definition.h"
#include "workload/worker_tracker.h"

namespace thornplank::testing {

inline StepSpec MakeStep(int count, int accelerators,
                         std::vector<int> depends_on = {}) {
  StepSpec step;
  step.count = count;
  step.need = {1000, 1000, accelerators};
  step.estimate = Milliseconds(1000);
  step.depends_on = std::move(depends_on);
  return step;
}

inline JobDefinition MakeJob(const std::string& id, std::vector<StepSpec> steps,
                             int priority = 1,
                             const std::string& account = "north") {
  JobDefinition job;
  job.id = id;
  job.account = account;
  job.steps = std::move(steps);
  job.policy.queue = "queue";
  job.policy.service = "claims";
  job.policy.priority = priority;
  job.policy.max_attempts = 2;
  job.policy.stretch = 3;
  job.accepted = FromUnixMilliseconds(1000000);
  return job;
}

inline WorkerRegistration MakeWorker(const std::string& id,
                                     const std::string& rack,
                                     int accelerators = 8) {
  WorkerRegistration worker;
  worker.id = id;
  worker.address = "127.0.0.1:1";
  worker.service = "claims";
  worker.rack = rack;
  worker.labels = {"a", rack};
  worker.capacity = {64000, 256000, accelerators};
  return worker;
}

inline Time At(int64_t milliseconds) {
  return Time{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

// The tracker of a worker that has sent its first report.
inline WorkerTracker MakeTracker(const WorkerRegistration& registration) {
  WorkerTracker tracker(registration);
  std::vector<RunReport> unexpected;
  tracker.OnReport(WorkerStatusReport(), At(0), At(0), &unexpected);
  return tracker;
}

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_WORKLOAD_WORKLOAD_FIXTURES_H_
