// Matching of waiting callers with the job table.
#include "jobs/job_waiters.h"

#include <set>
#include <utility>

namespace thornplank {
namespace {

using Outcome = JobChangeResult::Outcome;

bool IsFulfilled(const JobTable& jobs, const JobWaiters::Waiter& waiter) {
  const std::string& id = waiter.job.spec.id;
  if (!waiter.until_final) return jobs.IsKnown(id);
  const JobEntry* entry = jobs.Find(id);
  return entry == nullptr || IsFinal(entry->phase);
}

JobChangeResult MakeResult(const JobTable& jobs,
                           const JobWaiters::Waiter& waiter) {
  if (!waiter.until_final) return SubmissionResult(jobs, waiter.job);
  const JobEntry* entry = jobs.Find(waiter.job.spec.id);
  if (entry == nullptr) return {Outcome::kNoSuchJob, JobPhase::kWaiting, ""};
  return {Outcome::kAccepted, entry->phase, entry->reason};
}

bool SameRequest(const JobRequest& left, const JobRequest& right) {
  return EncodeJobRequest(left) == EncodeJobRequest(right);
}

}  // namespace

void JobWaiters::Add(Waiter waiter) {
  const std::string job = waiter.job.spec.id;
  waiters_.emplace(job, std::move(waiter));
}

JobWaiters::Answers JobWaiters::TakeFulfilled(const JobTable& jobs,
                                              const std::string& job) {
  Answers answers;
  auto [next, end] = waiters_.equal_range(job);
  while (next != end) {
    Waiter& waiter = next->second;
    if (!IsFulfilled(jobs, waiter)) {
      ++next;
      continue;
    }
    answers.push_back(
        [callback = std::move(waiter.callback),
         result = MakeResult(jobs, waiter)] { callback(result); });
    next = waiters_.erase(next);
  }
  return answers;
}

JobWaiters::Answers JobWaiters::TakeAllFulfilled(const JobTable& jobs) {
  std::set<std::string> ids;
  for (const auto& [job, waiter] : waiters_) ids.insert(job);
  Answers answers;
  for (const std::string& job : ids) {
    for (auto& answer : TakeFulfilled(jobs, job)) {
      answers.push_back(std::move(answer));
    }
  }
  return answers;
}

std::vector<JobWaiters::Waiter> JobWaiters::TakeByRecord(
    const std::string& job, const std::string& record_id) {
  std::vector<Waiter> taken;
  auto [next, end] = waiters_.equal_range(job);
  for (; next != end; ++next) {
    if (next->second.record_id != record_id) continue;
    taken.push_back(std::move(next->second));
    waiters_.erase(next);
    break;
  }
  return taken;
}

std::vector<JobWaiters::Waiter> JobWaiters::TakeExpired(Time now) {
  std::vector<Waiter> taken;
  for (auto next = waiters_.begin(); next != waiters_.end();) {
    if (now < next->second.deadline) {
      ++next;
      continue;
    }
    taken.push_back(std::move(next->second));
    next = waiters_.erase(next);
  }
  return taken;
}

std::vector<JobWaiters::Waiter> JobWaiters::TakeUrgent() {
  std::vector<Waiter> taken;
  for (auto next = waiters_.begin(); next != waiters_.end();) {
    const Waiter& waiter = next->second;
    if (waiter.until_final || waiter.job.spec.priority != Priority::kUrgent) {
      ++next;
      continue;
    }
    taken.push_back(std::move(next->second));
    next = waiters_.erase(next);
  }
  return taken;
}

JobChangeResult SubmissionResult(const JobTable& jobs, const JobRequest& job) {
  const JobEntry* entry = jobs.Find(job.spec.id);
  if (entry == nullptr || !SameRequest(entry->request, job)) {
    return {Outcome::kConflict, JobPhase::kWaiting,
            "id " + job.spec.id + " stands for another job"};
  }
  return {Outcome::kAccepted, entry->phase, entry->reason};
}

}  // namespace thornplank
