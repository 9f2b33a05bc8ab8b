// Compares the room that the scheduler counts on a worker with what is in use
// on a stand-in executor, while orders and their answers are lost, late,
// repeated, or those of a previous leader.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../auto/coordination/fake_formats.h"
#include "coordination/worker_fleet.h"
#include "standins/users_executor_model.h"

namespace thornplank::standins {
namespace {

constexpr char kWorker[] = "w1";
const TaskRef kTask{{"0123456789abcdef", 0, 0}, 0};
const TaskRef kUnknownTask{{"fedcba9876543210", 0, 0}, 0};
// Of the worker that testing::FakeFormats reads from any entry.
const Resources kCapacity{64000, 256000, 8};
const Resources kNeed{20000, 80000, 5};
constexpr char kPayload[] = R"({"work_ms":60000,"needs":[[20000,80000,5]]})";
constexpr Milliseconds kTick{20};
// Longer than a start order is valid.
constexpr Milliseconds kOrderOver{1600};
constexpr std::chrono::seconds kSettleLimit{20};

Time Now() { return std::chrono::steady_clock::now(); }

int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(Now().time_since_epoch())
      .count();
}

enum class Delivery {
  kAnswered,
  // Carried out, and the answer is lost.
  kAnswerLost,
  // Carried out once DeliverLate is called, without an answer.
  kLate,
  kLost,
};

// Delivers the calls of a fleet to the model of an executor.
class ModelCalls : public WorkerCalls {
 public:
  explicit ModelCalls(UsersExecutorModel& model) : model_(model) {}

  void Start(const WorkerAddress&, const StartOrder& order, Milliseconds,
             std::function<void(const StartAnswer&)> done) override {
    StartAnswer answer;
    if (starts == Delivery::kLate) {
      late_.push_back([this, order] { model_.Start(order, NowMs()); });
    }
    if (starts == Delivery::kAnswered || starts == Delivery::kAnswerLost) {
      answer.outcome = model_.Start(order, NowMs());
    }
    if (starts != Delivery::kAnswered) {
      answer.outcome = StartOutcome::kNoAnswer;
    }
    if (after_start) after_start();
    done(answer);
  }

  void Stop(const WorkerAddress&, const StopOrder& order, Milliseconds,
            std::function<void(CallOutcome, const Error&)> done) override {
    CallOutcome outcome = CallOutcome::kNoAnswer;
    if (stops == Delivery::kLate) {
      late_.push_back([this, order] { model_.Stop(order, NowMs()); });
    }
    if (stops == Delivery::kAnswered || stops == Delivery::kAnswerLost) {
      outcome = model_.Stop(order, NowMs());
    }
    if (stops != Delivery::kAnswered) outcome = CallOutcome::kNoAnswer;
    done(outcome, Error());
  }

  void SetPace(const WorkerAddress&, const PaceOrder&, Milliseconds,
               std::function<void(CallOutcome, const Error&)> done) override {
    done(CallOutcome::kOk, Error());
  }

  // A long poll is answered by AnswerReports.
  void Status(const WorkerAddress&, const StatusQuery& query, Milliseconds,
              std::function<void(const StatusAnswer&)> done) override {
    if (query.wait.count() > 0) {
      pending_.push_back({query, std::move(done)});
    } else {
      done(Answer(query));
    }
  }

  void AnswerReports() {
    for (auto& [query, done] : std::exchange(pending_, {})) {
      done(Answer(query));
    }
  }

  void DeliverLate() {
    for (const auto& call : std::exchange(late_, {})) {
      call();
    }
  }

  Delivery starts = Delivery::kAnswered;
  Delivery stops = Delivery::kAnswered;
  // Runs after an order was delivered and before it is answered.
  std::function<void()> after_start;

 private:
  struct PendingQuery {
    StatusQuery query;
    std::function<void(const StatusAnswer&)> done;
  };

  StatusAnswer Answer(const StatusQuery& query) {
    StatusAnswer answer;
    answer.outcome = model_.Status(query, NowMs(), &answer.report);
    answer.report.incarnation_start.time =
        FromUnixMilliseconds(1796290960874 + model_.incarnation());
    return answer;
  }

  UsersExecutorModel& model_;
  std::vector<PendingQuery> pending_;
  std::vector<std::function<void()>> late_;
};

// A leader and one executor.
class Room {
 public:
  Room() { Lead(); }

  // A new leader that knows of no runs.
  void Lead() {
    fleet_.reset();
    calls_ = std::make_unique<ModelCalls>(model_);
    WorkerFleetSettings settings;
    settings.epoch = ++epoch_;
    WorkerFleet::Handlers handlers;
    handlers.on_end = [this](const std::string&, const RunEndReport& end) {
      unrecorded_.push_back(end);
    };
    handlers.on_began = [](const TaskRef&) {};
    handlers.on_progress = [](const RunReport&) {};
    handlers.on_start_survived = [](const TaskRef&, int) {};
    handlers.profile_of = [](const TaskRef& task) {
      return task.step.job == kTask.step.job ? Profile() : UnknownProfile();
    };
    handlers.is_known_service = [](const std::string&) { return true; };
    handlers.on_ticket_refused = [](const StepRef&, const std::string&) {};
    handlers.on_alive = [](const std::string&, const std::optional<WallTime>&) {
    };
    handlers.on_ended = [](const std::string&, const std::optional<WallTime>&) {
    };
    handlers.on_answer = [](const std::string&) {};
    handlers.on_no_answer = [](const std::string&) {};
    handlers.on_change = [] {};
    handlers.on_fenced = [] {};
    handlers.may_renew = [] { return true; };
    fleet_ = std::make_unique<WorkerFleet>(*calls_, formats_, settings,
                                           std::move(handlers));
  }

  static RunProfile Profile() {
    RunProfile profile;
    profile.need = kNeed;
    return profile;
  }
  static RunProfile UnknownProfile() {
    RunProfile profile;
    profile.need_known = false;
    return profile;
  }

  void ListWorker() {
    fleet_->OnDirectoryRecord({kWorker, "listed", ++offset_}, Now());
  }
  void Start(int run, const TaskRef& task = kTask) {
    fleet_->Add(kWorker, task, run, Profile(), Now());
    fleet_->SendStart(kWorker, task, run, {kPayload, "", ""});
  }
  void Stop(int run) { fleet_->RequestStop(kWorker, kTask, run, "test"); }
  // A run that this leader has not started.
  void StartBehindLeader(const TaskRef& task, int run) {
    StartOrder order;
    order.task = task;
    order.run = run;
    order.payload = kPayload;
    order.deadline = Milliseconds(NowMs() + 8000);
    order.epoch = epoch_;
    REQUIRE(model_.Start(order, NowMs()) == StartOutcome::kAccepted);
  }
  void StopBehindLeader(int run) { model_.Stop({kTask, run, epoch_}, NowMs()); }
  void Inherit(int run) {
    fleet_->Inherit(kWorker, kTask, run, Profile(), Now(),
                    Now() + std::chrono::seconds(10));
  }

  void RunUntil(const std::function<bool()>& condition) {
    const Time limit = Now() + kSettleLimit;
    while (!condition() && Now() < limit) {
      Run(Milliseconds(0));
    }
    CHECK(condition());
  }

  // Compares at each tick.
  void Run(Milliseconds time) {
    const Time end = Now() + time;
    do {
      Check();
      calls_->AnswerReports();
      Check();
      fleet_->Tick(Now());
      RecordEnds();
      Check();
      std::this_thread::sleep_for(kTick);
    } while (Now() < end);
  }

  void RecordEnds() {
    for (const RunEndReport& end : std::exchange(unrecorded_, {})) {
      fleet_->OnEndsRecorded(kWorker, end.incarnation, end.number);
    }
  }

  // More room than there is must never be seen where tasks may be started.
  void Check() {
    const Resources in_use = model_.in_use(NowMs());
    if (worker().availability(Now()) != WorkerAvailability::kUsable) return;
    CHECK(worker().room().FitsInto(kCapacity - in_use));
  }

  const WorkerTracker& worker() const { return fleet_->trackers().at(kWorker); }
  ModelCalls& calls() { return *calls_; }
  UsersExecutorModel& model() { return model_; }

 private:
  UsersExecutorModel model_{"x", kCapacity};
  testing::FakeFormats formats_;
  std::unique_ptr<ModelCalls> calls_;
  std::unique_ptr<WorkerFleet> fleet_;
  std::vector<RunEndReport> unrecorded_;
  int64_t epoch_ = 0;
  int64_t offset_ = 0;
};

// Guards against starts beyond the capacity by runs that the leader does not
// count: ones whose order or answer was lost, that are being stopped, of a
// predecessor, of an unknown job, or of a task tracked under another run. Room
// that is never given back is as wrong.
TEST_CASE("no room is seen that a run may use, and all of it in the end") {
  struct Row {
    const char* name;
    std::function<void(Room&)> act;
    // Runs at the end.
    int runs;
  };
  const std::vector<Row> rows = {
      {"answered",
       [](Room& room) {
         room.ListWorker();
         room.Start(1);
       },
       1},
      {"answered and stopped",
       [](Room& room) {
         room.ListWorker();
         room.Start(1);
         room.Stop(1);
       },
       0},
      {"all answers to the start are lost",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kAnswerLost;
         room.Start(1);
       },
       1},
      {"the answer is lost, and the copy finds the run being stopped",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kAnswerLost;
         room.calls().after_start = [&room] {
           room.StopBehindLeader(1);
           room.calls().starts = Delivery::kAnswered;
         };
         room.Start(1);
       },
       0},
      {"the answer is lost, and the run is no longer wanted",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kAnswerLost;
         room.calls().after_start = [&room] { room.Stop(1); };
         room.Start(1);
       },
       0},
      {"the order is lost",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kLost;
         room.Start(1);
       },
       0},
      {"the order is late, and valid",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kLate;
         room.Start(1);
         room.Run(Milliseconds(0));
         room.calls().DeliverLate();
       },
       1},
      {"the order is late, and no longer valid",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kLate;
         room.Start(1);
         room.Run(kOrderOver);
         room.calls().DeliverLate();
       },
       0},
      {"the stop overtakes the start",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kLate;
         room.Start(1);
         room.Stop(1);
         room.Run(Milliseconds(0));
         room.calls().DeliverLate();
       },
       0},
      {"all answers to the stop are lost",
       [](Room& room) {
         room.ListWorker();
         room.Start(1);
         room.calls().stops = Delivery::kAnswerLost;
         room.Stop(1);
       },
       0},
      {"the stop is late",
       [](Room& room) {
         room.ListWorker();
         room.Start(1);
         room.calls().stops = Delivery::kLate;
         room.Stop(1);
         room.Run(Milliseconds(0));
         room.calls().DeliverLate();
       },
       0},
      {"an inherited run",
       [](Room& room) {
         room.StartBehindLeader(kTask, 1);
         room.Lead();
         room.Inherit(1);
         room.ListWorker();
       },
       1},
      {"an inherited run that is being stopped",
       [](Room& room) {
         room.StartBehindLeader(kTask, 1);
         room.StopBehindLeader(1);
         room.Lead();
         room.Inherit(1);
         room.ListWorker();
       },
       0},
      {"a run that the predecessor no longer counted",
       [](Room& room) {
         room.StartBehindLeader(kTask, 1);
         room.Lead();
         room.ListWorker();
       },
       0},
      {"a run of an unknown job",
       [](Room& room) {
         room.StartBehindLeader(kUnknownTask, 1);
         room.Lead();
         room.ListWorker();
       },
       0},
      {"a task that is tracked under a later run",
       [](Room& room) {
         room.StartBehindLeader(kTask, 1);
         room.Lead();
         room.Inherit(2);
         room.ListWorker();
       },
       0},
      {"a task that is placed again while its last run is stopped",
       [](Room& room) {
         room.ListWorker();
         room.Start(1);
         room.Stop(1);
         room.Start(2);
       },
       0},
      {"the worker restarts",
       [](Room& room) {
         room.ListWorker();
         room.Start(1);
         room.model().Restart(NowMs());
       },
       0},
      {"a late order reaches the next incarnation, which nobody knows yet",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kLate;
         room.Start(1);
         room.model().Restart(NowMs());
         room.calls().DeliverLate();
       },
       1},
      {"a late order reaches the next incarnation, which is known",
       [](Room& room) {
         room.ListWorker();
         room.calls().starts = Delivery::kLate;
         room.Start(1);
         room.model().Restart(NowMs());
         room.RunUntil([&room] { return room.worker().incarnation() > 0; });
         room.calls().DeliverLate();
       },
       0},
  };
  for (const Row& row : rows) {
    const std::string name = row.name;
    CAPTURE(name);
    Room room;
    row.act(room);
    room.Check();
    room.calls().starts = Delivery::kAnswered;
    room.calls().stops = Delivery::kAnswered;
    const auto is_settled = [&room, &row] {
      return room.model().in_use(NowMs()) == kNeed * row.runs &&
             room.worker().availability(Now()) == WorkerAvailability::kUsable &&
             room.worker().room() == kCapacity - kNeed * row.runs;
    };
    room.RunUntil(is_settled);
    room.Run(kTick * 5);
    CHECK(is_settled());
  }
}

}  // namespace
}  // namespace thornplank::standins
