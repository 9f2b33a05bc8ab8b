// The state of one task of a job.
#ifndef THORNPLANK_WORKLOAD_TASK_STATUS_H_
#define THORNPLANK_WORKLOAD_TASK_STATUS_H_

#include <string>

#include "workload/crash_record.h"

namespace thornplank {

enum class TaskPhase {
  // May be started once the dependencies of its step are done.
  kWaiting,
  // A run may be on a worker: recorded, sent, running, stopping or unknown.
  kActive,
  kDone,
};

struct TaskStatus {
  TaskPhase phase = TaskPhase::kWaiting;
  // The number of its last run; 0 before the first.
  int run = 0;
  int failures = 0;
  // The worker's id; empty unless kActive.
  std::string worker;
  // The next run resumes from here; empty if there is none.
  std::string checkpoint;
  CrashRecord crashes{};
  // The last run that was seen alive after its start; 0 if there is none.
  // Stored only beside a crash record that is not empty.
  int survived_run = 0;
  // The last run of which a checkpoint was too long to be stored; 0 if there is
  // none. Not stored itself.
  int dropped_checkpoint_run = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_TASK_STATUS_H_
