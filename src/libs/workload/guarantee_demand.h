// How much of its guarantee each account has asked for lately.
//
// A new leader knows only what is asked for now. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_GUARANTEE_DEMAND_H_
#define THORNPLANK_WORKLOAD_GUARANTEE_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace thornplank {

// An account that has asked for accelerators may do so again for this long:
// waves of urgent work come some tens of seconds apart.
inline constexpr std::chrono::seconds kDemandMemory{60};

class GuaranteeDemand {
 public:
  // `needed`: accelerators of the unfinished urgent tasks, by account. To be
  // called in every round.
  void Observe(const std::map<std::string, int64_t>& needed, Time now);
  // The most that the account has needed within kDemandMemory.
  int64_t Recent(const std::string& account) const;

 private:
  struct Peak {
    int64_t accelerators = 0;
    Time seen{};
  };

  std::map<std::string, Peak> peaks_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GUARANTEE_DEMAND_H_
