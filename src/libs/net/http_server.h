// An HTTP/1.1 server that limits the resources a single caller can use.
//
// A request that exceeds a limit is refused with a problem-details body (RFC
// 9457); other connections are not affected.
#ifndef THORNPLANK_NET_HTTP_SERVER_H_
#define THORNPLANK_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "net/http_message.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  size_t max_connections = 4096;
  // Memory for request bodies over all connections. Above it, new bodies are
  // refused with 503 and Retry-After.
  size_t max_buffered_bytes = 48 * 1024 * 1024;
  // Time in which a caller must send the complete header, and then the complete
  // body.
  Milliseconds header_timeout{10000};
  Milliseconds body_timeout{30000};
  Milliseconds idle_timeout{75000};
  // Time in which a peer must receive the complete response.
  Milliseconds write_timeout{30000};
  // After Drain, how long a connection without a request stays open, so that a
  // request sent just before is still answered.
  Milliseconds drain_grace{200};
};

class HttpServer {
 public:
  // The handler is called once per request, on any thread; the responder may be
  // called on any thread. A responder destroyed without a call responds with
  // 500. Calls after the first one, or after the connection has closed, do
  // nothing. Responders must not outlive the io_context, called or not.
  using Responder = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(boost::asio::io_context& io, HttpServerLimits limits,
             Handler handler);
  // Calls Close. Handlers running on other threads at that time still finish.
  ~HttpServer();

  // Listens on "ip:port"; port 0 selects a free port. Returns false and sets
  // `*error` when the address is in use or malformed.
  bool Listen(const std::string& address, Error* error);
  // The address being listened on, "ip:port".
  std::string address() const;

  // Graceful shutdown: stops accepting, lets the requests in flight finish with
  // "Connection: close" in their responses, then calls `done` once.
  void Drain(std::function<void()> done);
  // Closes the listener and all connections immediately.
  void Close();

  size_t requests_in_flight() const;
  size_t connections() const;
  size_t buffered_bytes() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_HTTP_SERVER_H_
