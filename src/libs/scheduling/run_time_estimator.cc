#include "scheduling/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace thornplank {
namespace {

// Smallest weight of a new run time in the averages. The first samples have a
// larger weight: each is 1 / number of samples.
constexpr double kMinSampleWeight = 0.1;
constexpr double kMaxCorrectionFactor = 50;
// Expected run time if neither the job nor the history of its account gives
// one.
constexpr Duration kDefaultRunTime = std::chrono::seconds(600);
// The expected remaining run time of a job that overran, as a share of the time
// it has run.
constexpr double kOverrunShare = 0.25;
constexpr Duration kMinRemainingRunTime = std::chrono::milliseconds(100);
constexpr size_t kMaxCheckpoints = 16;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

RunTimeEstimator::RunTimeEstimator(Duration assumed_checkpoint_time)
    : assumed_checkpoint_time_(assumed_checkpoint_time) {}

void RunTimeEstimator::RecordRunTime(const std::string& account,
                                     Duration declared, Duration actual) {
  if (actual <= Duration::zero()) return;
  Account& known = accounts_[account];
  ++known.finished;
  const double weight = std::max(kMinSampleWeight, 1.0 / known.finished);
  known.mean_seconds += weight * (Seconds(actual) - known.mean_seconds);
  if (declared <= Duration::zero()) return;
  const double ratio =
      std::clamp(Seconds(actual) / Seconds(declared), 1 / kMaxCorrectionFactor,
                 kMaxCorrectionFactor);
  known.log_factor += weight * (std::log(ratio) - known.log_factor);
}

Duration RunTimeEstimator::ExpectedRunTime(const std::string& account,
                                           Duration declared) const {
  const Account* known = Find(account);
  if (declared <= Duration::zero()) {
    const bool has_mean = known && known->mean_seconds > 0;
    return has_mean ? FromSeconds(known->mean_seconds) : kDefaultRunTime;
  }
  return FromSeconds(Seconds(declared) * correction_factor(account));
}

Duration RunTimeEstimator::RemainingRunTime(const std::string& account,
                                            Duration declared,
                                            Duration ran_for) const {
  const Duration expected = ExpectedRunTime(account, declared);
  const Duration overrun = FromSeconds(Seconds(ran_for) * kOverrunShare);
  return std::max(
      {expected - ran_for, std::min(overrun, expected), kMinRemainingRunTime});
}

double RunTimeEstimator::correction_factor(const std::string& account) const {
  const Account* known = Find(account);
  return known ? std::exp(known->log_factor) : 1.0;
}

void RunTimeEstimator::RecordCheckpoint(const std::string& account,
                                        Duration took) {
  AddCheckpoint(account, {took, false});
}

void RunTimeEstimator::RecordHungCheckpoint(const std::string& account) {
  AddCheckpoint(account, {Duration::zero(), true});
}

Duration RunTimeEstimator::CheckpointTime(const std::string& account) const {
  const Account* known = Find(account);
  Duration longest = Duration::zero();
  bool measured = false;
  for (const Checkpoint& checkpoint :
       known ? known->checkpoints : std::deque<Checkpoint>()) {
    if (checkpoint.hung) continue;
    longest = std::max(longest, checkpoint.took);
    measured = true;
  }
  return measured ? longest : assumed_checkpoint_time_;
}

double RunTimeEstimator::HungCheckpointShare(const std::string& account) const {
  const Account* known = Find(account);
  if (!known || known->checkpoints.empty()) return 0;
  const auto hung =
      std::count_if(known->checkpoints.begin(), known->checkpoints.end(),
                    [](const Checkpoint& one) { return one.hung; });
  return static_cast<double>(hung) /
         static_cast<double>(known->checkpoints.size());
}

const RunTimeEstimator::Account* RunTimeEstimator::Find(
    const std::string& account) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? nullptr : &found->second;
}

void RunTimeEstimator::AddCheckpoint(const std::string& account,
                                     Checkpoint checkpoint) {
  std::deque<Checkpoint>& kept = accounts_[account].checkpoints;
  kept.push_back(checkpoint);
  if (kept.size() > kMaxCheckpoints) kept.pop_front();
}

}  // namespace thornplank
