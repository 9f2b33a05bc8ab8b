// Chooses the tasks that test workers on probation.
//
// Such a worker is withheld from normal placement, so its test is chosen before
// all other tasks are placed: whatever capacity is held back for others cannot
// be used there anyway.
#ifndef THORNPLANK_WORKLOAD_PROBATION_TESTS_H_
#define THORNPLANK_WORKLOAD_PROBATION_TESTS_H_

#include <vector>

#include "workload/cluster_capacity.h"
#include "workload/job_ledger.h"
#include "workload/ready_step.h"

namespace thornplank {

struct ProbationTest {
  // Index of its step.
  size_t step = 0;
  JobLedger::Assignment assignment;
};

// Takes one task for each withheld worker that has none under test out of the
// waiting tasks of `steps`: checkpointable ones first, which lose least if the
// worker is at fault. A task that has failed before is never chosen, since
// another failure may end its job.
std::vector<ProbationTest> TakeProbationTests(const ClusterCapacity& capacity,
                                              std::vector<ReadyStep>* steps);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PROBATION_TESTS_H_
