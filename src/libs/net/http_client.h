// An HTTP/1.1 client with a pool of persistent connections per peer.
//
// A failure reports whether any byte of the request may have reached the peer.
// A request that was provably not sent may be retried elsewhere even if it is
// not idempotent.
#ifndef THORNPLANK_NET_HTTP_CLIENT_H_
#define THORNPLANK_NET_HTTP_CLIENT_H_

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

// How much of a failed request may have been sent.
enum class SendProgress {
  // No byte left this process, so the request was not run.
  kNotSent,
  // Some bytes may have reached the peer, and no complete response was
  // received.
  kUnknown,
};

struct HttpFailure {
  Error error;
  SendProgress progress = SendProgress::kUnknown;
  // The peer's host refused the connection: nothing listens at the address.
  bool connection_refused = false;
};

struct HttpClientLimits {
  size_t max_connections_per_peer = 8;
  size_t max_response_bytes = 16 * 1024 * 1024;
  Milliseconds connect_timeout{1000};
  Milliseconds idle_timeout{30000};
  // To all peers together; the least recently used ones are closed. 0 for no
  // limit.
  size_t max_idle_connections = 0;
  // For how long after its last complete response a connection counts as
  // verified.
  Milliseconds verified_for{500};
};

struct HttpSendOptions {
  // From the call of Send to the complete response, connecting included.
  Duration timeout = std::chrono::seconds(10);
  // Requires that, before the first byte of the request, the connection has
  // carried a complete response within `verified_for`. Otherwise a GET of
  // `probe_target` is sent first on the same connection.
  bool verify_connection = false;
  std::string probe_target = "/healthz";
  Duration probe_timeout = std::chrono::milliseconds(500);
  // If not empty, the response must carry this header with the same value as
  // the request. Otherwise the response is discarded, the connection closed,
  // and the request fails with progress kUnknown ("crossed answer").
  std::string match_header;
  // The request may be processed twice. If an exchange on a connection that was
  // used before ends without a response, the request is sent again on another
  // one: the peer may have restarted since.
  bool idempotent = false;
  // Called immediately before the first byte is written, on the writing thread.
  // Returning false abandons the request as kNotSent. It lets a caller that may
  // have been paused check one last time that it may still send.
  std::function<bool()> may_send;
};

class HttpClient {
 public:
  // Exactly one of the response and the failure is set.
  using Callback =
      std::function<void(std::optional<HttpResponse>, const HttpFailure&)>;

  HttpClient(boost::asio::io_context& io, HttpClientLimits limits);
  ~HttpClient();

  // Sends `request` to `peer` ("ip:port"). `callback` runs once, on any thread,
  // never before Send returns. While all connections to the peer are in use the
  // request is queued; the time in the queue counts against its timeout.
  void Send(const std::string& peer, HttpRequest request,
            HttpSendOptions options, Callback callback);

  // Fails all pending requests and closes all connections.
  void Close();

  size_t connections(const std::string& peer) const;
  // Bytes written to and read from all peers since the client was created.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_HTTP_CLIENT_H_
