// Measures the time and memory of decisions of the job scheduler for several
// cluster sizes, and compares its placements with those of simple policies on
// the same jobs.
//
//   bench_scheduling decisions
//   bench_scheduling policies [seeds]
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "scheduling/job_scheduler.h"
#include "scheduling_workload.h"

namespace thornplank {

std::vector<WorkerInfo> MakeWorkers(int count, int accelerators, int doubled,
                                    int per_rack) {
  std::vector<WorkerInfo> workers;
  for (int i = 0; i < count; ++i) {
    WorkerInfo info;
    info.name = "w" + std::to_string(i);
    info.rack = "r" + std::to_string(i / per_rack);
    info.failure_domain = "d" + std::to_string(i / per_rack / 4);
    info.accelerators = i < doubled ? 2 * accelerators : accelerators;
    workers.push_back(info);
  }
  return workers;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::lround(q * last))];
}

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAccounts = 27;

std::vector<AccountGuarantee> MakeAccounts(const Shape& shape, int count) {
  std::vector<AccountGuarantee> accounts;
  for (int i = 0; i < kAccounts; ++i) {
    AccountGuarantee account;
    account.account = "a" + std::to_string(i);
    account.shapes = {{shape, count}};
    account.fragmentation_weight = i % 2 == 0 ? 0.2 : 0.8;
    accounts.push_back(account);
  }
  return accounts;
}

// Processor time of this thread in microseconds. Decisions do not wait, and on
// a busy machine wall-clock times would include those of other processes.
double CpuMicros() {
  timespec time;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

int64_t HeapBytes() { return static_cast<int64_t>(mallinfo2().uordblks); }

// Calls the scheduler, measures every call, and applies the resulting actions
// at once.
class TimedScheduler {
 public:
  explicit TimedScheduler(std::vector<WorkerInfo> workers,
                          std::vector<AccountGuarantee> accounts)
      : scheduler_(SchedulerOptions()) {
    scheduler_.SetWorkers(workers, now_);
    scheduler_.SetGuarantees(accounts, now_);
    ApplyActions(scheduler_.Tick(now_));
  }

  template <typename Call>
  void Time(const std::string& kind, Call call) {
    const double begin = CpuMicros();
    SchedulerActions actions = call(scheduler_, now_);
    const double end = CpuMicros();
    if (recording_) {
      micros_[kind].push_back(end - begin);
    }
    ApplyActions(std::move(actions));
  }
  void Submit(const JobSpec& job) {
    Time("submit", [&](JobScheduler& scheduler, auto now) {
      return scheduler.Submit(job, now);
    });
  }
  // Finishes the oldest running gang. Returns false if none runs.
  bool FinishOldest() {
    while (!start_order_.empty()) {
      const std::string job = start_order_.front();
      start_order_.pop();
      const auto found = running_.find(job);
      if (found == running_.end()) continue;
      const GrantGang grant = found->second;
      for (const GangMember& member : grant.members) {
        ReportMember(grant, member, MemberOutcome::kFinished);
      }
      return true;
    }
    return false;
  }
  void Advance(Duration by) {
    now_ += by;
    Time("tick",
         [](JobScheduler& scheduler, auto now) { return scheduler.Tick(now); });
  }
  void StartRecording() { recording_ = true; }
  const std::map<std::string, std::vector<double>>& micros() const {
    return micros_;
  }
  const JobScheduler& scheduler() const { return scheduler_; }

 private:
  void ReportMember(const GrantGang& grant, const GangMember& member,
                    MemberOutcome outcome) {
    // The release of the last lease lets the scheduler place other jobs.
    const bool ends_gang =
        outcome == MemberOutcome::kGone && member == grant.members.back();
    Time(ends_gang ? "gang gone" : "member",
         [&](JobScheduler& scheduler, auto now) {
           return scheduler.MemberResult(grant.job, grant.gang_id,
                                         member.lease_id, outcome, "", now);
         });
  }
  void ApplyActions(const SchedulerActions& actions) {
    for (const SchedulerAction& action : actions) {
      if (const auto* grant = std::get_if<GrantGang>(&action)) {
        running_[grant->job] = *grant;
        start_order_.push(grant->job);
        const GrantGang copy = *grant;
        for (const GangMember& member : copy.members) {
          ReportMember(copy, member, MemberOutcome::kConfirmed);
        }
      } else if (const auto* stop = std::get_if<StopGang>(&action)) {
        const auto found = running_.find(stop->job);
        if (found == running_.end()) continue;
        const GrantGang copy = found->second;
        running_.erase(found);
        for (const GangMember& member : copy.members) {
          ReportMember(copy, member, MemberOutcome::kGone);
        }
      } else if (const auto* checkpoint =
                     std::get_if<CheckpointGang>(&action)) {
        const CheckpointGang copy = *checkpoint;
        Time("saved", [&](JobScheduler& scheduler, auto now) {
          return scheduler.CheckpointDone(copy.job, copy.gang_id, now);
        });
      }
    }
  }

  JobScheduler scheduler_;
  thornplank::Time now_;
  std::map<std::string, GrantGang> running_;
  std::queue<std::string> start_order_;
  std::map<std::string, std::vector<double>> micros_;
  bool recording_ = false;
};

struct ClusterSize {
  const char* name;
  int workers;
  int accelerators;
  int doubled;
  Shape guaranteed;
  int guaranteed_count;
  int large_members;
};

void MeasureDecisions(const ClusterSize& size) {
  const int64_t heap_before = HeapBytes();
  TimedScheduler timed(
      MakeWorkers(size.workers, size.accelerators, size.doubled, 24),
      MakeAccounts(size.guaranteed, size.guaranteed_count));
  std::mt19937_64 random(7);
  constexpr int kTasks = 11000;
  int number = 0;
  const auto next_job = [&] {
    JobSpec job;
    job.id = "j" + std::to_string(++number);
    job.account = "a" + std::to_string(random() % kAccounts);
    job.submitted_order = number;
    job.declared_run_time = seconds(30 + random() % 600);
    const int members =
        number % 40 == 0 ? size.large_members : 1 << (random() % 4);
    job.shape = {members, 1, Adjacency::kAnywhere};
    if (number % 10 == 0) job.shape = size.guaranteed;
    return job;
  };
  for (int i = 0; i < kTasks; ++i) {
    timed.Submit(next_job());
    // Finishes one job for two of three submitted ones, so that the rest is
    // running or waiting when the recording starts.
    if (i % 3 != 0) timed.FinishOldest();
  }
  const int64_t heap = HeapBytes() - heap_before;
  timed.StartRecording();
  for (int i = 0; i < 400; ++i) {
    timed.Submit(next_job());
    timed.FinishOldest();
    timed.Advance(milliseconds(500));
  }
  std::printf("%-12s heap %.1f MB, %d accelerators free\n", size.name,
              static_cast<double>(heap) / 1e6,
              timed.scheduler().free_accelerators());
  for (const auto& [kind, micros] : timed.micros()) {
    std::printf(
        "  %-10s %6zu calls  p50 %6.0f us  p99 %6.0f us  max %6.0f us\n",
        kind.c_str(), micros.size(), Quantile(micros, 0.5),
        Quantile(micros, 0.99), Quantile(micros, 1));
  }
  std::fflush(stdout);
}

void MeasureAllDecisions() {
  const Shape whole{1, 8, Adjacency::kAnywhere};
  const Shape rack_four{4, 1, Adjacency::kRack};
  for (const ClusterSize& size :
       {ClusterSize{"50x8", 50, 8, 0, whole, 1, 128},
        ClusterSize{"275 (300)", 275, 1, 25, rack_four, 2, 32},
        ClusterSize{"550 (600)", 550, 1, 50, rack_four, 4, 64},
        ClusterSize{"1100 (1200)", 1100, 1, 100, rack_four, 8, 128}}) {
    MeasureDecisions(size);
  }
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "decisions";
  if (mode == "decisions") {
    thornplank::MeasureAllDecisions();
  } else if (mode == "policies") {
    thornplank::ComparePolicies(argc > 2 ? std::atoi(argv[2]) : 5);
  } else {
    std::fprintf(stderr, "usage: bench_scheduling decisions | policies [n]\n");
    return 2;
  }
  return 0;
}
