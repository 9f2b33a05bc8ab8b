// The average latency that timeouts follow.
#include <doctest/doctest.h>

#include <vector>

#include "base/latency_average.h"

namespace thornplank {
namespace {

TEST_CASE("a new latency counts for its part of the average") {
  struct Row {
    const char* name;
    int parts;
    std::vector<int> latencies_ms;
    int factor;
    int expected_ms;
  };
  const Row rows[] = {
      {"none yet", 4, {}, 3, 0},
      {"one of four parts", 4, {80}, 1, 20},
      {"one of eight parts", 8, {80}, 1, 10},
      {"the whole", 1, {80, 40}, 1, 40},
      {"each counts less with time", 4, {80, 0}, 1, 15},
      {"a multiple of it", 4, {80}, 6, 120},
      {"fractions of a millisecond add up", 4, {1}, 4, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LatencyAverage average(row.parts);
    for (const int latency : row.latencies_ms) {
      average.Add(Milliseconds(latency));
    }
    CHECK(average.Times(row.factor) == Milliseconds(row.expected_ms));
  }
}

}  // namespace
}  // namespace thornplank
