// Baseline for comparisons with an entry: forwards requests to the executors in
// round-robin order, without limits, accounts or retries.
#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_pool.h"

DEFINE_string(listen, "127.0.0.1:18500", "ip:port");
DEFINE_string(executors, "", "ip:port,...");
DEFINE_int32(threads, 2, "threads");

namespace thornplank {
namespace {

constexpr Milliseconds kTimeout{60000};

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

class RoundRobinForwarder {
 public:
  RoundRobinForwarder(HttpClient& http, std::vector<std::string> executors)
      : http_(http), executors_(std::move(executors)) {}

  void Forward(HttpRequest request, HttpServer::Responder respond) {
    const uint64_t serial = next_.fetch_add(1);
    const std::string& executor = executors_[serial % executors_.size()];
    HttpRequest forwarded;
    forwarded.method = "POST";
    forwarded.headers.Set("Thornplank-Request-Id", std::to_string(serial));
    forwarded.body = std::move(request.body);
    HttpSendOptions options;
    options.timeout = kTimeout;
    http_.Send(executor, std::move(forwarded), options,
               [respond = std::move(respond)](
                   std::optional<HttpResponse> response, const HttpFailure&) {
                 respond(ToAnswer(std::move(response)));
               });
  }

 private:
  static HttpResponse ToAnswer(std::optional<HttpResponse> response) {
    HttpResponse answer;
    if (!response.has_value()) {
      answer.status = 502;
      answer.headers.Set("Thornplank-Outcome", "unknown");
      return answer;
    }
    answer.status = response->status;
    answer.body = std::move(response->body);
    answer.headers.Set("Thornplank-Outcome",
                       answer.status == 200 ? "answered" : "not-run");
    return answer;
  }

  HttpClient& http_;
  const std::vector<std::string> executors_;
  std::atomic<uint64_t> next_{0};
};

int Run() {
  IoPool pool(FLAGS_threads);
  HttpClientLimits limits;
  limits.max_connections_per_peer = 7;
  HttpClient http(pool.io(), limits);
  RoundRobinForwarder forwarder(http, SplitList(FLAGS_executors));
  HttpServer server(
      pool.io(), HttpServerLimits(),
      [&forwarder](HttpRequest request, HttpServer::Responder respond) {
        forwarder.Forward(std::move(request), std::move(respond));
      });
  Error error;
  if (!server.Listen(FLAGS_listen, &error)) {
    std::cerr << error.ToString() << "\n";
    return 2;
  }
  pool.Start();
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  io.run();
  server.Close();
  http.Close();
  pool.Stop();
  return 0;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::Run();
}
