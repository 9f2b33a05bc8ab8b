// Which entries are polled and when, and the response to a poll.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "reachability/reachability_poller.h"
#include "reachability/store_age_route.h"

namespace thornplank {
namespace {

// Entries whose answers the test gives.
class ScriptedEntries : public EntryClientInterface {
 public:
  void FetchStoreAge(
      const std::string& address, Milliseconds,
      std::function<void(std::optional<Milliseconds>)> done) override {
    polled.push_back(address);
    pending_queries.push_back(std::move(done));
  }

  void Answer(std::optional<Milliseconds> age) {
    for (auto& done : std::exchange(pending_queries, {})) {
      done(age);
    }
  }

  std::vector<std::string> polled;
  std::vector<std::function<void(std::optional<Milliseconds>)>> pending_queries;
};

TEST_CASE("three entries are polled once a read fails, none before") {
  struct Row {
    size_t known;
    size_t polled;
  };
  for (const Row& row : std::vector<Row>{{0, 0}, {2, 2}, {10, 3}}) {
    CAPTURE(row.known);
    boost::asio::io_context io;
    ScriptedEntries entries;
    ReachabilityPoller poller(
        io, entries, ReachabilityPollerSettings(), [&row] {
          std::vector<std::string> peers;
          for (size_t i = 0; i < row.known; ++i) {
            peers.push_back("127.0.0.1:" + std::to_string(i + 1));
          }
          return peers;
        });
    poller.OnReadSucceeded();
    CHECK(entries.polled.empty());
    poller.OnReadFailed();
    poller.OnReadFailed();
    CHECK(entries.polled.size() == row.polled);
    const std::set<std::string> distinct(entries.polled.begin(),
                                         entries.polled.end());
    CHECK(distinct.size() == row.polled);
    CHECK_FALSE(poller.ReachableElsewhere());
    entries.Answer(Milliseconds(0));
    CHECK(poller.ReachableElsewhere() == (row.polled > 0));
    poller.OnReadSucceeded();
    CHECK_FALSE(poller.ReachableElsewhere());
  }
}

TEST_CASE("polling continues until a read of the store succeeds") {
  boost::asio::io_context io;
  ScriptedEntries entries;
  ReachabilityPollerSettings settings;
  settings.interval = Milliseconds(1);
  ReachabilityPoller poller(io, entries, settings, [] {
    return std::vector<std::string>{"127.0.0.1:1"};
  });
  poller.OnReadFailed();
  while (entries.polled.size() < 5) io.run_one();
  entries.Answer(std::nullopt);
  CHECK_FALSE(poller.ReachableElsewhere());
  poller.OnReadSucceeded();
  io.run();
  CHECK(entries.polled.size() == 5);
}

TEST_CASE("the response to a request for the store age") {
  struct Row {
    const char* name;
    const char* method;
    const char* target;
    std::optional<Milliseconds> age;
    int status;
    std::string body;
  };
  const std::vector<Row> rows = {
      {"the store age", "GET", kStoreAgePath, Milliseconds(120), 200,
       R"({"store_age_ms":120})"},
      {"nothing read yet", "GET", kStoreAgePath, std::nullopt, 503, ""},
      {"another path", "GET", "/", Milliseconds(1), 404, ""},
      {"another method", "POST", kStoreAgePath, Milliseconds(1), 404, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HttpRequest request;
    request.method = row.method;
    request.target = row.target;
    const HttpResponse response = HandleStoreAgeRequest(request, row.age);
    CHECK(response.status == row.status);
    CHECK(response.body == row.body);
  }
}

}  // namespace
}  // namespace thornplank
