// Checks whether guarantees can be honoured together and whether a job can ever
// run.
#include "scheduling/cluster_model.h"
#include "scheduling/guarantee_placement.h"
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

// A leaving worker may be declared as staying again, so it counts as staying.
std::vector<WorkerInfo> AssumeStaying(std::vector<WorkerInfo> workers) {
  for (WorkerInfo& worker : workers) worker.leaving = false;
  return workers;
}

std::string InfeasibleReason(const Shape& shape, const ClusterModel& cluster) {
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

bool IsValidShape(const Shape& shape) {
  return shape.members > 0 && shape.accelerators_per_member > 0;
}

// Whether the guarantee of the account could hold the job.
bool GuaranteeCanHold(const JobSpec& job, const AccountGuarantee& account,
                      const ClusterModel& cluster) {
  GuaranteePlacement placement(cluster, 0);
  std::vector<CellDemand> demands;
  for (const GuaranteedShape& shape : account.shapes) {
    demands.push_back({{account.account, ""}, shape});
  }
  placement.SetDemands(demands);
  return placement.CanEverHold({account.account, ""}, job.shape);
}

}  // namespace

std::optional<std::string> CheckJobCanEverRun(
    const JobSpec& job, const std::vector<WorkerInfo>& workers,
    const std::vector<AccountGuarantee>& guarantees) {
  if (!IsValidShape(job.shape)) {
    return "members and accelerators must be at least 1";
  }
  const AccountGuarantee* account = FindAccount(guarantees, job.account);
  if (!account) return "account " + job.account + " is not declared";
  ClusterModel cluster;
  cluster.SetWorkers(AssumeStaying(workers));
  if (!Fits(cluster, job.shape, cluster.CapacityByWorker())) {
    return InfeasibleReason(job.shape, cluster);
  }
  // Jobs of an event may also use the shapes reserved for the event.
  if (account->borrowing || !job.event.empty()) return std::nullopt;
  if (GuaranteeCanHold(job, *account, cluster)) return std::nullopt;
  return "account " + job.account + " may not borrow and its guarantee does " +
         "not hold " + job.shape.ToString();
}

std::optional<std::string> CheckGuaranteesFit(
    const std::vector<WorkerInfo>& workers,
    const std::vector<AccountGuarantee>& guarantees) {
  ClusterModel cluster;
  cluster.SetWorkers(AssumeStaying(workers));
  std::vector<CellDemand> demands;
  for (const AccountGuarantee& guarantee : guarantees) {
    for (const GuaranteedShape& guaranteed : guarantee.shapes) {
      if (!IsValidShape(guaranteed.shape) || guaranteed.count < 0) {
        return guarantee.account +
               ": members and accelerators must be at least 1";
      }
      if (!Fits(cluster, guaranteed.shape, cluster.CapacityByWorker())) {
        return guarantee.account + ": " +
               InfeasibleReason(guaranteed.shape, cluster);
      }
      demands.push_back({{guarantee.account, ""}, guaranteed});
    }
  }
  GuaranteePlacement placement(cluster, 0);
  placement.SetDemands(demands);
  for (const AccountGuarantee& guarantee : guarantees) {
    const std::string text = placement.Shortfall({guarantee.account, ""});
    if (!text.empty()) {
      return "the guarantees do not fit together: " + guarantee.account + ": " +
             text;
    }
  }
  return std::nullopt;
}

}  // namespace thornplank
