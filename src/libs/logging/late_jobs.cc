// Delays of each job, and the first of them that counts.
#include "logging/late_jobs.h"

#include <algorithm>

namespace thornplank {
namespace {

// A delay counts from this share of the job's objective on.
constexpr int kTellingShare = 10;
constexpr char kGangBroken[] = "gang-broken";
constexpr char kRanLong[] = "ran longer than estimated";

}  // namespace

void LateJobs::OnRefused(const std::string& job, const std::string& cause,
                         WallTime time) {
  Story& story = stories_[job];
  if (story.first_try) return;
  story.first_try = time;
  story.refused_for = cause;
}

void LateJobs::OnAccepted(const std::string& job, const std::string& account,
                          const std::string& entry, Milliseconds objective,
                          WallTime time) {
  Story& story = stories_[job];
  if (story.accepted) return;
  story.accepted = true;
  story.account = account;
  story.entry = entry;
  story.objective = objective;
  if (!story.first_try) {
    story.first_try = time;
    return;
  }
  story.delays.insert(story.delays.begin(), {"refused: " + story.refused_for,
                                             time - *story.first_try});
}

void LateJobs::OnDelay(const std::string& job, const std::string& cause,
                       Duration length) {
  stories_[job].delays.push_back({cause, length});
}

// Members of a gang tell only that another one ended; that one tells why.
void LateJobs::OnRunLost(const std::string& job, const std::string& step,
                         int64_t run, const std::string& cause, Duration lost) {
  Story& story = stories_[job];
  const auto [known, first] =
      story.lost_runs.try_emplace({step, run}, story.delays.size());
  if (first) {
    story.delays.push_back({cause, lost});
    return;
  }
  Delay& delay = story.delays[known->second];
  delay.length = std::max(delay.length, lost);
  if (delay.cause == kGangBroken) delay.cause = cause;
}

void LateJobs::OnCompleted(const std::string& job, int64_t priority,
                           WallTime time) {
  const auto found = stories_.find(job);
  if (found == stories_.end()) return;
  const Story& story = found->second;
  if (!story.accepted || story.objective <= Milliseconds::zero()) return;
  const Duration late = time - *story.first_try - story.objective;
  if (late <= Duration::zero()) return;
  const std::string cause = FirstCause(story);
  LateJobsByCause& sum = causes_[{priority, cause}];
  sum.cause = cause;
  sum.priority = priority;
  ++sum.jobs;
  sum.total_lateness += late;
  ++sum.accounts[story.account];
  ++sum.entries[story.entry];
}

std::string LateJobs::FirstCause(const Story& story) {
  for (const Delay& delay : story.delays) {
    if (delay.length * kTellingShare < story.objective) continue;
    return delay.cause;
  }
  return kRanLong;
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
