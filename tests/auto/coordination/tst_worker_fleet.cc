// Tests of the calls to workers and of what each kind of answer changes.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

// Guards against tasks that don't start, or are taken as ended, on workers that
// answer some orders late or never: a run starts with the first copy that
// arrives.
TEST_CASE("a start order without an answer is sent again") {
  constexpr StartOutcome kNone = StartOutcome::kNoAnswer;
  struct Row {
    const char* name;
    std::vector<StartOutcome> answers;
    int copies;
    // Whether the run is known to run; otherwise its state is unknown until a
    // report.
    bool runs;
  };
  const std::vector<Row> rows = {
      {"answered", {StartOutcome::kAccepted}, 1, true},
      {"the second copy is answered",
       {kNone, StartOutcome::kAccepted},
       2,
       true},
      {"the third copy is answered",
       {kNone, kNone, StartOutcome::kAccepted},
       3,
       true},
      {"no copy is answered", {kNone, kNone, kNone, kNone}, 3, false},
      {"the second copy is refused", {kNone, StartOutcome::kRefused}, 2, false},
      {"the ticket of the second copy is refused",
       {kNone, StartOutcome::kTicketRefused},
       2,
       false},
      {"the second copy is fenced", {kNone, StartOutcome::kFenced}, 2, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.first_start_answers = row.answers;
    fixture.calls.status_outcome = CallOutcome::kNoAnswer;
    fixture.Start();
    CHECK(fixture.calls.starts == row.copies);
    CHECK(fixture.ends.empty());
    const auto& runs = fixture.fleet.trackers().at("w1").runs();
    REQUIRE(runs.size() == 1);
    CHECK(runs.begin()->second.stage ==
          (row.runs ? RunStage::kRunning : RunStage::kUnknown));
  }
}

// Guards against a crash of the worker at a start that goes unnoticed for as
// long as reports are spaced: meanwhile other tasks were started there, one
// after the other, in vain.
TEST_CASE("a report is pending as soon as a start was accepted") {
  Fixture fixture;
  // The first report of the worker was asked for just before.
  REQUIRE(fixture.calls.reports == 1);
  fixture.Start();
  CHECK(fixture.calls.reports == 2);
  CHECK(fixture.calls.pending_long_poll != nullptr);
}

// Guards against tasks that stay on a slow worker: a probe before the start, or
// a tick while it was recorded, was followed by a long poll, which took the
// place of the short one after the start. The siblings of a slow run were done
// before their progress had been seen.
TEST_CASE("the first report after a start that was probed for waits briefly") {
  Fixture fixture;
  const Time later = Fixture::Now() + std::chrono::seconds(1);
  fixture.fleet.Add("w1", kTask, 1, RunProfile(), Fixture::Now());
  fixture.fleet.ProbeIfQuiet("w1", later);
  REQUIRE(fixture.calls.reports == 2);
  fixture.fleet.Tick(later);
  CHECK(fixture.calls.pending_long_poll == nullptr);
  fixture.fleet.SendStart("w1", kTask, 1, {});
  CHECK(fixture.calls.pending_long_poll != nullptr);
  CHECK(fixture.calls.last_wait == ReportScheduleSettings().max_first_wait);
}

// Guards against a second start of a task that ended `done`, and against a stop
// for lack of progress: while nothing can be recorded, a worker lists the same
// page of ends, and an end behind it is in no report. Guards also against a
// next page that is requested by a report that waits.
TEST_CASE("the ends behind a page are read once the page is recorded") {
  constexpr int64_t kPage = 500;
  Fixture fixture;
  fixture.Start();
  WorkerStatusReport& report = fixture.calls.report;
  for (int64_t number = 1; number <= kPage; ++number) {
    const TaskRef other{kTask.step, static_cast<int>(number)};
    report.ended.push_back({number, other, 1, RunEnd::kDone, ""});
  }
  report.ends_complete = false;
  fixture.calls.AnswerLongPoll();
  Time now = Fixture::Now();
  for (int i = 0; i < 3; ++i) {
    now += std::chrono::seconds(3);
    fixture.fleet.Tick(now);
  }
  CHECK(fixture.ends == std::vector<RunEnd>(kPage, RunEnd::kDone));
  CHECK(fixture.calls.stops == 0);
  CHECK(fixture.calls.recorded_ends.back() == 0);
  fixture.fleet.OnEndsRecorded("w1", 0, kPage);
  report.ended = {{kPage + 1, kTask, 1, RunEnd::kDone, ""}};
  report.ends_complete = true;
  fixture.fleet.Tick(now + ReportScheduleSettings().retry_delay);
  CHECK(fixture.calls.recorded_ends.back() == kPage);
  CHECK(fixture.calls.last_wait == Milliseconds(0));
  CHECK(fixture.ends == std::vector<RunEnd>(kPage + 1, RunEnd::kDone));
}

// Guards against polling for the ends of stopped runs every 250 ms: an urgent
// gang would wait that long for resources that are already free.
TEST_CASE("the end of a stopped run is reported at once") {
  Fixture fixture;
  fixture.calls.report.running = {{kTask, 1, "", 10}};
  fixture.Start();
  fixture.calls.AnswerLongPoll();
  fixture.fleet.RequestStop("w1", kTask, 1, "gives way");
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1));
  REQUIRE(fixture.calls.pending_long_poll != nullptr);
  CHECK(fixture.ends.empty());
  fixture.calls.report.running.clear();
  RunEndReport end;
  end.number = 1;
  end.task = kTask;
  end.run = 1;
  end.end = RunEnd::kStopped;
  fixture.calls.report.ended = {end};
  fixture.calls.AnswerLongPoll();
  CHECK(fixture.ends == std::vector<RunEnd>{RunEnd::kStopped});
}

TEST_CASE("each answer to a start order settles what it proves") {
  struct Row {
    const char* name;
    StartOutcome answer;
    // Whether the run ends as lost.
    bool settled;
    bool worker_known;
    int fenced;
  };
  const std::vector<Row> rows = {
      {"accepted", StartOutcome::kAccepted, false, true, 0},
      {"refused", StartOutcome::kRefused, true, true, 0},
      {"no answer", StartOutcome::kNoAnswer, false, true, 0},
      {"fenced", StartOutcome::kFenced, true, true, 1},
      {"another life", StartOutcome::kOtherIncarnation, true, false, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.start_answer = row.answer;
    fixture.Start();
    CHECK(fixture.ends.size() == (row.settled ? 1 : 0));
    CHECK(fixture.has_worker() == row.worker_known);
    CHECK(fixture.fenced == row.fenced);
  }
}

TEST_CASE(
    "filler tasks are slowed down when a serving task misses its target") {
  struct Row {
    std::string name;
    int64_t tail;
    CallOutcome answer;
    std::vector<int> sent;
  };
  const std::vector<Row> rows = {
      {"tail latency is low", 40, CallOutcome::kOk, {}},
      {"tail latency is above the target", 150, CallOutcome::kOk, {25, 6, 0}},
      {"tail latency is near the target", 95, CallOutcome::kOk, {66, 44, 29}},
      {"sent again until it is confirmed",
       150,
       CallOutcome::kNoAnswer,
       {25, 6, 0}},
  };
  const TaskRef serving{{"0123456789abcdef", 0, 1}, 0};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.pace_outcome = row.answer;
    RunProfile filler;
    filler.is_filler = true;
    fixture.fleet.Add("w1", kTask, 1, filler, Fixture::Now());
    RunProfile server;
    server.long_running = true;
    server.tail_latency_target = Milliseconds(100);
    fixture.fleet.Add("w1", serving, 1, server, Fixture::Now());
    fixture.calls.report.running = {{kTask, 1, "", 10, 2000},
                                    {serving, 1, "", 100, row.tail}};
    fixture.fleet.SendStart("w1", kTask, 1, {});
    for (int i = 0; i < 3; ++i) {
      fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1));
      fixture.calls.AnswerLongPoll();
    }
    CHECK(fixture.calls.sent_paces == row.sent);
  }
}

// Guards against filler tasks that stay slowed down for a serving task that has
// ended: its end is behind a full page, and its last tail latency is old.
TEST_CASE("a serving task that may have ended slows no filler tasks down") {
  const TaskRef serving{{"0123456789abcdef", 0, 1}, 0};
  Fixture fixture;
  RunProfile filler;
  filler.is_filler = true;
  fixture.fleet.Add("w1", kTask, 1, filler, Fixture::Now());
  RunProfile server;
  server.long_running = true;
  server.tail_latency_target = Milliseconds(100);
  fixture.fleet.Add("w1", serving, 1, server, Fixture::Now());
  WorkerStatusReport& report = fixture.calls.report;
  report.running = {{kTask, 1, "", 10, 2000}, {serving, 1, "", 100, 150}};
  fixture.fleet.SendStart("w1", kTask, 1, {});
  fixture.calls.AnswerLongPoll();
  REQUIRE(fixture.calls.sent_paces == std::vector<int>{25});
  report.running.pop_back();
  report.ends_complete = false;
  report.ended = {{500, {kTask.step, 1}, 1, RunEnd::kDone, ""}};
  for (int seconds = 1; seconds <= 3; ++seconds) {
    fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(seconds));
    if (fixture.calls.pending_long_poll) fixture.calls.AnswerLongPoll();
  }
  const std::vector<int>& paces = fixture.calls.sent_paces;
  CHECK(*std::min_element(paces.begin(), paces.end()) == 25);
}

TEST_CASE("a stop without an answer is repeated after a delay") {
  Fixture fixture;
  fixture.Start();
  fixture.calls.stop_outcome = CallOutcome::kNoAnswer;
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  REQUIRE(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(100));
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(300));
  CHECK(fixture.calls.stops == 2);
}

TEST_CASE("no task is started in a closed failure domain") {
  struct Row {
    const char* name;
    // Whether the domains are closed before the order is sent, or while it has
    // no answer.
    bool before;
    std::set<std::string> closed;
    int orders;
  };
  const std::vector<Row> rows = {
      {"another domain is closed", true, {"b"}, 3},
      {"closed after the decision", true, {"a"}, 0},
      {"closed while the order has no answer", false, {"a"}, 1},
      {"closed together with another", true, {"a", "b"}, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.fleet.OnDirectoryRecord({"w1", "listed", 1}, Fixture::Now());
    fixture.calls.start_answer = StartOutcome::kNoAnswer;
    fixture.fleet.Add("w1", kTask, 1, RunProfile(), Fixture::Now());
    if (row.before) {
      fixture.fleet.CloseDomains(row.closed);
    } else {
      fixture.calls.on_start = [&] { fixture.fleet.CloseDomains(row.closed); };
    }
    fixture.fleet.SendStart("w1", kTask, 1, {});
    CHECK(fixture.calls.starts == row.orders);
    // A run whose order was never sent ends; one that may have started does
    // not.
    CHECK(fixture.ends.size() == (row.orders == 0 ? 1 : 0));
  }
}

// Guards against starts that were decided while the worker had more capacity:
// the start is written to the store between the decision and the order.
TEST_CASE(
    "no task is started on a worker with less capacity than its runs need") {
  struct Row {
    const char* name;
    // Directory records that are read before the order is sent, and while it
    // has no answer.
    std::vector<std::string> before;
    std::vector<std::string> during;
    int orders;
  };
  const std::vector<Row> rows = {
      {"unchanged", {"listed"}, {}, 3},
      {"shrunk after the decision", {kShrunk}, {}, 0},
      {"shrunk, and grown again", {kShrunk, "listed"}, {}, 3},
      {"shrunk while the order has no answer", {}, {kShrunk}, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.calls.start_answer = StartOutcome::kNoAnswer;
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

TEST_CASE("a worker that has moved belongs to its new failure domain") {
  Fixture fixture;
  fixture.fleet.CloseDomains({"b"});
  const auto domain_closed = [&fixture] {
    return fixture.fleet.trackers().at("w1").domain_closed();
  };
  CHECK_FALSE(domain_closed());
  fixture.fleet.OnDirectoryRecord({"w1", kInDomainB, 1}, Fixture::Now());
  CHECK(domain_closed());
  fixture.fleet.CloseDomains({});
  CHECK_FALSE(domain_closed());
}

TEST_CASE("a worker of a service that is not configured is not called") {
  Fixture fixture;
  const int before = fixture.calls.reports;
  fixture.fleet.OnDirectoryRecord({"w9", kUnknownService, 1}, Fixture::Now());
  fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1));
  CHECK(fixture.calls.reports == before);
}

TEST_CASE(
    "a worker that does not answer is called, but its lease not renewed") {
  Fixture fixture;
  fixture.calls.status_outcome = CallOutcome::kNoAnswer;
  fixture.calls.answer_long_polls = true;
  fixture.Start();
  // The first call, before it had no answer.
  CHECK(fixture.calls.renewed);
  const int before = fixture.calls.reports;
  Time now = Fixture::Now();
  for (int i = 0; i < 5; ++i) {
    now += Milliseconds(300);
    fixture.fleet.Tick(now);
    CHECK_FALSE(fixture.calls.renewed);
  }
  CHECK(fixture.calls.reports == before + 5);
  CHECK(fixture.ends.empty());
}

TEST_CASE("nothing is started by an entry that may no longer be the leader") {
  Fixture fixture;
  fixture.may_renew = false;
  fixture.Start();
  CHECK(fixture.calls.starts == 0);
  REQUIRE(fixture.ends.size() == 1);
  CHECK(fixture.ends[0] == RunEnd::kLost);
}

// Guards against a leader that was suspended for longer than it may renew, and
// renews leases by what it knew before: its successor counts on the end of
// them.
TEST_CASE("a report that arrives after a suspension renews no lease") {
  Fixture fixture;
  fixture.Start();
  fixture.Tick(Fixture::Now() + std::chrono::seconds(1));
  REQUIRE(fixture.calls.renewed);
  REQUIRE(fixture.calls.pending_long_poll != nullptr);
  fixture.calls.report.running = {{kTask, 1, "", 10}};
  const int before = fixture.calls.reports;
  fixture.may_renew = false;
  fixture.calls.AnswerLongPoll();
  CHECK(fixture.calls.reports == before + 1);
  CHECK_FALSE(fixture.calls.renewed);
}

// Guards against a lease that ends while a worker answers: its report was asked
// for without a renewal, and waits for an end when renewals are allowed again.
TEST_CASE("a worker is renewed at once when its stop is withdrawn") {
  Fixture fixture;
  fixture.Start();
  fixture.calls.report.running = {{kTask, 1, "", 10}};
  Time now = Fixture::Now() + std::chrono::seconds(1);
  fixture.Tick(now);
  fixture.calls.status_outcome = CallOutcome::kNoAnswer;
  fixture.calls.AnswerLongPoll();
  // By the clock of the fleet, on which the silence is counted.
  REQUIRE(
      fixture.fleet.TakeRenewalStops(Fixture::Now() + std::chrono::seconds(1)));
  fixture.fleet.OnRenewalStopsStored();
  fixture.calls.status_outcome = CallOutcome::kOk;
  now += std::chrono::seconds(1);
  fixture.Tick(now);
  fixture.Tick(now + std::chrono::seconds(1));
  REQUIRE(fixture.calls.pending_long_poll != nullptr);
  CHECK_FALSE(fixture.calls.renewed);
  REQUIRE(fixture.fleet.TakeRenewalStops(Fixture::Now()));
  const int before = fixture.calls.reports;
  fixture.fleet.OnRenewalStopsStored();
  CHECK(fixture.calls.reports == before + 1);
  CHECK(fixture.calls.renewed);
}

// Guards against two runs of a task: a worker whose entry was missing for a
// while came back as one without leases. A lease covers also what is started
// later, and lasts longer than the deadline of a start.
TEST_CASE("a worker is forgotten only once its leases are over") {
  struct Row {
    const char* name;
    // From the renewal to the review of the worker that is no longer listed.
    Milliseconds later;
    bool known;
  };
  const WorkerBounds bounds;
  const Milliseconds lease = WorkerTracker::MaxLeaseDuration(
      bounds.lease_term() + std::chrono::seconds(1));
  for (const Row& row : {Row{"a lease may be left", Milliseconds(4000), true},
                         Row{"no lease is left", lease, false}}) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.Start();
    const Time begin = Fixture::Now();
    fixture.Tick(begin + std::chrono::seconds(1));
    REQUIRE(fixture.calls.renewed);
    fixture.calls.report.ended = {{1, kTask, 1, RunEnd::kDone, ""}};
    fixture.calls.AnswerLongPoll();
    REQUIRE(fixture.ends.size() == 1);
    fixture.fleet.OnDirectoryCaughtUp(begin);
    fixture.fleet.OnDirectoryRecord({"w1", std::nullopt, 1}, begin);
    for (Time now = begin; now < begin + row.later; now += Milliseconds(500)) {
      fixture.fleet.OnDirectoryCaughtUp(now);
      fixture.fleet.Tick(now);
    }
    fixture.fleet.Tick(begin + row.later + Milliseconds(100));
    CHECK(fixture.has_worker() == row.known);
  }
}

TEST_CASE("leases and stops respect the bounds of the workers") {
  struct Row {
    const char* name;
    Milliseconds longest_lease;
    Milliseconds stop;
  };
  const std::vector<Row> rows = {
      {"defaults", Milliseconds(10000), Milliseconds(400)},
      {"short leases", Milliseconds(3000), Milliseconds(200)},
      {"slow stops", Milliseconds(6000), Milliseconds(1500)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerBounds bounds;
    bounds.longest_lease = row.longest_lease;
    bounds.stop_bound = row.stop;
    Fixture fixture(bounds);
    // The clock of the worker starts at zero with its first report.
    const Time begin = Fixture::Now();
    fixture.Start();
    // After the delay that follows the first report.
    fixture.fleet.Tick(Fixture::Now() + std::chrono::seconds(1));
    REQUIRE(fixture.calls.renewed);
    const Duration slack = Fixture::Now() - begin + Milliseconds(1);
    CHECK(fixture.calls.lease_until <= row.longest_lease + slack);
    fixture.fleet.RequestStop("w1", kTask, 1, "test");
    REQUIRE(fixture.calls.stops == 1);
    // The stop is not repeated while the worker may still be stopping the run.
    fixture.fleet.Tick(Fixture::Now() + row.stop);
    CHECK(fixture.calls.stops == 1);
    fixture.fleet.Tick(Fixture::Now() + row.stop + std::chrono::seconds(1));
    CHECK(fixture.calls.stops == 2);
  }
}

TEST_CASE("a stop is sent once for a run that is being stopped") {
  Fixture fixture;
  fixture.Start();
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  fixture.fleet.RequestStop("w1", kTask, 1, "test");
  CHECK(fixture.calls.stops == 1);
  fixture.fleet.Tick(Fixture::Now() + Milliseconds(200));
  CHECK(fixture.calls.stops == 1);
}

// The cost of a tick must follow the work, not the number of workers: of
// thousands most are idle.
TEST_CASE("a tick visits only workers that have something open") {
  for (const int idle : {10, 1000, 6000}) {
    CAPTURE(idle);
    Fixture f;
    const Time now = Fixture::Now();
    f.fleet.OnDirectoryCaughtUp(now);
    for (int i = 0; i < idle; ++i) {
      f.fleet.OnDirectoryRecord({"idle" + std::to_string(i), "listed", 0}, now);
    }
    const auto active = [&f] { return f.fleet.active_workers().size(); };
    f.Tick(now);
    CHECK(active() == 0);
    // Their heartbeats change nothing.
    for (int i = 0; i < idle; ++i) {
      f.fleet.OnDirectoryRecord({"idle" + std::to_string(i), "listed", 0}, now);
    }
    CHECK(active() == 0);
    f.Start();
    f.Tick(now);
    CHECK(active() == 1);
    // One that is no longer listed is visited until it is known to be gone.
    f.fleet.OnDirectoryRecord({"idle0", std::nullopt, 1}, now);
    f.Tick(now);
    CHECK(active() == 2);
    for (int i = 1; i <= 40; ++i) {
      f.fleet.OnDirectoryCaughtUp(now + Milliseconds(100 * i));
      f.Tick(now + Milliseconds(100 * i));
    }
    CHECK(active() == 1);
    CHECK(f.fleet.trackers().count("idle0") == 0);
  }
}

}  // namespace
}  // namespace thornplank::testing
