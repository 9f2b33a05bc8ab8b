// Tests that an unreadable directory record is logged once for each fault.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "coordination/refused_entries.h"

namespace thornplank {
namespace {

Error Fault(const std::string& reason) { return {"read worker", "w", reason}; }

TEST_CASE("a fault is logged when it is first seen and when it changes") {
  struct Row {
    const char* name;
    std::vector<std::string> reasons;
    int logged;
  };
  const std::vector<Row> rows = {
      {"once", {"no zone"}, 1},
      {"the same at each heartbeat", {"no zone", "no zone", "no zone"}, 1},
      {"another fault", {"no zone", "no zone", "no state"}, 2},
      {"alternating faults", {"no zone", "no state", "no zone"}, 3},
      {"without a reason", {"", "", ""}, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RefusedEntries refused;
    int logged = 0;
    for (const std::string& reason : row.reasons) {
      logged += refused.LogIfNew("w", Fault(reason)) ? 1 : 0;
    }
    CHECK(logged == row.logged);
    CHECK(refused.size() == 1);
  }
}

TEST_CASE("a fault is logged again after the record was valid or removed") {
  RefusedEntries refused;
  REQUIRE(refused.LogIfNew("w", Fault("no zone")));
  refused.Forget("w");
  CHECK(refused.size() == 0);
  CHECK(refused.LogIfNew("w", Fault("no zone")));
  refused.RetainOnly({"other"});
  CHECK(refused.size() == 0);
  CHECK(refused.LogIfNew("w", Fault("no zone")));
  refused.RetainOnly({"w", "other"});
  CHECK_FALSE(refused.LogIfNew("w", Fault("no zone")));
}

}  // namespace
}  // namespace thornplank
