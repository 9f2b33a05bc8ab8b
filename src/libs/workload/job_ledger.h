// All jobs known to the coordinator, with the state of each task.
//
// The ledger records facts, not intentions: which run of a task is on which
// worker, how runs ended, what was checkpointed. It reads no clock and does no
// I/O; blocks and jobs that have changed since the last call are collected for
// the caller to store. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_JOB_LEDGER_H_
#define THORNPLANK_WORKLOAD_JOB_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
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
  // Through a fault of its own or of the worker.
  kFailed,
  // By an order of the coordinator.
  kStopped,
  kLeaseLapsed,
  // Another member of the gang ended.
  kGangBroken,
  // The other members did not start in time.
  kGangIncomplete,
  // Known not to run: it never began or is no longer there.
  kLost,
  // Its worker left as announced.
  kWorkerLeft,
  // Its worker's incarnation ended without notice.
  kWorkerCrashed,
  // Its worker was silent until all leases there had expired.
  kWorkerSilent,
};

struct StepProgress {
  std::vector<TaskStatus> tasks;
  // Of a gang: the number of failed runs of the whole gang, and the last such
  // run.
  int gang_failures = 0;
  int last_failed_run = 0;
  // Invariant: the number of tasks in the phase.
  int waiting = 0;
  int done = 0;

  int active() const { return static_cast<int>(tasks.size()) - waiting - done; }
};

struct Job {
  JobDefinition spec;
  // Queued until a run of it has begun, as far as is known.
  JobState state = JobState::kQueued;
  // Where it has failed: the reason, for callers and operators.
  std::string failure;
  // By occurrence, then by step.
  std::vector<std::vector<StepProgress>> occurrences;
  // Steps with unfinished tasks, over all occurrences.
  int unfinished_steps = 0;
  // When it was added to this process's ledger.
  Time added_at{};
};

// A checkpoint that is too long to be stored.
struct DroppedCheckpoint {
  TaskRef task;
  int run = 0;
  size_t bytes = 0;
};

class JobLedger {
 public:
  JobLedger() = default;
  // Longer checkpoints are not recorded: a task resumes from the one before, or
  // from the beginning.
  explicit JobLedger(size_t max_checkpoint_bytes)
      : max_checkpoint_bytes_(max_checkpoint_bytes) {}

  // Adds a job, or returns the one that is already there.
  Job& Add(const JobDefinition& spec, Time now);
  void Remove(const std::string& job);
  Job* Find(const std::string& job);
  const Job* Find(const std::string& job) const;
  const std::map<std::string, std::unique_ptr<Job>>& jobs() const {
    return jobs_;
  }

  // Restores the progress of a step from storage; returns false for unknown
  // steps and blocks of a different size.
  bool Restore(const StepRef& ref, const ProgressBlocks& blocks);
  // Restores a checkpoint that is stored apart from its block. Does nothing for
  // a task that is done or whose block has a checkpoint.
  void RestoreCheckpoint(const TaskRef& ref, const std::string& checkpoint);

  // Cancels the job for its caller. Returns false if it had already ended.
  bool Cancel(const std::string& job);
  // Ends the job as failed, for a reason that no run of it shows.
  void FailJob(const std::string& job, const std::string& reason);
  // Adopts a state that was published earlier. It is not lost that a run of the
  // job has begun, nor that it has ended.
  void AdoptState(const std::string& job, JobState state);

  // Marks the tasks of one start as active on their workers. All get the same
  // run number, which is returned.
  struct Assignment {
    int index = 0;
    std::string worker;
  };
  int RecordStart(const StepRef& ref,
                  const std::vector<Assignment>& assignments);
  // A run of the job has begun.
  void RecordBegan(const std::string& job);

  // Records the end of `run`. Ends of other runs are ignored, except that a
  // completed run counts whenever its end arrives. `lost` describes a run that
  // ended with its worker. Returns true if the end was accepted.
  bool RecordRunEnd(const TaskRef& ref, int run, RunEnd end,
                    const std::string& checkpoint,
                    const LostRun& lost = LostRun());
  // Tasks of urgent jobs recorded as done since this ledger was created.
  int64_t urgent_completions() const { return urgent_completions_; }
  // The worker is alive, in the incarnation that began at `incarnation_start`:
  // it has not crashed. Returns the tasks that it was counted against.
  std::vector<TaskRef> OnWorkerAlive(
      const std::string& worker,
      const std::optional<WallTime>& incarnation_start);
  // That incarnation of the worker is over and has not left as announced. May
  // end jobs. Returns the tasks of which the record has changed.
  std::vector<TaskRef> OnWorkerEnded(
      const std::string& worker,
      const std::optional<WallTime>& incarnation_start);
  // The incarnation of the worker that started at `start` is alive, so that the
  // earlier ones are over. May end jobs. Returns the tasks of which the record
  // has changed.
  std::vector<TaskRef> OnIncarnationSeen(const std::string& worker,
                                         WallTime start);
  // A worker with that id is alive at the address, so that others which were
  // lost there are over. May end jobs. Returns the tasks of which the record
  // has changed.
  std::vector<TaskRef> OnWorkerAt(const std::string& address,
                                  const std::string& worker);
  // The worker has not been listed or heard of for so long that its tasks wait
  // for it no longer. May end jobs. Returns the tasks of which the record has
  // changed.
  std::vector<TaskRef> OnWorkerGone(const std::string& worker);
  // Workers that were lost under tasks and of which is not known whether they
  // are alive, over or gone.
  std::vector<std::string> UnsettledWorkers() const;
  // The run was seen alive after its start.
  void RecordSurvivedStart(const TaskRef& ref, int run);
  // Records a checkpoint reported by a run that continues.
  void RecordCheckpoint(const TaskRef& ref, int run,
                        const std::string& checkpoint);

  StepProgress* FindStep(const StepRef& ref);
  const StepProgress* FindStep(const StepRef& ref) const;
  const StepSpec* FindStepSpec(const StepRef& ref) const;
  const TaskStatus* FindTask(const TaskRef& ref) const;

  // Whether all steps that this one depends on are done.
  static bool IsReady(const Job& job, int occurrence, int step);

  // The content of a block, as it is to be stored; nullopt for one that does
  // not exist.
  std::optional<ProgressBlock> FindBlock(const ProgressBlockRef& ref) const;

  // Return the blocks to be stored, and the jobs whose state has changed, since
  // the last call.
  std::set<ProgressBlockRef> TakeDirtyBlocks();
  std::set<std::string> TakeChangedJobs();
  // The checkpoints that were not recorded since the last call, one of each run
  // at most.
  std::vector<DroppedCheckpoint> TakeDroppedCheckpoints();

 private:
  void SetPhase(StepProgress* progress, TaskStatus* task, TaskPhase phase);
  void OnTaskDone(Job* job, StepProgress* progress, TaskStatus* task);
  // Fails the job if the task must not be started again.
  void FailJobIfGivenUp(const TaskRef& ref, Job* job, const TaskStatus& task);
  void Fail(Job* job, std::string reason);
  void SetState(Job* job, JobState state);
  void MarkDirty(const StepSpec& spec, const TaskRef& ref);
  // Applies `update` to the records of the tasks that have unaccounted losses
  // on the worker, and returns the tasks for which it returns true.
  std::vector<TaskRef> UpdateCrashRecords(
      const std::string& worker,
      const std::function<bool(CrashRecord*, WallTime job_accepted)>& update);
  // Adds the losses in the task's crash record that are not accounted for to
  // unaccounted_losses_.
  void IndexUnaccountedLosses(const TaskRef& ref, const TaskStatus& task);
  // Copies one stored block; returns false if its size differs.
  bool RestoreBlock(const ProgressBlockRef& ref, const ProgressBlock& block,
                    StepProgress* progress);

  size_t max_checkpoint_bytes_ = std::numeric_limits<size_t>::max();
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  int64_t urgent_completions_ = 0;
  // Invariant: contains every task whose crash record has a loss that is not
  // accounted for, by worker. May contain others.
  std::map<std::string, std::set<TaskRef>> unaccounted_losses_;
  // Invariant: contains the worker of every such loss, by its address. May
  // contain others.
  std::map<std::string, std::set<std::string>> lost_workers_at_;
  std::set<ProgressBlockRef> dirty_blocks_;
  std::set<std::string> changed_jobs_;
  std::vector<DroppedCheckpoint> dropped_checkpoints_;
};

// Short texts for logs and stored records.
std::string_view ToText(JobState state);
std::optional<JobState> JobStateFromText(std::string_view text);
std::string_view ToText(RunEnd end);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_JOB_LEDGER_H_
