// Whom an entry asks, and when.
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

class ScriptedEntries : public EntryClientInterface {
 public:
  void FetchStoreAge(
      const std::string& address, Milliseconds,
      std::function<void(std::optional<Milliseconds>)> done) override {
    asked.push_back(address);
    answers.push_back(std::move(done));
  }

  void Answer(std::optional<Milliseconds> age) {
    for (auto& answer : std::exchange(answers, {})) {
      answer(age);
    }
  }

  std::vector<std::string> asked;
  std::vector<std::function<void(std::optional<Milliseconds>)>> answers;
};

TEST_CASE("three others are asked when the store is lost, none before") {
  struct Row {
    size_t known;
    size_t asked;
  };
  for (const Row& row : std::vector<Row>{{0, 0}, {2, 2}, {10, 3}}) {
    CAPTURE(row.known);
    boost::asio::io_context io;
    ScriptedEntries entries;
    ReachabilityPoller survey(
        io, entries, ReachabilityPollerSettings(), [&row] {
          std::vector<std::string> peers;
          for (size_t i = 0; i < row.known; ++i) {
            peers.push_back("127.0.0.1:" + std::to_string(i + 1));
          }
          return peers;
        });
    survey.OnReadSucceeded();
    CHECK(entries.asked.empty());
    survey.OnReadFailed();
    survey.OnReadFailed();
    CHECK(entries.asked.size() == row.asked);
    const std::set<std::string> distinct(entries.asked.begin(),
                                         entries.asked.end());
    CHECK(distinct.size() == row.asked);
    CHECK_FALSE(survey.ReachableElsewhere());
    entries.Answer(Milliseconds(0));
    CHECK(survey.ReachableElsewhere() == (row.asked > 0));
    survey.OnReadSucceeded();
    CHECK_FALSE(survey.ReachableElsewhere());
  }
}

TEST_CASE("it goes on asking until the store is reached") {
  boost::asio::io_context io;
  ScriptedEntries entries;
  ReachabilityPollerSettings settings;
  settings.interval = Milliseconds(1);
  ReachabilityPoller survey(io, entries, settings, [] {
    return std::vector<std::string>{"127.0.0.1:1"};
  });
  survey.OnReadFailed();
  while (entries.asked.size() < 5) io.run_one();
  entries.Answer(std::nullopt);
  CHECK_FALSE(survey.ReachableElsewhere());
  survey.OnReadSucceeded();
  io.run();
  CHECK(entries.asked.size() == 5);
}

TEST_CASE("what an entry answers to others") {
  struct Row {
    const char* name;
    const char* method;
    const char* target;
    std::optional<Milliseconds> age;
    int status;
    std::string body;
  };
  const std::vector<Row> rows = {
      {"its age", "GET", kStoreAgePath, Milliseconds(120), 200,
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
