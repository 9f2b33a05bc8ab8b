// An entry that names no worker is told once for each fault.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "coordination/refused_entries.h"

namespace thornplank {
namespace {

Error Fault(const std::string& reason) { return {"read worker", "w", reason}; }

TEST_CASE("a fault is told when it shows first and when it changes") {
  struct Row {
    const char* name;
    std::vector<std::string> reasons;
    int told;
  };
  const std::vector<Row> rows = {
      {"once", {"no zone"}, 1},
      {"the same at each heartbeat", {"no zone", "no zone", "no zone"}, 1},
      {"another fault", {"no zone", "no zone", "no state"}, 2},
      {"back and forth", {"no zone", "no state", "no zone"}, 3},
      {"without a reason", {"", "", ""}, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RefusedEntries refused;
    int told = 0;
    for (const std::string& reason : row.reasons) {
      told += refused.LogIfNew("w", Fault(reason)) ? 1 : 0;
    }
    CHECK(told == row.told);
    CHECK(refused.size() == 1);
  }
}

TEST_CASE("an entry that was mended or removed is told anew") {
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
