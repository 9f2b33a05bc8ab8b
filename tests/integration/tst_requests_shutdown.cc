// Rolling restart of all entries under load: no request that an entry accepted
// is aborted or lost.
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
#include "request_client.h"
#include "test_cluster.h"

namespace thornplank {
namespace {

constexpr int kEntries = 3;
constexpr int kCallers = 9;

struct SentRequest {
  TestRequest request;
  RequestResult result;
};

// Sends one request after the other until `*stop`, on persistent connections.
// The client tries the next entry only if a request was certainly not sent.
std::vector<SentRequest> SendUntil(const TestCluster& cluster, int caller,
                                   const std::atomic<bool>* stop) {
  ApiClientSettings settings;
  settings.token = "operator-secret";
  for (int i = 0; i < kEntries; ++i) {
    settings.entries.push_back(cluster.entry_address((caller + i) % kEntries));
  }
  ApiClient client(settings);
  std::vector<SentRequest> all;
  while (!*stop) {
    const std::string id =
        std::to_string(caller) + "-" + std::to_string(all.size());
    const TestRequest request{0, id, caller % 3 == 0 ? id : "",
                              Milliseconds(8000)};
    const auto response = client.Send("POST", kRequestTarget, BodyOf(request),
                                      HeadersOf(request), nullptr);
    all.push_back({request, ParseResult(request, response)});
  }
  return all;
}

TEST_CASE("a rolling restart under load aborts no request") {
  TestClusterSettings settings;
  // Long enough that some requests are in flight at every shutdown.
  settings.service_time_ms = 250;
  TestCluster cluster{settings};
  REQUIRE(cluster.Start());
  REQUIRE(PrepareRequestAccount(&cluster, kEntries));

  std::atomic<bool> stop{false};
  std::vector<std::future<std::vector<SentRequest>>> callers;
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
  std::vector<SentRequest> all;
  for (auto& caller : callers) {
    for (SentRequest& sent : caller.get()) all.push_back(std::move(sent));
  }
  const RunCounts runs = CountRuns(&cluster);
  for (const SentRequest& sent : all) {
    CAPTURE(sent.request.id);
    CAPTURE(sent.result.body);
    ++requests;
    CHECK(sent.result.outcome != Outcome::kNoAnswer);
    CHECK(sent.result.outcome != Outcome::kUnknown);
    if (sent.result.outcome == Outcome::kAnswered) {
      ++answered;
      CHECK(sent.result.own_answer);
    }
    // Exactly one run for each answer, since no executor failed: no request was
    // sent twice or lost.
    CHECK(runs.OfId(sent.request.id) ==
          (sent.result.outcome == Outcome::kAnswered ? 1 : 0));
  }
  MESSAGE(requests << " requests, " << answered << " answered, " << in_flight
                   << " in flight when a shutdown began");
  CHECK(answered > requests / 2);
  CHECK(in_flight > 0);
}

}  // namespace
}  // namespace thornplank
