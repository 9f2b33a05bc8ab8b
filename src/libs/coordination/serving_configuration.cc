// Lookups in the configuration.
#include "coordination/serving_configuration.h"

#include <algorithm>

namespace thornplank {

const QueueConfiguration* ServingConfiguration::FindQueue(
    const std::string& host, const std::string& path) const {
  const QueueConfiguration* best = nullptr;
  for (const QueueConfiguration& queue : queues) {
    if (queue.host != host) continue;
    if (path.compare(0, queue.prefix.size(), queue.prefix) != 0) continue;
    if (best != nullptr && best->prefix.size() >= queue.prefix.size()) continue;
    best = &queue;
  }
  return best;
}

std::vector<std::string> ServingConfiguration::AccountsOf(
    const std::string& key) const {
  std::vector<std::string> names;
  if (key.empty()) return names;
  for (const AccountConfiguration& account : accounts) {
    if (std::find(account.keys.begin(), account.keys.end(), key) ==
        account.keys.end()) {
      continue;
    }
    names.push_back(account.name);
  }
  return names;
}

bool ServingConfiguration::KnowsService(const std::string& service) const {
  if (services.count(service) > 0) return true;
  return std::any_of(queues.begin(), queues.end(),
                     [&service](const QueueConfiguration& queue) {
                       return queue.policy.service == service;
                     });
}

Guarantees ServingConfiguration::guarantees() const {
  Guarantees guarantees;
  for (const AccountConfiguration& account : accounts) {
    if (account.guaranteed_accelerators <= 0) continue;
    guarantees[account.name] = account.guaranteed_accelerators;
  }
  return guarantees;
}

}  // namespace thornplank
