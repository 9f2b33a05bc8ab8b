// Accepts connections and keeps the counts that bound them.
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

// Beyond the limit this many are refused with an answer, the rest by closing.
constexpr size_t kMaxRefusals = 64;
// After a failed accept (out of file descriptors).
constexpr Milliseconds kAcceptPause{50};
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
    // Lets a replacement listen while old connections are in TIME_WAIT; a
    // second listener is an error all the same.
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
            self->drain_done_.push_back(std::move(done));
          }
          for (const auto& connection : self->Connections()) {
            connection->Drain();
          }
          self->ReportWhenDrained();
        });
  }

  void Close() {
    boost::asio::post(strand_, [self = shared_from_this()] {
      self->closed_ = true;
      error_code code;
      self->acceptor_.close(code);
      self->accept_timer_.cancel();
      for (const auto& connection : self->Connections()) {
        connection->Close();
      }
    });
  }

  // For the destructor: also lets go of the connections, which would keep
  // this alive when the io_context runs no more.
  void Abandon() {
    Close();
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;
    {
      std::lock_guard lock(mutex_);
      connections.swap(connections_);
      drain_done_.clear();
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
    if (!buffers_full_.exchange(true)) {
      LogEvent(events::kBufferLimitReached,
               {{"address", address_}, {"bytes", held}});
    }
    return false;
  }

  void ReleaseBytes(size_t bytes) override {
    if (bytes == 0) return;
    const size_t held = buffered_bytes_.fetch_sub(bytes) - bytes;
    if (held < limits_.max_buffered_bytes / 2) buffers_full_ = false;
  }

  void OnRequestBegun() override { ++in_flight_; }
  void OnRequestEnded() override { --in_flight_; }

  void Handle(HttpRequest request, Responder respond) override {
    handler_(std::move(request), std::move(respond));
  }

  void OnClosed(const std::shared_ptr<ServerConnection>& self) override {
    {
      std::lock_guard lock(mutex_);
      connections_.erase(self);
      if (connections_.size() < limits_.max_connections / 2) full_ = false;
    }
    ReportWhenDrained();
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
                self->Add(std::move(socket));
                return self->Accept();
              }
              if (code != boost::asio::error::operation_aborted) {
                self->AcceptLater();
              }
            }));
  }

  void AcceptLater() {
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait(
        [self = shared_from_this()](const error_code& code) {
          if (!code) self->Accept();
        });
  }

  // Connections that already stand in the backlog are taken, since closing
  // the listener would reset them.
  void StopAccepting() {
    if (!acceptor_.is_open()) return;
    error_code code;
    acceptor_.non_blocking(true, code);
    while (!code) {
      tcp::socket socket(boost::asio::make_strand(io_));
      acceptor_.accept(socket, code);
      if (!code) Add(std::move(socket));
    }
    acceptor_.close(code);
    accept_timer_.cancel();
  }

  void Add(tcp::socket socket) {
    if (closed_) return;
    bool refuse = false;
    bool log_full = false;
    std::shared_ptr<ServerConnection> connection;
    {
      std::lock_guard lock(mutex_);
      const size_t count = connections_.size();
      if (count >= limits_.max_connections + kMaxRefusals) return;
      connection = std::make_shared<ServerConnection>(std::move(socket),
                                                      shared_from_this());
      connections_.insert(connection);
      refuse = count >= limits_.max_connections;
      if (refuse) log_full = !std::exchange(full_, true);
    }
    if (log_full) {
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

  std::vector<std::shared_ptr<ServerConnection>> Connections() const {
    std::lock_guard lock(mutex_);
    return {connections_.begin(), connections_.end()};
  }

  void ReportWhenDrained() {
    std::vector<std::function<void()>> done;
    {
      std::lock_guard lock(mutex_);
      if (!draining_ || !connections_.empty()) return;
      done.swap(drain_done_);
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
  // On strand_ once Listen has returned.
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  bool closed_ = false;
  // Written by Listen only.
  std::string address_;

  std::atomic<size_t> in_flight_{0};
  std::atomic<size_t> buffered_bytes_{0};
  // Set at the first refusal, cleared at half the limit: one line each time.
  std::atomic<bool> buffers_full_{false};
  std::atomic<bool> draining_{false};

  mutable std::mutex mutex_;
  // Under mutex_. Every connection that is not closed.
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::vector<std::function<void()>> drain_done_;
  bool full_ = false;
};

HttpServer::HttpServer(boost::asio::io_context& io, HttpServerLimits limits,
                       Handler handler)
    : impl_(std::make_shared<Impl>(io, limits, std::move(handler))) {}
HttpServer::~HttpServer() { impl_->Abandon(); }

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
