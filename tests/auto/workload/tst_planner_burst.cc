// A burst of urgent jobs ends with the burst.
//
// Guards against accounts that take accelerators from each other in a ring.
// Each step of an account was compared with what the account's runs used, not
// with what was reserved or started for its other steps, so that together they
// took several times the guarantee. The account was beyond its guarantee then,
// and its gangs were stopped as a whole for others that did the same. On 350
// workers a burst of 8 s led to 600 stops a second for the rest of the day.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "burst_cluster.h"

namespace thornplank::testing {
namespace {

// Demand during the burst, as a share of all accelerators.
constexpr double kBursts[] = {0.8, 1.2, 2, 4, 8};
constexpr uint32_t kSeeds[] = {1, 2, 3};
// The least share of the work that is done without stops between accounts.
constexpr double kLeastWork = 0.9;
constexpr int kMaxStopsOfTask = 2;

// With less unfinished work than this the workers are not full all the time:
// tasks take up to 4 s.
constexpr int64_t kBacklogWork = 2 * BurstCluster::kWorkOfSecond;

// Seconds after the burst in which the backlog did not shrink.
std::vector<size_t> SecondsWithoutProgress(const BurstResult& result,
                                           const BurstLoad& load) {
  std::vector<size_t> seconds;
  const auto burst = static_cast<size_t>(load.burst_length.count() / 1000);
  for (size_t i = burst; i < result.backlog.size(); ++i) {
    const int64_t before = result.backlog[i - 1];
    if (before < kBacklogWork) continue;
    if (result.backlog[i] >= before) seconds.push_back(i);
  }
  return seconds;
}

std::string ToText(const BurstResult& result) {
  return std::to_string(result.done) + " tasks done, " +
         std::to_string(result.total_equal_stops) + " stopped, " +
         std::to_string(result.most_stops_of_a_task) + " times at most; " +
         std::to_string(result.missed.size()) + " of " +
         std::to_string(result.owed) + " jobs missed";
}

TEST_CASE("a burst of urgent jobs ends with the burst") {
  for (const double burst : kBursts) {
    for (const uint32_t seed : kSeeds) {
      CAPTURE(burst);
      CAPTURE(seed);
      BurstLoad load;
      load.burst = burst;
      load.seed = seed;
      const BurstResult result = BurstCluster(load, true).Play();
      // Without guarantees nothing is taken from other accounts.
      const BurstResult without_stops = BurstCluster(load, false).Play();
      CAPTURE(ToText(result));
      REQUIRE(without_stops.total_equal_stops == 0);
      CHECK(SecondsWithoutProgress(result, load).empty());
      CHECK(result.most_stops_of_a_task <= kMaxStopsOfTask);
      CHECK(static_cast<double>(result.work_in_burst) >=
            kLeastWork * static_cast<double>(without_stops.work_in_burst));
      CHECK(result.owed > 0);
      CHECK(result.missed.empty());
    }
  }
}

}  // namespace
}  // namespace thornplank::testing
