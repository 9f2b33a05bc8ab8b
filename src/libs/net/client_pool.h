// The HTTP client's connections to one peer, and the requests that wait.
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

namespace thornplank {

class ClientPool : public std::enable_shared_from_this<ClientPool> {
 public:
  ClientPool(boost::asio::io_context& io, std::string peer,
             const HttpClientLimits& limits,
             std::shared_ptr<TrafficCounters> traffic);

  // As HttpClient::Send and Close; on any thread.
  void Send(HttpRequest request, HttpSendOptions options,
            HttpClient::Callback callback);
  void Close();

  size_t connections() const { return connection_count_; }

 private:
  struct Pending;
  using PendingPointer = std::shared_ptr<Pending>;
  using ConnectionPointer = std::shared_ptr<ClientConnection>;

  void Enqueue(const PendingPointer& pending);
  // Gives waiting requests to idle connections and opens further ones.
  void Pump();
  ConnectionPointer TakeIdle();
  void Open();
  void OnConnected(const ConnectionPointer& connection,
                   const std::optional<HttpFailure>& failure);

  bool IsProvedLive(const ConnectionPointer& connection) const;
  void Begin(const PendingPointer& pending,
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
  void TryAnother(const PendingPointer& pending);

  void ArmTimer(const PendingPointer& pending, Time when);
  void OnTimer(const PendingPointer& pending);
  void Release(const ConnectionPointer& connection);
  void Remove(const ConnectionPointer& connection);
  void DropUnprovedSince(Time time);
  void Sweep();

  void Succeed(const PendingPointer& pending, HttpResponse response);
  void Fail(const PendingPointer& pending, SendProgress progress,
            std::string step, std::string reason);
  void Fail(const PendingPointer& pending, const HttpFailure& failure);
  void NoteSilent(bool silent);

  const std::string peer_;
  const HttpClientLimits limits_;
  const std::shared_ptr<TrafficCounters> traffic_;
  const ClientConnection::Strand strand_;
  std::atomic<size_t> connection_count_{0};

  // Everything below is used on the strand only.
  std::deque<PendingPointer> queue_;
  // Every connection that is not closed, connecting ones included; idle_ is
  // the part that carries no exchange, the most recently used one last.
  std::set<ConnectionPointer> connections_;
  std::vector<ConnectionPointer> idle_;
  // Requests on a connection.
  std::set<PendingPointer> active_;
  size_t connecting_ = 0;
  boost::asio::steady_timer sweep_timer_;
  bool sweeping_ = false;
  bool closed_ = false;
  // When a request last succeeded on any connection.
  Time last_answer_ = Time::min();
  // A request timed out with no answer to any other since it began.
  bool silent_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_CLIENT_POOL_H_
