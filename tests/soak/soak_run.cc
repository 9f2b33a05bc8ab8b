// Callers, faults and the final checks of a soak run.
#include "soak_run.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "hosted_cluster.h"
#include "run_checker.h"

namespace thornplank {
namespace {

constexpr Milliseconds kCallerPause{60};
constexpr Milliseconds kCallerTimeout{1500};
// A job that was accepted so long ago must be known everywhere.
constexpr int64_t kVisibleMs = 3000;
constexpr std::chrono::seconds kEndLimit{60};
constexpr int kSubmitTries = 4;
// So that the draws of crashes are others than those of a run's other faults.
constexpr uint32_t kCrashSeedOffset = 1000003;
// One job of so many crashes its executors.
constexpr int kJobsPerCrash = 25;
constexpr int kCrashAfterMs = 10;
// A task may be given up when so many executors have crashed under it.
constexpr int kCrashesToGiveUp = 2;

int64_t ClockMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool HasEnded(const std::string& state) {
  return state == "completed" || state == "cancelled" || state == "failed";
}

class Soak {
 public:
  explicit Soak(const SoakSettings& settings)
      : settings_(settings),
        cluster_(ClusterSettings(settings)),
        random_(settings.seed),
        crash_random_(settings.seed + kCrashSeedOffset) {}

  SoakReport Run() {
    report_.folder = cluster_.folder();
    if (!cluster_.Start()) {
      report_.problems.push_back("the cluster did not start");
      return report_;
    }
    std::vector<std::thread> callers;
    callers.reserve(static_cast<size_t>(settings_.callers));
    for (int i = 0; i < settings_.callers; ++i) {
      callers.emplace_back([this, i] { CallUntilDone(i); });
    }
    if (settings_.crashes) {
      for (int i = 0; i < settings_.executors; ++i) {
        cluster_.ControlExecutor(i, {{"keeps_id", i % 2 == 0}});
      }
    }
    InjectFaults();
    done_ = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    Mend();
    AwaitEnds();
    Check();
    return report_;
  }

 private:
  static HostedClusterSettings ClusterSettings(const SoakSettings& settings) {
    HostedClusterSettings cluster;
    cluster.entries = settings.entries;
    cluster.executors = settings.executors;
    cluster.executors_per_rack = 4;
    cluster.caller_timeout = kCallerTimeout;
    return cluster;
  }

  // Draws of the thread that injects faults.
  int Draw(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }

  void Note(const std::string& fault) {
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

  void CallUntilDone(int caller) {
    std::mt19937 random(settings_.seed * 31 + static_cast<uint32_t>(caller));
    std::mt19937 crash_random(kCrashSeedOffset + settings_.seed * 31 +
                              static_cast<uint32_t>(caller));
    std::vector<std::string> mine;
    for (int number = 0; !done_; ++number) {
      const int entry =
          static_cast<int>(random() % static_cast<uint32_t>(settings_.entries));
      const uint32_t action = random() % 10;
      if (action < 6 || mine.empty()) {
        TestJob job = DrawJob(&random, caller, number);
        if (settings_.crashes && crash_random() % kJobsPerCrash == 0) {
          job.crash_after_ms = kCrashAfterMs;
        }
        mine.push_back(job.id);
        Submit(job, entry);
      } else {
        const JobAccount account = Account(mine[random() % mine.size()]);
        if (action == 9) {
          Cancel(account, entry);
        } else {
          Ask(account, entry);
        }
      }
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  JobAccount Account(const std::string& id) {
    std::lock_guard lock(mutex_);
    return jobs_[id];
  }

  // Like a real caller: without an acceptance the same job goes to another
  // entry.
  void Submit(const TestJob& job, int entry) {
    JobAccount account;
    account.job = job;
    {
      std::lock_guard lock(mutex_);
      jobs_[job.id] = account;
    }
    account.refused = true;
    for (int attempt = 0; attempt < kSubmitTries && !account.accepted;
         ++attempt) {
      const int status =
          cluster_.Submit((entry + attempt) % settings_.entries, job);
      account.accepted = status == 200;
      const bool refused = status == 503 || status == 429;
      account.refused = account.refused && refused;
    }
    std::lock_guard lock(mutex_);
    jobs_[job.id] = account;
    accepted_at_[job.id] = ClockMs();
  }

  void Cancel(const JobAccount& account, int entry) {
    if (!account.accepted) return;
    {
      std::lock_guard lock(mutex_);
      cancel_tried_.insert(account.job.id);
    }
    if (cluster_.Cancel(entry, account.job) != 200) return;
    std::lock_guard lock(mutex_);
    JobAccount& stored = jobs_[account.job.id];
    if (stored.cancelled_ms < 0) stored.cancelled_ms = ClockMs();
  }

  void Ask(const JobAccount& account, int entry) {
    if (!account.accepted) return;
    int64_t accepted_at = 0;
    {
      std::lock_guard lock(mutex_);
      accepted_at = accepted_at_[account.job.id];
    }
    const int64_t asked_at = ClockMs();
    const std::string state = cluster_.State(entry, account.job);
    std::lock_guard lock(mutex_);
    std::string& last = jobs_[account.job.id].final_state;
    if (state == "gone" && asked_at > accepted_at + kVisibleMs) {
      report_.problems.push_back(account.job.id +
                                 " was accepted and an entry does not know it");
    }
    if (last == "completed" && !state.empty() && state != "completed") {
      report_.problems.push_back(account.job.id + " was completed, then " +
                                 state);
    }
    if (state == "completed") last = state;
  }

  // ---- Faults

  void InjectFaults() {
    begun_ = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < begun_ + settings_.length) {
      // Series: several at once, then a pause.
      std::this_thread::sleep_for(Milliseconds(300 + Draw(1200)));
      const int together = 1 + Draw(2);
      for (int i = 0; i < together; ++i) {
        InjectFault();
      }
      if (settings_.crashes) Resize();
      if (settings_.crashes) Restart();
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
        Note(who + " killed");
        cluster_.entry(entry).Kill();
        return cluster_.StartEntry(entry);
      case 1:
        Note(who + " stopped");
        return cluster_.entry(entry).Signal(SIGTERM);
      case 2:
        Note(who + " frozen");
        cluster_.entry(entry).Freeze();
        return Later([this, entry] { cluster_.entry(entry).Thaw(); });
      case 3:
        Note(who + " told to reload");
        return cluster_.entry(entry).Signal(SIGHUP);
      case 4:
        Note(who + " cut off from the store, silently");
        return StoreProxy(entry, {{"freeze", true}}, {{"freeze", false}});
      case 5:
        Note(who + " cut off from the store, with resets");
        return StoreProxy(entry, {{"cut", true}}, {{"cut", false}});
      case 6:
        Note(who + " far from the store");
        return StoreProxy(entry, {{"delay_ms", 150}}, {{"delay_ms", 0}});
      case 7:
        Note("store silent");
        return Store({{"mode", "silent"}}, {{"mode", "up"}});
      case 8:
        Note("store refuses");
        return Store({{"mode", "busy"}}, {{"mode", "up"}});
      case 9:
        Note("store slow");
        return Store({{"slow_ms", 200}}, {{"slow_ms", 0}});
      case 10:
        Note("store loses answers and stores late");
        return Store({{"lost_percent", 20}, {"late_percent", 15}},
                     {{"lost_percent", 0}, {"late_percent", 0}});
      case 11:
        Note("store drops its history");
        return Store({{"drop_history", true}}, Json::object());
      case 12:
        Note(where + " carries out orders late");
        return Executor(executor, {{"late_percent", 60}},
                        {{"late_percent", 0}});
      case 13:
        Note(where + " silent");
        return Executor(executor, {{"silent", true}}, {{"silent", false}});
      case 14:
        Note(where + " begins a new life");
        return Executor(executor, {{"crash", true}}, Json::object());
      default:
        if (Draw(2) == 0) return;
        Note("every entry killed");
        for (int i = 0; i < settings_.entries; ++i) {
          cluster_.entry(i).Kill();
        }
        for (int i = 0; i < settings_.entries; ++i) {
          cluster_.StartEntry(i);
        }
    }
  }

  // Some or all, of which some are away for longer than their leases.
  void Restart() {
    const uint32_t draw = crash_random_();
    if (draw % 2 == 0) return;
    const int restart_ms = draw % 5 == 0 ? 8000 : 300;
    const uint32_t share = draw % 3 + 1;
    Note("a share of the executors restarts, within " +
         std::to_string(restart_ms) + " ms");
    for (int i = 0; i < settings_.executors; ++i) {
      if (crash_random_() % share != 0) continue;
      cluster_.ControlExecutor(i,
                               {{"restart_ms", restart_ms}, {"restart", true}});
    }
  }

  void Resize() {
    const uint32_t draw = crash_random_();
    if (draw % 2 == 0) return;
    const int executor =
        static_cast<int>(draw / 2 % static_cast<uint32_t>(settings_.executors));
    Note("executor " + std::to_string(executor) + " shrinks");
    Executor(executor, {{"capacity_percent", 40}}, {{"capacity_percent", 100}});
  }

  void Later(std::function<void()> end) { ends_.push_back(std::move(end)); }

  void StoreProxy(int entry, const Json& begin, const Json& end) {
    cluster_.ControlStoreProxy(entry, begin);
    Later([this, entry, end] { cluster_.ControlStoreProxy(entry, end); });
  }

  void Store(const Json& begin, const Json& end) {
    cluster_.ControlStore(begin);
    Later([this, end] { cluster_.ControlStore(end); });
  }

  void Executor(int executor, const Json& begin, const Json& end) {
    cluster_.ControlExecutor(executor, begin);
    Later([this, executor, end] { cluster_.ControlExecutor(executor, end); });
  }

  // Ends most of what goes on, and starts entries that have ended.
  void EndSomeFaults() {
    std::vector<std::function<void()>> kept;
    for (std::function<void()>& end : ends_) {
      if (Draw(3) != 0) {
        end();
      } else {
        kept.push_back(std::move(end));
      }
    }
    ends_ = std::move(kept);
    StartEnded();
  }

  void StartEnded() {
    for (int i = 0; i < settings_.entries; ++i) {
      if (!cluster_.entry(i).running()) cluster_.StartEntry(i);
    }
  }

  void Mend() {
    Note("all faults end");
    for (const std::function<void()>& end : ends_) {
      end();
    }
    ends_.clear();
    for (int i = 0; i < settings_.entries; ++i) {
      cluster_.entry(i).Thaw();
    }
    StartEnded();
  }

  // ---- Checks

  void AwaitEnds() {
    int next = 0;
    for (auto& [id, account] : jobs_) {
      if (!account.accepted) continue;
      JobAccount& job = account;
      const bool ended = HostedCluster::Eventually(
          [&] {
            StartEnded();
            job.final_state =
                cluster_.State(next++ % settings_.entries, job.job);
            return HasEnded(job.final_state) || job.final_state == "gone";
          },
          kEndLimit);
      if (ended) continue;
      report_.problems.push_back(id + " has not ended, but is " +
                                 job.final_state);
    }
  }

  void Check() {
    const std::vector<Json> runs = cluster_.Runs();
    for (std::string& problem : CheckRuns(runs, jobs_)) {
      report_.problems.push_back(std::move(problem));
    }
    for (std::string& violation : cluster_.CapacityViolations()) {
      report_.problems.push_back(std::move(violation));
    }
    report_.runs = static_cast<int>(runs.size());
    for (const auto& [id, account] : jobs_) {
      ++report_.jobs;
      report_.accepted += account.accepted ? 1 : 0;
      report_.completed += account.final_state == "completed" ? 1 : 0;
      if (account.final_state == "failed" && !MayFail(account.job, runs)) {
        report_.problems.push_back(id + " is shown as failed without cause");
      }
      // A cancellation without an answer may take effect.
      if (account.final_state == "cancelled" && cancel_tried_.count(id) == 0) {
        report_.problems.push_back(id + " is shown as cancelled by nobody");
      }
    }
  }

  // By its own fault, or since executors crashed under one of its tasks.
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
  std::mt19937 crash_random_;
  Time begun_{};
  std::atomic<bool> done_{false};
  std::mutex mutex_;
  // Under mutex_ while callers run.
  std::map<std::string, JobAccount> jobs_;
  std::map<std::string, int64_t> accepted_at_;
  std::set<std::string> cancel_tried_;
  SoakReport report_;
  // What ends the faults that go on.
  std::vector<std::function<void()>> ends_;
};

}  // namespace

SoakReport RunSoak(const SoakSettings& settings) {
  Soak soak(settings);
  return soak.Run();
}

}  // namespace thornplank
