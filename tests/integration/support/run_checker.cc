// Rules over the history of runs.
#include "run_checker.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "workload/task_ref.h"

namespace thornplank {
namespace {

// After a cancellation was acknowledged, orders under way may still arrive and
// a run takes some time to stop.
constexpr int64_t kCancelMs = 3000;
// Clocks of the test and of the stand-in are the same; a report takes a while.
constexpr int64_t kSlackMs = 5;

// Of a task that crashes the executors that start it: from how many crashes on
// its starts count, and how many of these break the promise.
constexpr int kCrashesToCount = 3;
constexpr int kStartsTooMany = 3;

struct Run {
  TaskRef task;
  int number = 0;
  int64_t began = 0;
  int64_t ended = 0;
  std::string how;
  bool recorded = false;
};

using RunsByTask = std::map<TaskRef, std::vector<Run>>;

RunsByTask Group(const std::vector<Json>& rows) {
  RunsByTask runs;
  for (const Json& row : rows) {
    Run run;
    const auto task = ParseTaskRef(StringField(row, "task").value_or(""));
    if (!task) continue;
    run.task = *task;
    run.number = static_cast<int>(IntField(row, "run").value_or(0));
    run.began = IntField(row, "began_ms").value_or(0);
    run.ended = IntField(row, "ended_ms").value_or(-1);
    if (run.ended < 0) run.ended = std::numeric_limits<int64_t>::max();
    run.how = StringField(row, "how").value_or("");
    run.recorded = BoolField(row, "recorded").value_or(false);
    runs[run.task].push_back(std::move(run));
  }
  for (auto& [task, list] : runs) {
    std::sort(list.begin(), list.end(),
              [](const Run& a, const Run& b) { return a.began < b.began; });
  }
  return runs;
}

void CheckTask(const std::vector<Run>& runs,
               std::vector<std::string>* problems) {
  for (size_t i = 1; i < runs.size(); ++i) {
    const Run& before = runs[i - 1];
    const Run& after = runs[i];
    const std::string name = after.task.ToString();
    if (after.began + kSlackMs < before.ended) {
      problems->push_back(name + " runs twice at a time: runs " +
                          std::to_string(before.number) + " and " +
                          std::to_string(after.number));
    }
    if (before.how == "done" && before.recorded) {
      problems->push_back(name + " runs again after it was done");
    }
  }
}

// Only a task that crashes its executors by itself is bound by this.
void CheckCrashes(const TestJob& job, const std::vector<Run>& runs,
                  std::vector<std::string>* problems) {
  const TaskRef& task = runs.front().task;
  const bool culprit = job.crash_task < 0 || job.crash_task == task.index;
  if (!job.crashes() || !culprit) return;
  int crashes = 0;
  int starts_after = 0;
  for (const Run& run : runs) {
    if (crashes >= kCrashesToCount) ++starts_after;
    if (run.how == "crashed") ++crashes;
  }
  if (starts_after < kStartsTooMany) return;
  problems->push_back(task.ToString() + " was started " +
                      std::to_string(starts_after) +
                      " times after three executors had crashed under it");
}

// When all tasks of a step had a run that was done; nullopt-like max if not.
int64_t DoneAt(const RunsByTask& runs, const std::string& job, int step,
               const TestStep& spec) {
  int64_t all = 0;
  int64_t first = std::numeric_limits<int64_t>::max();
  for (int index = 0; index < spec.count; ++index) {
    int64_t done = std::numeric_limits<int64_t>::max();
    const auto it = runs.find(TaskRef{{job, 0, step}, index});
    if (it != runs.end()) {
      for (const Run& run : it->second) {
        if (run.how == "done") done = std::min(done, run.ended);
      }
    }
    first = std::min(first, done);
    all = std::max(all, done);
  }
  // One end of a gang stands for all.
  return spec.gang ? first : all;
}

void CheckJob(const RunsByTask& runs, const JobAccount& account,
              std::vector<std::string>* problems) {
  const TestJob& job = account.job;
  for (size_t s = 0; s < job.steps.size(); ++s) {
    const TestStep& spec = job.steps[s];
    const int step = static_cast<int>(s);
    int64_t ready = 0;
    for (const int dependency : spec.depends_on) {
      ready =
          std::max(ready, DoneAt(runs, job.id, dependency,
                                 job.steps[static_cast<size_t>(dependency)]));
    }
    for (auto it = runs.lower_bound(TaskRef{{job.id, 0, step}, 0});
         it != runs.end() && it->first.step == StepRef{job.id, 0, step}; ++it) {
      for (const Run& run : it->second) {
        const std::string name = run.task.ToString();
        if (run.began + kSlackMs < ready) {
          problems->push_back(name + " ran before its dependencies");
        }
        if (account.refused) {
          problems->push_back(name + " ran though its job was refused");
        }
        if (account.cancelled_ms >= 0 &&
            run.began > account.cancelled_ms + kCancelMs) {
          problems->push_back(name + " ran after its cancellation");
        }
      }
    }
    if (account.final_state == "completed" &&
        DoneAt(runs, job.id, step, spec) ==
            std::numeric_limits<int64_t>::max()) {
      problems->push_back(job.id + " is shown as completed and step " +
                          std::to_string(step) + " is not done");
    }
  }
}

}  // namespace

std::vector<std::string> CheckRuns(
    const std::vector<Json>& rows,
    const std::map<std::string, JobAccount>& jobs) {
  std::vector<std::string> problems;
  const RunsByTask runs = Group(rows);
  for (const auto& [task, list] : runs) {
    const auto job = jobs.find(task.step.job);
    if (job == jobs.end()) {
      problems.push_back(task.ToString() + " ran and nobody submitted it");
    } else {
      CheckCrashes(job->second.job, list, &problems);
    }
    CheckTask(list, &problems);
  }
  for (const auto& [id, account] : jobs) {
    CheckJob(runs, account, &problems);
    if (account.accepted && account.final_state == "gone") {
      problems.push_back(id + " was accepted and is not known");
    }
  }
  return problems;
}

}  // namespace thornplank
