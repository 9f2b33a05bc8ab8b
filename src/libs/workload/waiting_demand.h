// What steps that found no room need, by service and priority.
//
// Small tasks of low priority fit into every gap, a gang only where much is
// free at one moment. Were they placed as they fit, gangs before them in line
// would wait for as long as small ones come.
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
  // Of all steps of the service that come before this priority.
  Resources Before(const std::string& service, int priority) const;

 private:
  // By service, then by priority.
  std::map<std::string, std::map<int, Resources>> needs_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WAITING_DEMAND_H_
