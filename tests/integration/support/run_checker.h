// Checks the promises on tasks against what executors have seen.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_CHECKER_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_CHECKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "hosted_cluster.h"

namespace thornplank {

// What a caller was told of one job.
struct JobAccount {
  TestJob job;
  bool accepted = false;
  // Every answer to its submission said that it was not accepted.
  bool refused = false;
  // On the executors' clock; -1 when it was not cancelled.
  int64_t cancelled_ms = -1;
  std::string final_state;
};

// Sentences on what was broken; empty when all holds: no task runs twice at a
// time or again once it was done and recorded, none before the steps that it
// depends on, none after its job's cancellation, none of a refused job, none
// three times more after three executors have crashed under it, and a completed
// job has all tasks done.
std::vector<std::string> CheckRuns(
    const std::vector<Json>& runs,
    const std::map<std::string, JobAccount>& jobs);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_CHECKER_H_
