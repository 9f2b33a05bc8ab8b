// A cluster on which urgent jobs of several accounts arrive over time, driven
// round by round with stops and runs that take time.
#ifndef THORNPLANK_TESTS_AUTO_WORKLOAD_BURST_CLUSTER_H_
#define THORNPLANK_TESTS_AUTO_WORKLOAD_BURST_CLUSTER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "planner_cluster.h"

namespace thornplank::testing {

// When urgent jobs arrive, and how much they ask for.
struct BurstLoad {
  // Demand of urgent jobs as a share of the accelerators: during the burst and
  // after it.
  double burst = 1;
  double normal = 0.3;
  Milliseconds burst_length{8000};
  Milliseconds length{20000};
  uint32_t seed = 1;
};

struct BurstResult {
  // By second: accelerator milliseconds that are left to be done at its end.
  std::vector<int64_t> backlog;
  int64_t total_equal_stops = 0;
  // The largest number of stops of one task by urgent steps.
  int most_stops_of_a_task = 0;
  // Accelerator milliseconds of runs that ended as done during the burst, and
  // in all.
  int64_t work_in_burst = 0;
  int64_t work = 0;
  int64_t done = 0;
  // Jobs that were not started in time though all unfinished urgent jobs of
  // their account needed no more than its guarantee all the while.
  std::vector<std::string> missed;
  // Number of jobs for which that was checked.
  int64_t owed = 0;
};

// Workers of eight accelerators in racks of ten; ten accounts, which together
// are guaranteed 0.62 of the accelerators, with shares that differ by up to two
// to one.
class BurstCluster {
 public:
  static constexpr int kRacks = 4;
  static constexpr int kWorkersPerRack = 10;
  // What the workers can do in a second, in accelerator milliseconds.
  static constexpr int64_t kWorkOfSecond = kRacks * kWorkersPerRack * 8 * 1000;
  static constexpr int64_t kAccelerators = kRacks * kWorkersPerRack * 8;
  static constexpr int kAccounts = 10;
  static constexpr Milliseconds kRound{50};
  // From the order until the room of a stopped run is known to be free.
  static constexpr Milliseconds kStopTime{250};

  BurstCluster(const BurstLoad& load, bool with_guarantees)
      : load_(load), random_(load.seed), cluster_(kRacks, kWorkersPerRack) {
    if (!with_guarantees) return;
    for (int i = 0; i < kAccounts; ++i) {
      // 14 to 26, which sums up to 197 of 320.
      cluster_.guarantees[AccountName(i)] = 14 + (i * 5) % 14;
    }
  }

  BurstResult Play() {
    result_.backlog.resize(static_cast<size_t>(load_.length.count() / 1000));
    for (elapsed_ = Milliseconds(0); elapsed_ < load_.length;
         elapsed_ += kRound) {
      Submit();
      EndRuns();
      CheckOwed();
      RecordStops(cluster_.Round());
      result_.backlog[second()] = UnfinishedWork();
      cluster_.now += kRound;
      cluster_.wall_now += kRound;
    }
    return std::move(result_);
  }

 private:
  struct Owed {
    Time since{};
    bool valid = true;
  };

  static std::string AccountName(int i) {
    return "account" + std::to_string(i);
  }
  size_t second() const { return static_cast<size_t>(elapsed_.count() / 1000); }
  bool in_burst() const { return elapsed_ < load_.burst_length; }

  int64_t Draw(int64_t from, int64_t to) {
    return from + static_cast<int64_t>(random_() %
                                       static_cast<uint32_t>(to - from + 1));
  }

  void Submit() {
    // Accelerator milliseconds that are asked for in one round.
    asked_ += (in_burst() ? load_.burst : load_.normal) *
              static_cast<double>(kAccelerators * kRound.count());
    while (asked_ > 0) {
      // Gangs of 1 to 18 members, small ones more often.
      const auto width =
          static_cast<int>(std::min({Draw(1, 18), Draw(1, 18), Draw(1, 18)}));
      const int accelerators = 1 << Draw(0, 2);
      StepSpec step = Gang(width, accelerators, Draw(0, 4) > 0);
      step.estimate = Milliseconds(Draw(1000, 4000));
      JobDefinition job =
          MakeJob(Id(++jobs_), {step}, 0,
                  AccountName(static_cast<int>(Draw(0, kAccounts - 1))));
      job.accepted = cluster_.wall_now;
      cluster_.ledger.Add(job, cluster_.now);
      asked_ -=
          static_cast<double>(width * accelerators * step.estimate.count());
    }
  }

  // Ends what is done, and the stopped runs with the rest of their gangs.
  void EndRuns() {
    // As the coordinator does, all members of a stopped gang are told to stop.
    std::set<StepRef> broken;
    for (const auto& [id, worker] : cluster_.workers) {
      for (const auto& [task, run] : worker.runs()) {
        if (run.stop_wanted) broken.insert(task.step);
      }
    }
    for (auto& [id, worker] : cluster_.workers) {
      std::vector<std::pair<TaskRef, RunEnd>> ends;
      for (auto& [task, run] : worker.runs()) {
        if (broken.count(task.step) > 0) {
          run.stop_wanted = true;
          const auto begun =
              stops_begun_.try_emplace(task, cluster_.now).first->second;
          if (cluster_.now - begun >= kStopTime) {
            ends.emplace_back(task, RunEnd::kStopped);
          }
        } else if (cluster_.now - run.placed >= run.profile.estimate) {
          ends.emplace_back(task, RunEnd::kDone);
        }
      }
      for (const auto& [task, end] : ends) {
        const TrackedRun* run = worker.Find(task);
        if (end == RunEnd::kDone) {
          const int64_t work =
              run->profile.need.accelerators * run->profile.estimate.count();
          result_.work += work;
          if (in_burst()) result_.work_in_burst += work;
          ++result_.done;
        }
        stops_begun_.erase(task);
        cluster_.End(id, task, end);
      }
    }
    RemoveEndedJobs();
  }

  void RemoveEndedJobs() {
    std::vector<std::string> ended;
    for (const auto& [id, job] : cluster_.ledger.jobs()) {
      if (IsTerminal(job->state)) ended.push_back(id);
    }
    for (const std::string& id : ended) {
      cluster_.ledger.Remove(id);
      owed_.erase(id);
    }
  }

  // A job is owed its start while the unfinished urgent jobs of its account
  // need no more than the account is guaranteed.
  void CheckOwed() {
    std::map<std::string, int64_t> needed;
    for (const auto& [id, job] : cluster_.ledger.jobs()) {
      const StepProgress& step = job->occurrences[0][0];
      needed[job->spec.account] +=
          job->spec.steps[0].need.accelerators * (step.waiting + step.active());
    }
    for (const auto& [id, job] : cluster_.ledger.jobs()) {
      if (begun_.count(id) > 0) continue;
      const auto guarantee = cluster_.guarantees.find(job->spec.account);
      if (guarantee == cluster_.guarantees.end()) continue;
      const auto [it, is_new] = owed_.try_emplace(id, Owed{cluster_.now, true});
      if (needed[job->spec.account] > guarantee->second) {
        it->second.valid = false;
      }
      if (!it->second.valid) continue;
      if (is_new) ++result_.owed;
      const Milliseconds bound = WorkerBounds().reclaim_bound;
      if (cluster_.now - it->second.since <= bound) continue;
      result_.missed.push_back(id);
      it->second.valid = false;
    }
  }

  void RecordStops(const Plan& plan) {
    for (const StartDecision& start : plan.starts) {
      begun_.insert(start.step.job);
    }
    for (const StopDecision& stop : plan.stops) {
      ++result_.total_equal_stops;
      result_.most_stops_of_a_task =
          std::max(result_.most_stops_of_a_task, ++stops_of_[stop.task]);
    }
  }

  int64_t UnfinishedWork() const {
    int64_t work = 0;
    for (const auto& [id, job] : cluster_.ledger.jobs()) {
      const StepSpec& spec = job->spec.steps[0];
      const StepProgress& step = job->occurrences[0][0];
      work += spec.need.accelerators * spec.estimate.count() *
              (step.waiting + step.active());
    }
    for (const auto& [id, worker] : cluster_.workers) {
      for (const auto& [task, run] : worker.runs()) {
        if (run.stop_wanted) continue;
        const auto ran =
            std::chrono::duration_cast<Milliseconds>(cluster_.now - run.placed);
        work -= run.profile.need.accelerators * ran.count();
      }
    }
    return work;
  }

  const BurstLoad load_;
  std::mt19937 random_;
  PlannerCluster cluster_;
  Milliseconds elapsed_{0};
  double asked_ = 0;
  int jobs_ = 0;
  std::map<TaskRef, Time> stops_begun_;
  std::map<TaskRef, int> stops_of_;
  // Jobs that have been started, and what is owed to others.
  std::set<std::string> begun_;
  std::map<std::string, Owed> owed_;
  BurstResult result_;
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_WORKLOAD_BURST_CLUSTER_H_
