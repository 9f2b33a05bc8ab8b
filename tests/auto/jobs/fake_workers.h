// Fake workers without sockets: lease tables with fencing tokens that answer
// WorkerCalls immediately, as the worker protocol specifies.
#ifndef THORNPLANK_TESTS_JOBS_FAKE_WORKERS_H_
#define THORNPLANK_TESTS_JOBS_FAKE_WORKERS_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/worker_call.h"

namespace thornplank {

struct FakeAnswer {
  std::optional<WorkerReport> report;
  WorkerRefusal refusal = WorkerRefusal::kNone;
};

class FakeWorkers {
 public:
  struct Worker {
    int accelerators = 8;
    FencingToken newest;
    std::map<std::string, LeaseReport> leases;
  };

  FakeAnswer Answer(const WorkerCall& call) {
    calls.push_back(call);
    if (silent.count(call.worker) > 0) {
      return {std::nullopt, WorkerRefusal::kUnreachable};
    }
    FakeAnswer answer = Apply(call);
    // The call took effect, but its reply is lost.
    if (losing_replies.count(call.worker) > 0) {
      return {std::nullopt, WorkerRefusal::kUnreachable};
    }
    return answer;
  }

  // The state of every lease of `job`, on all workers.
  std::vector<LeaseState> StatesOf(const std::string& job) const {
    std::vector<LeaseState> states;
    for (const auto& [name, worker] : workers) {
      for (const auto& [id, lease] : worker.leases) {
        if (lease.job_id == job) states.push_back(lease.state);
      }
    }
    return states;
  }

  void SetAll(const std::string& job, LeaseState state) {
    for (auto& [name, worker] : workers) {
      for (auto& [id, lease] : worker.leases) {
        if (lease.job_id == job) lease.state = state;
      }
    }
  }

  int count(WorkerCall::Kind kind) const {
    return static_cast<int>(
        std::count_if(calls.begin(), calls.end(),
                      [kind](const auto& call) { return call.kind == kind; }));
  }

  // By name.
  std::map<std::string, Worker> workers;
  // Names of the workers that behave in a certain way.
  std::set<std::string> silent;
  std::set<std::string> losing_replies;
  std::set<std::string> refusing_grants;
  // Workers at which checkpoints begin but never complete.
  std::set<std::string> hung_checkpoints;
  // The progress that the leases of a worker report after their checkpoint.
  std::map<std::string, Duration> progress;
  // All calls so far.
  std::vector<WorkerCall> calls;

 private:
  FakeAnswer Apply(const WorkerCall& call) {
    Worker& worker = workers[call.worker];
    if (call.token < worker.newest) {
      return {std::nullopt, WorkerRefusal::kStaleToken};
    }
    worker.newest = call.token;
    if (call.kind == WorkerCall::Kind::kGrant) {
      if (refusing_grants.count(call.worker) > 0) {
        return {std::nullopt, WorkerRefusal::kNoRoom};
      }
      for (const LeaseRequest& lease : call.leases) {
        worker.leases.emplace(
            lease.lease_id,
            LeaseReport{lease.lease_id, lease.gang_id, lease.job_id,
                        lease.account, LeaseState::kThrottled,
                        lease.accelerators, "", std::nullopt});
      }
    }
    for (const std::string& id : call.lease_ids) {
      const auto lease = worker.leases.find(id);
      if (lease == worker.leases.end()) continue;
      if (call.kind == WorkerCall::Kind::kLiftThrottle) {
        lease->second.state = LeaseState::kRunning;
      }
      if (call.kind == WorkerCall::Kind::kCheckpoint) {
        const bool hangs = hung_checkpoints.count(call.worker) > 0;
        lease->second.state =
            hangs ? LeaseState::kCheckpointing : LeaseState::kCheckpointed;
        const auto done = progress.find(call.worker);
        if (done != progress.end()) lease->second.progress = done->second;
      }
      if (call.kind == WorkerCall::Kind::kStop) worker.leases.erase(lease);
    }
    WorkerReport report;
    report.worker = call.worker;
    report.newest_token = worker.newest;
    report.accelerators = worker.accelerators;
    for (const auto& [id, lease] : worker.leases) {
      report.leases.push_back(lease);
    }
    return {report, WorkerRefusal::kNone};
  }
};

inline std::vector<WorkerInfo> WorkerList(int count) {
  std::vector<WorkerInfo> workers;
  for (int i = 1; i <= count; ++i) {
    WorkerInfo worker;
    worker.name = "w" + std::to_string(i);
    worker.address = "127.0.0.1:" + std::to_string(9000 + i);
    worker.rack = "r1";
    worker.failure_domain = "d1";
    worker.accelerators = 8;
    worker.cores = 64;
    worker.memory_mb = 250000;
    workers.push_back(worker);
  }
  return workers;
}

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_JOBS_FAKE_WORKERS_H_
