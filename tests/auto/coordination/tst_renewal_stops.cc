// When the record of workers without renewals is replaced, and what holds
// meanwhile.
#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/renewal_stops.h"

namespace thornplank::testing {
namespace {

using Workers = std::set<std::string>;

std::vector<RenewalStop> StopsOf(const Workers& workers) {
  std::vector<RenewalStop> stops;
  stops.reserve(workers.size());
  for (const std::string& worker : workers) {
    stops.push_back({worker, Milliseconds(5000)});
  }
  return stops;
}

struct Step {
  Workers wanted;
  // What is to be written; nullopt if nothing is.
  std::optional<Workers> due;
  // Whether it is stored before the next step.
  bool stored = false;
  // The workers on which no leases may be renewed after this step.
  Workers stopped;
};

struct Row {
  const char* name;
  std::vector<Step> steps;
};

// Guards against a lease that is renewed while the store holds, or may yet
// hold, a record by which it is not.
TEST_CASE("a stop lasts from the sending of its record to its replacement") {
  const std::vector<Row> rows = {
      {"nothing to write", {{{}, std::nullopt, false, {}}}},
      {"a worker stops",
       {{{"a"}, Workers{"a"}, true, {"a"}},
        {{"a"}, std::nullopt, false, {"a"}}}},
      {"the record is on its way",
       {{{"a"}, Workers{"a"}, false, {"a"}},
        {{}, std::nullopt, false, {"a"}},
        {{"a", "b"}, std::nullopt, false, {"a"}}}},
      {"a worker answers again",
       {{{"a", "b"}, Workers{"a", "b"}, true, {"a", "b"}},
        {{"b"}, Workers{"b"}, false, {"a", "b"}},
        {{"b"}, std::nullopt, true, {"b"}}}},
      {"all answer again",
       {{{"a"}, Workers{"a"}, true, {"a"}},
        {{}, Workers{}, false, {"a"}},
        {{}, std::nullopt, true, {}}}},
      {"it falls silent again before the replacement is stored",
       {{{"a"}, Workers{"a"}, true, {"a"}},
        {{}, Workers{}, false, {"a"}},
        {{"a"}, std::nullopt, true, {}},
        {{"a"}, Workers{"a"}, true, {"a"}}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RenewalStops stops;
    for (const Step& step : row.steps) {
      const auto due = stops.TakeDue(StopsOf(step.wanted));
      REQUIRE(due.has_value() == step.due.has_value());
      if (due) {
        Workers named;
        for (const RenewalStop& stop : *due) named.insert(stop.worker);
        CHECK(named == *step.due);
      }
      if (step.stored) stops.OnStored();
      CHECK(stops.workers() == step.stopped);
    }
  }
}

TEST_CASE("a record has a bounded number of workers, and promises no more") {
  std::vector<RenewalStop> wanted;
  for (size_t i = 0; i < kMaxRenewalStops + 1; ++i) {
    wanted.push_back({"w" + std::to_string(i), Milliseconds(1)});
  }
  RenewalStops stops;
  const auto due = stops.TakeDue(wanted);
  REQUIRE(due.has_value());
  CHECK(due->size() == kMaxRenewalStops);
  CHECK(stops.Contains("w0"));
  CHECK_FALSE(stops.Contains("w" + std::to_string(kMaxRenewalStops)));
}

}  // namespace
}  // namespace thornplank::testing
