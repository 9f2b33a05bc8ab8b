// Tests that each record is appended once and in order, whichever requests or
// answers are lost.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "coordination/fenced_writer.h"
#include "store_fixture.h"

namespace thornplank::testing {
namespace {

const Partition kPartition{"keyed.test", 1};

FencedWriterSettings Settings(int64_t epoch) {
  FencedWriterSettings settings;
  settings.partition = kPartition;
  settings.producer = "leader";
  settings.epoch = epoch;
  settings.retry_delay = Milliseconds(5);
  return settings;
}

// Sets the epoch of the producer as a claim does, with sequence number 0. The
// writer continues with 1.
void Fence(FakeRecordStore* store, int64_t epoch) {
  AppendRequest request;
  request.partition = kPartition;
  request.producer = ProducerPosition{"leader", epoch, 0};
  store->model.Append(request);
}

TEST_CASE("every record is stored once and in order") {
  using Fault = AppendFault;
  struct Row {
    const char* name;
    std::vector<Fault> faults;
  };
  const std::vector<Row> rows = {
      {"no fault", {}},
      {"refused twice", {Fault::kRefused, Fault::kRefused}},
      {"an answer is lost", {Fault::kLostAnswer}},
      {"an append is lost", {Fault::kNotStored}},
      {"all faults",
       {Fault::kLostAnswer, Fault::kRefused, Fault::kNotStored,
        Fault::kLostAnswer, Fault::kNone, Fault::kLostAnswer}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    boost::asio::io_context io;
    FakeRecordStore store(io);
    Fence(&store, 1);
    store.faults = row.faults;
    FencedWriter writer(io, store, Settings(1), [] { FAIL("fenced"); });
    int stored = 0;
    for (int i = 0; i < 10; ++i) {
      writer.Write({{"k" + std::to_string(i), "v", 0}},
                   [&stored, i] { CHECK(stored++ == i); });
    }
    REQUIRE(RunUntil(io, [&] { return stored == 10; }));
    CHECK(writer.idle());
    const ReadResult result = store.model.Read(kPartition, 0);
    REQUIRE(result.records.size() == 10);
    for (int i = 0; i < 10; ++i) {
      CHECK(result.records[static_cast<size_t>(i)].key ==
            "k" + std::to_string(i));
    }
  }
}

// Guards against a leader that stands still for the whole time-out of an append
// whose answer is lost, and against more and more repetitions at a slow store.
TEST_CASE("an append without an answer is repeated once beside it") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Fence(&store, 1);
  FencedWriterSettings settings = Settings(1);
  settings.min_repeat_delay = Milliseconds(20);
  FencedWriter writer(io, store, settings, [] { FAIL("fenced"); });
  int stored = 0;
  store.latency = Milliseconds(2000);
  writer.Write({{"a", "v", 0}}, [&stored] { ++stored; });
  store.latency = Milliseconds(0);
  REQUIRE(RunUntil(io, [&] { return stored == 1; }));
  CHECK(store.appends == 1);
  writer.Write({{"b", "v", 0}}, [&stored] { ++stored; });
  REQUIRE(RunUntil(io, [&] { return stored == 2; }));
  // The late answer to the first append changes nothing.
  REQUIRE(RunUntil(io, [&] { return store.appends == 3; }));
  writer.Write({{"c", "v", 0}}, [&stored] { ++stored; });
  REQUIRE(RunUntil(io, [&] { return stored == 3; }));
  CHECK(store.model.Read(kPartition, 0).records.size() == 3);

  store.latency = Milliseconds(1500);
  writer.Write({{"d", "v", 0}}, [&stored] { ++stored; });
  REQUIRE(RunUntil(io, [&] { return stored == 4; }));
  CHECK(store.most_in_flight <= 3);
}

TEST_CASE("queued writes are combined into one append") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Fence(&store, 1);
  FencedWriter writer(io, store, Settings(1), [] {});
  int stored = 0;
  for (int i = 0; i < 50; ++i) {
    writer.Write({{"k", "v", 0}}, [&stored] { ++stored; });
  }
  REQUIRE(RunUntil(io, [&] { return stored == 50; }));
  CHECK(store.appends == 2);
}

TEST_CASE("nothing is stored after a higher epoch") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Fence(&store, 1);
  int fenced = 0;
  FencedWriter writer(io, store, Settings(1), [&fenced] { ++fenced; });
  Fence(&store, 2);
  writer.Write({{"k", "v", 0}}, [] { FAIL("stored"); });
  REQUIRE(RunUntil(io, [&] { return fenced == 1; }));
  writer.Write({{"k", "v", 0}}, [] { FAIL("stored"); });
  io.restart();
  io.poll();
  CHECK(store.model.end(kPartition) == 0);
}

}  // namespace
}  // namespace thornplank::testing
