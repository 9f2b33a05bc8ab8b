// Checks a history of concurrent requests under many faults against the records
// of the executors. Load and faults are drawn from one seed; the interleaving
// of the processes is not reproducible.
#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "history/history_checker.h"
#include "loadgen/load_generator.h"
#include "net/io_pool.h"
#include "request_client.h"
#include "test_cluster.h"

namespace thornplank {
namespace {

constexpr uint64_t kSeed = 20261;
constexpr int kEntries = 3;
constexpr int kExecutors = 4;
constexpr double kRate = 50;
constexpr Milliseconds kLoadTime{26000};

// Injects one random fault at a time and ends it before the next.
class FaultInjector {
 public:
  explicit FaultInjector(TestCluster* cluster)
      : cluster_(cluster), random_(kSeed) {}

  void Run(const std::future<std::vector<HistoryRecord>>& load) {
    while (load.wait_for(Delay(300)) != std::future_status::ready) InjectOne();
  }

  std::string Summary() const {
    std::string text;
    for (const auto& [name, count] : injected_) {
      text += name + " " + std::to_string(count) + ", ";
    }
    return text;
  }
  size_t kinds() const { return injected_.size(); }

 private:
  using Fault = void (FaultInjector::*)();

  Milliseconds Delay(int limit) {
    return Milliseconds(std::uniform_int_distribution<int>(50, limit)(random_));
  }
  int PickIndex(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  void InjectOne() {
    constexpr Fault kFaults[] = {
        &FaultInjector::KillEntry,       &FaultInjector::SuspendEntry,
        &FaultInjector::StopLog,         &FaultInjector::LoseReplies,
        &FaultInjector::SilenceExecutor, &FaultInjector::CutExecutor,
        &FaultInjector::CorruptAnswers,  &FaultInjector::CorruptAnswers};
    (this->*kFaults[PickIndex(std::size(kFaults))])();
  }

  void KillEntry() {
    const int entry = PickIndex(kEntries);
    cluster_->entry(entry).Kill();
    std::this_thread::sleep_for(Delay(800));
    cluster_->StartEntry(entry);
    ++injected_["kills and restarts of an entry"];
  }

  void SuspendEntry() {
    const int entry = PickIndex(kEntries);
    cluster_->entry(entry).Suspend();
    std::this_thread::sleep_for(Delay(3000));
    cluster_->entry(entry).Resume();
    ++injected_["suspensions of an entry"];
  }

  void StopLog() {
    cluster_->Control(cluster_->log_address(), {{"outage", true}});
    std::this_thread::sleep_for(Delay(1500));
    cluster_->Control(cluster_->log_address(), {{"outage", false}});
    ++injected_["log outages"];
  }

  void LoseReplies() {
    cluster_->Control(cluster_->log_address(), {{"lose_replies", 4}});
    ++injected_["losses of 4 log replies"];
  }

  void SilenceExecutor() {
    cluster_->Control(cluster_->executor_proxy_control(PickIndex(kExecutors)),
                      {{"silent_existing", true}});
    ++injected_["silences of an executor's connections"];
  }

  void CutExecutor() {
    const std::string proxy =
        cluster_->executor_proxy_control(PickIndex(kExecutors));
    cluster_->Control(proxy, {{"cut", true}});
    std::this_thread::sleep_for(Delay(500));
    cluster_->Control(proxy, {{"heal", true}});
    ++injected_["cuts of an executor"];
  }

  void CorruptAnswers() {
    constexpr const char* kAnswerFaults[] = {"cross_next", "truncate_next",
                                             "close_after_request"};
    const char* fault = kAnswerFaults[PickIndex(std::size(kAnswerFaults))];
    cluster_->Control(cluster_->executor_address(PickIndex(kExecutors)),
                      {{fault, 4}});
    ++injected_[std::string("rounds of 4 ") + fault];
  }

  TestCluster* cluster_;
  std::mt19937_64 random_;
  // Number of injected faults by kind.
  std::map<std::string, int> injected_;
};

LoadSettings MakeLoad(const TestCluster& cluster) {
  LoadSettings load;
  for (int i = 0; i < kEntries; ++i) {
    load.entries.push_back(cluster.entry_address(i));
  }
  load.accounts = {{kRequestAccount, "operator-secret", 1}};
  load.rate = kRate;
  load.duration = kLoadTime;
  load.non_idempotent_share = 0.3;
  load.repeat_share = 0.5;
  load.deadline = Milliseconds(2500);
  load.seed = kSeed;
  return load;
}

std::vector<RunRecord> RunRecords(TestCluster* cluster) {
  std::vector<RunRecord> records;
  for (const Json& run : cluster->Runs()) {
    records.push_back({"", StringField(run, "key").value_or(""),
                       StringField(run, "digest").value_or("")});
  }
  return records;
}

TEST_CASE("a concurrent history under faults has no wrong outcome") {
  TestClusterSettings settings;
  settings.entries = kEntries;
  settings.executors = kExecutors;
  settings.service_time_ms = 30;
  settings.proxy_executors = true;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(PrepareRequestAccount(&cluster, kEntries));

  IoPool pool(2);
  pool.Start();
  LoadGenerator generator(pool, MakeLoad(cluster));
  std::future<std::vector<HistoryRecord>> load =
      std::async(std::launch::async, [&] { return generator.Run(); });
  FaultInjector faults(&cluster);
  faults.Run(load);
  const std::vector<HistoryRecord> history = load.get();
  for (int i = 0; i < kEntries; ++i) CHECK(cluster.WaitReady(i));

  const HistoryVerdict verdict = CheckHistory(history, RunRecords(&cluster));
  MESSAGE("seed " << kSeed << ": " << verdict.ToJson().dump());
  MESSAGE("faults injected: " << faults.Summary());
  CHECK(verdict.wrong_answers == 0);
  CHECK(verdict.answered_without_run == 0);
  CHECK(verdict.double_runs == 0);
  CHECK(verdict.false_not_run == 0);
  // Faults had an effect, but most requests were answered.
  CHECK(verdict.requests >= 1300);
  CHECK(verdict.answered > verdict.requests / 2);
  CHECK(verdict.answered < verdict.requests);
  CHECK(faults.kinds() >= 6);
}

}  // namespace
}  // namespace thornplank
