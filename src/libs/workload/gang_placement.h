// Where the members of a gang go together.
#ifndef THORNPLANK_WORKLOAD_GANG_PLACEMENT_H_
#define THORNPLANK_WORKLOAD_GANG_PLACEMENT_H_

#include <vector>

#include "workload/cluster_rooms.h"
#include "workload/job_ledger.h"
#include "workload/open_step.h"

namespace thornplank {

// Takes what the slot has, as far as tasks are left.
void TakeSlot(const OpenStep& step, const ClusterRooms& rooms, const Slot& slot,
              std::vector<JobLedger::Assignment>* chosen);

// All members on one rack, the tightest fit; with `near_only` on the data's.
// Empty when no rack has room now.
std::vector<JobLedger::Assignment> PlaceOnOneRack(
    const OpenStep& step, const ClusterRooms& rooms,
    const std::vector<Slot>& slots, bool near_only);

// All members wherever they fit; empty when they don't.
std::vector<JobLedger::Assignment> PlaceOverRacks(const OpenStep& step,
                                                  const ClusterRooms& rooms,
                                                  std::vector<Slot> slots,
                                                  bool near_only);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GANG_PLACEMENT_H_
