// The stored form of a step's progress: one record for every few tasks.
//
// All entries read these records, though only the leader needs them. With one
// record per step, the end of each task rewrote all tasks of the step: on 540
// workers, with steps of 38 tasks, that was 91% of the bytes that an entry read
// from the job board. Members of a gang change together and share one record.
#ifndef THORNPLANK_WORKLOAD_PROGRESS_BLOCK_H_
#define THORNPLANK_WORKLOAD_PROGRESS_BLOCK_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/error.h"
#include "workload/job_definition.h"
#include "workload/task_ref.h"
#include "workload/task_status.h"

namespace thornplank {

// Block size for tasks that are not a gang. A record has an overhead of 30
// bytes, and an active task takes about 18: from these sizes, the records of a
// task from start to end take some 100 bytes with 2 to 4 tasks in a block and a
// third more with 8, while each further record costs all entries a key to skip.
inline constexpr int kTasksPerBlock = 4;

struct ProgressBlockRef {
  StepRef step;
  int block = 0;

  // "JOB.OCCURRENCE.STEP", followed by "#BLOCK" except for the first block.
  std::string ToString() const;
};

inline bool operator<(const ProgressBlockRef& a, const ProgressBlockRef& b) {
  return std::tie(a.step, a.block) < std::tie(b.step, b.block);
}
inline bool operator==(const ProgressBlockRef& a, const ProgressBlockRef& b) {
  return std::tie(a.step, a.block) == std::tie(b.step, b.block);
}

std::optional<ProgressBlockRef> ParseProgressBlockRef(std::string_view text);

struct ProgressBlock {
  // Of a gang: the number of failed runs of the whole gang, and the last such
  // run.
  int gang_failures = 0;
  int last_failed_run = 0;
  std::vector<TaskStatus> tasks;
};

// By block number. A missing block was never stored: none of its tasks began.
using ProgressBlocks = std::map<int, ProgressBlock>;

// The range of tasks that one block holds.
struct TaskRange {
  int first = 0;
  int count = 0;
};

int BlockOfTask(const StepSpec& spec, int index);
int BlockCount(const StepSpec& spec);
TaskRange TasksOfBlock(const StepSpec& spec, int block);

// The stored form (CBOR).
std::string EncodeBlock(const ProgressBlock& block);
std::optional<ProgressBlock> DecodeBlock(std::string_view bytes, Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PROGRESS_BLOCK_H_
