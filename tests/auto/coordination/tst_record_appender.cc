// Tests of the appends that many callers share.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "coordination/record_appender.h"
#include "store_fixture.h"

namespace thornplank::testing {
namespace {

const Partition kStream{"keyed.thornplank", 0};

struct Caller {
  StoreOutcome outcome = StoreOutcome::kOutOfSequence;
  bool answered = false;
};

class Appender {
 public:
  Appender() : store(io), appender(io, store, Settings()) {}

  void Append(Caller* caller, const std::string& key, Milliseconds limit) {
    const Time deadline = std::chrono::steady_clock::now() + limit;
    appender.Append({key, "value", 0}, deadline,
                    [caller](StoreOutcome outcome, const Error&) {
                      CHECK(!caller->answered);
                      caller->outcome = outcome;
                      caller->answered = true;
                    });
  }

  static RecordAppenderSettings Settings() {
    RecordAppenderSettings settings;
    settings.partition = kStream;
    settings.min_refusal_pause = Milliseconds(5);
    return settings;
  }

  boost::asio::io_context io;
  FakeRecordStore store;
  RecordAppender appender;
};

// Guards against one append for each caller: a store that takes 100 ms for an
// append would answer only ten callers a second.
TEST_CASE("callers that wait for a slow store share one append") {
  for (const int callers : {1, 2, 45, 588, 1200}) {
    CAPTURE(callers);
    Appender test;
    test.store.latency = Milliseconds(40);
    std::vector<Caller> rows(static_cast<size_t>(callers));
    int number = 0;
    for (Caller& row : rows) {
      test.Append(&row, "j" + std::to_string(number++), Milliseconds(5000));
    }
    REQUIRE(RunUntil(test.io, [&rows] {
      for (const Caller& row : rows) {
        if (!row.answered) return false;
      }
      return true;
    }));
    CHECK(test.store.appends <= 2);
    for (const Caller& row : rows) {
      CHECK(row.outcome == StoreOutcome::kStored);
    }
  }
}

TEST_CASE("a record is reported as not stored only if this is certain") {
  using Fault = AppendFault;
  struct Row {
    const char* name;
    std::vector<Fault> faults;
    StoreOutcome outcome;
    int appends;
  };
  const std::vector<Row> rows = {
      {"stored at once", {}, StoreOutcome::kStored, 1},
      {"refused once", {Fault::kRefused}, StoreOutcome::kStored, 2},
      {"always refused",
       {Fault::kRefused, Fault::kRefused, Fault::kRefused, Fault::kRefused},
       StoreOutcome::kRefused,
       4},
      {"one answer is lost", {Fault::kLostAnswer}, StoreOutcome::kStored, 2},
      {"an answer is lost, and later appends are refused",
       {Fault::kLostAnswer, Fault::kRefused, Fault::kRefused, Fault::kRefused,
        Fault::kRefused},
       StoreOutcome::kUnknown,
       5},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Appender test;
    test.store.faults = row.faults;
    Caller caller;
    test.Append(&caller, "j1", Milliseconds(5000));
    REQUIRE(RunUntil(test.io, [&caller] { return caller.answered; }));
    CHECK(caller.outcome == row.outcome);
    CHECK(test.store.appends == row.appends);
  }
}

TEST_CASE("a caller is answered at its deadline") {
  struct Row {
    const char* name;
    bool sent;
    StoreOutcome outcome;
  };
  const std::vector<Row> rows = {
      {"its append is under way", true, StoreOutcome::kUnknown},
      {"it waits behind another append", false, StoreOutcome::kRefused},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Appender test;
    test.store.latency = Milliseconds(300);
    Caller first;
    if (!row.sent) test.Append(&first, "j1", Milliseconds(5000));
    Caller caller;
    test.Append(&caller, "j2", Milliseconds(40));
    REQUIRE(RunUntil(test.io, [&caller] { return caller.answered; }));
    CHECK(caller.outcome == row.outcome);
  }
}

// Guards against one lost answer that delays all callers by its time-out.
TEST_CASE("an append without an answer is repeated, with those that wait") {
  Appender test;
  Caller first;
  test.store.latency = Milliseconds(2400);
  test.Append(&first, "j1", Milliseconds(5000));
  test.store.latency = Milliseconds(0);
  Caller second;
  test.Append(&second, "j2", Milliseconds(5000));
  REQUIRE(RunUntil(test.io, [&] { return first.answered && second.answered; }));
  CHECK(first.outcome == StoreOutcome::kStored);
  CHECK(second.outcome == StoreOutcome::kStored);
  CHECK(test.store.appends == 1);
}

// Guards against appends that are repeated while a slow store still has them
// queued: they would keep it overloaded after it has recovered.
TEST_CASE("a store that does not answer gets two appends at a time") {
  for (const int callers : {45, 588, 1200}) {
    CAPTURE(callers);
    Appender test;
    test.store.latency = Milliseconds(2000);
    std::vector<Caller> rows(static_cast<size_t>(callers));
    int number = 0;
    for (Caller& row : rows) {
      test.Append(&row, "j" + std::to_string(number++), Milliseconds(3000));
      // They come within a tenth of a second.
      if (number % (callers / 5) != 0) continue;
      RunUntil(
          test.io, [] { return false; }, std::chrono::milliseconds(20));
    }
    REQUIRE(RunUntil(test.io, [&rows] {
      for (const Caller& row : rows) {
        if (!row.answered) return false;
      }
      return true;
    }));
    CHECK(test.store.most_in_flight <= 2);
  }
}

}  // namespace
}  // namespace thornplank::testing
