// Tests the HTTP client against the HTTP server and against faulty peers: every
// failure, with the progress it reports.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_pool.h"
#include "test_sockets.h"

namespace thornplank {
namespace {

using test::RawConnection;
using test::ScriptedPeer;
using test::SendAsync;
using test::SendResult;

constexpr char kIdHeader[] = "Thornplank-Request-Id";

std::string Answer(const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A script that reads one request and responds with `answer`.
ScriptedPeer::Script Reply(const std::string& answer) {
  return [answer](RawConnection& connection) {
    connection.ReadHeader();
    connection.Send(answer);
    connection.ReadAll();
  };
}

HttpRequest Get(const std::string& target = "/") {
  HttpRequest request;
  request.target = target;
  return request;
}

HttpRequest WithId(const std::string& id) {
  HttpRequest request = Get();
  request.headers.Set(kIdHeader, id);
  return request;
}

HttpSendOptions WithTimeout(Milliseconds timeout) {
  HttpSendOptions options;
  options.timeout = timeout;
  return options;
}

struct Fixture {
  explicit Fixture(HttpClientLimits limits = {})
      : pool(2), client(pool.io(), limits) {
    pool.Start();
  }
  ~Fixture() { pool.Stop(); }

  SendResult Send(const std::string& peer, HttpRequest request,
                  HttpSendOptions options = {}) {
    return SendAsync(client, peer, std::move(request), std::move(options))
        .get();
  }

  IoPool pool;
  HttpClient client;
};

TEST_CASE("each failure reports its progress and closes its connection") {
  struct Case {
    std::string name;
    ScriptedPeer::Script script;
    std::string reason;
  };
  const std::vector<Case> cases = {
      {"closes before the answer", [](RawConnection& c) { c.ReadHeader(); },
       "closed before the answer was whole"},
      {"truncates the body",
       [](RawConnection& c) {
         c.ReadHeader();
         c.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
       },
       "closed before the answer was whole"},
      {"truncates the chunks",
       [](RawConnection& c) {
         c.ReadHeader();
         c.Send(
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nhalf\r\n");
       },
       "closed before the answer was whole"},
      {"ends the body by closing",
       [](RawConnection& c) {
         c.ReadHeader();
         c.Send("HTTP/1.1 200 OK\r\n\r\nwho knows");
       },
       "malformed answer"},
      {"speaks something else", Reply("SSH-2.0-x\r\n\r\n"), "malformed answer"},
      {"answers too much", Reply(Answer(std::string(5000, 'x'))),
       "the answer is too large"},
      {"swaps the id", Reply(Answer("b", std::string(kIdHeader) + ": b\r\n")),
       "crossed answer"},
      {"leaves out the id", Reply(Answer("b")), "crossed answer"},
      {"goes silent", [](RawConnection& c) { c.ReadAll(); }, "timed out"},
      {"goes silent within the body",
       [](RawConnection& c) {
         c.ReadHeader();
         c.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
         c.ReadAll();
       },
       "timed out"},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    HttpClientLimits limits;
    limits.max_response_bytes = 4096;
    ScriptedPeer peer({c.script});
    Fixture fixture(limits);
    HttpSendOptions options = WithTimeout(Milliseconds(200));
    options.match_header = kIdHeader;
    const SendResult result =
        fixture.Send(peer.address(), WithId("a"), options);
    CHECK_FALSE(result.response);
    CHECK(result.failure.progress == SendProgress::kUnknown);
    CHECK(result.failure.error.reason == c.reason);
    CHECK(result.failure.error.peer == peer.address());
    CHECK(fixture.client.connections(peer.address()) == 0);
  }
}

TEST_CASE("a failure before the first byte reports kNotSent") {
  HttpClientLimits limits;
  limits.max_connections_per_peer = 1;
  // The only connection is occupied by a request that is never answered.
  ScriptedPeer silent({[](RawConnection& c) { c.ReadAll(); }});
  Fixture fixture(limits);
  auto held = SendAsync(fixture.client, silent.address(), Get(),
                        WithTimeout(Milliseconds(400)));
  HttpSendOptions refused = WithTimeout(Milliseconds(1000));
  refused.may_send = [] { return false; };
  HttpRequest split = Get("/a b");
  struct Case {
    std::string name;
    std::string peer;
    HttpRequest request;
    HttpSendOptions options;
    bool connection_refused;
  };
  ScriptedPeer idle({Reply(Answer("unused"))});
  const std::vector<Case> cases = {
      {"connect refused", "127.0.0.1:1", Get(), {}, true},
      {"not an address", "localhost", Get(), {}, false},
      {"timed out in the queue", silent.address(), Get(),
       WithTimeout(Milliseconds(50)), false},
      {"the holder takes it back", idle.address(), Get(), refused, false},
      {"malformed target", idle.address(), split, {}, false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    const SendResult result = fixture.Send(c.peer, c.request, c.options);
    CHECK_FALSE(result.response);
    CHECK(result.failure.progress == SendProgress::kNotSent);
    CHECK(result.failure.connection_refused == c.connection_refused);
    CHECK_FALSE(result.failure.error.step.empty());
    CHECK(result.failure.error.peer == c.peer);
  }
  CHECK(held.get().failure.progress == SendProgress::kUnknown);
}

TEST_CASE("a late response never reaches another request") {
  std::promise<void> answer_late;
  std::shared_future<void> late = answer_late.get_future().share();
  ScriptedPeer peer({[late](RawConnection& c) {
                       c.ReadHeader();
                       late.wait();
                       c.Send(Answer("late"));
                     },
                     Reply(Answer("own"))});
  Fixture fixture;
  const SendResult first =
      fixture.Send(peer.address(), Get(), WithTimeout(Milliseconds(100)));
  CHECK(first.failure.progress == SendProgress::kUnknown);
  answer_late.set_value();
  const SendResult second = fixture.Send(peer.address(), Get());
  REQUIRE(second.response);
  CHECK(second.response->body == "own");
  CHECK(peer.accepted() == 2);
}

TEST_CASE("a connection that closed or has unsolicited bytes is not reused") {
  struct Case {
    std::string name;
    // Action of the peer after its first response, before the second request.
    ScriptedPeer::Script afterwards;
  };
  const std::vector<Case> cases = {
      {"closes",
       [](RawConnection& c) {
         c.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both);
       }},
      {"sends an answer nobody asked for",
       [](RawConnection& c) { c.Send(Answer("stray")); }},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    std::promise<void> proceed;
    std::promise<void> proceeded;
    ScriptedPeer peer({[&](RawConnection& connection) {
                         connection.ReadHeader();
                         connection.Send(Answer("one"));
                         proceed.get_future().wait();
                         c.afterwards(connection);
                         proceeded.set_value();
                         connection.ReadAll();
                       },
                       Reply(Answer("two"))});
    Fixture fixture;
    CHECK(fixture.Send(peer.address(), Get()).response->body == "one");
    proceed.set_value();
    proceeded.get_future().wait();
    const SendResult second = fixture.Send(peer.address(), Get());
    REQUIRE(second.response);
    CHECK(second.response->body == "two");
    CHECK(fixture.client.connections(peer.address()) == 1);
  }
}

TEST_CASE("bytes after a response are not taken for the next response") {
  ScriptedPeer peer(
      {Reply(Answer("one") + Answer("stray")), Reply(Answer("two"))});
  Fixture fixture;
  CHECK(fixture.Send(peer.address(), Get()).response->body == "one");
  CHECK(fixture.Send(peer.address(), Get()).response->body == "two");
}

TEST_CASE("interim responses are skipped and connections are reused") {
  ScriptedPeer peer({[](RawConnection& c) {
    c.ReadHeader();
    c.Send("HTTP/1.1 102 Processing\r\n\r\n" + Answer("one"));
    c.ReadHeader();
    c.Send("HTTP/1.1 204 No Content\r\n\r\n");
    c.ReadHeader();
    c.Send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nthr\r\n2\r\nee\r\n0\r\n\r\n");
    c.ReadAll();
  }});
  Fixture fixture;
  CHECK(fixture.Send(peer.address(), Get()).response->body == "one");
  CHECK(fixture.Send(peer.address(), Get()).response->status == 204);
  CHECK(fixture.Send(peer.address(), Get()).response->body == "three");
  CHECK(peer.accepted() == 1);
}

TEST_CASE("a stale connection is found by a probe before the request") {
  // The first connection responds once and then stops; the second keeps
  // responding.
  std::atomic<int> sent_on_silent{0};
  const ScriptedPeer::Script silent = [&](RawConnection& c) {
    c.ReadHeader();
    c.Send(Answer("one"));
    if (c.ReadHeader().find("GET /healthz") != 0) ++sent_on_silent;
    if (!c.ReadAll().empty()) ++sent_on_silent;
  };
  std::vector<std::string> lines;
  const ScriptedPeer::Script lives = [&](RawConnection& c) {
    for (int i = 0; i < 2; ++i) {
      lines.push_back(c.ReadUntil(" HTTP"));
      c.ReadHeader();
      c.Send(Answer("two"));
    }
    c.ReadAll();
  };
  HttpClientLimits limits;
  limits.verified_for = Milliseconds(0);
  {
    ScriptedPeer peer({silent, lives});
    Fixture fixture(limits);
    CHECK(fixture.Send(peer.address(), Get()).response->body == "one");
    HttpSendOptions options;
    options.verify_connection = true;
    options.probe_timeout = Milliseconds(100);
    HttpRequest payment = Get("/pay");
    payment.method = "POST";
    const SendResult result = fixture.Send(peer.address(), payment, options);
    REQUIRE(result.response);
    CHECK(result.response->body == "two");
  }
  CHECK(sent_on_silent == 0);
  CHECK(lines ==
        std::vector<std::string>{"GET /healthz HTTP", "POST /pay HTTP"});
}

// A peer that has restarted resets a connection of its former process at the
// first request. One that a restart does not change may be sent again.
TEST_CASE("only an idempotent request is repeated after a lost connection") {
  struct Case {
    const char* name;
    bool idempotent;
    // The connection was used before.
    bool reused;
    bool answered;
  };
  const std::vector<Case> cases = {
      {"idempotent, on a used connection", true, true, true},
      {"idempotent, on a new connection", true, false, false},
      {"not idempotent", false, true, false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    const ScriptedPeer::Script closes = [&c](RawConnection& connection) {
      if (c.reused) {
        connection.ReadHeader();
        connection.Send(Answer("one"));
      }
      connection.ReadHeader();
    };
    ScriptedPeer peer({closes, Reply(Answer("two"))});
    Fixture fixture;
    if (c.reused) {
      REQUIRE(fixture.Send(peer.address(), Get()).response->body == "one");
    }
    HttpSendOptions options;
    options.idempotent = c.idempotent;
    const SendResult result = fixture.Send(peer.address(), Get(), options);
    CHECK(result.response.has_value() == c.answered);
    if (result.response) CHECK(result.response->body == "two");
    if (!c.answered) CHECK(result.failure.progress == SendProgress::kUnknown);
    // Else the peer would wait for it.
    if (!c.answered) fixture.Send(peer.address(), Get());
  }
}

TEST_CASE("a failed probe on a new connection reports kNotSent") {
  const std::vector<ScriptedPeer::Script> scripts = {
      [](RawConnection& c) { c.ReadAll(); },
      [](RawConnection& c) { c.ReadHeader(); },
      Reply(Answer("ok", "Connection: close\r\n")),
  };
  for (const ScriptedPeer::Script& script : scripts) {
    ScriptedPeer peer({script});
    Fixture fixture;
    HttpSendOptions options;
    options.verify_connection = true;
    options.probe_timeout = Milliseconds(100);
    const SendResult result =
        fixture.Send(peer.address(), Get("/pay"), options);
    CHECK_FALSE(result.response);
    CHECK(result.failure.progress == SendProgress::kNotSent);
    CHECK(result.failure.error.step == "prove live");
  }
}

TEST_CASE("a timeout closes idle connections without a response since") {
  std::promise<void> both_open;
  std::shared_future<void> open = both_open.get_future().share();
  std::atomic<int> waiting{0};
  // Two concurrent connections each respond once and then stop.
  const ScriptedPeer::Script answer_once = [&, open](RawConnection& c) {
    c.ReadHeader();
    if (++waiting == 2) both_open.set_value();
    open.wait();
    c.Send(Answer("one"));
    c.ReadAll();
  };
  ScriptedPeer peer({answer_once, answer_once, Reply(Answer("new"))});
  Fixture fixture;
  auto first = SendAsync(fixture.client, peer.address(), Get());
  auto second = SendAsync(fixture.client, peer.address(), Get());
  CHECK(first.get().response);
  CHECK(second.get().response);
  CHECK(fixture.client.connections(peer.address()) == 2);
  const SendResult timed_out =
      fixture.Send(peer.address(), Get(), WithTimeout(Milliseconds(100)));
  CHECK(timed_out.failure.progress == SendProgress::kUnknown);
  const SendResult next = fixture.Send(peer.address(), Get());
  REQUIRE(next.response);
  CHECK(next.response->body == "new");
}

TEST_CASE("an idle connection is closed after the idle timeout") {
  ScriptedPeer peer({Reply(Answer("one"))});
  HttpClientLimits limits;
  limits.idle_timeout = Milliseconds(50);
  Fixture fixture(limits);
  CHECK(fixture.Send(peer.address(), Get()).response);
  for (int i = 0; i < 500 && fixture.client.connections(peer.address()) > 0;
       ++i) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  CHECK(fixture.client.connections(peer.address()) == 0);
}

// Guards against a client whose connections grow with the number of its peers:
// one that calls each of thousands of peers now and then kept a connection to
// all of them.
TEST_CASE("idle connections are limited over all peers") {
  constexpr size_t kLimit = 4;
  for (const int peers : {3, 4, 12, 40}) {
    CAPTURE(peers);
    HttpClientLimits limits;
    limits.max_idle_connections = kLimit;
    std::vector<std::unique_ptr<ScriptedPeer>> servers;
    servers.reserve(static_cast<size_t>(peers));
    for (int i = 0; i < peers; ++i) {
      servers.push_back(std::make_unique<ScriptedPeer>(
          std::vector<ScriptedPeer::Script>{Reply(Answer("one"))}));
    }
    {
      Fixture fixture(limits);
      for (const auto& server : servers) {
        REQUIRE(fixture.Send(server->address(), Get()).response);
      }
      const auto open = [&] {
        size_t count = 0;
        for (const auto& server : servers) {
          count += fixture.client.connections(server->address());
        }
        return count;
      };
      const auto expected = std::min(kLimit, static_cast<size_t>(peers));
      for (int i = 0; i < 500 && open() != expected; ++i) {
        std::this_thread::sleep_for(Milliseconds(10));
      }
      CHECK(open() == expected);
      // The ones that were used last are kept.
      CHECK(fixture.client.connections(servers.back()->address()) == 1);
    }
  }
}

TEST_CASE("Close fails each pending request once") {
  ScriptedPeer peer({[](RawConnection& c) { c.ReadAll(); }});
  HttpClientLimits limits;
  limits.max_connections_per_peer = 1;
  Fixture fixture(limits);
  HttpSendOptions options;
  std::promise<void> sending;
  options.may_send = [&sending] {
    sending.set_value();
    return true;
  };
  auto sent = SendAsync(fixture.client, peer.address(), Get(), options);
  sending.get_future().wait();
  auto queued = SendAsync(fixture.client, peer.address(), Get());
  fixture.client.Close();
  CHECK(sent.get().failure.progress == SendProgress::kUnknown);
  CHECK(queued.get().failure.progress == SendProgress::kNotSent);
  CHECK(fixture.Send(peer.address(), Get()).failure.progress ==
        SendProgress::kNotSent);
}

TEST_CASE("concurrent requests share connections and get their own responses") {
  IoPool server_pool(2);
  HttpServer server(server_pool.io(), {},
                    [](HttpRequest request, HttpServer::Responder respond) {
                      HttpResponse response;
                      response.headers.Set(kIdHeader,
                                           request.headers.Value(kIdHeader));
                      response.body = request.query("n") + request.body;
                      respond(std::move(response));
                    });
  REQUIRE(server.Listen("127.0.0.1:0", nullptr));
  server_pool.Start();
  {
    HttpClientLimits limits;
    limits.max_connections_per_peer = 4;
    Fixture fixture(limits);
    HttpSendOptions options;
    options.match_header = kIdHeader;
    std::vector<std::future<SendResult>> results;
    for (int i = 0; i < 400; ++i) {
      HttpRequest request = WithId(std::to_string(i));
      request.method = "POST";
      request.target = "/a?n=" + std::to_string(i);
      request.body = std::string(static_cast<size_t>(i) * 100, 'x');
      results.push_back(
          SendAsync(fixture.client, server.address(), request, options));
    }
    for (int i = 0; i < 400; ++i) {
      const SendResult result = results[static_cast<size_t>(i)].get();
      REQUIRE(result.response);
      CHECK(result.response->body ==
            std::to_string(i) + std::string(static_cast<size_t>(i) * 100, 'x'));
    }
    CHECK(fixture.client.connections(server.address()) == 4);
  }
  server_pool.Stop();
}

}  // namespace
}  // namespace thornplank
