// A hosted cluster, the jobs that were handed to it, and the promises that they
// must have been kept to in the end.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_SCENARIO_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_SCENARIO_H_

#include <map>
#include <string>
#include <vector>

#include "hosted_cluster.h"
#include "run_checker.h"

namespace thornplank {

// The id of the test's job with that number.
std::string JobId(int number);

// A step of that many tasks, each with as many accelerators.
TestStep Step(int count, int accelerators, std::vector<int> depends_on = {});

class HostedScenario {
 public:
  explicit HostedScenario(
      HostedClusterSettings settings = HostedClusterSettings());

  HostedCluster& cluster() { return cluster_; }

  // Submits at any entry that takes it.
  TestJob Submit(int number, std::vector<TestStep> steps, int work_ms,
                 int priority = 1);
  void Submit(const TestJob& job);
  void Cancel(const TestJob& job);

  // Waits until every job has ended, and checks every promise.
  void Finish();

 private:
  int NextEntry() { return next_++ % cluster_.settings().entries; }

  HostedCluster cluster_;
  std::map<std::string, JobAccount> jobs_;
  int next_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_SCENARIO_H_
