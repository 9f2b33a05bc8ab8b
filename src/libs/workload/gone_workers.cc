// The time for which each lost worker has not been seen.
#include "workload/gone_workers.h"

#include <utility>

namespace thornplank {

std::vector<std::string> GoneWorkers::TakeGone(
    const std::vector<std::string>& lost,
    const std::function<bool(const std::string&)>& is_seen, Time now,
    Duration patience) {
  const std::map<std::string, Time> before = std::exchange(unseen_since_, {});
  std::vector<std::string> gone;
  for (const std::string& worker : lost) {
    if (is_seen(worker)) continue;
    const auto known = before.find(worker);
    const Time since = known == before.end() ? now : known->second;
    if (now - since >= patience) {
      gone.push_back(worker);
    } else {
      unseen_since_[worker] = since;
    }
  }
  return gone;
}

}  // namespace thornplank
