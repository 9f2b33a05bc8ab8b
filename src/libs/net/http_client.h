// An HTTP/1.1 client with a pool of kept-alive connections per peer.
//
// The failure it reports says whether any byte of the request may have
// reached the peer: what was provably not sent may be tried again elsewhere,
// even when it is not idempotent.
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

// How far a failed request had come.
enum class SendProgress {
  // No byte left this process: proved not run.
  kNotSent,
  // Some byte may have reached the peer and no whole answer came back.
  kUnknown,
};

struct HttpFailure {
  Error error;
  SendProgress progress = SendProgress::kUnknown;
  // The peer's host answered that nothing listens at the address.
  bool connection_refused = false;
};

struct HttpClientLimits {
  size_t max_connections_per_peer = 8;
  size_t max_response_bytes = 16 * 1024 * 1024;
  Milliseconds connect_timeout{1000};
  Milliseconds idle_timeout{30000};
  // A kept connection counts as proved live for this long after the last
  // whole answer on it.
  Milliseconds verified_for{500};
};

struct HttpSendOptions {
  // From now to the whole answer, connecting included.
  Duration timeout = std::chrono::seconds(10);
  // Before the first byte of the request, the connection must have carried a
  // whole answer less than `verified_for` ago; otherwise a GET of
  // `probe_target` goes first, on the same connection.
  bool verify_connection = false;
  std::string probe_target = "/healthz";
  Duration probe_timeout = std::chrono::milliseconds(500);
  // When not empty, the answer must carry this header with the same value as
  // the request, else it is dropped, the connection closed and the request
  // fails with progress kUnknown ("crossed answer").
  std::string match_header;
  // Called just before the first byte is written, on the thread that writes.
  // Returning false abandons the request as kNotSent. This is the last check
  // of a holder that may have been paused.
  std::function<bool()> may_send;
};

class HttpClient {
 public:
  // Exactly one of response and failure is set.
  using Callback =
      std::function<void(std::optional<HttpResponse>, const HttpFailure&)>;

  HttpClient(boost::asio::io_context& io, HttpClientLimits limits);
  ~HttpClient();

  // Sends `request` to `peer` ("ip:port"). `callback` runs once, on any
  // thread, never before Send returns. With every connection of the peer in
  // use the request waits, within its timeout.
  void Send(const std::string& peer, HttpRequest request,
            HttpSendOptions options, Callback callback);

  // Fails what is pending and closes every connection.
  void Close();

  size_t connections(const std::string& peer) const;
  // Bytes written to and read from all peers since the start.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_HTTP_CLIENT_H_
