// Records of every kind at the limits of the store: what fits is stored, what
// does not is refused, shortened or left out, and nothing is repeated unchanged
// after the store has rejected it for its size.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "coordination/fenced_writer.h"
#include "coordination/job_board.h"
#include "coordination/record_appender.h"
#include "store_fixture.h"

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
        CAPTURE(row.name);
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
  FencedWriterSettings settings;
  test.store.latency = Milliseconds(400);
  bool done = false;
  test.writer->Write({RecordOf("large", 5000)}, nullptr);
  test.writer->Write({RecordOf("next", 100)}, [&done] { done = true; });
  REQUIRE(RunUntil(test.io, [&] { return done; }));
  CHECK(test.rejected == std::vector<std::string>{"large"});
  CHECK(test.StoredKeys() == std::vector<std::string>{"next"});
}

}  // namespace
}  // namespace thornplank::testing
