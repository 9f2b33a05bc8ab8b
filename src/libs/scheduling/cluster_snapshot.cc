#include "scheduling/cluster_snapshot.h"

#include <algorithm>

namespace thornplank {
namespace {

bool IsHeld(const MemberRecord& record) {
  return record.state != MemberState::kGone;
}

}  // namespace

ClusterSnapshot::ClusterSnapshot(const SchedulerState& state, Time now)
    : total_capacity(state.cluster.total_capacity()) {
  gangs.reserve(state.gangs.gangs().size());
  for (const auto& entry : state.gangs.gangs()) {
    const Gang& gang = *entry.second;
    const JobRecord* job = state.FindJob(gang.job());
    GangView view;
    view.gang = &gang;
    view.borrower = !job || !job->allocation;
    view.urgent = job && job->spec.priority == Priority::kUrgent;
    view.stopping = gang.phase == JobPhase::kCheckpointing ||
                    gang.phase == JobPhase::kStopping;
    view.expected_end = state.ExpectedEnd(gang, now);
    if (view.borrower) borrowed[gang.account()] += gang.accelerators();
    gangs.push_back(view);
  }
  for (const auto& entry : state.accounts) total_weight += entry.second.weight;
}

double ClusterSnapshot::BorrowedToShareRatio(const SchedulerState& state,
                                             const std::string& account) const {
  const auto found = borrowed.find(account);
  if (found == borrowed.end()) return 0;
  const double weight = state.Account(account).weight;
  const double all = std::max(total_weight, weight);
  const double share = total_capacity * weight / all;
  return share > 0 ? found->second / share : 0;
}

std::vector<ExpectedRelease> ClusterSnapshot::Releases() const {
  std::vector<ExpectedRelease> releases;
  for (const GangView& view : gangs) {
    for (const MemberRecord& record : view.gang->members()) {
      if (!IsHeld(record)) continue;
      releases.push_back(
          {view.expected_end, record.worker, record.member.accelerators});
    }
  }
  return releases;
}

AcceleratorsByWorker ClusterSnapshot::InUseAt(const ClusterModel& cluster,
                                              Time at) const {
  AcceleratorsByWorker in_use(cluster.size());
  for (WorkerIndex i = 0; i < cluster.size(); ++i) {
    in_use[i] = cluster.claimed(i);
  }
  for (const GangView& view : gangs) {
    if (view.expected_end <= at) continue;
    for (const MemberRecord& record : view.gang->members()) {
      if (IsHeld(record)) {
        in_use[record.worker] += record.member.accelerators;
      }
    }
  }
  return in_use;
}

AcceleratorsByWorker ClusterSnapshot::Reclaimable(const ClusterModel& cluster,
                                                  bool urgent_too) const {
  AcceleratorsByWorker room(cluster.size(), 0);
  for (const GangView& view : gangs) {
    if (!view.borrower && !view.stopping) continue;
    if (view.urgent && !view.stopping && !urgent_too) continue;
    for (const MemberRecord& record : view.gang->members()) {
      if (!IsHeld(record) || cluster.capacity(record.worker) == 0) continue;
      room[record.worker] += record.member.accelerators;
    }
  }
  return room;
}

std::vector<Time> ClusterSnapshot::RackEndTimes(const ClusterModel& cluster,
                                                Time now) const {
  std::vector<Time> ends(cluster.rack_count(), now);
  for (const GangView& view : gangs) {
    for (const MemberRecord& record : view.gang->members()) {
      Time& end = ends[cluster.rack_of(record.worker)];
      if (IsHeld(record)) end = std::max(end, view.expected_end);
    }
  }
  return ends;
}

std::vector<double> ClusterSnapshot::DisplacementCost(
    const SchedulerState& state, Time now) const {
  std::vector<double> lost(state.cluster.size(), 0);
  std::vector<int> held(state.cluster.size(), 0);
  for (const GangView& view : gangs) {
    if (!view.borrower || view.stopping) continue;
    const double work_lost = state.WorkLost(*view.gang, now);
    for (const MemberRecord& record : view.gang->members()) {
      if (!IsHeld(record)) continue;
      lost[record.worker] += work_lost;
      held[record.worker] += record.member.accelerators;
    }
  }
  for (WorkerIndex i = 0; i < state.cluster.size(); ++i) {
    if (held[i] > 0) lost[i] /= held[i];
  }
  return lost;
}

}  // namespace thornplank
