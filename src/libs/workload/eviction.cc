// Chooses evictions by cost for each task gained.
#include "workload/eviction.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace thornplank {

std::vector<Eviction> CheapestEvictions(std::vector<Eviction> evictions,
                                        int64_t needed, EvictionCost* cost,
                                        StopLimits limits) {
  // A later eviction on a worker depends on the earlier ones there, so their
  // order is preserved: prices are made to rise along it.
  struct Price {
    int rank = 0;
    double each = 0;

    bool operator<(const Price& other) const {
      return std::tie(rank, each) < std::tie(other.rank, other.each);
    }
  };
  std::map<size_t, Price> least;
  std::vector<std::pair<Price, size_t>> order;
  for (size_t i = 0; i < evictions.size(); ++i) {
    const Eviction& eviction = evictions[i];
    Price& floor = least[eviction.worker];
    floor = std::max(
        floor, Price{eviction.cost.rank,
                     eviction.cost.total / static_cast<double>(eviction.gain)});
    order.emplace_back(floor, i);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Eviction> chosen;
  // Workers on which an eviction was passed over, and with it the later ones.
  std::set<size_t> passed_over;
  *cost = EvictionCost();
  for (const auto& [price, i] : order) {
    if (needed <= 0) break;
    if (passed_over.count(evictions[i].worker) > 0) continue;
    if (!limits.TakeAll(evictions[i].victims)) {
      passed_over.insert(evictions[i].worker);
      continue;
    }
    needed -= evictions[i].gain;
    *cost += evictions[i].cost;
    chosen.push_back(std::move(evictions[i]));
  }
  if (needed > 0) chosen.clear();
  return chosen;
}

}  // namespace thornplank
