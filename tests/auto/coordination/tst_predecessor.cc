// Until when a predecessor may renew leases.
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/predecessor.h"

namespace thornplank::testing {
namespace {

constexpr Milliseconds kTimeout{4000};
constexpr char kOwn[] = "edge-1/20";

// A leader record, read at `at_ms`; without a holder, a new read of the board.
struct Event {
  int at_ms = 0;
  std::string holder;
  int64_t epoch = 0;
};

struct Row {
  const char* name;
  std::vector<Event> events;
  int64_t own_epoch = 0;
  int now_ms = 0;
  int last_renewal_ms = 0;
};

// Guards against a wait that is counted from the takeover although the
// predecessor was heard last long before it, and against one that is too short
// where records of the predecessor were not read.
TEST_CASE("a predecessor renews for a while after it was heard last") {
  const std::vector<Row> rows = {
      {"heard just before", {{1000, "edge-2/7", 3}}, 4, 1800, 5000},
      {"heard twice",
       {{1000, "edge-2/7", 3}, {1200, "edge-2/7", 3}},
       4,
       1800,
       5200},
      {"the own claim is read",
       {{1000, "edge-2/7", 3}, {1700, kOwn, 4}},
       4,
       1800,
       5000},
      {"heard long ago", {{1000, "edge-2/7", 3}}, 4, 9000, 9000},
      {"an earlier incarnation of this instance, after another leader",
       {{1000, "edge-2/7", 3}, {1700, "edge-1/19", 4}},
       5,
       2500,
       5700},
      {"only its record is left",
       {{1000, "edge-2/7", 3}, {1700, "edge-1/19", 4}, {1900, "", 0}},
       5,
       2500,
       5900},
      {"a leader in between was not read",
       {{1000, "edge-2/7", 3}},
       5,
       1800,
       5800},
      {"this incarnation led in between",
       {{1000, "edge-2/7", 3}, {1100, kOwn, 4}},
       5,
       1800,
       5800},
      {"records may have been passed over",
       {{1000, "edge-2/7", 3}, {1600, "", 0}},
       4,
       1800,
       5600},
      {"a record that was overtaken",
       {{1000, "edge-2/7", 3}, {1500, "edge-3/2", 2}},
       4,
       1800,
       5000},
      {"nothing is known", {}, 4, 1800, 5800},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Predecessor predecessor(kOwn, kTimeout);
    for (const Event& event : row.events) {
      if (event.holder.empty()) {
        predecessor.OnSnapshot(At(event.at_ms));
        continue;
      }
      predecessor.OnLeaderRecord({event.holder, event.epoch, false},
                                 At(event.at_ms));
    }
    CHECK(predecessor.LastRenewal(row.own_epoch, At(row.now_ms)) ==
          At(row.last_renewal_ms));
  }
}

}  // namespace
}  // namespace thornplank::testing
