// The configuration written by operators: queues, accounts and limits.
#ifndef THORNPLANK_COORDINATION_SERVING_CONFIGURATION_H_
#define THORNPLANK_COORDINATION_SERVING_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_definition.h"
#include "workload/planner.h"

namespace thornplank {

// A queue takes the jobs that are sent to `host` under `prefix`.
struct QueueConfiguration {
  std::string host;
  std::string prefix;
  QueuePolicy policy;
  // Callers need no key.
  bool is_public = false;
};

struct AccountConfiguration {
  std::string name;
  std::vector<std::string> keys;
  // Accelerators that are guaranteed to the account at all times.
  int64_t guaranteed_accelerators = 0;
};

struct ServingConfiguration {
  int64_t version = 0;
  std::vector<QueueConfiguration> queues;
  std::vector<AccountConfiguration> accounts;
  // Services whose workers belong to this cluster. Directory records of workers
  // of another service are ignored.
  std::set<std::string> services;
  size_t max_body_bytes = 256 * 1024;

  // The queue of that host with the longest prefix of `path`, or null.
  const QueueConfiguration* FindQueue(const std::string& host,
                                      const std::string& path) const;
  // The names of the accounts that hold the key.
  std::vector<std::string> AccountsOf(const std::string& key) const;
  // Whether the service is listed or has a queue.
  bool KnowsService(const std::string& service) const;
  Guarantees guarantees() const;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_SERVING_CONFIGURATION_H_
