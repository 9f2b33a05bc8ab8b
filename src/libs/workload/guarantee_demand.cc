// The peak of each account's urgent need.
#include "workload/guarantee_demand.h"

namespace thornplank {

void GuaranteeDemand::Observe(const std::map<std::string, int64_t>& needed,
                              Time now) {
  for (auto it = peaks_.begin(); it != peaks_.end();) {
    const auto peak = it++;
    if (now - peak->second.seen > kDemandMemory) peaks_.erase(peak);
  }
  for (const auto& [account, accelerators] : needed) {
    Peak& peak = peaks_[account];
    if (accelerators >= peak.accelerators) peak = {accelerators, now};
  }
}

int64_t GuaranteeDemand::Recent(const std::string& account) const {
  const auto peak = peaks_.find(account);
  return peak == peaks_.end() ? 0 : peak->second.accelerators;
}

}  // namespace thornplank
