// Moves the checkpoints of a block into records of their own.
#include "coordination/progress_records.h"

#include <algorithm>
#include <string>
#include <utility>

#include "coordination/job_board.h"

namespace thornplank {
namespace {

// Takes the checkpoint out of the status. A task that is done needs none.
std::string TakeCheckpoint(TaskStatus* task) {
  std::string checkpoint = std::exchange(task->checkpoint, "");
  return task->phase == TaskPhase::kDone ? "" : checkpoint;
}

}  // namespace

size_t MaxCheckpointBytes(const StoreLimits& limits) {
  const std::string job(kJobIdDigits, '0');
  const TaskRef longest{{job, kMaxOccurrences, kMaxSteps}, kMaxTasksPerStep};
  const size_t overhead = RecordBytes(JobBoard::Checkpoint(longest, ""));
  return limits.record_bytes - std::min(limits.record_bytes, overhead);
}

ProgressRecords ToProgressRecords(const ProgressBlockRef& ref,
                                  ProgressBlock block, const StepSpec& spec,
                                  const StoreLimits& limits) {
  ProgressRecords result;
  KeyedRecord whole = JobBoard::Progress(ref, EncodeBlock(block));
  if (RecordBytes(whole) <= limits.record_bytes) {
    result.records.push_back(std::move(whole));
    return result;
  }
  const int first = TasksOfBlock(spec, ref.block).first;
  for (size_t i = 0; i < block.tasks.size(); ++i) {
    std::string checkpoint = TakeCheckpoint(&block.tasks[i]);
    // The members of a gang have the same checkpoint.
    const bool is_stored = spec.gang && !result.checkpoints.empty();
    if (checkpoint.empty() || is_stored) continue;
    const TaskRef task{ref.step, first + static_cast<int>(i)};
    result.records.push_back(JobBoard::Checkpoint(task, std::move(checkpoint)));
    result.checkpoints.push_back(task);
  }
  result.records.push_back(JobBoard::Progress(ref, EncodeBlock(block)));
  return result;
}

}  // namespace thornplank
