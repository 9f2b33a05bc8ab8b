// Interface of the policies by which the entries divide the slots of a
// service's executors among themselves.
//
// An executor has few slots, does not distinguish entries, and refuses requests
// that exceed its slots. A SlotSharingPolicy determines how many of each
// executor's slots this entry may use at a time. Each entry computes its share
// independently from the same kind of input, so no consensus is needed. While
// the entries' inputs differ, shares may overlap; the executors then refuse the
// excess.
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

// Input of a policy, for one service.
struct SlotSharingInput {
  // In the order of OrderByDomain, which all entries compute alike.
  std::vector<ExecutorSlots> executors;
  std::vector<AccountLimits> accounts;
  // Requests queued and in flight as demand[entry][account], with the live
  // entries sorted by name and the accounts in the order of `accounts`.
  std::vector<std::vector<double>> demand;
  // Index of this entry in `demand`.
  size_t own_entry_index = 0;
};

class SlotSharingPolicy {
 public:
  virtual ~SlotSharingPolicy() = default;
  // The number of slots that this entry may use, for each executor of the
  // input.
  virtual std::vector<int> Allocate(const SlotSharingInput& input) const = 0;
  // The number of slots that this entry would soon get if its demand grew
  // without bound.
  virtual double AttainableSlots(const SlotSharingInput& input) const = 0;
};

// Orders executors so that adjacent ones are in different failure domains where
// possible. The order depends only on names and domains.
void OrderByDomain(std::vector<ExecutorSlots>* executors);

int TotalSlots(const std::vector<ExecutorSlots>& executors);

// Counts the slots with numbers in [begin, end) per executor. All slots are
// numbered: first the first slot of each executor, then the second, and so on.
// Numbers wrap around at the total number of slots.
std::vector<int> SlotsInRange(const std::vector<ExecutorSlots>& executors,
                              int begin, int end);

// The number of connections that each of `entries` entries may hold to one
// executor.
int ConnectionLimit(size_t entries);

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_SLOT_SHARING_POLICY_H_
