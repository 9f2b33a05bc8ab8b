// Places the members of a gang together.
#ifndef THORNPLANK_WORKLOAD_GANG_PLACEMENT_H_
#define THORNPLANK_WORKLOAD_GANG_PLACEMENT_H_

#include <vector>

#include "workload/cluster_capacity.h"
#include "workload/job_ledger.h"
#include "workload/ready_step.h"

namespace thornplank {

// Assigns waiting tasks of the step to the slot until either is exhausted.
void TakeSlot(const ReadyStep& step, const ClusterCapacity& capacity,
              const Slot& slot, std::vector<JobLedger::Assignment>* chosen);

// The slots a placement may choose from.
struct FreePlaces {
  std::vector<Slot> slots;
  // Upper bound on the empty workers that may be used.
  int64_t empty_workers = 0;
  // Whether only the rack of the step's data may be used.
  bool near_only = false;
  // Whether a gang takes as few workers as it can.
  bool compact = false;
};

// Places all members on one rack: the one with the tightest fit or, if places
// are compact, of the racks with the least penalties the one on which the gang
// takes the fewest workers. Empty when no rack has room now.
std::vector<JobLedger::Assignment> PlaceOnOneRack(
    const ReadyStep& step, const ClusterCapacity& capacity,
    const FreePlaces& places);

// Places all members on any racks; empty when they do not fit.
std::vector<JobLedger::Assignment> PlaceOverRacks(
    const ReadyStep& step, const ClusterCapacity& capacity,
    const FreePlaces& places);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GANG_PLACEMENT_H_
