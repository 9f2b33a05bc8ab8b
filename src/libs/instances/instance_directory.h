// The instance list merged with the operators' drains.
//
// Pure decision logic: converts instances to the executor and worker types of
// routing and scheduling.
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
  // Return whether the directory changed. A list older than the current one is
  // ignored, because responses of the platform may arrive out of order.
  bool SetList(const InstanceList& list);
  bool SetDrains(const std::set<std::string>& drains);

  // An instance is leaving when the list or a drain says so.
  std::vector<ExecutorInfo> executors() const;
  std::vector<WorkerInfo> workers() const;
  // All instances, with drains applied, sorted by name.
  const std::vector<Instance>& instances() const { return instances_; }
  // Whether a list has been received.
  bool has_list() const { return has_list_; }

 private:
  bool Rebuild();

  InstanceList list_;
  std::set<std::string> drains_;
  // list_ with drains_ applied.
  std::vector<Instance> instances_;
  bool has_list_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_INSTANCES_INSTANCE_DIRECTORY_H_
