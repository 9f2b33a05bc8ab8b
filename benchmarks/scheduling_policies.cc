// Simulates the same jobs with every policy, in virtual time. Grants, throttles
// and stops take effect at once, so the results differ only by the order and
// the places of the jobs.
#include "scheduling_policies.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

#include "scheduling/fragmentation_score.h"
#include "scheduling_workload.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;

// Results of one trace. Times are in seconds.
struct TraceResult {
  double mean_slowdown = 0;
  double p99_slowdown = 0;
  double mean_completion = 0;
  double large_wait = 0;
  double largest_wait = 0;
  double fragmentation = 0;
  // Attempts that a checkpoint ended.
  double checkpointed = 0;
};

// State of a job in the simulation. Times are in seconds.
struct Run {
  std::vector<WorkerIndex> workers;
  int attempt = 0;
  double started = 0;
  // Run time that checkpoints have saved.
  double saved_run_time = 0;
  bool checkpointing = false;
};

constexpr double kCheckpointSeconds = 2;

// Makes waves of small jobs and large gangs. Declared run times differ from the
// real ones by a factor of the account and by random noise.
std::vector<TraceJob> MakeTrace(uint64_t seed, double load) {
  std::mt19937_64 random(seed);
  const auto uniform = [&random] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  const std::vector<std::pair<Shape, double>> shapes = {
      {{1, 1, Adjacency::kAnywhere}, 0.45}, {{1, 2, Adjacency::kAnywhere}, 0.2},
      {{1, 4, Adjacency::kAnywhere}, 0.12}, {{2, 4, Adjacency::kRack}, 0.1},
      {{1, 8, Adjacency::kAnywhere}, 0.06}, {{2, 8, Adjacency::kRack}, 0.04},
      {{4, 8, Adjacency::kRack}, 0.02},     {{6, 8, Adjacency::kRack}, 0.01}};
  std::vector<TraceJob> trace;
  double accelerator_seconds = 0;
  constexpr int kJobs = 1500;
  for (int i = 0; i < kJobs; ++i) {
    double pick = uniform();
    size_t shape = 0;
    while (shape + 1 < shapes.size() && pick > shapes[shape].second) {
      pick -= shapes[shape++].second;
    }
    TraceJob job;
    const int account = static_cast<int>(random() % 6);
    job.run_time =
        10 * std::exp(1.2 * std::normal_distribution<double>()(random));
    job.run_time = std::clamp(job.run_time, 1.0, 400.0) * (shape >= 5 ? 4 : 1);
    const double noise =
        std::exp(0.5 * std::normal_distribution<double>()(random));
    job.spec.declared_run_time =
        milliseconds(1 + static_cast<int64_t>(1000 * job.run_time *
                                              (1 + account) / 2 * noise));
    job.spec.id = "j" + std::to_string(i);
    job.spec.account = "a" + std::to_string(account);
    job.spec.shape = shapes[shape].first;
    job.spec.submitted_order = i;
    job.large = job.spec.shape.accelerators() >= 16;
    accelerator_seconds += job.run_time * job.spec.shape.accelerators();
    trace.push_back(job);
  }
  // The jobs of a wave arrive in the first third of the time of the wave.
  constexpr int kWaves = 10;
  constexpr int kJobsPerWave = kJobs / kWaves;
  const double wave_seconds =
      accelerator_seconds /
      (kRacks * kWorkersPerRack * kAcceleratorsPerWorker) / load / kWaves;
  for (int i = 0; i < kJobs; ++i) {
    const double within = wave_seconds / 3 * (i % kJobsPerWave) / kJobsPerWave;
    trace[static_cast<size_t>(i)].submit_time =
        wave_seconds * std::floor(1.0 * i / kJobsPerWave) + within;
  }
  return trace;
}

Time AtSeconds(double at) {
  return Time() + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(at));
}

TraceResult RunTrace(const std::vector<TraceJob>& trace, Policy* policy) {
  ClusterModel cluster;
  cluster.SetWorkers(MakeWorkers(kRacks * kWorkersPerRack,
                                 kAcceleratorsPerWorker, 0, kWorkersPerRack));
  FragmentationScore score(cluster);
  score.SetShapes({{{2, 8, Adjacency::kRack}, 1},
                   {{4, 8, Adjacency::kRack}, 1},
                   {{6, 8, Adjacency::kRack}, 1}});
  std::map<std::string, const TraceJob*> jobs;
  for (const TraceJob& job : trace) jobs[job.spec.id] = &job;
  std::map<std::string, Run> runs;
  // Time, job, and number of the attempt.
  using End = std::tuple<double, std::string, int>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  TraceResult result;
  std::vector<double> slowdowns;
  int checkpointed = 0;
  int large = 0;
  int largest = 0;
  double now = 0;
  double free_accelerator_seconds = 0;
  double fragmented_accelerator_seconds = 0;
  size_t next = 0;
  double next_tick = 0;
  while (next < trace.size() || slowdowns.size() < trace.size()) {
    double at = next_tick;
    if (next < trace.size()) at = std::min(at, trace[next].submit_time);
    if (!ends.empty()) at = std::min(at, std::get<0>(ends.top()));
    const AcceleratorsByWorker room = cluster.FreeByWorker();
    const double free = cluster.total_free() * (at - now);
    // Fragmentation is not measured after the last arrival, because the cluster
    // is no longer loaded while it drains.
    if (next < trace.size()) {
      free_accelerator_seconds += free;
      fragmented_accelerator_seconds += free * score.Fragmentation(room);
    }
    now = at;
    std::vector<Policy::Start> starts;
    if (!ends.empty() && std::get<0>(ends.top()) <= now) {
      const auto [end, id, attempt] = ends.top();
      ends.pop();
      Run& run = runs[id];
      if (run.attempt != attempt) continue;  // ended by a checkpoint
      const TraceJob& job = *jobs[id];
      for (const WorkerIndex worker : run.workers) {
        cluster.Release(worker, job.spec.shape.accelerators_per_member);
      }
      run.workers.clear();
      if (run.checkpointing) {
        run.checkpointing = false;
        ++checkpointed;
        starts = policy->Checkpointed(id, AtSeconds(now));
      } else {
        const double completion = now - job.submit_time;
        slowdowns.push_back(completion / job.run_time);
        result.mean_completion += completion;
        starts = policy->Finished(id, AtSeconds(now));
      }
    } else if (next < trace.size() && trace[next].submit_time <= now) {
      starts = policy->Submit(trace[next++], AtSeconds(now));
    } else {
      next_tick = now + 1;
      starts = policy->Tick(AtSeconds(now));
    }
    for (const Policy::Start& start : starts) {
      const TraceJob& job = *jobs[start.job];
      Run& run = runs[start.job];
      ++run.attempt;
      if (start.workers.empty()) {
        run.saved_run_time += now - run.started;
        run.checkpointing = true;
        ends.push({now + kCheckpointSeconds, start.job, run.attempt});
        continue;
      }
      for (const std::string& name : start.workers) {
        const WorkerIndex worker = cluster.Find(name);
        cluster.Hold(worker, job.spec.shape.accelerators_per_member);
        run.workers.push_back(worker);
      }
      ends.push(
          {now + job.run_time - run.saved_run_time, start.job, run.attempt});
      run.started = now;
      if (run.attempt > 1) continue;
      const double wait = now - job.submit_time;
      if (job.large) {
        result.large_wait += wait;
        ++large;
      }
      if (job.spec.shape.accelerators() >= 32) {
        result.largest_wait += wait;
        ++largest;
      }
    }
  }
  const auto count = static_cast<double>(slowdowns.size());
  for (const double slowdown : slowdowns) result.mean_slowdown += slowdown;
  result.mean_slowdown /= count;
  result.mean_completion /= count;
  result.p99_slowdown = Quantile(slowdowns, 0.99);
  result.large_wait /= std::max(1, large);
  result.largest_wait /= std::max(1, largest);
  result.checkpointed = checkpointed;
  result.fragmentation =
      free_accelerator_seconds > 0
          ? fragmented_accelerator_seconds / free_accelerator_seconds
          : 0;
  return result;
}

std::unique_ptr<Policy> MakePolicy(int index) {
  const auto workers = MakeWorkers(kRacks * kWorkersPerRack,
                                   kAcceleratorsPerWorker, 0, kWorkersPerRack);
  switch (index) {
    case 0:
      return std::make_unique<ArrivalOrderPolicy>(workers, false, false);
    case 1:
      return std::make_unique<ArrivalOrderPolicy>(workers, false, true);
    case 2:
      return std::make_unique<ArrivalOrderPolicy>(workers, true, true);
    case 3:
      return std::make_unique<SchedulerPolicy>(workers, 0.2);
    default:
      return std::make_unique<SchedulerPolicy>(workers, 0.8);
  }
}

}  // namespace

void ComparePolicies(int seeds) {
  const std::vector<std::string> names = {
      "first fit, in order", "first fit, skipping", "best fit, skipping",
      "scheduler 0.2", "scheduler 0.8"};
  std::printf("medians of %d seeds; seconds but for ratios\n", seeds);
  std::printf("%-5s %-20s %9s %9s %10s %10s %11s %13s %6s\n", "load", "policy",
              "slowdown", "p99 slow", "completion", "large wait",
              "largest wait", "fragmentation", "saved");
  for (const double load : {0.7, 0.9}) {
    for (size_t i = 0; i < names.size(); ++i) {
      std::vector<std::vector<double>> figures(7);
      for (int seed = 1; seed <= seeds; ++seed) {
        const auto policy = MakePolicy(static_cast<int>(i));
        const TraceResult trace_result = RunTrace(
            MakeTrace(static_cast<uint64_t>(seed), load), policy.get());
        const double values[] = {
            trace_result.mean_slowdown,   trace_result.p99_slowdown,
            trace_result.mean_completion, trace_result.large_wait,
            trace_result.largest_wait,    trace_result.fragmentation};
        for (size_t f = 0; f < figures.size(); ++f) {
          figures[f].push_back(values[f]);
        }
      }
      std::printf(
          "%-5.1f %-20s %9.2f %9.1f %10.1f %10.1f %11.1f %13.3f %6.0f\n", load,
          names[i].c_str(), Quantile(figures[0], 0.5),
          Quantile(figures[1], 0.5), Quantile(figures[2], 0.5),
          Quantile(figures[3], 0.5), Quantile(figures[4], 0.5),
          Quantile(figures[5], 0.5), Quantile(figures[6], 0.5));
      std::fflush(stdout);
    }
  }
}

}  // namespace thornplank
