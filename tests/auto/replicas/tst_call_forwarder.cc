// Tests of the calls that a gateway forwards.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../coordination/fake_formats.h"
#include "../coordination/store_fixture.h"
#include "entry_calls_fixture.h"
#include "replicas/call_forwarder.h"

namespace thornplank::testing {
namespace {

// A gateway with the replicas "leader", "b" and "c".
class Gateway {
 public:
  explicit Gateway(CallForwarderSettings settings = Settings())
      : calls(io), selector({"me", "x"}) {
    ReplicaRoster roster;
    for (const char* name : {"leader", "b", "c"}) {
      roster.replicas.push_back({name, name, "x"});
      calls.answers[name] = FakeAnswer();
    }
    selector.SetReplicas(roster);
    CallForwarder::Handlers handlers;
    handlers.on_answered = [this] { ++answered; };
    handlers.on_silent = [this] { ++silent; };
    handlers.is_isolated = [this] { return isolated; };
    forwarder =
        std::make_unique<CallForwarder>(io, calls, calls, formats, selector,
                                        settings, std::move(handlers), metrics);
  }

  static CallForwarderSettings Settings() {
    CallForwarderSettings settings;
    settings.hold_delay = Milliseconds(20);
    settings.max_hold = Milliseconds(0);
    return settings;
  }

  HttpResponse Call(const std::string& method) {
    HttpRequest request;
    request.method = method;
    request.target = "/queue/0123456789abcdef";
    std::optional<HttpResponse> response;
    forwarder->Forward(std::move(request), [&](HttpResponse answer) {
      CHECK(!response);
      response = std::move(answer);
    });
    REQUIRE(RunUntil(io, [&] { return response.has_value(); }));
    return *response;
  }

  boost::asio::io_context io;
  FakeEntryCalls calls;
  FakeFormats formats;
  MetricsRegistry metrics;
  ReplicaSelector selector;
  std::unique_ptr<CallForwarder> forwarder;
  int answered = 0;
  int silent = 0;
  bool isolated = false;
};

const FakeAnswer kStoreAway{503, /*try_next=*/true, Milliseconds(0),
                            /*store_lost=*/true};
const FakeAnswer kLoading{503, /*try_next=*/true};
const FakeAnswer kUnknownKey{401};
const FakeAnswer kUndecided{504};
const FakeAnswer kNoAnswer{0};
const FakeAnswer kNotSent{0, false, Milliseconds(0), /*store_lost=*/false,
                          /*arrives=*/false};

TEST_CASE("a call is refused only if no replica can have stored it") {
  struct Row {
    const char* name;
    // Answers of the leader and of both others.
    FakeAnswer leader;
    FakeAnswer others;
    int status;
    size_t attempts;
  };
  const std::vector<Row> rows = {
      {"stored by the leader", FakeAnswer(), FakeAnswer(), 200, 1},
      {"refused by the leader", kUnknownKey, FakeAnswer(), 401, 1},
      {"the leader has lost the store", kStoreAway, FakeAnswer(), 200, 2},
      {"all have lost the store", kStoreAway, kStoreAway, 503, 3},
      {"the leader does not answer", kNoAnswer, FakeAnswer(), 200, 2},
      {"the leader does not know", kUndecided, FakeAnswer(), 200, 2},
      {"an answer is lost, and others refuse", kNoAnswer, kUnknownKey, 504, 3},
      {"an answer is lost, and others cannot", kNoAnswer, kStoreAway, 504, 3},
      {"undecided, and others refuse", kUndecided, kUnknownKey, 504, 3},
      {"nothing was sent, and others refuse", kNotSent, kUnknownKey, 401, 2},
      {"nothing was sent anywhere", kNotSent, kNotSent, 503, 3},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Gateway gateway;
    gateway.calls.answers["leader"] = row.leader;
    gateway.calls.answers["b"] = row.others;
    gateway.calls.answers["c"] = row.others;
    CHECK(gateway.Call("POST").status == row.status);
    CHECK(gateway.calls.forwarded.size() == row.attempts);
  }
}

TEST_CASE("a read is answered by the first replica that can") {
  Gateway gateway;
  gateway.calls.answers["leader"] = kStoreAway;
  gateway.calls.answers["b"] = kNoAnswer;
  gateway.calls.answers["c"] = FakeAnswer{410};
  CHECK(gateway.Call("GET").status == 410);
  CHECK(gateway.answered == 1);
}

// Guards against callers that wait as long as a replica is frozen.
TEST_CASE("another replica is asked while one does not answer") {
  for (const char* method : {"GET", "POST", "DELETE"}) {
    CAPTURE(method);
    Gateway gateway;
    for (auto& [address, answer] : gateway.calls.answers) {
      answer.delay = Milliseconds(2500);
      answer.store_age.reset();
    }
    gateway.calls.answers["b"] = FakeAnswer();
    CHECK(gateway.Call(method).status == 200);
    // The frozen replicas are asked last from now on.
    CHECK(gateway.Call(method).status == 200);
    CHECK(gateway.calls.forwarded.back() == "b");
    CHECK(gateway.calls.forwarded.size() <= 4);
  }
}

// Guards against attempts that multiply the load of a store that is slow.
TEST_CASE("a change is sent elsewhere only if its replica no longer works") {
  struct Row {
    const char* name;
    std::optional<Milliseconds> store_age;
    size_t attempts;
  };
  const std::vector<Row> rows = {
      {"the store is slow", Milliseconds(700), 1},
      {"the replica has lost the store", Milliseconds(1300), 2},
      {"the replica is frozen", std::nullopt, 2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Gateway gateway;
    gateway.calls.answers["leader"].delay = Milliseconds(1200);
    gateway.calls.answers["leader"].store_age = row.store_age;
    CHECK(gateway.Call("POST").status == 200);
    CHECK(gateway.calls.forwarded.size() == row.attempts);
  }
}

TEST_CASE("a refusal waits for the replica that was asked before") {
  struct Row {
    const char* name;
    FakeAnswer late;
    int status;
  };
  const std::vector<Row> rows = {
      {"it has stored the job", {200, false, Milliseconds(400)}, 200},
      {"it refuses too", {401, false, Milliseconds(400)}, 401},
      {"it is lost", {0, false, Milliseconds(400)}, 504},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Gateway gateway;
    gateway.calls.answers["leader"] = row.late;
    gateway.calls.answers["leader"].store_age.reset();
    gateway.calls.answers["b"] = kUnknownKey;
    gateway.calls.answers["c"] = kUnknownKey;
    CHECK(gateway.Call("POST").status == row.status);
  }
}

// Guards against callers that come back a second later, while the replicas have
// been restarted within a tenth of that.
TEST_CASE("a call waits for replicas that are being restarted") {
  struct Row {
    const char* name;
    // What the replicas answer at first, and whether they work a while later.
    FakeAnswer first;
    bool recover;
    int status;
  };
  const std::vector<Row> rows = {
      {"nothing listens for a while", kNotSent, true, 200},
      {"they are loading", kLoading, true, 200},
      {"they do not come back", kNotSent, false, 503},
      {"they have lost the store", kStoreAway, true, 503},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CallForwarderSettings settings = Gateway::Settings();
    settings.max_hold = Milliseconds(600);
    Gateway gateway(settings);
    for (auto& [address, answer] : gateway.calls.answers) answer = row.first;
    boost::asio::steady_timer recovery(gateway.io, Milliseconds(150));
    if (row.recover) {
      recovery.async_wait([&gateway](const boost::system::error_code& code) {
        if (code) return;
        for (auto& [address, answer] : gateway.calls.answers) {
          answer = FakeAnswer();
        }
      });
    }
    CHECK(gateway.Call("POST").status == row.status);
  }
}

TEST_CASE("a caller learns when to come back if no replica answers") {
  for (const bool isolated : {false, true}) {
    CAPTURE(isolated);
    Gateway gateway;
    gateway.isolated = isolated;
    gateway.calls.answers.clear();
    const HttpResponse response = gateway.Call("GET");
    CHECK(response.status == 503);
    CHECK(response.headers.Value("Retry-After") == (isolated ? "0" : "1"));
    CHECK(gateway.silent == 1);
    CHECK(gateway.answered == 0);
  }
}

// Guards against an entry that goes back to an older configuration because the
// next replica has read less than the one before.
TEST_CASE("a replica is told the newest configuration that was seen") {
  Gateway gateway;
  for (auto& [address, answer] : gateway.calls.answers) {
    answer.configuration = 15;
  }
  gateway.Call("GET");
  for (auto& [address, answer] : gateway.calls.answers) {
    answer.configuration = 13;
  }
  gateway.Call("GET");
  gateway.Call("GET");
  CHECK(gateway.calls.min_configurations == std::vector<int64_t>{0, 15, 15});
}

}  // namespace
}  // namespace thornplank::testing
