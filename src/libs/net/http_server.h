// An HTTP/1.1 server with bounds on what one caller may cost.
//
// Every limit refuses with a problem-details body (RFC 9457) and leaves other
// connections alone. Beast stays inside http_codec.cc.
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
  // Request bodies held in memory over all connections; beyond it new bodies
  // are refused with 503 and Retry-After.
  size_t max_buffered_bytes = 48 * 1024 * 1024;
  // A sender has this long for a whole header, and then for a whole body.
  Milliseconds header_timeout{10000};
  Milliseconds body_timeout{30000};
  Milliseconds idle_timeout{75000};
  // A peer has this long to take a whole response.
  Milliseconds write_timeout{30000};
  // After Drain, how long a connection without a request stays open: one that
  // was sent just before is still answered.
  Milliseconds drain_grace{200};
};

class HttpServer {
 public:
  // Called once per request; may be called, and calls back, on any thread. A
  // responder that is dropped uncalled answers 500; calls after the first, or
  // after the connection is gone, do nothing. It must not outlive the
  // io_context, called or not.
  using Responder = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(boost::asio::io_context& io, HttpServerLimits limits,
             Handler handler);
  // Closes. Handlers that run on other threads at that moment still finish.
  ~HttpServer();

  // Listens on "ip:port"; port 0 takes a free one. False and `*error` when
  // the address is in use or malformed.
  bool Listen(const std::string& address, Error* error);
  // The address in force, "ip:port".
  std::string address() const;

  // Graceful shutdown: stops accepting, lets every request in flight end,
  // answers them with "Connection: close", then calls `done` once.
  void Drain(std::function<void()> done);
  // Closes everything at once.
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
