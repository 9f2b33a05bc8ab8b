// Repeats, races, gaps and snapshots in the stream of settings, and when a
// snapshot is due.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "settings/settings_replica.h"
#include "settings/settings_snapshot_schedule.h"

namespace thornplank {
namespace {

Json PutData(const std::string& path, int64_t expected, int weight,
             const std::string& by = "admin") {
  SettingsChange change;
  change.path = path;
  change.expected_version = expected;
  change.value = {{"weight", weight}};
  change.by = by;
  change.time = FromUnixMilliseconds(1000);
  return ToJson(change);
}

// Appends to a stream in memory.
class Stream {
 public:
  int64_t Append(const std::string& id, Json data) {
    records_.push_back(
        {static_cast<int64_t>(records_.size()), id, std::move(data)});
    return records_.back().offset;
  }
  void ApplyTo(SettingsReplica* replica, int64_t from, int64_t to = -1) const {
    for (const SettingsRecord& record : records_) {
      if (record.offset < from || (to >= 0 && record.offset >= to)) continue;
      replica->Apply(record);
    }
  }
  SettingsReplica MakeReplica() const {
    SettingsReplica replica;
    ApplyTo(&replica, 0);
    return replica;
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
  const SettingsReplica replica = stream.MakeReplica();
  CHECK(replica.tree().Effective("north").weight == 10);
  CHECK(replica.Decision("id-a")->verdict == ChangeVerdict::kApplied);
  CHECK(replica.Decision("id-b")->verdict == ChangeVerdict::kLostRace);
}

TEST_CASE("A repeated id keeps its first verdict") {
  Stream stream = SampleStream();
  // Invalid at first: "east" does not exist yet; the repeat would be valid.
  stream.Append("id-early", PutData("east/claims", 0, 4));
  stream.Append("id-east", PutData("east", 0, 4));
  stream.Append("id-early", PutData("east/claims", 0, 4));
  stream.Append("id-0", PutData("north", 0, 1));
  const SettingsReplica replica = stream.MakeReplica();
  CHECK(replica.tree().own("east/claims") == nullptr);
  CHECK(replica.Decision("id-early")->verdict == ChangeVerdict::kInvalid);
  CHECK(replica.Decision("id-0")->verdict == ChangeVerdict::kApplied);
  CHECK(replica.tree().Effective("north").weight == 3);
}

TEST_CASE("Of a change and its withdrawal the first in the stream decides") {
  Stream stream = SampleStream();
  stream.Append("id-w", WithdrawalData("admin"));
  stream.Append("id-w", PutData("north", 3, 10));
  stream.Append("id-v", PutData("north", 3, 20));
  stream.Append("id-v", WithdrawalData("admin"));
  const SettingsReplica replica = stream.MakeReplica();
  CHECK(replica.Decision("id-w")->verdict == ChangeVerdict::kWithdrawn);
  CHECK(replica.Decision("id-v")->verdict == ChangeVerdict::kApplied);
  CHECK(replica.tree().Effective("north").weight == 20);
}

TEST_CASE("A malformed record changes nothing and is reported") {
  SettingsReplica replica = SampleStream().MakeReplica();
  const Json before = replica.tree().ToJson();
  const auto outcomes = replica.Apply({3, "id-x", {{"type", "put"}}});
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].malformed);
  CHECK(replica.tree().ToJson() == before);
  CHECK(replica.next_offset() == 4);
}

TEST_CASE("After retention a snapshot and the tail give the same state") {
  Stream stream = SampleStream();
  const Json snapshot = stream.MakeReplica().Snapshot();
  stream.Append("id-3", PutData("north", 3, 4));
  stream.Append("snap", snapshot);
  stream.Append("id-4", PutData("north", 4, 5));
  stream.Append("id-3", PutData("north", 3, 4));
  SettingsReplica replica;
  replica.HandleGap(0, 3);
  CHECK_FALSE(replica.complete());
  stream.ApplyTo(&replica, 3);
  CHECK(replica.complete());
  CHECK(replica.Snapshot() == stream.MakeReplica().Snapshot());
  CHECK(replica.history().entries("north").size() == 5);
  CHECK(replica.history().entries("north")[0].by == "admin");
}

TEST_CASE("Without a snapshot that closes the gap nothing is taken") {
  Stream stream = SampleStream();
  SettingsReplica paused;
  stream.ApplyTo(&paused, 0, 1);
  const Json too_old = paused.Snapshot();
  stream.Append("snap", too_old);
  stream.Append("id-4", PutData("north", 3, 4));
  SettingsReplica replica;
  replica.HandleGap(0, 2);
  stream.ApplyTo(&replica, 2);
  CHECK_FALSE(replica.complete());
  CHECK(replica.tree().revision() == 0);
  std::vector<RecordOutcome> outcomes;
  CHECK(replica.Adopt(too_old, &outcomes) == SnapshotVerdict::kLeavesGap);
  // A peer that has seen everything closes it.
  CHECK(replica.Adopt(stream.MakeReplica().Snapshot(), &outcomes) ==
        SnapshotVerdict::kAdopted);
  CHECK(replica.tree().Effective("north").weight == 4);
}

TEST_CASE("A hole in the offsets counts as a gap") {
  const Stream stream = SampleStream();
  SettingsReplica replica;
  stream.ApplyTo(&replica, 0, 1);
  stream.ApplyTo(&replica, 2);
  CHECK_FALSE(replica.complete());
  CHECK(replica.tree().Effective("north").weight == 1);
}

TEST_CASE("A snapshot of a paused entry reverts nothing") {
  Stream stream = SampleStream();
  SettingsReplica paused;
  stream.ApplyTo(&paused, 0, 2);
  SettingsReplica replica = stream.MakeReplica();
  const Json before = replica.tree().ToJson();
  std::vector<RecordOutcome> outcomes;
  CHECK(replica.Adopt(paused.Snapshot(), &outcomes) == SnapshotVerdict::kStale);
  stream.Append("snap", paused.Snapshot());
  stream.ApplyTo(&replica, 3);
  CHECK(replica.tree().ToJson() == before);
  // An entry that starts from it comes to the same tree by the tail.
  SettingsReplica late;
  late.HandleGap(0, 2);
  stream.ApplyTo(&late, 2);
  CHECK(late.tree().ToJson() == before);
}

TEST_CASE("A malformed snapshot is not adopted") {
  const Json good = SampleStream().MakeReplica().Snapshot();
  const std::vector<const char*> patches = {
      R"({"covers": null})", R"({"tree": null})", R"({"history": 3})",
      R"({"decided": [1]})", R"({"tree": {"revision": 1}})"};
  for (const char* patch : patches) {
    CAPTURE(patch);
    Json snapshot = good;
    snapshot.merge_patch(Json::parse(patch));
    SettingsReplica replica;
    std::vector<RecordOutcome> outcomes;
    CHECK(replica.Adopt(snapshot, &outcomes) == SnapshotVerdict::kMalformed);
    CHECK(replica.next_offset() == 0);
  }
}

WallTime At(int seconds) { return FromUnixMilliseconds(1000 * seconds); }

TEST_CASE("A snapshot is due before retention takes a needed record") {
  SettingsSnapshotLimits settings;
  settings.max_records = 10;
  settings.max_age = Milliseconds(60000);
  settings.margin = 5;
  settings.min_interval = Milliseconds(5000);
  struct Row {
    const char* name;
    // Records at offsets 0.. with one second between them.
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
      {"everything lost unread", 0, -1, 0, 3, 100, true},
      {"few and young", 5, -1, 0, 0, 6, false},
      {"many", 11, -1, 0, 0, 11, true},
      {"old", 1, -1, 0, 0, 61, true},
      {"many, but covered", 20, 18, 18, 0, 30, false},
      {"covered long ago", 20, 18, 18, 0, 80, true},
      {"near what is forgotten", 20, 18, 18, 14, 30, true},
      {"near, but just appended", 20, 18, 18, 14, 20, false},
      {"needed record lost", 20, 18, 18, 19, 20, true},
      {"snapshot kept, but not all after it", 20, 18, 10, 12, 20, true},
      {"snapshot that claims the future", 20, 18, 19, 0, 30, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SettingsSnapshotSchedule schedule(settings);
    for (int i = 0; i < row.records; ++i) {
      std::optional<int64_t> covers;
      if (i == row.snapshot_at) covers = row.covers;
      schedule.OnRecord(i, At(i), covers);
    }
    schedule.OnFirstOffset(row.first_offset);
    CHECK(schedule.IsDue(At(row.now_s)) == row.due);
  }
}

TEST_CASE("A snapshot of a paused entry does not move what is needed") {
  SettingsSnapshotSchedule schedule(SettingsSnapshotLimits{});
  for (int i = 0; i < 20; ++i) schedule.OnRecord(i, At(i), std::nullopt);
  schedule.OnRecord(20, At(20), 20);
  schedule.OnRecord(21, At(21), 7);
  CHECK(schedule.first_needed() == 20);
}

}  // namespace
}  // namespace thornplank
