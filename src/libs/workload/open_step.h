// Steps with tasks whose turn has come, in the order in which they are placed.
#ifndef THORNPLANK_WORKLOAD_OPEN_STEP_H_
#define THORNPLANK_WORKLOAD_OPEN_STEP_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_ledger.h"

namespace thornplank {

struct OpenStep {
  const Job* job = nullptr;
  StepRef ref;
  const StepSpec* spec = nullptr;
  // So late that its end earns nothing any more: it keeps no room from others.
  bool worthless = false;
  // Another failure may end the job.
  bool failed_before = false;
  // Workers were lost under one of its waiting tasks.
  bool on_probation = false;
  // Indices of its tasks that wait; for a gang all of them.
  std::vector<int> waiting;

  int priority() const { return job->spec.policy.priority; }
  bool urgent() const { return priority() == 0; }
  // Something of its job runs already.
  bool job_runs() const;
  const std::string& service() const { return job->spec.policy.service; }
};

// By priority, then the older ones first. The pointers are those of the ledger.
std::vector<OpenStep> CollectOpenSteps(const JobLedger& ledger, WallTime now);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_OPEN_STEP_H_
