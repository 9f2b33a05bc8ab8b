// Lost workers that have not been heard of for long.
//
// A worker is lost once its leases are over, so that none of its runs is left.
// It may still show that it lives, or that another incarnation has taken its
// place; the platform does not say that there is neither.
#ifndef THORNPLANK_WORKLOAD_GONE_WORKERS_H_
#define THORNPLANK_WORKLOAD_GONE_WORKERS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace thornplank {

class GoneWorkers {
 public:
  // Returns those of the `lost` workers that have been lost and not seen at
  // each call for `patience`. To be called regularly.
  std::vector<std::string> TakeGone(
      const std::vector<std::string>& lost,
      const std::function<bool(const std::string&)>& is_seen, Time now,
      Duration patience);

 private:
  // Since when each lost worker has not been seen.
  std::map<std::string, Time> unseen_since_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GONE_WORKERS_H_
