// Entries that are cut off, misreported, replaced and started anew, on real
// processes.
#include <doctest/doctest.h>

#include <csignal>

#include <string>
#include <thread>
#include <vector>

#include "job_observer.h"
#include "settings_calls.h"
#include "test_cluster.h"

namespace thornplank {
namespace {

constexpr int kEntries = 3;
constexpr char kPath[] = "north";
constexpr Milliseconds kLongRun{20000};

TestClusterSettings Settings() {
  TestClusterSettings settings;
  settings.entries = kEntries;
  settings.workers = 3;
  settings.executors = 2;
  return settings;
}

Json AccountWith(int64_t max_queued) {
  return {{"kind", "account"}, {"max_queued", max_queued}};
}

// A caller who repeats what was not run: true once it is answered.
bool IsAnswered(TestCluster& cluster, int entry, const std::string& id) {
  return TestCluster::Eventually([&] {
    const auto response = cluster.SendRequest(entry, kPath, id);
    return response.has_value() &&
           response->headers.Value("Thornplank-Outcome") == "answered" &&
           response->body.find(id) != std::string::npos;
  });
}

void CheckAllAnswer(TestCluster& cluster, const std::string& id) {
  for (int entry = 0; entry < kEntries; ++entry) {
    CAPTURE(entry);
    CHECK(IsAnswered(cluster, entry, id + "-" + std::to_string(entry)));
  }
}

// The state of `name` in the eyes of `entry`.
std::string MemberState(TestCluster& cluster, int entry, int other) {
  const Json status = cluster.CallJson(entry, "GET", "/v1/status");
  const Json* members = ArrayField(status, "members");
  if (members == nullptr) return "";
  for (const Json& member : *members) {
    if (StringField(member, "name") != "entry" + std::to_string(other)) {
      continue;
    }
    return StringField(member, "state").value_or("");
  }
  return "";
}

// Waits until every entry sees all others as alive, or none of them.
bool AwaitMembers(TestCluster& cluster, bool alive) {
  return TestCluster::Eventually(
      [&] {
        for (int entry = 0; entry < kEntries; ++entry) {
          for (int other = 0; other < kEntries; ++other) {
            if (other == entry) continue;
            const bool seen = MemberState(cluster, entry, other) == "alive";
            if (seen != alive) return false;
          }
        }
        return true;
      },
      std::chrono::seconds(40));
}

// Looks for longer than an entry takes to read the instance list again.
void CheckStayAlive(TestCluster& cluster) {
  constexpr int kLooks = 30;
  for (int look = 0; look < kLooks; ++look) {
    for (int entry = 0; entry < kEntries; ++entry) {
      for (int other = 0; other < kEntries; ++other) {
        CAPTURE(entry);
        CAPTURE(other);
        CHECK(MemberState(cluster, entry, other) == "alive");
      }
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
}

struct Coordination {
  int64_t epoch = 0;
  std::string name;
};

bool operator==(const Coordination& a, const Coordination& b) {
  return a.epoch == b.epoch && a.name == b.name;
}

// Waits until the running entries of `entries` agree on a coordinator of an
// epoch above `above`, which says so itself; epoch 0 when they never do.
Coordination AwaitCoordinator(TestCluster& cluster,
                              const std::vector<int>& entries, int64_t above) {
  Coordination agreed;
  const bool found = TestCluster::Eventually(
      [&] {
        bool first = true;
        int claiming = 0;
        for (const int entry : entries) {
          const Json status = cluster.CallJson(entry, "GET", "/v1/status");
          const Coordination here{
              IntField(status, "epoch").value_or(0),
              StringField(status, "coordinator").value_or("")};
          if (first) agreed = here;
          first = false;
          if (!(here == agreed)) return false;
          if (BoolField(status, "is_coordinator").value_or(false)) ++claiming;
        }
        return agreed.epoch > above && !agreed.name.empty() && claiming == 1;
      },
      std::chrono::seconds(40));
  return found ? agreed : Coordination();
}

int IndexOf(const Coordination& coordination) {
  return std::stoi(coordination.name.substr(std::string("entry").size()));
}

std::vector<int> Without(int left_out) {
  std::vector<int> entries;
  for (int entry = 0; entry < kEntries; ++entry) {
    if (entry != left_out) entries.push_back(entry);
  }
  return entries;
}

bool ControlPeers(TestCluster& cluster, const Json& faults) {
  for (int entry = 0; entry < kEntries; ++entry) {
    if (!cluster.Control(cluster.peer_proxy_control(entry), faults)) {
      return false;
    }
  }
  return true;
}

TEST_CASE("entries cut off from each other go on, and heal without reverting") {
  TestClusterSettings settings = Settings();
  settings.proxy_peers = true;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsCalls calls(&cluster, kEntries);
  REQUIRE(calls.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  REQUIRE(AwaitMembers(cluster, /*alive=*/true));

  REQUIRE(ControlPeers(cluster, {{"cut", true}}));
  CHECK(AwaitMembers(cluster, /*alive=*/false));
  for (int entry = 0; entry < kEntries; ++entry) {
    CAPTURE(entry);
    // The log carries the change to all, whoever is cut off.
    const PutTold told =
        calls.PutUntilAccepted(entry, kPath, AccountWith(200 + entry));
    REQUIRE(told.status == 200);
    CHECK(calls.AwaitState(calls.all(), {kPath}, calls.State(entry, {kPath})));
  }
  CheckAllAnswer(cluster, "cut");
  const Json expected = calls.State(0, {kPath});
  const int64_t epoch =
      IntField(cluster.CallJson(0, "GET", "/v1/status"), "epoch").value_or(0);

  REQUIRE(ControlPeers(cluster, {{"heal", true}}));
  CHECK(AwaitMembers(cluster, /*alive=*/true));
  for (int entry = 0; entry < kEntries; ++entry) {
    CHECK(calls.State(entry, {kPath}) == expected);
  }
  CHECK(AwaitCoordinator(cluster, calls.all(), epoch - 1).epoch >= epoch);
  CheckAllAnswer(cluster, "healed");
  CHECK(calls.History(0, kPath).size() == 1 + kEntries);
}

Json ListedEntry(TestCluster& cluster, int entry, const std::string& state) {
  return {{"name", "entry" + std::to_string(entry)},
          {"kind", "entry"},
          {"address", cluster.entry_address(entry)},
          {"failure_domain", "a"},
          {"state", state}};
}

Json DeadExecutor(TestCluster& cluster, int number) {
  // Nobody listens there: the test starts two executors only.
  return {{"name", "x" + std::to_string(number)},
          {"kind", "executor"},
          {"address", cluster.executor_address(number)},
          {"failure_domain", "b"},
          {"state", "live"},
          {"service", "claims"},
          {"slots", 8}};
}

TEST_CASE("an instance list that lies or is silent is survived") {
  TestClusterSettings settings = Settings();
  // Slow to judge by heartbeats, so that only the list could tell them apart.
  settings.entry_overrides["membership"] = {{"suspect_after_ms", 20000},
                                            {"dead_after_ms", 60000}};
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsCalls calls(&cluster, kEntries);
  REQUIRE(calls.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  REQUIRE(AwaitMembers(cluster, /*alive=*/true));
  CheckAllAnswer(cluster, "true");
  const std::string list = cluster.instance_list_address();
  const Json instances = cluster.ControlState(list)["instances"];
  REQUIRE(instances.is_array());
  const auto await_listed = [&](const std::string& name, bool listed) {
    for (int entry = 0; entry < kEntries; ++entry) {
      CHECK(TestCluster::Eventually([&] {
        const Json shown = cluster.CallJson(entry, "GET", "/v1/instances");
        return (shown.dump().find('"' + name + '"') != std::string::npos) ==
               listed;
      }));
    }
  };

  // Dead executors are listed, one that lives is not, and of the entries one
  // is missing and one is said to leave.
  Json lies = Json::array();
  for (const Json& instance : instances) {
    if (StringField(instance, "name") != "x1") lies.push_back(instance);
  }
  lies.push_back(DeadExecutor(cluster, 7));
  lies.push_back(DeadExecutor(cluster, 8));
  lies.push_back(ListedEntry(cluster, 0, "live"));
  lies.push_back(ListedEntry(cluster, 1, "leaving"));
  REQUIRE(cluster.Control(list, {{"instances", lies}}));
  await_listed("x8", true);
  await_listed("x1", false);
  for (int round = 0; round < 5; ++round) {
    CheckAllAnswer(cluster, "lies-" + std::to_string(round));
  }
  CheckStayAlive(cluster);

  REQUIRE(cluster.Control(list, {{"remove", "entry0"}}));
  await_listed("entry0", false);
  CheckStayAlive(cluster);

  REQUIRE(cluster.Control(list, {{"outage", true}}));
  for (int entry = 0; entry < kEntries; ++entry) {
    CHECK(TestCluster::Eventually(
        [&] { return !cluster.Events(entry, 751).empty(); }));
    CHECK(cluster.WaitReady(entry));
  }
  CheckAllAnswer(cluster, "outage");
  CHECK(AwaitMembers(cluster, /*alive=*/true));

  // With the truth again, the executor that was left out is used again.
  REQUIRE(cluster.Control(list, {{"outage", false}, {"instances", instances}}));
  await_listed("x1", true);
  await_listed("x8", false);
  CheckAllAnswer(cluster, "truth");
}

TEST_CASE("an entry that can read neither log nor peer serves no defaults") {
  TestClusterSettings settings = Settings();
  settings.proxy_peers = true;
  settings.proxy_log = true;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsCalls calls(&cluster, kEntries);
  REQUIRE(calls.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  REQUIRE(calls.AwaitState(calls.all(), {kPath}, calls.State(0, {kPath})));
  const Json expected = calls.State(0, {kPath});

  constexpr int kNew = 2;
  cluster.entry(kNew).Kill();
  REQUIRE(cluster.Control(cluster.log_proxy_control(), {{"cut", true}}));
  REQUIRE(ControlPeers(cluster, {{"cut", true}}));
  cluster.StartEntry(kNew);
  REQUIRE(TestCluster::Eventually(
      [&] { return cluster.Call(kNew, "GET", "/healthz").has_value(); }));
  constexpr int kLooks = 40;
  constexpr Milliseconds kBetweenLooks{100};
  for (int look = 0; look < kLooks; ++look) {
    CAPTURE(look);
    const auto ready = cluster.Call(kNew, "GET", "/readyz");
    REQUIRE(ready.has_value());
    CHECK(ready->status == 503);
    const auto read = cluster.Call(kNew, "GET", "/v1/settings/north");
    REQUIRE(read.has_value());
    CHECK(read->status == 503);
    CHECK(calls.Put(kNew, kPath, AccountWith(1), 0).status == 503);
    const auto response = cluster.SendRequest(
        kNew, kPath, "early-" + std::to_string(look), "", Milliseconds(100));
    REQUIRE(response.has_value());
    CHECK(response->status == 503);
    CHECK(response->headers.Value("Thornplank-Outcome") == "not-run");
    const auto keyed = cluster.SendRequest(kNew, kPath, "early", "early-key");
    REQUIRE(keyed.has_value());
    CHECK(keyed->headers.Value("Thornplank-Outcome") == "not-run");
    std::this_thread::sleep_for(kBetweenLooks);
  }
  // The others go on without the log.
  for (const int entry : Without(kNew)) {
    CHECK(IsAnswered(cluster, entry, "others-" + std::to_string(entry)));
  }

  // A peer alone is enough.
  REQUIRE(ControlPeers(cluster, {{"heal", true}}));
  CHECK(cluster.WaitReady(kNew, std::chrono::seconds(40)));
  CHECK(calls.State(kNew, {kPath}) == expected);
  CHECK(IsAnswered(cluster, kNew, "from-peer"));
  const PutTold refused =
      calls.Put(kNew, kPath, AccountWith(1), calls.Version(kNew, kPath));
  CHECK(refused.status == 503);
  CHECK(refused.outcome == "not-run");

  REQUIRE(cluster.Control(cluster.log_proxy_control(), {{"heal", true}}));
  const PutTold after = calls.PutUntilAccepted(kNew, kPath, AccountWith(7));
  REQUIRE(after.status == 200);
  CHECK(calls.AwaitState(calls.all(), {kPath}, calls.State(kNew, {kPath})));
  CHECK(calls.History(kNew, kPath).size() == 2);
}

TEST_CASE("two new entries do not call each other complete") {
  TestClusterSettings settings = Settings();
  settings.proxy_log = true;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsCalls calls(&cluster, kEntries);
  REQUIRE(calls.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  const Json expected = calls.State(0, {kPath});
  const std::vector<int> joining = Without(0);

  // The one entry that knows the state stands still.
  for (const int entry : joining) cluster.entry(entry).Kill();
  cluster.entry(0).Freeze();
  REQUIRE(cluster.Control(cluster.log_proxy_control(), {{"cut", true}}));
  for (const int entry : joining) cluster.StartEntry(entry);
  for (const int entry : joining) {
    REQUIRE(TestCluster::Eventually(
        [&] { return !MemberState(cluster, entry, 3 - entry).empty(); }));
  }
  constexpr int kLooks = 100;
  for (int look = 0; look < kLooks; ++look) {
    for (const int entry : joining) {
      CAPTURE(entry);
      const Json status = cluster.CallJson(entry, "GET", "/v1/status");
      REQUIRE(status.contains("ready"));
      CHECK(status["ready"] == false);
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }

  cluster.entry(0).Thaw();
  for (const int entry : joining) {
    CAPTURE(entry);
    CHECK(cluster.WaitReady(entry, std::chrono::seconds(40)));
    CHECK(calls.State(entry, {kPath}) == expected);
  }
}

int Resignations(SettingsCalls& calls) {
  const Json answer = calls.LogRecords("jobs");
  const Json* records = ArrayField(answer, "records");
  if (records == nullptr) return -1;
  int count = 0;
  for (const Json& record : *records) {
    const Json* data = ObjectField(record, "data");
    if (data != nullptr && StringField(*data, "type") == "resign") ++count;
  }
  return count;
}

TEST_CASE("a coordinator resigns when stopped and is replaced when killed") {
  TestCluster cluster{Settings()};
  REQUIRE(cluster.Start());
  SettingsCalls calls(&cluster, kEntries);
  const Coordination first = AwaitCoordinator(cluster, calls.all(), 0);
  REQUIRE(first.epoch > 0);
  const int resignations = Resignations(calls);

  const int stopped = IndexOf(first);
  cluster.entry(stopped).Signal(SIGTERM);
  CHECK(cluster.entry(stopped).Wait(std::chrono::seconds(40)) == 0);
  CHECK(Resignations(calls) == resignations + 1);
  const Coordination second =
      AwaitCoordinator(cluster, Without(stopped), first.epoch);
  REQUIRE(second.epoch > first.epoch);
  CHECK(second.name != first.name);
  cluster.StartEntry(stopped);
  REQUIRE(cluster.WaitReady(stopped));

  const int killed = IndexOf(second);
  cluster.entry(killed).Kill();
  const Coordination third =
      AwaitCoordinator(cluster, Without(killed), second.epoch);
  REQUIRE(third.epoch > second.epoch);
  CHECK(third.name != second.name);
  CHECK(Resignations(calls) == resignations + 1);
  cluster.StartEntry(killed);
  REQUIRE(cluster.WaitReady(killed));
  CHECK(AwaitMembers(cluster, /*alive=*/true));
}

TEST_CASE("all entries are replaced in turn; settings and jobs stay") {
  const TestClusterSettings settings = Settings();
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsCalls calls(&cluster, kEntries);
  REQUIRE(calls.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  REQUIRE(calls.PutUntilAccepted(0, "", {{"weight", 2}}).status == 200);
  const Json expected = calls.State(0, {"", kPath});
  REQUIRE(calls.AwaitState(calls.all(), {"", kPath}, expected));
  JobObserver jobs(&cluster, settings);
  const std::string running =
      jobs.Submit(0, JobObserver::MakeJob(kPath, 2, 8, kLongRun));
  REQUIRE(jobs.AwaitPhase(running, "running"));
  const std::string waiting =
      jobs.Submit(1, JobObserver::MakeJob(kPath, 3, 8, Milliseconds(200)));
  REQUIRE_FALSE(waiting.empty());

  for (int entry = 0; entry < kEntries; ++entry) {
    CAPTURE(entry);
    cluster.entry(entry).Signal(SIGTERM);
    for (const int other : Without(entry)) {
      CHECK(IsAnswered(
          cluster, other,
          "during-" + std::to_string(entry) + "-" + std::to_string(other)));
    }
    CHECK(cluster.entry(entry).Wait(std::chrono::seconds(40)) == 0);
    cluster.StartEntry(entry);
    REQUIRE(cluster.WaitReady(entry, std::chrono::seconds(40)));
    CHECK(calls.State(entry, {"", kPath}) == expected);
    const Json job = cluster.CallJson(entry, "GET", "/v1/jobs/" + waiting);
    CHECK(StringField(job, "id") == waiting);
  }
  CheckAllAnswer(cluster, "replaced");
  CHECK(jobs.AwaitPhase(running, "finished"));
  CHECK(jobs.AwaitPhase(waiting, "finished"));
  // Undisturbed: each member started once.
  CHECK(jobs.Count(running, "started") == 2);
  CHECK(jobs.Count(waiting, "started") == 3);
  CHECK(jobs.CheckGangs(Milliseconds(0)) == "");
}

}  // namespace
}  // namespace thornplank
