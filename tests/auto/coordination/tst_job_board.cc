// Tests of the state that the board derives from its records.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/job_board.h"

namespace thornplank::testing {
namespace {

constexpr char kJob[] = "0123456789abcdef";

JobDefinition Definition() { return MakeJob(kJob, {MakeStep(2, 1)}); }

TEST_CASE("a published end is final, whatever records follow it") {
  const WallTime now = FromUnixMilliseconds(5000);
  const KeyedRecord submitted = JobBoard::Submission(Definition());
  const KeyedRecord cancelled = JobBoard::Cancellation(kJob);
  const KeyedRecord running = JobBoard::State(kJob, JobState::kRunning, now);
  const KeyedRecord completed =
      JobBoard::State(kJob, JobState::kCompleted, now);
  struct Row {
    const char* name;
    std::vector<KeyedRecord> records;
    JobState state;
  };
  const std::vector<Row> rows = {
      {"submitted", {submitted}, JobState::kQueued},
      {"submitted twice", {submitted, submitted}, JobState::kQueued},
      {"running", {submitted, running}, JobState::kRunning},
      {"cancelled", {submitted, running, cancelled}, JobState::kCancelled},
      {"completed", {submitted, running, completed}, JobState::kCompleted},
      {"cancelled too late",
       {submitted, completed, cancelled},
       JobState::kCompleted},
      {"a late duplicate of the submission",
       {submitted, completed, submitted},
       JobState::kCompleted},
      {"a late record of an older state",
       {submitted, completed, running},
       JobState::kCompleted},
      {"state before its submission",
       {completed, submitted},
       JobState::kCompleted},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    JobBoard board;
    for (const KeyedRecord& record : row.records) {
      board.Apply(record);
    }
    REQUIRE(board.Find(kJob) != nullptr);
    CHECK(board.Find(kJob)->state() == row.state);
  }
}

TEST_CASE("an entry is known until its record is dropped") {
  const EntryRecord first{"127.0.0.1:1", FromUnixMilliseconds(5000), 0.5, "a"};
  const EntryRecord moved{"127.0.0.1:2", FromUnixMilliseconds(6000), 0.5, "a"};
  struct Row {
    const char* name;
    std::vector<KeyedRecord> records;
    // Of instance "a"; "" if it is not known.
    std::string address;
  };
  const std::vector<Row> rows = {
      {"never written", {JobBoard::Entry("b", first)}, ""},
      {"written", {JobBoard::Entry("a", first)}, "127.0.0.1:1"},
      {"written again with another address",
       {JobBoard::Entry("a", first), JobBoard::Entry("a", moved)},
       "127.0.0.1:2"},
      {"dropped",
       {JobBoard::Entry("a", first), JobBoard::Entry("a", std::nullopt)},
       ""},
      {"not readable", {{"ea", "no record of ours", 0}}, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    JobBoard board;
    for (const KeyedRecord& record : row.records) {
      board.Apply(record);
    }
    const auto entry = board.entries().find("a");
    const std::string address =
        entry == board.entries().end() ? "" : entry->second.address;
    CHECK(address == row.address);
  }
}

TEST_CASE("the newest roster stands, and it can be read alone") {
  ReplicaRoster roster;
  roster.epoch = 3;
  roster.number = 2;
  roster.replicas = {{"a", "127.0.0.1:1", "x"}};
  ReplicaRoster older = roster;
  older.number = 1;
  older.replicas.clear();
  JobBoard board;
  CHECK(!board.roster());
  CHECK(board.Apply(JobBoard::Roster(roster)).kind ==
        BoardChange::Kind::kRoster);
  CHECK(board.Apply(JobBoard::Roster(older)).kind == BoardChange::Kind::kNone);
  REQUIRE(board.roster());
  CHECK(board.roster()->replicas.size() == 1);
  // Its key is the only one after the prefix.
  const std::string prefix = JobBoard::RosterKeyPrefix();
  CHECK(JobBoard::Roster(roster).key > prefix);
  const ProgressBlockRef block{{kJob, 0, 0}, 0};
  CHECK(JobBoard::Progress(block, "value").key < prefix);
  CHECK(!JobBoard::ParseRoster(JobBoard::Progress(block, "value")));
}

TEST_CASE("a job without a submission is not found") {
  JobBoard board;
  board.Apply(JobBoard::Cancellation(kJob));
  CHECK(board.Find(kJob) == nullptr);
  CHECK(board.WaitingJobs("queue") == 0);
}

TEST_CASE("waiting jobs are counted by queue until they start or end") {
  JobBoard board;
  board.Apply(JobBoard::Submission(Definition()));
  CHECK(board.WaitingJobs("queue") == 1);
  CHECK(board.WaitingJobs("other") == 0);
  board.Apply(JobBoard::State(kJob, JobState::kRunning, WallTime()));
  CHECK(board.WaitingJobs("queue") == 0);
}

TEST_CASE("a dropped job is forgotten") {
  JobBoard board;
  board.Apply(JobBoard::Submission(Definition()));
  for (const KeyedRecord& record :
       JobBoard::Tombstones(kJob, *board.Find(kJob))) {
    board.Apply(record);
  }
  CHECK(board.jobs().empty());
}

TEST_CASE("the reason of a failed job is kept and dropped with its state") {
  JobBoard board;
  board.Apply(JobBoard::Submission(Definition()));
  board.Apply(JobBoard::Failure(kJob, "why"));
  board.Apply(JobBoard::State(kJob, JobState::kFailed, WallTime()));
  REQUIRE(board.Find(kJob) != nullptr);
  CHECK(board.Find(kJob)->state() == JobState::kFailed);
  CHECK(board.Find(kJob)->failure == "why");
  for (const KeyedRecord& record :
       JobBoard::Tombstones(kJob, *board.Find(kJob))) {
    CHECK_FALSE(record.value.has_value());
    board.Apply(record);
  }
  CHECK(board.jobs().empty());
  // A job that has not failed has no such record to drop.
  CHECK(JobBoard::Tombstones(kJob, BoardJob()).size() == 3);
}

TEST_CASE("an older leader's record changes nothing") {
  JobBoard board;
  board.Apply(JobBoard::Leader({"b", 4, false}));
  CHECK(board.Apply(JobBoard::Leader({"a", 3, false})).kind ==
        BoardChange::Kind::kNone);
  CHECK(board.leader().holder == "b");
  CHECK(board.Apply(JobBoard::Leader({"b", 4, true})).kind ==
        BoardChange::Kind::kLeader);
  CHECK(board.leader().released);
}

TEST_CASE("keys of progress are told from all others") {
  const ProgressBlockRef block{{"0123456789abcdef", 2, 7}, 3};
  const KeyedRecord progress = JobBoard::Progress(block, "any bytes");
  CHECK(JobBoard::ParseProgressKey(progress.key) == block);
  CHECK(progress.value == "any bytes");
  CHECK_FALSE(JobBoard::Progress(block, std::nullopt).value.has_value());

  BoardJob failed;
  failed.failure = "why";
  std::vector<KeyedRecord> others = {
      JobBoard::Failure("ffffffffffffffff", "why"),
      JobBoard::Cancellation("ffffffffffffffff"),
      JobBoard::State("ffffffffffffffff", JobState::kRunning, WallTime()),
      JobBoard::Leader({"a", 3, false})};
  for (const KeyedRecord& record :
       JobBoard::Tombstones("ffffffffffffffff", failed)) {
    others.push_back(record);
  }
  for (const KeyedRecord& record : others) {
    CAPTURE(record.key);
    CHECK_FALSE(JobBoard::ParseProgressKey(record.key).has_value());
  }
  for (const char* key : {"", "t", "t0123456789abcdef", "0123456789abcdef.0.0",
                          "t0123456789abcdef.0.0#", "t0123456789abcdef.0.0#x",
                          "t0123456789abcdef.0.0#-1"}) {
    CAPTURE(key);
    CHECK_FALSE(JobBoard::ParseProgressKey(key).has_value());
  }
}

TEST_CASE("a checkpoint apart from its block is kept until it is removed") {
  const TaskRef task{{kJob, 0, 2}, 17};
  KeyedRecord record = JobBoard::Checkpoint(task, "saved");
  CHECK(JobBoard::ParseCheckpointKey(record.key) == task);
  CHECK_FALSE(JobBoard::ParseProgressKey(record.key).has_value());
  const KeyedRecord progress = JobBoard::Progress({{kJob, 0, 2}, 0}, "block");
  CHECK_FALSE(JobBoard::ParseCheckpointKey(progress.key).has_value());
  JobBoard board;
  record.offset = 5;
  CHECK(board.Apply(record).kind == BoardChange::Kind::kNone);
  // An older record that a snapshot contains changes nothing.
  KeyedRecord older = JobBoard::Checkpoint(task, "before");
  older.offset = 4;
  board.Apply(older);
  REQUIRE(board.checkpoints().size() == 1);
  CHECK(board.checkpoints().begin()->second.value == "saved");
  CHECK(board.progress().empty());
  CHECK(board.jobs().empty());
  board.OnSnapshot({record.key});
  CHECK(board.checkpoints().size() == 1);
  board.OnSnapshot({});
  CHECK(board.checkpoints().empty());
  board.Apply(record);
  KeyedRecord tombstone = JobBoard::Checkpoint(task, std::nullopt);
  tombstone.offset = 6;
  board.Apply(tombstone);
  CHECK(board.checkpoints().empty());
}

TEST_CASE("the newest progress is kept and changes no job") {
  const ProgressBlockRef block{{kJob, 0, 0}, 0};
  const auto record = [&block](const char* value, int64_t offset) {
    KeyedRecord progress = JobBoard::Progress(block, value);
    progress.offset = offset;
    return progress;
  };
  JobBoard board;
  CHECK(board.Apply(record("first", 3)).kind == BoardChange::Kind::kNone);
  board.Apply(record("second", 7));
  // Of a snapshot that was read beside it.
  board.Apply(record("older", 5));
  CHECK(board.jobs().empty());
  REQUIRE(board.progress().size() == 1);
  CHECK(board.progress().begin()->second.value == "second");
  SUBCASE("a tombstone drops it") {
    KeyedRecord tombstone = JobBoard::Progress(block, std::nullopt);
    tombstone.offset = 8;
    board.Apply(tombstone);
  }
  SUBCASE("a snapshot without it drops it") { board.OnSnapshot({"leader"}); }
  CHECK(board.progress().empty());
}

// Guards against a job that runs again: an entry that was away while the job
// ended and its records were dropped read the board anew, still had the
// submission, and led.
TEST_CASE("a job that a snapshot of the board lacks is gone") {
  const KeyedRecord submitted = JobBoard::Submission(Definition());
  const KeyedRecord cancelled = JobBoard::Cancellation(kJob);
  const KeyedRecord running =
      JobBoard::State(kJob, JobState::kRunning, FromUnixMilliseconds(5000));
  const KeyedRecord progress =
      JobBoard::Progress({{kJob, 0, 0}, 0}, std::string("x"));
  struct Row {
    const char* name;
    // What was read before the entry was away.
    std::vector<KeyedRecord> read;
    std::set<std::string> keys;
    bool known;
  };
  const std::vector<Row> rows = {
      {"submitted, and gone", {submitted}, {"leader"}, false},
      {"running, and gone", {submitted, running, progress}, {}, false},
      {"cancelled, and gone", {submitted, cancelled}, {}, false},
      {"its state alone remains", {submitted, running}, {running.key}, false},
      {"submitted, and still there", {submitted}, {submitted.key}, true},
      {"running, and still there",
       {submitted, running, progress},
       {submitted.key, running.key, progress.key},
       true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    JobBoard board;
    for (const KeyedRecord& record : row.read) {
      board.Apply(record);
    }
    board.OnSnapshot(row.keys);
    CHECK((board.Find(kJob) != nullptr) == row.known);
    CHECK(board.WaitingJobs("queue") == (row.known && row.read.size() == 1));
  }
}

// Guards against an entry that does not introduce itself again, since it still
// has its own record, which was dropped while it was away.
TEST_CASE("an entry whose record a snapshot lacks is gone") {
  JobBoard board;
  const KeyedRecord record = JobBoard::Entry("a", EntryRecord());
  board.Apply(record);
  board.OnSnapshot({record.key});
  CHECK(board.entries().count("a") == 1);
  board.OnSnapshot({"leader"});
  CHECK(board.entries().empty());
}

TEST_CASE("records that cannot be read are ignored") {
  JobBoard board;
  for (const char* key : {"j", "", "jx", "sx", "leader", "zz"}) {
    CAPTURE(key);
    CHECK(board.Apply({key, std::string("\xff\x01", 2), 0}).kind ==
          BoardChange::Kind::kNone);
  }
  CHECK(board.leader().holder.empty());
}

// Guards against verdicts of a leader before the last one that a snapshot
// brings back.
TEST_CASE("the newest record of the health of workers counts") {
  KeyedRecord older = JobBoard::Health("older");
  older.offset = 5;
  KeyedRecord newer = JobBoard::Health("newer");
  newer.offset = 6;
  JobBoard board;
  CHECK_FALSE(board.health().has_value());
  board.Apply(newer);
  board.Apply(older);
  REQUIRE(board.health().has_value());
  CHECK(board.health()->value == "newer");
  board.OnSnapshot({newer.key});
  CHECK(board.health().has_value());
  board.OnSnapshot({});
  CHECK_FALSE(board.health().has_value());
}

// Guards against departures that a snapshot brings back after their workers'
// runs were settled, or that are kept though the record is gone.
TEST_CASE("the newest record of announced departures counts") {
  KeyedRecord older = JobBoard::Departures("older");
  older.offset = 5;
  KeyedRecord newer = JobBoard::Departures("newer");
  newer.offset = 6;
  KeyedRecord removed = JobBoard::Departures(std::nullopt);
  removed.offset = 7;
  JobBoard board;
  CHECK_FALSE(board.departures().has_value());
  board.Apply(newer);
  board.Apply(older);
  REQUIRE(board.departures().has_value());
  CHECK(board.departures()->value == "newer");
  board.OnSnapshot({newer.key});
  CHECK(board.departures().has_value());
  board.Apply(removed);
  CHECK_FALSE(board.departures().has_value());
  board.Apply(newer);
  board.OnSnapshot({});
  CHECK_FALSE(board.departures().has_value());
}

// Guards against an entry of one version that takes a record of a later one for
// something else.
TEST_CASE("a key of a later version changes nothing") {
  for (const char* key : {"departures2", "b", "n0123456789abcdef"}) {
    CAPTURE(key);
    JobBoard board;
    const BoardChange change = board.Apply({key, "value", 3});
    CHECK(change.kind == BoardChange::Kind::kNone);
    board.OnSnapshot({key});
    CHECK(board.jobs().empty());
    CHECK(board.progress().empty());
    CHECK(board.entries().empty());
  }
}

}  // namespace
}  // namespace thornplank::testing
