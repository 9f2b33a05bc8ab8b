// Tests with several entries on one store: one leads at a time, and jobs
// continue when the leader changes.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/cluster_gauges.h"
#include "coordinator_cluster.h"
#include "logging/event_log.h"

namespace thornplank::testing {
namespace {

TEST_CASE("of entries that start together exactly one leads") {
  Cluster cluster;
  for (const char* name : {"a", "b", "c", "d"}) {
    cluster.Add(name);
  }
  REQUIRE(RunUntil(cluster.io, [&] { return cluster.leaders() >= 1; }));
  RunUntil(
      cluster.io, [&] { return cluster.leaders() > 1; },
      std::chrono::milliseconds(500));
  CHECK(cluster.leaders() == 1);
}

TEST_CASE("vacant leadership is taken while the board is busy") {
  Cluster cluster;
  Entry& first = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return first.coordinator().leading(); }));
  // Followers read too rarely to know where the board ends.
  cluster.Add("b", Milliseconds(470));
  cluster.Add("c", Milliseconds(470));
  cluster.store.latency = Milliseconds(4);
  boost::asio::steady_timer timer(cluster.io);
  std::function<void()> write = [&] {
    cluster.Append(kBoard, JobBoard::Cancellation("00000000000000ff"));
    timer.expires_after(std::chrono::milliseconds(12));
    timer.async_wait([&](const boost::system::error_code& code) {
      if (!code) write();
    });
  };
  write();
  cluster.entries.erase(cluster.entries.begin());
  CHECK(RunUntil(cluster.io, [&] { return cluster.leaders() == 1; }));
  timer.cancel();
}

// Guards against claims that succeed only on an idle board: with hundreds of
// entries another caller's record arrives between the read and each claim.
TEST_CASE("leadership is taken while no claim arrives at the end it has read") {
  Cluster cluster;
  cluster.store.before_append = [&cluster] {
    cluster.Append(kBoard, JobBoard::Cancellation("00000000000000ff"));
  };
  for (const char* name : {"a", "b", "c"}) {
    cluster.Add(name);
  }
  REQUIRE(RunUntil(
      cluster.io, [&] { return cluster.leaders() >= 1; },
      std::chrono::seconds(3)));
  RunUntil(
      cluster.io, [&] { return cluster.leaders() > 1; },
      std::chrono::milliseconds(500));
  CHECK(cluster.leaders() == 1);
}

// Guards against a takeover that reads the progress of all tasks again, page by
// page, while nothing starts: it took longer the more tasks there were, and
// seconds at a slow store.
TEST_CASE("a takeover reads no page of the board, however much it holds") {
  for (const int blocks : {10, 1000, 4000}) {
    CAPTURE(blocks);
    Cluster cluster;
    cluster.Add("a");
    Entry& successor = cluster.Add("b");
    REQUIRE(RunUntil(cluster.io, [&] { return cluster.leaders() == 1; }));
    cluster.Submit({MakeStep(6, 2)}, 60000);
    REQUIRE(
        RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 6; }));
    for (int i = 0; i < blocks; ++i) {
      const ProgressBlockRef block{{"00000000000000ff", 0, 0}, i};
      cluster.Append(kBoard, JobBoard::Progress(block, "of another job"));
    }
    RunUntil(
        cluster.io, [] { return false; }, Milliseconds(300));
    cluster.store.board_pages = 0;
    cluster.entries.erase(cluster.entries.begin());
    REQUIRE(RunUntil(cluster.io,
                     [&] { return successor.coordinator().leading(); }));
    CHECK(cluster.store.board_pages == 0);
    // The runs of the predecessor are known.
    CHECK(successor.coordinator().ledger().FindTask({{kJob, 0, 0}, 5})->phase ==
          TaskPhase::kActive);
  }
}

TEST_CASE("a claim with a lost answer is recognized by its record") {
  Cluster cluster;
  cluster.store.faults = {AppendFault::kLostAnswer};
  Entry& entry = cluster.Add("a");
  CHECK(RunUntil(cluster.io, [&] { return entry.coordinator().leading(); }));
  CHECK(entry.coordinator().epoch() == 1);
}

TEST_CASE("a job runs to its end, and all entries see it") {
  Cluster cluster;
  cluster.Add("a");
  Entry& other = cluster.Add("b");
  cluster.Submit({MakeStep(6, 2), MakeStep(2, 8, {0})}, 50);
  REQUIRE(RunUntil(cluster.io,
                   [&] { return other.state(kJob) == JobState::kCompleted; }));
  const auto done = cluster.CompletedRunCounts();
  CHECK(done.size() == 8);
  for (const auto& entry : done) {
    CAPTURE(entry.first);
    CHECK(entry.second == 1);
  }
}

// Guards against an accepted job that never runs: its id was that of a job
// whose records had been dropped, and the leader took it for that one.
TEST_CASE("an id can be used again once the records of its job are dropped") {
  for (const bool by_snapshot : {false, true}) {
    CAPTURE(by_snapshot);
    Cluster cluster;
    Entry& entry = cluster.Add("a");
    REQUIRE(RunUntil(cluster.io, [&] { return entry.Knows(2); }));
    const auto has_ended = [&] {
      return entry.state(kJob) == JobState::kCompleted;
    };
    cluster.Submit({MakeStep(1, 1)}, 50);
    REQUIRE(RunUntil(cluster.io, has_ended));
    const auto is_forgotten = [&] {
      return entry.coordinator().ledger().Find(kJob) == nullptr;
    };
    REQUIRE(RunUntil(cluster.io, is_forgotten));
    for (const KeyedRecord& record :
         JobBoard::Tombstones(kJob, *entry.board().Find(kJob))) {
      cluster.Append(kBoard, record);
    }
    if (by_snapshot) cluster.store.model.DropHistory();
    REQUIRE(RunUntil(cluster.io,
                     [&] { return entry.board().Find(kJob) == nullptr; }));
    cluster.Submit({MakeStep(1, 1)}, 50);
    CHECK(RunUntil(cluster.io, has_ended, std::chrono::seconds(5)));
    CHECK(cluster.CompletedRunCounts().begin()->second == 2);
  }
}

// Guards against a gauge that nothing updates: shapes are known from accepted
// jobs, and a new leader knows those of the jobs that it takes over.
TEST_CASE("the leader measures fragmentation, also after a takeover") {
  Cluster cluster;
  Entry& first = cluster.Add("e1");
  REQUIRE(RunUntil(cluster.io, [&] { return first.Knows(2); }));
  CHECK(first.coordinator().fragmentation().empty());
  cluster.Submit({MakeStep(1, 9)}, 50);
  const auto measured = [](Entry& entry) {
    const auto& services = entry.coordinator().fragmentation();
    return !services.empty() && services[0].idle_accelerators == 16 &&
           services[0].unusable_share == 1;
  };
  REQUIRE(RunUntil(cluster.io, [&] { return measured(first); }));
  Entry& second = cluster.Add("e2");
  first.coordinator().Release(Milliseconds(500), [] {});
  REQUIRE(RunUntil(cluster.io, [&] { return measured(second); }));
  CHECK_FALSE(first.coordinator().leading());
  CHECK(first.coordinator().fragmentation().empty());
}

TEST_CASE("jobs continue under another leader, and no task is run twice") {
  for (const bool graceful : {true, false}) {
    CAPTURE(graceful);
    Cluster cluster;
    cluster.Add("a");
    REQUIRE(RunUntil(cluster.io, [&] { return cluster.leaders() == 1; }));
    cluster.Submit({MakeStep(6, 2), MakeStep(2, 8, {0})}, 400);
    REQUIRE(RunUntil(cluster.io,
                     [&] { return !cluster.CompletedRunCounts().empty(); }));
    bool released = false;
    if (graceful) {
      cluster.entries[0]->coordinator().Release(Milliseconds(500),
                                                [&] { released = true; });
      REQUIRE(RunUntil(cluster.io, [&] { return released; }));
    }
    cluster.entries.clear();
    Entry& successor = cluster.Add("b");
    REQUIRE(RunUntil(cluster.io, [&] {
      return successor.state(kJob) == JobState::kCompleted;
    }));
    // Runs were taken over, not started again.
    for (const auto& entry : cluster.RunCounts()) {
      CAPTURE(entry.first);
      CHECK(entry.second == 1);
    }
  }
}

// Guards against a dependency on other partitions: when a store has lost some
// of them, jobs that can be submitted must also run.
TEST_CASE("jobs run and leaders change while only the board is available") {
  Cluster cluster;
  cluster.store.available_partition = kBoard;
  Entry& first = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return first.coordinator().leading(); }));
  cluster.Submit({MakeStep(4, 2)}, 300);
  REQUIRE(
      RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 4; }));
  cluster.entries.clear();
  Entry& successor = cluster.Add("b");
  CHECK(RunUntil(cluster.io, [&] {
    return successor.state(kJob) == JobState::kCompleted;
  }));
  for (const auto& entry : cluster.RunCounts()) {
    CAPTURE(entry.first);
    CHECK(entry.second == 1);
  }
}

TEST_CASE("the end of a job is published while progress writes fail") {
  Cluster cluster;
  cluster.Add("a");
  Entry& other = cluster.Add("b");
  REQUIRE(RunUntil(cluster.io, [&] { return cluster.leaders() == 1; }));
  cluster.Submit({MakeStep(4, 2)}, 300);
  REQUIRE(
      RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 4; }));
  cluster.store.refused_producer = "progress";
  CHECK(RunUntil(cluster.io,
                 [&] { return other.state(kJob) == JobState::kCompleted; }));
  // A successor reads progress that lacks the ends, and must not start any task
  // again.
  cluster.entries.clear();
  cluster.store.refused_producer.clear();
  Entry& successor = cluster.Add("c");
  REQUIRE(
      RunUntil(cluster.io, [&] { return successor.coordinator().leading(); }));
  RunUntil(
      cluster.io, [] { return false; }, std::chrono::milliseconds(500));
  for (const auto& entry : cluster.RunCounts()) {
    CAPTURE(entry.first);
    CHECK(entry.second == 1);
  }
}

TEST_CASE("a leader that is fenced by the store steps down") {
  Cluster cluster;
  Entry& entry = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return entry.coordinator().leading(); }));
  AppendRequest request;
  request.partition = kBoard;
  request.producer = ProducerPosition{"leader", 9, 0};
  request.records = {JobBoard::Leader({"other", 9, false})};
  cluster.store.model.Append(request);
  CHECK(RunUntil(cluster.io, [&] { return !entry.coordinator().leading(); }));
}

// Guards against a stop of one member alone: the others would end without
// saving their work, and later.
TEST_CASE("a gang of which one member is preempted is stopped as a whole") {
  Cluster cluster;
  Entry& entry = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return entry.coordinator().leading(); }));
  StepSpec gang = MakeStep(2, 5);
  gang.gang = true;
  gang.checkpointable = true;
  cluster.Submit({gang}, 60000);
  REQUIRE(
      RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 2; }));
  cluster.Submit({MakeStep(1, 8)}, 50, "fedcba9876543210", 0);
  REQUIRE(RunUntil(cluster.io, [&] { return !cluster.calls.stopped.empty(); }));
  REQUIRE(cluster.calls.stopped.size() == 2);
  CHECK(cluster.calls.stopped[0].step.job == kJob);
  CHECK(cluster.calls.stopped[1].step.job == kJob);
  CHECK(cluster.calls.stopped[0].index != cluster.calls.stopped[1].index);
  CHECK(RunUntil(cluster.io, [&] {
    return entry.state("fedcba9876543210") == JobState::kCompleted;
  }));
}

// Guards against an account that waits while another one uses all, without a
// sign of it in the log or the metrics.
TEST_CASE("an account that waits for its share is logged and measured") {
  const char* const path = "account-waits.log";
  Error error;
  REQUIRE(OpenEventLog("a", Severity::kInfo, LogWriter::kCallingThread, path,
                       &error));
  Cluster cluster;
  Entry& entry = cluster.Add("a");
  AddClusterGauges(
      [&entry] {
        return std::optional<ClusterView>(
            ClusterView{entry.board(), entry.coordinator()});
      },
      entry.metrics());
  for (const char* name : {"north", "south"}) {
    AccountConfiguration account;
    account.name = name;
    account.guaranteed_accelerators = 8;
    entry.configuration().accounts.push_back(account);
  }
  REQUIRE(RunUntil(cluster.io, [&] { return entry.Knows(2); }));
  cluster.Submit({MakeStep(16, 1)}, 60000);
  REQUIRE(
      RunUntil(cluster.io, [&] { return cluster.RunCounts().size() == 16; }));
  cluster.Submit({MakeStep(1, 1)}, 50, "fedcba9876543210", 1, "south");
  const auto logged = [&] {
    std::ifstream log(path);
    const std::string text((std::istreambuf_iterator<char>(log)), {});
    return text.find("account-waits") != std::string::npos &&
           text.find("\"account\":\"south\"") != std::string::npos;
  };
  CHECK(RunUntil(cluster.io, logged));
  CloseEventLog();
  // All accelerators, and a weight of 8.
  const std::string metrics = entry.metrics().ToText();
  CHECK(metrics.find("thornplank_account_share{account=\"north\","
                     "service=\"claims\"} 0.125") != std::string::npos);
  std::remove(path);
}

// Workers without runs are not called, so that the leader does not know that
// one has died. A start that is sent there keeps its task, and the other
// members of the gang, waiting until the leases of the dead worker are over.
TEST_CASE("no start is sent to a worker that has died unnoticed") {
  for (const bool gang : {true, false}) {
    for (const char* dead : {"w1", "w2", "w3"}) {
      CAPTURE(gang);
      CAPTURE(dead);
      Cluster cluster;
      cluster.AddWorker("w3");
      Entry& entry = cluster.Add("a");
      REQUIRE(RunUntil(cluster.io, [&] { return entry.Knows(3); }));
      const Time answered = std::chrono::steady_clock::now();
      RunUntil(cluster.io, [&] {
        return std::chrono::steady_clock::now() - answered > Milliseconds(400);
      });
      cluster.calls.dead = {dead};
      StepSpec step = MakeStep(2, 8);
      step.gang = gang;
      cluster.Submit({step}, 50);
      CHECK(RunUntil(cluster.io, [&] {
        return entry.state(kJob) == JobState::kCompleted;
      }));
      CHECK(cluster.calls.starts[dead] == 0);
      CHECK(cluster.CompletedRunCounts().size() == 2);
    }
  }
}

// Guards against starts by what the directory said before an outage: workers
// may have shrunk, or announced that they leave, while it could not be read.
TEST_CASE("after an outage nothing is placed before the directory is read") {
  Cluster cluster;
  Entry& entry = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return entry.Knows(2); }));
  cluster.store.reachable = false;
  cluster.store.fails_at_once = true;
  RunUntil(
      cluster.io, [] { return false; }, Milliseconds(2200));
  cluster.Append(kWorkers, {"w1", kShrunk, 0});
  cluster.Append(kWorkers, {"w2", kLeaving, 0});
  cluster.Submit({MakeStep(1, 8)}, 50);
  cluster.store.slow_streams[kWorkers.stream] = Milliseconds(300);
  cluster.store.reachable = true;
  const auto resized = [&] {
    return entry.coordinator().leading() && entry.coordinator()
                                                    .fleet()
                                                    ->trackers()
                                                    .at("w1")
                                                    .registration()
                                                    .capacity.accelerators == 2;
  };
  REQUIRE(RunUntil(cluster.io, resized));
  RunUntil(
      cluster.io, [] { return false; }, Milliseconds(300));
  CHECK(cluster.calls.starts["w1"] == 0);
  CHECK(cluster.calls.starts["w2"] == 0);
}

// Guards against starts by entries from before an outage, which a fresh read of
// the directory returns unchanged: a worker that shrank meanwhile is brought
// over its capacity. The same leader or its successor may be the one to decide.
TEST_CASE("after an outage a start waits for an entry written since") {
  for (const bool leader_is_lost : {false, true}) {
    CAPTURE(leader_is_lost);
    Cluster cluster;
    // Longer than this test: no entry counts again for its age alone.
    cluster.bounds.heartbeat = Milliseconds(60000);
    cluster.Add("a");
    REQUIRE(RunUntil(cluster.io, [&] { return cluster.entries[0]->Knows(2); }));
    if (leader_is_lost) {
      Entry& successor = cluster.Add("b");
      REQUIRE(RunUntil(cluster.io,
                       [&] { return successor.board().leader().epoch > 0; }));
    }
    cluster.store.reachable = false;
    cluster.store.fails_at_once = true;
    RunUntil(
        cluster.io, [] { return false; }, Milliseconds(2700));
    if (leader_is_lost) cluster.entries.erase(cluster.entries.begin());
    cluster.Submit({MakeStep(1, 8)}, 50);
    cluster.store.reachable = true;
    const auto is_decided = [&] {
      const ClusterCoordinator& leader = cluster.entries[0]->coordinator();
      if (cluster.calls.starts.empty() && !leader.leading()) return false;
      return !cluster.calls.starts.empty() ||
             leader.fleet()->awaiting_entries(std::chrono::steady_clock::now());
    };
    REQUIRE(RunUntil(cluster.io, is_decided));
    CHECK(cluster.calls.starts.empty());
    cluster.Append(kWorkers, {"w2", "listed", 0});
    REQUIRE(RunUntil(cluster.io, [&] {
      return cluster.entries[0]->state(kJob) == JobState::kCompleted;
    }));
    CHECK(cluster.calls.starts["w1"] == 0);
    CHECK(cluster.calls.starts["w2"] == 1);
  }
}

// Guards against starts by old entries while the directory alone cannot be
// read: a worker that shrinks meanwhile is brought over its capacity.
TEST_CASE("nothing is placed while the directory alone cannot be read") {
  Cluster cluster;
  Entry& entry = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return entry.Knows(2); }));
  cluster.store.unreadable_stream = kWorkers.stream;
  cluster.store.fails_at_once = true;
  RunUntil(
      cluster.io, [] { return false; }, Milliseconds(2700));
  cluster.Submit({MakeStep(1, 8)}, 50);
  RunUntil(
      cluster.io, [] { return false; }, Milliseconds(800));
  CHECK(entry.coordinator().leading());
  CHECK(cluster.calls.starts.empty());
  cluster.store.unreadable_stream.clear();
  cluster.Append(kWorkers, {"w1", "listed", 0});
  CHECK(RunUntil(cluster.io,
                 [&] { return entry.state(kJob) == JobState::kCompleted; }));
}

// Guards against runs that are missing in the metrics: the first end of a gang
// that is done ends its job, which the leader drops once that is stored, and
// the ends of the other members arrive later.
TEST_CASE("the ends of all members of a gang are counted") {
  Cluster cluster;
  cluster.calls.report_delays["w2"] = Milliseconds(300);
  Entry& entry = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return entry.coordinator().leading(); }));
  StepSpec gang = MakeStep(2, 5);
  gang.gang = true;
  cluster.Submit({gang}, 50);
  const Counter& ended = entry.metrics().counter(
      "thornplank_runs_ended_total", "", {{"kind", "gang"}, {"end", "done"}});
  REQUIRE(RunUntil(cluster.io,
                   [&] { return entry.state(kJob) == JobState::kCompleted; }));
  CHECK(RunUntil(cluster.io, [&] { return ended.value() == 2; }));
}

TEST_CASE("the runs of a cancelled job are stopped and no other one starts") {
  Cluster cluster;
  Entry& entry = cluster.Add("a");
  REQUIRE(RunUntil(cluster.io, [&] { return entry.coordinator().leading(); }));
  cluster.Submit({MakeStep(4, 1), MakeStep(4, 1, {0})}, 60000);
  REQUIRE(RunUntil(cluster.io,
                   [&] { return cluster.CompletedRunCounts().size() == 4; }));
  cluster.Append(kBoard, JobBoard::Cancellation(kJob));
  CHECK(RunUntil(cluster.io, [&] {
    for (const auto& [id, model] : cluster.calls.models) {
      for (const auto& run : model.history()) {
        if (run.ended_ms < 0) return false;
      }
    }
    return entry.state(kJob) == JobState::kCancelled;
  }));
  CHECK(cluster.CompletedRunCounts().size() == 4);
}

// Guards against a new leader that gives a worker on which all runs fail its
// full load again, also after a store that was silent while this was written.
TEST_CASE("verdicts on workers are on the board, and a takeover keeps them") {
  for (const bool store_is_silent : {false, true}) {
    CAPTURE(store_is_silent);
    Cluster cluster;
    cluster.calls.births["w1"] = FromUnixMilliseconds(1000);
    Entry& first = cluster.Add("a", Milliseconds(0), FeatureMode::kOn);
    REQUIRE(RunUntil(cluster.io, [&] { return first.Knows(2); }));
    cluster.calls.models.at("w1").set_fail_all(true);
    const auto verdict_on = [](const Entry& entry) {
      const WorkerTracker& worker =
          entry.coordinator().fleet()->trackers().at("w1");
      return worker.health().verdict(std::chrono::steady_clock::now());
    };
    for (int i = 1; i <= 20; ++i) {
      cluster.Submit({MakeStep(4, 2)}, 200, std::to_string(1000 + i));
    }
    REQUIRE(RunUntil(cluster.io, [&] {
      return verdict_on(first) != HealthVerdict::kHealthy;
    }));
    if (store_is_silent) {
      cluster.store.refused_producer = "progress";
      RunUntil(
          cluster.io, [] { return false; }, Milliseconds(500));
      cluster.store.refused_producer.clear();
    }
    REQUIRE(RunUntil(cluster.io,
                     [&] { return cluster.StoredVerdicts().count("w1") > 0; }));
    CHECK(cluster.StoredVerdicts().count("w2") == 0);
    cluster.entries.clear();
    Entry& next = cluster.Add("b", Milliseconds(0), FeatureMode::kOn);
    REQUIRE(RunUntil(cluster.io, [&] { return next.Knows(2); }));
    CHECK(verdict_on(next) != HealthVerdict::kHealthy);
  }
}

// Guards against verdicts on a worker that is another one by now, and against a
// leader that does not start because of a record that it cannot read.
TEST_CASE("which verdicts of a previous leader a new one takes over") {
  const WallTime birth = FromUnixMilliseconds(1000);
  const auto record = [](WallTime start, Duration age) {
    const HealthState state{HealthVerdict::kProbation, Time{}, 1};
    return EncodeHealth(
        {{"w1", start, state}}, Time{},
        std::chrono::system_clock::now() -
            std::chrono::duration_cast<std::chrono::milliseconds>(age));
  };
  const auto second = std::chrono::seconds(1);
  struct Row {
    const char* name;
    std::string record;
    FeatureMode mode;
    HealthVerdict verdict;
  };
  const std::vector<Row> rows = {
      {"the same incarnation", record(birth, second), FeatureMode::kOn,
       HealthVerdict::kProbation},
      {"an old incarnation", record(birth - second, second), FeatureMode::kOn,
       HealthVerdict::kHealthy},
      {"an old record", record(birth, second * 70), FeatureMode::kOn,
       HealthVerdict::kHealthy},
      {"unreadable", "1", FeatureMode::kOn, HealthVerdict::kHealthy},
      {"switched off", record(birth, second), FeatureMode::kOff,
       HealthVerdict::kHealthy},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Cluster cluster;
    cluster.calls.births["w1"] = birth;
    cluster.Append(kBoard, JobBoard::Health(row.record));
    Entry& entry = cluster.Add("a", Milliseconds(0), row.mode);
    REQUIRE(RunUntil(cluster.io, [&] { return entry.Knows(2); }));
    const WorkerTracker& worker =
        entry.coordinator().fleet()->trackers().at("w1");
    CHECK(worker.health().verdict(std::chrono::steady_clock::now()) ==
          row.verdict);
  }
}

}  // namespace
}  // namespace thornplank::testing
