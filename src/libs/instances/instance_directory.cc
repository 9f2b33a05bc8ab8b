// Merges the list with the drains and converts it for routing and scheduling.
#include "instances/instance_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace thornplank {
namespace {

auto AsTuple(const Instance& instance) {
  return std::tie(instance.name, instance.kind, instance.address,
                  instance.failure_domain, instance.leaving, instance.rack,
                  instance.accelerators, instance.cores, instance.memory_mb,
                  instance.service, instance.slots);
}

bool AreEqual(const std::vector<Instance>& a, const std::vector<Instance>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const Instance& left, const Instance& right) {
                      return AsTuple(left) == AsTuple(right);
                    });
}

}  // namespace

bool InstanceDirectory::SetList(const InstanceList& list) {
  if (has_list_ && list.as_of < list_.as_of) return false;
  const bool first = !has_list_;
  has_list_ = true;
  list_ = list;
  return Rebuild() || first;
}

bool InstanceDirectory::SetDrains(const std::set<std::string>& drains) {
  drains_ = drains;
  return Rebuild();
}

bool InstanceDirectory::Rebuild() {
  std::vector<Instance> merged = list_.instances;
  for (Instance& instance : merged) {
    if (drains_.count(instance.name) > 0) instance.leaving = true;
  }
  std::sort(
      merged.begin(), merged.end(),
      [](const Instance& a, const Instance& b) { return a.name < b.name; });
  if (AreEqual(merged, instances_)) return false;
  instances_ = std::move(merged);
  return true;
}

std::vector<ExecutorInfo> InstanceDirectory::executors() const {
  std::vector<ExecutorInfo> result;
  for (const Instance& instance : instances_) {
    if (instance.kind != InstanceKind::kExecutor) continue;
    ExecutorInfo executor;
    executor.name = instance.name;
    executor.address = instance.address;
    executor.service = instance.service;
    executor.failure_domain = instance.failure_domain;
    executor.slots = instance.slots;
    executor.leaving = instance.leaving;
    result.push_back(std::move(executor));
  }
  return result;
}

std::vector<WorkerInfo> InstanceDirectory::workers() const {
  std::vector<WorkerInfo> result;
  for (const Instance& instance : instances_) {
    if (instance.kind != InstanceKind::kWorker) continue;
    WorkerInfo worker;
    worker.name = instance.name;
    worker.address = instance.address;
    worker.rack = instance.rack;
    worker.failure_domain = instance.failure_domain;
    worker.accelerators = instance.accelerators;
    worker.cores = instance.cores;
    worker.memory_mb = instance.memory_mb;
    worker.leaving = instance.leaving;
    result.push_back(std::move(worker));
  }
  return result;
}

}  // namespace thornplank
