// When the record of announced departures is replaced.
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/departure_schedule.h"

namespace thornplank::testing {
namespace {

using Workers = std::vector<std::string>;

std::vector<DepartingWorker> Departures(const Workers& workers) {
  std::vector<DepartingWorker> departures;
  departures.reserve(workers.size());
  for (const std::string& worker : workers) departures.push_back({worker});
  return departures;
}

struct Step {
  int64_t at = 0;
  Workers wanted;
  bool due = false;
  // Whether a record that is due is stored before the next step.
  bool stored = true;
};

struct Row {
  const char* name;
  // What the board says when leadership begins.
  Workers inherited;
  std::vector<Step> steps;
};

// Guards against a write with each progress write, against an announcement that
// is never written, and against one that a new leader takes off the board while
// the worker's runs are not settled.
TEST_CASE("departures are written when they have changed") {
  const std::vector<Row> rows = {
      {"none", {}, {{0, {}, false}}},
      {"once", {}, {{0, {"a"}, true}, {5000, {"a"}, false}}},
      {"a few times a second",
       {},
       {{0, {"a"}, true}, {200, {"a", "b"}, false}, {250, {"a", "b"}, true}}},
      {"not while a write is pending",
       {},
       {{0, {"a"}, true, false}, {5000, {"a", "b"}, false}}},
      {"its runs have ended", {}, {{0, {"a"}, true}, {300, {}, true}}},
      {"inherited and still there", {"a"}, {{0, {"a"}, false}}},
      {"inherited and settled", {"a"}, {{0, {}, true}}},
      {"inherited, and another one", {"a"}, {{0, {"a", "b"}, true}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    DepartureSchedule schedule;
    schedule.Begin(Departures(row.inherited));
    for (const Step& step : row.steps) {
      CAPTURE(step.at);
      const auto due = schedule.TakeDue(Departures(step.wanted), At(step.at));
      REQUIRE(due.has_value() == step.due);
      if (due) CHECK(*due == Departures(step.wanted));
      if (due && step.stored) schedule.OnStored();
    }
  }
}

// Guards against a bounded record that never equals what is wanted, so that it
// is written for ever.
TEST_CASE("the record of departures is bounded, and settles") {
  Workers workers;
  for (size_t i = 0; i <= kMaxDepartures; ++i) {
    workers.push_back("w" + std::to_string(1000 + i));
  }
  DepartureSchedule schedule;
  const auto due = schedule.TakeDue(Departures(workers), At(0));
  REQUIRE(due.has_value());
  CHECK(due->size() == kMaxDepartures);
  schedule.OnStored();
  CHECK_FALSE(schedule.TakeDue(Departures(workers), At(5000)).has_value());
}

// Guards against a write of a past term of leadership that holds up those of
// the next one.
TEST_CASE("a write that was pending when leadership ended is forgotten") {
  DepartureSchedule schedule;
  REQUIRE(schedule.TakeDue(Departures({"a"}), At(0)).has_value());
  schedule.Begin({});
  CHECK(schedule.TakeDue(Departures({"b"}), At(10)).has_value());
}

}  // namespace
}  // namespace thornplank::testing
