// Keeps one connection pool per peer.
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <utility>

#include "net/client_pool.h"
#include "net/idle_connections.h"

namespace thornplank {

class HttpClient::Impl {
 public:
  Impl(boost::asio::io_context& io, HttpClientLimits limits)
      : io_(io), limits_(limits) {}

  uint64_t bytes_sent() const { return traffic_->sent; }
  uint64_t bytes_received() const { return traffic_->received; }

  void Send(const std::string& peer, HttpRequest request,
            HttpSendOptions options, Callback callback) {
    Pool(peer)->Send(std::move(request), std::move(options),
                     std::move(callback));
  }

  void Close() {
    std::lock_guard lock(mutex_);
    closed_ = true;
    for (const auto& [peer, pool] : pools_) {
      pool->Close();
    }
  }

  size_t connections(const std::string& peer) const {
    std::lock_guard lock(mutex_);
    const auto it = pools_.find(peer);
    return it == pools_.end() ? 0 : it->second->connections();
  }

 private:
  std::shared_ptr<ClientPool> Pool(const std::string& peer) {
    std::lock_guard lock(mutex_);
    std::shared_ptr<ClientPool>& pool = pools_[peer];
    if (pool != nullptr) return pool;
    pool =
        std::make_shared<ClientPool>(io_, peer, limits_, traffic_, all_idle_);
    if (closed_) pool->Close();
    return pool;
  }

  boost::asio::io_context& io_;
  const HttpClientLimits limits_;
  const std::shared_ptr<TrafficCounters> traffic_ =
      std::make_shared<TrafficCounters>();
  const std::shared_ptr<IdleConnections> all_idle_ =
      std::make_shared<IdleConnections>(limits_.max_idle_connections);
  mutable std::mutex mutex_;
  // Guarded by mutex_. Pools are never removed: one without connections is
  // small.
  std::map<std::string, std::shared_ptr<ClientPool>> pools_;
  bool closed_ = false;
};

HttpClient::HttpClient(boost::asio::io_context& io, HttpClientLimits limits)
    : impl_(std::make_shared<Impl>(io, limits)) {}
HttpClient::~HttpClient() { Close(); }

void HttpClient::Send(const std::string& peer, HttpRequest request,
                      HttpSendOptions options, Callback callback) {
  impl_->Send(peer, std::move(request), std::move(options),
              std::move(callback));
}
void HttpClient::Close() { impl_->Close(); }
uint64_t HttpClient::bytes_sent() const { return impl_->bytes_sent(); }
uint64_t HttpClient::bytes_received() const { return impl_->bytes_received(); }
size_t HttpClient::connections(const std::string& peer) const {
  return impl_->connections(peer);
}

}  // namespace thornplank
