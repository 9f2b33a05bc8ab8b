// Tests of the state of the job stream: which records are accepted and which
// are ignored.
#include <doctest/doctest.h>

#include "job_stream_fixtures.h"

namespace thornplank {
namespace {

struct JobCase {
  const char* name;
  std::vector<JobStreamRecord> records;
  // Expected state of job "a" after all records.
  JobPhase phase;
  const char* gang;
  int attempts;
};

TEST_CASE("the state of a job follows from the records in the stream") {
  using Phase = JobPhase;
  const std::vector<JobCase> cases = {
      {"submitted", {MakeSubmitted("a")}, Phase::kWaiting, "", 0},
      {"submitted twice after it was placed",
       {MakeEpoch(1, "e1"), MakeSubmitted("a"), MakePlaced(1, 1, "a", "g1"),
        MakeSubmitted("a")},
       Phase::kStarting,
       "g1",
       1},
      {"placed twice",
       {MakeEpoch(1, "e1"), MakeSubmitted("a"), MakePlaced(1, 1, "a", "g1"),
        MakePlaced(1, 1, "a", "g1")},
       Phase::kStarting,
       "g1",
       1},
      {"an older placement repeated after a newer one",
       {MakeEpoch(1, "e1"), MakeSubmitted("a"), MakePlaced(1, 1, "a", "g1"),
        MakePhase(1, 2, "a", Phase::kWaiting), MakePlaced(1, 3, "a", "g2"),
        MakePlaced(1, 1, "a", "g1")},
       Phase::kStarting,
       "g2",
       2},
      {"cancelled, then placed",
       {MakeEpoch(1, "e1"), MakeSubmitted("a"), MakeCancelled("a"),
        MakePlaced(1, 1, "a", "g1"), MakePhase(1, 2, "a", Phase::kRunning)},
       Phase::kCancelled,
       "",
       0},
      {"cancelled after it finished",
       {MakeEpoch(1, "e1"), MakeSubmitted("a"), MakePlaced(1, 1, "a", "g1"),
        MakePhase(1, 2, "a", Phase::kFinished), MakeCancelled("a")},
       Phase::kFinished,
       "",
       1},
      {"placed under an older epoch",
       {MakeEpoch(1, "e1"), MakeEpoch(2, "e2"), MakeSubmitted("a"),
        MakePlaced(1, 1, "a", "g1")},
       Phase::kWaiting,
       "",
       0},
      {"placed before any epoch",
       {MakeSubmitted("a"), MakePlaced(0, 1, "a", "g1")},
       Phase::kWaiting,
       "",
       0},
      {"placed under an epoch that was resigned",
       {MakeEpoch(1, "e1"), ResignRecord{1, "e1", "e1-1"}, MakeSubmitted("a"),
        MakePlaced(1, 1, "a", "g1")},
       Phase::kWaiting,
       "",
       0},
      {"placed by the loser of a race for the epoch",
       {MakeEpoch(1, "e1"), MakeEpoch(1, "e2"), MakeSubmitted("a"),
        MakePlaced(1, 1, "a", "g1"), MakePhase(1, 2, "a", Phase::kRunning)},
       Phase::kRunning,
       "g1",
       1},
  };
  for (const JobCase& one : cases) {
    CAPTURE(one.name);
    const JobStreamState state = ApplyAll(ToLog(one.records));
    const JobEntry* entry = state.jobs().Find("a");
    REQUIRE(entry != nullptr);
    CHECK(entry->phase == one.phase);
    CHECK(entry->gang_id == one.gang);
    CHECK(entry->attempts == one.attempts);
  }
}

struct ProgressCase {
  const char* name;
  std::vector<JobStreamRecord> records;
  int64_t progress_ms;
};

TEST_CASE("the progress of a job never decreases") {
  using Phase = JobPhase;
  const std::vector<JobStreamRecord> stopped = {
      MakeEpoch(1, "e1"), MakeSubmitted("a"), MakePlaced(1, 1, "a", "g1"),
      MakePhase(1, 2, "a", Phase::kStopping, 700)};
  const std::vector<ProgressCase> cases = {
      {"saved once", {}, 700},
      {"saved further", {MakePhase(1, 3, "a", Phase::kStopping, 900)}, 900},
      {"a smaller progress",
       {MakePhase(1, 3, "a", Phase::kStopping, 300)},
       700},
      {"a record without progress",
       {MakePhase(1, 3, "a", Phase::kWaiting)},
       700},
      {"placed again", {MakePlaced(1, 3, "a", "g2")}, 700},
      {"a final phase", {MakePhase(1, 3, "a", Phase::kFinished, 900)}, 900},
      {"a repeated revision with a larger progress",
       {MakePhase(1, 2, "a", Phase::kStopping, 900)},
       700},
      {"an older epoch",
       {MakeEpoch(2, "e2"), MakePhase(1, 3, "a", Phase::kStopping, 900)},
       700},
      {"a negative progress",
       {MakePhase(1, 3, "a", Phase::kStopping, -5)},
       700},
  };
  for (const ProgressCase& one : cases) {
    CAPTURE(one.name);
    std::vector<JobStreamRecord> records = stopped;
    records.insert(records.end(), one.records.begin(), one.records.end());
    const JobStreamState state = ApplyAll(ToLog(records));
    CHECK(state.jobs().Find("a")->progress == Milliseconds(one.progress_ms));
    JobStreamState restored{JobRetention{}};
    REQUIRE(restored.Restore(state.MakeSnapshot("s", 1)));
    CHECK(restored.jobs().Find("a")->progress == Milliseconds(one.progress_ms));
  }
}

TEST_CASE("records and snapshots without progress can be read") {
  const Json record = EncodeJobRecord(MakePhase(1, 2, "a", JobPhase::kRunning));
  CHECK(record.count("progress_ms") == 0);
  const auto decoded = DecodeJobRecord(record);
  REQUIRE(decoded);
  CHECK(std::get<PhaseRecord>(*decoded).progress == Milliseconds(0));
  std::vector<SnapshotPartRecord> parts =
      ApplyAll(ToLog({MakeSubmitted("a")})).MakeSnapshot("s", 1);
  for (SnapshotPartRecord& part : parts) {
    for (Json& job : part.content["jobs"]) job.erase("progress_ms");
  }
  JobStreamState restored{JobRetention{}};
  REQUIRE(restored.Restore(parts));
  CHECK(restored.jobs().Find("a")->progress == Milliseconds(0));
}

struct EpochCase {
  const char* name;
  std::vector<JobStreamRecord> records;
  CoordinatorEpoch expected;
};

TEST_CASE("the first claim in log order wins") {
  const std::vector<EpochCase> cases = {
      {"competing claims",
       {MakeEpoch(1, "e1"), MakeEpoch(1, "e2")},
       {1, "e1", "e1-1"}},
      {"a claim that skips a number", {MakeEpoch(2, "e2")}, {}},
      {"a repeat after the next epoch",
       {MakeEpoch(1, "e1"), MakeEpoch(2, "e2"), MakeEpoch(1, "e1")},
       {2, "e2", "e2-1"}},
      {"resigned",
       {MakeEpoch(1, "e1"), ResignRecord{1, "e1", "e1-1"}},
       {1, "e1", "e1-1", true}},
      {"resignation by another process of that name",
       {MakeEpoch(1, "e1"), ResignRecord{1, "e1", "e1-0"}},
       {1, "e1", "e1-1", false}},
      {"resignation of an older epoch",
       {MakeEpoch(1, "e1"), MakeEpoch(2, "e1"), ResignRecord{1, "e1", "e1-1"}},
       {2, "e1", "e1-1", false}},
  };
  for (const EpochCase& one : cases) {
    CAPTURE(one.name);
    const JobStreamState state = ApplyAll(ToLog(one.records));
    CHECK(state.epochs().current() == one.expected);
  }
}

TEST_CASE("a job id is accepted only once") {
  JobRetention retention;
  retention.max_final_jobs = 1;
  JobStreamState state(retention);
  for (const LogRecord& record :
       ToLog({MakeSubmitted("a"), MakeSubmitted("b"), MakeCancelled("a"),
              MakeCancelled("b")})) {
    state.Apply(record);
  }
  CHECK(state.jobs().Find("a") == nullptr);
  CHECK(state.jobs().Find("b") != nullptr);
  SUBCASE("after its entry was dropped") {
    state.Apply(ToLog({MakeSubmitted("a")}, 4)[0]);
    CHECK(state.jobs().Find("a") == nullptr);
  }
  SUBCASE("when its cancellation came first") {
    for (const LogRecord& record :
         ToLog({MakeCancelled("c"), MakeSubmitted("c")}, 4)) {
      state.Apply(record);
    }
    CHECK(state.jobs().Find("c") == nullptr);
  }
}

TEST_CASE("final jobs are dropped by their age in the time of the log") {
  JobRetention retention;
  retention.max_final_age = Milliseconds(1000);
  JobStreamState state(retention);
  std::vector<LogRecord> log = ToLog({MakeSubmitted("a"), MakeCancelled("a"),
                                      MakeSubmitted("b"), MakeSubmitted("c")});
  log[2].time = FromUnixMilliseconds(2000);
  log[3].time = FromUnixMilliseconds(2001);
  for (size_t i = 0; i < 3; ++i) state.Apply(log[i]);
  CHECK(state.jobs().Find("a") != nullptr);
  state.Apply(log[3]);
  CHECK(state.jobs().Find("a") == nullptr);
}

TEST_CASE("malformed and unknown records change nothing") {
  JobStreamState state{JobRetention{}};
  int64_t offset = 0;
  for (const Json& data :
       {Json(), Json(7), Json{{"type", "later"}}, Json{{"type", "submitted"}},
        Json{{"type", "submitted"}, {"job", {{"id", ""}}}},
        Json{{"type", "submitted"}, {"job", {{"id", "a"}, {"members", 0}}}},
        Json{{"type", "phase"}, {"phase", "odd"}},
        Json{{"type", "snapshot"}, {"part", 3}, {"parts", 1}}}) {
    const std::string id = std::to_string(offset);
    CHECK(state.Apply({offset++, {}, id, data}).kind ==
          JobStreamChange::Kind::kNone);
  }
  CHECK(state.jobs().jobs().empty());
  CHECK(state.next_offset() == offset);
}

}  // namespace
}  // namespace thornplank
