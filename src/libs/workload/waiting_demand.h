// Resources needed by steps that found no room, by service and priority.
//
// Small tasks of low priority fit into every gap, a gang only where much is
// free at one moment. If tasks were placed wherever they fit, gangs of higher
// priority would wait for as long as small tasks keep arriving.
#ifndef THORNPLANK_WORKLOAD_WAITING_DEMAND_H_
#define THORNPLANK_WORKLOAD_WAITING_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>

#include "workload/resources.h"

namespace thornplank {

class WaitingDemand {
 public:
  void Add(const std::string& service, int priority, const Resources& need,
           int64_t tasks);
  // Demand of all steps of the service with a higher priority than this.
  Resources OfHigherPriority(const std::string& service, int priority) const;

 private:
  // By service, then by priority.
  std::map<std::string, std::map<int, Resources>> needs_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WAITING_DEMAND_H_
