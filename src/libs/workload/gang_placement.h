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

// What a placement has to choose from.
struct FreePlaces {
  std::vector<Slot> slots;
  // At most so many empty workers may be used.
  int64_t empty_workers = 0;
  // On the data's rack alone.
  bool near_only = false;
};

// All members on one rack, the tightest fit. Empty when no rack has room now.
std::vector<JobLedger::Assignment> PlaceOnOneRack(const OpenStep& step,
                                                  const ClusterRooms& rooms,
                                                  const FreePlaces& places);

// All members wherever they fit; empty when they don't.
std::vector<JobLedger::Assignment> PlaceOverRacks(const OpenStep& step,
                                                  const ClusterRooms& rooms,
                                                  const FreePlaces& places);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GANG_PLACEMENT_H_
