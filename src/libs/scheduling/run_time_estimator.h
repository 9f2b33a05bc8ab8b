// Learns, per account, how far declared run times are from the truth, and how
// long checkpoints take.
#ifndef THORNPLANK_SCHEDULING_RUN_TIME_ESTIMATOR_H_
#define THORNPLANK_SCHEDULING_RUN_TIME_ESTIMATOR_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace thornplank {

class RunTimeEstimator {
 public:
  // `assumed_checkpoint_time` holds for an account until one was measured.
  explicit RunTimeEstimator(Duration assumed_checkpoint_time);

  // A job that was declared to run for `declared` ran for `actual` in all.
  void RecordRunTime(const std::string& account, Duration declared,
                     Duration actual);
  // Expected run time in all of a job declared as `declared` (zero: unknown).
  Duration ExpectedRunTime(const std::string& account, Duration declared) const;
  // Expected time left after `ran_for`; grows with a job that overruns.
  Duration RemainingRunTime(const std::string& account, Duration declared,
                            Duration ran_for) const;
  // Expected over declared run time; 1 before anything is known.
  double correction_factor(const std::string& account) const;

  void RecordCheckpoint(const std::string& account, Duration took);
  void RecordHungCheckpoint(const std::string& account);
  // Longest of the latest checkpoints of the account.
  Duration CheckpointTime(const std::string& account) const;
  // Share of the latest checkpoints that were not done in time, 0 to 1.
  double HungCheckpointShare(const std::string& account) const;

 private:
  struct Checkpoint {
    Duration took;
    bool hung;
  };
  struct Account {
    // Mean of ln(actual / declared), the latest counting most.
    double log_factor = 0;
    int finished = 0;
    // Mean run time in seconds, for jobs that declare none.
    double mean_seconds = 0;
    // The latest last, at most kMaxCheckpoints.
    std::deque<Checkpoint> checkpoints;
  };

  const Account* Find(const std::string& account) const;
  void AddCheckpoint(const std::string& account, Checkpoint checkpoint);

  const Duration assumed_checkpoint_time_;
  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_RUN_TIME_ESTIMATOR_H_
