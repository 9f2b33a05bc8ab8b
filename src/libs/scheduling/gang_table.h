// Every gang that may hold a lease, and which accelerators they hold.
//
// Invariant: for each member that is not gone, its accelerators are held in
// the cluster model; a gang leaves the table when all its members are gone.
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
  // `cluster` outlives the table.
  explicit GangTable(ClusterModel& cluster);

  // Takes the gang in and holds its accelerators.
  Gang& Add(std::unique_ptr<Gang> gang);
  Gang* Find(const std::string& gang_id);
  const Gang* Find(const std::string& gang_id) const;
  // The gang and position of a member, or {nullptr, 0}.
  std::pair<Gang*, int> FindLease(const std::string& lease_id);
  // Releases the accelerators when `state` is kGone. Returns false when the
  // member was already gone.
  bool SetState(Gang& gang, int member, MemberState state, Time now);
  // Takes out a gang whose members are all gone.
  void Remove(const std::string& gang_id);

  // In the order of gang ids, so that decisions are reproducible.
  const std::map<std::string, std::unique_ptr<Gang>>& gangs() const {
    return gangs_;
  }
  // Ids of gangs with a member that may be held on `worker`.
  std::vector<std::string> GangsOn(WorkerIndex worker) const;

 private:
  ClusterModel& cluster_;
  std::map<std::string, std::unique_ptr<Gang>> gangs_;
  std::unordered_map<std::string, std::pair<Gang*, int>> leases_;
  // By worker, how many members of each gang may be held there.
  // Invariant: no count is 0.
  std::unordered_map<WorkerIndex, std::map<std::string, int>>
      members_by_worker_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GANG_TABLE_H_
