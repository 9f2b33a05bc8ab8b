// Sends requests and receives responses on one connection, and determines for
// each failure whether the request may have been sent.
#include "net/client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <string_view>
#include <utility>

#include "logging/events/network_events.h"

namespace thornplank {
namespace {

using boost::system::error_code;

// Most responses are small, and a client may have thousands of connections,
// each with a buffer of its own. It grows with the responses.
constexpr size_t kMinReadBytes = 1024;
constexpr size_t kMaxReadBytes = 64 * 1024;
constexpr size_t kMaxHeaderBytes = 64 * 1024;

// What can be read from the socket, determined without consuming it.
enum class PeekResult { kNothing, kBytes, kEndOfStream };

PeekResult Peek(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return PeekResult::kBytes;
  if (count == 0) return PeekResult::kEndOfStream;
  const bool nothing =
      errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return nothing ? PeekResult::kNothing : PeekResult::kEndOfStream;
}

std::string_view View(const boost::asio::streambuf& buffer) {
  const auto data = buffer.data();
  return std::string_view(static_cast<const char*>(data.data()), data.size());
}

}  // namespace

ClientConnection::ClientConnection(const Strand& strand, std::string peer,
                                   size_t max_response_bytes,
                                   std::shared_ptr<TrafficCounters> traffic,
                                   std::function<void()> on_idle_close)
    : peer_(std::move(peer)),
      max_response_bytes_(max_response_bytes),
      traffic_(std::move(traffic)),
      on_idle_close_(std::move(on_idle_close)),
      socket_(strand),
      connect_timer_(strand),
      read_bytes_(kMinReadBytes) {}

void ClientConnection::Connect(
    const boost::asio::ip::tcp::endpoint& endpoint, Duration timeout,
    std::function<void(std::optional<HttpFailure>)> handler) {
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const error_code& code) {
        if (code || self->state_ != State::kConnecting) return;
        error_code ignored;
        self->socket_.close(ignored);
      });
  socket_.async_connect(
      endpoint, [self = shared_from_this(),
                 handler = std::move(handler)](const error_code& code) {
        self->connect_timer_.cancel();
        const bool open = self->socket_.is_open();
        if (code || !open || self->state_ != State::kConnecting) {
          const std::string reason = open ? code.message() : "timed out";
          self->CloseSocket();
          HttpFailure failure;
          failure.error = {"connect", self->peer_, reason};
          failure.progress = SendProgress::kNotSent;
          failure.connection_refused =
              code == boost::asio::error::connection_refused;
          return handler(std::move(failure));
        }
        error_code ignored;
        self->socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->state_ = State::kIdle;
        self->WatchWhileIdle();
        handler(std::nullopt);
      });
}

bool ClientConnection::IsUsable() {
  return state_ == State::kIdle && Peek(socket_) == PeekResult::kNothing;
}

// Waits, while idle, for the peer to close the connection or to send
// unsolicited bytes.
void ClientConnection::WatchWhileIdle() {
  if (watching_) return;
  watching_ = true;
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& code) {
                       self->watching_ = false;
                       if (!code) self->OnWatchEvent();
                     });
}

void ClientConnection::OnWatchEvent() {
  if (state_ != State::kIdle) return;
  const PeekResult input = Peek(socket_);
  if (input == PeekResult::kNothing) return WatchWhileIdle();
  if (input == PeekResult::kBytes) {
    LogEvent(events::kStrayBytes, {{"peer", peer_}});
  }
  Close("closed by the peer");
}

void ClientConnection::Exchange(const HttpRequest& request,
                                const std::string& match_header,
                                ExchangeHandler handler) {
  state_ = State::kExchanging;
  handler_ = std::move(handler);
  parser_.emplace(ParseLimits{kMaxHeaderBytes, max_response_bytes_},
                  request.method == "HEAD");
  match_header_ = match_header;
  match_value_ =
      match_header.empty() ? "" : request.headers.Value(match_header);
  header_out_ = SerializeHeader(request, peer_);
  body_out_ = request.body;
  request_written_ = false;
  const std::array<boost::asio::const_buffer, 2> buffers = {
      boost::asio::buffer(header_out_), boost::asio::buffer(body_out_)};
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const error_code& code, size_t bytes) {
        self->OnWritten(code, bytes);
      });
  Read();
}

void ClientConnection::OnWritten(const error_code& code, size_t bytes) {
  traffic_->sent += bytes;
  if (state_ != State::kExchanging) return;
  if (!code) {
    request_written_ = true;
    return;
  }
  // No byte was passed to the socket.
  if (bytes == 0) return Fail(SendProgress::kNotSent, "send", code.message());
  // The peer may have sent an early response before it closed; the pending read
  // determines the outcome.
}

void ClientConnection::Read() {
  socket_.async_read_some(
      buffer_.prepare(read_bytes_),
      [self = shared_from_this()](const error_code& code, size_t bytes) {
        if (self->state_ == State::kExchanging) self->OnRead(code, bytes);
      });
}

void ClientConnection::OnRead(const error_code& code, size_t bytes) {
  traffic_->received += bytes;
  if (code == boost::asio::error::eof) {
    return Fail(SendProgress::kUnknown, "read answer",
                "closed before the answer was whole");
  }
  if (code) return Fail(SendProgress::kUnknown, "read answer", code.message());
  buffer_.commit(bytes);
  if (bytes >= read_bytes_) {
    read_bytes_ = std::min(read_bytes_ * 4, kMaxReadBytes);
  }
  size_t consumed = 0;
  const ParseState state = parser_->Feed(View(buffer_), &consumed);
  buffer_.consume(consumed);
  switch (state) {
    case ParseState::kMore:
    case ParseState::kHeader:
      return Read();
    case ParseState::kDone:
      return OnResponse();
    case ParseState::kMalformed:
      return Fail(SendProgress::kUnknown, "read answer", "malformed answer");
    case ParseState::kHeaderTooLarge:
    case ParseState::kBodyTooLarge:
      return Fail(SendProgress::kUnknown, "read answer",
                  "the answer is too large");
  }
}

void ClientConnection::OnResponse() {
  const bool keep_alive = parser_->keep_alive();
  HttpResponse response = parser_->Take();
  if (!match_header_.empty() &&
      response.headers.Value(match_header_) != match_value_) {
    LogEvent(events::kAnswerMismatched,
             {{"peer", peer_}, {"header", match_header_}});
    return Fail(SendProgress::kUnknown, "read answer", "crossed answer");
  }
  last_response_at_ = std::chrono::steady_clock::now();
  // After an early response the rest of the request is unsent, and bytes that
  // follow a response belong to no request: the connection cannot be reused.
  if (keep_alive && request_written_ && buffer_.size() == 0) {
    state_ = State::kIdle;
    WatchWhileIdle();
  } else {
    CloseSocket();
  }
  const ExchangeHandler handler = std::exchange(handler_, nullptr);
  handler(std::move(response), {});
}

void ClientConnection::Fail(SendProgress progress, const std::string& step,
                            const std::string& reason) {
  CloseSocket();
  const ExchangeHandler handler = std::exchange(handler_, nullptr);
  if (!handler) return;
  HttpFailure failure;
  failure.error = {step, peer_, reason};
  failure.progress = progress;
  handler(std::nullopt, failure);
}

void ClientConnection::Close(const std::string& reason) {
  const State state = state_;
  if (state == State::kClosed) return;
  if (state == State::kExchanging) {
    return Fail(SendProgress::kUnknown, "exchange", reason);
  }
  CloseSocket();
  if (state == State::kIdle) on_idle_close_();
}

void ClientConnection::CloseSocket() {
  state_ = State::kClosed;
  error_code code;
  socket_.close(code);
  connect_timer_.cancel();
}

}  // namespace thornplank
