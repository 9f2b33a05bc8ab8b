// When a report of a worker is due, and how long it may wait.
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/report_schedule.h"

namespace thornplank::testing {
namespace {

constexpr Milliseconds kNow{60000};
const TaskRef kTask{{"0123456789abcdef", 0, 0}, 0};
const TaskRef kOtherTask{{"0123456789abcdef", 0, 0}, 1};

Time At(Milliseconds time) { return Time{} + time; }

RunReport RunAt(const TaskRef& task, int percent) {
  RunReport run;
  run.task = task;
  run.run = 1;
  run.percent = percent;
  return run;
}

// A worker that has reported at kNow, and the calls to it.
struct Fixture {
  Fixture() : worker(Registration()) { Report({}); }

  static WorkerRegistration Registration() {
    WorkerRegistration registration;
    registration.id = "w1";
    registration.address = "127.0.0.1:1";
    registration.capacity = {4000, 4096, 4};
    return registration;
  }

  void Start(const TaskRef& task, const RunProfile& profile = RunProfile()) {
    worker.Add(task, 1, profile, At(kNow));
    worker.OnStartSent(task, 1, kNow + Milliseconds(1000), At(kNow));
    worker.OnStartAnswer(task, 1, StartOutcome::kAccepted, At(kNow));
  }

  void Report(const std::vector<RunReport>& running) {
    WorkerStatusReport report;
    report.clock = kNow;
    report.running = running;
    std::vector<RunReport> unexpected;
    worker.OnReport(report, At(kNow), At(kNow), &unexpected);
  }

  // The task has ended under that number, `running` goes on.
  void ReportEnd(const TaskRef& task, int64_t number,
                 const std::vector<RunReport>& running = {}) {
    WorkerStatusReport report;
    report.clock = kNow;
    report.running = running;
    RunEndReport end;
    end.number = number;
    end.task = task;
    end.run = 1;
    end.end = RunEnd::kDone;
    report.ended.push_back(end);
    std::vector<RunReport> unexpected;
    worker.OnReport(report, At(kNow), At(kNow), &unexpected);
  }

  WorkerTracker worker;
  WorkerCallState state;
};

TEST_CASE("a report is due while there is something to learn or to tell") {
  const ReportScheduleSettings settings;
  RunProfile filler;
  filler.is_filler = true;
  RunProfile serving;
  serving.tail_latency_target = Milliseconds(50);
  struct Row {
    const char* name;
    std::function<void(Fixture*)> arrange;
    std::optional<Milliseconds> wait;
  };
  const Row rows[] = {
      {"nothing runs", [](Fixture*) {}, std::nullopt},
      {"nothing runs, its entry was written again",
       [](Fixture* f) { f->state.recheck = true; }, Milliseconds(0)},
      {"the start of its only run is being recorded",
       [](Fixture* f) { f->worker.Add(kTask, 1, RunProfile(), At(kNow)); },
       std::nullopt},
      {"the start of another run is being recorded",
       [](Fixture* f) {
         f->Start(kTask);
         f->Report({RunAt(kTask, 10)});
         f->worker.Add(kOtherTask, 1, RunProfile(), At(kNow));
       },
       settings.max_wait},
      {"it has just begun a run", [](Fixture* f) { f->Start(kTask); },
       settings.max_first_wait},
      {"its run makes progress",
       [](Fixture* f) {
         f->Start(kTask);
         f->Report({RunAt(kTask, 10)});
       },
       settings.max_wait},
      {"its run is being stopped",
       [](Fixture* f) {
         f->Start(kTask);
         f->Report({RunAt(kTask, 10)});
         f->worker.OnStopAnswer(kTask, 1, true, At(kNow));
       },
       settings.retry_delay},
      {"fillers beside serving tasks",
       [&](Fixture* f) {
         f->Start(kTask, filler);
         f->Start(kOtherTask, serving);
         f->Report({RunAt(kTask, 10), RunAt(kOtherTask, 10)});
       },
       settings.max_paced_wait},
      {"a start has no answer",
       [](Fixture* f) {
         f->Start(kTask);
         f->worker.Add(kOtherTask, 1, RunProfile(), At(kNow));
         f->worker.OnStartSent(kOtherTask, 1, kNow + Milliseconds(1000),
                               At(kNow));
         f->worker.OnStartAnswer(kOtherTask, 1, StartOutcome::kNoAnswer,
                                 At(kNow));
       },
       Milliseconds(0)},
      {"it did not answer",
       [](Fixture* f) {
         f->Start(kTask);
         f->worker.OnReportFailed(At(kNow));
       },
       Milliseconds(0)},
      {"an end is not recorded yet",
       [](Fixture* f) {
         f->Start(kTask);
         f->Start(kOtherTask);
         f->ReportEnd(kOtherTask, 1, {RunAt(kTask, 10)});
       },
       Milliseconds(0)},
      {"an end is recorded, and the worker not told",
       [](Fixture* f) {
         f->Start(kTask);
         f->ReportEnd(kTask, 1);
         f->worker.OnEndsRecorded(f->worker.incarnation(), 1);
       },
       Milliseconds(0)},
      {"the worker was told",
       [](Fixture* f) {
         f->Start(kTask);
         f->ReportEnd(kTask, 1);
         f->worker.OnEndsRecorded(f->worker.incarnation(), 1);
         f->state.acknowledged_ends = 1;
       },
       std::nullopt},
      {"a report is pending",
       [](Fixture* f) {
         f->Start(kTask);
         f->state.report_pending = true;
       },
       std::nullopt},
      {"the last one was just now",
       [](Fixture* f) {
         f->Start(kTask);
         f->state.next_report_time = At(kNow + Milliseconds(1));
       },
       std::nullopt},
      {"its address is not known",
       [](Fixture* f) {
         f->Start(kTask);
         WorkerRegistration unlisted = Fixture::Registration();
         unlisted.address.clear();
         f->worker.Update(unlisted, At(kNow));
       },
       std::nullopt},
  };
  const ReportSchedule schedule(settings);
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    Fixture fixture;
    row.arrange(&fixture);
    CHECK(schedule.TakeDue(fixture.worker, At(kNow), &fixture.state) ==
          row.wait);
  }
}

// Without the delay, a worker whose state stays open is asked in a loop.
TEST_CASE("reports that do not wait keep a delay between them") {
  const ReportScheduleSettings settings;
  const ReportSchedule schedule(settings);
  Fixture fixture;
  fixture.Start(kTask);
  fixture.worker.OnReportFailed(At(kNow));
  const auto due = [&](Milliseconds time) {
    return schedule.TakeDue(fixture.worker, At(time), &fixture.state)
        .has_value();
  };
  CHECK(due(kNow));
  CHECK_FALSE(due(kNow + settings.retry_delay - Milliseconds(1)));
  CHECK(due(kNow + settings.retry_delay));
}

// A worker that does not answer may have restarted: it would forget ends of its
// new incarnation by the numbers of the old one.
TEST_CASE("only a worker that answers is told to forget ends") {
  Fixture fixture;
  fixture.Start(kTask);
  fixture.ReportEnd(kTask, 1);
  CHECK(EndsToAcknowledge(fixture.worker, fixture.state) == 0);
  fixture.worker.OnEndsRecorded(fixture.worker.incarnation(), 1);
  CHECK(EndsToAcknowledge(fixture.worker, fixture.state) == 1);
  fixture.worker.OnReportFailed(At(kNow));
  CHECK(EndsToAcknowledge(fixture.worker, fixture.state) == 0);
}

}  // namespace
}  // namespace thornplank::testing
