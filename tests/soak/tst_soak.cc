// A short soak test for CI: faults of entries, the store and executors, and a
// burst of urgent jobs.
#include <doctest/doctest.h>

#include "soak_rows.h"

namespace thornplank {
namespace {

TEST_CASE("the invariants hold under randomized faults") {
  CheckSoakRows({
      {20261202, 8, "never failed"},
      // Guards against accounts that stop each other's urgent gangs in a ring,
      // which goes on after the burst: steps were compared with what the
      // account's runs used, not with what its other steps had reserved.
      {20261206, 15, "urgent gangs were stopped for each other without end",
       false, false, true},
      {20261205, 10, "never failed", false, false, false, true},
      // Guards against a job that runs after its cancellation was answered with
      // 410: its submission was stored only then.
      {20261207, 12, "jobs that were given up ran", false, false, false, false,
       true},
      {114, 12, "the stand-in kept a report across incarnations"},
      {127, 12, "work was sent to an incarnation known to have ended"},
      {128, 12, "the stand-in kept a report across incarnations"},
      {131, 12, "the stand-in kept a report across incarnations"},
      {150, 12, "the stand-in kept a report across incarnations"},
      {332, 12, "an entry without the store reported an outdated state"},
      {354, 12, "an entry without the store reported an outdated state"},
      {502, 15, "the checker counted run ends after their lease had lapsed"},
      {901, 12, "after an outage tasks were placed by an outdated directory"},
  });
}

}  // namespace
}  // namespace thornplank
