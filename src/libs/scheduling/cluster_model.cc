#include "scheduling/cluster_model.h"

#include <algorithm>

namespace thornplank {

void ClusterModel::SetWorkers(const std::vector<WorkerInfo>& workers) {
  for (Worker& worker : workers_) worker.present = false;
  for (std::vector<WorkerIndex>& rack : racks_) rack.clear();
  for (const WorkerInfo& info : workers) {
    const auto [entry, is_new] = worker_by_name_.emplace(info.name, size());
    if (is_new) workers_.emplace_back();
    Worker& worker = workers_[entry->second];
    if (worker.present) continue;  // duplicate name: the first entry counts
    worker.info = info;
    worker.rack = RackIndex(info.rack);
    worker.present = true;
    racks_[worker.rack].push_back(entry->second);
  }
}

WorkerIndex ClusterModel::Find(const std::string& name) const {
  const auto found = worker_by_name_.find(name);
  return found == worker_by_name_.end() ? kNoWorker : found->second;
}

int ClusterModel::capacity(WorkerIndex index) const {
  const Worker& worker = workers_[index];
  const bool usable = worker.present && !worker.info.leaving && !worker.lost &&
                      !worker.quarantined;
  return usable ? worker.info.accelerators : 0;
}

int ClusterModel::free(WorkerIndex index) const {
  return std::max(0, unheld(index) - workers_[index].claimed);
}

int ClusterModel::unheld(WorkerIndex index) const {
  const Worker& worker = workers_[index];
  if (worker.refusing) return 0;
  return std::max(0, capacity(index) - worker.held - worker.untracked_held);
}

int ClusterModel::total_capacity() const {
  int total = 0;
  for (WorkerIndex i = 0; i < size(); ++i) total += capacity(i);
  return total;
}

int ClusterModel::total_free() const {
  int total = 0;
  for (WorkerIndex i = 0; i < size(); ++i) total += free(i);
  return total;
}

int ClusterModel::largest_worker() const {
  int largest = 0;
  for (WorkerIndex i = 0; i < size(); ++i) {
    largest = std::max(largest, capacity(i));
  }
  return largest;
}

AcceleratorsByWorker ClusterModel::FreeByWorker() const {
  AcceleratorsByWorker room(workers_.size());
  for (WorkerIndex i = 0; i < size(); ++i) room[i] = free(i);
  return room;
}

AcceleratorsByWorker ClusterModel::CapacityByWorker() const {
  AcceleratorsByWorker room(workers_.size());
  for (WorkerIndex i = 0; i < size(); ++i) room[i] = capacity(i);
  return room;
}

void ClusterModel::Hold(WorkerIndex worker, int accelerators) {
  workers_[worker].held += accelerators;
}

void ClusterModel::Release(WorkerIndex worker, int accelerators) {
  workers_[worker].held -= accelerators;
}

void ClusterModel::Claim(WorkerIndex worker, int accelerators) {
  workers_[worker].claimed += accelerators;
}

void ClusterModel::Unclaim(WorkerIndex worker, int accelerators) {
  workers_[worker].claimed -= accelerators;
}

void ClusterModel::SetUntrackedHeld(WorkerIndex worker, int accelerators) {
  workers_[worker].untracked_held = accelerators;
}

bool ClusterModel::leaving(WorkerIndex index) const {
  return !workers_[index].present || workers_[index].info.leaving;
}

bool ClusterModel::present(WorkerIndex index) const {
  return !leaving(index) && !workers_[index].lost;
}

void ClusterModel::SetLost(WorkerIndex worker, bool lost) {
  workers_[worker].lost = lost;
}

void ClusterModel::SetQuarantined(WorkerIndex worker, bool quarantined) {
  workers_[worker].quarantined = quarantined;
}

void ClusterModel::SetRefusing(WorkerIndex worker, bool refusing) {
  workers_[worker].refusing = refusing;
}

int ClusterModel::RackIndex(const std::string& name) {
  const auto [entry, is_new] =
      rack_by_name_.emplace(name, static_cast<int>(racks_.size()));
  if (is_new) racks_.emplace_back();
  return entry->second;
}

}  // namespace thornplank
