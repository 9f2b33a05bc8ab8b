// Records of every kind at the limits of the store: what fits is stored, what
// does not is refused, shortened or left out, and nothing is repeated unchanged
// after the store has rejected it for its size.
#include <doctest/doctest.h>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/fenced_writer.h"
#include "coordination/job_board.h"
#include "coordination/progress_records.h"
#include "coordination/record_appender.h"
#include "coordination/replica_roster.h"
#include "store_fixture.h"
#include "workload/departure_record.h"
#include "workload/health_record.h"
#include "workload/renewal_stop.h"

namespace thornplank::testing {
namespace {

const Partition kBoardPartition{kBoardStream, 0};
constexpr StoreLimits kLimits{4096, 10000};

KeyedRecord RecordOf(const std::string& key, size_t bytes) {
  KeyedRecord record{key, "", 0};
  record.value = std::string(bytes - RecordBytes(record), 'v');
  return record;
}

struct WriterTest {
  explicit WriterTest(const StoreLimits& known) : store(io) {
    store.model.set_limits(kLimits);
    FencedWriterSettings settings;
    settings.partition = kBoardPartition;
    settings.producer = "leader";
    settings.epoch = 1;
    settings.retry_delay = Milliseconds(5);
    settings.limits = known;
    writer = std::make_unique<FencedWriter>(
        io, store, settings, [] { FAIL("fenced"); },
        [this](const KeyedRecord& record) { rejected.push_back(record.key); });
  }

  // Writes the records, in one write or one by one, and then one more. Returns
  // whether that is stored.
  bool WriteAll(const std::vector<KeyedRecord>& records, bool in_one_write) {
    int done = 0;
    int expected = 1;
    if (in_one_write) {
      writer->Write(records, [&done] { ++done; });
      ++expected;
    } else {
      for (const KeyedRecord& record : records) {
        writer->Write({record}, [&done] { ++done; });
        ++expected;
      }
    }
    writer->Write({RecordOf("last", 100)}, [&done] { ++done; });
    return RunUntil(
        io, [&] { return done == expected; }, std::chrono::seconds(2));
  }

  std::vector<std::string> StoredKeys() const {
    std::vector<std::string> keys;
    for (const auto& record : store.model.Read(kBoardPartition, 0).records) {
      keys.push_back(record.key);
    }
    return keys;
  }

  boost::asio::io_context io;
  FakeRecordStore store;
  std::vector<std::string> rejected;
  std::unique_ptr<FencedWriter> writer;
};

// Guards against a leader that repeats an append for ever which the store
// rejects for its size, so that nothing else of it is stored either: no job
// starts or ends until an operator steps in.
TEST_CASE("the leader's writes at the limits of the store") {
  struct Row {
    const char* name;
    std::vector<size_t> sizes;
    std::vector<std::string> stored;
    std::vector<std::string> rejected;
  };
  const std::vector<Row> rows = {
      {"a record one byte below", {4095}, {"k0", "last"}, {}},
      {"a record at the limit", {4096}, {"k0", "last"}, {}},
      {"a record one byte above", {4097}, {"last"}, {"k0"}},
      {"one above among others",
       {100, 4097, 100},
       {"k0", "k2", "last"},
       {"k1"}},
      {"a total one byte below",
       {4096, 4096, 1795},
       {"k0", "k1", "k2", "last"},
       {}},
      {"a total at the limit",
       {4096, 4096, 1796},
       {"k0", "k1", "k2", "last"},
       {}},
      {"a total one byte above",
       {4096, 4096, 1797},
       {"k0", "k1", "k2", "last"},
       {}},
      {"a total of several appends, and one above",
       {4096, 4096, 4096, 5000, 4096, 4096},
       {"k0", "k1", "k2", "k4", "k5", "last"},
       {"k3"}},
  };
  for (const Row& row : rows) {
    for (const bool in_one_write : {true, false}) {
      // The second entry believes the limits to be larger than they are.
      for (const StoreLimits& known : {kLimits, StoreLimits{}}) {
        CAPTURE(std::string(row.name));
        CAPTURE(in_one_write);
        CAPTURE(known.record_bytes);
        WriterTest test(known);
        std::vector<KeyedRecord> records;
        for (size_t i = 0; i < row.sizes.size(); ++i) {
          records.push_back(RecordOf("k" + std::to_string(i), row.sizes[i]));
        }
        CHECK(test.WriteAll(records, in_one_write));
        CHECK(test.StoredKeys() == row.stored);
        CHECK(test.rejected == row.rejected);
        CHECK(test.store.repeated_rejections == 0);
        const bool knows_limits = known.record_bytes == kLimits.record_bytes;
        if (knows_limits) CHECK(test.store.rejected_appends == 0);
      }
    }
  }
}

// Guards against the late answer to one of two appends being taken for the
// answer to the next one, which has the same sequence number.
TEST_CASE("a rejection that arrives twice rejects nothing else") {
  WriterTest test(StoreLimits{});
  test.store.latency = Milliseconds(400);
  bool done = false;
  test.writer->Write({RecordOf("large", 5000)}, nullptr);
  test.writer->Write({RecordOf("next", 100)}, [&done] { done = true; });
  REQUIRE(RunUntil(test.io, [&] { return done; }));
  CHECK(test.rejected == std::vector<std::string>{"large"});
  CHECK(test.StoredKeys() == std::vector<std::string>{"next"});
}

// Guards against a caller that waits until its time-out for a record that the
// store never takes, and against other callers' records that are refused with
// it.
TEST_CASE("callers' records at the limits of the store") {
  struct Row {
    const char* name;
    std::vector<size_t> sizes;
    // Index of the record that is rejected; -1 for none.
    int rejected;
  };
  const std::vector<Row> rows = {
      {"one byte below", {4095, 100}, -1},
      {"at the limit", {4096, 100}, -1},
      {"one byte above", {4097, 100}, 0},
      {"one byte above, the last of an append", {100, 100, 4097}, 2},
      {"a total one byte below", {4096, 4096, 1795}, -1},
      {"a total at the limit", {4096, 4096, 1796}, -1},
      {"a total one byte above", {4096, 4096, 1797}, -1},
      {"a total of several appends", {4096, 4096, 4096, 4097, 4096, 4096}, 3},
  };
  for (const Row& row : rows) {
    // The second entry believes the limits to be larger than they are.
    for (const StoreLimits& known : {kLimits, StoreLimits{}}) {
      CAPTURE(std::string(row.name));
      CAPTURE(known.record_bytes);
      boost::asio::io_context io;
      FakeRecordStore store(io);
      store.model.set_limits(kLimits);
      RecordAppenderSettings settings;
      settings.partition = kBoardPartition;
      settings.limits = known;
      settings.min_refusal_pause = Milliseconds(5);
      RecordAppender appender(io, store, settings);
      std::vector<StoreOutcome> outcomes(row.sizes.size(),
                                         StoreOutcome::kOutOfSequence);
      size_t answered = 0;
      // The first append makes the others wait, so that they are joined.
      store.latency = Milliseconds(5);
      const Time deadline =
          std::chrono::steady_clock::now() + std::chrono::seconds(30);
      appender.Append({"first", "v", 0}, deadline, nullptr);
      for (size_t i = 0; i < row.sizes.size(); ++i) {
        appender.Append(RecordOf("k" + std::to_string(i), row.sizes[i]),
                        deadline,
                        [&, i](StoreOutcome outcome, const Error& error) {
                          outcomes[i] = outcome;
                          ++answered;
                          if (outcome != StoreOutcome::kRejected) return;
                          CHECK(!error.reason.empty());
                        });
      }
      CHECK(answered == 0);
      REQUIRE(RunUntil(io, [&] { return answered == row.sizes.size(); }));
      for (size_t i = 0; i < row.sizes.size(); ++i) {
        CAPTURE(i);
        const bool rejected = static_cast<int>(i) == row.rejected;
        CHECK(outcomes[i] ==
              (rejected ? StoreOutcome::kRejected : StoreOutcome::kStored));
      }
      CHECK(store.repeated_rejections == 0);
      const bool knows_limits = known.record_bytes == kLimits.record_bytes;
      if (knows_limits) CHECK(store.rejected_appends == 0);
    }
  }
}

const StepRef kStep{"0123456789abcdef", 0, 0};

StepSpec Step(int count, bool gang) {
  StepSpec spec;
  spec.count = count;
  spec.gang = gang;
  return spec;
}

// Of tasks that have the same checkpoint and have lost four workers each, with
// the longest names of workers.
ProgressBlock BlockOf(int tasks, size_t checkpoint_bytes) {
  const std::string worker(128, 'w');
  TaskStatus task{TaskPhase::kActive, 7, 2, worker,
                  std::string(checkpoint_bytes, 'c')};
  const WorkerLoss loss{worker, FromUnixMilliseconds(1700000000123), true, true,
                        true};
  task.crashes = {{loss, loss, loss, loss, loss}, 1};
  ProgressBlock block{2, 7, {}};
  block.tasks.assign(static_cast<size_t>(tasks), task);
  return block;
}

// Guards against progress that no record can hold: the leader cannot store it,
// and whatever it does then, a successor does not know what runs.
TEST_CASE("progress at the limits of a record") {
  struct Row {
    const char* name;
    int count;
    bool gang;
    size_t checkpoint_bytes;
    // Of the limit, relative to the size of the block in one record.
    std::ptrdiff_t slack;
    size_t records;
  };
  const size_t most = MaxCheckpointBytes(StoreLimits());
  const std::vector<Row> rows = {
      {"tasks, one byte below", 4, false, 2000, 1, 1},
      {"tasks, at the limit", 4, false, 2000, 0, 1},
      {"tasks, one byte above", 4, false, 2000, -1, 5},
      {"a gang, one byte below", 8, true, 2000, 1, 1},
      {"a gang, at the limit", 8, true, 2000, 0, 1},
      {"a gang, one byte above", 8, true, 2000, -1, 2},
      {"tasks, the longest checkpoints", 4, false, most, 0, 5},
      {"a gang, the longest checkpoints", 128, true, most, 0, 2},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    const StepSpec spec = Step(row.count, row.gang);
    const ProgressBlockRef ref{kStep, 0};
    const ProgressBlock block = BlockOf(row.count, row.checkpoint_bytes);
    StoreLimits limits;
    const KeyedRecord whole = JobBoard::Progress(ref, EncodeBlock(block));
    if (row.checkpoint_bytes < most) {
      limits.record_bytes = static_cast<size_t>(
          static_cast<std::ptrdiff_t>(RecordBytes(whole)) + row.slack);
    }
    const ProgressRecords stored = ToProgressRecords(ref, block, spec, limits);
    REQUIRE(stored.records.size() == row.records);
    CHECK(stored.checkpoints.size() == row.records - 1);
    for (const KeyedRecord& record : stored.records) {
      CHECK(RecordBytes(record) <= limits.record_bytes);
    }
    // Earlier releases read the block, which is the last record: as it was if
    // it fits, else without the checkpoints, so that they start the tasks from
    // the beginning, with the same number of the next run.
    if (row.records == 1) CHECK(stored.records[0].value == whole.value);
    const auto read = DecodeBlock(*stored.records.back().value, nullptr);
    REQUIRE(read.has_value());
    REQUIRE(read->tasks.size() == block.tasks.size());
    const std::string checkpoint =
        row.records == 1 ? block.tasks[0].checkpoint : "";
    for (const TaskStatus& task : read->tasks) {
      CHECK(task.run == 7);
      CHECK(task.worker == block.tasks[0].worker);
      CHECK(task.checkpoint == checkpoint);
      CHECK(task.crashes.losses == block.tasks[0].crashes.losses);
    }
    for (size_t i = 0; i + 1 < row.records; ++i) {
      CHECK(JobBoard::ParseCheckpointKey(stored.records[i].key) ==
            stored.checkpoints[i]);
      CHECK(stored.records[i].value == block.tasks[0].checkpoint);
    }
  }
}

// Guards against records with parts whose length others decide: names of
// workers and entries, and the reason of a failure.
TEST_CASE("the largest record of each other kind fits into the store") {
  const std::string worker(255, 'w');
  const std::string name(64, 'n');
  const std::string address(64, 'a');
  const std::string domain(255, 'd');
  const std::string job = "0123456789abcdef";
  const WallTime when = FromUnixMilliseconds(1764849600000);
  ReplicaRoster roster;
  roster.replicas.assign(64, {name, address, domain});
  HealthEntry unhealthy;
  unhealthy.worker = worker;
  unhealthy.incarnation_start = when;
  unhealthy.state.verdict = HealthVerdict::kExcluded;
  const std::vector<HealthEntry> health(1200, unhealthy);
  const std::vector<DepartingWorker> departures(kMaxDepartures, {worker, when});
  const RenewalStopRecord stops{
      1, std::vector<RenewalStop>(kMaxRenewalStops,
                                  {worker, Milliseconds(13200)})};
  struct Row {
    const char* name;
    KeyedRecord record;
  };
  const std::vector<Row> rows = {
      {"leader", JobBoard::Leader({name + "/" + name, 1 << 30, false})},
      {"state", JobBoard::State(job, JobState::kFailed, when)},
      {"reason of a failure", JobBoard::Failure(job, std::string(300000, 'r'))},
      {"cancellation", JobBoard::Cancellation(job)},
      {"entry", JobBoard::Entry(name, EntryRecord{address, when, 1, domain})},
      {"roster", JobBoard::Roster(roster)},
      {"health", JobBoard::Health(EncodeHealth(health, Time{}, when))},
      {"departures", JobBoard::Departures(EncodeDepartures(departures))},
      {"renewal stops", JobBoard::RenewalStops(EncodeRenewalStops(stops))},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    CHECK(RecordBytes(row.record) <= StoreLimits().record_bytes);
  }
}

// Guards against a part of a character at the end: the state of the job could
// not be shown as JSON.
TEST_CASE("the reason of a failure is cut between characters") {
  for (const size_t before :
       {kMaxFailureBytes - 1, kMaxFailureBytes, kMaxFailureBytes + 1}) {
    CAPTURE(before);
    const std::string plain(before, 'r');
    const KeyedRecord record = JobBoard::Failure("j", plain + "\u00e9");
    CHECK(*record.value == plain.substr(0, kMaxFailureBytes));
  }
  const std::string whole = std::string(kMaxFailureBytes - 2, 'r') + "\u00e9";
  CHECK(JobBoard::Failure("j", whole).value == whole);
}

TEST_CASE("the longest checkpoint fits beside the longest key") {
  const StoreLimits limits;
  const TaskRef task{{"0123456789abcdef", kMaxOccurrences, kMaxSteps},
                     kMaxTasksPerStep};
  const std::string longest(MaxCheckpointBytes(limits), 'c');
  CHECK(RecordBytes(JobBoard::Checkpoint(task, longest)) ==
        limits.record_bytes);
}

}  // namespace
}  // namespace thornplank::testing
