// A hosted cluster and the jobs submitted to it, with a final check of the
// invariants in run_checker.h.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_SCENARIO_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_SCENARIO_H_

#include <map>
#include <string>
#include <vector>

#include "hosted_cluster.h"
#include "run_checker.h"

namespace thornplank {

// The id of the job with this number.
std::string JobId(int number);

// A step of `count` tasks with `accelerators` each.
TestStep Step(int count, int accelerators, std::vector<int> depends_on = {});

class HostedScenario {
 public:
  explicit HostedScenario(
      HostedClusterSettings settings = HostedClusterSettings());

  HostedCluster& cluster() { return cluster_; }

  // Repeats the call at the entries in turn until one accepts it.
  TestJob Submit(int number, std::vector<TestStep> steps, int work_ms,
                 int priority = 1);
  void Submit(const TestJob& job);
  void Cancel(const TestJob& job);

  // Waits until every job has ended, and checks the final states and the
  // executors' records.
  void AwaitAndCheckJobs();

 private:
  int NextEntry() { return next_++ % cluster_.settings().entries; }

  HostedCluster cluster_;
  std::map<std::string, SubmittedJob> jobs_;
  int next_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_SCENARIO_H_
