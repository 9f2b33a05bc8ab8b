// Tests of snapshots of the job stream: when they are used, and that a snapshot
// and the records after it give the same state as the whole stream.
#include <doctest/doctest.h>

#include <rapidcheck.h>

#include "job_stream_fixtures.h"

namespace thornplank {
namespace {

std::vector<LogRecord> SampleLog() {
  return ToLog({MakeEpoch(1, "e1"), MakeSubmitted("a"), MakeSubmitted("b"),
                MakeSubmitted("c"), MakePlaced(1, 1, "a", "g1"),
                MakePhase(1, 2, "a", JobPhase::kRunning), MakeCancelled("c"),
                MakePhase(1, 3, "a", JobPhase::kFinished),
                MakePlaced(1, 1, "b", "g2"), MakeSubmitted("d")});
}

// A log from which retention has removed the records before `first`, followed
// by a snapshot of the records before a given offset, in parts of one job.
struct TruncatedLog {
  std::vector<LogRecord> log;
  int64_t first = 0;
};

TruncatedLog TruncateWithSnapshot(int64_t covers, int64_t first) {
  const std::vector<LogRecord> full_log = SampleLog();
  const JobStreamState until =
      ApplyAll({full_log.begin(),
                full_log.begin() + static_cast<std::ptrdiff_t>(covers)});
  std::vector<JobStreamRecord> parts;
  for (const auto& part : until.MakeSnapshot("snap", 1)) parts.push_back(part);
  TruncatedLog cut{
      {full_log.begin() + static_cast<std::ptrdiff_t>(first), full_log.end()},
      first};
  for (const LogRecord& record :
       ToLog(parts, static_cast<int64_t>(full_log.size()))) {
    cut.log.push_back(record);
  }
  return cut;
}

struct TruncationCase {
  const char* name;
  int64_t covers;
  int64_t first;
  bool complete;
};

TEST_CASE(
    "a snapshot and the records after it equal the state of all records") {
  const std::vector<TruncationCase> cases = {
      {"everything is covered", 10, 10, true},
      {"records after the snapshot follow", 5, 5, true},
      {"the log contains records that the snapshot covers", 7, 3, true},
      {"records after the snapshot are missing", 3, 5, false},
  };
  const Json expected = ContentOf(ApplyAll(SampleLog()));
  for (const TruncationCase& one : cases) {
    CAPTURE(one.name);
    const TruncatedLog cut = TruncateWithSnapshot(one.covers, one.first);
    JobStreamState state{JobRetention{}};
    state.SkipLostRecords(cut.first);
    CHECK_FALSE(state.complete());
    for (const LogRecord& record : cut.log) state.Apply(record);
    CHECK(state.complete() == one.complete);
    if (one.complete) CHECK(ContentOf(state) == expected);
  }
}

TEST_CASE("a snapshot that covers less than what is applied changes nothing") {
  const std::vector<LogRecord> log = SampleLog();
  const JobStreamState early = ApplyAll({log.begin(), log.begin() + 4});
  const JobStreamState late = ApplyAll(log);
  JobStreamState state = ApplyAll({log.begin(), log.begin() + 6});
  const Json before = ContentOf(state);
  CHECK_FALSE(state.Restore(early.MakeSnapshot("peer", 2)));
  CHECK(ContentOf(state) == before);
  CHECK(state.Restore(late.MakeSnapshot("peer", 2)));
  CHECK(ContentOf(state) == ContentOf(late));
  CHECK(state.next_offset() == 10);
  // Records of the stream that the snapshot covers are ignored.
  CHECK(state.Apply(log[7]).kind == JobStreamChange::Kind::kNone);
}

TEST_CASE(
    "a complete state only records the offset of a snapshot in the stream") {
  TruncatedLog cut = TruncateWithSnapshot(5, 0);
  const JobStreamState state = ApplyAll(cut.log);
  CHECK(state.newest_snapshot_end() == 5);
  CHECK(ContentOf(state) == ContentOf(ApplyAll(SampleLog())));
}

TEST_CASE("an incomplete snapshot is not used") {
  TruncatedLog cut = TruncateWithSnapshot(5, 5);
  cut.log.pop_back();
  JobStreamState state{JobRetention{}};
  state.SkipLostRecords(cut.first);
  for (const LogRecord& record : cut.log) state.Apply(record);
  CHECK_FALSE(state.complete());
  CHECK(state.MakeSnapshot("x", 10).empty());
}

std::vector<JobStreamRecord> RandomRecords() {
  const auto ids = rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"});
  const auto small = rc::gen::inRange<int64_t>(0, 4);
  std::vector<JobStreamRecord> records;
  const int count = *rc::gen::inRange(0, 30);
  for (int i = 0; i < count; ++i) {
    const std::string id = *ids;
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        records.push_back(MakeSubmitted(id));
        break;
      case 1:
        records.push_back(MakeCancelled(id));
        break;
      case 2:
        records.push_back(MakeEpoch(*small, "e" + std::to_string(*small)));
        break;
      case 3:
        records.push_back(
            MakePlaced(*small, *small, id, "g" + std::to_string(i)));
        break;
      case 4:
        records.push_back(
            MakePhase(*small, *small, id,
                      static_cast<JobPhase>(*rc::gen::inRange(0, 8)), *small));
        break;
      default:
        records.push_back(ResignRecord{*small, "e1", "e1-1"});
        break;
    }
  }
  return records;
}

// Repeats records at random later positions, as a repeated append may do.
std::vector<LogRecord> WithRepeats(const std::vector<LogRecord>& log) {
  std::vector<LogRecord> repeated;
  const auto append = [&repeated](LogRecord record) {
    record.offset = static_cast<int64_t>(repeated.size());
    repeated.push_back(std::move(record));
  };
  for (size_t i = 0; i < log.size(); ++i) {
    append(log[i]);
    const int repeats = *rc::gen::inRange(0, 3);
    for (int n = 0; n < repeats; ++n) {
      append(log[*rc::gen::inRange<size_t>(0, i + 1)]);
    }
  }
  return repeated;
}

TEST_CASE("repeated records do not change the state") {
  CHECK(rc::check([] {
    const auto log = ToLog(RandomRecords());
    const bool same =
        ContentOf(ApplyAll(WithRepeats(log))) == ContentOf(ApplyAll(log));
    RC_ASSERT(same);
  }));
}

TEST_CASE("any snapshot and the records after it give the same state") {
  CHECK(rc::check([] {
    const auto log = ToLog(RandomRecords());
    const auto cut = static_cast<std::ptrdiff_t>(
        *rc::gen::inRange<size_t>(0, log.size() + 1));
    JobStreamState state{JobRetention{}};
    state.SkipLostRecords(cut);
    state.Restore(
        ApplyAll({log.begin(), log.begin() + cut}).MakeSnapshot("s", 1));
    for (auto record = log.begin() + cut; record != log.end(); ++record) {
      state.Apply(*record);
    }
    RC_ASSERT(state.complete());
    const bool same = ContentOf(state) == ContentOf(ApplyAll(log));
    RC_ASSERT(same);
  }));
}

}  // namespace
}  // namespace thornplank
