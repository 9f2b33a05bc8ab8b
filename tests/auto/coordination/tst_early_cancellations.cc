// Tests of the cancellations of jobs whose submission is not stored.
#include <doctest/doctest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/early_cancellations.h"
#include "coordination/job_board.h"

namespace thornplank::testing {
namespace {

constexpr char kJob[] = "0123456789abcdef";
constexpr char kOtherJob[] = "0123456789abcdee";
const WallTime kNow = FromUnixMilliseconds(1000000000);

EarlyCancellation By(std::vector<std::string> accounts,
                     const std::string& queue = "queue",
                     const std::string& job = kJob) {
  return {job, {std::move(accounts), queue}, kNow, 0};
}

KeyedRecord RecordAt(const EarlyCancellation& cancellation, int64_t offset) {
  KeyedRecord record = EarlyCancellations::ToRecord(cancellation);
  record.offset = offset;
  return record;
}

KeyedRecord SubmissionAt(const JobDefinition& job, int64_t offset) {
  KeyedRecord record = JobBoard::Submission(job);
  record.offset = offset;
  return record;
}

// Guards against a cancellation that ends another account's job, or does not
// end its own caller's.
TEST_CASE("a cancellation binds the jobs that its caller may cancel") {
  struct Row {
    const char* name;
    EarlyCancellation cancellation;
    std::string account;
    bool binds;
  };
  const std::vector<Row> rows = {
      {"of the account", By({"north"}), "north", true},
      {"at another queue", By({"north"}, "other"), "north", true},
      {"one of the accounts of a key", By({"west", "north"}), "north", true},
      {"of another account", By({"south"}), "north", false},
      {"of another account, a public job", By({"south"}), "", true},
      {"of another job", By({"north"}, "queue", kOtherJob), "north", false},
      {"without a key, at the job's queue", By({}), "north", true},
      {"without a key, at another queue", By({}, "other"), "north", false},
      {"without a key, a public job", By({}, "other"), "", true},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    const JobDefinition job = MakeJob(kJob, {MakeStep(1, 1)}, 1, row.account);
    EarlyCancellations known;
    CHECK(known.FindFor(job) == nullptr);
    REQUIRE(known.Apply(RecordAt(row.cancellation, 5)).has_value());
    CHECK((known.FindFor(job) != nullptr) == row.binds);

    // In either order of the two records.
    for (const bool first : {true, false}) {
      JobBoard board;
      if (first) board.Apply(RecordAt(row.cancellation, 5));
      board.Apply(SubmissionAt(job, 6));
      if (!first) board.Apply(RecordAt(row.cancellation, 5));
      REQUIRE(board.Find(kJob) != nullptr);
      CHECK(board.Find(kJob)->cancelled == row.binds);
      CHECK(board.Find(kJob)->cancelled_early == row.binds);
    }
  }
}

// Guards against a submission that is told not to be accepted though it was, or
// the other way round.
TEST_CASE("a job is accepted if it was stored before its cancellation") {
  const JobDefinition job = MakeJob(kJob, {MakeStep(1, 1)});
  const KeyedRecord completed =
      JobBoard::State(kJob, JobState::kCompleted, kNow);
  struct Row {
    const char* name;
    std::vector<KeyedRecord> records;
    JobState state;
    bool early;
  };
  const std::vector<Row> rows = {
      {"cancelled first",
       {RecordAt(By({"north"}), 5), SubmissionAt(job, 6)},
       JobState::kCancelled,
       true},
      {"submitted first",
       {SubmissionAt(job, 5), RecordAt(By({"north"}), 6)},
       JobState::kCancelled,
       false},
      {"submitted first and again",
       {SubmissionAt(job, 5), RecordAt(By({"north"}), 6), SubmissionAt(job, 7)},
       JobState::kCancelled,
       false},
      {"by two accounts, the own one later",
       {RecordAt(By({"south"}), 4), SubmissionAt(job, 5),
        RecordAt(By({"north"}), 6)},
       JobState::kCancelled,
       false},
      {"cancelled before and after",
       {RecordAt(By({"north"}, "other"), 4), SubmissionAt(job, 5),
        RecordAt(By({"north"}), 6)},
       JobState::kCancelled,
       true},
      {"completed before",
       {SubmissionAt(job, 5), completed, RecordAt(By({"north"}), 7)},
       JobState::kCompleted,
       false},
      {"by another account only",
       {RecordAt(By({"south"}), 4), SubmissionAt(job, 5)},
       JobState::kQueued,
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    JobBoard board;
    for (const KeyedRecord& record : row.records) {
      board.Apply(record);
    }
    REQUIRE(board.Find(kJob) != nullptr);
    CHECK(board.Find(kJob)->state() == row.state);
    CHECK(board.Find(kJob)->cancelled_early == row.early);
  }
}

// Guards against a cancellation that a snapshot loses since no submission is
// there, and one that is kept though its record is gone.
TEST_CASE("a snapshot keeps the cancellations that it contains") {
  const KeyedRecord kept = RecordAt(By({"north"}), 5);
  const KeyedRecord gone = RecordAt(By({"north"}, "queue", kOtherJob), 6);
  JobBoard board;
  board.Apply(kept);
  board.Apply(gone);
  board.OnSnapshot({kept.key, "leader"});
  CHECK(board.early_cancellations().size() == 1);
  board.Apply(SubmissionAt(MakeJob(kJob, {MakeStep(1, 1)}), 7));
  board.Apply(SubmissionAt(MakeJob(kOtherJob, {MakeStep(1, 1)}), 8));
  CHECK(board.Find(kJob)->state() == JobState::kCancelled);
  CHECK(board.Find(kOtherJob)->state() == JobState::kQueued);
}

// Guards against records that are never dropped, and against one that is
// dropped before the end of its job is on the board.
TEST_CASE("expired cancellations are dropped once no job needs them") {
  const JobDefinition job = MakeJob(kJob, {MakeStep(1, 1)});
  const auto age = [](std::chrono::seconds time) { return kNow + time; };
  struct Row {
    const char* name;
    std::vector<KeyedRecord> others;
    WallTime now;
    size_t dropped;
  };
  const std::chrono::seconds ttl = kEarlyCancellationTtl;
  const std::vector<Row> rows = {
      {"young", {}, age(ttl - std::chrono::seconds(1)), 0},
      {"old", {}, age(ttl), 1},
      {"of a clock that is ahead", {}, age(-std::chrono::hours(1)), 0},
      {"old, its job not ended", {SubmissionAt(job, 6)}, age(ttl), 0},
      {"old, its job ended",
       {SubmissionAt(job, 6),
        JobBoard::State(kJob, JobState::kCancelled, kNow)},
       age(ttl),
       1},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    JobBoard board;
    board.Apply(RecordAt(By({"north"}), 5));
    for (const KeyedRecord& record : row.others) {
      board.Apply(record);
    }
    const std::vector<KeyedRecord> records =
        board.TombstonesOfEarlyCancellations(row.now);
    REQUIRE(records.size() == row.dropped);
    for (const KeyedRecord& record : records) {
      CHECK_FALSE(record.value.has_value());
      board.Apply(record);
    }
    CHECK(board.early_cancellations().size() == 1 - row.dropped);
  }
}

// Guards against a caller that fills the store with cancellations, and against
// one that keeps another caller from cancelling.
TEST_CASE("each caller has a bounded number of cancellations") {
  const CallerIdentity north{{"north"}, "queue"};
  const CallerIdentity south{{"south"}, "queue"};
  const CallerIdentity open{{}, "north"};
  EarlyCancellations known;
  std::string first_key;
  for (size_t i = 0; i < kMaxEarlyCancellations; ++i) {
    CHECK_FALSE(known.IsFull(north));
    char id[17];
    std::snprintf(id, sizeof(id), "%016zx", i);
    const KeyedRecord record =
        EarlyCancellations::ToRecord({id, north, kNow, 0});
    if (first_key.empty()) first_key = record.key;
    known.Apply(record);
    // Repeated by the store or a snapshot.
    known.Apply(record);
  }
  CHECK(known.size() == kMaxEarlyCancellations);
  CHECK(known.IsFull(north));
  CHECK(known.IsFull({{"north"}, "other"}));
  CHECK_FALSE(known.IsFull(south));
  CHECK_FALSE(known.IsFull(open));
  known.Apply({first_key, std::nullopt, 0});
  CHECK_FALSE(known.IsFull(north));
  known.OnSnapshot({});
  CHECK(known.size() == 0);
  CHECK_FALSE(known.IsFull(north));
}

// Guards against a repeated call that the store pays for, and against one that
// is not stored though the first record expires soon.
TEST_CASE(
    "a repeated cancellation is stored again once half its time is over") {
  EarlyCancellations known;
  known.Apply(EarlyCancellations::ToRecord(By({"north"})));
  const CallerIdentity north{{"north"}, "other"};
  const auto repeated = [&](const CallerIdentity& caller,
                            std::chrono::seconds later) {
    return known.IsRepeated(kJob, caller, kNow + later);
  };
  const std::chrono::seconds none{0};
  CHECK(repeated(north, none));
  CHECK(repeated(north, kEarlyCancellationRepeat - std::chrono::seconds(1)));
  CHECK_FALSE(repeated(north, kEarlyCancellationRepeat));
  CHECK_FALSE(repeated({{"south"}, "queue"}, none));
  CHECK_FALSE(repeated({{"north", "south"}, "queue"}, none));
  CHECK_FALSE(known.IsRepeated(kOtherJob, north, kNow));
  // The second record has a key of its own.
  EarlyCancellation later = By({"north"});
  later.requested = kNow + kEarlyCancellationRepeat;
  known.Apply(EarlyCancellations::ToRecord(later));
  CHECK(known.size() == 2);
}

TEST_CASE("records of cancellations that cannot be read are ignored") {
  const KeyedRecord good = EarlyCancellations::ToRecord(By({"north"}));
  CHECK(EarlyCancellations::IsKey(good.key));
  const std::string job = kJob;
  for (const std::string& key :
       {std::string("b"), "b" + job, "c" + job, "j" + good.key.substr(1),
        good.key + "0", "b" + std::string(32, 'x')}) {
    CAPTURE(key);
    CHECK_FALSE(EarlyCancellations::IsKey(key));
  }
  EarlyCancellations known;
  std::vector<std::string> values = {"", "\xff\x01", "\x80", "\x81\x01"};
  // A later version of the record.
  std::string later = *good.value;
  later[1] = '\x02';
  values.push_back(later);
  for (const std::string& value : values) {
    CHECK_FALSE(known.Apply({good.key, value, 3}).has_value());
  }
  CHECK_FALSE(known.Apply({good.key, std::nullopt, 4}).has_value());
  CHECK(known.size() == 0);
  CHECK(known.Apply(good).has_value());
}

}  // namespace
}  // namespace thornplank::testing
