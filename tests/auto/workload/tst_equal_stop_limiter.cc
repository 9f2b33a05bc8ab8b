// Stops between accounts of one priority are limited by completions.
#include "workload/equal_stop_limiter.h"

#include <doctest/doctest.h>

#include <vector>

#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr Milliseconds kHalfLife{8000};

// Guards against stops that go on although nothing gets done, whatever makes
// accounts take from each other.
TEST_CASE("stops are held back while they exceed completions") {
  struct Row {
    const char* name;
    int64_t stops;
    int64_t completions;
    // From the stops and completions to the question.
    int64_t after_ms;
    bool may_stop;
  };
  const std::vector<Row> rows = {
      {"nothing yet", 0, 0, 0, true},
      {"one stop", 1, 0, 0, false},
      {"one stop, a moment later", 1, 0, 1, true},
      {"a gang", 18, 0, 0, false},
      {"a gang, after a half-life", 18, 0, 8000, false},
      {"a gang, after five half-lives", 18, 0, 40000, true},
      {"as many completions", 18, 18, 0, true},
      {"one completion less", 18, 17, 0, false},
      {"more completions", 18, 40, 0, true},
      {"many stops, few completions", 600, 30, 8000, false},
      {"only completions", 0, 100, 0, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EqualStopLimiter limiter(kHalfLife);
    limiter.OnStops(row.stops, At(0));
    limiter.OnCompletions(row.completions, At(0));
    CHECK(limiter.MayStop(At(row.after_ms)) == row.may_stop);
  }
}

TEST_CASE("the limit is reported while it holds stops back") {
  EqualStopLimiter limiter(kHalfLife);
  limiter.OnStops(10, At(0));
  CHECK_FALSE(limiter.EndRound(At(0)));
  CHECK_FALSE(limiter.limited());
  limiter.OnWithheld();
  const auto begin = limiter.EndRound(At(100));
  REQUIRE(begin);
  CHECK(begin->limited);
  CHECK(begin->stops > 9);
  CHECK(limiter.limited());
  limiter.OnWithheld();
  CHECK_FALSE(limiter.EndRound(At(200)));
  limiter.OnCompletions(10, At(300));
  const auto end = limiter.EndRound(At(300));
  REQUIRE(end);
  CHECK_FALSE(end->limited);
  CHECK_FALSE(limiter.limited());
}

}  // namespace
}  // namespace thornplank::testing
