// How the entries divide the slots of a service's executors among themselves.
//
// An executor has few slots and knows nothing of entries; it refuses what does
// not fit. A SlotSharingPolicy says how many of each executor's slots this
// entry may use at a time. Entries compute their shares on their own from the
// same kind of input, so that no agreement is needed; where their inputs differ
// for a moment, shares overlap and the executors' refusals settle it.
#ifndef THORNPLANK_ROUTING_SLOT_SHARING_POLICY_H_
#define THORNPLANK_ROUTING_SLOT_SHARING_POLICY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "routing/routing_types.h"

namespace thornplank {

// The slots of one executor.
struct ExecutorSlots {
  std::string name;
  std::string failure_domain;
  int slots = 0;
};

// All that a share depends on, for one service.
struct SlotSharingInput {
  // In the order of OrderByDomain, which is the same at every entry.
  std::vector<ExecutorSlots> executors;
  std::vector<AccountLimits> accounts;
  // Requests queued and in flight: demand[entry][account], with the live
  // entries sorted by name.
  std::vector<std::vector<double>> demand;
  // Position of this entry; below demand.size().
  size_t own_entry_index = 0;
};

class SlotSharingPolicy {
 public:
  virtual ~SlotSharingPolicy() = default;
  // Slots that this entry may use, for each executor of the input.
  virtual std::vector<int> Allocate(const SlotSharingInput& input) const = 0;
  // Slots that this entry would soon have if its demand grew without bound.
  virtual double AttainableSlots(const SlotSharingInput& input) const = 0;
};

// Orders executors so that neighbours are in different failure domains where
// possible; depends on nothing but names and domains.
void OrderByDomain(std::vector<ExecutorSlots>* executors);

int TotalSlots(const std::vector<ExecutorSlots>& executors);

// Numbers all slots, first the first slot of each executor, then the second
// and so on, and counts the numbers in [begin, end) per executor. Numbers wrap
// around at the total.
std::vector<int> SlotsInRange(const std::vector<ExecutorSlots>& executors,
                              int begin, int end);

// Connections that one of `entries` entries may hold to an executor.
int ConnectionLimit(size_t entries);

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_SLOT_SHARING_POLICY_H_
