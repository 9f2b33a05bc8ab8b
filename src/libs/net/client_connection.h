// One connection of the HTTP client. It carries one exchange (a request and its
// response) at a time and is monitored while idle.
#ifndef THORNPLANK_NET_CLIENT_CONNECTION_H_
#define THORNPLANK_NET_CLIENT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/streambuf.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "net/http_client.h"
#include "net/http_codec.h"
#include "net/http_message.h"
#include "net/traffic_counters.h"

namespace thornplank {

// All functions must be called on the strand, and handlers run on it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  // Exactly one of the response and the failure is set.
  using ExchangeHandler =
      std::function<void(std::optional<HttpResponse>, const HttpFailure&)>;

  // `on_idle_close` runs when the connection closes while idle.
  ClientConnection(const Strand& strand, std::string peer,
                   size_t max_response_bytes,
                   std::shared_ptr<TrafficCounters> traffic,
                   std::function<void()> on_idle_close);

  // `handler` receives nullopt once connected. No other function may be called
  // before it runs.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint, Duration timeout,
               std::function<void(std::optional<HttpFailure>)> handler);

  // Checks the socket itself: the connection is idle, the peer has not closed
  // it, and there are no unsolicited bytes to read.
  bool IsUsable();

  // Sends `request` and passes the response to `handler`. Requires IsUsable().
  // When `handler` runs, the connection is either idle again or closed.
  void Exchange(const HttpRequest& request, const std::string& match_header,
                ExchangeHandler handler);

  // Closes the connection. An exchange in progress fails with `reason`.
  void Close(const std::string& reason);

  bool is_open() const { return state_ != State::kClosed; }
  // Time of the last complete response; nullopt before the first.
  std::optional<Time> last_response_at() const { return last_response_at_; }

 private:
  enum class State { kConnecting, kIdle, kExchanging, kClosed };

  void WatchWhileIdle();
  void OnWatchEvent();
  void Read();
  void OnRead(const boost::system::error_code& code, size_t bytes);
  void OnWritten(const boost::system::error_code& code, size_t bytes);
  void OnResponse();
  void Fail(SendProgress progress, const std::string& step,
            const std::string& reason);
  void CloseSocket();

  const std::string peer_;
  const size_t max_response_bytes_;
  const std::shared_ptr<TrafficCounters> traffic_;
  const std::function<void()> on_idle_close_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  State state_ = State::kConnecting;
  std::optional<Time> last_response_at_;
  // A wait for readability is pending. It consumes no bytes, so it may remain
  // pending during an exchange; the next response completes it.
  bool watching_ = false;

  // State of the exchange in progress.
  ExchangeHandler handler_;
  std::optional<ResponseParser> parser_;
  std::string match_header_;
  std::string match_value_;
  std::string header_out_;
  std::string body_out_;
  bool request_written_ = false;
  boost::asio::streambuf buffer_;
  // How many bytes the next read may return.
  size_t read_bytes_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_CLIENT_CONNECTION_H_
