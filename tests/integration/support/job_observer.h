// Submits jobs to a test cluster, and judges what the workers say they did.
//
// The verdicts are read from the lease histories of the worker stand-ins
// alone. All stand-ins are one process, so that their times compare.
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
  // "granted", "started", ... as in tests/standins/README.md.
  std::string type;
};

class JobObserver {
 public:
  // `cluster` must outlive it.
  JobObserver(TestCluster* cluster, const TestClusterSettings& settings);

  // The body of a job whose task takes `run`.
  static Json MakeJob(const std::string& account, int members, int accelerators,
                      Milliseconds run);
  // The job's id; empty when it was not accepted.
  std::string Submit(int entry, const Json& job);
  // Submits `count` jobs alike.
  std::vector<std::string> SubmitMany(int entry, const Json& job, int count);
  Json Job(const std::string& id);
  std::string Phase(const std::string& id);
  bool AwaitPhase(const std::string& id, const std::string& phase,
                  Duration limit = std::chrono::seconds(40));
  bool AwaitPhases(const std::vector<std::string>& ids,
                   const std::string& phase,
                   Duration limit = std::chrono::seconds(40));
  // Sends no more calls for jobs to this entry, which is paused.
  void Avoid(int entry) { avoided_ = entry; }
  // Waits for an entry other than `former` that says it is the coordinator;
  // -1 when there is none.
  int AwaitCoordinator(int former);

  // Of all workers, by time.
  std::vector<LeaseEvent> History();
  int Count(const std::string& job, const std::string& type);
  // Workers that granted something to the job, each once.
  std::vector<int> WorkersOf(const std::string& job);
  // Newest epoch that a worker has accepted.
  int64_t NewestEpoch(int worker);

  // A member started before all members of its gang were granted; two gangs of
  // one job ran at once; after a member ended early, another one of its gang
  // went on for longer than `bound`.
  // One line each; empty when nothing was found.
  std::string CheckGangs(Milliseconds bound);

 private:
  // The first entry that runs and is not avoided.
  int AnyEntry();

  TestCluster* const cluster_;
  const TestClusterSettings settings_;
  int avoided_ = -1;
  // Members of each job submitted here.
  std::map<std::string, int> members_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_JOB_OBSERVER_H_
