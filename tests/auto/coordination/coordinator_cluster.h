// Several entries on one store with workers that are models: a cluster in one
// process and on one loop.
#ifndef THORNPLANK_TESTS_AUTO_COORDINATION_COORDINATOR_CLUSTER_H_
#define THORNPLANK_TESTS_AUTO_COORDINATION_COORDINATOR_CLUSTER_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/cluster_coordinator.h"
#include "fake_formats.h"
#include "standins/users_executor_model.h"
#include "store_fixture.h"

namespace thornplank::testing {

inline const Partition kBoard = kBoardPartition;
inline const Partition kWorkers{"keyed.servers", 0};
inline constexpr char kJob[] = "0123456789abcdef";

inline int64_t ClockMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Calls to workers that are models; answers are posted to the loop.
class FakeWorkerCalls : public WorkerCalls {
 public:
  explicit FakeWorkerCalls(boost::asio::io_context& io) : io_(io) {}

  void Start(const WorkerAddress& worker, const StartOrder& order, Milliseconds,
             std::function<void(const StartAnswer&)> done) override {
    StartAnswer answer;
    ++starts[worker.id];
    if (dead.count(worker.id) > 0 || losing_starts.count(worker.id) > 0) {
      return CallLater([done] { done({StartOutcome::kNoAnswer, {}}); });
    }
    if (refusing.count(worker.id) > 0) {
      answer.outcome = StartOutcome::kRefused;
      return boost::asio::post(io_, [done, answer] { done(answer); });
    }
    answer.outcome = models.at(worker.id).Start(order, ClockMs());
    boost::asio::post(io_, [done = std::move(done), answer] { done(answer); });
  }
  void Stop(const WorkerAddress& worker, const StopOrder& order, Milliseconds,
            std::function<void(CallOutcome, const Error&)> done) override {
    stopped.push_back(order.task);
    const CallOutcome outcome = models.at(worker.id).Stop(order, ClockMs());
    boost::asio::post(
        io_, [done = std::move(done), outcome] { done(outcome, Error()); });
  }
  void SetPace(const WorkerAddress& worker, const PaceOrder& order,
               Milliseconds,
               std::function<void(CallOutcome, const Error&)> done) override {
    const CallOutcome outcome = models.at(worker.id).SetPace(order, ClockMs());
    boost::asio::post(
        io_, [done = std::move(done), outcome] { done(outcome, Error()); });
  }
  void Status(const WorkerAddress& worker, const StatusQuery& query,
              Milliseconds,
              std::function<void(const StatusAnswer&)> done) override {
    if (dead.count(worker.id) > 0) {
      return CallLater([done = std::move(done)] { done(StatusAnswer()); });
    }
    if (query.lease_until && replaced.count(worker.id) == 0) {
      ++renewals[worker.id];
    }
    auto answer = std::make_shared<StatusAnswer>();
    if (replaced.count(worker.id) > 0) {
      answer->outcome = CallOutcome::kOtherIncarnation;
      return boost::asio::post(
          io_, [answer, done = std::move(done)] { done(*answer); });
    }
    answer->outcome =
        models.at(worker.id).Status(query, ClockMs(), &answer->report);
    const auto birth = births.find(worker.id);
    if (birth != births.end()) {
      answer->report.incarnation_start.time = birth->second;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::min(query.wait, Milliseconds(20)) + report_delays[worker.id]);
    timer->async_wait([timer, answer, done = std::move(done)](
                          const boost::system::error_code&) { done(*answer); });
  }

  std::map<std::string, standins::UsersExecutorModel> models;
  // Workers that answer no call any more.
  std::set<std::string> dead;
  // Workers that refuse all start orders, and that get none of them.
  std::set<std::string> refusing;
  std::set<std::string> losing_starts;
  // Workers at whose address another incarnation, with another id, answers.
  std::set<std::string> replaced;
  // Number of renewals that reached each worker.
  std::map<std::string, int> renewals;
  // Number of start orders that were sent to each worker.
  std::map<std::string, int> starts;
  // When the incarnations of workers began, if they report it.
  std::map<std::string, WallTime> births;
  // By which the reports of a worker arrive later.
  std::map<std::string, Milliseconds> report_delays;
  // Tasks of all stop orders, in order.
  std::vector<TaskRef> stopped;

 private:
  // The time after which a call without an answer is given up.
  void CallLater(std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(900));
    timer->async_wait([timer, action = std::move(action)](
                          const boost::system::error_code& code) {
      if (!code) action();
    });
  }

  boost::asio::io_context& io_;
};

// One entry: its copy of the board and its coordinator.
class Entry {
 public:
  Entry(boost::asio::io_context& io, FakeRecordStore& store,
        FakeWorkerCalls& calls, const std::string& name,
        Milliseconds read_interval, FeatureMode worker_health,
        const WorkerBounds& bounds)
      : tail_(io, store, TailSettings(read_interval), Handlers()),
        coordinator_(io, store, calls, formats_,
                     CoordinatorSettings(name, worker_health, bounds),
                     Dependencies(), metrics_) {
    tail_.Start();
    coordinator_.Start();
  }

  ClusterCoordinator& coordinator() { return coordinator_; }
  const ClusterCoordinator& coordinator() const { return coordinator_; }
  MetricsRegistry& metrics() { return metrics_; }
  const JobBoard& board() const { return board_; }
  ServingConfiguration& configuration() { return configuration_; }
  // Whether it leads and has a report of each of `workers` workers.
  bool Knows(size_t workers) const {
    if (!coordinator_.leading()) return false;
    const auto& trackers = coordinator_.fleet()->trackers();
    return trackers.size() == workers &&
           std::all_of(trackers.begin(), trackers.end(), [](const auto& entry) {
             return entry.second.synchronized();
           });
  }
  JobState state(const std::string& job) const {
    const BoardJob* entry = board_.Find(job);
    return entry == nullptr ? JobState::kQueued : entry->state();
  }

 private:
  static RecordTailSettings TailSettings(Milliseconds read_interval) {
    RecordTailSettings settings;
    settings.partition = kBoard;
    settings.long_poll_wait = Milliseconds(100);
    settings.min_read_interval = read_interval;
    return settings;
  }
  static ClusterCoordinatorSettings CoordinatorSettings(
      const std::string& name, FeatureMode worker_health,
      const WorkerBounds& bounds) {
    ClusterCoordinatorSettings settings;
    settings.bounds = bounds;
    settings.holder = name;
    settings.board = kBoard;
    settings.features.worker_health = worker_health;
    return settings;
  }
  RecordTail::Handlers Handlers() {
    RecordTail::Handlers handlers;
    handlers.on_record = [this](const KeyedRecord& record) {
      coordinator_.OnBoardChange(board_.Apply(record));
    };
    handlers.on_snapshot = [this](const std::set<std::string>& keys) {
      board_.OnSnapshot(keys);
      coordinator_.OnBoardSnapshot();
    };
    handlers.on_caught_up = [this] {
      coordinator_.OnBoardCaughtUp(tail_.latency());
      if (std::exchange(store_lost_, false)) coordinator_.OnStoreRecovered();
    };
    handlers.on_failure = [this](const Error&) { store_lost_ = true; };
    return handlers;
  }
  ClusterCoordinator::Dependencies Dependencies() {
    ClusterCoordinator::Dependencies dependencies;
    dependencies.board = &board_;
    dependencies.configuration = [this]() -> const ServingConfiguration& {
      return configuration_;
    };
    dependencies.closed_domains = []() -> const std::set<std::string>& {
      static const std::set<std::string> kNone;
      return kNone;
    };
    dependencies.board_next_offset = [this] { return tail_.next_offset(); };
    dependencies.board_as_of = [this] { return tail_.as_of(); };
    dependencies.expect_board = [this](int64_t end) { tail_.Expect(end); };
    dependencies.refresh_board = [this](Milliseconds timeout,
                                        std::function<void(bool)> done) {
      tail_.CatchUp(timeout, std::move(done));
    };
    return dependencies;
  }

  FakeFormats formats_;
  JobBoard board_;
  ServingConfiguration configuration_;
  bool store_lost_ = false;
  RecordTail tail_;
  MetricsRegistry metrics_;
  ClusterCoordinator coordinator_;
};

class Cluster {
 public:
  Cluster() : store(io), calls(io) {
    for (const char* id : {"w1", "w2"}) AddWorker(id);
  }

  void AddWorker(const std::string& id) {
    calls.models.emplace(id,
                         standins::UsersExecutorModel(id, {64000, 256000, 8}));
    Append(kWorkers, {id, "listed", 0});
  }

  void Append(const Partition& partition, const KeyedRecord& record) {
    AppendRequest request;
    request.partition = partition;
    request.records = {record};
    store.model.Append(request);
  }

  void Submit(std::vector<StepSpec> steps, int work_ms,
              const std::string& id = kJob, int priority = 1,
              const std::string& account = "north") {
    SubmitWithPayload(std::move(steps), {{"work_ms", work_ms}}, id, priority,
                      account);
  }

  // `payload` is what the models of workers read.
  void SubmitWithPayload(std::vector<StepSpec> steps, const Json& payload,
                         const std::string& id = kJob, int priority = 1,
                         const std::string& account = "north") {
    JobDefinition job = MakeJob(id, std::move(steps), priority, account);
    job.accepted = std::chrono::system_clock::now();
    job.payload = payload.dump();
    Append(kBoard, JobBoard::Submission(job));
  }

  // `read_interval`: least time between two reads of the board.
  Entry& Add(const std::string& name,
             Milliseconds read_interval = Milliseconds(0),
             FeatureMode worker_health = FeatureMode::kAuto) {
    entries.push_back(std::make_unique<Entry>(
        io, store, calls, name, read_interval, worker_health, bounds));
    return *entries.back();
  }

  int leaders() const {
    int count = 0;
    for (const auto& entry : entries) {
      count += entry->coordinator().leading() ? 1 : 0;
    }
    return count;
  }

  // The workers in the newest record of those that are not healthy.
  std::map<std::string, HealthVerdict> StoredVerdicts() const {
    std::map<std::string, HealthVerdict> verdicts;
    for (const auto& record : store.model.ReadNewest(kBoard, "").records) {
      JobBoard board;
      board.Apply(record);
      if (!board.health()) continue;
      const auto entries =
          DecodeHealth(*board.health()->value, Time{},
                       std::chrono::system_clock::now(), nullptr);
      REQUIRE(entries.has_value());
      for (const HealthEntry& entry : *entries) {
        verdicts[entry.worker] = entry.state.verdict;
      }
    }
    return verdicts;
  }

  // Number of runs of each task, however they ended.
  std::map<std::string, int> RunCounts() const {
    std::map<std::string, int> runs;
    for (const auto& [id, model] : calls.models) {
      for (const auto& run : model.history()) {
        ++runs[run.task];
      }
    }
    return runs;
  }

  // Number of runs of each task that were completed.
  std::map<std::string, int> CompletedRunCounts() const {
    std::map<std::string, int> done;
    for (const auto& [id, model] : calls.models) {
      for (const auto& run : model.history()) {
        done[run.task] += run.end_reason == "done" ? 1 : 0;
      }
    }
    return done;
  }

  // Until RestoreStore(), no call to the store succeeds; workers go on.
  void TakeStoreAway() {
    store.reachable = false;
    store.fails_at_once = true;
    store.available_partition = Partition{kBoard.stream, kBoard.number + 1};
  }
  void RestoreStore() {
    store.reachable = true;
    store.available_partition.reset();
  }

  // Ends the process of the leader, and waits until another one leads.
  Entry& ReplaceLeader() {
    const auto leads = [](const auto& entry) {
      return entry->coordinator().leading();
    };
    entries.erase(std::find_if(entries.begin(), entries.end(), leads));
    REQUIRE(RunUntil(io, [this] { return leaders() == 1; }));
    return **std::find_if(entries.begin(), entries.end(), leads);
  }

  boost::asio::io_context io;
  FakeRecordStore store;
  FakeWorkerCalls calls;
  // Of the entries that are added from now on.
  WorkerBounds bounds;
  std::vector<std::unique_ptr<Entry>> entries;
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_COORDINATION_COORDINATOR_CLUSTER_H_
