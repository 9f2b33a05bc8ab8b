// Estimates run times and checkpoint times from the history of each account.
// Declared run times are corrected by the ratio of actual to declared run
// times.
#ifndef THORNPLANK_SCHEDULING_RUN_TIME_ESTIMATOR_H_
#define THORNPLANK_SCHEDULING_RUN_TIME_ESTIMATOR_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace thornplank {

class RunTimeEstimator {
 public:
  // `assumed_checkpoint_time` is used for an account until a checkpoint has
  // been measured.
  explicit RunTimeEstimator(Duration assumed_checkpoint_time);

  // A job with the declared run time `declared` (zero: unknown) ran for
  // `actual` in total.
  void RecordRunTime(const std::string& account, Duration declared,
                     Duration actual);
  // Expected total run time of a job with the declared run time `declared`
  // (zero: unknown).
  Duration ExpectedRunTime(const std::string& account, Duration declared) const;
  // Expected remaining run time after `ran_for`. Grows with `ran_for` once the
  // job overruns its expected run time.
  Duration RemainingRunTime(const std::string& account, Duration declared,
                            Duration ran_for) const;
  // Ratio of expected to declared run time; 1 without history.
  double correction_factor(const std::string& account) const;

  void RecordCheckpoint(const std::string& account, Duration took);
  void RecordHungCheckpoint(const std::string& account);
  // The longest of the account's recent checkpoints that completed in time.
  Duration CheckpointTime(const std::string& account) const;
  // Share of the account's recent checkpoints that did not complete in time,
  // from 0 to 1.
  double HungCheckpointShare(const std::string& account) const;

 private:
  struct Checkpoint {
    Duration took;
    bool hung;
  };
  struct Account {
    // Moving average of ln(actual / declared).
    double log_factor = 0;
    // Number of recorded run times.
    int finished = 0;
    // Moving average of the run time in seconds, for jobs that declare none.
    double mean_seconds = 0;
    // The most recent checkpoints, at most kMaxCheckpoints, newest last.
    std::deque<Checkpoint> checkpoints;
  };

  const Account* Find(const std::string& account) const;
  void AddCheckpoint(const std::string& account, Checkpoint checkpoint);

  const Duration assumed_checkpoint_time_;
  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_RUN_TIME_ESTIMATOR_H_
