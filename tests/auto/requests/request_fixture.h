// The request managers of one or more entries, with real HTTP and peer links,
// between a client and the fakes.
#ifndef THORNPLANK_TESTS_REQUESTS_REQUEST_FIXTURE_H_
#define THORNPLANK_TESTS_REQUESTS_REQUEST_FIXTURE_H_

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "api/api_router.h"
#include "fake_upstreams.h"
#include "metrics/metrics_registry.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_pool.h"
#include "platform/log_client.h"
#include "protocol/peer_mesh.h"
#include "requests/request_manager.h"

namespace thornplank::test {

template <typename Condition>
bool WaitUntil(Condition condition) {
  const Time end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return true;
}

// The parts of an entry process that a RequestManager needs.
struct TestEntry {
  TestEntry(boost::asio::io_context& io, const std::string& name,
            const std::string& log_address, bool with_mesh)
      : http(io, {}),
        log(http, log_address),
        router({{"caller", "caller-token", Role::kCaller, "north"},
                {"stranger", "stranger-token", Role::kCaller, "nowhere"},
                {"viewer", "viewer-token", Role::kViewer, ""}}),
        server(io, {},
               [this](HttpRequest request, HttpServer::Responder respond) {
                 router.Route(std::move(request), std::move(respond));
               }) {
    Error error;
    if (with_mesh) {
      PeerMeshSettings mesh_settings;
      mesh_settings.name = name;
      mesh_settings.incarnation = name + "-1";
      mesh_settings.listen = "127.0.0.1:0";
      mesh_settings.shared_secret = "secret";
      mesh = std::make_unique<PeerMesh>(io, mesh_settings);
    }
    RequestManagerSettings settings;
    settings.self = {name, name + "-1"};
    settings.claim_writer.timeout = Milliseconds(200);
    settings.claim_writer.retry_delay = Milliseconds(10);
    settings.claim_writer.max_retry_delay = Milliseconds(50);
    settings.claim_writer.min_interval = Milliseconds(1);
    settings.claim_follower.retry_delay = Milliseconds(2);
    settings.claim_follower.max_retry_delay = Milliseconds(20);
    settings.claim_log_timeout = Milliseconds(300);
    manager = std::make_unique<RequestManager>(io, http, mesh.get(), log,
                                               metrics, settings);
    manager->RegisterRoutes(router);
    manager->SetAccounts({AccountLimits{"north", ""}});
    REQUIRE(server.Listen("127.0.0.1:0", &error));
    if (mesh) REQUIRE(mesh->Start(&error));
    manager->Start();
  }

  void Stop() {
    server.Close();
    manager->Stop();
    if (mesh) mesh->Stop();
    http.Close();
  }

  HttpClient http;
  LogClient log;
  MetricsRegistry metrics;
  ApiRouter router;
  std::unique_ptr<PeerMesh> mesh;
  std::unique_ptr<RequestManager> manager;
  HttpServer server;
};

class RequestFixture {
 public:
  explicit RequestFixture(int entry_count = 1)
      : pool_(3),
        log(pool_.io()),
        executor(pool_.io()),
        client_(pool_.io(), HttpClientLimits{64}) {
    pool_.Start();
    std::vector<std::string> addresses;
    for (int i = 0; i < entry_count; ++i) {
      entries.push_back(
          std::make_unique<TestEntry>(pool_.io(), "entry-" + std::to_string(i),
                                      log.address(), entry_count > 1));
      if (entry_count > 1) addresses.push_back(entries[i]->mesh->address());
    }
    for (auto& entry : entries) {
      if (entry->mesh) entry->mesh->SetPeers(addresses);
      entry->manager->SetExecutors(
          {{"executor-1", executor.address(), "claims", "", 64, false}});
      entry->manager->SetLiveEntries(LiveNames());
      entry->manager->SetReachableEntries(LiveEntries());
      REQUIRE(WaitUntil([&] { return entry->manager->claims_ready(); }));
      REQUIRE(WaitUntil([&] {
        return !entry->mesh ||
               entry->mesh->connected_peers().size() + 1 == entries.size();
      }));
    }
  }

  ~RequestFixture() {
    for (auto& entry : entries) entry->Stop();
    client_.Close();
    executor.Close();
    log.Close();
    pool_.Stop();
  }

  std::vector<std::string> LiveNames() const {
    std::vector<std::string> names;
    for (const ClaimHolder& entry : LiveEntries()) names.push_back(entry.entry);
    return names;
  }

  std::vector<ClaimHolder> LiveEntries() const {
    std::vector<ClaimHolder> live;
    for (size_t i = 0; i < entries.size(); ++i) {
      const std::string name = "entry-" + std::to_string(i);
      live.push_back({name, name + "-1"});
    }
    return live;
  }

  // A request without an idempotency key.
  static HttpRequest IdempotentRequest(const std::string& body = "trace") {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/services/claims/requests";
    request.headers.Set("Authorization", "Bearer caller-token");
    request.headers.Set("Thornplank-Deadline-Ms", "5000");
    request.body = body;
    return request;
  }
  // A request with an idempotency key that was created `age` ago.
  static HttpRequest KeyedRequest(const std::string& key,
                                  const std::string& deadline_ms = "5000",
                                  Milliseconds age = Milliseconds(0)) {
    HttpRequest request = IdempotentRequest("pay");
    const WallTime made = std::chrono::system_clock::now() - age;
    request.headers.Set("Idempotency-Key", key);
    request.headers.Set("Idempotency-Key-Time",
                        std::to_string(ToUnixMilliseconds(made)));
    request.headers.Set("Thornplank-Deadline-Ms", deadline_ms);
    return request;
  }

  // Sends the request to the entry with this index. Without a response, the
  // result has the status 0 and the error as its body.
  std::future<HttpResponse> SendAsync(HttpRequest request, size_t entry = 0) {
    auto promise = std::make_shared<std::promise<HttpResponse>>();
    HttpSendOptions options;
    options.timeout = std::chrono::seconds(20);
    client_.Send(entries[entry]->server.address(), std::move(request), options,
                 [promise](std::optional<HttpResponse> response,
                           const HttpFailure& failure) {
                   HttpResponse lost;
                   lost.status = 0;
                   lost.body = failure.error.ToString();
                   promise->set_value(response ? *response : lost);
                 });
    return promise->get_future();
  }
  HttpResponse Send(HttpRequest request, size_t entry = 0) {
    return SendAsync(std::move(request), entry).get();
  }

 private:
  IoPool pool_;

 public:
  FakeLog log;
  FakeExecutor executor;
  std::vector<std::unique_ptr<TestEntry>> entries;

 private:
  HttpClient client_;
};

inline std::string OutcomeOf(const HttpResponse& response) {
  return response.headers.Value("Thornplank-Outcome");
}

}  // namespace thornplank::test

#endif  // THORNPLANK_TESTS_REQUESTS_REQUEST_FIXTURE_H_
