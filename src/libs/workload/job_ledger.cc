// State transitions of jobs, steps and tasks.
#include "workload/job_ledger.h"

#include <algorithm>
#include <array>
#include <utility>

namespace thornplank {
namespace {

constexpr std::array<std::pair<JobState, std::string_view>, 5> kStateTexts = {{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kCompleted, "completed"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
}};

// Whether the run ended with a worker that left, and its worker is not known to
// have survived its start: that proves neither a crash nor that there was none.
bool ShowsNoSurvival(RunEnd end, const LostRun& lost) {
  return end == RunEnd::kWorkerLeft &&
         (!lost.began || lost.survived < kStartPhase);
}

// Whether such an end is listed by the worker itself.
bool IsReportedByWorker(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
    case RunEnd::kFailed:
    case RunEnd::kStopped:
    case RunEnd::kLeaseLapsed:
    case RunEnd::kGangBroken:
    case RunEnd::kGangIncomplete:
      return true;
    case RunEnd::kLost:
    case RunEnd::kWorkerLeft:
    case RunEnd::kWorkerCrashed:
    case RunEnd::kWorkerSilent:
      return false;
  }
  return false;
}

// Records what the end of a run shows about crashes of its task; a run that
// never began shows nothing.
void UpdateCrashRecord(RunEnd end, const LostRun& lost, const StepSpec& step,
                       CrashRecord* crashes) {
  if (end == RunEnd::kLost) return;
  if (ShowsNoSurvival(end, lost)) {
    if (lost.began) crashes->OnWorkerLeftAtStart();
    return;
  }
  const bool with_worker =
      end == RunEnd::kWorkerCrashed || end == RunEnd::kWorkerSilent;
  if (!with_worker) return crashes->OnRunEnded();
  crashes->OnWorkerLost(lost, step);
}

std::string FailedOften(const StepRef& step, int failures) {
  return "step " + step.ToString() + " failed " + std::to_string(failures) +
         " times";
}

std::vector<std::vector<StepProgress>> EmptyProgress(
    const JobDefinition& spec) {
  std::vector<StepProgress> steps;
  for (const StepSpec& step : spec.steps) {
    StepProgress progress;
    progress.tasks.resize(static_cast<size_t>(step.count));
    progress.waiting = step.count;
    steps.push_back(std::move(progress));
  }
  return std::vector<std::vector<StepProgress>>(
      static_cast<size_t>(spec.occurrence_count()), steps);
}

}  // namespace

Job& JobLedger::Add(const JobDefinition& spec, Time now) {
  std::unique_ptr<Job>& job = jobs_[spec.id];
  if (job != nullptr) return *job;
  job = std::make_unique<Job>();
  job->spec = spec;
  job->occurrences = EmptyProgress(spec);
  job->unfinished_steps =
      static_cast<int>(spec.steps.size()) * spec.occurrence_count();
  job->added_at = now;
  return *job;
}

void JobLedger::Remove(const std::string& job) { jobs_.erase(job); }

Job* JobLedger::Find(const std::string& job) {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const Job* JobLedger::Find(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : it->second.get();
}

StepProgress* JobLedger::FindStep(const StepRef& ref) {
  return const_cast<StepProgress*>(std::as_const(*this).FindStep(ref));
}

const StepProgress* JobLedger::FindStep(const StepRef& ref) const {
  const Job* job = Find(ref.job);
  if (job == nullptr) return nullptr;
  const auto occurrence = static_cast<size_t>(ref.occurrence);
  const auto step = static_cast<size_t>(ref.step);
  if (occurrence >= job->occurrences.size()) return nullptr;
  if (step >= job->occurrences[occurrence].size()) return nullptr;
  return &job->occurrences[occurrence][step];
}

const StepSpec* JobLedger::FindStepSpec(const StepRef& ref) const {
  const Job* job = Find(ref.job);
  if (job == nullptr) return nullptr;
  const auto step = static_cast<size_t>(ref.step);
  return step < job->spec.steps.size() ? &job->spec.steps[step] : nullptr;
}

const TaskStatus* JobLedger::FindTask(const TaskRef& ref) const {
  const StepProgress* progress = FindStep(ref.step);
  if (progress == nullptr) return nullptr;
  const auto index = static_cast<size_t>(ref.index);
  return index < progress->tasks.size() ? &progress->tasks[index] : nullptr;
}

bool JobLedger::Restore(const StepRef& ref, const ProgressBlocks& blocks) {
  StepProgress* present = FindStep(ref);
  if (present == nullptr) return false;
  StepProgress progress = *present;
  for (const auto& [number, block] : blocks) {
    if (!RestoreBlock({ref, number}, block, &progress)) return false;
  }
  const auto count = [&progress](TaskPhase phase) {
    return static_cast<int>(std::count_if(
        progress.tasks.begin(), progress.tasks.end(),
        [phase](const TaskStatus& task) { return task.phase == phase; }));
  };
  progress.waiting = count(TaskPhase::kWaiting);
  progress.done = count(TaskPhase::kDone);
  *present = std::move(progress);
  Job* job = Find(ref.job);
  if (present->done == static_cast<int>(present->tasks.size())) {
    --job->unfinished_steps;
  }
  if (present->done > 0 && job->state == JobState::kQueued) {
    job->state = JobState::kRunning;
  }
  const StepSpec& spec = job->spec.steps[static_cast<size_t>(ref.step)];
  const int attempts = job->spec.policy.max_attempts;
  if (IsTerminal(job->state)) return true;
  int failures = spec.long_running ? 0 : present->gang_failures;
  for (size_t i = 0; i < present->tasks.size(); ++i) {
    const TaskStatus& task = present->tasks[i];
    const TaskRef task_ref{ref, static_cast<int>(i)};
    IndexUnaccountedLosses(task_ref, task);
    FailJobIfGivenUp(task_ref, job, task);
    if (!spec.long_running) failures = std::max(failures, task.failures);
  }
  if (failures >= attempts) Fail(job, FailedOften(ref, failures));
  if (job->unfinished_steps == 0) SetState(job, JobState::kCompleted);
  return true;
}

void JobLedger::RestoreCheckpoint(const TaskRef& ref,
                                  const std::string& checkpoint) {
  if (FindTask(ref) == nullptr) return;
  const auto restore = [&checkpoint](TaskStatus* task) {
    const bool needed =
        task->phase != TaskPhase::kDone && task->checkpoint.empty();
    if (needed) task->checkpoint = checkpoint;
  };
  StepProgress* progress = FindStep(ref.step);
  if (!FindStepSpec(ref.step)->gang) {
    return restore(&progress->tasks[static_cast<size_t>(ref.index)]);
  }
  for (TaskStatus& member : progress->tasks) restore(&member);
}

bool JobLedger::RestoreBlock(const ProgressBlockRef& ref,
                             const ProgressBlock& block,
                             StepProgress* progress) {
  const StepSpec& spec = *FindStepSpec(ref.step);
  if (ref.block >= BlockCount(spec)) return false;
  TaskRange range = TasksOfBlock(spec, ref.block);
  // Older entries stored all tasks of a step in its first block.
  const bool whole = ref.block == 0 &&
                     static_cast<int>(block.tasks.size()) == spec.count &&
                     range.count < spec.count;
  if (whole) range.count = spec.count;
  if (static_cast<int>(block.tasks.size()) != range.count) return false;
  std::copy(block.tasks.begin(), block.tasks.end(),
            progress->tasks.begin() + range.first);
  progress->gang_failures = block.gang_failures;
  progress->last_failed_run = block.last_failed_run;
  if (!whole) return true;
  for (int index = 0; index < spec.count; ++index) {
    MarkDirty(spec, {ref.step, index});
  }
  return true;
}

std::optional<ProgressBlock> JobLedger::FindBlock(
    const ProgressBlockRef& ref) const {
  const StepProgress* progress = FindStep(ref.step);
  const StepSpec* spec = FindStepSpec(ref.step);
  if (progress == nullptr || ref.block >= BlockCount(*spec)) {
    return std::nullopt;
  }
  const TaskRange range = TasksOfBlock(*spec, ref.block);
  const auto first = progress->tasks.begin() + range.first;
  ProgressBlock block;
  block.gang_failures = progress->gang_failures;
  block.last_failed_run = progress->last_failed_run;
  block.tasks.assign(first, first + range.count);
  return block;
}

bool JobLedger::Cancel(const std::string& id) {
  Job* job = Find(id);
  if (job == nullptr || IsTerminal(job->state)) return false;
  SetState(job, JobState::kCancelled);
  return true;
}

void JobLedger::FailJob(const std::string& id, const std::string& reason) {
  Job* job = Find(id);
  if (job != nullptr) Fail(job, reason);
}

void JobLedger::AdoptState(const std::string& id, JobState state) {
  Job* job = Find(id);
  if (job == nullptr || IsTerminal(job->state)) return;
  if (state != JobState::kQueued) job->state = state;
}

int JobLedger::RecordStart(const StepRef& ref,
                           const std::vector<Assignment>& assignments) {
  StepProgress* progress = FindStep(ref);
  const StepSpec& spec = *FindStepSpec(ref);
  int run = 0;
  for (const Assignment& assignment : assignments) {
    const auto index = static_cast<size_t>(assignment.index);
    run = std::max(run, progress->tasks[index].run);
  }
  ++run;
  for (const Assignment& assignment : assignments) {
    TaskStatus* task = &progress->tasks[static_cast<size_t>(assignment.index)];
    task->run = run;
    task->worker = assignment.worker;
    SetPhase(progress, task, TaskPhase::kActive);
    MarkDirty(spec, {ref, assignment.index});
  }
  return run;
}

void JobLedger::RecordBegan(const std::string& id) {
  Job* job = Find(id);
  if (job == nullptr || job->state != JobState::kQueued) return;
  SetState(job, JobState::kRunning);
}

bool JobLedger::RecordRunEnd(const TaskRef& ref, int run, RunEnd end,
                             const std::string& checkpoint,
                             const LostRun& lost) {
  Job* job = Find(ref.step.job);
  StepProgress* progress = FindStep(ref.step);
  if (job == nullptr || progress == nullptr) return false;
  const auto index = static_cast<size_t>(ref.index);
  if (index >= progress->tasks.size()) return false;
  TaskStatus* task = &progress->tasks[index];
  const StepSpec& spec = job->spec.steps[static_cast<size_t>(ref.step.step)];
  const bool current = task->phase == TaskPhase::kActive && task->run == run;
  const bool late_done = end == RunEnd::kDone && !spec.long_running &&
                         task->phase != TaskPhase::kDone;
  const bool is_cleared = IsReportedByWorker(end) &&
                          task->crashes.OnRunEndReported(lost.worker, run);
  if (is_cleared) MarkDirty(spec, ref);
  if (!current && !late_done) return false;
  // It never began if it is only known not to run.
  if (end != RunEnd::kLost) RecordBegan(ref.step.job);
  if (!checkpoint.empty()) RecordCheckpoint(ref, run, checkpoint);
  MarkDirty(spec, ref);
  if (end == RunEnd::kDone && !spec.long_running) {
    if (!spec.gang) {
      OnTaskDone(job, progress, task);
      return true;
    }
    for (TaskStatus& member : progress->tasks) {
      if (member.phase != TaskPhase::kDone) OnTaskDone(job, progress, &member);
    }
    return true;
  }
  SetPhase(progress, task, TaskPhase::kWaiting);
  LostRun known = lost;
  known.survived_start = lost.survived_start || task->survived_run == run;
  UpdateCrashRecord(end, known, spec, &task->crashes);
  IndexUnaccountedLosses(ref, *task);
  FailJobIfGivenUp(ref, job, *task);
  if (end != RunEnd::kFailed || spec.long_running) return true;
  int failures = ++task->failures;
  if (spec.gang) {
    if (progress->last_failed_run != run) ++progress->gang_failures;
    progress->last_failed_run = run;
    failures = progress->gang_failures;
  }
  if (failures >= job->spec.policy.max_attempts) {
    Fail(job, FailedOften(ref.step, failures));
  }
  return true;
}

void JobLedger::Fail(Job* job, std::string reason) {
  if (IsTerminal(job->state)) return;
  job->failure = std::move(reason);
  SetState(job, JobState::kFailed);
}

void JobLedger::RecordCheckpoint(const TaskRef& ref, int run,
                                 const std::string& checkpoint) {
  StepProgress* progress = FindStep(ref.step);
  if (progress == nullptr || checkpoint.empty()) return;
  const auto index = static_cast<size_t>(ref.index);
  if (index >= progress->tasks.size()) return;
  TaskStatus& task = progress->tasks[index];
  if (task.run != run) return;
  if (checkpoint.size() > max_checkpoint_bytes_) {
    const bool is_first = task.dropped_checkpoint_run != run;
    task.dropped_checkpoint_run = run;
    if (is_first) dropped_checkpoints_.push_back({ref, run, checkpoint.size()});
    return;
  }
  task.checkpoint = checkpoint;
  const StepSpec* spec = FindStepSpec(ref.step);
  if (!spec->gang) return;
  // A checkpoint of any member is valid for the whole gang.
  for (TaskStatus& member : progress->tasks) {
    member.checkpoint = checkpoint;
  }
}

bool JobLedger::IsReady(const Job& job, int occurrence, int step) {
  const auto& steps = job.occurrences[static_cast<size_t>(occurrence)];
  const StepSpec& spec = job.spec.steps[static_cast<size_t>(step)];
  return std::all_of(
      spec.depends_on.begin(), spec.depends_on.end(), [&steps](int dependency) {
        const auto& other = steps[static_cast<size_t>(dependency)];
        return other.done == static_cast<int>(other.tasks.size());
      });
}

std::set<ProgressBlockRef> JobLedger::TakeDirtyBlocks() {
  return std::exchange(dirty_blocks_, {});
}

void JobLedger::MarkDirty(const StepSpec& spec, const TaskRef& ref) {
  dirty_blocks_.insert({ref.step, BlockOfTask(spec, ref.index)});
}

std::set<std::string> JobLedger::TakeChangedJobs() {
  return std::exchange(changed_jobs_, {});
}

std::vector<DroppedCheckpoint> JobLedger::TakeDroppedCheckpoints() {
  return std::exchange(dropped_checkpoints_, {});
}

void JobLedger::SetPhase(StepProgress* progress, TaskStatus* task,
                         TaskPhase phase) {
  if (task->phase == TaskPhase::kWaiting) --progress->waiting;
  if (task->phase == TaskPhase::kDone) --progress->done;
  if (phase == TaskPhase::kWaiting) ++progress->waiting;
  if (phase == TaskPhase::kDone) ++progress->done;
  task->phase = phase;
  if (phase != TaskPhase::kActive) task->worker.clear();
}

void JobLedger::OnTaskDone(Job* job, StepProgress* progress, TaskStatus* task) {
  SetPhase(progress, task, TaskPhase::kDone);
  if (job->spec.policy.priority == 0) ++urgent_completions_;
  if (progress->done < static_cast<int>(progress->tasks.size())) return;
  --job->unfinished_steps;
  if (job->unfinished_steps == 0 && !IsTerminal(job->state)) {
    SetState(job, JobState::kCompleted);
  }
}

void JobLedger::SetState(Job* job, JobState state) {
  job->state = state;
  changed_jobs_.insert(job->spec.id);
}

std::string_view ToText(JobState state) {
  for (const auto& [value, text] : kStateTexts) {
    if (value == state) return text;
  }
  return "unknown";
}

std::optional<JobState> JobStateFromText(std::string_view text) {
  for (const auto& [value, name] : kStateTexts) {
    if (name == text) return value;
  }
  return std::nullopt;
}

std::string_view ToText(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseLapsed:
      return "lease-lapsed";
    case RunEnd::kGangBroken:
      return "gang-broken";
    case RunEnd::kGangIncomplete:
      return "gang-incomplete";
    case RunEnd::kLost:
      return "lost";
    case RunEnd::kWorkerLeft:
      return "worker-left";
    case RunEnd::kWorkerCrashed:
      return "worker-crashed";
    case RunEnd::kWorkerSilent:
      return "worker-silent";
  }
  return "unknown";
}

}  // namespace thornplank
