// The durable form of the verdicts on workers.
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "workload/health_record.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const WallTime kWritten = FromUnixMilliseconds(1000000);
const WallTime kStart = FromUnixMilliseconds(5000);

HealthEntry Probation(const std::string& worker) {
  return {worker, kStart, {HealthVerdict::kProbation, Time{}, 1}};
}

HealthEntry Excluded(const std::string& worker, int64_t until) {
  return {worker, kStart, {HealthVerdict::kExcluded, At(until), 2}};
}

// Guards against a leader that gives excluded workers tasks at once after a
// takeover, or excludes them again for the whole time.
TEST_CASE("verdicts are read as they were written, less the time since") {
  struct Row {
    const char* name;
    HealthEntry entry;
    // From the write to the read, by wall-clock time.
    int64_t age;
    std::optional<HealthState> state;
  };
  const std::vector<Row> rows = {
      {"probation", Probation("w"), 1000,
       HealthState{HealthVerdict::kProbation, Time{}, 1}},
      {"excluded", Excluded("w", 6000), 1000,
       HealthState{HealthVerdict::kExcluded, At(5000), 2}},
      {"the exclusion has ended", Excluded("w", 6000), 6000,
       HealthState{HealthVerdict::kProbation, Time{}, 2}},
      {"the clock of the writer was ahead", Excluded("w", 6000), -90000,
       HealthState{HealthVerdict::kExcluded, At(6000), 2}},
      {"not quite too old", Probation("w"), 60000,
       HealthState{HealthVerdict::kProbation, Time{}, 1}},
      {"too old", Probation("w"), 60001, std::nullopt},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const std::string bytes = EncodeHealth({row.entry}, At(0), kWritten);
    Error error;
    // The reader's clock has nothing to do with the writer's.
    const auto entries =
        DecodeHealth(bytes, At(0), kWritten + Milliseconds(row.age), &error);
    REQUIRE(entries.has_value());
    REQUIRE(entries->size() == (row.state ? 1 : 0));
    if (!row.state) continue;
    CHECK(entries->front().worker == "w");
    CHECK(entries->front().incarnation_start == kStart);
    CHECK(entries->front().state == *row.state);
  }
}

TEST_CASE("an incarnation whose start is not known stays unknown") {
  HealthEntry entry = Probation("w");
  entry.incarnation_start.reset();
  const auto entries = DecodeHealth(EncodeHealth({entry}, At(0), kWritten),
                                    At(0), kWritten, nullptr);
  REQUIRE(entries->size() == 1);
  CHECK_FALSE(entries->front().incarnation_start.has_value());
}

// Guards against a record that the store refuses for its size, so that with it
// no start is recorded any more.
TEST_CASE("a record is bounded, and keeps the worst") {
  struct Row {
    const char* name;
    size_t name_length;
    size_t workers;
    // At least.
    size_t kept;
  };
  const std::vector<Row> rows = {
      {"a few", 10, 80, 80},
      {"all of a large fleet", 10, 6000, 256},
      {"long names", 500, 6000, 25},
      {"a name beyond the bound", 20000, 3, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<HealthEntry> entries;
    for (size_t i = 0; i < row.workers; ++i) {
      std::string name = std::to_string(i);
      name.resize(row.name_length, 'w');
      entries.push_back(i % 100 == 0
                            ? Excluded(name, 1000 + static_cast<int64_t>(i))
                            : Probation(name));
    }
    const std::string bytes = EncodeHealth(entries, At(0), kWritten);
    CHECK(bytes.size() <= kMaxHealthRecordBytes);
    const auto read = DecodeHealth(bytes, At(0), kWritten, nullptr);
    REQUIRE(read.has_value());
    CHECK(read->size() >= row.kept);
    CHECK(read->size() <= kMaxHealthEntries);
    if (read->empty()) continue;
    // The exclusion that lasts longest.
    std::string worst = std::to_string((row.workers - 1) / 100 * 100);
    worst.resize(row.name_length, 'w');
    CHECK(read->front().worker == worst);
    CHECK(read->front().state.verdict == HealthVerdict::kExcluded);
  }
}

std::string Cbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

// Guards against a leader that does not start, or excludes workers for ever,
// because of a record that something else wrote.
TEST_CASE("a record that is not what it should be") {
  const int64_t written = ToUnixMilliseconds(kWritten);
  const auto record = [written](const Json& row) {
    return Cbor(Json::array({1, written, Json::array({row})}));
  };
  struct Row {
    const char* name;
    std::string bytes;
    bool readable;
    // Of the only entry.
    HealthState state;
  };
  const std::vector<Row> rows = {
      {"empty", "", false, {}},
      {"text", "not cbor", false, {}},
      {"another type", Cbor(Json{{"a", 1}}), false, {}},
      {"a later version",
       Cbor(Json::array({2, written, Json::array()})),
       false,
       {}},
      {"a row of another type", record("w"), false, {}},
      {"a row that is too short", record(Json::array({"w", 1})), false, {}},
      {"a negative duration",
       record(Json::array({"w", 5000, 2, -9, 1})),
       true,
       {HealthVerdict::kProbation, Time{}, 1}},
      {"a huge duration",
       record(Json::array({"w", 5000, 2, int64_t{1} << 62, 1})),
       true,
       {HealthVerdict::kExcluded, At(30000), 1}},
      {"a huge start time",
       record(Json::array({"w", int64_t{1} << 62, 1, 0, 1})),
       true,
       {HealthVerdict::kProbation, Time{}, 1}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Error error;
    const auto entries = DecodeHealth(row.bytes, At(0), kWritten, &error);
    CHECK(entries.has_value() == row.readable);
    if (!entries) {
      CHECK_FALSE(error.reason.empty());
      continue;
    }
    REQUIRE(entries->size() == 1);
    CHECK(entries->front().state == row.state);
    WorkerHealth health;
    health.set_compared(true);
    health.Restore(entries->front().state, At(0));
    CHECK(health.verdict(At(0)) == row.state.verdict);
    CHECK_FALSE(health.IsExcluded(At(30000)));
  }
}

// Guards against a restored verdict that a run of the previous leader clears,
// of which it is not known whether it came before the failure.
TEST_CASE("a restored verdict continues") {
  WorkerHealth health;
  health.set_compared(true);
  health.Restore({HealthVerdict::kExcluded, At(4000), 2}, At(0));
  CHECK(health.verdict(At(3999)) == HealthVerdict::kExcluded);
  CHECK(health.verdict(At(4000)) == HealthVerdict::kProbation);
  health.OnRunDone({"a", At(10), Time{}}, At(5000));
  CHECK(health.verdict(At(5000)) == HealthVerdict::kProbation);
  health.OnRunFailed({"a", At(5100), At(5100)}, At(5200));
  CHECK(health.excluded_until() - At(5200) == std::chrono::seconds(24));
}

}  // namespace
}  // namespace thornplank::testing
