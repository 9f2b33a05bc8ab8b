// The workers as the scheduler accounts for them: racks, accelerators held by
// leases and accelerators claimed by plans.
//
// The accounting follows the scheduler's own decisions, not reported usage: an
// accelerator is held from the decision to grant a lease until the lease is
// proved to be gone. The exceptions are leases that a worker reports and the
// scheduler does not know.
#ifndef THORNPLANK_SCHEDULING_CLUSTER_MODEL_H_
#define THORNPLANK_SCHEDULING_CLUSTER_MODEL_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "scheduling/job_types.h"

namespace thornplank {

// Index of a worker in the model; valid for the lifetime of the model.
using WorkerIndex = int;
inline constexpr WorkerIndex kNoWorker = -1;

// A number of accelerators for each worker, indexed by WorkerIndex.
using AcceleratorsByWorker = std::vector<int>;

// `members` members of a gang on one worker.
struct WorkerShare {
  WorkerIndex worker = kNoWorker;
  int members = 0;
};
// The workers of a gang; each worker appears once.
using Placement = std::vector<WorkerShare>;

class ClusterModel {
 public:
  // Replaces the set of workers. A known worker that is not in `workers` keeps
  // its index and its held accelerators but gets no new gang.
  void SetWorkers(const std::vector<WorkerInfo>& workers);

  WorkerIndex Find(const std::string& name) const;
  int size() const { return static_cast<int>(workers_.size()); }
  const WorkerInfo& info(WorkerIndex worker) const {
    return workers_[worker].info;
  }
  int rack_of(WorkerIndex worker) const { return workers_[worker].rack; }
  int rack_count() const { return static_cast<int>(racks_.size()); }
  const std::vector<WorkerIndex>& rack(int index) const {
    return racks_[index];
  }

  // Accelerators of the worker if it is usable, else 0. A worker is usable if
  // it is declared and neither leaving, lost nor quarantined.
  int capacity(WorkerIndex worker) const;
  // Accelerators that are neither held by a lease, tracked or not, nor claimed.
  int free(WorkerIndex worker) const;
  // Accelerators that no lease holds, whether or not they are claimed.
  int unheld(WorkerIndex worker) const;
  int total_capacity() const;
  int total_free() const;
  // Accelerators of the largest usable worker.
  int largest_worker() const;
  AcceleratorsByWorker FreeByWorker() const;
  AcceleratorsByWorker CapacityByWorker() const;

  // Accounts for the lease of a gang member.
  void Hold(WorkerIndex worker, int accelerators);
  void Release(WorkerIndex worker, int accelerators);
  int held(WorkerIndex worker) const { return workers_[worker].held; }
  int claimed(WorkerIndex worker) const { return workers_[worker].claimed; }
  // Reserves accelerators for a plan that waits for borrowers to stop.
  void Claim(WorkerIndex worker, int accelerators);
  void Unclaim(WorkerIndex worker, int accelerators);
  // Accelerators held by leases that the worker reports and no current gang
  // holds.
  void SetUntrackedHeld(WorkerIndex worker, int accelerators);

  bool leaving(WorkerIndex worker) const;
  bool lost(WorkerIndex worker) const { return workers_[worker].lost; }
  bool quarantined(WorkerIndex worker) const {
    return workers_[worker].quarantined;
  }
  // Whether the worker is declared, not leaving and reachable.
  bool present(WorkerIndex worker) const;
  void SetLost(WorkerIndex worker, bool lost);
  void SetQuarantined(WorkerIndex worker, bool quarantined);
  // A worker that refused a grant although it should have fitted counts as
  // having no free accelerators while `refusing` is set.
  void SetRefusing(WorkerIndex worker, bool refusing);

 private:
  struct Worker {
    WorkerInfo info;
    int rack = 0;
    bool present = false;
    bool lost = false;
    bool quarantined = false;
    bool refusing = false;
    // held + untracked_held may exceed the worker's accelerators temporarily,
    // but only if the worker reports leases that no current gang holds.
    int held = 0;
    int claimed = 0;
    int untracked_held = 0;
  };

  int RackIndex(const std::string& name);

  std::vector<Worker> workers_;
  std::unordered_map<std::string, WorkerIndex> worker_by_name_;
  std::unordered_map<std::string, int> rack_by_name_;
  std::vector<std::vector<WorkerIndex>> racks_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_CLUSTER_MODEL_H_
