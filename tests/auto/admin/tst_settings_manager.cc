// Writes through a log with faults: races, lost and late appends, retention,
// outages and snapshots. An accepted change must never be reverted.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "settings_fixture.h"

namespace thornplank {
namespace {

Json Weight(int weight) { return {{"weight", weight}}; }

// Sets the weight of "north" to 1..count in turn, which leaves it at version
// `count`.
void PutWeightsInTurn(TestEntry& entry, int count) {
  for (int i = 0; i < count; ++i) {
    REQUIRE(entry.Put("north", i, Weight(i + 1)).get().outcome ==
            WriteOutcome::kApplied);
  }
}

TEST_CASE(
    "An applied change is in force on its entry, and soon on all others") {
  SettingsFixture fixture;
  const auto one = fixture.StartEntry("one");
  const auto two = fixture.StartEntry("two");
  const WriteResult result = one->Put("north", 0, Weight(4)).get();
  CHECK(result.outcome == WriteOutcome::kApplied);
  CHECK(result.version == 1);
  CHECK(one->weight("north") == 4);
  CHECK(one->handled_revision() == 1);
  CHECK(WaitUntil([&] { return two->handled_revision() == 1; }));
  CHECK(two->weight("north") == 4);
  CHECK(two->manager().history("north").at(0).author == "admin");
}

TEST_CASE("A write completes after every handler was called with it") {
  SettingsFixture fixture;
  std::atomic<int64_t> last_handled_revision{0};
  const auto entry = fixture.MakeEntry(FastOptions("one"));
  entry->manager().AddChangeHandler(
      [&last_handled_revision](const SettingsTree& tree) {
        std::this_thread::sleep_for(Milliseconds(20));
        last_handled_revision = tree.revision();
      });
  entry->StartAndWait();
  for (int i = 0; i < 3; ++i) {
    const WriteResult result = entry->Put("north", i, Weight(i + 1)).get();
    CHECK(result.version == i + 1);
    CHECK(last_handled_revision >= i + 1);
  }
}

TEST_CASE("Invalid changes get reasons and append nothing") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  const WriteResult result = entry->Put("north", 0, Weight(-1)).get();
  CHECK(result.outcome == WriteOutcome::kInvalid);
  REQUIRE(result.reasons.size() == 1);
  CHECK(result.reasons[0].find("weight: found -1") != std::string::npos);
  CHECK(fixture.log().next_offset() == 0);
}

TEST_CASE("Of two entries' racing changes one wins and both agree on it") {
  SettingsFixture fixture;
  const auto one = fixture.StartEntry("one");
  const auto two = fixture.StartEntry("two");
  for (int round = 0; round < 10; ++round) {
    CAPTURE(round);
    const int64_t version = one->manager().tree()->version("north");
    REQUIRE(WaitUntil(
        [&] { return two->manager().tree()->version("north") == version; }));
    auto first = one->Put("north", version, Weight(100 + round));
    auto second = two->Put("north", version, Weight(200 + round));
    const WriteResult a = first.get();
    const WriteResult b = second.get();
    const bool one_won = a.outcome == WriteOutcome::kApplied;
    CHECK((one_won ? b : a).outcome == WriteOutcome::kLostRace);
    CHECK((one_won ? a : b).outcome == WriteOutcome::kApplied);
    const int expected = (one_won ? 100 : 200) + round;
    CHECK(WaitUntil([&] {
      return one->weight("north") == expected &&
             two->weight("north") == expected;
    }));
  }
}

TEST_CASE("A change whose append reply is lost takes effect exactly once") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  fixture.log().LoseReplies(2);
  const WriteResult result = entry->Put("north", 0, Weight(4)).get();
  CHECK(result.outcome == WriteOutcome::kApplied);
  CHECK(result.version == 1);
  // A later change is not undone by the repeats.
  CHECK(entry->Put("north", 1, Weight(5)).get().outcome ==
        WriteOutcome::kApplied);
  REQUIRE(WaitUntil([&] {
    return entry->manager().next_offset() == fixture.log().next_offset();
  }));
  CHECK(entry->weight("north") == 5);
  CHECK(entry->manager().tree()->revision() == 2);
}

TEST_CASE("An append that the log delays is withdrawn and never takes effect") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  auto options = FastOptions("two");
  // One attempt only: the held append is all that was sent before the
  // withdrawal.
  options.append_timeout = Milliseconds(100);
  options.writer.timeout = Milliseconds(300);
  const auto slow = fixture.MakeEntry(options);
  slow->StartAndWait();
  fixture.log().HoldNextAppend();
  const WriteResult result = slow->Put("north", 0, Weight(4)).get();
  CHECK(result.outcome == WriteOutcome::kNotRun);
  CHECK(result.retry_after.count() > 0);
  fixture.log().ReleaseHeld();
  REQUIRE(WaitUntil([&] {
    return slow->manager().next_offset() == fixture.log().next_offset() &&
           entry->manager().next_offset() == fixture.log().next_offset();
  }));
  CHECK(slow->manager().tree()->own_value("north") == nullptr);
  CHECK(entry->manager().tree()->own_value("north") == nullptr);
}

TEST_CASE("During an outage changes are refused and reads continue") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  PutWeightsInTurn(*entry, 2);
  fixture.log().SetDown(true);
  WriteResult result;
  // The first changes may already be on their way when the outage begins.
  REQUIRE(WaitUntil([&] {
    result = entry->Put("north", 2, Weight(9)).get();
    return result.outcome == WriteOutcome::kNotRun;
  }));
  CHECK(entry->manager().ready());
  CHECK(entry->weight("north") == 2);
  fixture.log().SetDown(false);
  CHECK(WaitUntil([&] {
    const int64_t version = entry->manager().tree()->version("north");
    return entry->Put("north", version, Weight(7)).get().outcome ==
           WriteOutcome::kApplied;
  }));
  CHECK(entry->weight("north") == 7);
}

TEST_CASE("An entry that reaches neither log nor peer is never ready") {
  SettingsFixture fixture;
  fixture.log().SetDown(true);
  const auto entry = fixture.MakeEntry(FastOptions("one"));
  std::atomic<int> asked{0};
  entry->manager().SetSnapshotFetcher(
      [&asked](const SettingsManager::SnapshotsCallback& callback) {
        ++asked;
        callback({});
      });
  entry->manager().Start();
  REQUIRE(WaitUntil([&] { return asked >= 2; }));
  CHECK_FALSE(entry->manager().ready());
  CHECK(entry->handler_calls() == 0);
  CHECK_FALSE(entry->manager().Snapshot());
  CHECK(entry->Put("north", 0, Weight(1)).get().outcome ==
        WriteOutcome::kNotRun);
  fixture.log().SetDown(false);
  CHECK(WaitUntil([&] { return entry->manager().ready(); }));
}

TEST_CASE(
    "During an outage a new entry adopts the newest snapshot of its peers") {
  SettingsFixture fixture;
  const auto peer = fixture.StartEntry("peer");
  PutWeightsInTurn(*peer, 1);
  const Json old_snapshot = *peer->manager().Snapshot();
  REQUIRE(peer->Put("north", 1, Weight(8)).get().outcome ==
          WriteOutcome::kApplied);
  const Json new_snapshot = *peer->manager().Snapshot();
  fixture.log().SetDown(true);
  const auto entry = fixture.MakeEntry(FastOptions("new"));
  entry->manager().SetSnapshotFetcher(
      [&](const SettingsManager::SnapshotsCallback& callback) {
        callback({old_snapshot, new_snapshot, old_snapshot});
      });
  entry->StartAndWait();
  CHECK(entry->manager().ready());
  CHECK(entry->weight("north") == 8);
}

TEST_CASE("After retention an entry starts from the snapshot in the stream") {
  SettingsFixture fixture;
  auto options = FastOptions("one");
  options.snapshots.max_records = 3;
  options.snapshots.min_interval = Milliseconds(0);
  Json last;
  {
    const auto entry = fixture.MakeEntry(options);
    entry->StartAndWait();
    PutWeightsInTurn(*entry, 4);
    REQUIRE(WaitUntil([&] {
      last = fixture.log().records().back();
      return StringField(last, "type") == "snapshot";
    }));
    REQUIRE(entry->Put("north", 4, Weight(5)).get().outcome ==
            WriteOutcome::kApplied);
  }
  fixture.log().Truncate(*IntField(last, "covers"));
  // No entry is left; the state is only in the log.
  const auto entry = fixture.StartEntry("two");
  CHECK(entry->manager().ready());
  CHECK(entry->weight("north") == 5);
  CHECK(entry->manager().tree()->version("north") == 5);
  CHECK(entry->manager().history("north").size() == 5);
}

TEST_CASE(
    "A snapshot is appended at once when retention removes a needed record") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  PutWeightsInTurn(*entry, 2);
  CHECK(fixture.log().records().size() == 2);
  fixture.log().Truncate(2);
  CHECK(WaitUntil([&] { return fixture.log().next_offset() > 2; }));
  const auto late = fixture.StartEntry("two");
  CHECK(late->manager().ready());
  CHECK(late->weight("north") == 2);
}

TEST_CASE("An unreadable snapshot does not count as one") {
  SettingsFixture fixture;
  auto options = FastOptions("one");
  options.snapshots.retention_margin = 0;
  const auto entry = fixture.MakeEntry(options);
  entry->StartAndWait();
  PutWeightsInTurn(*entry, 2);
  fixture.log().Append("bad", {{"type", "snapshot"}, {"covers", 2}});
  fixture.log().Truncate(1);
  CHECK(WaitUntil([&] { return fixture.log().next_offset() > 3; }));
}

TEST_CASE("A stale snapshot of a paused entry reverts nothing") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  PutWeightsInTurn(*entry, 1);
  const Json stale = *entry->manager().Snapshot();
  REQUIRE(entry->Put("north", 1, Weight(2)).get().outcome ==
          WriteOutcome::kApplied);
  fixture.log().Append("paused-snapshot", stale);
  REQUIRE(entry->Put("north", 2, Weight(3)).get().outcome ==
          WriteOutcome::kApplied);
  CHECK(entry->weight("north") == 3);
  const auto late = fixture.StartEntry("two");
  CHECK(late->weight("north") == 3);
}

TEST_CASE("A peer that has all records closes a gap of removed ones") {
  SettingsFixture fixture;
  const auto holder = fixture.StartEntry("holder");
  PutWeightsInTurn(*holder, 2);
  const Json snapshot = *holder->manager().Snapshot();
  holder->manager().Stop();
  fixture.log().Truncate(1);
  const auto entry = fixture.MakeEntry(FastOptions("one"));
  std::atomic<bool> peers_answer{false};
  std::atomic<int> asked{0};
  entry->manager().SetSnapshotFetcher(
      [&](const SettingsManager::SnapshotsCallback& callback) {
        ++asked;
        callback(peers_answer ? std::vector<Json>{snapshot}
                              : std::vector<Json>());
      });
  entry->manager().Start();
  REQUIRE(WaitUntil([&] { return asked >= 2; }));
  CHECK_FALSE(entry->manager().ready());
  CHECK(entry->handler_calls() == 0);
  peers_answer = true;
  CHECK(WaitUntil([&] { return entry->manager().ready(); }));
  CHECK(entry->weight("north") == 2);
}

TEST_CASE("Only an operator gives up records that no entry can read any more") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  PutWeightsInTurn(*entry, 2);
  fixture.log().SetDown(true);
  fixture.log().Append("lost", {{"type", "withdraw"}});
  fixture.log().Truncate(3);
  fixture.log().SetDown(false);
  REQUIRE(WaitUntil([&] { return !entry->manager().ready(); }));
  CHECK(entry->Put("north", 2, Weight(9)).get().outcome ==
        WriteOutcome::kNotRun);
  // An entry without state must not become the base by mistake.
  const auto empty = fixture.MakeEntry(FastOptions("empty"));
  empty->manager().Start();
  const auto recover = [](TestEntry& at) {
    std::promise<WriteResult> promise;
    at.manager().Recover("admin", false, [&](const WriteResult& result) {
      promise.set_value(result);
    });
    return promise.get_future().get();
  };
  // Holds once the empty entry has reached the gap.
  REQUIRE(WaitUntil([&] {
    const WriteResult result = recover(*empty);
    return result.outcome == WriteOutcome::kInvalid &&
           result.reasons.at(0).find("holds no state") != std::string::npos;
  }));
  // Neither entry has passed over the record that is lost, at offset 2. The
  // first one may still have appended a snapshot of what it had read before.
  for (const Json& record : fixture.log().records()) {
    CAPTURE(record.dump());
    CHECK(StringField(record, "type") == "snapshot");
    CHECK(IntField(record, "covers") == 2);
  }
  CHECK(recover(*entry).outcome == WriteOutcome::kApplied);
  REQUIRE(WaitUntil(
      [&] { return entry->manager().ready() && empty->manager().ready(); }));
  CHECK(entry->weight("north") == 2);
  CHECK(empty->weight("north") == 2);
  CHECK(recover(*entry).outcome == WriteOutcome::kInvalid);
}

// Allows ten guaranteed slots over all accounts.
class TenSlots : public SettingsReview {
 public:
  std::vector<std::string> Review(const SettingsTree&,
                                  const SettingsTree& proposed) const override {
    int slots = 0;
    for (const std::string& account : proposed.accounts()) {
      slots += proposed.Effective(account).guaranteed_slots;
    }
    if (slots <= 10) return {};
    return {"found " + std::to_string(slots) + " slots, allowed 10"};
  }
};

TEST_CASE("Guarantees reviewed at the same time on two entries fit together") {
  SettingsFixture fixture;
  const TenSlots review;
  const auto one = fixture.MakeEntry(FastOptions("one"));
  const auto two = fixture.MakeEntry(FastOptions("two"));
  for (TestEntry* entry : {one.get(), two.get()}) {
    entry->manager().AddReview(&review);
    entry->StartAndWait();
  }
  REQUIRE(one->Put("north", 0, Weight(1)).get().version == 1);
  REQUIRE(one->Put("south", 0, Weight(1)).get().version == 2);
  REQUIRE(WaitUntil([&] { return two->manager().tree()->revision() == 2; }));
  auto north = one->Put("north", 1, {{"guaranteed_slots", 6}});
  auto south = two->Put("south", 2, {{"guaranteed_slots", 6}});
  const WriteResult a = north.get();
  const WriteResult b = south.get();
  const bool north_won = a.outcome == WriteOutcome::kApplied;
  CHECK((north_won ? a : b).outcome == WriteOutcome::kApplied);
  CHECK((north_won ? b : a).outcome == WriteOutcome::kInvalid);
  CHECK((north_won ? b : a).reasons ==
        std::vector<std::string>{"found 12 slots, allowed 10"});
}

TEST_CASE("A change that expects a version not applied here yet waits for it") {
  SettingsFixture fixture;
  const auto entry = fixture.StartEntry("one");
  auto early = entry->Put("north", 1, Weight(2));
  CHECK(entry->Put("north", 0, Weight(1)).get().version == 1);
  CHECK(early.get().outcome == WriteOutcome::kApplied);
  CHECK(entry->weight("north") == 2);
  // A version that never comes is a lost race.
  CHECK(entry->Put("north", 99, Weight(3)).get().outcome ==
        WriteOutcome::kLostRace);
}

}  // namespace
}  // namespace thornplank
