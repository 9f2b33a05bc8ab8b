// Ejection of executors and their reinstatement.
#include "routing/executor_health.h"

#include <doctest/doctest.h>

#include <string>

#include "routing_fixtures.h"

namespace thornplank {
namespace {

using routing_test::At;
using routing_test::MakeResult;
using std::chrono::milliseconds;

PeerHealth GoodPeers() {
  PeerHealth peers;
  peers.typical_latency = milliseconds(10);
  peers.last_answer = At(1000000);
  return peers;
}

TEST_CASE("outcomes that eject an executor") {
  // One letter per attempt: a answered, f failed, n not sent, u answer lost,
  // t timed out, s timed out after too short a time to be evidence, r refused.
  struct Row {
    std::string name;
    const char* outcomes;
    double peers_failing;
    bool may_eject;
    bool out;
  };
  const Row rows[] = {
      {"answers", "aaaaaaaaaa", 0, true, false},
      {"fails fast", "afff", 0, true, true},
      {"occasional failures", "afafafafaf", 0, true, false},
      {"more failures than its peers", "ffaffaffaffaffaffaffa", 0, true, true},
      {"all fail alike", "ffffffffff", 0.9, true, false},
      {"too many are ejected already", "ffffffffff", 0, false, false},
      {"black hole", "att", 0, true, true},
      {"deadlines too short", "ssssssssss", 0, true, false},
      {"unreachable", "nnn", 0.9, false, true},
      {"refusals do not count as failures", "rrrrrrrrrr", 0, true, false},
      {"lost answers", "uuu", 0, true, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ExecutorHealth health;
    PeerHealth peers = GoodPeers();
    peers.failure_rate = row.peers_failing;
    peers.may_eject = row.may_eject;
    bool out = false;
    for (char letter : std::string(row.outcomes)) {
      AttemptResult result = MakeResult(AttemptOutcome::kUnknown, 100);
      switch (letter) {
        case 'a':
          result = MakeResult(AttemptOutcome::kAnswered);
          break;
        case 'f':
          result = MakeResult(AttemptOutcome::kFailed, 1);
          break;
        case 'n':
          result = MakeResult(AttemptOutcome::kNotSent, 0);
          break;
        case 'r':
          result = MakeResult(AttemptOutcome::kRefusedNotRun, 1);
          break;
        case 's':
          result = MakeResult(AttemptOutcome::kUnknown, 5);
          break;
        default:
          break;
      }
      const bool timed_out = letter == 't' || letter == 's';
      out = out || health.Record(result, timed_out, peers, At(0)).has_value();
    }
    CHECK(out == row.out);
  }
}

TEST_CASE("silence and slowness are judged relative to peers") {
  struct Row {
    std::string name;
    int latency_ms;
    int oldest_age_ms;
    bool answered_since;
    bool peers_answer;
    bool may_eject;
    bool out;
  };
  const Row rows[] = {
      {"as fast as its peers", 10, 5, false, true, true, false},
      {"far slower", 200, 5, false, true, true, true},
      {"far slower, too many ejected", 200, 5, false, true, false, false},
      {"silent", 10, 2000, false, true, true, true},
      {"one long request among answers", 10, 2000, true, true, true, false},
      {"all are silent", 10, 2000, false, false, true, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Time now = At(5000);
    const Time oldest = now - milliseconds(row.oldest_age_ms);
    PeerHealth peers = GoodPeers();
    peers.may_eject_for_latency = row.may_eject;
    peers.last_answer = row.peers_answer ? now : At(0);
    ExecutorHealth health;
    const Time answered = row.answered_since ? now : At(1);
    for (int i = 0; i < 20; ++i) {
      health.Record(MakeResult(AttemptOutcome::kAnswered, row.latency_ms),
                    false, peers, answered);
    }
    CHECK(health.CheckResponsiveness(oldest, peers, now).has_value() ==
          row.out);
  }
}

TEST_CASE("an ejected executor is reinstated by a probe and a slow start") {
  ExecutorHealth health;
  health.Eject(false, At(0));
  CHECK(health.SlotLimit(8) == 0);
  const Duration first_stay = health.probe_time() - At(0);
  health.BeginProbe(At(2000));
  CHECK(health.SlotLimit(8) == 0);
  SUBCASE("a lost probe lengthens the ejection") {
    CHECK_FALSE(health.EndProbe(false, At(2000)));
    CHECK(health.SlotLimit(8) == 0);
    CHECK(health.probe_time() - At(2000) == 2 * first_stay);
  }
  SUBCASE("answers raise the limit") {
    CHECK(health.EndProbe(true, At(2000)));
    for (int expected : {1, 2, 4, 8}) {
      CHECK(health.SlotLimit(8) == expected);
      health.Record(MakeResult(AttemptOutcome::kAnswered), false, GoodPeers(),
                    At(2000));
    }
    CHECK(health.state() == ExecutorHealth::State::kSlowStart);
    health.Record(MakeResult(AttemptOutcome::kAnswered), false, GoodPeers(),
                  At(2000));
    CHECK(health.state() == ExecutorHealth::State::kActive);
  }
  SUBCASE("one failure in slow start ejects it again, for longer") {
    CHECK(health.EndProbe(true, At(2000)));
    CHECK(health
              .Record(MakeResult(AttemptOutcome::kFailed), false, GoodPeers(),
                      At(2000))
              .has_value());
    health.Eject(false, At(2000));
    CHECK(health.probe_time() - At(2000) == 2 * first_stay);
  }
}

}  // namespace
}  // namespace thornplank
