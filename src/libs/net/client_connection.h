// One connection of the HTTP client: one exchange of request and response at a
// time, and a watch on the connection in between.
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

// Every member is called, and calls back, on the strand.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  // Exactly one of response and failure is set.
  using ExchangeHandler =
      std::function<void(std::optional<HttpResponse>, const HttpFailure&)>;

  // `on_lost` runs when the connection closes while idle.
  ClientConnection(const Strand& strand, std::string peer,
                   size_t max_response_bytes,
                   std::shared_ptr<TrafficCounters> traffic,
                   std::function<void()> on_lost);

  // `handler` gets nullopt once connected. Nothing else before that.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint, Duration timeout,
               std::function<void(std::optional<HttpFailure>)> handler);

  // Asks the socket itself: open, and neither closed by the peer nor holding
  // bytes that nobody asked for.
  bool IsUsable();

  // Sends `request` and hands over the answer. Needs IsUsable(). Afterwards
  // the connection is either idle again or closed, before `handler` runs.
  void Exchange(const HttpRequest& request, const std::string& match_header,
                ExchangeHandler handler);

  // Closes; a running exchange fails with `reason`.
  void Close(const std::string& reason);

  bool is_open() const { return state_ != State::kClosed; }
  // When the last whole answer arrived; nullopt before the first.
  std::optional<Time> last_answer() const { return last_answer_; }

 private:
  enum class State { kConnecting, kIdle, kExchanging, kClosed };

  void Watch();
  void OnWatchEvent();
  void Read();
  void OnRead(const boost::system::error_code& code, size_t bytes);
  void OnWritten(const boost::system::error_code& code, size_t bytes);
  void OnAnswer();
  void Fail(SendProgress progress, const std::string& step,
            const std::string& reason);
  void CloseSocket();

  const std::string peer_;
  const size_t max_response_bytes_;
  const std::shared_ptr<TrafficCounters> traffic_;
  const std::function<void()> on_lost_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  State state_ = State::kConnecting;
  std::optional<Time> last_answer_;
  // A wait for readability is pending. It takes no bytes, so it may stay
  // pending into an exchange; the next answer completes it.
  bool watching_ = false;

  // Of the running exchange.
  ExchangeHandler handler_;
  std::optional<ResponseParser> parser_;
  std::string match_header_;
  std::string match_value_;
  std::string header_out_;
  std::string body_out_;
  bool written_ = false;
  boost::asio::streambuf buffer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_CLIENT_CONNECTION_H_
