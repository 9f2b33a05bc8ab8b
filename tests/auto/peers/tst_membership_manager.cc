// MembershipManagers connected by real meshes: member states, heartbeat
// sections, and snapshots from peers.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "../protocol/mesh_fixture.h"
#include "peers/membership_manager.h"
#include "protocol/peer_mesh.h"

namespace thornplank {
namespace {

struct Entry {
  Entry(boost::asio::io_context& io, const std::string& name,
        const std::string& incarnation)
      : mesh(io, Settings(name, incarnation)),
        members(io, mesh,
                {name,
                 incarnation,
                 "domain",
                 {Milliseconds(50)},
                 Milliseconds(2000)}) {}

  static PeerMeshSettings Settings(const std::string& name,
                                   const std::string& incarnation) {
    PeerMeshSettings settings = FastSettings(name);
    settings.incarnation = incarnation;
    return settings;
  }

  void Start() {
    REQUIRE(mesh.Start(nullptr));
    members.Start();
    members.SetReady(true);
  }

  std::string alive() const {
    std::string names;
    for (const MemberView& view : members.alive_members()) names += view.name;
    return names;
  }

  PeerMesh mesh;
  MembershipManager members;
};

using Entries = std::vector<std::unique_ptr<Entry>>;

void Link(const Entries& entries) {
  std::vector<std::string> addresses;
  for (const auto& entry : entries) addresses.push_back(entry->mesh.address());
  for (const auto& entry : entries) entry->mesh.SetPeers(addresses);
}

TEST_CASE("entries notice when others join, leave, die and return") {
  IoThreads threads;
  Entries entries;
  for (const char* name : {"a", "b", "c"}) {
    entries.push_back(std::make_unique<Entry>(threads.io(), name, "1"));
  }
  std::mutex mutex;
  std::vector<std::string> reported_changes;
  entries[0]->members.AddChangeHandler([&](const MembershipChange& change) {
    const std::lock_guard lock(mutex);
    if (change.name != "c") return;
    reported_changes.push_back(change.incarnation +
                               std::string(ToString(change.to)));
  });
  const JoinAtExit join(threads);
  for (const auto& entry : entries) entry->Start();
  Link(entries);
  for (const auto& entry : entries) {
    CHECK(WaitUntil([&] { return entry->alive() == "abc"; }));
  }
  CHECK(entries[0]->members.OwnerOf("key") ==
        entries[1]->members.OwnerOf("key"));

  entries[1]->members.SetLeaving();
  CHECK(WaitUntil([&] { return entries[0]->alive() == "ac"; }));
  entries[2].reset();
  CHECK(WaitUntil([&] { return entries[0]->alive() == "a"; }));
  CHECK(WaitUntil([&] {
    const std::lock_guard lock(mutex);
    return !reported_changes.empty() && reported_changes.back() == "1dead";
  }));
  entries[2] = std::make_unique<Entry>(threads.io(), "c", "2");
  entries[2]->Start();
  Link(entries);
  CHECK(WaitUntil([&] { return entries[0]->alive() == "ac"; }));
  CHECK(WaitUntil([&] {
    const std::lock_guard lock(mutex);
    return reported_changes.back() == "2alive";
  }));
}

TEST_CASE("heartbeats contain the sections of other components") {
  IoThreads threads;
  Entries entries;
  std::mutex mutex;
  std::map<std::string, Json> seen;
  const JoinAtExit join(threads);
  for (const char* name : {"a", "b"}) {
    entries.push_back(std::make_unique<Entry>(threads.io(), name, "1"));
    entries.back()->members.AddHeartbeatSection(
        "shares",
        [name] {
          return Json{{"of", name}};
        },
        [&](const std::string& peer, const Json& section) {
          const std::lock_guard lock(mutex);
          seen[peer] = section;
        });
    entries.back()->Start();
  }
  Link(entries);
  CHECK(WaitUntil([&] {
    const std::lock_guard lock(mutex);
    return seen["a"] == Json{{"of", "a"}} && seen["b"] == Json{{"of", "b"}};
  }));
}

TEST_CASE("a joining entry takes the snapshot of the most advanced peer") {
  IoThreads threads;
  Entries entries;
  // The next offset of each peer in stream "jobs", and whether it has a
  // snapshot.
  const struct {
    const char* name;
    int64_t offset;
    bool gives;
  } peers[] = {{"b", 50, true}, {"c", 90, false}, {"d", 70, true}};
  for (const auto& peer : peers) {
    entries.push_back(std::make_unique<Entry>(threads.io(), peer.name, "1"));
    entries.back()->members.SetOffsetsProducer([&peer] {
      return Json{{"jobs", peer.offset}};
    });
    entries.back()->members.AddSnapshotProducer("jobs", [&peer] {
      return peer.gives ? Json{{"from", peer.name}} : Json();
    });
  }
  entries.push_back(std::make_unique<Entry>(threads.io(), "a", "1"));
  const JoinAtExit join(threads);
  for (const auto& entry : entries) entry->Start();
  const MembershipManager& newcomer = entries.back()->members;
  Link(entries);
  REQUIRE(WaitUntil([&] {
    int known = 0;
    for (const MemberView& view : newcomer.members()) {
      if (view.offsets.contains("jobs")) ++known;
    }
    return known == 3;
  }));
  const struct {
    const char* stream;
    int64_t min_offset;
    const char* outcome;
  } cases[] = {
      {"jobs", 0, "{\"from\":\"d\"}"},
      {"jobs", 60, "{\"from\":\"d\"}"},
      {"jobs", 80, "it has no snapshot"},
      {"jobs", 100, "no peer has folded this stream"},
      {"claims", 0, "it has no snapshot"},
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.stream);
    CAPTURE(entry.min_offset);
    std::promise<std::string> outcome;
    entries.back()->members.FetchSnapshot(
        entry.stream, entry.min_offset,
        [&](std::optional<Json> snapshot, const Error& error) {
          outcome.set_value(snapshot ? snapshot->dump() : error.reason);
        });
    // Does not block for ever: each peer's answer has a timeout.
    CHECK(outcome.get_future().get() == entry.outcome);
  }
}

}  // namespace
}  // namespace thornplank
