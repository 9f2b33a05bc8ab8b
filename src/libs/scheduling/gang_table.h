// All gangs that may hold a lease.
//
// Invariant: the accelerators of each member that is not gone are held in the
// cluster model. A gang is removed when all its members are gone.
#ifndef THORNPLANK_SCHEDULING_GANG_TABLE_H_
#define THORNPLANK_SCHEDULING_GANG_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduling/cluster_model.h"
#include "scheduling/gang.h"

namespace thornplank {

class GangTable {
 public:
  // `cluster` must outlive the table.
  explicit GangTable(ClusterModel& cluster);

  // Adds the gang and holds its accelerators in the cluster model.
  Gang& Add(std::unique_ptr<Gang> gang);
  Gang* Find(const std::string& gang_id);
  const Gang* Find(const std::string& gang_id) const;
  // The gang that has the lease and the index of its member, or {nullptr, 0}.
  std::pair<Gang*, int> FindLease(const std::string& lease_id);
  // Releases the accelerators if `state` is kGone. Returns false and changes
  // nothing if the member is already gone.
  bool SetState(Gang& gang, int member, MemberState state, Time now);
  // Removes a gang whose members are all gone.
  void Remove(const std::string& gang_id);

  // Ordered by gang id, so that decisions are reproducible.
  const std::map<std::string, std::unique_ptr<Gang>>& gangs() const {
    return gangs_;
  }
  // Ids of the gangs with a member on `worker` that is not gone.
  std::vector<std::string> GangsOn(WorkerIndex worker) const;

 private:
  ClusterModel& cluster_;
  std::map<std::string, std::unique_ptr<Gang>> gangs_;
  // Gang and index of its member, by lease id.
  std::unordered_map<std::string, std::pair<Gang*, int>> leases_;
  // For each worker, the number of members of each gang on it that are not
  // gone. Invariant: no count is 0.
  std::unordered_map<WorkerIndex, std::map<std::string, int>>
      members_by_worker_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GANG_TABLE_H_
