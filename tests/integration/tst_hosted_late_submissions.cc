// Jobs whose cancellation is answered before their submission is stored, with
// real processes.
#include <doctest/doctest.h>

#include <numeric>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "hosted_scenario.h"

namespace thornplank {
namespace {

constexpr int kGone = 410;
// The store carries the appends of a submission out after this time.
constexpr int kLateMs = 4000;
// Until a caller gives up: longer than an entry tries to store a submission;
// and so short that an entry which was paused for it takes submissions at once.
constexpr Milliseconds kLongTimeout{2500};
constexpr Milliseconds kShortTimeout{700};
// From a late append until a job that may run has certainly begun.
constexpr std::chrono::seconds kTimeToBegin{3};
constexpr int kJobs = 5;

TestJob MakeTestJob(int number) {
  TestJob job;
  job.id = JobId(number);
  job.steps = {Step(1, 1), Step(1, 1, {0})};
  return job;
}

// The entries that get the submissions and the cancellations; neither leads.
struct Entries {
  int submit = 0;
  int cancel = 0;
};

Entries FindEntries(HostedCluster* cluster) {
  const int count = cluster->settings().entries;
  for (int i = 0; i < count; ++i) {
    REQUIRE(HostedCluster::Eventually([&] { return cluster->IsReplica(i); }));
  }
  const int leader = cluster->Leader();
  return {(leader + 1) % count, (leader + 2) % count};
}

// The store answers no append of the submission, and carries it out after
// kLateMs.
std::vector<TestJob> CancelBeforeLateAppend(HostedCluster* cluster,
                                            const Entries& entries) {
  const TestJob job = MakeTestJob(0);
  REQUIRE(cluster->ControlStore(
      {{"late_key", "j" + job.id}, {"late_ms", kLateMs}}));
  CHECK(cluster->Submit(entries.submit, job) == 504);
  CHECK(cluster->Cancel(entries.cancel, job) == kGone);
  return {job};
}

// The callers give up while the entry that has their submissions is paused.
std::vector<TestJob> CancelDuringPause(HostedCluster* cluster,
                                       const Entries& entries) {
  std::vector<TestJob> jobs;
  jobs.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) jobs.push_back(MakeTestJob(i));
  cluster->entry(entries.submit).Suspend();
  std::vector<std::thread> callers;
  callers.reserve(jobs.size());
  for (const TestJob& job : jobs) {
    callers.emplace_back(
        [&] { CHECK(cluster->Submit(entries.submit, job) == 0); });
  }
  for (std::thread& caller : callers) caller.join();
  for (const TestJob& job : jobs) {
    CHECK(cluster->Cancel(entries.cancel, job) == kGone);
  }
  cluster->entry(entries.submit).Resume();
  return jobs;
}

// What happens before a late append is carried out.
enum class Restart { kNone, kLeader, kAllAndNoHistory };

void KillAndStart(HostedCluster* cluster, Restart restart) {
  if (restart == Restart::kNone) return;
  std::vector<int> entries = {cluster->Leader()};
  if (restart == Restart::kAllAndNoHistory) {
    entries.resize(static_cast<size_t>(cluster->settings().entries));
    std::iota(entries.begin(), entries.end(), 0);
    REQUIRE(cluster->ControlStore({{"drop_history", true}}));
  }
  for (const int entry : entries) cluster->entry(entry).Kill();
  for (const int entry : entries) cluster->StartEntry(entry);
}

struct Row {
  const char* name;
  std::vector<TestJob> (*cancel)(HostedCluster*, const Entries&);
  Restart restart;
  Milliseconds caller_timeout;
};

// Guards against a job that runs though its caller was told that there is no
// such job: its submission was stored only after that.
TEST_CASE("no job runs that was cancelled before its submission was stored") {
  const std::vector<Row> rows = {
      {"late append", CancelBeforeLateAppend, Restart::kNone, kLongTimeout},
      {"late append, another leader", CancelBeforeLateAppend, Restart::kLeader,
       kLongTimeout},
      {"late append, entries that read snapshots only", CancelBeforeLateAppend,
       Restart::kAllAndNoHistory, kLongTimeout},
      {"paused entry", CancelDuringPause, Restart::kNone, kShortTimeout},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    HostedClusterSettings settings;
    settings.caller_timeout = row.caller_timeout;
    HostedScenario scenario(settings);
    HostedCluster& cluster = scenario.cluster();
    const Entries entries = FindEntries(&cluster);
    const std::vector<TestJob> jobs = row.cancel(&cluster, entries);
    KillAndStart(&cluster, row.restart);
    std::this_thread::sleep_for(Milliseconds(kLateMs) + kTimeToBegin);
    CHECK(cluster.Runs().empty());
    for (int i = 0; i < settings.entries; ++i) {
      REQUIRE(cluster.WaitReady(i));
    }
    const std::set<std::string> not_accepted = {"gone", "cancelled"};
    for (const TestJob& job : jobs) {
      CHECK(not_accepted.count(cluster.State(entries.cancel, job)) == 1);
      // The same id, submitted anew.
      CHECK(cluster.Submit(entries.cancel, job) == 503);
    }
    CHECK(cluster.Runs().empty());
  }
}

// Guards against a cancellation that ends more than its caller's own job.
TEST_CASE("a cancellation that comes first binds its own account alone") {
  HostedScenario scenario;
  HostedCluster& cluster = scenario.cluster();
  TestJob foreign;
  foreign.id = JobId(0);
  foreign.account_key = HostedCluster::OtherAccountKey();
  CHECK(cluster.Cancel(0, foreign) == kGone);
  scenario.Submit(0, {Step(2, 1)}, 100);
  CHECK(cluster.Cancel(1, foreign) == kGone);
  scenario.AwaitAndCheckJobs();
  CHECK(cluster.Runs().size() == 2);
}

}  // namespace
}  // namespace thornplank
