// Whether guarantees fit together and whether a job can ever run.
#include "scheduling/cluster_model.h"
#include "scheduling/job_scheduler.h"
#include "scheduling/placement_search.h"

namespace thornplank {
namespace {

const AccountGuarantee* FindAccount(
    const std::vector<AccountGuarantee>& guarantees, const std::string& name) {
  for (const AccountGuarantee& guarantee : guarantees) {
    if (guarantee.account == name) return &guarantee;
  }
  return nullptr;
}

std::string CannotHold(const Shape& shape, const ClusterModel& cluster) {
  if (shape.accelerators_per_member > cluster.largest_worker()) {
    return "a member needs " + std::to_string(shape.accelerators_per_member) +
           " accelerators and the largest worker has " +
           std::to_string(cluster.largest_worker());
  }
  if (shape.accelerators() > cluster.total_capacity()) {
    return "it needs " + std::to_string(shape.accelerators()) +
           " accelerators and all workers together have " +
           std::to_string(cluster.total_capacity());
  }
  if (shape.adjacency == Adjacency::kRack) {
    return "no rack holds " + shape.ToString();
  }
  return "the workers do not hold " + shape.ToString();
}

}  // namespace

std::optional<std::string> CheckJobCanEverRun(
    const JobSpec& job, const std::vector<WorkerInfo>& workers,
    const std::vector<AccountGuarantee>& guarantees) {
  if (job.shape.members <= 0 || job.shape.accelerators_per_member <= 0) {
    return "members and accelerators must be at least 1";
  }
  if (!FindAccount(guarantees, job.account)) {
    return "account " + job.account + " is not declared";
  }
  ClusterModel cluster;
  cluster.SetWorkers(workers);
  const std::optional<Placement> placement = FindPlacement(
      cluster, job.shape, cluster.CapacityRoom(), NoPlacementCost());
  if (!placement) return CannotHold(job.shape, cluster);
  return std::nullopt;
}

std::optional<std::string> CheckGuaranteesFit(
    const std::vector<WorkerInfo>& workers,
    const std::vector<AccountGuarantee>& guarantees) {
  ClusterModel cluster;
  cluster.SetWorkers(workers);
  Room room = cluster.CapacityRoom();
  for (const AccountGuarantee& guarantee : guarantees) {
    for (const GuaranteedShape& guaranteed : guarantee.shapes) {
      for (int i = 0; i < guaranteed.count; ++i) {
        const std::optional<Placement> placement =
            FindPlacement(cluster, guaranteed.shape, room, NoPlacementCost());
        if (!placement) {
          return guarantee.account + ": no room left for " +
                 guaranteed.shape.ToString();
        }
        TakeRoom(*placement, guaranteed.shape, &room);
      }
    }
  }
  return std::nullopt;
}

}  // namespace thornplank
