// Calls of workers: what each kind of answer does to the belief on a worker.
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
namespace {

const TaskRef kTask{{"0123456789abcdef", 0, 0}, 0};

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
  void Pace(const WorkerAddress&, const PaceOrder& order, Milliseconds,
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
    handlers.is_known = [](const std::string& service) {
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

// Workers that answer a part of their orders late or never: the run begins with
// the copy that arrives first, and nothing is held for one that had no answer.
TEST_CASE("a start order without an answer is sent again") {
  constexpr StartOutcome kNone = StartOutcome::kNoAnswer;
  struct Row {
    const char* name;
    std::vector<StartOutcome> answers;
    int copies;
    // Known to run; else nothing is known until a report.
    bool runs;
  };
  const std::vector<Row> rows = {
      {"answered", {StartOutcome::kAccepted}, 1, true},
      {"the second is answered", {kNone, StartOutcome::kAccepted}, 2, true},
      {"the third is", {kNone, kNone, StartOutcome::kAccepted}, 3, true},
      {"none is", {kNone, kNone, kNone, kNone}, 3, false},
      {"the first may have run when the second is refused",
       {kNone, StartOutcome::kRefused},
       2,
       false},
      {"or has no ticket", {kNone, StartOutcome::kTicketRefused}, 2, false},
      {"or is fenced", {kNone, StartOutcome::kFenced}, 2, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.first_starts = row.answers;
    fixture.calls.status = CallOutcome::kNoAnswer;
    fixture.Start();
    CHECK(fixture.calls.starts == row.copies);
    CHECK(fixture.ends.empty());
    const auto& runs = fixture.fleet.trackers().at("w1").runs();
    REQUIRE(runs.size() == 1);
    CHECK(runs.begin()->second.stage ==
          (row.runs ? RunStage::kRunning : RunStage::kUnknown));
  }
}

// An urgent gang waited up to a quarter of a second for room that was free: the
// ends of runs that were told to stop were asked for in that pace.
TEST_CASE("the end of a run that stops is told as it comes") {
  Fixture fixture;
  fixture.calls.report.running = {{kTask, 1, "", 10}};
  fixture.calls.answers_waiting = true;
  fixture.Start();
  fixture.calls.answers_waiting = false;
  fixture.fleet.RequestStop("w1", kTask, 1, "gives way");
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1), true);
  REQUIRE(fixture.calls.waiting != nullptr);
  CHECK(fixture.ends.empty());
  fixture.calls.report.running.clear();
  RunEndReport end;
  end.number = 1;
  end.task = kTask;
  end.run = 1;
  end.end = RunEnd::kStopped;
  fixture.calls.report.ended = {end};
  fixture.calls.AnswerWaiting();
  CHECK(fixture.ends == std::vector<RunEnd>{RunEnd::kStopped});
}

TEST_CASE("what the answer to a start does") {
  struct Row {
    const char* name;
    StartOutcome answer;
    // Ends as lost.
    bool settled;
    bool worker_known;
    int fenced;
  };
  const std::vector<Row> rows = {
      {"accepted", StartOutcome::kAccepted, false, true, 0},
      {"refused", StartOutcome::kRefused, true, true, 0},
      {"no answer", StartOutcome::kNoAnswer, false, true, 0},
      {"fenced", StartOutcome::kFenced, true, true, 1},
      {"another life", StartOutcome::kOtherLife, true, false, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.start = row.answer;
    fixture.Start();
    CHECK(fixture.ends.size() == (row.settled ? 1 : 0));
    CHECK(fixture.knows_worker() == row.worker_known);
    CHECK(fixture.fenced == row.fenced);
  }
}

TEST_CASE("tasks that fill are slowed beside a serving task in need") {
  struct Row {
    std::string name;
    int64_t tail;
    CallOutcome answer;
    std::vector<int> told;
  };
  const std::vector<Row> rows = {
      {"all is well", 40, CallOutcome::kOk, {}},
      {"the tail is over its target", 150, CallOutcome::kOk, {25, 6, 0}},
      {"near its target", 95, CallOutcome::kOk, {66, 44, 29}},
      {"told again until it is confirmed",
       150,
       CallOutcome::kNoAnswer,
       {25, 6, 0}},
  };
  const TaskRef serving{{"0123456789abcdef", 0, 1}, 0};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.pace = row.answer;
    RunProfile filler;
    filler.fills = true;
    fixture.fleet.Add("w1", kTask, 1, filler, Fixture::Now());
    RunProfile server;
    server.long_running = true;
    server.tail_target = Milliseconds(100);
    fixture.fleet.Add("w1", serving, 1, server, Fixture::Now());
    fixture.calls.report.running = {{kTask, 1, "", 10, 2000},
                                    {serving, 1, "", 100, row.tail}};
    for (int i = 0; i < 3; ++i) {
      fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1), true);
      fixture.calls.AnswerWaiting();
    }
    CHECK(fixture.calls.paces == row.told);
  }
}

// Guards against a worker that is dead by its id for as long as its leader
// leads.
TEST_CASE(
    "a life that is over stays so; another one under its id is a new one") {
  struct Row {
    const char* name;
    const char* entry;
    bool known;
  };
  const std::vector<Row> rows = {
      {"listed as it was", "born at 5000", false},
      {"born anew", "born at 9000", true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.fleet.OnDirectoryRecord({"w1", "born at 5000", 1}, Fixture::Now());
    fixture.calls.start = StartOutcome::kOtherLife;
    fixture.Start();
    REQUIRE_FALSE(fixture.knows_worker());
    fixture.fleet.OnDirectoryRecord({"w1", row.entry, 2}, Fixture::Now());
    CHECK(fixture.knows_worker() == row.known);
  }
}

// Guards against ends that a worker forgets by the numbers of its last life.
TEST_CASE("ends are told as recorded once, and to the life that counted them") {
  Fixture fixture;
  fixture.calls.answers_waiting = true;
  fixture.calls.report.birth.born = FromUnixMilliseconds(5000);
  fixture.calls.report.ended = {{7, kTask, 1, RunEnd::kDone, ""}};
  fixture.Start();
  Time now = Fixture::Now();
  const auto tick = [&fixture, &now] {
    now += std::chrono::seconds(1);
    fixture.fleet.Tick(now, /*may_renew=*/true);
  };
  tick();
  fixture.fleet.OnEndsRecorded("w1", 0, 7);
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 7);
  // Another run, so that the worker is asked on: the number is known there.
  fixture.fleet.Add("w1", kTask, 2, RunProfile(), now);
  fixture.fleet.SendStart("w1", kTask, 2, {});
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 0);
  // An end of its while another run goes on.
  fixture.calls.report.ended = {{8, kTask, 2, RunEnd::kDone, ""}};
  fixture.fleet.Add("w1", {kTask.step, 1}, 1, RunProfile(), now);
  fixture.fleet.SendStart("w1", {kTask.step, 1}, 1, {});
  fixture.calls.report.running = {{{kTask.step, 1}, 1, "", 5, 0}};
  tick();
  fixture.fleet.OnEndsRecorded("w1", 0, 8);
  tick();
  CHECK(fixture.calls.waits_that_tell == 0);
  fixture.calls.report.running.clear();
  fixture.calls.report.birth.born = FromUnixMilliseconds(9000);
  fixture.calls.report.ended.clear();
  tick();
  CHECK(fixture.fleet.trackers().at("w1").life() == 1);
  fixture.fleet.OnEndsRecorded("w1", 0, 7);
  tick();
  CHECK(fixture.calls.recorded_ends.back() == 0);
}

TEST_CASE("orders of the life before are stopped in the next one") {
  Fixture fixture;
  fixture.calls.report.birth.born = FromUnixMilliseconds(5000);
  fixture.fleet.OnDirectoryRecord({"w2", "born at 5000", 1}, Fixture::Now());
  fixture.fleet.Add("w2", kTask, 1, RunProfile(), Fixture::Now());
  fixture.calls.start = StartOutcome::kNoAnswer;
  fixture.fleet.SendStart("w2", kTask, 1, {});
  fixture.calls.report.birth.born = FromUnixMilliseconds(9000);
  Time now = Fixture::Now();
  for (int i = 0; i < 3; ++i) {
    now += Milliseconds(300);
    fixture.fleet.Tick(now, /*may_renew=*/true);
  }
  CHECK(fixture.calls.stops == 1);
  REQUIRE(fixture.ends.size() == 1);
  CHECK(fixture.ends[0] == RunEnd::kLost);
}

TEST_CASE("a life that is over stays so, though it is still listed") {
  Fixture fixture;
  fixture.calls.start = StartOutcome::kOtherLife;
  fixture.Start();
  fixture.fleet.OnDirectoryRecord({"w1", "listed", 1}, Fixture::Now());
  CHECK_FALSE(fixture.knows_worker());
  fixture.fleet.OnDirectoryRecord({"w2", "listed", 2}, Fixture::Now());
  CHECK(fixture.fleet.trackers().count("w2") == 1);
}

TEST_CASE("an entry that cannot be read names no worker, whatever it was") {
  struct Row {
    const char* name;
    std::string key;
    std::vector<std::string> entries;
    bool known;
    bool missing;
  };
  const std::vector<Row> rows = {
      {"a good entry", "w1", {"listed"}, true, false},
      {"a known worker's entry is overwritten",
       "w1",
       {kUnreadable},
       true,
       true},
      {"and written anew by the worker",
       "w1",
       {kUnreadable, "listed"},
       true,
       false},
      {"a key that was never a worker", "x", {kUnreadable}, false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    for (const std::string& entry : row.entries) {
      fixture.fleet.OnDirectoryRecord({row.key, entry, 1}, Fixture::Now());
    }
    const auto& trackers = fixture.fleet.trackers();
    const auto tracker = trackers.find(row.key);
    CHECK((tracker != trackers.end()) == row.known);
    if (tracker == trackers.end()) continue;
    CHECK(tracker->second.missing() == row.missing);
  }
}

TEST_CASE("what runs on a worker whose entry was overwritten goes on") {
  Fixture fixture;
  fixture.Start();
  fixture.fleet.OnDirectoryRecord({"w1", kUnreadable, 1}, Fixture::Now());
  fixture.calls.report.running = {{kTask, 1, "", 10, 0}};
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1), true);
  fixture.calls.AnswerWaiting();
  CHECK(fixture.calls.renewed);
  CHECK(fixture.ends.empty());
}

TEST_CASE("what runs on a worker that has left as announced has ended") {
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    Fixture fixture;
    fixture.Start();
    Time now = Fixture::Now();
    fixture.fleet.OnDirectoryContact(now);
    fixture.fleet.OnDirectoryRecord({"w1", announced ? kLeaving : "listed", 1},
                                    now);
    now += Milliseconds(300);
    fixture.fleet.OnDirectoryContact(now);
    fixture.fleet.OnDirectoryRecord({"w1", std::nullopt, 2}, now);
    REQUIRE(fixture.ends.size() == (announced ? 1 : 0));
    if (announced) CHECK(fixture.ends[0] == RunEnd::kWorkerLeft);
    CHECK(fixture.knows_worker() == !announced);
  }
}

// Many workers are taken away at two seconds' notice: what ran there begins
// elsewhere when their heartbeats end, not when their leases do, 5 s later.
TEST_CASE(
    "what runs on a worker that is found gone after its notice has ended") {
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    Fixture fixture;
    fixture.Start();
    Time now = Fixture::Now();
    fixture.fleet.OnDirectoryContact(now);
    fixture.fleet.OnDirectoryRecord({"w1", announced ? kLeaving : "listed", 1},
                                    now);
    fixture.calls.status = CallOutcome::kNobodyThere;
    fixture.calls.answers_waiting = true;
    for (int i = 0; i < 24; ++i) {
      now += Milliseconds(100);
      fixture.fleet.OnDirectoryContact(now);
      fixture.fleet.Tick(now, /*may_renew=*/true);
    }
    REQUIRE(fixture.ends.size() == (announced ? 1 : 0));
    if (announced) CHECK(fixture.ends[0] == RunEnd::kWorkerLeft);
    CHECK(fixture.knows_worker() == !announced);
  }
}

// Guards against a worker that fell silent, lost its runs, and is never asked
// again: only those with runs or ends were, and a silent one gets no runs.
TEST_CASE(
    "a silent worker with nothing on it is asked again when it is listed") {
  struct Row {
    const char* name;
    bool listed_again;
    bool answers;
    WorkerBelief belief;
  };
  const std::vector<Row> rows = {
      {"it answers", true, true, WorkerBelief::kUsable},
      {"it does not", true, false, WorkerBelief::kSilent},
      {"nothing is heard of it", false, true, WorkerBelief::kSilent},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.answers_waiting = true;
    fixture.Start();
    fixture.calls.status = CallOutcome::kNoAnswer;
    Time now = Fixture::Now();
    const auto tick = [&fixture, &now](int times) {
      for (int i = 0; i < times; ++i) {
        now += Milliseconds(300);
        fixture.fleet.Tick(now, /*may_renew=*/true);
      }
    };
    tick(30);
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends[0] == RunEnd::kWorkerSilent);
    if (row.answers) fixture.calls.status = CallOutcome::kOk;
    const int asked = fixture.calls.reports;
    if (row.listed_again) {
      fixture.fleet.OnDirectoryRecord({"w1", "listed", 2}, now);
    }
    tick(5);
    CHECK(fixture.fleet.trackers().at("w1").belief(now) == row.belief);
    // Once for each entry: a worker that is gone is not asked for ever.
    CHECK(fixture.calls.reports == asked + (row.listed_again ? 1 : 0));
  }
}

TEST_CASE("a stop that finds nobody is repeated after a pause") {
  Fixture fixture;
  fixture.Start();
  fixture.calls.stop = CallOutcome::kNoAnswer;
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  REQUIRE(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(100), /*may_renew=*/true);
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(300), /*may_renew=*/true);
  CHECK(fixture.calls.stops == 2);
}

TEST_CASE("nothing begins in a failure domain that takes no new work") {
  struct Row {
    const char* name;
    // Closed before the order is sent, or while it has no answer.
    bool before;
    std::set<std::string> closed;
    int orders;
  };
  const std::vector<Row> rows = {
      {"another one is closed", true, {"b"}, 3},
      {"closed after the decision", true, {"a"}, 0},
      {"closed while the order has no answer", false, {"a"}, 1},
      {"with another", true, {"a", "b"}, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.fleet.OnDirectoryRecord({"w1", "listed", 1}, Fixture::Now());
    fixture.calls.start = StartOutcome::kNoAnswer;
    fixture.fleet.Add("w1", kTask, 1, RunProfile(), Fixture::Now());
    if (row.before) {
      fixture.fleet.CloseDomains(row.closed);
    } else {
      fixture.calls.on_start = [&] { fixture.fleet.CloseDomains(row.closed); };
    }
    fixture.fleet.SendStart("w1", kTask, 1, {});
    CHECK(fixture.calls.starts == row.orders);
    // What was never sent is settled; what may have begun is not.
    CHECK(fixture.ends.size() == (row.orders == 0 ? 1 : 0));
  }
}

// Guards against starts that were decided while the worker was larger: between
// the decision and the order lies a record in the store.
TEST_CASE("nothing begins on a worker that has shrunk below what it holds") {
  struct Row {
    const char* name;
    // Its entries before the order is sent, and while it has no answer.
    std::vector<std::string> before;
    std::vector<std::string> during;
    int orders;
  };
  const std::vector<Row> rows = {
      {"as it was", {"listed"}, {}, 3},
      {"shrunk after the decision", {kShrunk}, {}, 0},
      {"shrunk, and grown again", {kShrunk, "listed"}, {}, 3},
      {"shrunk while the order has no answer", {}, {kShrunk}, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.start = StartOutcome::kNoAnswer;
    RunProfile profile;
    profile.need.accelerators = 4;
    fixture.fleet.Add("w1", kTask, 1, profile, Fixture::Now());
    for (const std::string& entry : row.before) {
      fixture.fleet.OnDirectoryRecord({"w1", entry, 1}, Fixture::Now());
    }
    fixture.calls.on_start = [&] {
      for (const std::string& entry : row.during) {
        fixture.fleet.OnDirectoryRecord({"w1", entry, 2}, Fixture::Now());
      }
    };
    fixture.fleet.SendStart("w1", kTask, 1, {});
    CHECK(fixture.calls.starts == row.orders);
    CHECK(fixture.ends.size() == (row.orders == 0 ? 1 : 0));
  }
}

TEST_CASE("a worker that moves is judged by the domain where it stands") {
  Fixture fixture;
  fixture.fleet.CloseDomains({"b"});
  const auto belief = [&fixture] {
    return fixture.fleet.trackers().at("w1").domain_closed();
  };
  CHECK_FALSE(belief());
  fixture.fleet.OnDirectoryRecord({"w1", kInDomainB, 1}, Fixture::Now());
  CHECK(belief());
  fixture.fleet.CloseDomains({});
  CHECK_FALSE(belief());
}

TEST_CASE("a worker of a service that nobody configured is not looked at") {
  Fixture fixture;
  const int before = fixture.calls.reports;
  fixture.fleet.OnDirectoryRecord({"w9", kStray, 1}, Fixture::Now());
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1), true);
  CHECK(fixture.calls.reports == before);
}

TEST_CASE("a worker that does not answer is asked on, but not renewed") {
  Fixture fixture;
  fixture.calls.status = CallOutcome::kNoAnswer;
  fixture.calls.answers_waiting = true;
  fixture.Start();
  const int before = fixture.calls.reports;
  Time now = Fixture::Now();
  for (int i = 0; i < 5; ++i) {
    now += Milliseconds(300);
    fixture.fleet.Tick(now, /*may_renew=*/true);
    // Only the first, before its silence showed.
    CHECK(fixture.calls.renewed == (i == 0));
  }
  CHECK(fixture.calls.reports == before + 5);
  CHECK(fixture.ends.empty());
}

TEST_CASE("nothing is started by one that may lead no more") {
  Fixture fixture;
  fixture.fleet.Tick(Fixture::Now(), /*may_renew=*/false);
  fixture.Start();
  CHECK(fixture.calls.starts == 0);
  REQUIRE(fixture.ends.size() == 1);
  CHECK(fixture.ends[0] == RunEnd::kLost);
}

TEST_CASE("leases and stops fit what the workers promise") {
  struct Row {
    const char* name;
    Milliseconds longest_lease;
    Milliseconds stop;
  };
  const std::vector<Row> rows = {
      {"as by default", Milliseconds(10000), Milliseconds(400)},
      {"short leases", Milliseconds(3000), Milliseconds(200)},
      {"slow stops", Milliseconds(6000), Milliseconds(1500)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerBounds bounds;
    bounds.longest_lease = row.longest_lease;
    bounds.stop = row.stop;
    Fixture fixture(bounds);
    // The worker's clock, as its first report has it, begins at zero.
    const Time begin = Fixture::Now();
    fixture.Start();
    // Behind the pause after the first report.
    fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1),
                       /*may_renew=*/true);
    REQUIRE(fixture.calls.renewed);
    const Duration slack = Fixture::Now() - begin + Milliseconds(1);
    CHECK(fixture.calls.lease_until <= row.longest_lease + slack);
    fixture.fleet.RequestStop("w1", kTask, 1, "test");
    REQUIRE(fixture.calls.stops == 1);
    // A worker that takes its time is not told again before it is over.
    fixture.fleet.Tick(Fixture::Now() + row.stop, /*may_renew=*/true);
    CHECK(fixture.calls.stops == 1);
    fixture.fleet.Tick(Fixture::Now() + row.stop + std::chrono::seconds(1),
                       /*may_renew=*/true);
    CHECK(fixture.calls.stops == 2);
  }
}

TEST_CASE("a stop is sent for a run once, and again only without an end") {
  Fixture fixture;
  fixture.Start();
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(200), /*may_renew=*/true);
  CHECK(fixture.calls.stops == 1);
}

}  // namespace
}  // namespace thornplank::testing
