// Invalid input to an entry: every case is answered with problem details,
// memory use stays limited, and other callers are served as before.
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "../auto/net/test_sockets.h"
#include "bad_input_cases.h"
#include "test_cluster.h"

namespace thornplank {
namespace {

using test::RawConnection;

// Limit of resident memory. It has room for 100 connections with a header each,
// 4 MiB of bodies, and an idle entry, which takes less than 40 MiB.
constexpr double kMaxResidentBytes = 128.0 * 1024 * 1024;
constexpr int kConnections = 100;
constexpr int kSlowSenders = 40;
constexpr int kFloodSize = 200;

class BadInputFixture {
 public:
  BadInputFixture() : cluster_(Settings()) {
    REQUIRE(cluster_.Start());
    for (const char* account : {"north", "south"}) {
      REQUIRE(cluster_.PutNode(0, account, {{"kind", "account"}}));
    }
    REQUIRE(TestCluster::Eventually([this] { return Serves(1); }));
  }

  TestCluster& cluster() { return cluster_; }

  RawConnection Connect(const std::string& address) {
    RawConnection connection = test::ConnectRaw(io_, address);
    timeval limit{30, 0};
    ::setsockopt(connection.socket().native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                 &limit, sizeof(limit));
    return connection;
  }
  RawConnection ConnectHttp() { return Connect(cluster_.entry_address(0)); }
  std::string PeerAddress(int entry) const {
    const std::string http = cluster_.entry_address(entry);
    return http.substr(0, http.rfind(':') + 1) + std::to_string(8100 + entry);
  }
  // Whether a valid request is answered.
  bool Serves(int entry) {
    const auto response = cluster_.SendRequest(entry, "north", "ordinary");
    return response && response->status == 200;
  }

 private:
  static TestClusterSettings Settings() {
    TestClusterSettings settings;
    settings.entries = 2;
    settings.entry_overrides = {
        {"limits",
         {{"body_bytes", 1024 * 1024},
          {"buffered_bytes", 4 * 1024 * 1024},
          {"connections", kConnections},
          {"header_timeout_ms", 5000},
          {"body_timeout_ms", 5000}}},
        {"tokens",
         {{{"name", "operator"},
           {"token", kOperatorToken},
           {"role", "operator"}},
          {{"name", "viewer"}, {"token", kViewerToken}, {"role", "viewer"}},
          {{"name", "north-app"},
           {"token", kNorthToken},
           {"role", "caller"},
           {"account", "north"}}}}};
    return settings;
  }

  boost::asio::io_context io_;
  TestCluster cluster_;
};

// Reads one answer from a connection that stays open.
HttpResponse ReadAnswer(RawConnection& connection) {
  HttpResponse response;
  std::istringstream lines(connection.ReadHeader());
  std::string line;
  std::getline(lines, line);
  response.status = line.size() < 12 ? 0 : std::atoi(line.c_str() + 9);
  while (std::getline(lines, line) && line.size() > 1) {
    const size_t colon = line.find(": ");
    if (colon == std::string::npos) continue;
    response.headers.Add(line.substr(0, colon),
                         line.substr(colon + 2, line.size() - colon - 3));
  }
  size_t remaining =
      std::atoi(response.headers.Value("Content-Length").c_str());
  char bytes[4096];
  while (remaining > 0) {
    const ssize_t count = ::recv(connection.socket().native_handle(), bytes,
                                 std::min(remaining, sizeof(bytes)), 0);
    if (count <= 0) break;
    response.body.append(bytes, static_cast<size_t>(count));
    remaining -= static_cast<size_t>(count);
  }
  return response;
}

void CheckProblem(const HttpResponse& response, const BadCase& expected) {
  CHECK(response.status == expected.status);
  CHECK(response.headers.Value("Content-Type") == "application/problem+json");
  const Json problem = ParseJson(response.body).value_or(Json());
  CHECK(IntField(problem, "status") == expected.status);
  CHECK(StringField(problem, "title") == expected.title);
  CHECK_FALSE(StringField(problem, "detail").value_or("").empty());
  // An error describes the input without echoing all of it.
  CHECK(response.body.size() < 20'000);
}

// A caller with valid requests, on a connection opened before the invalid input
// is sent.
class OrdinaryCaller {
 public:
  explicit OrdinaryCaller(RawConnection connection)
      : connection_(std::move(connection)) {}

  void CheckAnswered() {
    connection_.Send(ServiceRequest(""));
    const HttpResponse response = ReadAnswer(connection_);
    CHECK(response.status == 200);
    CHECK(response.headers.Value("Thornplank-Outcome") == "answered");
  }
  void CheckMemory() {
    connection_.Send(RawRequest("GET", "/metrics", "", "", ""));
    const std::string text = ReadAnswer(connection_).body;
    const std::string name = "\nprocess_resident_memory_bytes ";
    const size_t found = text.find(name);
    REQUIRE(found != std::string::npos);
    const double bytes = std::atof(text.c_str() + found + name.size());
    peak_ = std::max(peak_, bytes);
    CHECK(bytes > 0);
    CHECK(bytes < kMaxResidentBytes);
  }
  double peak_bytes() const { return peak_; }

 private:
  RawConnection connection_;
  double peak_ = 0;
};

void CheckNoSecretLogged(const std::string& folder) {
  int logs = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    const std::string name = file.path().filename().string();
    if (file.path().extension() != ".log" || name.rfind("entry", 0) != 0) {
      continue;
    }
    std::ostringstream text;
    text << std::ifstream(file.path()).rdbuf();
    CAPTURE(name);
    CHECK_FALSE(text.str().empty());
    for (const char* secret : {kNorthToken, kOperatorToken, kViewerToken,
                               "inner-secret", "north-secreT"}) {
      CAPTURE(secret);
      CHECK(text.str().find(secret) == std::string::npos);
    }
    ++logs;
  }
  CHECK(logs == 2);
}

void CheckStopsCleanly(BadInputFixture& fixture) {
  for (int entry = 0; entry < 2; ++entry) {
    CAPTURE(entry);
    CHECK(fixture.Serves(entry));
    fixture.cluster().entry(entry).Signal(SIGTERM);
    CHECK(fixture.cluster().entry(entry).Wait(std::chrono::seconds(20)) == 0);
  }
  CheckNoSecretLogged(fixture.cluster().folder());
}

TEST_CASE(
    "invalid input is answered with its error, and other callers are served") {
  BadInputFixture fixture;
  const Json job = fixture.cluster().CallJson(
      0, "POST", "/v1/jobs", {{"account", "south"}, {"run_time_ms", 100}});
  const std::string job_id = StringField(job, "id").value_or("");
  REQUIRE_FALSE(job_id.empty());
  OrdinaryCaller ordinary(fixture.ConnectHttp());
  for (const auto& cases :
       {MalformedHttp(), BadRequests(), BadJobs(job_id), BadSettings()}) {
    for (const BadCase& c : cases) {
      CAPTURE(c.name.substr(0, 100));
      RawConnection connection = fixture.ConnectHttp();
      connection.Send(c.bytes);
      CheckProblem(ReadAnswer(connection), c);
      ordinary.CheckAnswered();
      ordinary.CheckMemory();
    }
  }
  // Reads with a query that is not UTF-8 get a normal answer.
  for (const char* target :
       {"/v1/settings-history?path=%ff", "/v1/jobs?account=%ff%00"}) {
    CAPTURE(std::string(target));
    RawConnection connection = fixture.ConnectHttp();
    connection.Send(RawRequest("GET", target, kOperatorToken, "", ""));
    CHECK(ReadAnswer(connection).status == 200);
  }
  MESSAGE("peak of resident memory: ", ordinary.peak_bytes() / 1e6, " MB");
  CheckStopsCleanly(fixture);
}

TEST_CASE(
    "slow senders and a flood of connections do not block other callers") {
  BadInputFixture fixture;
  OrdinaryCaller ordinary(fixture.ConnectHttp());
  ordinary.CheckAnswered();
  std::vector<RawConnection> slow;
  const std::string header = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\n";
  const std::string half(512 * 1024, 'x');
  for (int i = 0; i < kSlowSenders; ++i) {
    slow.push_back(fixture.ConnectHttp());
    // Half of them stop inside the header, half inside a large body. The bodies
    // use up the memory budget for bodies, so that the last ones are refused at
    // once.
    const bool in_body = i % 2 == 1;
    slow.back().Send(in_body ? header + "Content-Length: 1048576\r\n\r\n" + half
                             : header);
  }
  ordinary.CheckAnswered();
  ordinary.CheckMemory();
  std::vector<RawConnection> flood;
  flood.reserve(kFloodSize);
  for (int i = 0; i < kFloodSize; ++i) flood.push_back(fixture.ConnectHttp());
  for (int i = 0; i < 20; ++i) {
    ordinary.CheckAnswered();
    ordinary.CheckMemory();
  }
  // Each slow sender gets a time-out or, if the body budget was used up, a
  // refusal.
  int timed_out = 0;
  int no_budget = 0;
  for (RawConnection& connection : slow) {
    const HttpResponse response = ReadAnswer(connection);
    if (response.status == 408) ++timed_out;
    if (response.status == 503) ++no_budget;
    CheckProblem(response, {"", "", response.status == 503 ? 503 : 408,
                            response.status == 503 ? "Service Unavailable"
                                                   : "Request Timeout"});
  }
  CHECK(timed_out >= kSlowSenders / 2);
  CHECK(no_budget > 0);
  CHECK(timed_out + no_budget == kSlowSenders);
  // Connections beyond the limit get a refusal as long as only few are being
  // refused at a time. The others are closed without an answer, as are accepted
  // connections that send nothing.
  int refused = 0;
  for (RawConnection& connection : flood) {
    const HttpResponse response = ReadAnswer(connection);
    if (response.status == 0) continue;
    CheckProblem(response, {"", "", 503, "Service Unavailable"});
    CHECK(response.headers.Value("Retry-After") == "1");
    ++refused;
  }
  CHECK(refused > 0);
  flood.clear();
  slow.clear();
  CHECK(TestCluster::Eventually([&fixture] { return fixture.Serves(0); }));
  ordinary.CheckMemory();
  MESSAGE("peak of resident memory: ", ordinary.peak_bytes() / 1e6, " MB");
  CheckStopsCleanly(fixture);
}

// A WebSocket frame of a client with an all-zero mask; its header declares
// `declared_size` bytes of payload.
std::string Frame(const std::string& payload, uint64_t declared_size) {
  std::string frame = "\x82\xff";
  for (int shift = 56; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((declared_size >> shift) & 0xff));
  }
  return frame + std::string(4, '\0') + payload;
}

std::string Cbor(const Json& message) {
  std::string bytes;
  Json::to_cbor(message, bytes);
  return bytes;
}

std::string HelloWithSecret(const std::string& secret) {
  return Cbor({{"v", 1},
               {"type", "hello"},
               {"body",
                {{"name", "entry1"},
                 {"incarnation", "x"},
                 {"failure_domain", "a"},
                 {"secret", secret},
                 {"kept", true}}}});
}

TEST_CASE("garbage at the peer port closes only that connection") {
  BadInputFixture fixture;
  const std::string upgrade =
      "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: "
      "Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: "
      "dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  const std::string wrong = HelloWithSecret("another-secret");
  const std::string deep(16'000, '\x81');
  const std::string noise = "\x01\x02\xff\xfe garbage";
  struct Case {
    std::string name;
    std::string bytes;
    bool upgraded;
  };
  const std::vector<Case> cases = {
      {"HTTP", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", false},
      {"bytes", noise + "\r\n\r\n", false},
      {"endless header", "GET / HTTP/1.1\r\nA: " + std::string(1 << 20, 'a'),
       false},
      {"frame of bytes", Frame(noise, noise.size()), true},
      {"wrong secret", Frame(wrong, wrong.size()), true},
      {"deep frame", Frame(deep, deep.size()), true},
      {"oversized frame", Frame(std::string(100'000, 'x'), 1 << 30), true},
      {"frame of 2^63 bytes", Frame("", uint64_t{1} << 63), true},
  };
  const size_t down_before = fixture.cluster().Events(0, 601).size();
  OrdinaryCaller ordinary(fixture.ConnectHttp());
  for (const Case& c : cases) {
    CAPTURE(c.name);
    RawConnection connection = fixture.Connect(fixture.PeerAddress(0));
    if (c.upgraded) {
      connection.Send(upgrade);
      CHECK(connection.ReadHeader().find(" 101 ") != std::string::npos);
    }
    connection.Send(c.bytes);
    // The entry closes or resets the connection before the read times out, and
    // never sends its secret.
    const std::string answer = connection.ReadAll();
    char byte = 0;
    CHECK(::recv(connection.socket().native_handle(), &byte, 1, 0) == 0);
    CHECK(answer.find("inner-secret") == std::string::npos);
    ordinary.CheckAnswered();
    ordinary.CheckMemory();
  }
  CHECK(fixture.cluster().Events(0, 601).size() == down_before);
  CheckStopsCleanly(fixture);
}

}  // namespace
}  // namespace thornplank
