// Rolling replacement of all entries under load: no request that an entry took
// is cut off or lost.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "client/api_client.h"
#include "request_calls.h"
#include "test_cluster.h"

namespace thornplank {
namespace {

constexpr int kEntries = 3;
constexpr int kCallers = 9;

struct Asked {
  CallerAsk ask;
  CallerTold told;
};

// Sends one request after the other until `*stop`, on kept connections. The
// next entry is tried only when a request provably did not leave.
std::vector<Asked> SendUntil(const TestCluster& cluster, int caller,
                             const std::atomic<bool>* stop) {
  ApiClientSettings settings;
  settings.token = "operator-secret";
  for (int i = 0; i < kEntries; ++i) {
    settings.entries.push_back(cluster.entry_address((caller + i) % kEntries));
  }
  ApiClient client(settings);
  std::vector<Asked> all;
  while (!*stop) {
    const std::string id =
        std::to_string(caller) + "-" + std::to_string(all.size());
    const CallerAsk ask{0, id, caller % 3 == 0 ? id : "", Milliseconds(8000)};
    const auto response = client.Send("POST", kRequestTarget, BodyOf(ask),
                                      HeadersOf(ask), nullptr);
    all.push_back({ask, ReadTold(ask, response)});
  }
  return all;
}

TEST_CASE("replacing every entry under load cuts off no request") {
  TestClusterSettings settings;
  // Long enough that some are in flight at every shutdown.
  settings.service_time_ms = 250;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(PrepareRequestAccount(&cluster, kEntries));

  std::atomic<bool> stop{false};
  std::vector<std::future<std::vector<Asked>>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::async(std::launch::async, SendUntil,
                                 std::cref(cluster), i, &stop));
  }
  int64_t in_flight = 0;
  for (int entry = 0; entry < kEntries; ++entry) {
    CAPTURE(entry);
    cluster.entry(entry).Signal(SIGTERM);
    CHECK(cluster.entry(entry).Wait(std::chrono::seconds(40)) == 0);
    const std::vector<Json> begun = cluster.Events(entry, 103);
    CHECK(begun.size() == 1);
    for (const Json& event : begun) {
      in_flight += IntField(event, "in_flight").value_or(0);
    }
    cluster.StartEntry(entry);
    CHECK(cluster.WaitReady(entry));
  }
  stop = true;

  size_t requests = 0;
  size_t answered = 0;
  std::vector<Asked> all;
  for (auto& caller : callers) {
    for (Asked& asked : caller.get()) all.push_back(std::move(asked));
  }
  const RunCounts runs = CountRuns(&cluster);
  for (const Asked& asked : all) {
    CAPTURE(asked.ask.id);
    CAPTURE(asked.told.body);
    ++requests;
    CHECK(asked.told.outcome != Outcome::kNoAnswer);
    CHECK(asked.told.outcome != Outcome::kUnknown);
    if (asked.told.outcome == Outcome::kAnswered) {
      ++answered;
      CHECK(asked.told.own_answer);
    }
    // Once, as nothing failed: not sent again, and not lost.
    CHECK(runs.OfId(asked.ask.id) ==
          (asked.told.outcome == Outcome::kAnswered ? 1 : 0));
  }
  MESSAGE(requests << " requests, " << answered << " answered, " << in_flight
                   << " in flight when a shutdown began");
  CHECK(answered > requests / 2);
  CHECK(in_flight > 0);
}

}  // namespace
}  // namespace thornplank
