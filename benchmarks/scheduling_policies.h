// Scheduling policies that bench_scheduling compares: the job scheduler, and
// simple policies that place jobs by first fit or best fit in arrival order.
#ifndef THORNPLANK_BENCHMARKS_SCHEDULING_POLICIES_H_
#define THORNPLANK_BENCHMARKS_SCHEDULING_POLICIES_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/job_scheduler.h"
#include "scheduling/placement_search.h"

namespace thornplank {

constexpr int kRacks = 8;
constexpr int kWorkersPerRack = 6;
constexpr int kAcceleratorsPerWorker = 8;

// A job of the trace that all policies run. Times are in seconds.
struct TraceJob {
  JobSpec spec;
  double submit_time = 0;
  double run_time = 0;
  bool large = false;
};

// Decides when and where jobs start. Each function reports an event and returns
// the actions that follow from it.
class Policy {
 public:
  virtual ~Policy() = default;
  // Starts the job with one member on each of `workers`. If there are none, the
  // running job must be checkpointed and stopped.
  struct Start {
    std::string job;
    std::vector<std::string> workers;
  };
  virtual std::vector<Start> Submit(const TraceJob& job, Time now) = 0;
  virtual std::vector<Start> Finished(const std::string& job, Time now) = 0;
  virtual std::vector<Start> Checkpointed(const std::string&, Time) {
    return {};
  }
  virtual std::vector<Start> Tick(Time) { return {}; }
};

// Places waiting jobs in the order of their arrival, by first fit or best fit.
// If `skips` is set, jobs may overtake a job that does not fit.
class ArrivalOrderPolicy : public Policy {
 public:
  ArrivalOrderPolicy(std::vector<WorkerInfo> workers, bool best_fit, bool skips)
      : best_fit_(best_fit), skips_(skips) {
    cluster_.SetWorkers(workers);
  }
  std::vector<Start> Submit(const TraceJob& job, Time) override {
    waiting_.push_back(job.spec);
    return Place();
  }
  std::vector<Start> Finished(const std::string& job, Time) override {
    for (const auto& [worker, accelerators] : held_[job]) {
      cluster_.Release(worker, accelerators);
    }
    held_.erase(job);
    return Place();
  }

 private:
  std::optional<Placement> Find(const Shape& shape) const {
    const AcceleratorsByWorker room = cluster_.FreeByWorker();
    if (best_fit_) {
      return FindPlacement(cluster_, shape, room, NoPlacementCost());
    }
    return FirstFit(shape, room);
  }
  std::optional<Placement> FirstFit(const Shape& shape,
                                    const AcceleratorsByWorker& room) const {
    Placement placement;
    int missing = shape.members;
    for (int rack = 0; rack < cluster_.rack_count(); ++rack) {
      if (shape.adjacency == Adjacency::kRack) {
        placement.clear();
        missing = shape.members;
      }
      for (const WorkerIndex worker : cluster_.rack(rack)) {
        const int slots =
            std::min(missing, room[worker] / shape.accelerators_per_member);
        if (slots > 0) placement.push_back({worker, slots});
        missing -= slots;
        if (missing == 0) return placement;
      }
    }
    return std::nullopt;
  }
  std::vector<Start> Place() {
    std::vector<Start> starts;
    for (auto job = waiting_.begin(); job != waiting_.end();) {
      const std::optional<Placement> placement = Find(job->shape);
      if (!placement) {
        if (!skips_) break;
        ++job;
        continue;
      }
      Start start{job->id, {}};
      for (const WorkerIndex worker : MemberWorkers(*placement)) {
        cluster_.Hold(worker, job->shape.accelerators_per_member);
        held_[job->id].push_back({worker, job->shape.accelerators_per_member});
        start.workers.push_back(cluster_.info(worker).name);
      }
      starts.push_back(std::move(start));
      job = waiting_.erase(job);
    }
    return starts;
  }

  ClusterModel cluster_;
  const bool best_fit_;
  const bool skips_;
  std::vector<JobSpec> waiting_;
  std::map<std::string, std::vector<std::pair<WorkerIndex, int>>> held_;
};

// Runs the job scheduler. Members are confirmed and leases released at once.
class SchedulerPolicy : public Policy {
 public:
  SchedulerPolicy(const std::vector<WorkerInfo>& workers,
                  double fragmentation_weight)
      : scheduler_(Options()) {
    std::vector<AccountGuarantee> accounts;
    for (int i = 0; i < 6; ++i) {
      AccountGuarantee account;
      account.account = "a" + std::to_string(i);
      account.fragmentation_weight = fragmentation_weight;
      accounts.push_back(account);
    }
    scheduler_.SetWorkers(workers, Time());
    scheduler_.SetGuarantees(accounts, Time());
    scheduler_.Tick(Time());
  }
  std::vector<Start> Submit(const TraceJob& job, Time now) override {
    return ApplyActions(scheduler_.Submit(job.spec, now), now);
  }
  std::vector<Start> Finished(const std::string& job, Time now) override {
    return ReportMembers(job, MemberOutcome::kFinished, now);
  }
  std::vector<Start> Checkpointed(const std::string& job, Time now) override {
    return ApplyActions(
        scheduler_.CheckpointDone(job, grants_[job].gang_id, now), now);
  }
  std::vector<Start> Tick(Time now) override {
    return ApplyActions(scheduler_.Tick(now), now);
  }

 private:
  static SchedulerOptions Options() {
    SchedulerOptions options;
    // Shortened like the run times of the jobs.
    options.large_job_wait_bound = std::chrono::seconds(5);
    options.large_job_share =
        16.0 / (kRacks * kWorkersPerRack * kAcceleratorsPerWorker);
    return options;
  }
  std::vector<Start> ReportMembers(const std::string& job,
                                   MemberOutcome outcome, Time now) {
    std::vector<Start> starts;
    const GrantGang grant = grants_[job];
    for (const GangMember& member : grant.members) {
      for (Start& start : ApplyActions(
               scheduler_.MemberResult(job, grant.gang_id, member.lease_id,
                                       outcome, "", now),
               now)) {
        starts.push_back(std::move(start));
      }
    }
    return starts;
  }
  std::vector<Start> ApplyActions(const SchedulerActions& actions, Time now) {
    std::vector<Start> starts;
    const auto add = [&starts](std::vector<Start> more) {
      starts.insert(starts.end(), more.begin(), more.end());
    };
    for (const SchedulerAction& action : actions) {
      if (const auto* grant = std::get_if<GrantGang>(&action)) {
        grants_[grant->job] = *grant;
        Start start{grant->job, {}};
        for (const GangMember& member : grant->members) {
          start.workers.push_back(member.worker);
        }
        starts.push_back(std::move(start));
        add(ReportMembers(grant->job, MemberOutcome::kConfirmed, now));
      } else if (const auto* stop = std::get_if<StopGang>(&action)) {
        add(ReportMembers(stop->job, MemberOutcome::kGone, now));
      } else if (const auto* checkpoint =
                     std::get_if<CheckpointGang>(&action)) {
        starts.push_back({checkpoint->job, {}});
      }
    }
    return starts;
  }

  JobScheduler scheduler_;
  std::map<std::string, GrantGang> grants_;
};

}  // namespace thornplank

#endif  // THORNPLANK_BENCHMARKS_SCHEDULING_POLICIES_H_
