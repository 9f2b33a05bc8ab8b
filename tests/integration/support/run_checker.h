// Checks the invariants of tasks against the executors' records.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_CHECKER_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_CHECKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "hosted_cluster.h"

namespace thornplank {

// The results that a caller got for one job.
struct SubmittedJob {
  TestJob job;
  bool accepted = false;
  // Every answer to the submission said that the job was not accepted.
  bool refused = false;
  // On the executors' clock; -1 if the job was not cancelled.
  int64_t cancelled_ms = -1;
  std::string final_state;
};

// Returns one line for each violation of these invariants:
// - no two runs of a task overlap, and none follows a run that was done and
//   recorded;
// - no task runs before the steps that its step depends on are done;
// - no task of a refused job runs, and none after the job's cancellation;
// - no task is started three more times after it crashed three executors;
// - all tasks of a completed job are done, and an accepted job stays known.
std::vector<std::string> CheckRuns(
    const std::vector<Json>& runs,
    const std::map<std::string, SubmittedJob>& jobs);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_CHECKER_H_
