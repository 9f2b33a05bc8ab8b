// Submits jobs to a test cluster and checks how the workers ran them.
//
// The checks use only the lease histories of the worker stand-ins. All
// stand-ins run in one process, so their timestamps can be compared.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_JOB_OBSERVER_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_JOB_OBSERVER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "test_cluster.h"

namespace thornplank {

// One line of a worker's lease history.
struct LeaseEvent {
  int worker = 0;
  int64_t time_ms = 0;
  std::string lease_id;
  std::string gang_id;
  std::string job_id;
  // The `what` of the history, such as "granted" or "started"; see
  // tests/standins/README.md.
  std::string type;
};

class JobObserver {
 public:
  // `cluster` must outlive the observer.
  JobObserver(TestCluster* cluster, const TestClusterSettings& settings);

  // The body of a submission whose task runs for `run`.
  static Json MakeJob(const std::string& account, int members, int accelerators,
                      Milliseconds run);
  // The job's id; empty if it was not accepted.
  std::string Submit(int entry, const Json& job);
  // Submits `job` `count` times.
  std::vector<std::string> SubmitMany(int entry, const Json& job, int count);
  Json Job(const std::string& id);
  std::string Phase(const std::string& id);
  bool AwaitPhase(const std::string& id, const std::string& phase,
                  Duration limit = std::chrono::seconds(40));
  bool AwaitPhases(const std::vector<std::string>& ids,
                   const std::string& phase,
                   Duration limit = std::chrono::seconds(40));
  // Reads job states from other entries only, for example while this entry is
  // suspended.
  void ExcludeEntry(int entry) { excluded_entry_ = entry; }
  // Waits until an entry other than `former` reports that it is the coordinator
  // and returns it; -1 on time-out. With `former` -1 any entry will do.
  int AwaitCoordinator(int former);

  // The events of all workers, ordered by time.
  std::vector<LeaseEvent> History();
  int Count(const std::string& job, const std::string& type);
  // Workers that granted a lease to the job, without duplicates.
  std::vector<int> WorkersOf(const std::string& job);
  // The newest epoch that the worker has accepted.
  int64_t NewestEpoch(int worker);

  // Checks the history for three violations: a gang started before all of its
  // members were granted; two gangs of one job ran at the same time; a member
  // kept running for more than `bound` after another one of its gang was lost.
  // Returns one line for each, or an empty string.
  std::string CheckGangs(Milliseconds bound);

 private:
  // The first running entry that is not excluded.
  int AnyEntry();

  TestCluster* const cluster_;
  const TestClusterSettings settings_;
  int excluded_entry_ = -1;
  // Number of members of each submitted job, by id.
  std::map<std::string, int> members_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_JOB_OBSERVER_H_
