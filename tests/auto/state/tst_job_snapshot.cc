// Snapshots of the job stream: when they count, and what they must equal.
#include <doctest/doctest.h>

#include <rapidcheck.h>

#include "fold_harness.h"

namespace thornplank {
namespace {

std::vector<LogRecord> SampleLog() {
  return ToLog({EpochOf(1, "e1"), SubmitOf("a"), SubmitOf("b"), SubmitOf("c"),
                PlaceOf(1, 1, "a", "g1"),
                PhaseOf(1, 2, "a", JobPhase::kRunning), CancelOf("c"),
                PhaseOf(1, 3, "a", JobPhase::kFinished),
                PlaceOf(1, 1, "b", "g2"), SubmitOf("d")});
}

// A log that retention has cut before `first`, with a snapshot of `covers`
// appended at its end in parts of one job.
struct CutLog {
  std::vector<LogRecord> log;
  int64_t first = 0;
};

CutLog CutWithSnapshot(int64_t covers, int64_t first) {
  const std::vector<LogRecord> whole = SampleLog();
  const JobStreamFold until = FoldOf(
      {whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(covers)});
  std::vector<JobStreamRecord> parts;
  for (const auto& part : until.MakeSnapshot("snap", 1)) parts.push_back(part);
  CutLog cut{{whole.begin() + static_cast<std::ptrdiff_t>(first), whole.end()},
             first};
  for (const LogRecord& record :
       ToLog(parts, static_cast<int64_t>(whole.size()))) {
    cut.log.push_back(record);
  }
  return cut;
}

struct CutCase {
  const char* name;
  int64_t covers;
  int64_t first;
  bool complete;
};

TEST_CASE("a snapshot and the records since equal the whole fold") {
  const std::vector<CutCase> cases = {
      {"everything is covered", 10, 10, true},
      {"a tail is left", 5, 5, true},
      {"more is kept than needed", 7, 3, true},
      {"records between the snapshot and the first kept are lost", 3, 5, false},
  };
  const Json whole = ContentOf(FoldOf(SampleLog()));
  for (const CutCase& one : cases) {
    CAPTURE(one.name);
    const CutLog cut = CutWithSnapshot(one.covers, one.first);
    JobStreamFold fold{JobRetention{}};
    fold.SkipLostRecords(cut.first);
    CHECK_FALSE(fold.complete());
    for (const LogRecord& record : cut.log) fold.Fold(record);
    CHECK(fold.complete() == one.complete);
    if (one.complete) CHECK(ContentOf(fold) == whole);
  }
}

TEST_CASE("a snapshot that covers less than what is folded changes nothing") {
  const std::vector<LogRecord> log = SampleLog();
  const JobStreamFold early = FoldOf({log.begin(), log.begin() + 4});
  const JobStreamFold late = FoldOf(log);
  JobStreamFold fold = FoldOf({log.begin(), log.begin() + 6});
  const Json before = ContentOf(fold);
  CHECK_FALSE(fold.Restore(early.MakeSnapshot("peer", 2)));
  CHECK(ContentOf(fold) == before);
  CHECK(fold.Restore(late.MakeSnapshot("peer", 2)));
  CHECK(ContentOf(fold) == ContentOf(late));
  CHECK(fold.next_offset() == 10);
  // What the stream brings after that up to the offset are repeats.
  CHECK(fold.Fold(log[7]).kind == FoldChange::Kind::kNone);
}

TEST_CASE("a snapshot in the stream of a whole fold is only noted") {
  CutLog cut = CutWithSnapshot(5, 0);
  const JobStreamFold fold = FoldOf(cut.log);
  CHECK(fold.newest_snapshot_end() == 5);
  CHECK(ContentOf(fold) == ContentOf(FoldOf(SampleLog())));
}

TEST_CASE("an unfinished snapshot does not count") {
  CutLog cut = CutWithSnapshot(5, 5);
  cut.log.pop_back();
  JobStreamFold fold{JobRetention{}};
  fold.SkipLostRecords(cut.first);
  for (const LogRecord& record : cut.log) fold.Fold(record);
  CHECK_FALSE(fold.complete());
  CHECK(fold.MakeSnapshot("x", 10).empty());
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
        records.push_back(SubmitOf(id));
        break;
      case 1:
        records.push_back(CancelOf(id));
        break;
      case 2:
        records.push_back(EpochOf(*small, "e" + std::to_string(*small)));
        break;
      case 3:
        records.push_back(PlaceOf(*small, *small, id, "g" + std::to_string(i)));
        break;
      case 4:
        records.push_back(
            PhaseOf(*small, *small, id,
                    static_cast<JobPhase>(*rc::gen::inRange(0, 8)), *small));
        break;
      default:
        records.push_back(ResignRecord{*small, "e1", "e1-1"});
        break;
    }
  }
  return records;
}

// Each record again at random later places, as a resent append may do.
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

TEST_CASE("repeats of records give the same fold") {
  CHECK(rc::check([] {
    const auto log = ToLog(RandomRecords());
    const bool same =
        ContentOf(FoldOf(WithRepeats(log))) == ContentOf(FoldOf(log));
    RC_ASSERT(same);
  }));
}

TEST_CASE("any snapshot with its tail gives the same fold") {
  CHECK(rc::check([] {
    const auto log = ToLog(RandomRecords());
    const auto cut = static_cast<std::ptrdiff_t>(
        *rc::gen::inRange<size_t>(0, log.size() + 1));
    JobStreamFold fold{JobRetention{}};
    fold.SkipLostRecords(cut);
    fold.Restore(FoldOf({log.begin(), log.begin() + cut}).MakeSnapshot("s", 1));
    for (auto record = log.begin() + cut; record != log.end(); ++record) {
      fold.Fold(*record);
    }
    RC_ASSERT(fold.complete());
    const bool same = ContentOf(fold) == ContentOf(FoldOf(log));
    RC_ASSERT(same);
  }));
}

}  // namespace
}  // namespace thornplank
