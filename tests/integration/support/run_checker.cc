// Checks of the invariants on the history of runs.
#include "run_checker.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "workload/task_ref.h"

namespace thornplank {
namespace {

// Orders in transit may still arrive after a cancellation was acknowledged, and
// a run takes some time to stop.
constexpr int64_t kCancelGraceMs = 3000;
// Test and stand-in use the same clock, but a report takes some time to arrive.
constexpr int64_t kReportToleranceMs = 5;

// A task that crashed kCrashLimit executors must not be started kExcessStarts
// or more times afterwards.
constexpr int kCrashLimit = 3;
constexpr int kExcessStarts = 3;

struct Run {
  TaskRef task;
  int number = 0;
  int64_t began_ms = 0;
  int64_t ended_ms = 0;
  std::string end_type;
  bool recorded = false;
};

using RunsByTask = std::map<TaskRef, std::vector<Run>>;

RunsByTask GroupByTask(const std::vector<Json>& rows) {
  RunsByTask runs;
  for (const Json& row : rows) {
    Run run;
    const auto task = ParseTaskRef(StringField(row, "task").value_or(""));
    if (!task) continue;
    run.task = *task;
    run.number = static_cast<int>(IntField(row, "run").value_or(0));
    run.began_ms = IntField(row, "began_ms").value_or(0);
    run.ended_ms = IntField(row, "ended_ms").value_or(-1);
    if (run.ended_ms < 0) run.ended_ms = std::numeric_limits<int64_t>::max();
    run.end_type = StringField(row, "how").value_or("");
    run.recorded = BoolField(row, "recorded").value_or(false);
    runs[run.task].push_back(std::move(run));
  }
  for (auto& [task, list] : runs) {
    std::sort(list.begin(), list.end(), [](const Run& a, const Run& b) {
      return a.began_ms < b.began_ms;
    });
  }
  return runs;
}

void CheckTask(const std::vector<Run>& runs,
               std::vector<std::string>* violations) {
  for (size_t i = 1; i < runs.size(); ++i) {
    const Run& before = runs[i - 1];
    const Run& after = runs[i];
    const std::string name = after.task.ToString();
    if (after.began_ms + kReportToleranceMs < before.ended_ms) {
      violations->push_back(name + " runs twice at the same time: runs " +
                            std::to_string(before.number) + " and " +
                            std::to_string(after.number));
    }
    if (before.end_type == "done" && before.recorded) {
      violations->push_back(name + " runs again after it was recorded as done");
    }
  }
}

// Checks that a task which crashes its executors is given up. Other tasks of
// the job are not limited.
void CheckCrashes(const TestJob& job, const std::vector<Run>& runs,
                  std::vector<std::string>* violations) {
  const TaskRef& task = runs.front().task;
  const bool crashes_executor =
      job.crash_task < 0 || job.crash_task == task.index;
  if (!job.crashes() || !crashes_executor) return;
  int crashes = 0;
  int starts_after = 0;
  for (const Run& run : runs) {
    if (crashes >= kCrashLimit) ++starts_after;
    if (run.end_type == "crashed") ++crashes;
  }
  if (starts_after < kExcessStarts) return;
  violations->push_back(task.ToString() + " was started " +
                        std::to_string(starts_after) +
                        " times after it had crashed three executors");
}

// The time at which the last task of the step was done; the maximum of int64_t
// if it was not.
int64_t CompletionTimeMs(const RunsByTask& runs, const std::string& job,
                         int step, const TestStep& spec) {
  int64_t all = 0;
  int64_t first = std::numeric_limits<int64_t>::max();
  for (int index = 0; index < spec.count; ++index) {
    int64_t done = std::numeric_limits<int64_t>::max();
    const auto it = runs.find(TaskRef{{job, 0, step}, index});
    if (it != runs.end()) {
      for (const Run& run : it->second) {
        if (run.end_type == "done") done = std::min(done, run.ended_ms);
      }
    }
    first = std::min(first, done);
    all = std::max(all, done);
  }
  // A gang is done when one of its members is.
  return spec.gang ? first : all;
}

void CheckJob(const RunsByTask& runs, const SubmittedJob& submitted,
              std::vector<std::string>* violations) {
  const TestJob& job = submitted.job;
  for (size_t s = 0; s < job.steps.size(); ++s) {
    const TestStep& spec = job.steps[s];
    const int step = static_cast<int>(s);
    int64_t ready = 0;
    for (const int dependency : spec.depends_on) {
      ready = std::max(
          ready, CompletionTimeMs(runs, job.id, dependency,
                                  job.steps[static_cast<size_t>(dependency)]));
    }
    for (auto it = runs.lower_bound(TaskRef{{job.id, 0, step}, 0});
         it != runs.end() && it->first.step == StepRef{job.id, 0, step}; ++it) {
      for (const Run& run : it->second) {
        const std::string name = run.task.ToString();
        if (run.began_ms + kReportToleranceMs < ready) {
          violations->push_back(name + " ran before its dependencies");
        }
        if (submitted.refused) {
          violations->push_back(name + " ran although its job was refused");
        }
        if (submitted.cancelled_ms >= 0 &&
            run.began_ms > submitted.cancelled_ms + kCancelGraceMs) {
          violations->push_back(name + " ran after its cancellation");
        }
      }
    }
    if (submitted.final_state == "completed" &&
        CompletionTimeMs(runs, job.id, step, spec) ==
            std::numeric_limits<int64_t>::max()) {
      violations->push_back(job.id + " is shown as completed, but step " +
                            std::to_string(step) + " is not done");
    }
  }
}

}  // namespace

std::vector<std::string> CheckRuns(
    const std::vector<Json>& rows,
    const std::map<std::string, SubmittedJob>& jobs) {
  std::vector<std::string> violations;
  const RunsByTask runs = GroupByTask(rows);
  for (const auto& [task, list] : runs) {
    const auto job = jobs.find(task.step.job);
    if (job == jobs.end()) {
      violations.push_back(task.ToString() + " ran, but was not submitted");
    } else {
      CheckCrashes(job->second.job, list, &violations);
    }
    CheckTask(list, &violations);
  }
  for (const auto& [id, submitted] : jobs) {
    CheckJob(runs, submitted, &violations);
    if (submitted.accepted && submitted.final_state == "gone") {
      violations.push_back(id + " was accepted, but is not known any more");
    }
  }
  return violations;
}

}  // namespace thornplank
