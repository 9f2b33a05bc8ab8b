// Handling of links: the hello, one link per pair of entries, received
// messages, and the end of a link.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <initializer_list>
#include <utility>

#include "logging/events/membership_events.h"
#include "protocol/peer_mesh_impl.h"

namespace thornplank {
namespace {

// The type of a reply that contains the reason of a failure.
constexpr char kErrorType[] = "error";
// The limit on links without a hello; further connections are refused.
constexpr size_t kMaxOpeningLinks = 64;
// How many earlier incarnations of one name are remembered and refused.
constexpr size_t kMaxRetiredIncarnations = 8;

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

void PeerMesh::Impl::Dial(const std::string& address) {
  const auto link = std::make_shared<PeerLink>();
  link->dialed_address = address;
  Error error;
  const auto socket = transport_.Dial(
      address,
      [this, &link](std::shared_ptr<PeerSocket> opened) {
        return Attach(link, std::move(opened));
      },
      &error);
  if (socket) return;
  LogEvent(events::kPeerRefused, error);
  const std::lock_guard lock(mutex_);
  dialer_.HandleClosed(address, Now());
}

PeerSocketHandlers PeerMesh::Impl::Accept(std::shared_ptr<PeerSocket> socket) {
  const auto link = std::make_shared<PeerLink>();
  PeerSocketHandlers handlers = Attach(link, std::move(socket));
  size_t opening = 0;
  {
    const std::lock_guard lock(mutex_);
    opening = opening_.size();
  }
  if (opening > kMaxOpeningLinks) Close(link, "too many connections");
  return handlers;
}

PeerSocketHandlers PeerMesh::Impl::Attach(const PeerLinkPtr& link,
                                          std::shared_ptr<PeerSocket> socket) {
  {
    const std::lock_guard lock(mutex_);
    link->id = ++last_link_id_;
    link->socket = std::move(socket);
    link->last_received_at = Now();
    if (stopped_) link->state = LinkState::kClosed;
    if (!stopped_) opening_.emplace(link->id, link);
  }
  const auto self = shared_from_this();
  PeerSocketHandlers handlers;
  handlers.opened = [self, link] { self->HandleOpened(link); };
  handlers.received = [self, link](std::string_view frame) {
    self->HandleFrame(link, frame);
  };
  handlers.control_frame_received = [self, link] {
    self->bytes_received_ += FrameBytes(0, !link->dialed());
    self->UpdateLastReceived(link);
  };
  handlers.closed = [self, link](const std::string& reason) {
    self->HandleClosed(link, reason);
  };
  return handlers;
}

void PeerMesh::Impl::HandleOpened(const PeerLinkPtr& link) {
  std::unique_lock lock(mutex_);
  if (link->state == LinkState::kClosed) {
    lock.unlock();
    link->socket->Close("stopping");
    return;
  }
  if (link->dialed()) SendHello(*link, /*kept=*/true);
}

void PeerMesh::Impl::HandleFrame(const PeerLinkPtr& link,
                                 std::string_view frame) {
  bytes_received_ += FrameBytes(frame.size(), !link->dialed());
  const LinkState state = UpdateLastReceived(link);
  if (state == LinkState::kClosed) return;
  Error error;
  const std::optional<Message> message = DecodeMessage(frame, &error);
  if (!message) {
    Refuse(link, error);
    return;
  }
  if (state == LinkState::kOpening) {
    HandleHello(link, *message);
  } else {
    HandleMessage(link, *message);
  }
}

LinkState PeerMesh::Impl::UpdateLastReceived(const PeerLinkPtr& link) {
  const std::lock_guard lock(mutex_);
  link->last_received_at = Now();
  return link->state;
}

std::optional<Error> PeerMesh::Impl::CheckHello(const PeerLink& link,
                                                const Message& message,
                                                Hello* hello) const {
  const std::string where =
      link.dialed() ? link.dialed_address : "an accepted connection";
  if (message.type != kHelloType) {
    return Error{"hello", where, "the first message is not a hello"};
  }
  Error error;
  const std::optional<Hello> read = HelloFromJson(message.body, &error);
  if (!read) return Error{"hello", where, error.reason};
  if (!SecretsEqual(read->secret, settings_.shared_secret)) {
    return Error{"hello", where, "wrong secret"};
  }
  *hello = *read;
  if (read->name == settings_.name) {
    return Error{"hello", where, "it has this entry's own name"};
  }
  return std::nullopt;
}

void PeerMesh::Impl::ReportNameClash(const PeerLink& link, const Hello& hello) {
  const bool clash = hello.name == settings_.name &&
                     hello.incarnation != settings_.incarnation;
  if (!clash) return;
  if (!link.dialed()) SendHello(link, /*kept=*/false);
  if (!name_clash_handler_) return;
  name_clash_handler_(link.dialed() ? link.dialed_address
                                    : "an accepted connection");
}

void PeerMesh::Impl::HandleHello(const PeerLinkPtr& link,
                                 const Message& message) {
  Hello hello;
  if (const auto error = CheckHello(*link, message, &hello)) {
    ReportNameClash(*link, hello);
    Refuse(link, *error);
    return;
  }
  link->socket->SetMaxMessageBytes(settings_.max_message_bytes);
  PeerLinkPtr replaced;
  bool kept = false;
  {
    const std::lock_guard lock(mutex_);
    if (link->state == LinkState::kClosed) return;
    link->peer = {hello.name, hello.incarnation, hello.failure_domain};
    if (link->dialed()) dialer_.SetPeerName(link->dialed_address, hello.name);
    kept = KeepLink(link, hello, &replaced);
    // With the lock held, so that no other message is sent before the hello.
    if (!link->dialed()) SendHello(*link, kept);
  }
  if (replaced) {
    replaced->socket->Close("replaced");
    calls_->FailLink(replaced->id, "the link was replaced");
  }
  if (!kept) Close(link, "another link stays");
}

bool PeerMesh::Impl::KeepLink(const PeerLinkPtr& link, const Hello& hello,
                              PeerLinkPtr* replaced) {
  if (link->dialed() && !hello.kept) return false;
  std::deque<std::string>& retired = retired_incarnations_[hello.name];
  if (std::find(retired.begin(), retired.end(), hello.incarnation) !=
      retired.end()) {
    return false;
  }
  const Duration stale_after = settings_.silence_timeout / kStaleLinkDivisor;
  const PeerLinkPtr existing = FindLink(hello.name);
  if (existing &&
      !TakesOver(*link, *existing, settings_.name, Now(), stale_after)) {
    // The other end may have sent messages on it already.
    if (link->dialed()) RetireLink(link);
    return link->dialed();
  }
  const bool restarted =
      existing && existing->peer.incarnation != hello.incarnation;
  const bool stale =
      existing && Now() - existing->last_received_at > stale_after;
  if (existing && (restarted || stale)) {
    MarkClosed(existing);
    *replaced = existing;
  } else if (existing) {
    RetireLink(existing);
  }
  if (restarted) {
    retired.push_back(existing->peer.incarnation);
    if (retired.size() > kMaxRetiredIncarnations) retired.pop_front();
    PostLinkEvent(existing->peer, false, "a new incarnation took its place");
  }
  opening_.erase(link->id);
  link->state = LinkState::kEstablished;
  links_[hello.name] = link;
  if (link->dialed()) dialer_.HandleEstablished(link->dialed_address);
  if (!existing || restarted) PostLinkEvent(link->peer, true, "");
  return true;
}

void PeerMesh::Impl::HandleMessage(const PeerLinkPtr& link,
                                   const Message& message) {
  if (message.is_reply) {
    std::optional<Json> body;
    if (message.type != kErrorType) body = message.body;
    // A reply whose call has ended already is dropped.
    calls_->Resolve(link->id, message.correlation_id, std::move(body),
                    StringField(message.body, "reason").value_or("refused"));
    return;
  }
  const auto handler = message_handlers_.find(message.type);
  if (handler != message_handlers_.end()) {
    // Read without the lock: the peer of an established link does not change.
    handler->second(link->peer, message, MakeReply(link, message));
    return;
  }
  if (message.correlation_id == 0) return;
  const Json body = {{"reason", "no handler for " + message.type}};
  const std::string frame =
      EncodeMessage(Message{kErrorType, message.correlation_id, true, body});
  const std::lock_guard lock(mutex_);
  SendFrame(*link, frame);
}

PeerMesh::Reply PeerMesh::Impl::MakeReply(const PeerLinkPtr& link,
                                          const Message& call) {
  if (call.correlation_id == 0) return nullptr;
  const auto answered = std::make_shared<std::atomic<bool>>(false);
  return [weak = weak_from_this(), link, answered, type = call.type,
          correlation_id = call.correlation_id](Json body) {
    const auto self = weak.lock();
    if (!self || answered->exchange(true)) return;
    const std::string frame =
        EncodeMessage(Message{type, correlation_id, true, std::move(body)});
    const std::lock_guard lock(self->mutex_);
    if (link->state != LinkState::kEstablished) return;
    if (self->SendFrame(*link, frame)) return;
    const Json reason = {{"reason",
                          "the reply is too large, or the peer "
                          "reads too slowly"}};
    self->SendFrame(*link, EncodeMessage(Message{kErrorType, correlation_id,
                                                 true, reason}));
  };
}

void PeerMesh::Impl::HandleClosed(const PeerLinkPtr& link,
                                  const std::string& reason) {
  {
    const std::lock_guard lock(mutex_);
    if (link->dialed()) dialer_.HandleClosed(link->dialed_address, Now());
    if (link->state == LinkState::kClosed) return;
    const bool established = FindLink(link->peer.name) == link;
    MarkClosed(link);
    if (established) PostLinkEvent(link->peer, false, reason);
  }
  calls_->FailLink(link->id, "the link was lost: " + reason);
}

void PeerMesh::Impl::Refuse(const PeerLinkPtr& link, const Error& error) {
  LogEvent(events::kPeerRefused, error);
  Close(link, error.reason);
}

void PeerMesh::Impl::Close(const PeerLinkPtr& link, const std::string& reason) {
  {
    const std::lock_guard lock(mutex_);
    if (link->state == LinkState::kClosed) return;
    const bool established = FindLink(link->peer.name) == link;
    MarkClosed(link);
    if (established) PostLinkEvent(link->peer, false, reason);
  }
  link->socket->Close(reason);
  calls_->FailLink(link->id, "the link was closed: " + reason);
}

void PeerMesh::Impl::RetireLink(const PeerLinkPtr& link) {
  opening_.erase(link->id);
  link->state = LinkState::kEstablished;
  retiring_[link->id] = {link, Now() + settings_.silence_timeout / 2};
}

void PeerMesh::Impl::MarkClosed(const PeerLinkPtr& link) {
  opening_.erase(link->id);
  retiring_.erase(link->id);
  const auto found = links_.find(link->peer.name);
  if (found != links_.end() && found->second == link) {
    links_.erase(found);
    dialer_.HandleLinkLost(link->peer.name, Now());
  }
  link->state = LinkState::kClosed;
}

void PeerMesh::Impl::SendHello(const PeerLink& link, bool kept) {
  Hello hello;
  hello.name = settings_.name;
  hello.incarnation = settings_.incarnation;
  hello.failure_domain = settings_.failure_domain;
  hello.secret = settings_.shared_secret;
  hello.kept = kept;
  SendFrame(link, EncodeMessage(Message{kHelloType, 0, false, ToJson(hello)}));
}

void PeerMesh::Impl::PostLinkEvent(const PeerIdentity& peer, bool connected,
                                   const std::string& reason) {
  boost::asio::post(link_event_strand_, [self = shared_from_this(), peer,
                                         connected, reason] {
    const std::initializer_list<EventField> fields = {
        {"peer", peer.name},
        {"incarnation", peer.incarnation},
        {"reason", reason}};
    LogEvent(connected ? events::kPeerLinkUp : events::kPeerLinkDown, fields);
    if (self->link_handler_) self->link_handler_(peer, connected);
  });
}

}  // namespace thornplank
