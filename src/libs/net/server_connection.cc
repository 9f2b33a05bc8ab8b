// Implements the phases of a server connection and their timeouts.
#include "net/server_connection.h"

#include <array>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

#include "net/endpoint.h"
#include "net/problem_response.h"

namespace thornplank {
namespace {

using boost::system::error_code;

constexpr size_t kHeaderReadBytes = 4 * 1024;
constexpr size_t kBodyReadBytes = 16 * 1024;
constexpr std::chrono::seconds kLingerTimeout{1};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char kRetryAfterSeconds[] = "1";
// Bodies below the budget divided by this number and by the maximum number of
// connections are exempt from the budget. All of them together take at most
// 1/kSmallBodyDivisor of the budget in addition to it.
constexpr size_t kSmallBodyDivisor = 8;

std::string_view View(const boost::asio::streambuf& buffer) {
  const auto data = buffer.data();
  return std::string_view(static_cast<const char*>(data.data()), data.size());
}

}  // namespace

// The response that a handler owes. If it is destroyed unsent it responds with
// 500, so that a lost responder does not hold the connection forever.
class ServerConnection::PendingResponse {
 public:
  explicit PendingResponse(std::shared_ptr<ServerConnection> connection)
      : connection_(std::move(connection)) {}

  ~PendingResponse() {
    if (sent_.load()) return;
    Send(ProblemResponse(500, {"handle", connection_->remote_,
                               "the request was dropped without an answer"}));
  }

  void Send(HttpResponse response) {
    if (sent_.exchange(true)) return;
    boost::asio::dispatch(
        connection_->socket_.get_executor(),
        [connection = connection_, response = std::move(response)]() mutable {
          connection->Respond(std::move(response));
        });
  }

 private:
  const std::shared_ptr<ServerConnection> connection_;
  std::atomic<bool> sent_{false};
};

ServerConnection::ServerConnection(boost::asio::ip::tcp::socket socket,
                                   std::shared_ptr<ServerConnectionOwner> owner)
    : socket_(std::move(socket)),
      owner_(std::move(owner)),
      timer_(socket_.get_executor()) {
  error_code code;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), code);
  remote_ = FormatEndpoint(socket_.remote_endpoint(code));
}

void ServerConnection::Start() {
  boost::asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == Phase::kClosed) return;
    self->BeginRequest(self->owner_->limits().header_timeout);
    if (self->owner_->draining()) self->Drain();
  });
}

void ServerConnection::Refuse(HttpResponse response) {
  boost::asio::dispatch(
      socket_.get_executor(),
      [self = shared_from_this(), response = std::move(response)]() mutable {
        if (self->phase_ == Phase::kClosed) return;
        self->Write(std::move(response), /*keep_alive=*/false);
      });
}

void ServerConnection::Drain() {
  boost::asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ != Phase::kIdle) return;
    self->SetDeadline(self->owner_->limits().drain_grace);
  });
}

void ServerConnection::Close() {
  boost::asio::dispatch(socket_.get_executor(),
                        [self = shared_from_this()] { self->CloseNow(); });
}

void ServerConnection::BeginRequest(Duration first_byte_timeout) {
  const HttpServerLimits& limits = owner_->limits();
  phase_ = Phase::kIdle;
  parser_.emplace(ParseLimits{limits.max_header_bytes, limits.max_body_bytes});
  SetDeadline(first_byte_timeout);
  if (buffer_.size() > 0) {
    OnRead(0);
  } else {
    Read();
  }
}

void ServerConnection::Read() {
  const size_t room =
      phase_ == Phase::kBody ? kBodyReadBytes : kHeaderReadBytes;
  socket_.async_read_some(
      buffer_.prepare(room),
      [self = shared_from_this()](const error_code& code, size_t bytes) {
        const bool reading = self->phase_ == Phase::kIdle ||
                             self->phase_ == Phase::kHeader ||
                             self->phase_ == Phase::kBody;
        if (!reading) return;
        if (code) return self->CloseNow();
        self->OnRead(bytes);
      });
}

void ServerConnection::OnRead(size_t bytes) {
  buffer_.commit(bytes);
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kHeader;
    SetDeadline(owner_->limits().header_timeout);
  }
  Parse();
}

void ServerConnection::Parse() {
  const HttpServerLimits& limits = owner_->limits();
  while (true) {
    size_t consumed = 0;
    const ParseState state = parser_->Feed(View(buffer_), &consumed);
    buffer_.consume(consumed);
    switch (state) {
      case ParseState::kHeader:
        if (!AcceptHeader()) return;
        continue;
      case ParseState::kMore:
        if (!ReserveBody(parser_->body_bytes())) return;
        return Read();
      case ParseState::kDone:
        if (!ReserveBody(parser_->body_bytes())) return;
        return Dispatch();
      case ParseState::kMalformed:
        return RefuseRequest(400, "the request is malformed");
      case ParseState::kHeaderTooLarge:
        return RefuseRequest(431, "the header is larger than " +
                                      std::to_string(limits.max_header_bytes) +
                                      " bytes");
      case ParseState::kBodyTooLarge:
        return RefuseRequest(413, "the body is larger than " +
                                      std::to_string(limits.max_body_bytes) +
                                      " bytes");
    }
  }
}

bool ServerConnection::AcceptHeader() {
  phase_ = Phase::kBody;
  SetDeadline(owner_->limits().body_timeout);
  const std::optional<uint64_t> length = parser_->content_length();
  // Refuses early a body that does not fit now. The reservation is released
  // again and the budget charged as bytes arrive, so that callers who announce
  // bodies without sending them do not exclude others.
  if (length && !ReserveBody(static_cast<size_t>(*length))) return false;
  owner_->ReleaseBytes(std::exchange(reserved_bytes_, 0));
  if (parser_->expects_continue() && buffer_.size() == 0) SendContinue();
  return true;
}

bool ServerConnection::ReserveBody(size_t bytes) {
  if (bytes <= reserved_bytes_) return true;
  // Small bodies are exempt, so that slow senders of large bodies who use up
  // the budget do not exclude them.
  const HttpServerLimits& limits = owner_->limits();
  if (bytes <=
      limits.max_buffered_bytes / kSmallBodyDivisor / limits.max_connections) {
    return true;
  }
  if (!owner_->ReserveBytes(bytes - reserved_bytes_)) {
    RefuseRequest(503, "too many request bodies are held in memory");
    return false;
  }
  reserved_bytes_ = bytes;
  return true;
}

void ServerConnection::SendContinue() {
  // The text fits into any socket buffer. If the write fails, the client sends
  // its body after a short wait anyway.
  error_code code;
  socket_.non_blocking(true, code);
  socket_.write_some(boost::asio::buffer(kContinue.data(), kContinue.size()),
                     code);
}

void ServerConnection::Dispatch() {
  phase_ = Phase::kHandling;
  SetDeadline(Duration::max());
  keep_alive_ = parser_->keep_alive();
  HttpRequest request = parser_->Take();
  request.remote_address = remote_;
  is_head_request_ = request.method == "HEAD";
  in_flight_ = true;
  owner_->OnRequestStarted();
  auto pending = std::make_shared<PendingResponse>(shared_from_this());
  owner_->Handle(std::move(request), [pending](HttpResponse response) {
    pending->Send(std::move(response));
  });
}

void ServerConnection::Respond(HttpResponse response) {
  if (phase_ != Phase::kHandling) return;
  Write(std::move(response), keep_alive_);
}

void ServerConnection::RefuseRequest(int status, const std::string& reason) {
  HttpResponse response =
      ProblemResponse(status, {"read request", remote_, reason});
  if (status == 503) response.headers.Set("Retry-After", kRetryAfterSeconds);
  Write(std::move(response), /*keep_alive=*/false);
}

void ServerConnection::Write(HttpResponse response, bool keep_alive) {
  phase_ = Phase::kWriting;
  keep_alive_ = keep_alive && !owner_->draining();
  SetDeadline(owner_->limits().write_timeout);
  parser_.reset();
  owner_->ReleaseBytes(std::exchange(reserved_bytes_, 0));
  header_out_ = SerializeHeader(response, keep_alive_);
  body_out_ = is_head_request_ ? std::string() : std::move(response.body);
  const std::array<boost::asio::const_buffer, 2> buffers = {
      boost::asio::buffer(header_out_), boost::asio::buffer(body_out_)};
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const error_code& code, size_t) {
        if (self->phase_ != Phase::kWriting) return;
        if (code) return self->CloseNow();
        self->OnWritten();
      });
}

void ServerConnection::OnWritten() {
  body_out_ = std::string();
  is_head_request_ = false;
  if (std::exchange(in_flight_, false)) owner_->OnRequestEnded();
  if (!keep_alive_) return Linger();
  BeginRequest(owner_->limits().idle_timeout);
  // A drain that began during the write found this connection busy.
  if (owner_->draining()) Drain();
}

void ServerConnection::Linger() {
  phase_ = Phase::kLingering;
  SetDeadline(kLingerTimeout);
  error_code code;
  // A read left pending by a timeout would consume the bytes to be discarded.
  socket_.cancel(code);
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, code);
  buffer_.consume(buffer_.size());
  DiscardInput();
}

void ServerConnection::DiscardInput() {
  socket_.async_read_some(
      buffer_.prepare(kBodyReadBytes),
      [self = shared_from_this()](const error_code& code, size_t) {
        if (code) return self->CloseNow();
        self->DiscardInput();
      });
}

void ServerConnection::CloseNow() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  // Updates the counts before the peer can observe the close.
  owner_->ReleaseBytes(std::exchange(reserved_bytes_, 0));
  if (std::exchange(in_flight_, false)) owner_->OnRequestEnded();
  error_code code;
  socket_.close(code);
  timer_.cancel();
  owner_->OnClosed(shared_from_this());
}

void ServerConnection::SetDeadline(Duration from_now) {
  deadline_ = from_now == Duration::max()
                  ? Time::max()
                  : std::chrono::steady_clock::now() + from_now;
  if (deadline_ < timer_expiry_) ArmTimer();
}

// Most deadlines are replaced long before they expire. The timer is therefore
// rearmed only for an earlier time, and checks the current deadline when it
// expires.
void ServerConnection::ArmTimer() {
  timer_expiry_ = deadline_;
  timer_.expires_at(timer_expiry_);
  timer_.async_wait([self = shared_from_this()](const error_code& code) {
    if (code || self->phase_ == Phase::kClosed) return;
    if (std::chrono::steady_clock::now() < self->timer_expiry_) return;
    self->timer_expiry_ = Time::max();
    if (std::chrono::steady_clock::now() >= self->deadline_) {
      self->OnDeadline();
    } else if (self->deadline_ != Time::max()) {
      self->ArmTimer();
    }
  });
}

void ServerConnection::OnDeadline() {
  if (phase_ == Phase::kHeader) {
    return RefuseRequest(408, "the header took too long");
  }
  if (phase_ == Phase::kBody) {
    return RefuseRequest(408, "the body took too long");
  }
  if (phase_ != Phase::kHandling) CloseNow();
}

}  // namespace thornplank
