// The public functions of PeerMesh, and the periodic tick.
#include "protocol/peer_mesh.h"

#include <algorithm>
#include <set>
#include <utility>

#include "protocol/peer_mesh_impl.h"

namespace thornplank {
namespace {

constexpr Milliseconds kMinTick{10};

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

PeerMesh::Impl::Impl(boost::asio::io_context& io, PeerMeshSettings settings)
    : settings_(std::move(settings)),
      io_(io),
      tick_timer_(io),
      link_event_strand_(boost::asio::make_strand(io)),
      calls_(std::make_shared<PendingCalls>(io)),
      transport_(io, settings_.silence_timeout, kMaxHelloBytes),
      dialer_(settings_.reconnect_delay, settings_.max_reconnect_delay,
              settings_.incarnation) {}

bool PeerMesh::Impl::Start(Error* error) {
  const bool listening = transport_.Listen(
      settings_.listen,
      [weak = weak_from_this()](std::shared_ptr<PeerSocket> socket) {
        const auto self = weak.lock();
        return self ? self->Accept(std::move(socket)) : PeerSocketHandlers{};
      },
      error);
  if (!listening) return false;
  const std::lock_guard lock(mutex_);
  last_tick_ = Now();
  ScheduleTick();
  return true;
}

void PeerMesh::Impl::SetPeers(const std::vector<std::string>& addresses) {
  const std::string own_address = address();
  std::vector<std::string> others;
  for (const std::string& peer_address : addresses) {
    if (peer_address == own_address || peer_address == settings_.listen) {
      continue;
    }
    others.push_back(peer_address);
  }
  const std::lock_guard lock(mutex_);
  dialer_.SetAddresses(others);
}

void PeerMesh::Impl::Stop() {
  std::vector<PeerLinkPtr> open;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    stopped_ = true;
    tick_timer_.cancel();
    for (const auto& [id, link] : opening_) open.push_back(link);
    for (const auto& [name, link] : links_) open.push_back(link);
    for (const auto& [id, retiring] : retiring_) open.push_back(retiring.link);
    for (const PeerLinkPtr& link : open) link->state = LinkState::kClosed;
    opening_.clear();
    links_.clear();
    retiring_.clear();
  }
  transport_.StopListening();
  for (const PeerLinkPtr& link : open) link->socket->Close("stopping");
  calls_->FailAll("this entry stops");
}

bool PeerMesh::Impl::Send(const std::string& peer, const std::string& type,
                          Json body) {
  const std::string frame =
      EncodeMessage(Message{type, 0, false, std::move(body)});
  const std::lock_guard lock(mutex_);
  const PeerLinkPtr link = FindLink(peer);
  return link && SendFrame(*link, frame);
}

void PeerMesh::Impl::Broadcast(const std::string& type, const Json& body) {
  const std::string frame = EncodeMessage(Message{type, 0, false, body});
  const std::lock_guard lock(mutex_);
  for (const auto& [name, link] : links_) SendFrame(*link, frame);
}

void PeerMesh::Impl::Call(const std::string& peer, const std::string& type,
                          Json body, Duration timeout, CallCallback callback) {
  const uint64_t correlation_id = calls_->NextCorrelationId();
  const std::string frame =
      EncodeMessage(Message{type, correlation_id, false, std::move(body)});
  const std::lock_guard lock(mutex_);
  const PeerLinkPtr link = FindLink(peer);
  if (!link) {
    calls_->Reject(peer, type, "no link", std::move(callback));
    return;
  }
  calls_->Add(correlation_id, link->id, peer, type, timeout,
              std::move(callback));
  if (!SendFrame(*link, frame)) {
    calls_->Fail(correlation_id, "too large, or too much is queued");
  }
}

std::vector<PeerIdentity> PeerMesh::Impl::connected_peers() const {
  const std::lock_guard lock(mutex_);
  std::vector<PeerIdentity> peers;
  peers.reserve(links_.size());
  for (const auto& [name, link] : links_) peers.push_back(link->peer);
  return peers;
}

void PeerMesh::Impl::ScheduleTick() {
  const Milliseconds tick = std::max(
      kMinTick, std::min(settings_.reconnect_delay / 2,
                         settings_.silence_timeout / (2 * kPingDivisor)));
  tick_timer_.expires_after(tick);
  tick_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self) self->Tick();
      });
}

void PeerMesh::Impl::Tick() {
  std::vector<PeerLinkPtr> silent;
  std::vector<std::string> due;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    const Time now = Now();
    RestartSilenceTimersAfterPause(now);
    silent = CheckLinks(now);
    due = DueAddresses(now);
    ScheduleTick();
  }
  for (const PeerLinkPtr& link : silent) Close(link, "silent");
  for (const std::string& address : due) Dial(address);
}

// After a pause of this process, data that the peers have sent is still unread,
// so their links do not count as silent.
void PeerMesh::Impl::RestartSilenceTimersAfterPause(Time now) {
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap < settings_.silence_timeout / kStaleLinkDivisor) return;
  for (const auto& [name, link] : links_) link->last_received_at = now;
}

std::vector<PeerLinkPtr> PeerMesh::Impl::CheckLinks(Time now) {
  std::vector<PeerLinkPtr> silent;
  for (const auto& [id, link] : opening_) {
    if (now - link->last_received_at > settings_.silence_timeout) {
      silent.push_back(link);
    }
  }
  for (const auto& [id, retiring] : retiring_) {
    if (now >= retiring.close_at) silent.push_back(retiring.link);
  }
  const Duration ping_after = settings_.silence_timeout / kPingDivisor;
  for (const auto& [name, link] : links_) {
    const Duration silence = now - link->last_received_at;
    if (silence > settings_.silence_timeout) {
      silent.push_back(link);
      continue;
    }
    if (silence < ping_after || now - link->last_ping_at < ping_after) continue;
    link->last_ping_at = now;
    link->socket->Ping();
    bytes_sent_ += FrameBytes(0, link->dialed());
  }
  return silent;
}

std::vector<std::string> PeerMesh::Impl::DueAddresses(Time now) {
  std::set<std::string> linked;
  for (const auto& [name, link] : links_) linked.insert(name);
  return dialer_.TakeDue(linked, now);
}

bool PeerMesh::Impl::SendFrame(const PeerLink& link, const std::string& frame) {
  if (frame.size() > settings_.max_message_bytes) return false;
  if (link.socket->queued_bytes() + frame.size() > settings_.max_queued_bytes) {
    return false;
  }
  if (!link.socket->Send(frame)) return false;
  bytes_sent_ += FrameBytes(frame.size(), link.dialed());
  return true;
}

PeerLinkPtr PeerMesh::Impl::FindLink(const std::string& peer) const {
  const auto found = links_.find(peer);
  return found == links_.end() ? nullptr : found->second;
}

PeerMesh::PeerMesh(boost::asio::io_context& io, PeerMeshSettings settings)
    : impl_(std::make_shared<Impl>(io, std::move(settings))) {}

PeerMesh::~PeerMesh() { Stop(); }

void PeerMesh::SetMessageHandler(const std::string& type,
                                 MessageHandler handler) {
  impl_->message_handlers_[type] = std::move(handler);
}

void PeerMesh::SetLinkHandler(LinkHandler handler) {
  impl_->link_handler_ = std::move(handler);
}

void PeerMesh::SetNameClashHandler(
    std::function<void(const std::string& where)> handler) {
  impl_->name_clash_handler_ = std::move(handler);
}

bool PeerMesh::Start(Error* error) { return impl_->Start(error); }

void PeerMesh::SetPeers(const std::vector<std::string>& addresses) {
  impl_->SetPeers(addresses);
}

void PeerMesh::Stop() { impl_->Stop(); }

bool PeerMesh::Send(const std::string& peer, const std::string& type,
                    Json body) {
  return impl_->Send(peer, type, std::move(body));
}

void PeerMesh::Broadcast(const std::string& type, const Json& body) {
  impl_->Broadcast(type, body);
}

void PeerMesh::Call(const std::string& peer, const std::string& type, Json body,
                    Duration timeout, CallCallback callback) {
  impl_->Call(peer, type, std::move(body), timeout, std::move(callback));
}

std::vector<PeerIdentity> PeerMesh::connected_peers() const {
  return impl_->connected_peers();
}

uint64_t PeerMesh::bytes_sent() const { return impl_->bytes_sent_; }

uint64_t PeerMesh::bytes_received() const { return impl_->bytes_received_; }

std::string PeerMesh::address() const { return impl_->address(); }

}  // namespace thornplank
