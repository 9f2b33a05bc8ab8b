// Runs the rows of a soak test.
#include "soak_rows.h"

#include <doctest/doctest.h>

#include <string>

#include "soak_run.h"

namespace thornplank {

void CheckSoakRows(const std::vector<SoakRow>& rows) {
  for (const SoakRow& row : rows) {
    CAPTURE(row.seed);
    const std::string cause = row.cause;
    CAPTURE(cause);
    SoakSettings settings;
    settings.seed = row.seed;
    settings.fault_duration = std::chrono::seconds(row.seconds);
    settings.crashes = row.crashes;
    settings.cut_offs = row.cut_offs;
    settings.burst = row.burst;
    settings.long_checkpoints = row.long_checkpoints;
    settings.give_ups = row.give_ups;
    settings.losses = row.losses;
    const SoakReport report = RunSoak(settings);
    std::string faults;
    for (const std::string& fault : report.faults) {
      faults += fault + "\n";
    }
    CAPTURE(faults);
    CAPTURE(report.folder);
    for (const std::string& violation : report.violations) {
      FAIL_CHECK(violation);
    }
    CHECK(report.accepted > 0);
    // Without urgent work that is done, its stops show nothing.
    if (row.burst) CHECK(report.equal_stops.done > 0);
    if (row.give_ups) CHECK(report.unknown_cancelled > 0);
  }
}

}  // namespace thornplank
