// Order of executors and numbering of slots, common to all policies.
#include "routing/slot_sharing_policy.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace thornplank {
namespace {

// Connections to one executor from all entries together.
constexpr int kExecutorConnections = 60;

}  // namespace

void OrderByDomain(std::vector<ExecutorSlots>* executors) {
  std::sort(executors->begin(), executors->end(),
            [](const ExecutorSlots& a, const ExecutorSlots& b) {
              return a.name < b.name;
            });
  // The n-th executor of each domain precedes the (n+1)-th of any domain.
  std::map<std::string, int> seen;
  std::vector<std::pair<int, size_t>> keys;
  keys.reserve(executors->size());
  for (size_t i = 0; i < executors->size(); ++i) {
    keys.emplace_back(seen[(*executors)[i].failure_domain]++, i);
  }
  std::sort(keys.begin(), keys.end(), [&](const auto& a, const auto& b) {
    return std::tie(a.first, (*executors)[a.second].failure_domain) <
           std::tie(b.first, (*executors)[b.second].failure_domain);
  });
  std::vector<ExecutorSlots> ordered;
  ordered.reserve(executors->size());
  for (const auto& key : keys) {
    ordered.push_back(std::move((*executors)[key.second]));
  }
  *executors = std::move(ordered);
}

int TotalSlots(const std::vector<ExecutorSlots>& executors) {
  int total = 0;
  for (const ExecutorSlots& executor : executors) {
    total += executor.slots;
  }
  return total;
}

std::vector<int> SlotsInRange(const std::vector<ExecutorSlots>& executors,
                              int begin, int end) {
  std::vector<int> counts(executors.size(), 0);
  const int total = TotalSlots(executors);
  if (total == 0) {
    return counts;
  }
  end = std::min(end, begin + total);
  int layers = 0;
  for (const ExecutorSlots& executor : executors) {
    layers = std::max(layers, executor.slots);
  }
  int number = 0;
  for (int layer = 0; layer < layers; ++layer) {
    for (size_t i = 0; i < executors.size(); ++i) {
      if (executors[i].slots <= layer) {
        continue;
      }
      const bool inside = number >= begin && number < end;
      const bool wrapped = number + total < end;
      if (inside || wrapped) {
        ++counts[i];
      }
      ++number;
    }
  }
  return counts;
}

int ConnectionLimit(size_t entries) {
  const int count = std::max(1, static_cast<int>(entries));
  return std::max(1, (kExecutorConnections + count / 2) / count);
}

}  // namespace thornplank
