// Assigns requests to connections, verifies that connections are live, and
// reports for each timeout whether the request may have been sent.
#include "net/client_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "logging/events/network_events.h"
#include "net/endpoint.h"

namespace thornplank {
namespace {

using boost::system::error_code;

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

// A request from Send to its callback.
struct ClientPool::Pending {
  enum class Stage { kQueued, kProbing, kSending, kDone };

  Pending(const ClientConnection::Strand& strand, HttpRequest r,
          HttpSendOptions o, HttpClient::Callback c)
      : request(std::move(r)),
        options(std::move(o)),
        callback(std::move(c)),
        deadline(Now() + options.timeout),
        timer(strand) {}

  HttpRequest request;
  HttpSendOptions options;
  HttpClient::Callback callback;
  const Time deadline;
  Stage stage = Stage::kQueued;
  // The connection in use in stages kProbing and kSending. The end of an
  // exchange on any other connection is ignored. Weak, because the connection
  // holds the request until the exchange ends.
  std::weak_ptr<ClientConnection> connection;
  // Whether that connection had carried a response before. A failure may then
  // be due to a stale connection.
  bool reused_connection = false;
  Time stage_start;
  boost::asio::steady_timer timer;
};

ClientPool::ClientPool(boost::asio::io_context& io, std::string peer,
                       const HttpClientLimits& limits,
                       std::shared_ptr<TrafficCounters> traffic,
                       std::shared_ptr<IdleConnections> all_idle)
    : peer_(std::move(peer)),
      limits_(limits),
      traffic_(std::move(traffic)),
      all_idle_(std::move(all_idle)),
      strand_(boost::asio::make_strand(io)),
      sweep_timer_(strand_) {}

void ClientPool::Send(HttpRequest request, HttpSendOptions options,
                      HttpClient::Callback callback) {
  auto pending = std::make_shared<Pending>(
      strand_, std::move(request), std::move(options), std::move(callback));
  boost::asio::post(strand_, [self = shared_from_this(), pending] {
    self->Enqueue(pending);
  });
}

void ClientPool::Close() {
  boost::asio::post(strand_, [self = shared_from_this()] {
    self->closed_ = true;
    self->sweep_timer_.cancel();
    const auto queue = std::exchange(self->queue_, {});
    const auto active = std::exchange(self->active_, {});
    const auto connections = std::exchange(self->connections_, {});
    for (const ConnectionPointer& connection : self->idle_) {
      self->all_idle_->Remove(connection);
    }
    self->idle_.clear();
    self->connection_count_ = 0;
    for (const PendingPointer& pending : queue) {
      self->Fail(pending, SendProgress::kNotSent, "send", "client closed");
    }
    for (const PendingPointer& pending : active) {
      const bool sending = pending->stage == Pending::Stage::kSending;
      pending->connection.reset();
      self->Fail(pending,
                 sending ? SendProgress::kUnknown : SendProgress::kNotSent,
                 "exchange", "client closed");
    }
    for (const ConnectionPointer& connection : connections) {
      connection->Close("client closed");
    }
  });
}

void ClientPool::Enqueue(const PendingPointer& pending) {
  if (closed_) {
    return Fail(pending, SendProgress::kNotSent, "send", "client closed");
  }
  if (!IsValidRequestLine(pending->request)) {
    return Fail(pending, SendProgress::kNotSent, "send",
                "malformed method or target");
  }
  queue_.push_back(pending);
  ArmTimer(pending, pending->deadline);
  ProcessQueue();
}

void ClientPool::ProcessQueue() {
  while (!queue_.empty()) {
    const ConnectionPointer connection = TakeIdle();
    if (connection == nullptr) break;
    const PendingPointer pending = queue_.front();
    queue_.pop_front();
    Assign(pending, connection);
  }
  while (connecting_count_ < queue_.size() &&
         connections_.size() < limits_.max_connections_per_peer) {
    OpenConnection();
  }
}

// Prefers the most recently used connection, which is the most likely to be
// live.
ClientPool::ConnectionPointer ClientPool::TakeIdle() {
  while (!idle_.empty()) {
    const ConnectionPointer connection = idle_.back();
    idle_.pop_back();
    all_idle_->Remove(connection);
    if (connection->IsUsable()) return connection;
    Remove(connection);
    connection->Close("not usable");
  }
  return nullptr;
}

void ClientPool::OpenConnection() {
  Error error;
  const auto endpoint = ParseEndpoint(peer_, &error);
  if (!endpoint) {
    const PendingPointer pending = queue_.front();
    queue_.pop_front();
    return Fail(pending, {error, SendProgress::kNotSent});
  }
  const std::weak_ptr<ClientPool> weak = weak_from_this();
  // The handler needs the connection, which does not exist until the handler
  // has been passed to it; `slot` is filled in afterwards.
  auto slot = std::make_shared<std::weak_ptr<ClientConnection>>();
  auto connection = std::make_shared<ClientConnection>(
      strand_, peer_, limits_.max_response_bytes, traffic_, [weak, slot] {
        const auto self = weak.lock();
        const auto lost = slot->lock();
        if (self != nullptr && lost != nullptr) self->Remove(lost);
      });
  *slot = connection;
  connections_.insert(connection);
  connection_count_ = connections_.size();
  ++connecting_count_;
  connection->Connect(*endpoint, limits_.connect_timeout,
                      [self = shared_from_this(),
                       connection](const std::optional<HttpFailure>& failure) {
                        self->OnConnected(connection, failure);
                      });
}

void ClientPool::OnConnected(const ConnectionPointer& connection,
                             const std::optional<HttpFailure>& failure) {
  --connecting_count_;
  if (closed_) return connection->Close("client closed");
  if (!failure && connection->IsUsable()) {
    Release(connection);
    return ProcessQueue();
  }
  // A peer at its connection limit responds or closes before it receives a
  // request. Reconnecting immediately would only add to its load.
  Remove(connection);
  connection->Close("not usable");
  if (queue_.empty()) return;
  const PendingPointer pending = queue_.front();
  queue_.pop_front();
  const HttpFailure refused = {{"connect", peer_, "refused by the peer"},
                               SendProgress::kNotSent};
  Fail(pending, failure.value_or(refused));
  ProcessQueue();
}

bool ClientPool::IsVerified(const ConnectionPointer& connection) const {
  const std::optional<Time> answered = connection->last_response_at();
  return answered && Now() - *answered < limits_.verified_for;
}

void ClientPool::Assign(const PendingPointer& pending,
                        const ConnectionPointer& connection) {
  pending->connection = connection;
  pending->reused_connection = connection->last_response_at().has_value();
  active_.insert(pending);
  if (pending->options.verify_connection && !IsVerified(connection)) {
    Probe(pending, connection);
  } else {
    SendNow(pending, connection);
  }
}

void ClientPool::Probe(const PendingPointer& pending,
                       const ConnectionPointer& connection) {
  pending->stage = Pending::Stage::kProbing;
  pending->stage_start = Now();
  ArmTimer(pending,
           std::min(pending->deadline, Now() + pending->options.probe_timeout));
  // Handlers of an exchange hold only weak references to the pool and the
  // connection. Otherwise the connection would own itself through its handler,
  // and both would outlive a stopped io_context.
  const std::weak_ptr<ClientConnection> weak_connection = connection;
  HttpRequest probe;
  probe.target = pending->options.probe_target;
  connection->Exchange(probe, "",
                       [weak = weak_from_this(), pending, weak_connection](
                           const std::optional<HttpResponse>& response,
                           const HttpFailure& failure) {
                         const auto self = weak.lock();
                         const auto connection = weak_connection.lock();
                         if (self == nullptr || connection == nullptr) return;
                         if (!connection->is_open()) self->Remove(connection);
                         if (pending->connection.lock() == connection) {
                           self->OnProbed(pending, connection,
                                          response.has_value(), failure);
                         }
                         self->ProcessQueue();
                       });
}

void ClientPool::OnProbed(const PendingPointer& pending,
                          const ConnectionPointer& connection, bool answered,
                          const HttpFailure& failure) {
  if (answered && connection->is_open()) {
    ArmTimer(pending, pending->deadline);
    return SendNow(pending, connection);
  }
  if (pending->reused_connection) return Requeue(pending);
  Fail(pending, SendProgress::kNotSent, "prove live",
       answered ? "the peer keeps no connection open" : failure.error.reason);
}

void ClientPool::SendNow(const PendingPointer& pending,
                         const ConnectionPointer& connection) {
  // Unsolicited bytes may have followed the probe's response.
  if (!connection->IsUsable()) {
    Remove(connection);
    connection->Close("not usable");
    if (pending->reused_connection) return Requeue(pending);
    return Fail(pending, SendProgress::kNotSent, "send", "closed by the peer");
  }
  if (Now() >= pending->deadline ||
      (pending->options.may_send && !pending->options.may_send())) {
    Release(connection);
    return Fail(pending, SendProgress::kNotSent, "send",
                "abandoned before the first byte");
  }
  pending->stage = Pending::Stage::kSending;
  pending->stage_start = Now();
  const std::weak_ptr<ClientConnection> weak_connection = connection;
  connection->Exchange(
      pending->request, pending->options.match_header,
      [weak = weak_from_this(), pending, weak_connection](
          std::optional<HttpResponse> response, const HttpFailure& failure) {
        const auto self = weak.lock();
        const auto connection = weak_connection.lock();
        if (self == nullptr || connection == nullptr) return;
        if (connection->is_open()) {
          self->Release(connection);
        } else {
          self->Remove(connection);
        }
        if (pending->connection.lock() == connection) {
          self->OnExchanged(pending, std::move(response), failure);
        }
        self->ProcessQueue();
      });
}

void ClientPool::OnExchanged(const PendingPointer& pending,
                             std::optional<HttpResponse> response,
                             const HttpFailure& failure) {
  if (response) return Succeed(pending, std::move(*response));
  const bool may_repeat =
      failure.progress == SendProgress::kNotSent || pending->options.idempotent;
  if (may_repeat && pending->reused_connection) return Requeue(pending);
  Fail(pending, failure);
}

// Puts a request of which nothing was sent back at the front of the queue.
void ClientPool::Requeue(const PendingPointer& pending) {
  active_.erase(pending);
  pending->connection.reset();
  pending->stage = Pending::Stage::kQueued;
  ArmTimer(pending, pending->deadline);
  queue_.push_front(pending);
  boost::asio::post(strand_,
                    [self = shared_from_this()] { self->ProcessQueue(); });
}

void ClientPool::ArmTimer(const PendingPointer& pending, Time when) {
  pending->timer.expires_at(when);
  pending->timer.async_wait(
      [self = shared_from_this(), pending](const error_code& code) {
        // The timer may have been rearmed after this handler was queued.
        if (code || Now() < pending->timer.expiry()) return;
        self->OnTimer(pending);
      });
}

void ClientPool::OnTimer(const PendingPointer& pending) {
  if (pending->stage == Pending::Stage::kDone) return;
  if (pending->stage == Pending::Stage::kQueued) {
    queue_.erase(std::remove(queue_.begin(), queue_.end(), pending),
                 queue_.end());
    return Fail(pending, SendProgress::kNotSent, "wait for a connection",
                "timed out");
  }
  // If the peer has answered another request since, it is slow rather than
  // unresponsive.
  if (last_response_at_ < pending->stage_start) SetUnresponsive(true);
  // Resetting `connection` makes the request ignore the end of the exchange.
  // The connection is closed so that a late response cannot be taken for
  // another request's. Idle connections without a response since may be just as
  // unresponsive; they are closed first because closing this one lets queued
  // requests take idle connections.
  const ConnectionPointer connection = pending->connection.lock();
  pending->connection.reset();
  CloseIdleWithoutResponseSince(pending->stage_start);
  if (connection != nullptr) connection->Close("timed out");
  if (pending->stage == Pending::Stage::kSending) {
    Fail(pending, SendProgress::kUnknown, "wait for the answer", "timed out");
  } else if (pending->reused_connection && Now() < pending->deadline) {
    Requeue(pending);
  } else {
    Fail(pending, SendProgress::kNotSent, "prove live", "timed out");
  }
}

void ClientPool::Release(const ConnectionPointer& connection) {
  if (closed_ || !connection->is_open()) return;
  idle_.push_back(connection);
  for (const auto& excess : all_idle_->Add(weak_from_this(), connection)) {
    if (const auto pool = excess.pool.lock()) {
      pool->CloseIfIdle(excess.connection);
    }
  }
  if (sweep_scheduled_) return;
  sweep_scheduled_ = true;
  ScheduleSweep();
}

void ClientPool::Remove(const ConnectionPointer& connection) {
  connections_.erase(connection);
  connection_count_ = connections_.size();
  const auto idle = std::remove(idle_.begin(), idle_.end(), connection);
  if (idle != idle_.end()) all_idle_->Remove(connection);
  idle_.erase(idle, idle_.end());
}

void ClientPool::CloseIfIdle(const ConnectionPointer& connection) {
  boost::asio::post(strand_, [self = shared_from_this(), connection] {
    const auto& idle = self->idle_;
    if (std::find(idle.begin(), idle.end(), connection) == idle.end()) return;
    self->Remove(connection);
    connection->Close("too many idle connections");
  });
}

void ClientPool::CloseIdleWithoutResponseSince(Time time) {
  const std::vector<ConnectionPointer> idle = idle_;
  for (const ConnectionPointer& connection : idle) {
    if (connection->last_response_at().value_or(Time::min()) >= time) continue;
    Remove(connection);
    connection->Close("may be silent");
  }
}

// Closes connections that have been idle for too long. Runs while there are
// connections.
void ClientPool::ScheduleSweep() {
  sweep_timer_.expires_after(limits_.idle_timeout / 2);
  sweep_timer_.async_wait([self = shared_from_this()](const error_code& code) {
    if (code) return;
    self->CloseIdleWithoutResponseSince(Now() - self->limits_.idle_timeout);
    if (self->connections_.empty()) {
      self->sweep_scheduled_ = false;
      return;
    }
    self->ScheduleSweep();
  });
}

void ClientPool::Succeed(const PendingPointer& pending, HttpResponse response) {
  SetUnresponsive(false);
  last_response_at_ = Now();
  pending->stage = Pending::Stage::kDone;
  pending->timer.cancel();
  pending->connection.reset();
  active_.erase(pending);
  const HttpClient::Callback callback = std::move(pending->callback);
  callback(std::move(response), {});
}

void ClientPool::Fail(const PendingPointer& pending, SendProgress progress,
                      std::string step, std::string reason) {
  HttpFailure failure;
  failure.error = {std::move(step), peer_, std::move(reason)};
  failure.progress = progress;
  Fail(pending, failure);
}

void ClientPool::Fail(const PendingPointer& pending,
                      const HttpFailure& failure) {
  if (pending->stage == Pending::Stage::kDone) return;
  pending->stage = Pending::Stage::kDone;
  pending->timer.cancel();
  pending->connection.reset();
  active_.erase(pending);
  const HttpClient::Callback callback = std::move(pending->callback);
  callback(std::nullopt, failure);
}

void ClientPool::SetUnresponsive(bool unresponsive) {
  if (unresponsive_ == unresponsive) return;
  unresponsive_ = unresponsive;
  LogEvent(unresponsive ? events::kPeerSilent : events::kPeerAnswering,
           {{"peer", peer_}});
}

}  // namespace thornplank
