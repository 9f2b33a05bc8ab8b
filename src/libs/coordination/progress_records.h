// The records in which a block of progress is stored, each within the limits of
// the store.
//
// A block is one record as long as that fits. Otherwise each checkpoint gets a
// record of its own, that of a gang only once, and the block is stored without
// them. What is left of a block is small: some 700 bytes of a task whose
// workers were lost as often as a task may lose them, for the longest names of
// workers.
#ifndef THORNPLANK_COORDINATION_PROGRESS_RECORDS_H_
#define THORNPLANK_COORDINATION_PROGRESS_RECORDS_H_

#include <cstddef>
#include <vector>

#include "coordination/record_store.h"
#include "workload/job_definition.h"
#include "workload/progress_block.h"
#include "workload/task_ref.h"

namespace thornplank {

// The longest checkpoint of any task that fits into a record of its own.
size_t MaxCheckpointBytes(const StoreLimits& limits);

struct ProgressRecords {
  // The checkpoints before their block, so that a reader of the block has them.
  std::vector<KeyedRecord> records;
  // The tasks whose checkpoints are in records of their own.
  std::vector<TaskRef> checkpoints;
};

ProgressRecords ToProgressRecords(const ProgressBlockRef& ref,
                                  ProgressBlock block, const StepSpec& spec,
                                  const StoreLimits& limits);

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_PROGRESS_RECORDS_H_
