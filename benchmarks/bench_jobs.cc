// Measures how long jobs take to start on real entries with stand-in workers: a
// guaranteed job that reclaims accelerators and an urgent job, both while all
// accelerators are in use, and the first job after the coordinator was killed.
// A time ends with the start of the last member, as the worker recorded it. It
// begins with the submission, or with the kill. Prints one JSON object.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "job_observer.h"
#include "test_cluster.h"

DEFINE_int32(tries, 30, "Jobs started by reclaim, and urgent jobs started.");
DEFINE_int32(takeovers, 10, "Kills of the coordinator.");
DEFINE_int32(checkpoint_ms, 200, "Checkpoint time of the stand-in workers.");

namespace thornplank {
namespace {

constexpr int kAcceleratorsPerWorker = 8;
constexpr Milliseconds kEndlessRun{3600000};
constexpr Milliseconds kShortRun{100};
// Other entries do not replace a new coordinator for 3 s; after an earlier kill
// the result would include that time.
constexpr Duration kSettleTime = std::chrono::seconds(4);
constexpr Duration kWaitLimit = std::chrono::seconds(60);

int64_t NowMs() { return ToUnixMilliseconds(std::chrono::system_clock::now()); }

double Percentile(std::vector<int64_t> sorted, double share) {
  if (sorted.empty()) return 0;
  std::sort(sorted.begin(), sorted.end());
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  return static_cast<double>(sorted[static_cast<size_t>(rank) - 1]);
}

Json Summary(const std::vector<int64_t>& times_ms) {
  return {{"tries", times_ms.size()},
          {"p50_ms", Percentile(times_ms, 0.5)},
          {"p99_ms", Percentile(times_ms, 0.99)},
          {"max_ms", Percentile(times_ms, 1)}};
}

// Start time of the last of `members`; nullopt if not all start in time.
std::optional<int64_t> AwaitStart(JobObserver* jobs, const std::string& id,
                                  int members) {
  if (!TestCluster::Eventually(
          [&] { return jobs->Count(id, "started") >= members; }, kWaitLimit)) {
    return std::nullopt;
  }
  int64_t last = 0;
  for (const LeaseEvent& event : jobs->History()) {
    if (event.job_id != id || event.type != "started") continue;
    last = std::max(last, event.time_ms);
  }
  return last;
}

// Repeatedly submits `job` while `borrowers` use all accelerators, and cancels
// it once it has started.
std::vector<int64_t> MeasureStarts(TestCluster* cluster, JobObserver* jobs,
                                   const Json& job,
                                   const std::vector<std::string>& borrowers) {
  std::vector<int64_t> times_ms;
  const int members = static_cast<int>(IntField(job, "members").value_or(1));
  for (int i = 0; i < FLAGS_tries; ++i) {
    if (!jobs->AwaitPhases(borrowers, "running", kWaitLimit)) break;
    const int64_t begin_ms = NowMs();
    const std::string id = jobs->Submit(i % 3, job);
    const auto started = AwaitStart(jobs, id, members);
    if (!started) break;
    times_ms.push_back(*started - begin_ms);
    cluster->Call(0, "DELETE", "/v1/jobs/" + id);
  }
  return times_ms;
}

std::vector<int64_t> MeasureTakeovers(TestCluster* cluster, JobObserver* jobs) {
  std::vector<int64_t> times_ms;
  for (int i = 0; i < FLAGS_takeovers; ++i) {
    const int former = jobs->AwaitCoordinator(-1);
    if (former < 0) break;
    std::this_thread::sleep_for(kSettleTime);
    const int64_t begin_ms = NowMs();
    cluster->entry(former).Kill();
    const std::string id = jobs->Submit(
        (former + 1) % 3,
        JobObserver::MakeJob("south", 1, kAcceleratorsPerWorker, kShortRun));
    const auto started = AwaitStart(jobs, id, 1);
    if (!started) break;
    times_ms.push_back(*started - begin_ms);
    cluster->StartEntry(former);
    if (!cluster->WaitReady(former)) break;
  }
  return times_ms;
}

Json MakeAccount(const Json& shapes) {
  return {{"kind", "account"}, {"guaranteed_shapes", shapes}};
}

int Run() {
  TestClusterSettings settings;
  settings.checkpoint_ms = FLAGS_checkpoint_ms;
  TestCluster cluster{settings};
  const Json shape = {{"members", 3},
                      {"accelerators", kAcceleratorsPerWorker},
                      {"adjacency", "rack"},
                      {"count", 1}};
  if (!cluster.Start() ||
      !cluster.PutNode(0, "north", MakeAccount(Json::array({shape}))) ||
      !cluster.PutNode(0, "south", MakeAccount(Json::array()))) {
    std::cerr << "the cluster did not start\n";
    return 1;
  }
  JobObserver jobs(&cluster, settings);
  Json result = {{"checkpoint_ms", FLAGS_checkpoint_ms},
                 {"workers", settings.workers},
                 {"entries", settings.entries}};
  result["takeover_to_placement"] = Summary(MeasureTakeovers(&cluster, &jobs));

  const std::vector<std::string> borrowers = jobs.SubmitMany(
      0, JobObserver::MakeJob("south", 2, 4, kEndlessRun), settings.workers);
  Json guaranteed =
      JobObserver::MakeJob("north", 3, kAcceleratorsPerWorker, kEndlessRun);
  guaranteed["adjacency"] = "rack";
  result["reclaim"] =
      Summary(MeasureStarts(&cluster, &jobs, guaranteed, borrowers));
  Json urgent =
      JobObserver::MakeJob("south", 2, kAcceleratorsPerWorker, kEndlessRun);
  urgent["priority"] = "urgent";
  result["urgent"] = Summary(MeasureStarts(&cluster, &jobs, urgent, borrowers));
  std::cout << result.dump(2) << std::endl;
  return 0;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return thornplank::Run();
}
