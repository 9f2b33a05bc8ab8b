// The choice between two links to a peer, and when an address is dialled again.
#include <doctest/doctest.h>

#include <set>
#include <string>

#include "protocol/dialer.h"
#include "protocol/peer_link.h"

namespace thornplank {
namespace {

constexpr Milliseconds kStaleAfter{200};

TEST_CASE("one of two links to the same peer stays") {
  const struct {
    const char* what;
    const char* own_name;
    bool candidate_dialed;
    bool existing_dialed;
    const char* existing_incarnation;
    Milliseconds silence;
    bool takes_over;
  } cases[] = {
      {"lower name dialled the new one", "a", true, false, "1", {}, true},
      {"lower name dialled the old one", "a", false, true, "1", {}, false},
      {"peer is lower and dialled the new one",
       "z",
       false,
       true,
       "1",
       {},
       true},
      {"peer is lower and dialled the old one",
       "z",
       true,
       false,
       "1",
       {},
       false},
      {"opened anew from the same side", "a", false, false, "1", {}, true},
      {"the old one is stale", "a", false, true, "1", Milliseconds(300), true},
      {"the peer restarted", "a", false, true, "0", {}, true},
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.what);
    const Time now{Milliseconds(10000)};
    PeerLink candidate;
    candidate.peer = {"m", "1", ""};
    candidate.dialed_address = entry.candidate_dialed ? "x" : "";
    PeerLink existing;
    existing.peer = {"m", entry.existing_incarnation, ""};
    existing.dialed_address = entry.existing_dialed ? "x" : "";
    existing.last_received_at = now - entry.silence;
    CHECK(TakesOver(candidate, existing, entry.own_name, now, kStaleAfter) ==
          entry.takes_over);
  }
}

TEST_CASE("the delay of a failing address doubles up to a limit, with jitter") {
  Dialer dialer(Milliseconds(100), Milliseconds(400), "seed");
  dialer.SetAddresses({"x"});
  Time now{};
  const Milliseconds delays[] = {Milliseconds(100), Milliseconds(200),
                                 Milliseconds(400), Milliseconds(400)};
  for (const Milliseconds delay : delays) {
    CAPTURE(delay.count());
    REQUIRE(dialer.TakeDue({}, now).size() == 1);
    CHECK(dialer.TakeDue({}, now).empty());
    dialer.HandleClosed("x", now);
    CHECK(dialer.TakeDue({}, now + delay / 2 - Milliseconds(1)).empty());
    now += delay;
  }
}

TEST_CASE("an address is not dialled while its peer is linked") {
  Dialer dialer(Milliseconds(100), Milliseconds(400), "seed");
  dialer.SetAddresses({"x"});
  CHECK(dialer.TakeDue({}, Time{}).size() == 1);
  dialer.SetPeerName("x", "b");
  dialer.HandleClosed("x", Time{});
  const Time later = Time{} + std::chrono::seconds(1);
  CHECK(dialer.TakeDue({"b"}, later).empty());
  dialer.HandleLinkLost("b", later);
  CHECK(dialer.TakeDue({}, later + Milliseconds(100)).size() == 1);
}

TEST_CASE("an address in use is kept while it is missing from the list") {
  Dialer dialer(Milliseconds(100), Milliseconds(400), "seed");
  dialer.SetAddresses({"x"});
  CHECK(dialer.TakeDue({}, Time{}).size() == 1);
  dialer.SetAddresses({});
  dialer.SetAddresses({"x"});
  CHECK(dialer.TakeDue({}, Time{} + std::chrono::seconds(1)).empty());
  dialer.SetAddresses({});
  dialer.HandleClosed("x", Time{});
  CHECK(dialer.TakeDue({}, Time{} + std::chrono::seconds(1)).empty());
}

}  // namespace
}  // namespace thornplank
