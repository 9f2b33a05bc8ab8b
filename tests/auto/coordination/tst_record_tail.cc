// Tests of following a partition: no record is missed, and no old value
// replaces a new one.
#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/record_tail.h"
#include "store_fixture.h"

namespace thornplank::testing {
namespace {

const Partition kPartition{"keyed.test", 0};

class Follower {
 public:
  Follower(boost::asio::io_context& io, FakeRecordStore& store,
           Milliseconds wait = Milliseconds(50),
           Milliseconds retry = Milliseconds(5))
      : tail_(io, store, Settings(wait, retry), Handlers()) {
    tail_.Start();
  }

  RecordTail& tail() { return tail_; }

  std::map<std::string, std::string> values;
  int snapshots = 0;
  int failures = 0;

 private:
  static RecordTailSettings Settings(Milliseconds wait, Milliseconds retry) {
    RecordTailSettings settings;
    settings.partition = kPartition;
    settings.long_poll_wait = wait;
    settings.initial_retry_delay = retry;
    return settings;
  }

  RecordTail::Handlers Handlers() {
    RecordTail::Handlers handlers;
    handlers.on_record = [this](const KeyedRecord& record) {
      if (record.value) {
        values[record.key] = *record.value;
      } else {
        values.erase(record.key);
      }
    };
    handlers.on_snapshot = [this](const std::set<std::string>& keys) {
      ++snapshots;
      for (auto it = values.begin(); it != values.end();) {
        const auto entry = it++;
        if (keys.count(entry->first) == 0) values.erase(entry);
      }
    };
    handlers.on_caught_up = [] {};
    handlers.on_failure = [this](const Error&) { ++failures; };
    return handlers;
  }

  RecordTail tail_;
};

void Put(FakeRecordStore* store, const std::string& key,
         std::optional<std::string> value) {
  AppendRequest request;
  request.partition = kPartition;
  request.records = {{key, std::move(value), 0}};
  store->model.Append(request);
}

// Returns the number of failed reads within 300 ms while reads fail at once.
int CountFailedReads(Milliseconds max_retry_delay) {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Follower follower(io, store);
  REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
  follower.tail().set_max_retry_delay(max_retry_delay);
  store.reachable = false;
  store.fails_at_once = true;
  const auto end = std::chrono::steady_clock::now() + Milliseconds(300);
  RunUntil(io, [&] { return std::chrono::steady_clock::now() >= end; });
  return follower.failures;
}

// Guards against a store that cannot recover because many entries retry as
// often as a few may.
TEST_CASE("the delay between failed reads grows up to a limit") {
  // Delays of 5, 10, 20, 40, 80, 160 ms and so on, up to a quarter more or
  // less.
  CHECK(CountFailedReads(Milliseconds(1200)) <= 8);
}

TEST_CASE("a follower gets the newest values, stored before and after it") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  store.page_size = 3;
  for (int i = 0; i < 10; ++i) {
    Put(&store, "k" + std::to_string(i), "old");
  }
  Put(&store, "k4", "new");
  Follower follower(io, store);
  REQUIRE(RunUntil(io, [&] { return follower.values.size() == 10; }));
  CHECK(follower.values["k4"] == "new");
  Put(&store, "k4", "newer");
  Put(&store, "k5", std::nullopt);
  CHECK(RunUntil(io, [&] {
    return follower.values["k4"] == "newer" && follower.values.count("k5") == 0;
  }));
}

TEST_CASE("a follower reads a new snapshot when the history is dropped") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Put(&store, "a", "1");
  Put(&store, "b", "1");
  Follower follower(io, store);
  REQUIRE(RunUntil(io, [&] { return follower.values.size() == 2; }));
  store.reachable = false;
  Put(&store, "a", std::nullopt);
  Put(&store, "c", "1");
  store.model.DropHistory();
  REQUIRE(RunUntil(io, [&] { return follower.failures > 0; }));
  store.reachable = true;
  CHECK(RunUntil(io, [&] {
    return follower.snapshots == 2 && follower.values.count("c") == 1;
  }));
  CHECK(follower.values.count("a") == 0);
}

TEST_CASE("as_of is the time of the last read that reached the end") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Put(&store, "a", "1");
  Follower follower(io, store);
  REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
  store.reachable = false;
  REQUIRE(RunUntil(io, [&] { return follower.failures > 1; }));
  const BootTime as_of = follower.tail().as_of();
  REQUIRE(RunUntil(io, [&] { return follower.failures > 3; }));
  CHECK(follower.tail().as_of() == as_of);
  store.reachable = true;
  CHECK(RunUntil(io, [&] { return follower.tail().as_of() > as_of; }));
}

// Longer than any limit of these tests: what waits for it does not happen.
constexpr std::chrono::hours kLongWait{1};

// Guards against a read after a failure that waits for a record: on an idle
// stream it would show only after the whole wait that the store is back.
TEST_CASE("an idle stream is read again as soon as the store is back") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  store.fails_at_once = true;
  Follower follower(io, store, kLongWait);
  REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
  store.reachable = false;
  REQUIRE(RunUntil(io, [&] { return follower.failures > 1; }));
  const BootTime as_of = follower.tail().as_of();
  store.reachable = true;
  CHECK(RunUntil(io, [&] { return follower.tail().as_of() > as_of; }));
}

TEST_CASE("a stream that was lost is read at once when another one is back") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  store.fails_at_once = true;
  Follower follower(io, store, Milliseconds(50), /*retry=*/kLongWait);
  REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
  const int before = store.reads;
  follower.tail().RetryIfLost(Milliseconds(500));
  CHECK(store.reads == before);
  store.reachable = false;
  REQUIRE(RunUntil(io, [&] { return follower.failures > 0; }));
  const BootTime as_of = follower.tail().as_of();
  store.reachable = true;
  follower.tail().RetryIfLost(Milliseconds(500));
  CHECK(RunUntil(io, [&] { return follower.tail().as_of() > as_of; }));
  // It is followed again, though its own retry is not due yet: what is stored
  // now would otherwise be seen only then.
  Put(&store, "a", "1");
  CHECK(RunUntil(
      io, [&] { return follower.values.count("a") == 1; }, Milliseconds(2000)));
}

TEST_CASE("a read outside of the interval gets what was just stored") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Follower follower(io, store);
  REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
  follower.tail().set_min_read_interval(std::chrono::seconds(60));
  Put(&store, "a", "1");
  bool caught_up = false;
  follower.tail().CatchUp(Milliseconds(500),
                          [&](bool done) { caught_up = done; });
  CHECK(RunUntil(io, [&] { return caught_up; }));
  CHECK(follower.values.count("a") == 1);
}

// Guards against a latency that is never seen on a busy stream, where each long
// poll returns a record: time-outs and claims that follow it would stay short
// while the store is slow.
TEST_CASE("the latency of the store is known on a busy stream") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Follower follower(io, store);
  REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
  store.read_latency = Milliseconds(400);
  for (int i = 0; i < 5; ++i) {
    Put(&store, "k", std::to_string(i));
    bool caught_up = false;
    follower.tail().CatchUp(Milliseconds(5000),
                            [&caught_up](bool) { caught_up = true; });
    REQUIRE(RunUntil(io, [&caught_up] { return caught_up; }));
  }
  CHECK(follower.tail().latency() >= Milliseconds(400));
  store.read_latency = Milliseconds(0);
  bool caught_up = false;
  follower.tail().CatchUp(Milliseconds(5000),
                          [&caught_up](bool) { caught_up = true; });
  REQUIRE(RunUntil(io, [&caught_up] { return caught_up; }));
  CHECK(follower.tail().latency() < Milliseconds(400));
}

// Guards against a leader that hears of no submission while the store leaves
// long polls without an answer and answers everything else.
TEST_CASE("records that are known to be stored are read if no poll has them") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Follower follower(io, store);
  REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
  store.long_polls_hang = true;
  Put(&store, "a", "1");
  RunUntil(
      io, [] { return false; }, std::chrono::milliseconds(200));
  CHECK(follower.values.count("a") == 0);
  follower.tail().Expect(store.model.end(kPartition));
  CHECK(RunUntil(io, [&] { return follower.values.count("a") == 1; }));
  // What was read costs no further reads.
  const int reads_before = store.immediate_reads;
  follower.tail().Expect(store.model.end(kPartition));
  RunUntil(
      io, [] { return false; }, std::chrono::milliseconds(200));
  CHECK(store.immediate_reads == reads_before);
}

// Guards against a wait that ends before the records are read, or never.
TEST_CASE("records that are known to be stored are awaited") {
  struct Row {
    const char* name;
    bool long_polls_hang;
    bool reachable;
    Milliseconds timeout;
    bool reached;
  };
  const std::vector<Row> rows = {
      {"delivered by the long poll", false, true, Milliseconds(5000), true},
      {"read since the long poll hangs", true, true, Milliseconds(5000), true},
      {"the store is away", false, false, Milliseconds(40), false},
      {"no time is left", true, true, Milliseconds(-5), false},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    boost::asio::io_context io;
    FakeRecordStore store(io);
    Follower follower(io, store, Milliseconds(5000));
    REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
    // Nothing is announced yet.
    std::optional<bool> nothing;
    follower.tail().AwaitExpected(Milliseconds(0),
                                  [&](bool reached) { nothing = reached; });
    CHECK(nothing == true);
    store.long_polls_hang = row.long_polls_hang;
    store.reachable = row.reachable;
    std::optional<bool> result;
    bool was_read = false;
    // The long poll that is under way does not see it at once.
    Put(&store, "key", "value");
    follower.tail().Expect(store.model.end(kPartition));
    follower.tail().AwaitExpected(row.timeout, [&](bool reached) {
      result = reached;
      was_read = follower.values.count("key") > 0;
    });
    CHECK_FALSE(result.has_value());
    REQUIRE(RunUntil(io, [&] { return result.has_value(); }));
    CHECK(result == row.reached);
    CHECK(was_read == row.reached);
  }
}

TEST_CASE("a wait for announced records ends when the tail is stopped") {
  boost::asio::io_context io;
  FakeRecordStore store(io);
  Follower follower(io, store);
  REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
  follower.tail().Expect(store.model.end(kPartition) + 1);
  std::optional<bool> result;
  follower.tail().AwaitExpected(Milliseconds(60000),
                                [&](bool reached) { result = reached; });
  follower.tail().Stop();
  CHECK(result == false);
}

// Guards against one read for each caller: a store that is slow would get more
// reads the longer it takes.
TEST_CASE("callers that need the newest records share one read") {
  for (const int callers : {1, 45, 588, 1200}) {
    CAPTURE(callers);
    boost::asio::io_context io;
    FakeRecordStore store(io);
    Follower follower(io, store);
    REQUIRE(RunUntil(io, [&] { return follower.tail().has_snapshot(); }));
    const int reads_before = store.immediate_reads;
    int caught_up = 0;
    for (int i = 0; i < callers; ++i) {
      Put(&store, "k", std::to_string(i));
      follower.tail().CatchUp(Milliseconds(5000), [&](bool reached_end) {
        CHECK(reached_end);
        ++caught_up;
      });
    }
    REQUIRE(RunUntil(io, [&] { return caught_up == callers; }));
    CHECK(follower.values.at("k") == std::to_string(callers - 1));
    // One that was under way, one for the others, and the ends of long polls.
    CHECK(store.immediate_reads - reads_before <= 5);
  }
}

}  // namespace
}  // namespace thornplank::testing
