// Repeated ids, races, gaps and snapshots in the settings stream, and when a
// snapshot is due.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "settings/settings_snapshot_schedule.h"
#include "settings/settings_state.h"

namespace thornplank {
namespace {

Json PutData(const std::string& path, int64_t expected, int weight,
             const std::string& author = "admin") {
  SettingsChange change;
  change.path = path;
  change.expected_version = expected;
  change.value = {{"weight", weight}};
  change.author = author;
  change.time = FromUnixMilliseconds(1000);
  return ToJson(change);
}

// A settings stream in memory.
class Stream {
 public:
  int64_t Append(const std::string& id, Json data) {
    records_.push_back(
        {static_cast<int64_t>(records_.size()), id, std::move(data)});
    return records_.back().offset;
  }
  void ApplyTo(SettingsState* state, int64_t from, int64_t to = -1) const {
    for (const SettingsRecord& record : records_) {
      if (record.offset < from || (to >= 0 && record.offset >= to)) continue;
      state->Apply(record);
    }
  }
  SettingsState MakeState() const {
    SettingsState state;
    ApplyTo(&state, 0);
    return state;
  }
  int64_t end() const { return static_cast<int64_t>(records_.size()); }

 private:
  std::vector<SettingsRecord> records_;
};

// Three changes of "north": weights 1, 2, 3.
Stream SampleStream() {
  Stream stream;
  for (int i = 0; i < 3; ++i) {
    stream.Append("id-" + std::to_string(i), PutData("north", i, i + 1));
  }
  return stream;
}

TEST_CASE("The first of two racing records wins on every entry") {
  Stream stream = SampleStream();
  stream.Append("id-a", PutData("north", 3, 10));
  stream.Append("id-b", PutData("north", 3, 20));
  const SettingsState state = stream.MakeState();
  CHECK(state.tree().Effective("north").weight == 10);
  CHECK(state.FindDecision("id-a")->verdict == ChangeVerdict::kApplied);
  CHECK(state.FindDecision("id-b")->verdict == ChangeVerdict::kLostRace);
}

TEST_CASE("A repeated id keeps its first verdict") {
  Stream stream = SampleStream();
  // Invalid at first: "east" does not exist yet; the repeat would be valid.
  stream.Append("id-early", PutData("east/claims", 0, 4));
  stream.Append("id-east", PutData("east", 0, 4));
  stream.Append("id-early", PutData("east/claims", 0, 4));
  stream.Append("id-0", PutData("north", 0, 1));
  const SettingsState state = stream.MakeState();
  CHECK(state.tree().own_value("east/claims") == nullptr);
  CHECK(state.FindDecision("id-early")->verdict == ChangeVerdict::kInvalid);
  CHECK(state.FindDecision("id-0")->verdict == ChangeVerdict::kApplied);
  CHECK(state.tree().Effective("north").weight == 3);
}

TEST_CASE(
    "The first of a change and its withdrawal in the stream takes effect") {
  Stream stream = SampleStream();
  stream.Append("id-w", WithdrawalData("admin"));
  stream.Append("id-w", PutData("north", 3, 10));
  stream.Append("id-v", PutData("north", 3, 20));
  stream.Append("id-v", WithdrawalData("admin"));
  const SettingsState state = stream.MakeState();
  CHECK(state.FindDecision("id-w")->verdict == ChangeVerdict::kWithdrawn);
  CHECK(state.FindDecision("id-v")->verdict == ChangeVerdict::kApplied);
  CHECK(state.tree().Effective("north").weight == 20);
}

TEST_CASE("A malformed record changes nothing and is reported") {
  SettingsState state = SampleStream().MakeState();
  const Json before = state.tree().ToJson();
  const auto outcomes = state.Apply({3, "id-x", {{"type", "put"}}});
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].malformed);
  CHECK(state.tree().ToJson() == before);
  CHECK(state.next_offset() == 4);
}

TEST_CASE(
    "After retention a snapshot and the later records give the same state") {
  Stream stream = SampleStream();
  const Json snapshot = stream.MakeState().Snapshot();
  stream.Append("id-3", PutData("north", 3, 4));
  stream.Append("snap", snapshot);
  stream.Append("id-4", PutData("north", 4, 5));
  stream.Append("id-3", PutData("north", 3, 4));
  SettingsState state;
  state.HandleGap(0, 3);
  CHECK_FALSE(state.complete());
  stream.ApplyTo(&state, 3);
  CHECK(state.complete());
  CHECK(state.Snapshot() == stream.MakeState().Snapshot());
  CHECK(state.history().entries("north").size() == 5);
  CHECK(state.history().entries("north")[0].author == "admin");
}

TEST_CASE("Without a snapshot that closes the gap no record is applied") {
  Stream stream = SampleStream();
  SettingsState paused;
  stream.ApplyTo(&paused, 0, 1);
  const Json too_old = paused.Snapshot();
  stream.Append("snap", too_old);
  stream.Append("id-4", PutData("north", 3, 4));
  SettingsState state;
  state.HandleGap(0, 2);
  stream.ApplyTo(&state, 2);
  CHECK_FALSE(state.complete());
  CHECK(state.tree().revision() == 0);
  std::vector<RecordOutcome> outcomes;
  CHECK(state.AdoptSnapshot(too_old, &outcomes) == SnapshotVerdict::kLeavesGap);
  // The snapshot of a peer that has applied all records closes the gap.
  CHECK(state.AdoptSnapshot(stream.MakeState().Snapshot(), &outcomes) ==
        SnapshotVerdict::kAdopted);
  CHECK(state.tree().Effective("north").weight == 4);
}

TEST_CASE("Missing offsets count as a gap") {
  const Stream stream = SampleStream();
  SettingsState state;
  stream.ApplyTo(&state, 0, 1);
  stream.ApplyTo(&state, 2);
  CHECK_FALSE(state.complete());
  CHECK(state.tree().Effective("north").weight == 1);
}

TEST_CASE("A stale snapshot of a paused entry reverts nothing") {
  Stream stream = SampleStream();
  SettingsState paused;
  stream.ApplyTo(&paused, 0, 2);
  SettingsState state = stream.MakeState();
  const Json before = state.tree().ToJson();
  std::vector<RecordOutcome> outcomes;
  CHECK(state.AdoptSnapshot(paused.Snapshot(), &outcomes) ==
        SnapshotVerdict::kStale);
  stream.Append("snap", paused.Snapshot());
  stream.ApplyTo(&state, 3);
  CHECK(state.tree().ToJson() == before);
  // An entry that starts from the snapshot reaches the same tree by the later
  // records.
  SettingsState late;
  late.HandleGap(0, 2);
  stream.ApplyTo(&late, 2);
  CHECK(late.tree().ToJson() == before);
}

TEST_CASE("A malformed snapshot is not adopted") {
  const Json good = SampleStream().MakeState().Snapshot();
  const std::vector<const char*> patches = {
      R"({"covers": null})", R"({"tree": null})", R"({"history": 3})",
      R"({"decided": [1]})", R"({"tree": {"revision": 1}})"};
  for (const char* patch : patches) {
    CAPTURE(patch);
    Json snapshot = good;
    snapshot.merge_patch(Json::parse(patch));
    SettingsState state;
    std::vector<RecordOutcome> outcomes;
    CHECK(state.AdoptSnapshot(snapshot, &outcomes) ==
          SnapshotVerdict::kMalformed);
    CHECK(state.next_offset() == 0);
  }
}

WallTime At(int seconds) { return FromUnixMilliseconds(1000 * seconds); }

TEST_CASE("A snapshot is due before retention removes a needed record") {
  SettingsSnapshotLimits limits;
  limits.max_records = 10;
  limits.max_age = Milliseconds(60000);
  limits.retention_margin = 5;
  limits.min_interval = Milliseconds(5000);
  struct Row {
    const char* name;
    // Number of records, at offsets from 0 on with one second between them.
    int records;
    // Offset of a record that is a snapshot, and what it covers; -1 for none.
    int snapshot_at;
    int covers;
    int first_offset;
    int now_s;
    bool due;
  };
  const std::vector<Row> rows = {
      {"nothing read", 0, -1, 0, 0, 100, false},
      {"all records lost before they were read", 0, -1, 0, 3, 100, true},
      {"few and recent", 5, -1, 0, 0, 6, false},
      {"many", 11, -1, 0, 0, 11, true},
      {"old", 1, -1, 0, 0, 61, true},
      {"many, but covered", 20, 18, 18, 0, 30, false},
      {"covered long ago", 20, 18, 18, 0, 80, true},
      {"first needed record near the first kept one", 20, 18, 18, 14, 30, true},
      {"the same, but snapshot just appended", 20, 18, 18, 14, 20, false},
      {"needed record lost", 20, 18, 18, 19, 20, true},
      {"snapshot kept, but not all after it", 20, 18, 10, 12, 20, true},
      {"snapshot that claims to cover later records", 20, 18, 19, 0, 30, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SettingsSnapshotSchedule schedule(limits);
    for (int i = 0; i < row.records; ++i) {
      std::optional<int64_t> covers;
      if (i == row.snapshot_at) covers = row.covers;
      schedule.OnRecord(i, At(i), covers);
    }
    schedule.OnFirstOffset(row.first_offset);
    CHECK(schedule.IsDue(At(row.now_s)) == row.due);
  }
}

TEST_CASE("A stale snapshot of a paused entry changes no needed record") {
  SettingsSnapshotSchedule schedule(SettingsSnapshotLimits{});
  for (int i = 0; i < 20; ++i) schedule.OnRecord(i, At(i), std::nullopt);
  schedule.OnRecord(20, At(20), 20);
  schedule.OnRecord(21, At(21), 7);
  CHECK(schedule.first_needed_offset() == 20);
}

}  // namespace
}  // namespace thornplank
