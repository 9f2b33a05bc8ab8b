// A fleet of one worker, "w1", whose calls are answered as a test specifies.
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

// Answers every call at once with the values of the public members.
class ScriptedWorkerCalls : public WorkerCalls {
 public:
  void Start(const WorkerAddress&, const StartOrder&, Milliseconds,
             std::function<void(const StartAnswer&)> done) override {
    StartAnswer answer;
    answer.outcome = start_answer;
    if (static_cast<size_t>(starts) < first_start_answers.size()) {
      answer.outcome = first_start_answers[static_cast<size_t>(starts)];
    }
    ++starts;
    if (on_start) on_start();
    done(answer);
  }
  void Stop(const WorkerAddress&, const StopOrder&, Milliseconds,
            std::function<void(CallOutcome, const Error&)> done) override {
    ++stops;
    done(stop_outcome, Error());
  }
  void SetPace(const WorkerAddress&, const PaceOrder& order, Milliseconds,
               std::function<void(CallOutcome, const Error&)> done) override {
    sent_paces.push_back(order.percent);
    done(pace_outcome, Error());
  }
  void Status(const WorkerAddress&, const StatusQuery& query, Milliseconds,
              std::function<void(const StatusAnswer&)> done) override {
    ++reports;
    last_wait = query.wait;
    recorded_ends.push_back(query.recorded_ends);
    if (query.recorded_ends > 0 && query.wait.count() > 0) ++polls_with_ends;
    renewed = query.lease_until.has_value();
    if (renewed) lease_until = *query.lease_until;
    const bool is_long_poll = query.wait.count() > 0;
    // The long poll that follows an answer waits, as a real one does.
    if (is_long_poll && (!answer_long_polls || answering_)) {
      pending_long_poll = std::move(done);
      return;
    }
    answering_ = answering_ || is_long_poll;
    done(Answer());
    if (is_long_poll) answering_ = false;
  }

  // Answers the pending long poll for a report.
  void AnswerLongPoll() {
    REQUIRE(pending_long_poll != nullptr);
    std::exchange(pending_long_poll, nullptr)(Answer());
  }

  StatusAnswer Answer() const {
    StatusAnswer answer;
    answer.outcome = status_outcome;
    answer.report = report;
    return answer;
  }

  StartOutcome start_answer = StartOutcome::kAccepted;
  // Runs before a start order is answered.
  std::function<void()> on_start;
  // Answers to the first start orders; later ones get `start_answer`.
  std::vector<StartOutcome> first_start_answers;
  CallOutcome stop_outcome = CallOutcome::kOk;
  CallOutcome pace_outcome = CallOutcome::kOk;
  std::vector<int> sent_paces;
  WorkerStatusReport report;
  CallOutcome status_outcome = CallOutcome::kOk;
  // Whether long polls for a report are answered at once.
  bool answer_long_polls = false;
  int starts = 0;
  int stops = 0;
  int reports = 0;
  // StatusQuery::wait of the last request.
  Milliseconds last_wait{0};
  // StatusQuery::recorded_ends of each request.
  std::vector<int64_t> recorded_ends;
  // Number of long polls that also acknowledge ends. There must be none: a
  // worker that has restarted meanwhile would forget the ends that come during
  // the wait.
  int polls_with_ends = 0;
  bool renewed = false;
  // Of the last renewal, on the clock of the worker.
  Milliseconds lease_until{0};
  std::function<void(const StatusAnswer&)> pending_long_poll;

 private:
  bool answering_ = false;
};

class Fixture {
 public:
  explicit Fixture(const WorkerBounds& bounds = WorkerBounds())
      : Fixture(SettingsWith(bounds)) {}
  explicit Fixture(const WorkerFleetSettings& settings)
      : fleet(calls, formats, settings, MakeHandlers()) {
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
    handlers.on_began = [](const TaskRef&) {};
    handlers.on_progress = [](const RunReport&) {};
    handlers.on_start_survived = [](const TaskRef&, int) {};
    handlers.profile_of = [](const TaskRef&) { return RunProfile(); };
    handlers.is_known_service = [](const std::string& service) {
      return service != kUnknownService;
    };
    handlers.on_ticket_refused = [](const StepRef&, const std::string&) {};
    handlers.on_alive = [this](const std::string& worker,
                               const std::optional<WallTime>&) {
      alive.push_back(worker);
    };
    handlers.on_ended = [this](const std::string& worker,
                               const std::optional<WallTime>&) {
      ended.push_back(worker);
    };
    handlers.on_answer = [](const std::string&) {};
    handlers.on_no_answer = [](const std::string&) {};
    handlers.on_change = [this] { ++changes; };
    handlers.on_fenced = [this] { ++fenced; };
    handlers.may_renew = [this] { return may_renew; };
    return handlers;
  }

  void Start() {
    fleet.Add("w1", kTask, 1, RunProfile(), Now());
    fleet.SendStart("w1", kTask, 1, {});
  }

  // One tick of the fleet. A long poll that is pending is answered first if
  // long polls are to be answered at once.
  void Tick(Time now) {
    if (calls.answer_long_polls && calls.pending_long_poll != nullptr) {
      calls.AnswerLongPoll();
    }
    fleet.Tick(now);
  }

  bool has_worker() const { return fleet.trackers().count("w1") > 0; }

  ScriptedWorkerCalls calls;
  FakeFormats formats;
  std::vector<RunEnd> ends;
  // The workers that were said to be alive, once for each time.
  std::vector<std::string> alive;
  // The workers of which an incarnation was said to be over without having
  // left.
  std::vector<std::string> ended;
  int fenced = 0;
  int changes = 0;
  bool may_renew = true;
  WorkerFleet fleet;
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_COORDINATION_WORKER_FLEET_FIXTURE_H_
