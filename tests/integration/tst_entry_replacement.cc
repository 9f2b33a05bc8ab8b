// Entries that are partitioned, misreported by the instance list, replaced and
// restarted, with real processes.
#include <doctest/doctest.h>

#include <csignal>

#include <string>
#include <thread>
#include <vector>

#include "job_observer.h"
#include "settings_client.h"
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

// Repeats a request until it is answered; false on time-out.
bool AwaitAnswered(TestCluster& cluster, int entry, const std::string& id) {
  return TestCluster::Eventually([&] {
    const auto response = cluster.SendRequest(entry, kPath, id);
    return response.has_value() &&
           response->headers.Value("Thornplank-Outcome") == "answered" &&
           response->body.find(id) != std::string::npos;
  });
}

void CheckAllEntriesAnswer(TestCluster& cluster, const std::string& id) {
  for (int entry = 0; entry < kEntries; ++entry) {
    CAPTURE(entry);
    CHECK(AwaitAnswered(cluster, entry, id + "-" + std::to_string(entry)));
  }
}

// The state that `entry` reports for the entry `other`; empty if it does not
// know it.
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

// Waits until every entry sees all others as alive, or, if `alive` is false,
// none of them.
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

// Checks for longer than the interval at which entries read the instance list.
void CheckMembersStayAlive(TestCluster& cluster) {
  constexpr int kPolls = 30;
  for (int poll = 0; poll < kPolls; ++poll) {
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

struct CoordinatorView {
  int64_t epoch = 0;
  std::string name;
};

bool operator==(const CoordinatorView& a, const CoordinatorView& b) {
  return a.epoch == b.epoch && a.name == b.name;
}

// Waits until `entries` agree on a coordinator with an epoch above `above` and
// exactly one of them reports to be it; epoch 0 on time-out.
CoordinatorView AwaitCoordinator(TestCluster& cluster,
                                 const std::vector<int>& entries,
                                 int64_t above) {
  CoordinatorView agreed;
  const bool found = TestCluster::Eventually(
      [&] {
        bool first = true;
        int claimants = 0;
        for (const int entry : entries) {
          const Json status = cluster.CallJson(entry, "GET", "/v1/status");
          const CoordinatorView here{
              IntField(status, "epoch").value_or(0),
              StringField(status, "coordinator").value_or("")};
          if (first) agreed = here;
          first = false;
          if (!(here == agreed)) return false;
          if (BoolField(status, "is_coordinator").value_or(false)) ++claimants;
        }
        return agreed.epoch > above && !agreed.name.empty() && claimants == 1;
      },
      std::chrono::seconds(40));
  return found ? agreed : CoordinatorView();
}

int EntryIndex(const CoordinatorView& view) {
  return std::stoi(view.name.substr(std::string("entry").size()));
}

std::vector<int> EntriesExcept(int excluded) {
  std::vector<int> entries;
  for (int entry = 0; entry < kEntries; ++entry) {
    if (entry != excluded) entries.push_back(entry);
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

TEST_CASE(
    "partitioned entries keep serving and rejoin without reverting changes") {
  TestClusterSettings settings = Settings();
  settings.proxy_peers = true;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsClient client(&cluster, kEntries);
  REQUIRE(client.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  REQUIRE(AwaitMembers(cluster, /*alive=*/true));

  REQUIRE(ControlPeers(cluster, {{"cut", true}}));
  CHECK(AwaitMembers(cluster, /*alive=*/false));
  for (int entry = 0; entry < kEntries; ++entry) {
    CAPTURE(entry);
    // The change reaches the other entries through the log.
    const PutResult result =
        client.PutUntilAccepted(entry, kPath, AccountWith(200 + entry));
    REQUIRE(result.status == 200);
    CHECK(
        client.AwaitState(client.all(), {kPath}, client.State(entry, {kPath})));
  }
  CheckAllEntriesAnswer(cluster, "cut");
  const Json expected = client.State(0, {kPath});
  const int64_t epoch =
      IntField(cluster.CallJson(0, "GET", "/v1/status"), "epoch").value_or(0);

  REQUIRE(ControlPeers(cluster, {{"heal", true}}));
  CHECK(AwaitMembers(cluster, /*alive=*/true));
  for (int entry = 0; entry < kEntries; ++entry) {
    CHECK(client.State(entry, {kPath}) == expected);
  }
  CHECK(AwaitCoordinator(cluster, client.all(), epoch - 1).epoch >= epoch);
  CheckAllEntriesAnswer(cluster, "rejoined");
  CHECK(client.History(0, kPath).size() == 1 + kEntries);
}

Json ListedEntry(TestCluster& cluster, int entry, const std::string& state) {
  return {{"name", "entry" + std::to_string(entry)},
          {"kind", "entry"},
          {"address", cluster.entry_address(entry)},
          {"failure_domain", "a"},
          {"state", state}};
}

Json DeadExecutor(TestCluster& cluster, int number) {
  // Nothing listens at this address, because the test starts only two
  // executors.
  return {{"name", "x" + std::to_string(number)},
          {"kind", "executor"},
          {"address", cluster.executor_address(number)},
          {"failure_domain", "b"},
          {"state", "live"},
          {"service", "claims"},
          {"slots", 8}};
}

TEST_CASE("a wrong or unavailable instance list does no harm") {
  TestClusterSettings settings = Settings();
  // With such long heartbeat limits only the list could make an entry change
  // its view of the members.
  settings.entry_overrides["membership"] = {{"suspect_after_ms", 20000},
                                            {"dead_after_ms", 60000}};
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsClient client(&cluster, kEntries);
  REQUIRE(client.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  REQUIRE(AwaitMembers(cluster, /*alive=*/true));
  CheckAllEntriesAnswer(cluster, "initial");
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

  // The false list contains two dead executors and omits a live one. Of the
  // entries it omits one and reports one as leaving.
  Json false_list = Json::array();
  for (const Json& instance : instances) {
    if (StringField(instance, "name") != "x1") false_list.push_back(instance);
  }
  false_list.push_back(DeadExecutor(cluster, 7));
  false_list.push_back(DeadExecutor(cluster, 8));
  false_list.push_back(ListedEntry(cluster, 0, "live"));
  false_list.push_back(ListedEntry(cluster, 1, "leaving"));
  REQUIRE(cluster.Control(list, {{"instances", false_list}}));
  await_listed("x8", true);
  await_listed("x1", false);
  for (int round = 0; round < 5; ++round) {
    CheckAllEntriesAnswer(cluster, "false-list-" + std::to_string(round));
  }
  CheckMembersStayAlive(cluster);

  REQUIRE(cluster.Control(list, {{"remove", "entry0"}}));
  await_listed("entry0", false);
  CheckMembersStayAlive(cluster);

  REQUIRE(cluster.Control(list, {{"outage", true}}));
  for (int entry = 0; entry < kEntries; ++entry) {
    CHECK(TestCluster::Eventually(
        [&] { return !cluster.Events(entry, 751).empty(); }));
    CHECK(cluster.WaitReady(entry));
  }
  CheckAllEntriesAnswer(cluster, "outage");
  CHECK(AwaitMembers(cluster, /*alive=*/true));

  // With the correct list again, the omitted executor is known again.
  REQUIRE(cluster.Control(list, {{"outage", false}, {"instances", instances}}));
  await_listed("x1", true);
  await_listed("x8", false);
  CheckAllEntriesAnswer(cluster, "correct-list");
}

TEST_CASE(
    "an entry that can read neither log nor peers does not serve defaults") {
  TestClusterSettings settings = Settings();
  settings.proxy_peers = true;
  settings.proxy_log = true;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsClient client(&cluster, kEntries);
  REQUIRE(client.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  REQUIRE(client.AwaitState(client.all(), {kPath}, client.State(0, {kPath})));
  const Json expected = client.State(0, {kPath});

  constexpr int kJoining = 2;
  cluster.entry(kJoining).Kill();
  REQUIRE(cluster.Control(cluster.log_proxy_control(), {{"cut", true}}));
  REQUIRE(ControlPeers(cluster, {{"cut", true}}));
  cluster.StartEntry(kJoining);
  REQUIRE(TestCluster::Eventually(
      [&] { return cluster.Call(kJoining, "GET", "/healthz").has_value(); }));
  constexpr int kPolls = 40;
  constexpr Milliseconds kPollPause{100};
  for (int poll = 0; poll < kPolls; ++poll) {
    CAPTURE(poll);
    const auto ready = cluster.Call(kJoining, "GET", "/readyz");
    REQUIRE(ready.has_value());
    CHECK(ready->status == 503);
    const auto read = cluster.Call(kJoining, "GET", "/v1/settings/north");
    REQUIRE(read.has_value());
    CHECK(read->status == 503);
    CHECK(client.Put(kJoining, kPath, AccountWith(1), 0).status == 503);
    const auto response =
        cluster.SendRequest(kJoining, kPath, "early-" + std::to_string(poll),
                            "", Milliseconds(100));
    REQUIRE(response.has_value());
    CHECK(response->status == 503);
    CHECK(response->headers.Value("Thornplank-Outcome") == "not-run");
    const auto keyed =
        cluster.SendRequest(kJoining, kPath, "early", "early-key");
    REQUIRE(keyed.has_value());
    CHECK(keyed->headers.Value("Thornplank-Outcome") == "not-run");
    std::this_thread::sleep_for(kPollPause);
  }
  // The others keep serving without the log.
  for (const int entry : EntriesExcept(kJoining)) {
    CHECK(AwaitAnswered(cluster, entry, "others-" + std::to_string(entry)));
  }

  // A peer is enough to get the settings.
  REQUIRE(ControlPeers(cluster, {{"heal", true}}));
  CHECK(cluster.WaitReady(kJoining, std::chrono::seconds(40)));
  CHECK(client.State(kJoining, {kPath}) == expected);
  CHECK(AwaitAnswered(cluster, kJoining, "from-peer"));
  const PutResult refused = client.Put(kJoining, kPath, AccountWith(1),
                                       client.Version(kJoining, kPath));
  CHECK(refused.status == 503);
  CHECK(refused.outcome == "not-run");

  REQUIRE(cluster.Control(cluster.log_proxy_control(), {{"heal", true}}));
  const PutResult after =
      client.PutUntilAccepted(kJoining, kPath, AccountWith(7));
  REQUIRE(after.status == 200);
  CHECK(client.AwaitState(client.all(), {kPath},
                          client.State(kJoining, {kPath})));
  CHECK(client.History(kJoining, kPath).size() == 2);
}

TEST_CASE("two joining entries do not take each other's state as complete") {
  TestClusterSettings settings = Settings();
  settings.proxy_log = true;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsClient client(&cluster, kEntries);
  REQUIRE(client.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  const Json expected = client.State(0, {kPath});
  const std::vector<int> joining = EntriesExcept(0);

  // The only entry with the complete state is suspended.
  for (const int entry : joining) cluster.entry(entry).Kill();
  cluster.entry(0).Suspend();
  REQUIRE(cluster.Control(cluster.log_proxy_control(), {{"cut", true}}));
  for (const int entry : joining) cluster.StartEntry(entry);
  for (const int entry : joining) {
    REQUIRE(TestCluster::Eventually(
        [&] { return !MemberState(cluster, entry, 3 - entry).empty(); }));
  }
  constexpr int kPolls = 100;
  for (int poll = 0; poll < kPolls; ++poll) {
    for (const int entry : joining) {
      CAPTURE(entry);
      const Json status = cluster.CallJson(entry, "GET", "/v1/status");
      REQUIRE(status.contains("ready"));
      CHECK(status["ready"] == false);
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }

  cluster.entry(0).Resume();
  for (const int entry : joining) {
    CAPTURE(entry);
    CHECK(cluster.WaitReady(entry, std::chrono::seconds(40)));
    CHECK(client.State(entry, {kPath}) == expected);
  }
}

int CountResignations(SettingsClient& client) {
  const Json answer = client.LogRecords("jobs");
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
  SettingsClient client(&cluster, kEntries);
  const CoordinatorView first = AwaitCoordinator(cluster, client.all(), 0);
  REQUIRE(first.epoch > 0);
  const int resignations = CountResignations(client);

  const int stopped = EntryIndex(first);
  cluster.entry(stopped).Signal(SIGTERM);
  CHECK(cluster.entry(stopped).Wait(std::chrono::seconds(40)) == 0);
  CHECK(CountResignations(client) == resignations + 1);
  const CoordinatorView second =
      AwaitCoordinator(cluster, EntriesExcept(stopped), first.epoch);
  REQUIRE(second.epoch > first.epoch);
  CHECK(second.name != first.name);
  cluster.StartEntry(stopped);
  REQUIRE(cluster.WaitReady(stopped));

  const int killed = EntryIndex(second);
  cluster.entry(killed).Kill();
  const CoordinatorView third =
      AwaitCoordinator(cluster, EntriesExcept(killed), second.epoch);
  REQUIRE(third.epoch > second.epoch);
  CHECK(third.name != second.name);
  CHECK(CountResignations(client) == resignations + 1);
  cluster.StartEntry(killed);
  REQUIRE(cluster.WaitReady(killed));
  CHECK(AwaitMembers(cluster, /*alive=*/true));
}

TEST_CASE("settings and jobs survive the replacement of all entries in turn") {
  const TestClusterSettings settings = Settings();
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  SettingsClient client(&cluster, kEntries);
  REQUIRE(client.PutUntilAccepted(0, kPath, AccountWith(100)).status == 200);
  REQUIRE(client.PutUntilAccepted(0, "", {{"weight", 2}}).status == 200);
  const Json expected = client.State(0, {"", kPath});
  REQUIRE(client.AwaitState(client.all(), {"", kPath}, expected));
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
    for (const int other : EntriesExcept(entry)) {
      CHECK(AwaitAnswered(
          cluster, other,
          "during-" + std::to_string(entry) + "-" + std::to_string(other)));
    }
    CHECK(cluster.entry(entry).Wait(std::chrono::seconds(40)) == 0);
    cluster.StartEntry(entry);
    REQUIRE(cluster.WaitReady(entry, std::chrono::seconds(40)));
    CHECK(client.State(entry, {"", kPath}) == expected);
    const Json job = cluster.CallJson(entry, "GET", "/v1/jobs/" + waiting);
    CHECK(StringField(job, "id") == waiting);
  }
  CheckAllEntriesAnswer(cluster, "replaced");
  CHECK(jobs.AwaitPhase(running, "finished"));
  CHECK(jobs.AwaitPhase(waiting, "finished"));
  // The jobs were not disturbed: each member started once.
  CHECK(jobs.Count(running, "started") == 2);
  CHECK(jobs.Count(waiting, "started") == 3);
  CHECK(jobs.CheckGangs(Milliseconds(0)) == "");
}

}  // namespace
}  // namespace thornplank
