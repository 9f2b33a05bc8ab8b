// The instance list merged with the operators' drains.
//
// Decision code: what the list shows goes in, workers and executors in the
// words of routing and scheduling come out.
#ifndef THORNPLANK_INSTANCES_INSTANCE_DIRECTORY_H_
#define THORNPLANK_INSTANCES_INSTANCE_DIRECTORY_H_

#include <set>
#include <string>
#include <vector>

#include "platform/instance_list_client.h"
#include "routing/routing_types.h"
#include "scheduling/job_types.h"

namespace thornplank {

class InstanceDirectory {
 public:
  // True when something changed. A list older than the one held is ignored:
  // the platform's answers may overtake each other.
  bool SetList(const InstanceList& list);
  bool SetDrains(const std::set<std::string>& drains);

  // An instance that the list or a drain names as leaving is leaving.
  std::vector<ExecutorInfo> executors() const;
  std::vector<WorkerInfo> workers() const;
  // All instances, with drains applied, sorted by name.
  const std::vector<Instance>& instances() const { return instances_; }
  // True once a list has been seen.
  bool has_list() const { return seen_; }

 private:
  bool Rebuild();

  InstanceList list_;
  std::set<std::string> drains_;
  // list_ with drains_ applied.
  std::vector<Instance> instances_;
  bool seen_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_INSTANCES_INSTANCE_DIRECTORY_H_
