// Decisions of ClaimTable on short, fixed claim streams.
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "claims/claim_table.h"

namespace thornplank {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const WallTime kStart = FromUnixMilliseconds(1700000000000);
const ClaimHolder kEast{"east", "e1"};
const ClaimHolder kEastRestarted{"east", "e2"};
const ClaimHolder kWest{"west", "w1"};
const Digest128 kBody = DigestOf("body");

ClaimTable MakeTable(const ClaimHolder& self) {
  ClaimTableSettings settings;
  settings.self = self;
  ClaimTable table(settings);
  table.MarkCaughtUp();
  table.SetReachableEntries({kEast, kWest});
  return table;
}

ClaimRequest RequestOf(const std::string& claim_id, WallTime key_time = kStart,
                       const Digest128& body = kBody) {
  return {claim_id, "north", "claims", "key", key_time, body};
}

ClaimRecord ClaimOf(const std::string& claim_id, const ClaimHolder& holder,
                    WallTime key_time = kStart) {
  ClaimRecord record;
  record.kind = ClaimRecordKind::kClaim;
  record.account = "north";
  record.service = "claims";
  record.key = "key";
  record.holder = holder;
  record.claim_id = claim_id;
  record.key_time = key_time;
  record.body_digest = kBody;
  return record;
}

ClaimRecord WithKind(ClaimRecordKind kind, ClaimRecord record) {
  record.kind = kind;
  return record;
}

ClaimDecision BeginClaimAt(ClaimTable* table, const std::string& claim_id,
                           WallTime now = kStart) {
  return table->BeginClaim(RequestOf(claim_id), now, true);
}

// Records applied before, and the decision on a new request of the key.
struct HeldCase {
  const char* name;
  std::vector<ClaimRecord> records;
  ClaimDecisionKind kind;
  ClaimRefusal refusal;
};

TEST_CASE("a key that others have claimed") {
  const ClaimRecord west = ClaimOf("w-1", kWest);
  const ClaimRecord gone = ClaimOf("x-1", {"gone", "g1"});
  const ClaimRecord before_restart = ClaimOf("e-1", kEastRestarted);
  const auto kReleased = ClaimRecordKind::kReleased;
  const auto kDone = ClaimRecordKind::kDone;
  ClaimRecord foreign_release = WithKind(kReleased, west);
  foreign_release.holder = kEast;
  ClaimRecord later_incarnation = WithKind(kReleased, west);
  later_incarnation.holder.incarnation = "w2";
  const ClaimRecord second = ClaimOf("w-2", kWest);

  const std::vector<HeldCase> cases = {
      {"unclaimed", {}, ClaimDecisionKind::kAppend, ClaimRefusal::kNone},
      {"live holder",
       {west},
       ClaimDecisionKind::kAskHolder,
       ClaimRefusal::kNone},
      {"live holder, done",
       {west, WithKind(kDone, west)},
       ClaimDecisionKind::kAskHolder,
       ClaimRefusal::kNone},
      {"holder gone",
       {gone},
       ClaimDecisionKind::kRefuse,
       ClaimRefusal::kHolderGone},
      {"holder gone, done",
       {gone, WithKind(kDone, gone)},
       ClaimDecisionKind::kRefuse,
       ClaimRefusal::kAnswerNotHeld},
      {"holder restarted",
       {before_restart},
       ClaimDecisionKind::kRefuse,
       ClaimRefusal::kHolderGone},
      {"released",
       {west, WithKind(kReleased, west)},
       ClaimDecisionKind::kAppend,
       ClaimRefusal::kNone},
      {"released twice",
       {west, WithKind(kReleased, west), WithKind(kReleased, west)},
       ClaimDecisionKind::kAppend,
       ClaimRefusal::kNone},
      {"released by another entry",
       {west, foreign_release},
       ClaimDecisionKind::kAskHolder,
       ClaimRefusal::kNone},
      {"released by a later incarnation of the holder",
       {west, later_incarnation},
       ClaimDecisionKind::kAskHolder,
       ClaimRefusal::kNone},
      {"released before the claim arrives",
       {WithKind(kReleased, west), west},
       ClaimDecisionKind::kAppend,
       ClaimRefusal::kNone},
      {"released claim arrives again",
       {west, WithKind(kReleased, west), west},
       ClaimDecisionKind::kAppend,
       ClaimRefusal::kNone},
      {"release of a claim that lost",
       {gone, west, WithKind(kReleased, west)},
       ClaimDecisionKind::kRefuse,
       ClaimRefusal::kHolderGone},
      {"lost claim arrives again after the winner's release",
       {gone, west, WithKind(kReleased, gone), west},
       ClaimDecisionKind::kAppend,
       ClaimRefusal::kNone},
      {"claimed anew after a release",
       {gone, WithKind(kReleased, gone), second},
       ClaimDecisionKind::kAskHolder,
       ClaimRefusal::kNone},
      {"late release of the first claim",
       {gone, WithKind(kReleased, gone), second, WithKind(kReleased, gone)},
       ClaimDecisionKind::kAskHolder,
       ClaimRefusal::kNone},
      {"done of another claim",
       {gone, WithKind(kDone, second)},
       ClaimDecisionKind::kRefuse,
       ClaimRefusal::kHolderGone},
  };
  for (const HeldCase& c : cases) {
    CAPTURE(c.name);
    ClaimTable table = MakeTable(kEast);
    for (const ClaimRecord& record : c.records) table.Apply(record, kStart);
    const ClaimDecision decision = BeginClaimAt(&table, "e-9");
    CHECK(decision.kind == c.kind);
    CHECK(decision.refusal == c.refusal);
  }
}

struct TimeCase {
  const char* name;
  Duration key_age;
  // Age of the oldest known record; nullopt when the whole stream is known.
  std::optional<Duration> known_history;
  bool caught_up;
  bool log_available;
  ClaimRefusal refusal;
};

TEST_CASE("keys outside the window or the known history") {
  const std::vector<TimeCase> cases = {
      {"fresh", seconds(0), std::nullopt, true, true, ClaimRefusal::kNone},
      {"just inside", minutes(15), std::nullopt, true, true,
       ClaimRefusal::kNone},
      {"too old", minutes(15) + seconds(1), std::nullopt, true, true,
       ClaimRefusal::kKeyExpired},
      {"a little ahead", -seconds(60), std::nullopt, true, true,
       ClaimRefusal::kNone},
      {"too far ahead", -seconds(61), std::nullopt, true, true,
       ClaimRefusal::kKeyTimeAhead},
      {"older than the known history", minutes(5), minutes(5), true, true,
       ClaimRefusal::kKeyNotRemembered},
      {"claims may be older than the known history", minutes(5),
       minutes(5) + seconds(89), true, true, ClaimRefusal::kKeyNotRemembered},
      {"within the known history", minutes(5), minutes(5) + seconds(91), true,
       true, ClaimRefusal::kNone},
      {"not caught up", seconds(0), std::nullopt, false, true,
       ClaimRefusal::kNotCaughtUp},
      {"log down", seconds(0), std::nullopt, true, false,
       ClaimRefusal::kLogDown},
  };
  for (const TimeCase& c : cases) {
    CAPTURE(c.name);
    ClaimTableSettings settings;
    settings.self = kEast;
    ClaimTable table(settings);
    if (c.caught_up) table.MarkCaughtUp();
    if (c.known_history) {
      table.HandleGap(kStart);
      ClaimRecord other = ClaimOf("w-1", kWest, kStart - *c.known_history);
      other.key = "other";
      table.Apply(other, kStart - *c.known_history);
    }
    const ClaimDecision decision = table.BeginClaim(
        RequestOf("e-1", kStart - c.key_age), kStart, c.log_available);
    CHECK(decision.refusal == c.refusal);
  }
}

TEST_CASE("two entries claim the same key: the first in the log wins") {
  ClaimTable east = MakeTable(kEast);
  ClaimTable west = MakeTable(kWest);
  const ClaimRecord first = BeginClaimAt(&west, "w-1").record;
  const ClaimRecord second = BeginClaimAt(&east, "e-1").record;
  CHECK_FALSE(west.MaySend("w-1"));

  CHECK(west.Apply(first, kStart)->kind == ClaimEventKind::kWon);
  CHECK_FALSE(west.Apply(second, kStart));
  CHECK_FALSE(east.Apply(first, kStart));
  CHECK(east.Apply(second, kStart)->kind == ClaimEventKind::kLost);

  CHECK(west.MaySend("w-1"));
  CHECK_FALSE(east.MaySend("e-1"));
  CHECK(BeginClaimAt(&east, "e-2").kind == ClaimDecisionKind::kAskHolder);
}

TEST_CASE("a claim whose append got no reply is decided by reading the log") {
  ClaimTable table = MakeTable(kEast);
  const ClaimRecord claim = BeginClaimAt(&table, "e-1").record;
  CHECK_FALSE(table.MaySend("e-1"));
  CHECK(table.Apply(claim, kStart)->kind == ClaimEventKind::kWon);
  // A second delivery of the record changes nothing.
  CHECK_FALSE(table.Apply(claim, kStart));
  CHECK(table.MaySend("e-1"));
}

TEST_CASE("a claim released before it is read from the log is never sent") {
  ClaimTable table = MakeTable(kEast);
  const ClaimRecord claim = BeginClaimAt(&table, "e-1").record;
  const auto release = table.Release("e-1");
  REQUIRE(release);
  CHECK_FALSE(table.Apply(claim, kStart));
  CHECK_FALSE(table.MaySend("e-1"));
  CHECK(BeginClaimAt(&table, "e-2").refusal == ClaimRefusal::kBeingReleased);
  table.Apply(*release, kStart);
  CHECK(BeginClaimAt(&table, "e-3").kind == ClaimDecisionKind::kAppend);
}

TEST_CASE("a paused holder may not send what it has released") {
  ClaimTable table = MakeTable(kEast);
  const ClaimRecord claim = BeginClaimAt(&table, "e-1").record;
  table.Apply(claim, kStart);
  REQUIRE(table.MaySend("e-1"));
  const auto release = table.Release("e-1");
  CHECK_FALSE(table.MaySend("e-1"));
  table.Apply(*release, kStart);
  CHECK_FALSE(table.MaySend("e-1"));
}

TEST_CASE("a claim of a paused, unreachable holder stays in force") {
  ClaimTable west = MakeTable(kWest);
  west.Apply(ClaimOf("e-1", kEast), kStart);
  west.SetReachableEntries({kWest});
  CHECK(BeginClaimAt(&west, "w-1", kStart + minutes(14)).refusal ==
        ClaimRefusal::kHolderGone);
}

TEST_CASE("repeats at the holder") {
  ClaimTable table = MakeTable(kEast);
  const ClaimRecord claim = BeginClaimAt(&table, "e-1").record;
  SUBCASE("still pending") {
    CHECK(BeginClaimAt(&table, "e-2").claim_id == "e-1");
    const ClaimRequest other =
        RequestOf("e-3", kStart, DigestOf("another body"));
    CHECK(table.BeginClaim(other, kStart, true).refusal ==
          ClaimRefusal::kBodyDiffers);
  }
  SUBCASE("never appended") {
    table.ForgetUnappended("e-1");
    CHECK(BeginClaimAt(&table, "e-2").kind == ClaimDecisionKind::kAppend);
  }
  SUBCASE("won") {
    table.Apply(claim, kStart);
    SUBCASE("running") {
      CHECK(BeginClaimAt(&table, "e-2").kind == ClaimDecisionKind::kJoin);
    }
    SUBCASE("answered") {
      CHECK(table.Finish("e-1", 200)->kind == ClaimRecordKind::kDone);
      CHECK(BeginClaimAt(&table, "e-2").kind ==
            ClaimDecisionKind::kAnsweredHere);
      CHECK_FALSE(table.MaySend("e-1"));
    }
    SUBCASE("unknown") {
      table.FinishUnknown("e-1");
      CHECK(BeginClaimAt(&table, "e-2").refusal ==
            ClaimRefusal::kOutcomeUnknown);
      CHECK_FALSE(table.Release("e-1"));
    }
    SUBCASE("another body") {
      const ClaimRequest other =
          RequestOf("e-3", kStart, DigestOf("another body"));
      CHECK(table.BeginClaim(other, kStart, true).refusal ==
            ClaimRefusal::kBodyDiffers);
    }
  }
}

TEST_CASE("keys expire by the log's clock when no claim on them can win") {
  ClaimTable table = MakeTable(kWest);
  table.Apply(ClaimOf("e-1", kEast), kStart);
  ClaimRecord other = ClaimOf("e-2", kEast, kStart + minutes(16));
  other.key = "other";
  const Duration retention = table.retention();
  CHECK(retention == minutes(17));
  table.Apply(other, kStart + retention);
  CHECK(table.key_count() == 2);
  // A claim whose append was delayed for the whole window.
  table.Apply(ClaimOf("w-1", kWest), kStart + retention + seconds(1));
  CHECK(table.key_count() == 1);
}

TEST_CASE("a key claimed again does not expire with the released claim") {
  ClaimTable table = MakeTable(kWest);
  const ClaimRecord first = ClaimOf("e-1", kEast);
  table.Apply(first, kStart);
  table.Apply(WithKind(ClaimRecordKind::kReleased, first), kStart);
  table.Apply(ClaimOf("e-2", kEast), kStart + minutes(10));
  ClaimRecord other = ClaimOf("e-3", kEast, kStart + minutes(16));
  other.key = "other";
  table.Apply(other, kStart + table.retention() + seconds(1));
  CHECK(table.key_count() == 2);
}

TEST_CASE("a delayed claim is lost by the log's clock") {
  ClaimTable table = MakeTable(kEast);
  const ClaimRecord claim = BeginClaimAt(&table, "e-1").record;
  const auto event = table.Apply(claim, kStart + minutes(16));
  REQUIRE(event);
  CHECK(event->kind == ClaimEventKind::kLost);
  CHECK(event->refusal == ClaimRefusal::kKeyExpired);
}

TEST_CASE("a claim does not win after a gap that may hide an earlier claim") {
  ClaimTable table = MakeTable(kEast);
  const ClaimRecord claim = BeginClaimAt(&table, "e-1").record;
  table.HandleGap(kStart);
  const auto event = table.Apply(claim, kStart);
  REQUIRE(event);
  CHECK(event->kind == ClaimEventKind::kLost);
  CHECK(event->refusal == ClaimRefusal::kKeyNotRemembered);
  CHECK(event->release);
  CHECK_FALSE(table.MaySend("e-1"));
}

TEST_CASE("the number of keys is bounded") {
  ClaimTableSettings settings;
  settings.self = kEast;
  settings.max_keys = 2;
  ClaimTable table(settings);
  table.MarkCaughtUp();
  ClaimRequest request = RequestOf("e-1");
  for (const char* key : {"a", "b"}) {
    request.key = key;
    request.claim_id = key;
    CHECK(table.BeginClaim(request, kStart, true).kind ==
          ClaimDecisionKind::kAppend);
  }
  request.key = "c";
  CHECK(table.BeginClaim(request, kStart, true).refusal ==
        ClaimRefusal::kTableFull);
}

TEST_CASE("records are restored from their JSON form") {
  for (const auto kind : {ClaimRecordKind::kClaim, ClaimRecordKind::kReleased,
                          ClaimRecordKind::kDone}) {
    ClaimRecord record = WithKind(kind, ClaimOf("e-1", kEast));
    record.status = 201;
    Error error;
    const auto read = ParseClaimRecord(ToJson(record), &error);
    REQUIRE(read);
    CHECK(read->kind == kind);
    CHECK(read->claim_id == "e-1");
    CHECK(read->holder == kEast);
    if (kind == ClaimRecordKind::kClaim) CHECK(read->body_digest == kBody);
    Json broken = ToJson(record);
    broken.erase("incarnation");
    CHECK_FALSE(ParseClaimRecord(broken, &error));
    CHECK(error.step == "read claim record");
  }
}

}  // namespace
}  // namespace thornplank
