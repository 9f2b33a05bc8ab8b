// When the verdicts on workers are written.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/health_record_schedule.h"

namespace thornplank::testing {
namespace {

const WallTime kWall = FromUnixMilliseconds(1000000);

std::vector<HealthEntry> Probation(const std::vector<std::string>& workers) {
  std::vector<HealthEntry> entries;
  entries.reserve(workers.size());
  for (const std::string& worker : workers) {
    entries.push_back(
        {worker, std::nullopt, {HealthVerdict::kProbation, Time{}, 0}});
  }
  return entries;
}

// Guards against a write with each progress write, several times a second, and
// against a change that is never written since the store did not answer.
TEST_CASE("verdicts are written when they have changed, once a second") {
  HealthRecordSchedule schedule;
  schedule.Begin({});
  CHECK_FALSE(schedule.TakeDue({}, At(0), kWall));
  CHECK(schedule.TakeDue(Probation({"a"}), At(100), kWall));
  schedule.OnStored();
  CHECK_FALSE(schedule.TakeDue(Probation({"a"}), At(5000), kWall));
  CHECK(schedule.TakeDue(Probation({"a", "b"}), At(5100), kWall));
  schedule.OnStored();
  CHECK_FALSE(schedule.TakeDue(Probation({"b"}), At(5200), kWall));
  // Not stored: repeated, though nothing else has changed.
  CHECK(schedule.TakeDue(Probation({"b"}), At(6100), kWall));
  CHECK(schedule.TakeDue(Probation({"b"}), At(7100), kWall));
  schedule.OnStored();
  CHECK_FALSE(schedule.TakeDue(Probation({"b"}), At(8100), kWall));
  // All are healthy again.
  CHECK(schedule.TakeDue({}, At(8200), kWall));
  schedule.OnStored();
  CHECK_FALSE(schedule.TakeDue({}, At(9300), kWall));
}

// Guards against entries of a previous leader that stay for ever.
TEST_CASE("a new leader replaces what it has read") {
  HealthRecordSchedule schedule;
  schedule.Begin(Probation({"b", "a"}));
  CHECK_FALSE(schedule.TakeDue(Probation({"b", "a"}), At(0), kWall));
  CHECK(schedule.TakeDue({}, At(100), kWall));
}

}  // namespace
}  // namespace thornplank::testing
