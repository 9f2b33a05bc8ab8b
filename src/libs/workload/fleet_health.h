// What the whole fleet shows about failed runs: which jobs fail everywhere, and
// how often runs fail on healthy workers (base rate).
//
// A failed run is evidence against its worker only if the job is not the cause,
// and the more runs fail by chance, the less a single failure shows. A stalled
// run counts as a failed one. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_FLEET_HEALTH_H_
#define THORNPLANK_WORKLOAD_FLEET_HEALTH_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "workload/decaying_count.h"

namespace thornplank {

class FleetHealth {
 public:
  FleetHealth();

  void OnRunPlaced(const std::string& job, const std::string& worker, Time now);
  void OnRunDone(const std::string& job, const std::string& worker, Time now);
  // The run ended for a reason that shows nothing about its worker or its job.
  void OnRunInterrupted(const std::string& job, const std::string& worker);
  // Returns the workers that must no longer be blamed for failures of the job:
  // none if the worker may be the cause.
  std::vector<std::string> OnRunFailed(const std::string& job,
                                       const std::string& worker, Time now);
  // A failure turned out not to be due to its worker, which has completed a
  // later run.
  void OnChanceFailure(Time now);

  // Share of the runs that fail on healthy workers.
  double base_rate(Time now) const;
  // The number of failures of distinct jobs in a row, without a success in
  // between, that a healthy worker is not expected to have; at least 2.
  int FailuresToExclude(Time now) const;

  // Drops jobs that have not been seen for long.
  void DropStale(Time now);

 private:
  enum class Outcome { kOpen, kDone, kFailed };
  struct Job {
    // By worker. A worker that has completed a run of the job stays kDone.
    std::unordered_map<std::string, Outcome> outcomes;
    int failed_workers = 0;
    // The job was found to be the cause of its failures.
    bool is_cause = false;
    Time last_seen{};
  };

  // Whether the job fails wherever it runs, as far as that is known.
  static bool FailsEverywhere(const Job& job);

  std::unordered_map<std::string, Job> jobs_;
  DecayingCount done_;
  DecayingCount chance_failures_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_FLEET_HEALTH_H_
