// Every job that the coordinator knows, with the state of each task.
//
// The ledger holds facts, not intentions: which run of a task is out on which
// worker, how runs ended, what was checkpointed. It reads no clock and does no
// I/O; what changed since the last call is listed as dirty, to be stored.
#ifndef THORNPLANK_WORKLOAD_JOB_LEDGER_H_
#define THORNPLANK_WORKLOAD_JOB_LEDGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "workload/job_definition.h"
#include "workload/progress_block.h"
#include "workload/task_ref.h"
#include "workload/task_status.h"

namespace thornplank {

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

inline bool IsTerminal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

enum class RunEnd {
  kDone,
  // By its own fault or the worker's.
  kFailed,
  // By an order of ours.
  kStopped,
  kLeaseLapsed,
  // Another member of the gang ended.
  kGangBroken,
  // Waited in vain for the other members.
  kGangIncomplete,
  // Proved not to run: never begun, or not there any more.
  kLost,
  // Its worker left as announced.
  kWorkerLeft,
  // Its worker's life ended without notice.
  kWorkerCrashed,
  // Nothing was heard of its worker until the leases there had ended.
  kWorkerSilent,
};

struct StepProgress {
  std::vector<TaskStatus> tasks;
  // Of a gang: runs of the whole gang that have failed, and the last of them.
  int gang_failures = 0;
  int last_failed_run = 0;
  // Invariant: the number of tasks in each phase.
  int waiting = 0;
  int done = 0;

  int active() const { return static_cast<int>(tasks.size()) - waiting - done; }
};

struct Job {
  JobDefinition spec;
  JobState state = JobState::kQueued;
  // Where it has failed: why, for callers and operators.
  std::string failure;
  // By occurrence, then by step.
  std::vector<std::vector<StepProgress>> occurrences;
  // Steps that are not all done, over all occurrences.
  int open_steps = 0;
  // When this process heard of it.
  Time known_since{};
};

class JobLedger {
 public:
  // Takes a job in, or returns the one that is there.
  Job& Add(const JobDefinition& spec, Time now);
  void Remove(const std::string& job);
  Job* Find(const std::string& job);
  const Job* Find(const std::string& job) const;
  const std::map<std::string, std::unique_ptr<Job>>& jobs() const {
    return jobs_;
  }

  // Puts a stored step back; unknown steps and sizes that differ are refused.
  bool Restore(const StepRef& ref, const ProgressBlocks& blocks);

  // A caller took the job back. False when it had ended before.
  bool Cancel(const std::string& job);
  // Takes over an end that was published before.
  void AdoptFinalState(const std::string& job, JobState state);

  // Marks the tasks of one start as active on their workers, all with the same
  // run number, which is returned.
  struct Assignment {
    int index = 0;
    std::string worker;
  };
  int RecordStart(const StepRef& ref,
                  const std::vector<Assignment>& assignments);

  // An end of `run`. Ends of other runs change nothing, but that a done run
  // counts whenever it comes. `lost` tells of a run that ended with its worker.
  // True when it was taken.
  bool RecordRunEnd(const TaskRef& ref, int run, RunEnd end,
                    const std::string& checkpoint,
                    const LostRun& lost = LostRun());
  // A checkpoint seen in a report of a run that goes on.
  void RecordCheckpoint(const TaskRef& ref, int run,
                        const std::string& checkpoint);

  StepProgress* FindStep(const StepRef& ref);
  const StepProgress* FindStep(const StepRef& ref) const;
  const StepSpec* FindStepSpec(const StepRef& ref) const;
  const TaskStatus* FindTask(const TaskRef& ref) const;

  // Whether all steps that this one depends on are done.
  static bool IsReady(const Job& job, int occurrence, int step);

  // What is to be stored of a block; nullopt for one that does not exist.
  std::optional<ProgressBlock> FindBlock(const ProgressBlockRef& ref) const;

  // Blocks to be stored, and jobs whose state has changed, since the last call.
  std::set<ProgressBlockRef> TakeDirtyBlocks();
  std::set<std::string> TakeChangedJobs();

 private:
  void SetPhase(StepProgress* progress, TaskStatus* task, TaskPhase phase);
  void OnTaskDone(Job* job, StepProgress* progress, TaskStatus* task);
  // Fails the job for its task, if that must not be started again.
  void JudgeTask(const TaskRef& ref, Job* job, const TaskStatus& task);
  void Fail(Job* job, std::string reason);
  void SetState(Job* job, JobState state);
  void MarkDirty(const StepSpec& spec, const TaskRef& ref);
  // Copies one stored block; false where its size is another.
  bool RestoreBlock(const ProgressBlockRef& ref, const ProgressBlock& block,
                    StepProgress* progress);

  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::set<ProgressBlockRef> dirty_blocks_;
  std::set<std::string> changed_jobs_;
};

// Short texts for logs and records.
std::string_view ToText(JobState state);
std::optional<JobState> JobStateFromText(std::string_view text);
std::string_view ToText(RunEnd end);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_JOB_LEDGER_H_
