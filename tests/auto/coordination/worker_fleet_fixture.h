// A fleet of one worker, whose calls are answered as a test says.
#ifndef THORNPLANK_TESTS_AUTO_COORDINATION_WORKER_FLEET_FIXTURE_H_
#define THORNPLANK_TESTS_AUTO_COORDINATION_WORKER_FLEET_FIXTURE_H_

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/worker_fleet.h"
#include "fake_formats.h"

namespace thornplank::testing {

inline const TaskRef kTask{{"0123456789abcdef", 0, 0}, 0};

// Answers every call at once, as told.
class ScriptedCalls : public WorkerCalls {
 public:
  void Start(const WorkerAddress&, const StartOrder&, Milliseconds,
             std::function<void(const StartAnswer&)> done) override {
    StartAnswer answer;
    answer.outcome = start;
    if (static_cast<size_t>(starts) < first_starts.size()) {
      answer.outcome = first_starts[static_cast<size_t>(starts)];
    }
    ++starts;
    if (on_start) on_start();
    done(answer);
  }
  void Stop(const WorkerAddress&, const StopOrder&, Milliseconds,
            std::function<void(CallOutcome, const Error&)> done) override {
    ++stops;
    done(stop, Error());
  }
  void SetPace(const WorkerAddress&, const PaceOrder& order, Milliseconds,
               std::function<void(CallOutcome, const Error&)> done) override {
    paces.push_back(order.percent);
    done(pace, Error());
  }
  void Status(const WorkerAddress&, const StatusQuery& query, Milliseconds,
              std::function<void(const StatusAnswer&)> done) override {
    ++reports;
    recorded_ends.push_back(query.recorded_ends);
    if (query.recorded_ends > 0 && query.wait.count() > 0) ++waits_that_tell;
    renewed = query.lease_until.has_value();
    if (renewed) lease_until = *query.lease_until;
    if (query.wait.count() > 0 && !answers_waiting) {
      waiting = std::move(done);
      return;
    }
    done(Answer());
  }

  // The report that waits comes now.
  void AnswerWaiting() {
    REQUIRE(waiting != nullptr);
    std::exchange(waiting, nullptr)(Answer());
  }

  StatusAnswer Answer() const {
    StatusAnswer answer;
    answer.outcome = status;
    answer.report = report;
    return answer;
  }

  StartOutcome start = StartOutcome::kAccepted;
  // Happens before the answer.
  std::function<void()> on_start;
  // Of the first orders; `start` of those after them.
  std::vector<StartOutcome> first_starts;
  CallOutcome stop = CallOutcome::kOk;
  CallOutcome pace = CallOutcome::kOk;
  std::vector<int> paces;
  WorkerStatusReport report;
  CallOutcome status = CallOutcome::kOk;
  // Whether reports that wait for an end are answered.
  bool answers_waiting = false;
  int starts = 0;
  int stops = 0;
  int reports = 0;
  // As each report was asked for.
  std::vector<int64_t> recorded_ends;
  // Reports that wait and tell ends: a worker that has restarted meanwhile
  // would forget what ends there while they wait.
  int waits_that_tell = 0;
  bool renewed = false;
  // On the worker's clock, of the last renewal.
  Milliseconds lease_until{0};
  std::function<void(const StatusAnswer&)> waiting;
};

class Fixture {
 public:
  explicit Fixture(const WorkerBounds& bounds = WorkerBounds())
      : fleet(calls, formats, SettingsWith(bounds), MakeHandlers()) {
    fleet.OnDirectoryRecord({"w1", "listed", 0}, Now());
  }

  static Time Now() { return std::chrono::steady_clock::now(); }

  static WorkerFleetSettings SettingsWith(const WorkerBounds& bounds) {
    WorkerFleetSettings settings;
    settings.bounds = bounds;
    return settings;
  }

  WorkerFleet::Handlers MakeHandlers() {
    WorkerFleet::Handlers handlers;
    handlers.on_end = [this](const std::string&, const RunEndReport& end) {
      ends.push_back(end.end);
    };
    handlers.on_progress = [](const RunReport&) {};
    handlers.profile_of = [](const TaskRef&) { return RunProfile(); };
    handlers.is_known_service = [](const std::string& service) {
      return service != kStray;
    };
    handlers.on_ticket_refused = [](const StepRef&, const std::string&) {};
    handlers.on_change = [] {};
    handlers.on_fenced = [this] { ++fenced; };
    return handlers;
  }

  void Start() {
    fleet.Add("w1", kTask, 1, RunProfile(), Now());
    fleet.SendStart("w1", kTask, 1, {});
  }

  bool knows_worker() const { return fleet.trackers().count("w1") > 0; }

  ScriptedCalls calls;
  FakeFormats formats;
  std::vector<RunEnd> ends;
  int fenced = 0;
  WorkerFleet fleet;
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_COORDINATION_WORKER_FLEET_FIXTURE_H_
