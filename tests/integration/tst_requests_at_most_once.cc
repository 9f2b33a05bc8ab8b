// A non-idempotent request runs at most once, with real processes: one key sent
// to several entries, entries that are killed or suspended, a log that is down
// or loses its replies, and keys older than the window.
#include <doctest/doctest.h>

#include <csignal>

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "request_client.h"
#include "test_cluster.h"

namespace thornplank {
namespace {

constexpr int kEntries = 3;
constexpr Milliseconds kLongDeadline{9000};

std::vector<RequestResult> Collect(
    std::vector<std::future<RequestResult>>* futures) {
  std::vector<RequestResult> results;
  results.reserve(futures->size());
  for (std::future<RequestResult>& one : *futures) results.push_back(one.get());
  return results;
}

void SetExecutors(TestCluster* cluster, int executors, const Json& faults) {
  for (int i = 0; i < executors; ++i) {
    REQUIRE(cluster->Control(cluster->executor_address(i), faults));
  }
}

void SetExecutorProxies(TestCluster* cluster, int executors,
                        const Json& faults) {
  for (int i = 0; i < executors; ++i) {
    REQUIRE(cluster->Control(cluster->executor_proxy_control(i), faults));
  }
}

TEST_CASE("a key runs at most once with concurrent requests and log faults") {
  TestCluster cluster{TestClusterSettings()};
  REQUIRE(cluster.Start());
  REQUIRE(PrepareRequestAccount(&cluster, kEntries));

  SUBCASE("the same key at every entry at the same moment") {
    constexpr int kBatches = 8;
    constexpr int kKeysAtOnce = 8;
    for (int batch = 0; batch < kBatches; ++batch) {
      std::vector<std::vector<std::future<RequestResult>>> futures(kKeysAtOnce);
      std::vector<std::string> keys;
      keys.reserve(kKeysAtOnce);
      for (int i = 0; i < kKeysAtOnce; ++i) {
        keys.push_back("shared-" + std::to_string(batch * kKeysAtOnce + i));
        for (int entry = 0; entry < kEntries; ++entry) {
          futures[i].push_back(SendToEntryAsync(
              &cluster, {entry, keys[i], keys[i], kLongDeadline}));
        }
      }
      std::vector<std::vector<RequestResult>> results;
      results.reserve(kKeysAtOnce);
      for (auto& each : futures) results.push_back(Collect(&each));
      const RunCounts runs = CountRuns(&cluster);
      for (int i = 0; i < kKeysAtOnce; ++i) {
        CheckKeyOutcomes(keys[i], runs.OfKey(keys[i]), results[i]);
        for (const RequestResult& result : results[i]) {
          CHECK(result.outcome == Outcome::kAnswered);
        }
      }
    }
  }

  SUBCASE("the log loses replies to appends that took effect") {
    REQUIRE(cluster.Control(cluster.log_address(), {{"lose_replies", 6}}));
    std::vector<std::future<RequestResult>> futures;
    futures.reserve(kEntries);
    for (int i = 0; i < kEntries; ++i) {
      const std::string key = "lost-" + std::to_string(i);
      futures.push_back(
          SendToEntryAsync(&cluster, {i, key, key, kLongDeadline}));
    }
    const std::vector<RequestResult> results = Collect(&futures);
    const Json log = cluster.ControlState(cluster.log_address());
    CHECK(IntField(log, "lost_replies").value_or(0) > 0);
    const RunCounts runs = CountRuns(&cluster);
    for (int i = 0; i < kEntries; ++i) {
      const std::string key = "lost-" + std::to_string(i);
      CheckKeyOutcomes(key, runs.OfKey(key), {results[i]});
      CHECK(results[i].outcome == Outcome::kAnswered);
    }
  }

  SUBCASE("a key older than the window is refused") {
    const RequestResult result = SendToEntry(
        &cluster, {1, "old", "old", kLongDeadline, std::chrono::minutes(16)});
    CHECK(result.outcome == Outcome::kUnknown);
    CHECK(CountRuns(&cluster).OfKey("old") == 0);
  }

  SUBCASE("during a log outage keys are refused at once and nothing runs") {
    REQUIRE(cluster.Control(cluster.log_address(), {{"outage", true}}));
    // The first claim waits for the log as a trial. Claims that come meanwhile
    // must be refused without such a wait.
    std::future<RequestResult> trial =
        SendToEntryAsync(&cluster, {0, "trial", "trial", kLongDeadline});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    // Longer than the caller's time-out of 10 s, so that an answer within it
    // cannot be caused by the deadline.
    constexpr Milliseconds kBeyondCallerTimeout{30000};
    for (int i = 0; i < 5; ++i) {
      const std::string key = "outage-" + std::to_string(i);
      const RequestResult result =
          SendToEntry(&cluster, {0, key, key, kBeyondCallerTimeout});
      CHECK(result.outcome == Outcome::kNotRun);
      CHECK(result.has_retry_after);
    }
    const RequestResult idempotent = SendToEntry(&cluster, {0, "no-key", ""});
    CHECK(idempotent.outcome == Outcome::kAnswered);
    const RequestResult trial_result = trial.get();
    CHECK(trial_result.outcome == Outcome::kNotRun);
    const RunCounts runs = CountRuns(&cluster);
    CHECK(runs.by_key.empty());
    REQUIRE(cluster.Control(cluster.log_address(), {{"outage", false}}));
    int again = 0;
    CHECK(TestCluster::Eventually([&] {
      const std::string key = "after-" + std::to_string(again++);
      return SendToEntry(&cluster, {0, key, key}).outcome == Outcome::kAnswered;
    }));
    CHECK(CountRuns(&cluster).OfKey("trial") == 0);
  }
}

TEST_CASE("the claims of an entry that ends stay in force") {
  TestClusterSettings settings;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(PrepareRequestAccount(&cluster, kEntries));

  // The entry is killed after it sent the request and before the answer.
  SetExecutors(&cluster, settings.executors, {{"late_ms", 3000}});
  std::future<RequestResult> first =
      SendToEntryAsync(&cluster, {0, "killed", "killed", kLongDeadline});
  REQUIRE(TestCluster::Eventually(
      [&] { return CountRuns(&cluster).OfKey("killed") == 1; }));
  cluster.entry(0).Kill();
  SetExecutors(&cluster, settings.executors, {{"late_ms", 0}});
  CHECK(first.get().outcome == Outcome::kNoAnswer);
  for (int repeat = 0; repeat < 4; ++repeat) {
    CAPTURE(repeat);
    const RequestResult result =
        SendToEntry(&cluster, {1 + repeat % 2, "killed", "killed"});
    CHECK(result.outcome == Outcome::kUnknown);
  }

  // The request is answered, then the entry that holds its claim is restarted.
  CHECK(SendToEntry(&cluster, {1, "stopped", "stopped"}).outcome ==
        Outcome::kAnswered);
  cluster.entry(1).Signal(SIGTERM);
  CHECK(cluster.entry(1).Wait(std::chrono::seconds(30)) == 0);
  cluster.StartEntry(0);
  cluster.StartEntry(1);
  REQUIRE(cluster.WaitReady(0));
  REQUIRE(cluster.WaitReady(1));
  for (int entry = 0; entry < kEntries; ++entry) {
    CAPTURE(entry);
    for (const std::string key : {"killed", "stopped"}) {
      CHECK(TestCluster::Eventually([&] {
        return SendToEntry(&cluster, {entry, key, key}).outcome ==
               Outcome::kUnknown;
      }));
    }
  }
  const RunCounts runs = CountRuns(&cluster);
  CHECK(runs.OfKey("killed") == 1);
  CHECK(runs.OfKey("stopped") == 1);
}

// Suspends entry 0 while it handles requests with all `keys`, calls `heal`,
// sends the same requests to another entry, and resumes entry 0 after their
// deadline. Requests that entry 0 had not sent before must not run afterwards.
void SuspendBeforeSend(TestCluster* cluster,
                       const std::vector<std::string>& keys,
                       const std::function<void()>& heal) {
  constexpr Milliseconds kDeadline{4000};
  constexpr Milliseconds kRepeatDeadline{2500};
  const int64_t records = ClaimRecordCount(cluster);
  const Time begun = std::chrono::steady_clock::now();
  std::vector<std::future<RequestResult>> first;
  first.reserve(keys.size());
  for (const std::string& key : keys) {
    first.push_back(SendToEntryAsync(cluster, {0, key, key, kDeadline}));
  }
  REQUIRE(TestCluster::Eventually(
      [&] { return ClaimRecordCount(cluster) > records; }));
  std::this_thread::sleep_for(Milliseconds(200));
  cluster->entry(0).Suspend();
  heal();
  std::vector<std::future<RequestResult>> second;
  second.reserve(keys.size());
  for (const std::string& key : keys) {
    second.push_back(SendToEntryAsync(cluster, {1, key, key, kRepeatDeadline}));
  }
  // All repeats are answered before entry 0 resumes, so that a run after that
  // can only come from entry 0.
  const std::vector<RequestResult> second_results = Collect(&second);
  std::this_thread::sleep_until(begun + kDeadline + Milliseconds(500));
  const RunCounts before = CountRuns(cluster);
  cluster->entry(0).Resume();
  const std::vector<RequestResult> first_results = Collect(&first);
  const RunCounts after = CountRuns(cluster);
  int held_back = 0;
  for (size_t i = 0; i < keys.size(); ++i) {
    CAPTURE(keys[i]);
    const int runs = after.OfKey(keys[i]);
    if (runs == 0) ++held_back;
    CheckKeyOutcomes(keys[i], runs, {first_results[i], second_results[i]});
    // The resumed entry sends nothing more, because the deadline has passed.
    // The other entry did not run the request, because it found the claim.
    CHECK(runs == before.OfKey(keys[i]));
  }
  MESSAGE("keys not sent before the suspension: " << held_back << " of "
                                                  << keys.size());
  CHECK(held_back > 0);
}

TEST_CASE("an entry suspended between claim and send does not send") {
  TestClusterSettings settings;
  settings.proxy_executors = true;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(PrepareRequestAccount(&cluster, kEntries));
  constexpr int kKeys = 6;
  std::vector<std::string> keys;
  keys.reserve(kKeys);
  for (int i = 0; i < kKeys; ++i) keys.push_back("frozen-" + std::to_string(i));

  SUBCASE("before it has read its claim from the log") {
    REQUIRE(cluster.Control(cluster.log_address(), {{"delay_ms", 1500}}));
    // Reads that were waiting when the delay was set are answered without it.
    // This request completes them.
    const TestRequest warm_up{0, "warm-up", "warm-up", kLongDeadline};
    REQUIRE(SendToEntry(&cluster, warm_up).outcome == Outcome::kAnswered);
    SuspendBeforeSend(&cluster, keys, [&] {
      REQUIRE(cluster.Control(cluster.log_address(), {{"delay_ms", 0}}));
    });
  }
  SUBCASE("while it checks that the connection is live") {
    SetExecutorProxies(&cluster, settings.executors, {{"freeze", true}});
    SuspendBeforeSend(&cluster, keys, [&] {
      SetExecutorProxies(&cluster, settings.executors, {{"heal", true}});
    });
  }
}

}  // namespace
}  // namespace thornplank
