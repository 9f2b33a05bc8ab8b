// Compares the failures of a job, and of healthy workers, across the fleet.
#include "workload/fleet_health.h"

#include <cmath>

namespace thornplank {
namespace {

// A job that has failed on fewer workers is not taken for the cause.
constexpr int kCauseWorkers = 3;
constexpr std::chrono::seconds kJobLifetime{60};
// Longer than that of the evidence on one worker: the base rate changes with
// the kinds of jobs, not with the state of a worker.
constexpr std::chrono::seconds kBaseRateHalfLife{60};
// Assumed until runs have ended: between 0.5% and 5% of the runs fail on
// healthy workers. Counts like this many observed runs.
constexpr double kAssumedBaseRate = 0.02;
constexpr double kAssumedRuns = 100;
// A healthy worker may be excluded by chance about once in this many sequences
// of runs: two failures in a row at a base rate of 5%.
constexpr double kMaxChanceOfExclusion = 0.003;
constexpr int kMinFailuresToExclude = 2;
constexpr int kMaxFailuresToExclude = 4;

}  // namespace

FleetHealth::FleetHealth()
    : done_(kBaseRateHalfLife), chance_failures_(kBaseRateHalfLife) {}

void FleetHealth::OnRunPlaced(const std::string& job, const std::string& worker,
                              Time now) {
  Job& known = jobs_[job];
  known.last_seen = now;
  known.outcomes.emplace(worker, Outcome::kOpen);
}

void FleetHealth::OnRunDone(const std::string& job, const std::string& worker,
                            Time now) {
  done_.Add(1, now);
  Job& known = jobs_[job];
  known.last_seen = now;
  const auto [outcome, is_new] = known.outcomes.emplace(worker, Outcome::kDone);
  if (outcome->second == Outcome::kFailed) --known.failed_workers;
  outcome->second = Outcome::kDone;
  known.is_cause = known.is_cause && FailsEverywhere(known);
}

void FleetHealth::OnRunInterrupted(const std::string& job,
                                   const std::string& worker) {
  const auto known = jobs_.find(job);
  if (known == jobs_.end()) return;
  auto& outcomes = known->second.outcomes;
  const auto outcome = outcomes.find(worker);
  if (outcome == outcomes.end() || outcome->second != Outcome::kOpen) return;
  outcomes.erase(outcome);
}

std::vector<std::string> FleetHealth::OnRunFailed(const std::string& job,
                                                  const std::string& worker,
                                                  Time now) {
  Job& known = jobs_[job];
  known.last_seen = now;
  const auto [outcome, is_new] =
      known.outcomes.emplace(worker, Outcome::kFailed);
  if (is_new || outcome->second == Outcome::kOpen) {
    outcome->second = Outcome::kFailed;
    ++known.failed_workers;
  }
  const bool was_cause = known.is_cause;
  known.is_cause = FailsEverywhere(known);
  if (!known.is_cause) return {};
  if (was_cause) return {worker};
  std::vector<std::string> blamed;
  for (const auto& [id, result] : known.outcomes) {
    if (result == Outcome::kFailed) blamed.push_back(id);
  }
  return blamed;
}

// Runs that go on count as runs that may succeed: a job of many tasks meets
// every faulty worker of the fleet, and fails there before its other tasks are
// done.
bool FleetHealth::FailsEverywhere(const Job& job) {
  const auto workers = static_cast<int>(job.outcomes.size());
  return job.failed_workers >= kCauseWorkers &&
         job.failed_workers * 2 >= workers;
}

void FleetHealth::OnChanceFailure(Time now) { chance_failures_.Add(1, now); }

double FleetHealth::base_rate(Time now) const {
  const double failed =
      chance_failures_.At(now) + kAssumedBaseRate * kAssumedRuns;
  const double done = done_.At(now) + (1 - kAssumedBaseRate) * kAssumedRuns;
  return failed / (failed + done);
}

int FleetHealth::FailuresToExclude(Time now) const {
  const double rate = base_rate(now);
  int failures = kMinFailuresToExclude;
  while (failures < kMaxFailuresToExclude &&
         std::pow(rate, failures) > kMaxChanceOfExclusion) {
    ++failures;
  }
  return failures;
}

void FleetHealth::DropStale(Time now) {
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    const auto job = it++;
    if (now - job->second.last_seen > kJobLifetime) jobs_.erase(job);
  }
}

}  // namespace thornplank
