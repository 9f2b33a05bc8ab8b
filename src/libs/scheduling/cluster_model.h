// The workers as the scheduler counts them: racks, failure domains, what is
// held by leases and what is claimed by plans.
//
// Counts our own decisions, never reported usage: an accelerator is held from
// the decision to grant until the lease is proved gone.
#ifndef THORNPLANK_SCHEDULING_CLUSTER_MODEL_H_
#define THORNPLANK_SCHEDULING_CLUSTER_MODEL_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "scheduling/job_types.h"

namespace thornplank {

// Position of a worker in the model; stays valid for the model's life.
using WorkerIndex = int;
inline constexpr WorkerIndex kNoWorker = -1;

// Accelerators per worker, by WorkerIndex, that a decision may use.
using AcceleratorsByWorker = std::vector<int>;

// `members` members of a gang on one worker.
struct WorkerShare {
  WorkerIndex worker = kNoWorker;
  int members = 0;
};
// A gang's workers, each named once.
using Placement = std::vector<WorkerShare>;

class ClusterModel {
 public:
  // Replaces the set of workers; a missing one keeps its index and holdings
  // and takes no new gang.
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

  // Accelerators of the worker when it may be used, else 0.
  int capacity(WorkerIndex worker) const;
  // Accelerators that no lease, unknown lease or claim holds.
  int free(WorkerIndex worker) const;
  // The same with what is claimed.
  int unheld(WorkerIndex worker) const;
  int total_capacity() const;
  int total_free() const;
  // Largest accelerators of one usable worker.
  int largest_worker() const;
  AcceleratorsByWorker FreeByWorker() const;
  AcceleratorsByWorker CapacityByWorker() const;

  // A lease of a gang.
  void Hold(WorkerIndex worker, int accelerators);
  void Release(WorkerIndex worker, int accelerators);
  int held(WorkerIndex worker) const { return workers_[worker].held; }
  int claimed(WorkerIndex worker) const { return workers_[worker].claimed; }
  // A plan that waits for borrowers to leave.
  void Claim(WorkerIndex worker, int accelerators);
  void Unclaim(WorkerIndex worker, int accelerators);
  // Leases in the worker's own table that are not ours.
  void SetUnknownHeld(WorkerIndex worker, int accelerators);

  bool leaving(WorkerIndex worker) const;
  bool lost(WorkerIndex worker) const { return workers_[worker].lost; }
  bool quarantined(WorkerIndex worker) const {
    return workers_[worker].quarantined;
  }
  // Whether the worker is declared, staying and reachable.
  bool present(WorkerIndex worker) const;
  void SetLost(WorkerIndex worker, bool lost);
  void SetQuarantined(WorkerIndex worker, bool quarantined);
  // Refused a grant that should have fitted: nothing is free there for now.
  void SetRefusing(WorkerIndex worker, bool refusing);

 private:
  struct Worker {
    WorkerInfo info;
    int rack = 0;
    bool present = false;
    bool lost = false;
    bool quarantined = false;
    bool refusing = false;
    // held + unknown_held may exceed the accelerators for a moment only when
    // the worker itself reports leases that are not ours.
    int held = 0;
    int claimed = 0;
    int unknown_held = 0;
  };

  int RackIndex(const std::string& name);

  std::vector<Worker> workers_;
  std::unordered_map<std::string, WorkerIndex> worker_by_name_;
  std::unordered_map<std::string, int> rack_by_name_;
  std::vector<std::vector<WorkerIndex>> racks_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_CLUSTER_MODEL_H_
