// Tests the limits, the ordering and the shutdown of the HTTP server with raw
// bytes.
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "base/json.h"
#include "net/http_server.h"
#include "net/io_pool.h"
#include "test_sockets.h"

namespace thornplank {
namespace {

using test::ConnectRaw;
using test::RawConnection;

HttpServerLimits SmallLimits() {
  HttpServerLimits limits;
  limits.max_header_bytes = 1024;
  limits.max_body_bytes = 2000;
  limits.max_buffered_bytes = 1500;
  limits.max_connections = 2;
  limits.header_timeout = Milliseconds(150);
  limits.body_timeout = Milliseconds(150);
  limits.drain_grace = Milliseconds(50);
  return limits;
}

// A server that echoes bodies. The responder of a request to "/hold" is kept
// for the test; the responder of a request to "/drop" is destroyed.
class Fixture {
 public:
  explicit Fixture(HttpServerLimits limits = SmallLimits())
      : pool_(3), server_(pool_.io(), limits, Handler()) {
    REQUIRE(server_.Listen("127.0.0.1:0", nullptr));
    pool_.Start();
  }
  ~Fixture() { pool_.Stop(); }

  HttpServer& server() { return server_; }
  RawConnection Connect() { return ConnectRaw(io_, server_.address()); }
  void WaitForNoConnections() {
    while (server_.connections() > 0) std::this_thread::yield();
  }
  HttpServer::Responder HeldResponder() { return held_.get_future().get(); }

 private:
  HttpServer::Handler Handler() {
    return [this](HttpRequest request, HttpServer::Responder respond) {
      if (request.path() == "/hold") return held_.set_value(respond);
      if (request.path() == "/drop") return;
      HttpResponse response;
      response.body = request.method + " " + request.body;
      response.headers.Set("X-Split", "a\r\nX-Injected: b");
      respond(std::move(response));
    };
  }

  boost::asio::io_context io_;
  IoPool pool_;
  std::promise<HttpServer::Responder> held_;
  HttpServer server_;
};

int StatusOf(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

std::string BodyOf(const std::string& answer) {
  return answer.substr(answer.find("\r\n\r\n") + 4);
}

std::string Post(const std::string& body, const std::string& fields = "") {
  return "POST /echo HTTP/1.1\r\nHost: a\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE("exceeding a limit responds with problem details and closes") {
  struct Case {
    std::string name;
    std::string bytes;
    int status;
  };
  const std::vector<Case> cases = {
      {"no request line", "\x01\x02\r\n\r\n", 400},
      {"no origin form", "GET nowhere HTTP/1.1\r\n\r\n", 400},
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n"
       "\r\n0\r\n\r\n",
       400},
      {"malformed chunk",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"header without end", "GET / HTTP/1.1\r\nA: " + std::string(3000, 'a'),
       431},
      {"many fields",
       "GET / HTTP/1.1\r\nA: " + std::string(3000, 'a') + "\r\n\r\n", 431},
      {"chunk extension without end",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
           std::string(20000, 'a'),
       431},
      {"length over the limit",
       "POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n", 413},
      {"body over the limit", Post(std::string(100000, 'b')), 413},
      {"chunks over the limit",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" +
           std::string(2048, 'c') + "\r\n",
       413},
      {"slow header", "GET / HTTP/1.1\r\nHost:", 408},
      {"slow body", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 408},
      {"body over the budget", Post(std::string(1600, 'd')), 503},
      {"chunks over the budget",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n640\r\n" +
           std::string(1600, 'e') + "\r\n",
       503},
  };
  Fixture fixture;
  for (const Case& c : cases) {
    CAPTURE(c.name);
    // A connection closed by its peer still counts until the server has
    // noticed.
    fixture.WaitForNoConnections();
    RawConnection connection = fixture.Connect();
    connection.Send(c.bytes);
    const std::string answer = connection.ReadAll();
    INFO(answer);
    CHECK(connection.ended());
    CHECK(StatusOf(answer) == c.status);
    const std::optional<Json> problem = ParseJson(BodyOf(answer));
    REQUIRE(problem);
    CHECK(IntField(*problem, "status") == c.status);
    CHECK(StringField(*problem, "step") == "read request");
    CHECK((c.status == 503) ==
          (answer.find("Retry-After: ") != std::string::npos));
  }
  CHECK(fixture.server().buffered_bytes() == 0);
}

TEST_CASE("a connection above the limit is refused, the others continue") {
  Fixture fixture;
  RawConnection first = fixture.Connect();
  RawConnection second = fixture.Connect();
  first.Send(Post("1"));
  second.Send(Post("2"));
  CHECK(first.ReadUntil("POST 1").find("200 OK") != std::string::npos);
  CHECK(second.ReadUntil("POST 2").find("200 OK") != std::string::npos);
  RawConnection third = fixture.Connect();
  const std::string answer = third.ReadAll();
  CHECK(StatusOf(answer) == 503);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  first.Send(Post("again"));
  CHECK(first.ReadUntil("POST again").find("200 OK") != std::string::npos);
}

TEST_CASE("a body that is announced but not sent uses no budget") {
  Fixture fixture;
  RawConnection slow = fixture.Connect();
  slow.Send(
      "POST /echo HTTP/1.1\r\nExpect: 100-continue\r\n"
      "Content-Length: 1400\r\n\r\n");
  CHECK(StatusOf(slow.ReadHeader()) == 100);
  RawConnection other = fixture.Connect();
  other.Send(Post(std::string(1000, 'x')));
  CHECK(StatusOf(other.ReadHeader()) == 200);
}

TEST_CASE("complete requests of every form are answered in order") {
  Fixture fixture;
  RawConnection connection = fixture.Connect();
  connection.Send(Post("one") +
                  "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\ntw\r\n1\r\no\r\n0\r\n\r\n" +
                  "HEAD /echo HTTP/1.1\r\n\r\n" +
                  Post("last", "Connection: close\r\n"));
  const std::string answers = connection.ReadAll();
  CHECK(connection.ended());
  const size_t one = answers.find("POST one");
  const size_t two = answers.find("POST two");
  const size_t last = answers.find("POST last");
  CHECK(one < two);
  CHECK(two < last);
  CHECK(last != std::string::npos);
  CHECK(answers.find("\r\n\r\nHEAD") == std::string::npos);
  CHECK(answers.find("\nX-Injected") == std::string::npos);
}

TEST_CASE("connections of callers that are idle or do not read are closed") {
  HttpServerLimits limits = SmallLimits();
  limits.max_body_bytes = 16 * 1024 * 1024;
  limits.max_buffered_bytes = limits.max_body_bytes;
  limits.body_timeout = Milliseconds(10000);
  limits.idle_timeout = Milliseconds(100);
  limits.write_timeout = Milliseconds(100);
  Fixture fixture(limits);
  RawConnection quiet = fixture.Connect();
  quiet.Send(Post("one"));
  CHECK(quiet.ReadUntil("POST one").find("200 OK") != std::string::npos);
  CHECK(quiet.ReadAll().empty());
  CHECK(quiet.ended());

  // Larger than the socket buffers, so that the write cannot complete.
  const std::string large(12 * 1024 * 1024, 'x');
  RawConnection reads_nothing = fixture.Connect();
  reads_nothing.Send(Post(large));
  for (int i = 0; i < 500 && fixture.server().connections() > 0; ++i) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  CHECK(fixture.server().connections() == 0);
  CHECK(fixture.server().requests_in_flight() == 0);
}

TEST_CASE("Expect: 100-continue is answered before the body is sent") {
  Fixture fixture;
  RawConnection connection = fixture.Connect();
  connection.Send(
      "POST /echo HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
      "\r\n");
  CHECK(StatusOf(connection.ReadHeader()) == 100);
  connection.Send("ok");
  CHECK(connection.ReadUntil("POST ok").find("200 OK") != std::string::npos);
}

TEST_CASE("a responder destroyed without a call responds with 500") {
  Fixture fixture;
  RawConnection connection = fixture.Connect();
  connection.Send("GET /drop HTTP/1.1\r\n\r\n");
  CHECK(StatusOf(connection.ReadHeader()) == 500);
}

TEST_CASE("a late response to a closed connection is ignored") {
  Fixture fixture;
  RawConnection connection = fixture.Connect();
  connection.Send("GET /hold HTTP/1.1\r\n\r\n");
  const HttpServer::Responder respond = fixture.HeldResponder();
  fixture.server().Close();
  connection.ReadAll();
  respond({});
  respond({});
  CHECK(fixture.server().requests_in_flight() == 0);
}

TEST_CASE("an address in use or malformed is an error") {
  Fixture fixture;
  boost::asio::io_context io;
  for (const std::string& address :
       {fixture.server().address(), std::string("localhost"),
        std::string("127.0.0.1:70000")}) {
    CAPTURE(address);
    HttpServer second(io, {}, nullptr);
    Error error;
    CHECK_FALSE(second.Listen(address, &error));
    CHECK(error.peer == address);
    CHECK_FALSE(error.reason.empty());
  }
}

TEST_CASE("draining lets all requests finish") {
  HttpServerLimits limits = SmallLimits();
  limits.max_connections = 10;
  limits.body_timeout = Milliseconds(5000);
  Fixture fixture(limits);
  RawConnection idle = fixture.Connect();
  RawConnection half_sent = fixture.Connect();
  half_sent.Send(
      "POST /echo HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n"
      "\r\n");
  half_sent.ReadHeader();
  RawConnection held = fixture.Connect();
  held.Send("GET /hold HTTP/1.1\r\n\r\n");
  const HttpServer::Responder respond = fixture.HeldResponder();

  std::promise<void> done;
  std::future<void> drained = done.get_future();
  fixture.server().Drain([&done] { done.set_value(); });
  CHECK(idle.ReadAll().empty());
  CHECK(idle.ended());
  CHECK(drained.wait_for(std::chrono::seconds(0)) ==
        std::future_status::timeout);
  half_sent.Send("rest");
  const std::string answer = half_sent.ReadAll();
  CHECK(answer.find("POST rest") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(fixture.server().requests_in_flight() == 1);
  HttpResponse response;
  response.body = "held";
  respond(response);
  CHECK(held.ReadAll().find("held") != std::string::npos);
  half_sent.socket().close();
  held.socket().close();
  CHECK(drained.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
}

}  // namespace
}  // namespace thornplank
