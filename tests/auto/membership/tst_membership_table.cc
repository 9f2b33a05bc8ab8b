// States of members after given sequences of heartbeats, link events, lists and
// ticks; ownership of keys.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "membership/membership_table.h"

namespace thornplank {
namespace {

// An event about the peer "b", or none until the given time (kAdvance).
struct Step {
  enum Kind { kHeartbeat, kLinkUp, kLinkDown, kListed, kUnlisted, kAdvance };
  int at_ms;
  Kind kind;
  const char* incarnation = "1";
  uint64_t sequence = 0;
  bool ready = true;
  bool leaving = false;
};

Time At(int milliseconds) { return Time{} + Milliseconds(milliseconds); }

// Feeds steps about the peer "b" to the table of entry "a", which gets a tick
// every 500 ms up to the time of each step, except for kLinkUp.
class TableDriver {
 public:
  TableDriver() : table_(MembershipSettings(), {"a", "1", "north"}, At(0)) {
    table_.SetOwnReadiness(true, false, At(0));
  }

  void Feed(const Step& step) {
    while (step.kind != Step::kLinkUp && last_tick_ms_ + 500 <= step.at_ms) {
      last_tick_ms_ += 500;
      table_.HandleTick(At(last_tick_ms_));
    }
    const MemberIdentity b{"b", step.incarnation, "south"};
    switch (step.kind) {
      case Step::kHeartbeat:
        table_.HandleHeartbeat({b, step.sequence, step.ready, step.leaving},
                               At(step.at_ms));
        break;
      case Step::kLinkUp:
        table_.HandleLinkUp(b, At(step.at_ms));
        break;
      case Step::kLinkDown:
        table_.HandleLinkDown(b);
        break;
      case Step::kListed:
        table_.SetListedNames({"a", "b"});
        break;
      case Step::kUnlisted:
        table_.SetListedNames({"a"});
        break;
      case Step::kAdvance:
        break;
    }
  }

  MembershipTable& table() { return table_; }
  const Member& b() const { return table_.members().at("b"); }

 private:
  MembershipTable table_;
  int last_tick_ms_ = 0;
};

constexpr auto kHeartbeat = Step::kHeartbeat;
constexpr auto kAdvance = Step::kAdvance;

TEST_CASE("the state of a peer follows from heartbeats, links and the list") {
  const struct {
    const char* what;
    std::vector<Step> steps;
    MemberState state;
  } cases[] = {
      {"linked only", {{0, Step::kLinkUp}}, MemberState::kJoining},
      {"heard, not ready",
       {{0, kHeartbeat, "1", 1, false}},
       MemberState::kJoining},
      {"heard", {{0, kHeartbeat, "1", 1}}, MemberState::kAlive},
      {"leaving",
       {{0, kHeartbeat, "1", 1}, {500, kHeartbeat, "1", 2, true, true}},
       MemberState::kLeaving},
      {"silent",
       {{0, kHeartbeat, "1", 1}, {2000, kAdvance}},
       MemberState::kSuspect},
      {"silent for a long time",
       {{0, kHeartbeat, "1", 1}, {5500, kAdvance}},
       MemberState::kDead},
      {"link down",
       {{0, kHeartbeat, "1", 1}, {100, Step::kLinkDown}, {1000, kAdvance}},
       MemberState::kSuspect},
      {"link down, heard again on a new link",
       {{0, kHeartbeat, "1", 1},
        {100, Step::kLinkDown},
        {1000, kAdvance},
        {1100, Step::kLinkUp},
        {1100, kHeartbeat, "1", 2}},
       MemberState::kAlive},
      {"paused and resumed",
       {{0, kHeartbeat, "1", 1}, {9000, kAdvance}, {9100, kHeartbeat, "1", 2}},
       MemberState::kAlive},
      {"a delayed duplicate of an old heartbeat",
       {{0, kHeartbeat, "1", 7}, {9000, kAdvance}, {9100, kHeartbeat, "1", 7}},
       MemberState::kDead},
      {"restarted under the same name",
       {{0, kHeartbeat, "1", 9}, {500, kHeartbeat, "2", 1, false}},
       MemberState::kJoining},
      {"the old incarnation resumes after the restart",
       {{0, kHeartbeat, "1", 9},
        {500, kHeartbeat, "2", 1, false},
        {600, kHeartbeat, "1", 10, true}},
       MemberState::kJoining},
      {"closing the old link does not affect the new incarnation",
       {{0, kHeartbeat, "1", 9},
        {100, kHeartbeat, "2", 1},
        {200, Step::kLinkDown, "1"},
        {1300, kAdvance}},
       MemberState::kAlive},
      {"heard, but off the list",
       {{0, kHeartbeat, "1", 1}, {100, Step::kUnlisted}, {1000, kAdvance}},
       MemberState::kAlive},
      {"silent, but on the list",
       {{0, kHeartbeat, "1", 1}, {100, Step::kListed}, {5500, kAdvance}},
       MemberState::kDead},
      {"silent and off the list: dead sooner",
       {{0, kHeartbeat, "1", 1}, {100, Step::kUnlisted}, {3500, kAdvance}},
       MemberState::kDead},
      {"silent and on the list: not dead yet",
       {{0, kHeartbeat, "1", 1}, {100, Step::kListed}, {3500, kAdvance}},
       MemberState::kSuspect},
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.what);
    TableDriver driver;
    for (const Step& step : entry.steps) driver.Feed(step);
    CHECK(ToString(driver.b().state) == ToString(entry.state));
  }
}

TEST_CASE("a pause of this process itself does not make a peer suspect") {
  TableDriver driver;
  driver.Feed({0, kHeartbeat, "1", 1});
  driver.Feed({500, kAdvance});
  CHECK(driver.table().HandleTick(At(60000)).empty());
  CHECK(driver.table().HandleTick(At(60500)).empty());
  // Only the silence before and after the pause counts: 500 and 1000 ms.
  CHECK(driver.table().HandleTick(At(61000)).size() == 1);
}

TEST_CASE("uneven heartbeats lengthen the time until suspicion") {
  TableDriver driver;
  int at = 0;
  uint64_t sequence = 0;
  for (int i = 0; i < 20; ++i) {
    at += i % 2 == 0 ? 100 : 1200;
    driver.Feed({at, kHeartbeat, "1", ++sequence});
  }
  driver.Feed({at + 2000, kAdvance});
  CHECK(ToString(driver.b().state) == "alive");
  driver.Feed({at + 4600, kAdvance});
  CHECK(ToString(driver.b().state) == "suspect");
}

TEST_CASE("the two sides of a network partition find each other again") {
  std::map<std::string, MembershipTable> tables;
  const std::vector<std::string> names = {"a", "b", "c", "d"};
  for (const std::string& name : names) {
    tables.emplace(
        name, MembershipTable(MembershipSettings(), {name, "1", ""}, At(0)));
    tables.at(name).SetOwnReadiness(true, false, At(0));
  }
  const auto side = [](const std::string& name) { return name < "c"; };
  for (int tick = 1; tick <= 60; ++tick) {
    const bool partitioned = tick > 10 && tick <= 40;
    const Time now = At(tick * 500);
    for (const std::string& from : names) {
      for (const std::string& to : names) {
        if (from == to || (partitioned && side(from) != side(to))) continue;
        tables.at(to).HandleHeartbeat(
            {{from, "1", ""}, static_cast<uint64_t>(tick), true, false}, now);
      }
    }
    for (auto& [name, table] : tables) table.HandleTick(now);
    if (tick != 40 && tick != 60) continue;
    CAPTURE(tick);
    const std::vector<std::string> near = {"a", "b"};
    const std::vector<std::string> far = {"c", "d"};
    for (const std::string& name : names) {
      const auto& half = side(name) ? near : far;
      CHECK(tables.at(name).alive() == (tick == 40 ? half : names));
    }
  }
}

TEST_CASE("the loss of a member moves only the keys that it owned") {
  MembershipTable table(MembershipSettings(), {"a", "1", ""}, At(0));
  CHECK_FALSE(table.OwnerOf("key"));
  table.SetOwnReadiness(true, false, At(0));
  for (const char* name : {"b", "c", "d"}) {
    table.HandleHeartbeat({{name, "1", ""}, 1, true, false}, At(0));
  }
  std::map<std::string, std::string> before;
  std::map<std::string, int> owned;
  for (int i = 0; i < 400; ++i) {
    const std::string key = "key-" + std::to_string(i);
    before[key] = table.OwnerOf(key).value_or("");
    ++owned[before[key]];
  }
  for (const char* name : {"a", "b", "c", "d"}) CHECK(owned[name] > 60);
  table.HandleHeartbeat({{"c", "1", ""}, 2, true, true}, At(500));
  for (const auto& [key, owner] : before) {
    if (owner == "c") {
      CHECK(table.OwnerOf(key) != "c");
    } else {
      CHECK(table.OwnerOf(key) == owner);
    }
  }
}

}  // namespace
}  // namespace thornplank
