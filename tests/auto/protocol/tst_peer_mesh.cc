// PeerMesh on real sockets: one link per pair, replacement of failed links, and
// calls.
#include <doctest/doctest.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "mesh_fixture.h"
#include "protocol/peer_mesh.h"
#include "tcp_forwarder.h"

namespace thornplank {
namespace {

// Records the outcomes of calls in the order in which the calls ended.
class Outcomes {
 public:
  PeerMesh::CallCallback Recorder() {
    return [state = state_](std::optional<Json> body, const Error& error) {
      const std::lock_guard lock(state->mutex);
      state->outcomes.push_back(body ? body->dump() : error.reason);
    };
  }
  std::vector<std::string> all() const {
    const std::lock_guard lock(state_->mutex);
    return state_->outcomes;
  }

 private:
  struct State {
    std::mutex mutex;
    std::vector<std::string> outcomes;
  };
  // Shared with the callbacks of calls that end after the test.
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

void Echo(PeerMesh* mesh) {
  mesh->SetMessageHandler("echo",
                          [](const PeerIdentity&, const Message& message,
                             const PeerMesh::Reply& reply) {
                            if (reply) reply(message.body);
                          });
}

std::unique_ptr<PeerMesh> StartEcho(boost::asio::io_context& io,
                                    const PeerMeshSettings& settings) {
  auto mesh = std::make_unique<PeerMesh>(io, settings);
  Echo(mesh.get());
  REQUIRE(mesh->Start(nullptr));
  return mesh;
}

TEST_CASE("a wrong secret is refused, a right one is not") {
  IoThreads threads;
  const auto a = StartMesh(threads.io(), FastSettings("a"));
  PeerMeshSettings wrong = FastSettings("b");
  wrong.shared_secret = "guess";
  const auto b = StartMesh(threads.io(), wrong);
  const auto c = StartMesh(threads.io(), FastSettings("c"));
  const JoinAtExit join(threads);
  a->SetPeers({b->address()});
  b->SetPeers({a->address()});
  c->SetPeers({a->address()});
  CHECK(WaitUntil([&] { return HasPeer(*a, "c") && HasPeer(*c, "a"); }));
  // By then several hellos were exchanged.
  CHECK(WaitUntil([&] { return b->bytes_received() > 1000; }));
  CHECK_FALSE(HasPeer(*a, "b"));
  CHECK(b->connected_peers().empty());
}

TEST_CASE("both sides dial, the link of the lower name stays") {
  IoThreads threads;
  const auto a = StartEcho(threads.io(), FastSettings("a"));
  const auto b = StartEcho(threads.io(), FastSettings("b"));
  const auto to_a = std::make_shared<TcpForwarder>(threads.io());
  const auto to_b = std::make_shared<TcpForwarder>(threads.io());
  to_a->Start(a->address());
  to_b->Start(b->address());
  const JoinAtExit join(threads);
  a->SetPeers({to_b->address()});
  b->SetPeers({to_a->address()});
  CHECK(WaitUntil([&] {
    return to_a->accepted() > 0 && to_a->open() == 0 && to_b->open() == 1 &&
           HasPeer(*a, "b") && HasPeer(*b, "a");
  }));
  // Neither end dialled twice, so both chose the same link.
  CHECK(to_a->accepted() == 1);
  CHECK(to_b->accepted() == 1);
  Outcomes outcomes;
  a->Call("b", "echo", {{"n", 1}}, std::chrono::seconds(5),
          outcomes.Recorder());
  b->Call("a", "echo", {{"n", 1}}, std::chrono::seconds(5),
          outcomes.Recorder());
  CHECK(WaitUntil([&] { return outcomes.all().size() == 2; }));
  for (const std::string& outcome : outcomes.all()) {
    CHECK(outcome == "{\"n\":1}");
  }
}

TEST_CASE("a late reply is dropped, and no caller gets another's answer") {
  IoThreads threads;
  std::mutex mutex;
  std::vector<PeerMesh::Reply> held_replies;
  const auto b = std::make_unique<PeerMesh>(threads.io(), FastSettings("b"));
  b->SetMessageHandler("hold", [&](const PeerIdentity&, const Message&,
                                   const PeerMesh::Reply& reply) {
    const std::lock_guard lock(mutex);
    held_replies.push_back(reply);
  });
  Echo(b.get());
  REQUIRE(b->Start(nullptr));
  const auto a = StartMesh(threads.io(), FastSettings("a"));
  const JoinAtExit join(threads);
  a->SetPeers({b->address()});
  REQUIRE(WaitUntil([&] { return HasPeer(*a, "b"); }));

  Outcomes late;
  a->Call("b", "hold", Json::object(), Milliseconds(50), late.Recorder());
  REQUIRE(WaitUntil([&] { return late.all().size() == 1; }));
  CHECK(late.all()[0] == "timed out");
  Outcomes crossed;
  a->Call("b", "hold", Json::object(), std::chrono::seconds(30),
          crossed.Recorder());
  REQUIRE(WaitUntil([&] {
    const std::lock_guard lock(mutex);
    return held_replies.size() == 2;
  }));
  {
    const std::lock_guard lock(mutex);
    held_replies[0]({{"answer", "first"}});
    held_replies[1]({{"answer", "second"}});
    held_replies[1]({{"answer", "second again"}});
  }
  REQUIRE(WaitUntil([&] { return crossed.all().size() == 1; }));
  CHECK(crossed.all()[0] == "{\"answer\":\"second\"}");
  // On this link, the reply to this call follows all replies above.
  Outcomes last;
  a->Call("b", "echo", Json::object(), std::chrono::seconds(30),
          last.Recorder());
  REQUIRE(WaitUntil([&] { return last.all().size() == 1; }));
  CHECK(late.all().size() == 1);
  CHECK(crossed.all().size() == 1);
}

TEST_CASE("calls that cannot be sent or answered fail at once, with a reason") {
  IoThreads threads;
  PeerMeshSettings settings = FastSettings("a");
  settings.max_message_bytes = 1000;
  const auto a = StartMesh(threads.io(), settings);
  PeerMeshSettings other_settings = FastSettings("b");
  other_settings.max_message_bytes = 1000;
  const auto b = std::make_unique<PeerMesh>(threads.io(), other_settings);
  const JoinAtExit join(threads);
  b->SetMessageHandler("large", [](const PeerIdentity&, const Message&,
                                   const PeerMesh::Reply& reply) {
    reply({{"text", std::string(2000, 'x')}});
  });
  REQUIRE(b->Start(nullptr));
  a->SetPeers({b->address()});
  REQUIRE(WaitUntil([&] { return HasPeer(*a, "b"); }));
  const struct {
    const char* peer;
    const char* type;
    size_t size;
    const char* reason;
  } cases[] = {
      {"nobody", "echo", 10, "no link"},
      {"b", "echo", 2000, "too large, or too much is queued"},
      {"b", "unknown-type", 10, "no handler for unknown-type"},
      {"b", "large", 10,
       "the reply is too large, or the peer reads too slowly"},
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.reason);
    Outcomes outcomes;
    a->Call(entry.peer, entry.type, {{"x", std::string(entry.size, 'x')}},
            std::chrono::hours(1), outcomes.Recorder());
    REQUIRE(WaitUntil([&] { return outcomes.all().size() == 1; }));
    CHECK(outcomes.all()[0] == entry.reason);
  }
  CHECK_FALSE(a->Send("b", "echo", {{"x", std::string(2000, 'x')}}));
  CHECK_FALSE(a->Send("nobody", "echo", Json::object()));
}

TEST_CASE("a link that became silent is replaced and its calls fail") {
  IoThreads threads;
  const auto a = StartEcho(threads.io(), FastSettings("a"));
  const auto b = StartEcho(threads.io(), FastSettings("b"));
  const auto forwarder = std::make_shared<TcpForwarder>(threads.io());
  forwarder->Start(b->address());
  const JoinAtExit join(threads);
  a->SetPeers({forwarder->address()});
  REQUIRE(WaitUntil([&] { return HasPeer(*a, "b"); }));
  forwarder->SilenceExisting();
  Outcomes lost;
  a->Call("b", "echo", Json::object(), std::chrono::hours(1), lost.Recorder());
  REQUIRE(WaitUntil([&] { return lost.all().size() == 1; }));
  CHECK(lost.all()[0] == "the link was closed: silent");
  REQUIRE(WaitUntil([&] {
    return forwarder->accepted() >= 2 && HasPeer(*a, "b") && HasPeer(*b, "a");
  }));
  Outcomes outcomes;
  b->Call("a", "echo", Json::object(), std::chrono::seconds(5),
          outcomes.Recorder());
  CHECK(WaitUntil([&] { return outcomes.all().size() == 1; }));
  CHECK(outcomes.all()[0] == "{}");
}

TEST_CASE("a new incarnation replaces the old one, which is then refused") {
  IoThreads threads;
  std::mutex mutex;
  std::vector<std::string> changes;
  const auto a = std::make_unique<PeerMesh>(threads.io(), FastSettings("a"));
  a->SetLinkHandler([&](const PeerIdentity& peer, bool connected) {
    const std::lock_guard lock(mutex);
    changes.push_back((connected ? "+" : "-") + peer.incarnation);
  });
  REQUIRE(a->Start(nullptr));
  const auto old_b = StartMesh(threads.io(), FastSettings("b"));
  old_b->SetPeers({a->address()});
  REQUIRE(WaitUntil([&] { return HasPeer(*a, "b", "b-1"); }));
  PeerMeshSettings restarted = FastSettings("b");
  restarted.incarnation = "b-2";
  const auto new_b = StartMesh(threads.io(), restarted);
  const JoinAtExit join(threads);
  new_b->SetPeers({a->address()});
  REQUIRE(WaitUntil([&] { return HasPeer(*a, "b", "b-2"); }));
  // The old incarnation dials again and is refused.
  const uint64_t before = old_b->bytes_received();
  CHECK(WaitUntil([&] { return old_b->bytes_received() > before + 300; }));
  CHECK(HasPeer(*a, "b", "b-2"));
  CHECK_FALSE(HasPeer(*old_b, "a"));
  const std::vector<std::string> expected = {"+b-1", "-b-1", "+b-2"};
  CHECK(WaitUntil([&] {
    const std::lock_guard lock(mutex);
    return changes == expected;
  }));
}

TEST_CASE("calls to a peer fail when it stops, and the link is removed") {
  IoThreads threads;
  const auto a = StartMesh(threads.io(), FastSettings("a"));
  auto b = std::make_unique<PeerMesh>(threads.io(), FastSettings("b"));
  const JoinAtExit join(threads);
  b->SetMessageHandler("hold", [](const PeerIdentity&, const Message&,
                                  const PeerMesh::Reply&) {});
  REQUIRE(b->Start(nullptr));
  a->SetPeers({b->address()});
  REQUIRE(WaitUntil([&] { return HasPeer(*a, "b"); }));
  Outcomes outcomes;
  a->Call("b", "hold", Json::object(), std::chrono::hours(1),
          outcomes.Recorder());
  b.reset();
  CHECK(WaitUntil([&] { return outcomes.all().size() == 1; }));
  CHECK(WaitUntil([&] { return a->connected_peers().empty(); }));
}

}  // namespace
}  // namespace thornplank
