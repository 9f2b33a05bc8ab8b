// Who is taken for alive, by tables of what was seen.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "membership/membership_table.h"

namespace thornplank {
namespace {

// One thing that happens, at a time in milliseconds.
struct Step {
  enum Kind { kBeat, kLinkUp, kLinkDown, kListed, kUnlisted, kTicksTo };
  int at;
  Kind kind;
  const char* incarnation = "1";
  uint64_t sequence = 0;
  bool ready = true;
  bool leaving = false;
};

Time At(int milliseconds) { return Time{} + Milliseconds(milliseconds); }

// Feeds steps about the peer "b" to the table of "a", which ticks twice a
// second up to each step.
class Run {
 public:
  Run() : table_(MembershipSettings(), {"a", "1", "north"}, At(0)) {
    table_.SetOwnReadiness(true, false, At(0));
  }

  void Feed(const Step& step) {
    while (step.kind != Step::kLinkUp && tick_ + 500 <= step.at) {
      tick_ += 500;
      table_.HandleTick(At(tick_));
    }
    const MemberIdentity b{"b", step.incarnation, "south"};
    switch (step.kind) {
      case Step::kBeat:
        table_.HandleHeartbeat({b, step.sequence, step.ready, step.leaving},
                               At(step.at));
        break;
      case Step::kLinkUp:
        table_.HandleLinkUp(b, At(step.at));
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
      case Step::kTicksTo:
        break;
    }
  }

  MembershipTable& table() { return table_; }
  const Member& b() const { return table_.members().at("b"); }

 private:
  MembershipTable table_;
  int tick_ = 0;
};

constexpr auto kBeat = Step::kBeat;
constexpr auto kTicksTo = Step::kTicksTo;

TEST_CASE("the state of a peer follows what is seen of it") {
  const struct {
    const char* what;
    std::vector<Step> steps;
    MemberState state;
  } cases[] = {
      {"linked only", {{0, Step::kLinkUp}}, MemberState::kJoining},
      {"heard, not ready", {{0, kBeat, "1", 1, false}}, MemberState::kJoining},
      {"heard", {{0, kBeat, "1", 1}}, MemberState::kAlive},
      {"leaving",
       {{0, kBeat, "1", 1}, {500, kBeat, "1", 2, true, true}},
       MemberState::kLeaving},
      {"silent", {{0, kBeat, "1", 1}, {2000, kTicksTo}}, MemberState::kSuspect},
      {"silent for long",
       {{0, kBeat, "1", 1}, {5500, kTicksTo}},
       MemberState::kDead},
      {"link down",
       {{0, kBeat, "1", 1}, {100, Step::kLinkDown}, {1000, kTicksTo}},
       MemberState::kSuspect},
      {"link down, heard again on a new one",
       {{0, kBeat, "1", 1},
        {100, Step::kLinkDown},
        {1000, kTicksTo},
        {1100, Step::kLinkUp},
        {1100, kBeat, "1", 2}},
       MemberState::kAlive},
      {"frozen and thawed",
       {{0, kBeat, "1", 1}, {9000, kTicksTo}, {9100, kBeat, "1", 2}},
       MemberState::kAlive},
      {"a delayed repeat of an old heartbeat",
       {{0, kBeat, "1", 7}, {9000, kTicksTo}, {9100, kBeat, "1", 7}},
       MemberState::kDead},
      {"restarted under the same name",
       {{0, kBeat, "1", 9}, {500, kBeat, "2", 1, false}},
       MemberState::kJoining},
      {"the old incarnation thaws after the restart",
       {{0, kBeat, "1", 9},
        {500, kBeat, "2", 1, false},
        {600, kBeat, "1", 10, true}},
       MemberState::kJoining},
      {"the end of the old link does not touch the new incarnation",
       {{0, kBeat, "1", 9},
        {100, kBeat, "2", 1},
        {200, Step::kLinkDown, "1"},
        {1300, kTicksTo}},
       MemberState::kAlive},
      {"heard, but off the list",
       {{0, kBeat, "1", 1}, {100, Step::kUnlisted}, {1000, kTicksTo}},
       MemberState::kAlive},
      {"silent, but on the list",
       {{0, kBeat, "1", 1}, {100, Step::kListed}, {5500, kTicksTo}},
       MemberState::kDead},
      {"silent and off the list: dead sooner",
       {{0, kBeat, "1", 1}, {100, Step::kUnlisted}, {3500, kTicksTo}},
       MemberState::kDead},
      {"silent and on the list: not dead yet",
       {{0, kBeat, "1", 1}, {100, Step::kListed}, {3500, kTicksTo}},
       MemberState::kSuspect},
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.what);
    Run run;
    for (const Step& step : entry.steps) run.Feed(step);
    CHECK(ToString(run.b().state) == ToString(entry.state));
  }
}

TEST_CASE("a pause of this process itself makes no peer suspect") {
  Run run;
  run.Feed({0, kBeat, "1", 1});
  run.Feed({500, kTicksTo});
  CHECK(run.table().HandleTick(At(60000)).empty());
  CHECK(run.table().HandleTick(At(60500)).empty());
  // The silence before and after the pause counts: 500 and 1000 ms.
  CHECK(run.table().HandleTick(At(61000)).size() == 1);
}

TEST_CASE("uneven heartbeats widen the bound of suspicion") {
  Run run;
  int at = 0;
  uint64_t sequence = 0;
  for (int i = 0; i < 20; ++i) {
    at += i % 2 == 0 ? 100 : 1200;
    run.Feed({at, kBeat, "1", ++sequence});
  }
  run.Feed({at + 2000, kTicksTo});
  CHECK(ToString(run.b().state) == "alive");
  run.Feed({at + 4600, kTicksTo});
  CHECK(ToString(run.b().state) == "suspect");
}

TEST_CASE("both sides of a cut region find each other again") {
  std::map<std::string, MembershipTable> tables;
  const std::vector<std::string> names = {"a", "b", "c", "d"};
  for (const std::string& name : names) {
    tables.emplace(
        name, MembershipTable(MembershipSettings(), {name, "1", ""}, At(0)));
    tables.at(name).SetOwnReadiness(true, false, At(0));
  }
  const auto side = [](const std::string& name) { return name < "c"; };
  for (int tick = 1; tick <= 60; ++tick) {
    const bool cut = tick > 10 && tick <= 40;
    const Time now = At(tick * 500);
    for (const std::string& from : names) {
      for (const std::string& to : names) {
        if (from == to || (cut && side(from) != side(to))) continue;
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
