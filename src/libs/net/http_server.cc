// Accepts connections and enforces the limits that span connections.
#include "net/http_server.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

#include "logging/events/network_events.h"
#include "net/endpoint.h"
#include "net/problem_response.h"
#include "net/server_connection.h"

namespace thornplank {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Up to this many connections above the limit are refused with a response; any
// more are closed without one.
constexpr size_t kMaxRefusals = 64;
// Delay after a failed accept, such as when out of file descriptors.
constexpr Milliseconds kAcceptRetryDelay{50};
constexpr char kRetryAfterSeconds[] = "1";

}  // namespace

class HttpServer::Impl : public ServerConnectionOwner,
                         public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(boost::asio::io_context& io, HttpServerLimits limits, Handler handler)
      : io_(io),
        limits_(limits),
        handler_(std::move(handler)),
        strand_(boost::asio::make_strand(io)),
        acceptor_(strand_),
        accept_timer_(strand_) {}

  bool Listen(const std::string& address, Error* error) {
    const std::optional<tcp::endpoint> endpoint = ParseEndpoint(address, error);
    if (!endpoint) return false;
    error_code code;
    acceptor_.open(endpoint->protocol(), code);
    // Lets a restarted process listen while old connections are in TIME_WAIT.
    // Binding still fails while another process listens.
    if (!code) acceptor_.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code) acceptor_.bind(*endpoint, code);
    if (!code) acceptor_.listen(SOMAXCONN, code);
    if (code) {
      SetError(error, "listen", address, code.message());
      acceptor_.close(code);
      return false;
    }
    address_ = FormatEndpoint(acceptor_.local_endpoint(code));
    LogEvent(events::kHttpListening, {{"address", address_}});
    boost::asio::post(strand_, [self = shared_from_this()] { self->Accept(); });
    return true;
  }

  const std::string& address() const { return address_; }

  void Drain(std::function<void()> done) {
    boost::asio::post(
        strand_, [self = shared_from_this(), done = std::move(done)]() mutable {
          self->StopAccepting();
          {
            std::lock_guard lock(self->mutex_);
            self->draining_ = true;
            self->drain_callbacks_.push_back(std::move(done));
          }
          for (const auto& connection : self->CopyConnections()) {
            connection->Drain();
          }
          self->NotifyIfDrained();
        });
  }

  void Close() {
    boost::asio::post(strand_, [self = shared_from_this()] {
      self->closed_ = true;
      error_code code;
      self->acceptor_.close(code);
      self->accept_timer_.cancel();
      for (const auto& connection : self->CopyConnections()) {
        connection->Close();
      }
    });
  }

  // For the destructor. Also releases the connections, which would otherwise
  // keep this object alive if the io_context no longer runs.
  void CloseAndRelease() {
    Close();
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;
    {
      std::lock_guard lock(mutex_);
      connections.swap(connections_);
      drain_callbacks_.clear();
    }
    for (const auto& connection : connections) {
      connection->Close();
    }
  }

  size_t requests_in_flight() const { return in_flight_; }
  size_t buffered_bytes() const { return buffered_bytes_; }
  size_t connections() const {
    std::lock_guard lock(mutex_);
    return connections_.size();
  }

  const HttpServerLimits& limits() const override { return limits_; }
  bool draining() const override { return draining_; }

  bool ReserveBytes(size_t bytes) override {
    const size_t held = buffered_bytes_.fetch_add(bytes);
    if (held + bytes <= limits_.max_buffered_bytes) return true;
    buffered_bytes_.fetch_sub(bytes);
    if (!buffer_limit_logged_.exchange(true)) {
      LogEvent(events::kBufferLimitReached,
               {{"address", address_}, {"bytes", held}});
    }
    return false;
  }

  void ReleaseBytes(size_t bytes) override {
    if (bytes == 0) return;
    const size_t held = buffered_bytes_.fetch_sub(bytes) - bytes;
    if (held < limits_.max_buffered_bytes / 2) buffer_limit_logged_ = false;
  }

  void OnRequestStarted() override { ++in_flight_; }
  void OnRequestEnded() override { --in_flight_; }

  void Handle(HttpRequest request, Responder respond) override {
    handler_(std::move(request), std::move(respond));
  }

  void OnClosed(const std::shared_ptr<ServerConnection>& self) override {
    {
      std::lock_guard lock(mutex_);
      connections_.erase(self);
      if (connections_.size() < limits_.max_connections / 2) limit_hit_ = false;
    }
    NotifyIfDrained();
  }

 private:
  void Accept() {
    if (!acceptor_.is_open()) return;
    acceptor_.async_accept(
        boost::asio::make_strand(io_),
        boost::asio::bind_executor(
            strand_, [self = shared_from_this()](const error_code& code,
                                                 tcp::socket socket) {
              if (!code) {
                self->AddConnection(std::move(socket));
                return self->Accept();
              }
              if (code != boost::asio::error::operation_aborted) {
                self->ScheduleAccept();
              }
            }));
  }

  void ScheduleAccept() {
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait(
        [self = shared_from_this()](const error_code& code) {
          if (!code) self->Accept();
        });
  }

  // Accepts the connections in the backlog first, because closing the listener
  // would reset them.
  void StopAccepting() {
    if (!acceptor_.is_open()) return;
    error_code code;
    acceptor_.non_blocking(true, code);
    while (!code) {
      tcp::socket socket(boost::asio::make_strand(io_));
      acceptor_.accept(socket, code);
      if (!code) AddConnection(std::move(socket));
    }
    acceptor_.close(code);
    accept_timer_.cancel();
  }

  void AddConnection(tcp::socket socket) {
    if (closed_) return;
    bool refuse = false;
    bool log_limit = false;
    std::shared_ptr<ServerConnection> connection;
    {
      std::lock_guard lock(mutex_);
      const size_t count = connections_.size();
      if (count >= limits_.max_connections + kMaxRefusals) return;
      connection = std::make_shared<ServerConnection>(std::move(socket),
                                                      shared_from_this());
      connections_.insert(connection);
      refuse = count >= limits_.max_connections;
      if (refuse) log_limit = !std::exchange(limit_hit_, true);
    }
    if (log_limit) {
      LogEvent(events::kConnectionLimitReached,
               {{"address", address_},
                {"max_connections", limits_.max_connections}});
    }
    if (!refuse) return connection->Start();
    HttpResponse response = ProblemResponse(
        503, {"accept", address_, "too many connections are open"});
    response.headers.Set("Retry-After", kRetryAfterSeconds);
    connection->Refuse(std::move(response));
  }

  std::vector<std::shared_ptr<ServerConnection>> CopyConnections() const {
    std::lock_guard lock(mutex_);
    return {connections_.begin(), connections_.end()};
  }

  void NotifyIfDrained() {
    std::vector<std::function<void()>> done;
    {
      std::lock_guard lock(mutex_);
      if (!draining_ || !connections_.empty()) return;
      done.swap(drain_callbacks_);
    }
    if (done.empty()) return;
    LogEvent(events::kHttpDrained, {{"address", address_}});
    for (const auto& function : done) {
      if (function) function();
    }
  }

  boost::asio::io_context& io_;
  const HttpServerLimits limits_;
  const Handler handler_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  // Used on strand_ only once Listen has returned.
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  bool closed_ = false;
  // Written by Listen only.
  std::string address_;

  std::atomic<size_t> in_flight_{0};
  std::atomic<size_t> buffered_bytes_{0};
  // Set at the first refusal and cleared below half the limit, so that each
  // episode is logged once.
  std::atomic<bool> buffer_limit_logged_{false};
  std::atomic<bool> draining_{false};

  mutable std::mutex mutex_;
  // Guarded by mutex_. All connections that are not closed.
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::vector<std::function<void()>> drain_callbacks_;
  // Set when a connection is refused, cleared below half the limit, so that
  // each episode is logged once.
  bool limit_hit_ = false;
};

HttpServer::HttpServer(boost::asio::io_context& io, HttpServerLimits limits,
                       Handler handler)
    : impl_(std::make_shared<Impl>(io, limits, std::move(handler))) {}
HttpServer::~HttpServer() { impl_->CloseAndRelease(); }

bool HttpServer::Listen(const std::string& address, Error* error) {
  return impl_->Listen(address, error);
}
std::string HttpServer::address() const { return impl_->address(); }
void HttpServer::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}
void HttpServer::Close() { impl_->Close(); }
size_t HttpServer::requests_in_flight() const {
  return impl_->requests_in_flight();
}
size_t HttpServer::connections() const { return impl_->connections(); }
size_t HttpServer::buffered_bytes() const { return impl_->buffered_bytes(); }

}  // namespace thornplank
