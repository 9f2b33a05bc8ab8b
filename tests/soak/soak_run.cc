// Callers, fault injection and final checks of a soak run.
#include "soak_run.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "executor_faults.h"
#include "hosted_cluster.h"
#include "idle_waits.h"
#include "impatient_caller.h"
#include "logging/events/coordination_events.h"
#include "run_checker.h"

namespace thornplank {
namespace {

constexpr Milliseconds kCallerPause{60};
constexpr Milliseconds kCallerTimeout{1500};
// Time after which every entry must know an accepted job.
constexpr int64_t kVisibilityLimitMs = 3000;
constexpr std::chrono::seconds kJobEndTimeout{60};
constexpr int kSubmitAttempts = 4;
// From the end of all faults until every job must be at work (the users' rule).
constexpr int64_t kSettleMs = 14000;
// On average one of this many jobs crashes its executors.
constexpr int kJobsPerCrash = 25;
constexpr int kCrashAfterMs = 10;
// Separates the random sequence of the jobs that crash their executors.
constexpr uint32_t kCrashSeedOffset = 1000003;
// Separates the random sequence of the long checkpoints.
constexpr uint32_t kCheckpointSeedOffset = 3000003;
// On average one of this many jobs reports long checkpoints.
constexpr int kJobsPerLongCheckpoint = 4;
// Several in one record, about a record each, and more than any record holds.
constexpr int kCheckpointBytes[] = {20000, 70000, 262113, 262114, 400000};
// Separates the random sequence of the jobs that are given up.
constexpr uint32_t kGiveUpSeedOffset = 4000003;
// Of the ids of jobs that are given up; other callers have numbers from 1.
constexpr char kImpatientIdPrefix[] = "f0000000";
// Accounts of the urgent load. Together they are guaranteed nearly half of the
// accelerators of eight executors, beside the quarter of the account "north".
constexpr int kUrgentAccounts = 5;
constexpr int kUrgentGuarantee = 6;
// A task may be given up after this many executors crashed while running it.
constexpr int kCrashesToGiveUp = 2;

int64_t ClockMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool IsFinalState(const std::string& state) {
  return state == "completed" || state == "cancelled" || state == "failed";
}

class SoakRun {
 public:
  explicit SoakRun(const SoakSettings& settings)
      : settings_(settings),
        cluster_(ClusterSettings(settings)),
        random_(settings.seed),
        executor_faults_(
            &cluster_, settings.seed,
            [this](const std::string& fault) { RecordFault(fault); }),
        impatient_caller_(&cluster_, settings.seed + kGiveUpSeedOffset,
                          kImpatientIdPrefix) {}

  SoakReport Run() {
    report_.folder = cluster_.folder();
    if (!cluster_.Start()) {
      report_.violations.push_back("the cluster did not start");
      cluster_.KeepFolder();
      return report_;
    }
    std::vector<std::thread> callers;
    callers.reserve(static_cast<size_t>(settings_.callers));
    load_begun_ = std::chrono::steady_clock::now();
    load_start_.unix_ms = ToUnixMilliseconds(std::chrono::system_clock::now());
    load_start_.steady_ms = ClockMs();
    for (int i = 0; i < settings_.callers; ++i) {
      callers.emplace_back([this, i] { RunCaller(i); });
    }
    for (int i = 0; settings_.burst && i < kUrgentAccounts; ++i) {
      callers.emplace_back([this, i] { RunUrgentCaller(i); });
    }
    if (settings_.give_ups) {
      callers.emplace_back([this] { impatient_caller_.Run(done_); });
    }
    if (settings_.crashes) executor_faults_.Prepare();
    InjectFaults();
    done_ = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    jobs_.insert(impatient_caller_.jobs().begin(),
                 impatient_caller_.jobs().end());
    cancel_requested_.insert(impatient_caller_.cancelled().begin(),
                             impatient_caller_.cancelled().end());
    report_.unknown_cancelled = impatient_caller_.unknown();
    EndAllFaults();
    AwaitJobEnds();
    Check();
    if (!report_.violations.empty()) cluster_.KeepFolder();
    return report_;
  }

 private:
  static HostedClusterSettings ClusterSettings(const SoakSettings& settings) {
    HostedClusterSettings cluster;
    cluster.entries = settings.entries;
    cluster.executors = settings.executors;
    cluster.executors_per_rack = 4;
    cluster.caller_timeout = kCallerTimeout;
    if (settings.cut_offs) cluster.longest_lease = kLeaseWithCutOffs;
    if (settings.burst) {
      cluster.further_guarantees.assign(kUrgentAccounts, kUrgentGuarantee);
    }
    return cluster;
  }

  // Draws a number below `below` for the thread that injects faults.
  int Draw(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }

  void RecordFault(const std::string& fault) {
    char time[16];
    std::snprintf(
        time, sizeof(time), "%6.2f ",
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begun_)
            .count());
    report_.faults.push_back(time + fault);
  }

  // ---- Callers

  static TestJob DrawJob(std::mt19937* random, int caller, int number) {
    const auto draw = [random](int below) {
      return static_cast<int>((*random)() % static_cast<uint32_t>(below));
    };
    TestJob job;
    char id[17];
    std::snprintf(id, sizeof(id), "%08x%08x", caller + 1, number + 1);
    job.id = id;
    job.priority = draw(3);
    job.work_ms = 50 + draw(800);
    job.fails = draw(15) == 0;
    job.steps.clear();
    const int steps = 1 + draw(3);
    for (int s = 0; s < steps; ++s) {
      TestStep step;
      step.count = 1 + draw(5);
      step.accelerators = draw(4);
      step.gang = draw(3) == 0;
      step.same_rack = draw(2) == 0;
      if (s > 0) step.depends_on = {draw(s)};
      job.steps.push_back(step);
    }
    return job;
  }

  void RunCaller(int caller) {
    std::mt19937 random(settings_.seed * 31 + static_cast<uint32_t>(caller));
    std::mt19937 crash_random(kCrashSeedOffset + settings_.seed * 31 +
                              static_cast<uint32_t>(caller));
    std::mt19937 checkpoint_random(kCheckpointSeedOffset + settings_.seed * 31 +
                                   static_cast<uint32_t>(caller));
    std::vector<std::string> own_job_ids;
    for (int number = 0; !done_; ++number) {
      const int entry =
          static_cast<int>(random() % static_cast<uint32_t>(settings_.entries));
      const uint32_t action = random() % 10;
      if (action < 6 || own_job_ids.empty()) {
        TestJob job = DrawJob(&random, caller, number);
        if (settings_.crashes && crash_random() % kJobsPerCrash == 0) {
          job.crash_after_ms = kCrashAfterMs;
        }
        if (settings_.long_checkpoints) {
          DrawLongCheckpoints(&checkpoint_random, &job);
        }
        own_job_ids.push_back(job.id);
        Submit(job, entry);
      } else {
        const SubmittedJob submitted =
            FindJob(own_job_ids[random() % own_job_ids.size()]);
        if (action == 9) {
          Cancel(submitted, entry);
        } else {
          QueryState(submitted, entry);
        }
      }
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  void RunUrgentCaller(int account) {
    UrgentLoad load;
    load.seed = settings_.seed;
    load.accounts = kUrgentAccounts;
    load.accelerators = settings_.executors * cluster_.settings().accelerators;
    load.length = settings_.fault_duration;
    char id_prefix[9];
    std::snprintf(id_prefix, sizeof(id_prefix), "%08x",
                  settings_.callers + account + 1);
    for (TimedJob& timed : DrawUrgentJobs(load, account, id_prefix)) {
      std::this_thread::sleep_until(load_begun_ + timed.submit_time);
      timed.job.account_key = HostedCluster::FurtherAccountKey(account);
      Submit(timed.job, account % settings_.entries);
    }
  }

  static void DrawLongCheckpoints(std::mt19937* random, TestJob* job) {
    if ((*random)() % kJobsPerLongCheckpoint != 0) return;
    job->checkpoint_bytes =
        kCheckpointBytes[(*random)() % std::size(kCheckpointBytes)];
    job->failing_runs = 1;
  }

  SubmittedJob FindJob(const std::string& id) {
    std::lock_guard lock(mutex_);
    return jobs_[id];
  }

  // Submits the job at the next entry if it was not accepted, as real callers
  // do.
  void Submit(const TestJob& job, int entry) {
    SubmittedJob submitted;
    submitted.job = job;
    {
      std::lock_guard lock(mutex_);
      jobs_[job.id] = submitted;
    }
    submitted.refused = true;
    for (int attempt = 0; attempt < kSubmitAttempts && !submitted.accepted;
         ++attempt) {
      const int status =
          cluster_.Submit((entry + attempt) % settings_.entries, job);
      submitted.accepted = status == 200;
      const bool refused = status == 503 || status == 429;
      submitted.refused = submitted.refused && refused;
    }
    std::lock_guard lock(mutex_);
    jobs_[job.id] = submitted;
    accepted_at_ms_[job.id] = ClockMs();
  }

  void Cancel(const SubmittedJob& submitted, int entry) {
    if (!submitted.accepted) return;
    {
      std::lock_guard lock(mutex_);
      cancel_requested_.insert(submitted.job.id);
    }
    if (cluster_.Cancel(entry, submitted.job) != 200) return;
    std::lock_guard lock(mutex_);
    SubmittedJob& stored = jobs_[submitted.job.id];
    if (stored.cancelled_ms < 0) stored.cancelled_ms = ClockMs();
  }

  void QueryState(const SubmittedJob& submitted, int entry) {
    if (!submitted.accepted) return;
    int64_t accepted_at_ms = 0;
    {
      std::lock_guard lock(mutex_);
      accepted_at_ms = accepted_at_ms_[submitted.job.id];
    }
    const int64_t queried_at_ms = ClockMs();
    const std::string state = cluster_.State(entry, submitted.job);
    std::lock_guard lock(mutex_);
    std::string& last = jobs_[submitted.job.id].final_state;
    if (state == "gone" &&
        queried_at_ms > accepted_at_ms + kVisibilityLimitMs) {
      report_.violations.push_back(
          submitted.job.id + " was accepted, but an entry does not know it");
    }
    if (last == "completed" && !state.empty() && state != "completed") {
      report_.violations.push_back(submitted.job.id + " was completed, then " +
                                   state);
    }
    if (state == "completed") last = state;
  }

  // ---- Faults

  void InjectFaults() {
    begun_ = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() <
           begun_ + settings_.fault_duration) {
      // Injects up to two faults at a time, then pauses.
      std::this_thread::sleep_for(Milliseconds(300 + Draw(1200)));
      const int together = 1 + Draw(2);
      for (int i = 0; i < together; ++i) {
        InjectFault();
      }
      if (settings_.crashes) ShrinkExecutor();
      if (settings_.crashes) executor_faults_.Restart();
      if (settings_.cut_offs) executor_faults_.ChangeCutOffs();
      if (settings_.losses) executor_faults_.Lose();
      std::this_thread::sleep_for(Milliseconds(200 + Draw(2500)));
      EndSomeFaults();
    }
  }

  void InjectFault() {
    const int entry = Draw(settings_.entries);
    const int executor = Draw(settings_.executors);
    const std::string who = "entry " + std::to_string(entry);
    const std::string where = "executor " + std::to_string(executor);
    switch (Draw(16)) {
      case 0:
        RecordFault(who + " killed");
        cluster_.entry(entry).Kill();
        return cluster_.StartEntry(entry);
      case 1:
        RecordFault(who + " stopped");
        return cluster_.entry(entry).Signal(SIGTERM);
      case 2:
        RecordFault(who + " suspended");
        cluster_.entry(entry).Suspend();
        return AddFaultEnd([this, entry] { cluster_.entry(entry).Resume(); });
      case 3:
        RecordFault(who + " reloads its settings");
        return cluster_.entry(entry).Signal(SIGHUP);
      case 4:
        RecordFault(who + " cut off from the store, without resets");
        return FaultStoreProxy(entry, {{"freeze", true}}, {{"freeze", false}});
      case 5:
        RecordFault(who + " cut off from the store, with resets");
        return FaultStoreProxy(entry, {{"cut", true}}, {{"cut", false}});
      case 6:
        RecordFault(who + " has high latency to the store");
        return FaultStoreProxy(entry, {{"delay_ms", 150}}, {{"delay_ms", 0}});
      case 7:
        RecordFault("store does not answer");
        return FaultStore({{"mode", "silent"}}, {{"mode", "up"}});
      case 8:
        RecordFault("store refuses");
        return FaultStore({{"mode", "busy"}}, {{"mode", "up"}});
      case 9:
        RecordFault("store slow");
        return FaultStore({{"slow_ms", 200}}, {{"slow_ms", 0}});
      case 10:
        RecordFault("store loses answers and appends late");
        return FaultStore({{"lost_percent", 20}, {"late_percent", 15}},
                          {{"lost_percent", 0}, {"late_percent", 0}});
      case 11:
        RecordFault("store drops its history");
        return FaultStore({{"drop_history", true}}, Json::object());
      case 12:
        RecordFault(where + " carries out orders late");
        return FaultExecutor(executor, {{"late_percent", 60}},
                             {{"late_percent", 0}});
      case 13:
        RecordFault(where + " does not answer");
        return FaultExecutor(executor, {{"silent", true}}, {{"silent", false}});
      case 14:
        RecordFault(where + " crashes and starts a new incarnation");
        return FaultExecutor(executor, {{"crash", true}}, Json::object());
      default:
        if (Draw(2) == 0) return;
        RecordFault("every entry killed");
        for (int i = 0; i < settings_.entries; ++i) {
          cluster_.entry(i).Kill();
        }
        for (int i = 0; i < settings_.entries; ++i) {
          cluster_.StartEntry(i);
        }
    }
  }

  void ShrinkExecutor() {
    const int executor = executor_faults_.DrawShrinking();
    if (executor < 0) return;
    RecordFault("executor " + std::to_string(executor) + " shrinks");
    FaultExecutor(executor, {{"capacity_percent", 40}},
                  {{"capacity_percent", 100}});
  }

  void AddFaultEnd(std::function<void()> end) {
    fault_ends_.push_back(std::move(end));
  }

  void FaultStoreProxy(int entry, const Json& begin, const Json& end) {
    cluster_.ControlStoreProxy(entry, begin);
    AddFaultEnd([this, entry, end] { cluster_.ControlStoreProxy(entry, end); });
  }

  void FaultStore(const Json& begin, const Json& end) {
    cluster_.ControlStore(begin);
    AddFaultEnd([this, end] { cluster_.ControlStore(end); });
  }

  void FaultExecutor(int executor, const Json& begin, const Json& end) {
    cluster_.ControlExecutor(executor, begin);
    AddFaultEnd(
        [this, executor, end] { cluster_.ControlExecutor(executor, end); });
  }

  // Ends most of the current faults, and starts entries that are not running.
  void EndSomeFaults() {
    std::vector<std::function<void()>> kept;
    for (std::function<void()>& end : fault_ends_) {
      if (Draw(3) != 0) {
        end();
      } else {
        kept.push_back(std::move(end));
      }
    }
    fault_ends_ = std::move(kept);
    StartStoppedEntries();
  }

  void StartStoppedEntries() {
    for (int i = 0; i < settings_.entries; ++i) {
      if (!cluster_.entry(i).running()) cluster_.StartEntry(i);
    }
  }

  void EndAllFaults() {
    RecordFault("all faults end");
    faults_ended_ms_ = ClockMs();
    for (const std::function<void()>& end : fault_ends_) {
      end();
    }
    fault_ends_.clear();
    executor_faults_.End();
    for (int i = 0; i < settings_.entries; ++i) {
      cluster_.entry(i).Resume();
    }
    StartStoppedEntries();
  }

  // ---- Checks

  void AwaitJobEnds() {
    int next = 0;
    for (auto& [id, submitted] : jobs_) {
      if (!submitted.accepted) continue;
      SubmittedJob& job = submitted;
      const bool ended = HostedCluster::Eventually(
          [&] {
            StartStoppedEntries();
            job.final_state =
                cluster_.State(next++ % settings_.entries, job.job);
            return IsFinalState(job.final_state) || job.final_state == "gone";
          },
          kJobEndTimeout);
      if (ended) continue;
      report_.violations.push_back(id + " has not ended; its state is " +
                                   job.final_state);
    }
  }

  void Check() {
    const std::vector<Json> runs = cluster_.Runs();
    for (std::string& violation : CheckRuns(runs, jobs_)) {
      report_.violations.push_back(std::move(violation));
    }
    for (std::string& violation : cluster_.CapacityViolations()) {
      report_.violations.push_back(std::move(violation));
    }
    const int accelerators =
        executor_faults_.left() * cluster_.settings().accelerators;
    for (std::string& violation : FindIdleWaits(
             runs, jobs_, faults_ended_ms_ + kSettleMs, accelerators)) {
      report_.violations.push_back(std::move(violation));
    }
    if (settings_.burst) CheckStops(runs);
    report_.runs = static_cast<int>(runs.size());
    for (const auto& [id, submitted] : jobs_) {
      ++report_.jobs;
      report_.accepted += submitted.accepted ? 1 : 0;
      report_.completed += submitted.final_state == "completed" ? 1 : 0;
      if (submitted.final_state == "failed" && !MayFail(submitted.job, runs)) {
        report_.violations.push_back(id +
                                     " is reported as failed without a cause");
      }
      // A requested cancellation may take effect without an answer.
      if (submitted.final_state == "cancelled" &&
          cancel_requested_.count(id) == 0) {
        report_.violations.push_back(
            id + " is reported as cancelled, but no caller requested it");
      }
    }
  }

  void CheckStops(const std::vector<Json>& runs) {
    std::vector<Json> orders;
    for (int i = 0; i < settings_.entries; ++i) {
      for (Json& order : cluster_.Events(i, events::kStopOrdered.number)) {
        orders.push_back(std::move(order));
      }
    }
    report_.equal_stops = CountEqualStops(orders, runs, jobs_, load_start_);
    for (std::string& violation : CheckEqualStops(report_.equal_stops)) {
      report_.violations.push_back(std::move(violation));
    }
  }

  // Whether the job may fail: because its tasks fail, or because several
  // executors crashed while running one of them.
  static bool MayFail(const TestJob& job, const std::vector<Json>& runs) {
    if (job.fails) return true;
    std::map<std::string, int> crashes;
    for (const Json& run : runs) {
      const std::string task = StringField(run, "task").value_or("");
      if (task.compare(0, job.id.size(), job.id) != 0) continue;
      if (StringField(run, "how") != "crashed") continue;
      if (++crashes[task] >= kCrashesToGiveUp) return true;
    }
    return false;
  }

  const SoakSettings settings_;
  HostedCluster cluster_;
  std::mt19937 random_;
  ExecutorFaults executor_faults_;
  ImpatientCaller impatient_caller_;
  Time begun_{};
  // When the callers began.
  Time load_begun_{};
  LoadStart load_start_;
  // On the executors' clock.
  int64_t faults_ended_ms_ = 0;
  std::atomic<bool> done_{false};
  std::mutex mutex_;
  // Guarded by mutex_ while callers run.
  std::map<std::string, SubmittedJob> jobs_;
  std::map<std::string, int64_t> accepted_at_ms_;
  std::set<std::string> cancel_requested_;
  SoakReport report_;
  // Functions that end the current faults.
  std::vector<std::function<void()>> fault_ends_;
};

}  // namespace

SoakReport RunSoak(const SoakSettings& settings) {
  SoakRun run(settings);
  return run.Run();
}

}  // namespace thornplank
