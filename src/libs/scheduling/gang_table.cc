#include "scheduling/gang_table.h"

namespace thornplank {

GangTable::GangTable(ClusterModel& cluster) : cluster_(cluster) {}

Gang& GangTable::Add(std::unique_ptr<Gang> gang) {
  Gang& added = *gang;
  for (int i = 0; i < added.size(); ++i) {
    const MemberRecord& record = added.members()[i];
    leases_[record.member.lease_id] = {&added, i};
    if (record.state == MemberState::kGone) continue;
    cluster_.Hold(record.worker, record.member.accelerators);
    ++members_by_worker_[record.worker][added.id()];
  }
  gangs_[added.id()] = std::move(gang);
  return added;
}

Gang* GangTable::Find(const std::string& gang_id) {
  const auto found = gangs_.find(gang_id);
  return found == gangs_.end() ? nullptr : found->second.get();
}

const Gang* GangTable::Find(const std::string& gang_id) const {
  const auto found = gangs_.find(gang_id);
  return found == gangs_.end() ? nullptr : found->second.get();
}

std::pair<Gang*, int> GangTable::FindLease(const std::string& lease_id) {
  const auto found = leases_.find(lease_id);
  if (found == leases_.end()) return {nullptr, 0};
  return found->second;
}

bool GangTable::SetState(Gang& gang, int member, MemberState state, Time now) {
  const MemberRecord& record = gang.members()[member];
  if (record.state == MemberState::kGone) return false;
  if (state == MemberState::kGone) {
    cluster_.Release(record.worker, record.member.accelerators);
    std::map<std::string, int>& held = members_by_worker_[record.worker];
    if (--held[gang.id()] == 0) held.erase(gang.id());
  }
  gang.SetState(member, state, now);
  return true;
}

void GangTable::Remove(const std::string& gang_id) {
  const auto found = gangs_.find(gang_id);
  if (found == gangs_.end()) return;
  for (const MemberRecord& record : found->second->members()) {
    leases_.erase(record.member.lease_id);
  }
  gangs_.erase(found);
}

std::vector<std::string> GangTable::GangsOn(WorkerIndex worker) const {
  std::vector<std::string> ids;
  const auto held = members_by_worker_.find(worker);
  if (held == members_by_worker_.end()) return ids;
  for (const auto& [id, count] : held->second) ids.push_back(id);
  return ids;
}

}  // namespace thornplank
