// Exchanges on one connection, with exact progress of failures.
#include "net/client_connection.h"

#include <sys/socket.h>

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

constexpr size_t kReadBytes = 16 * 1024;
constexpr size_t kMaxHeaderBytes = 64 * 1024;

// What stands at the socket, without taking it.
enum class Readable { kNothing, kBytes, kEnd };

Readable Peek(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return Readable::kBytes;
  if (count == 0) return Readable::kEnd;
  const bool nothing =
      errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return nothing ? Readable::kNothing : Readable::kEnd;
}

std::string_view View(const boost::asio::streambuf& buffer) {
  const auto data = buffer.data();
  return std::string_view(static_cast<const char*>(data.data()), data.size());
}

}  // namespace

ClientConnection::ClientConnection(const Strand& strand, std::string peer,
                                   size_t max_response_bytes,
                                   std::shared_ptr<TrafficCounters> traffic,
                                   std::function<void()> on_lost)
    : peer_(std::move(peer)),
      max_response_bytes_(max_response_bytes),
      traffic_(std::move(traffic)),
      on_lost_(std::move(on_lost)),
      socket_(strand),
      connect_timer_(strand) {}

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
          failure.nobody_listens =
              code == boost::asio::error::connection_refused;
          return handler(std::move(failure));
        }
        error_code ignored;
        self->socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->state_ = State::kIdle;
        self->Watch();
        handler(std::nullopt);
      });
}

bool ClientConnection::IsUsable() {
  return state_ == State::kIdle && Peek(socket_) == Readable::kNothing;
}

// Notices closes and stray bytes while idle.
void ClientConnection::Watch() {
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
  const Readable readable = Peek(socket_);
  if (readable == Readable::kNothing) return Watch();
  if (readable == Readable::kBytes) {
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
  written_ = false;
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
    written_ = true;
    return;
  }
  // Not one byte was handed to the socket.
  if (bytes == 0) return Fail(SendProgress::kNotSent, "send", code.message());
  // An early answer may stand before the close; the read finds out.
}

void ClientConnection::Read() {
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
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
  size_t consumed = 0;
  const ParseState state = parser_->Feed(View(buffer_), &consumed);
  buffer_.consume(consumed);
  switch (state) {
    case ParseState::kMore:
    case ParseState::kHeader:
      return Read();
    case ParseState::kDone:
      return OnAnswer();
    case ParseState::kMalformed:
      return Fail(SendProgress::kUnknown, "read answer", "malformed answer");
    case ParseState::kHeaderTooLarge:
    case ParseState::kBodyTooLarge:
      return Fail(SendProgress::kUnknown, "read answer",
                  "the answer is too large");
  }
}

void ClientConnection::OnAnswer() {
  const bool keep_alive = parser_->keep_alive();
  HttpResponse response = parser_->Take();
  if (!match_header_.empty() &&
      response.headers.Value(match_header_) != match_value_) {
    LogEvent(events::kAnswerMismatched,
             {{"peer", peer_}, {"header", match_header_}});
    return Fail(SendProgress::kUnknown, "read answer", "crossed answer");
  }
  last_answer_ = std::chrono::steady_clock::now();
  // An early answer leaves the rest of the request unsent, and bytes after an
  // answer belong to nobody.
  if (keep_alive && written_ && buffer_.size() == 0) {
    state_ = State::kIdle;
    Watch();
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
  if (state == State::kIdle) on_lost_();
}

void ClientConnection::CloseSocket() {
  state_ = State::kClosed;
  error_code code;
  socket_.close(code);
  connect_timer_.cancel();
}

}  // namespace thornplank
