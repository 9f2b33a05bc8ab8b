// The gaps between the runs of each job, and what others use meanwhile.
#include "idle_waits.h"

#include <algorithm>
#include <limits>

#include "workload/task_ref.h"

namespace thornplank {
namespace {

// The users' rule.
constexpr int64_t kLongestWaitMs = 3000;

struct Interval {
  int64_t begin = 0;
  int64_t end = 0;
  int accelerators = 0;
};

using IntervalsByJob = std::map<std::string, std::vector<Interval>>;

IntervalsByJob ReadIntervals(const std::vector<Json>& runs,
                             const std::map<std::string, SubmittedJob>& jobs) {
  IntervalsByJob intervals;
  for (const Json& row : runs) {
    const auto task = ParseTaskRef(StringField(row, "task").value_or(""));
    if (!task) continue;
    const auto job = jobs.find(task->step.job);
    if (job == jobs.end()) continue;
    const TestStep& step =
        job->second.job.steps[static_cast<size_t>(task->step.step)];
    int64_t end = IntField(row, "ended_ms").value_or(-1);
    if (end < 0) end = std::numeric_limits<int64_t>::max();
    intervals[task->step.job].push_back(
        {IntField(row, "began_ms").value_or(0), end, step.accelerators});
  }
  for (auto& [job, list] : intervals) {
    std::sort(list.begin(), list.end(),
              [](const auto& a, const auto& b) { return a.begin < b.begin; });
  }
  return intervals;
}

// The most accelerators that may have been in use at one time of the gap.
int MostInUse(const IntervalsByJob& intervals, const Interval& gap) {
  int sum = 0;
  for (const auto& [job, list] : intervals) {
    for (const Interval& run : list) {
      if (run.begin < gap.end && run.end > gap.begin) sum += run.accelerators;
    }
  }
  return sum;
}

// The gaps between the runs of one job that begin after `from_ms`.
std::vector<Interval> LongGaps(const std::vector<Interval>& runs,
                               int64_t from_ms) {
  std::vector<Interval> gaps;
  int64_t running_until = std::numeric_limits<int64_t>::max();
  for (const Interval& run : runs) {
    const int64_t begin = std::max(running_until, from_ms);
    if (run.begin > begin && run.begin - begin > kLongestWaitMs) {
      gaps.push_back({begin, run.begin, 0});
    }
    const bool first = running_until == std::numeric_limits<int64_t>::max();
    running_until = first ? run.end : std::max(running_until, run.end);
  }
  return gaps;
}

}  // namespace

std::vector<std::string> FindIdleWaits(
    const std::vector<Json>& runs,
    const std::map<std::string, SubmittedJob>& jobs, int64_t from_ms,
    int accelerators) {
  std::vector<std::string> violations;
  const IntervalsByJob intervals = ReadIntervals(runs, jobs);
  for (const auto& [id, submitted] : jobs) {
    const bool judged = submitted.accepted && !submitted.job.crashes() &&
                        submitted.final_state == "completed";
    const auto list = intervals.find(id);
    if (!judged || list == intervals.end()) continue;
    for (const Interval& gap : LongGaps(list->second, from_ms)) {
      if (2 * MostInUse(intervals, gap) >= accelerators) continue;
      violations.push_back(id + " had nothing running for " +
                           std::to_string(gap.end - gap.begin) +
                           " ms, beside idle executors");
    }
  }
  return violations;
}

}  // namespace thornplank
