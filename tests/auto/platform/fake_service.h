// An in-process platform service with responses defined by the test.
#ifndef THORNPLANK_TESTS_PLATFORM_FAKE_SERVICE_H_
#define THORNPLANK_TESTS_PLATFORM_FAKE_SERVICE_H_

#include <doctest/doctest.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_pool.h"
#include "platform/log_client.h"

namespace thornplank::test {

inline HttpResponse JsonResponse(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

// Guards state shared between the test and the service's threads. WaitFor waits
// until `condition` holds under the lock and fails the test after 10 s.
class SharedState {
 public:
  template <class Change>
  void Update(Change change) {
    std::lock_guard lock(mutex_);
    change();
    changed_.notify_all();
  }
  template <class Condition>
  void WaitFor(Condition condition) {
    std::unique_lock lock(mutex_);
    REQUIRE(changed_.wait_for(lock, std::chrono::seconds(10), condition));
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
};

// A server that runs the test's handler, and a client for it.
class FakeService {
 public:
  using Handler =
      std::function<void(const HttpRequest&, HttpServer::Responder)>;

  explicit FakeService(Handler handler, HttpClientLimits limits = {})
      : pool(2),
        server(pool.io(), {},
               [handler = std::move(handler)](HttpRequest request,
                                              HttpServer::Responder respond) {
                 handler(request, std::move(respond));
               }),
        http(pool.io(), limits) {
    REQUIRE(server.Listen("127.0.0.1:0", nullptr));
    pool.Start();
  }
  ~FakeService() { pool.Stop(); }

  IoPool pool;
  HttpServer server;
  HttpClient http;
};

}  // namespace thornplank::test

#endif  // THORNPLANK_TESTS_PLATFORM_FAKE_SERVICE_H_
