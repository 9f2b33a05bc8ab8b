// Draws urgent jobs, and counts the stops between their accounts.
#include "urgent_load.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <set>

namespace thornplank {
namespace {

// Separates the random sequence of the urgent load from those of the faults.
constexpr uint32_t kUrgentLoadSeedOffset = 3000017;
// From the start of the load.
constexpr Milliseconds kBurstBegin{2000};
constexpr Milliseconds kBurstEnd{6000};
// Demand as a share of all accelerators.
constexpr double kBurstDemand = 4;
constexpr double kNormalDemand = 0.3;
constexpr int kMaxMembers = 8;
constexpr Milliseconds kTick{10};

// From then on only the backlog of the burst is left.
constexpr Milliseconds kLateBegin = kBurstEnd + Milliseconds(5000);
// Of the tasks that are done. More means that capacity changes hands faster
// than work ends.
constexpr double kMaxStopShare = 0.35;
constexpr int kMaxStopsOfTask = 2;
constexpr char kGivesWay[] = "gives way to urgent ";

TestJob DrawJob(std::mt19937* random) {
  const auto draw = [random](int from, int to) {
    return from +
           static_cast<int>((*random)() % static_cast<uint32_t>(to - from + 1));
  };
  TestJob job;
  job.priority = 0;
  job.work_ms = draw(600, 2400);
  TestStep step;
  step.count = draw(1, kMaxMembers);
  step.accelerators = draw(1, 2);
  step.gang = true;
  step.same_rack = draw(0, 4) > 0;
  job.steps = {step};
  return job;
}

// Accelerator milliseconds.
double WorkOf(const TestJob& job) {
  const TestStep& step = job.steps.front();
  return static_cast<double>(step.count) * step.accelerators * job.work_ms;
}

// Returns JOB of a name JOB.K.STEP or JOB.K.STEP.TASK.
std::string JobOf(const std::string& name) {
  return name.substr(0, name.find('.'));
}

bool IsUrgent(const std::map<std::string, SubmittedJob>& jobs,
              const std::string& task) {
  const auto job = jobs.find(JobOf(task));
  return job != jobs.end() && job->second.job.priority == 0;
}

// Whether the reason of a stop is that a job of the load needs the room. Only
// these jobs name the key of their account.
bool IsForLoad(const std::map<std::string, SubmittedJob>& jobs,
               const std::string& reason) {
  if (reason.rfind(kGivesWay, 0) != 0) return false;
  const std::string step = reason.substr(sizeof(kGivesWay) - 1);
  const auto job = jobs.find(JobOf(step));
  return job != jobs.end() && !job->second.job.account_key.empty();
}

bool IsTooMany(int stops, int done) { return stops > kMaxStopShare * done; }

}  // namespace

std::vector<TimedJob> DrawUrgentJobs(const UrgentLoad& load, int account,
                                     const std::string& id_prefix) {
  std::mt19937 random(kUrgentLoadSeedOffset + load.seed * 31 +
                      static_cast<uint32_t>(account));
  std::vector<TimedJob> jobs;
  // Accelerator milliseconds that are asked for and not drawn yet.
  double asked = 0;
  for (Milliseconds at{0}; at < load.length; at += kTick) {
    const bool in_burst = at >= kBurstBegin && at < kBurstEnd;
    asked += (in_burst ? kBurstDemand : kNormalDemand) * load.accelerators /
             load.accounts * static_cast<double>(kTick.count());
    while (asked > 0) {
      TimedJob timed;
      timed.submit_time = at;
      timed.job = DrawJob(&random);
      char number[9];
      std::snprintf(number, sizeof(number), "%08x",
                    static_cast<unsigned>(jobs.size() + 1));
      timed.job.id = id_prefix + number;
      asked -= WorkOf(timed.job);
      jobs.push_back(std::move(timed));
    }
  }
  return jobs;
}

EqualStops CountEqualStops(const std::vector<Json>& orders,
                           const std::vector<Json>& runs,
                           const std::map<std::string, SubmittedJob>& jobs,
                           const LoadStart& start) {
  EqualStops stops;
  std::map<std::string, int> stops_of;
  for (const Json& order : orders) {
    const std::string task = StringField(order, "task").value_or("");
    const std::string reason = StringField(order, "reason").value_or("");
    if (!IsUrgent(jobs, task) || !IsForLoad(jobs, reason)) continue;
    ++stops.total;
    stops.most_of_a_task = std::max(stops.most_of_a_task, ++stops_of[task]);
    const int64_t time_ms = IntField(order, "time_ms").value_or(0);
    if (time_ms - start.unix_ms >= kLateBegin.count()) ++stops.late;
  }
  std::set<std::string> done;
  for (const Json& run : runs) {
    const std::string task = StringField(run, "task").value_or("");
    if (StringField(run, "how") != "done" || !IsUrgent(jobs, task)) continue;
    if (!done.insert(task).second) continue;
    const int64_t ended_ms = IntField(run, "ended_ms").value_or(0);
    if (ended_ms - start.steady_ms >= kLateBegin.count()) ++stops.late_done;
  }
  stops.done = static_cast<int>(done.size());
  return stops;
}

std::vector<std::string> CheckEqualStops(const EqualStops& stops) {
  std::vector<std::string> violations;
  if (stops.most_of_a_task > kMaxStopsOfTask) {
    violations.push_back("a task of priority 0 was stopped " +
                         std::to_string(stops.most_of_a_task) +
                         " times for others of that priority");
  }
  if (IsTooMany(stops.total, stops.done)) {
    violations.push_back(std::to_string(stops.total) +
                         " runs of priority 0 were stopped for others, but "
                         "only " +
                         std::to_string(stops.done) + " tasks were done");
  }
  if (IsTooMany(stops.late, stops.late_done)) {
    violations.push_back("after the burst " + std::to_string(stops.late) +
                         " runs of priority 0 were stopped for others, but "
                         "only " +
                         std::to_string(stops.late_done) + " tasks were done");
  }
  return violations;
}

}  // namespace thornplank
