// The HTTP client's connections to one peer and the requests queued for them.
#ifndef THORNPLANK_NET_CLIENT_POOL_H_
#define THORNPLANK_NET_CLIENT_POOL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "net/client_connection.h"
#include "net/http_client.h"
#include "net/idle_connections.h"

namespace thornplank {

class ClientPool : public std::enable_shared_from_this<ClientPool> {
 public:
  ClientPool(boost::asio::io_context& io, std::string peer,
             const HttpClientLimits& limits,
             std::shared_ptr<TrafficCounters> traffic,
             std::shared_ptr<IdleConnections> all_idle);

  // Like HttpClient::Send and Close; thread-safe.
  void Send(HttpRequest request, HttpSendOptions options,
            HttpClient::Callback callback);
  void Close();

  size_t connections() const { return connection_count_; }

 private:
  struct Pending;
  using PendingPointer = std::shared_ptr<Pending>;
  using ConnectionPointer = std::shared_ptr<ClientConnection>;

  void Enqueue(const PendingPointer& pending);
  // Assigns queued requests to idle connections and opens new connections for
  // the rest.
  void ProcessQueue();
  ConnectionPointer TakeIdle();
  void OpenConnection();
  void OnConnected(const ConnectionPointer& connection,
                   const std::optional<HttpFailure>& failure);

  bool IsVerified(const ConnectionPointer& connection) const;
  void Assign(const PendingPointer& pending,
              const ConnectionPointer& connection);
  void Probe(const PendingPointer& pending,
             const ConnectionPointer& connection);
  void OnProbed(const PendingPointer& pending,
                const ConnectionPointer& connection, bool answered,
                const HttpFailure& failure);
  void SendNow(const PendingPointer& pending,
               const ConnectionPointer& connection);
  void OnExchanged(const PendingPointer& pending,
                   std::optional<HttpResponse> response,
                   const HttpFailure& failure);
  void Requeue(const PendingPointer& pending);

  void ArmTimer(const PendingPointer& pending, Time when);
  void OnTimer(const PendingPointer& pending);
  void Release(const ConnectionPointer& connection);
  void Remove(const ConnectionPointer& connection);
  void CloseIdleWithoutResponseSince(Time time);
  // To be called on any thread.
  void CloseIfIdle(const ConnectionPointer& connection);
  void ScheduleSweep();

  void Succeed(const PendingPointer& pending, HttpResponse response);
  void Fail(const PendingPointer& pending, SendProgress progress,
            std::string step, std::string reason);
  void Fail(const PendingPointer& pending, const HttpFailure& failure);
  void SetUnresponsive(bool unresponsive);

  const std::string peer_;
  const HttpClientLimits limits_;
  const std::shared_ptr<TrafficCounters> traffic_;
  // Contains the connections of idle_, and those of the other pools.
  const std::shared_ptr<IdleConnections> all_idle_;
  const ClientConnection::Strand strand_;
  std::atomic<size_t> connection_count_{0};

  // Everything below is used on the strand only.
  std::deque<PendingPointer> queue_;
  // All connections that are not closed, including those still connecting.
  // idle_ holds those without an exchange, the most recently used one last.
  std::set<ConnectionPointer> connections_;
  std::vector<ConnectionPointer> idle_;
  // Requests that are assigned to a connection.
  std::set<PendingPointer> active_;
  size_t connecting_count_ = 0;
  boost::asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;
  bool closed_ = false;
  // Time of the last response on any connection.
  Time last_response_at_ = Time::min();
  // A request timed out and no other request was answered since it began.
  bool unresponsive_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_CLIENT_POOL_H_
