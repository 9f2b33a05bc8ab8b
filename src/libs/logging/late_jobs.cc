// Collects the delays of each job and finds the first significant one.
#include "logging/late_jobs.h"

#include <algorithm>

namespace thornplank {
namespace {

// A delay is significant if it lasts at least 1/10 of the job's objective.
constexpr int kSignificantDelayDivisor = 10;
constexpr char kGangBroken[] = "gang-broken";
constexpr char kRanLongerThanEstimated[] = "ran longer than estimated";

}  // namespace

void LateJobs::OnRefused(const std::string& job, const std::string& cause,
                         WallTime time) {
  Job& tracked = jobs_[job];
  if (tracked.first_submission) return;
  tracked.first_submission = time;
  tracked.refusal_cause = cause;
}

void LateJobs::OnAccepted(const std::string& job, const std::string& account,
                          const std::string& entry, Milliseconds objective,
                          WallTime time) {
  Job& tracked = jobs_[job];
  if (tracked.accepted) return;
  tracked.accepted = true;
  tracked.account = account;
  tracked.entry = entry;
  tracked.objective = objective;
  if (!tracked.first_submission) {
    tracked.first_submission = time;
    return;
  }
  tracked.delays.insert(
      tracked.delays.begin(),
      {"refused: " + tracked.refusal_cause, time - *tracked.first_submission});
}

void LateJobs::OnDelay(const std::string& job, const std::string& cause,
                       Duration length) {
  jobs_[job].delays.push_back({cause, length});
}

// The members of a gang end with the cause kGangBroken when another member
// ends; only the line of that member has the actual cause.
void LateJobs::OnRunLost(const std::string& job, const std::string& step,
                         int64_t run, const std::string& cause,
                         Duration lost_time) {
  Job& tracked = jobs_[job];
  const auto [lost_run, inserted] =
      tracked.lost_runs.try_emplace({step, run}, tracked.delays.size());
  if (inserted) {
    tracked.delays.push_back({cause, lost_time});
    return;
  }
  Delay& delay = tracked.delays[lost_run->second];
  delay.length = std::max(delay.length, lost_time);
  if (delay.cause == kGangBroken) delay.cause = cause;
}

void LateJobs::OnCompleted(const std::string& job, int64_t priority,
                           WallTime time) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const Job& tracked = found->second;
  if (!tracked.accepted || tracked.objective <= Milliseconds::zero()) return;
  const Duration lateness =
      time - *tracked.first_submission - tracked.objective;
  if (lateness <= Duration::zero()) return;
  const std::string cause = FirstSignificantCause(tracked);
  LateJobsByCause& sum = causes_[{priority, cause}];
  sum.cause = cause;
  sum.priority = priority;
  ++sum.jobs;
  sum.total_lateness += lateness;
  ++sum.accounts[tracked.account];
  ++sum.entries[tracked.entry];
}

std::string LateJobs::FirstSignificantCause(const Job& tracked) {
  for (const Delay& delay : tracked.delays) {
    if (delay.length * kSignificantDelayDivisor < tracked.objective) continue;
    return delay.cause;
  }
  return kRanLongerThanEstimated;
}

std::vector<LateJobsByCause> LateJobs::Report() const {
  std::vector<LateJobsByCause> report;
  for (const auto& [key, sum] : causes_) {
    report.push_back(sum);
  }
  std::stable_sort(report.begin(), report.end(),
                   [](const LateJobsByCause& a, const LateJobsByCause& b) {
                     return a.jobs > b.jobs;
                   });
  return report;
}

}  // namespace thornplank
