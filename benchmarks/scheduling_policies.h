// The jobs and the policies that bench_scheduling compares: the job scheduler,
// and simple ones that place by first fit or best fit in arrival order.
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
constexpr int kPerRack = 6;
constexpr int kSize = 8;

struct TraceJob {
  JobSpec spec;
  double submit = 0;  // seconds
  double run = 0;     // seconds
  bool large = false;
};

class Policy {
 public:
  virtual ~Policy() = default;
  // A start on the given workers, or with none an order to save and stop.
  struct Start {
    std::string job;
    std::vector<std::string> workers;
  };
  virtual std::vector<Start> Submit(const TraceJob& job, Time now) = 0;
  virtual std::vector<Start> Finished(const std::string& job, Time now) = 0;
  virtual std::vector<Start> Saved(const std::string&, Time) { return {}; }
  virtual std::vector<Start> Tick(Time) { return {}; }
};

// Waiting jobs in the order of their arrival, placed by first fit or best fit;
// `skips` lets later jobs pass one that does not fit.
class ArrivalOrder : public Policy {
 public:
  ArrivalOrder(std::vector<WorkerInfo> workers, bool best_fit, bool skips)
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

class Scheduled : public Policy {
 public:
  Scheduled(const std::vector<WorkerInfo>& workers, double fragmentation_weight)
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
    return Answer(scheduler_.Submit(job.spec, now), now);
  }
  std::vector<Start> Finished(const std::string& job, Time now) override {
    return AnswerAll(job, MemberOutcome::kFinished, now);
  }
  std::vector<Start> Saved(const std::string& job, Time now) override {
    return Answer(scheduler_.CheckpointDone(job, grants_[job].gang_id, now),
                  now);
  }
  std::vector<Start> Tick(Time now) override {
    return Answer(scheduler_.Tick(now), now);
  }

 private:
  static SchedulerOptions Options() {
    SchedulerOptions options;
    // The jobs are shortened, and so is the bound.
    options.large_job_wait_bound = std::chrono::seconds(5);
    options.large_job_share = 16.0 / (kRacks * kPerRack * kSize);
    return options;
  }
  std::vector<Start> AnswerAll(const std::string& job, MemberOutcome outcome,
                               Time now) {
    std::vector<Start> starts;
    const GrantGang grant = grants_[job];
    for (const GangMember& member : grant.members) {
      for (Start& start :
           Answer(scheduler_.MemberResult(job, grant.gang_id, member.lease_id,
                                          outcome, "", now),
                  now)) {
        starts.push_back(std::move(start));
      }
    }
    return starts;
  }
  std::vector<Start> Answer(const SchedulerActions& actions, Time now) {
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
        add(AnswerAll(grant->job, MemberOutcome::kConfirmed, now));
      } else if (const auto* stop = std::get_if<StopGang>(&action)) {
        add(AnswerAll(stop->job, MemberOutcome::kGone, now));
      } else if (const auto* save = std::get_if<CheckpointGang>(&action)) {
        starts.push_back({save->job, {}});
      }
    }
    return starts;
  }

  JobScheduler scheduler_;
  std::map<std::string, GrantGang> grants_;
};

}  // namespace thornplank

#endif  // THORNPLANK_BENCHMARKS_SCHEDULING_POLICIES_H_
