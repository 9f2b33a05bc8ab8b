// Sums of demand by service and priority.
#include "workload/waiting_demand.h"

namespace thornplank {

void WaitingDemand::Add(const std::string& service, int priority,
                        const Resources& need, int64_t tasks) {
  needs_[service][priority] += need * tasks;
}

Resources WaitingDemand::OfHigherPriority(const std::string& service,
                                          int priority) const {
  Resources sum;
  const auto by_priority = needs_.find(service);
  if (by_priority == needs_.end()) return sum;
  for (const auto& [other, need] : by_priority->second) {
    if (other >= priority) break;
    sum += need;
  }
  return sum;
}

}  // namespace thornplank
