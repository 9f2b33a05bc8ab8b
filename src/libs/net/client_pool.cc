// Assigns requests to connections, proves connections live, and turns
// timeouts into failures with exact progress.
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

// One request from Send to its callback.
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
  // Set in kProbing and kSending; the end of an exchange on any other
  // connection does not concern the request.
  // Not owned, as the connection holds the request until the exchange ends.
  std::weak_ptr<ClientConnection> connection;
  // Whether that connection had answered before, so that a failure may be
  // one of a connection kept too long.
  bool kept_connection = false;
  Time stage_begun;
  boost::asio::steady_timer timer;
};

ClientPool::ClientPool(boost::asio::io_context& io, std::string peer,
                       const HttpClientLimits& limits,
                       std::shared_ptr<TrafficCounters> traffic)
    : peer_(std::move(peer)),
      limits_(limits),
      traffic_(std::move(traffic)),
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
  Pump();
}

void ClientPool::Pump() {
  while (!queue_.empty()) {
    const ConnectionPointer connection = TakeIdle();
    if (connection == nullptr) break;
    const PendingPointer pending = queue_.front();
    queue_.pop_front();
    Begin(pending, connection);
  }
  while (connecting_ < queue_.size() &&
         connections_.size() < limits_.max_connections_per_peer) {
    Open();
  }
}

// The most recently used one is the likeliest to be live.
ClientPool::ConnectionPointer ClientPool::TakeIdle() {
  while (!idle_.empty()) {
    const ConnectionPointer connection = idle_.back();
    idle_.pop_back();
    if (connection->IsUsable()) return connection;
    Remove(connection);
    connection->Close("not usable");
  }
  return nullptr;
}

void ClientPool::Open() {
  Error error;
  const auto endpoint = ParseEndpoint(peer_, &error);
  if (!endpoint) {
    const PendingPointer pending = queue_.front();
    queue_.pop_front();
    return Fail(pending, {error, SendProgress::kNotSent});
  }
  const std::weak_ptr<ClientPool> weak = weak_from_this();
  // The connection is known only after it is made; `slot` breaks the circle.
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
  ++connecting_;
  connection->Connect(*endpoint, limits_.connect_timeout,
                      [self = shared_from_this(),
                       connection](const std::optional<HttpFailure>& failure) {
                        self->OnConnected(connection, failure);
                      });
}

void ClientPool::OnConnected(const ConnectionPointer& connection,
                             const std::optional<HttpFailure>& failure) {
  --connecting_;
  if (closed_) return connection->Close("client closed");
  if (!failure && connection->IsUsable()) {
    Release(connection);
    return Pump();
  }
  // A peer that is full answers or closes before it is asked anything. To
  // connect again at once would only add to its load.
  Remove(connection);
  connection->Close("not usable");
  if (queue_.empty()) return;
  const PendingPointer pending = queue_.front();
  queue_.pop_front();
  const HttpFailure refused = {{"connect", peer_, "refused by the peer"},
                               SendProgress::kNotSent};
  Fail(pending, failure.value_or(refused));
  Pump();
}

bool ClientPool::IsProvedLive(const ConnectionPointer& connection) const {
  const std::optional<Time> answered = connection->last_answer();
  return answered && Now() - *answered < limits_.verified_for;
}

void ClientPool::Begin(const PendingPointer& pending,
                       const ConnectionPointer& connection) {
  pending->connection = connection;
  pending->kept_connection = connection->last_answer().has_value();
  active_.insert(pending);
  if (pending->options.verify_connection && !IsProvedLive(connection)) {
    Probe(pending, connection);
  } else {
    SendNow(pending, connection);
  }
}

void ClientPool::Probe(const PendingPointer& pending,
                       const ConnectionPointer& connection) {
  pending->stage = Pending::Stage::kProbing;
  pending->stage_begun = Now();
  ArmTimer(pending,
           std::min(pending->deadline, Now() + pending->options.probe_timeout));
  // Weak, as everywhere in an exchange: what the connection holds must not
  // hold it, or both outlive an io_context that is stopped.
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
                         self->Pump();
                       });
}

void ClientPool::OnProbed(const PendingPointer& pending,
                          const ConnectionPointer& connection, bool answered,
                          const HttpFailure& failure) {
  if (answered && connection->is_open()) {
    ArmTimer(pending, pending->deadline);
    return SendNow(pending, connection);
  }
  if (pending->kept_connection) return TryAnother(pending);
  Fail(pending, SendProgress::kNotSent, "prove live",
       answered ? "the peer keeps no connection open" : failure.error.reason);
}

void ClientPool::SendNow(const PendingPointer& pending,
                         const ConnectionPointer& connection) {
  // Bytes may have followed the answer to the probe.
  if (!connection->IsUsable()) {
    Remove(connection);
    connection->Close("not usable");
    if (pending->kept_connection) return TryAnother(pending);
    return Fail(pending, SendProgress::kNotSent, "send", "closed by the peer");
  }
  if (Now() >= pending->deadline ||
      (pending->options.may_send && !pending->options.may_send())) {
    Release(connection);
    return Fail(pending, SendProgress::kNotSent, "send",
                "abandoned before the first byte");
  }
  pending->stage = Pending::Stage::kSending;
  pending->stage_begun = Now();
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
        self->Pump();
      });
}

void ClientPool::OnExchanged(const PendingPointer& pending,
                             std::optional<HttpResponse> response,
                             const HttpFailure& failure) {
  if (response) return Succeed(pending, std::move(*response));
  const bool stale_connection =
      failure.progress == SendProgress::kNotSent && pending->kept_connection;
  if (stale_connection) return TryAnother(pending);
  Fail(pending, failure);
}

// Back to the front of the queue: nothing of the request was sent.
void ClientPool::TryAnother(const PendingPointer& pending) {
  active_.erase(pending);
  pending->connection.reset();
  pending->stage = Pending::Stage::kQueued;
  ArmTimer(pending, pending->deadline);
  queue_.push_front(pending);
  boost::asio::post(strand_, [self = shared_from_this()] { self->Pump(); });
}

void ClientPool::ArmTimer(const PendingPointer& pending, Time when) {
  pending->timer.expires_at(when);
  pending->timer.async_wait(
      [self = shared_from_this(), pending](const error_code& code) {
        // A newer wait may have been armed while this one was on its way.
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
  // With an answer to another request since, the peer is slow, not silent.
  if (last_answer_ < pending->stage_begun) NoteSilent(true);
  // Without its connection the request ignores how the exchange ends. A late
  // answer must find that connection closed, and what has not answered since
  // may be as silent; it goes first, since the closing lets others be taken.
  const ConnectionPointer connection = pending->connection.lock();
  pending->connection.reset();
  DropUnprovedSince(pending->stage_begun);
  if (connection != nullptr) connection->Close("timed out");
  if (pending->stage == Pending::Stage::kSending) {
    Fail(pending, SendProgress::kUnknown, "wait for the answer", "timed out");
  } else if (pending->kept_connection && Now() < pending->deadline) {
    TryAnother(pending);
  } else {
    Fail(pending, SendProgress::kNotSent, "prove live", "timed out");
  }
}

void ClientPool::Release(const ConnectionPointer& connection) {
  if (closed_ || !connection->is_open()) return;
  idle_.push_back(connection);
  if (sweeping_) return;
  sweeping_ = true;
  Sweep();
}

void ClientPool::Remove(const ConnectionPointer& connection) {
  connections_.erase(connection);
  connection_count_ = connections_.size();
  idle_.erase(std::remove(idle_.begin(), idle_.end(), connection), idle_.end());
}

void ClientPool::DropUnprovedSince(Time time) {
  const std::vector<ConnectionPointer> idle = idle_;
  for (const ConnectionPointer& connection : idle) {
    if (connection->last_answer().value_or(Time::min()) >= time) continue;
    Remove(connection);
    connection->Close("may be silent");
  }
}

// Closes connections that were idle for too long, as long as there are any.
void ClientPool::Sweep() {
  sweep_timer_.expires_after(limits_.idle_timeout / 2);
  sweep_timer_.async_wait([self = shared_from_this()](const error_code& code) {
    if (code) return;
    self->DropUnprovedSince(Now() - self->limits_.idle_timeout);
    if (self->connections_.empty()) {
      self->sweeping_ = false;
      return;
    }
    self->Sweep();
  });
}

void ClientPool::Succeed(const PendingPointer& pending, HttpResponse response) {
  NoteSilent(false);
  last_answer_ = Now();
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

void ClientPool::NoteSilent(bool silent) {
  if (silent_ == silent) return;
  silent_ = silent;
  LogEvent(silent ? events::kPeerSilent : events::kPeerAnswering,
           {{"peer", peer_}});
}

}  // namespace thornplank
