// How far one task of a job is.
#ifndef THORNPLANK_WORKLOAD_TASK_STATUS_H_
#define THORNPLANK_WORKLOAD_TASK_STATUS_H_

#include <string>

#include "workload/crash_record.h"

namespace thornplank {

enum class TaskPhase {
  // May be started once its turn has come.
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
  // Where kActive: the worker's id.
  std::string worker;
  // Resumes from here; "" when there is none.
  std::string checkpoint;
  CrashRecord crashes{};
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_TASK_STATUS_H_
