// Sends and receives heartbeats, and keeps the membership table up to date.
#include "peers/membership_manager.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <utility>

#include "logging/events/membership_events.h"
#include "peers/snapshot_exchange.h"
#include "protocol/peer_mesh.h"

namespace thornplank {
namespace {

constexpr char kHeartbeat[] = "heartbeat";

Time Now() { return std::chrono::steady_clock::now(); }

MemberIdentity ToMemberIdentity(const PeerIdentity& peer) {
  return {peer.name, peer.incarnation, peer.failure_domain};
}

}  // namespace

class MembershipManager::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, PeerMesh& mesh,
       MembershipManagerSettings settings)
      : settings_(std::move(settings)),
        mesh_(mesh),
        timer_(io),
        change_strand_(boost::asio::make_strand(io)),
        table_(
            settings_.bounds,
            {settings_.name, settings_.incarnation, settings_.failure_domain},
            Now()) {}

  void RegisterHandlers();
  void Start();
  void Stop();
  void SetReadiness(std::optional<bool> ready, bool leaving);
  void SetListedNames(const std::vector<std::string>& names);
  void FetchSnapshot(const std::string& name, int64_t min_offset,
                     SnapshotCallback callback);
  // `own_offsets` are used as the offsets of this entry.
  std::vector<MemberView> MakeViews(const Json& own_offsets) const;
  std::optional<std::string> OwnerOf(const std::string& key) const;
  Json OwnOffsets() const {
    return offsets_producer_ ? offsets_producer_() : Json::object();
  }

  struct Section {
    Producer produce;
    SectionConsumer consume;
  };
  // The data members of this block are written only before Start.
  std::vector<ChangeHandler> change_handlers_;
  Producer offsets_producer_;
  std::map<std::string, Section> sections_;
  std::shared_ptr<SnapshotExchange> snapshot_exchange_;

 private:
  void ScheduleTick();
  void Tick();
  void SendHeartbeat();
  void HandleHeartbeat(const PeerIdentity& from, const Json& body);
  void HandleLink(const PeerIdentity& peer, bool connected);
  // mutex_ must be held, so that the handlers get the changes in order.
  void PostChanges(MembershipTable::Changes changes);
  std::vector<std::string> PeersToAsk(const std::string& stream,
                                      int64_t min_offset) const;

  const MembershipManagerSettings settings_;
  PeerMesh& mesh_;
  boost::asio::steady_timer timer_;
  boost::asio::strand<boost::asio::io_context::executor_type> change_strand_;

  // Guards the members below. No handler, producer or callback runs while it is
  // held.
  mutable std::mutex mutex_;
  MembershipTable table_;
  // The offsets in the newest heartbeat of each member, by name.
  std::map<std::string, Json> peer_offsets_;
  uint64_t sequence_ = 0;
  bool ready_ = false;
  bool leaving_ = false;
  bool stopped_ = false;
};

void MembershipManager::Impl::RegisterHandlers() {
  mesh_.SetMessageHandler(kHeartbeat,
                          [weak = weak_from_this()](const PeerIdentity& from,
                                                    const Message& message,
                                                    const PeerMesh::Reply&) {
                            if (const auto self = weak.lock()) {
                              self->HandleHeartbeat(from, message.body);
                            }
                          });
  mesh_.SetLinkHandler(
      [weak = weak_from_this()](const PeerIdentity& peer, bool connected) {
        if (const auto self = weak.lock()) self->HandleLink(peer, connected);
      });
  snapshot_exchange_ = std::make_shared<SnapshotExchange>(
      mesh_, settings_.snapshot_timeout, [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self ? self->OwnOffsets() : Json::object();
      });
  snapshot_exchange_->RegisterHandlers();
}

void MembershipManager::Impl::Start() {
  SendHeartbeat();
  const std::lock_guard lock(mutex_);
  ScheduleTick();
}

void MembershipManager::Impl::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  timer_.cancel();
}

void MembershipManager::Impl::SetReadiness(std::optional<bool> ready,
                                           bool leaving) {
  {
    const std::lock_guard lock(mutex_);
    ready_ = ready.value_or(ready_);
    leaving_ = leaving_ || leaving;
    PostChanges(table_.SetOwnReadiness(ready_, leaving_, Now()));
  }
  SendHeartbeat();
}

void MembershipManager::Impl::SetListedNames(
    const std::vector<std::string>& names) {
  const std::lock_guard lock(mutex_);
  table_.SetListedNames(names);
}

void MembershipManager::Impl::FetchSnapshot(const std::string& name,
                                            int64_t min_offset,
                                            SnapshotCallback callback) {
  snapshot_exchange_->Fetch(name, min_offset, PeersToAsk(name, min_offset),
                            std::move(callback));
}

std::vector<std::string> MembershipManager::Impl::PeersToAsk(
    const std::string& stream, int64_t min_offset) const {
  const std::vector<PeerIdentity> connected = mesh_.connected_peers();
  std::vector<std::pair<int64_t, std::string>> peers;
  {
    const std::lock_guard lock(mutex_);
    for (const PeerIdentity& peer : connected) {
      const auto offsets = peer_offsets_.find(peer.name);
      // If there was no heartbeat yet, the peer's offset is unknown: it is
      // asked last.
      int64_t offset = 0;
      if (offsets != peer_offsets_.end()) {
        offset = IntField(offsets->second, stream).value_or(0);
        if (offset < min_offset) continue;
      }
      peers.emplace_back(offset, peer.name);
    }
  }
  std::sort(peers.rbegin(), peers.rend());
  std::vector<std::string> names;
  names.reserve(peers.size());
  for (const auto& [offset, name] : peers) names.push_back(name);
  return names;
}

std::vector<MemberView> MembershipManager::Impl::MakeViews(
    const Json& own_offsets) const {
  const Time now = Now();
  const std::lock_guard lock(mutex_);
  std::vector<MemberView> views;
  for (const auto& [name, member] : table_.members()) {
    MemberView view;
    view.name = name;
    view.incarnation = member.identity.incarnation;
    view.failure_domain = member.identity.failure_domain;
    view.state = member.state;
    view.time_in_state =
        std::chrono::duration_cast<Milliseconds>(now - member.state_since);
    const auto offsets = peer_offsets_.find(name);
    if (offsets != peer_offsets_.end()) view.offsets = offsets->second;
    if (name == settings_.name) view.offsets = own_offsets;
    views.push_back(std::move(view));
  }
  return views;
}

std::optional<std::string> MembershipManager::Impl::OwnerOf(
    const std::string& key) const {
  const std::lock_guard lock(mutex_);
  return table_.OwnerOf(key);
}

void MembershipManager::Impl::ScheduleTick() {
  timer_.expires_after(settings_.bounds.heartbeat_interval);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self) self->Tick();
      });
}

void MembershipManager::Impl::Tick() {
  SendHeartbeat();
  const std::lock_guard lock(mutex_);
  if (stopped_) return;
  PostChanges(table_.HandleTick(Now()));
  ScheduleTick();
}

void MembershipManager::Impl::SendHeartbeat() {
  Json body = {{"offsets", OwnOffsets()}};
  Json sections = Json::object();
  for (const auto& [name, section] : sections_) {
    if (section.produce) sections[name] = section.produce();
  }
  if (!sections.empty()) body["sections"] = std::move(sections);
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    body["sequence"] = ++sequence_;
    body["ready"] = ready_;
    body["leaving"] = leaving_;
  }
  mesh_.Broadcast(kHeartbeat, body);
}

void MembershipManager::Impl::HandleHeartbeat(const PeerIdentity& from,
                                              const Json& body) {
  Heartbeat heartbeat;
  heartbeat.sender = ToMemberIdentity(from);
  heartbeat.sequence =
      static_cast<uint64_t>(IntField(body, "sequence").value_or(0));
  heartbeat.ready = BoolField(body, "ready").value_or(false);
  heartbeat.leaving = BoolField(body, "leaving").value_or(false);
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    PostChanges(table_.HandleHeartbeat(heartbeat, Now()));
    const Json* offsets = ObjectField(body, "offsets");
    if (offsets != nullptr) peer_offsets_[from.name] = *offsets;
  }
  const Json* sections = ObjectField(body, "sections");
  if (sections == nullptr) return;
  for (const auto& [name, section] : sections_) {
    const auto found = sections->find(name);
    if (found == sections->end() || !section.consume) continue;
    section.consume(from.name, *found);
  }
}

void MembershipManager::Impl::HandleLink(const PeerIdentity& peer,
                                         bool connected) {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    if (connected) {
      PostChanges(table_.HandleLinkUp(ToMemberIdentity(peer), Now()));
    } else {
      table_.HandleLinkDown(ToMemberIdentity(peer));
    }
  }
  // A new peer gets this entry's state at once.
  if (connected) SendHeartbeat();
}

void MembershipManager::Impl::PostChanges(MembershipTable::Changes changes) {
  if (changes.empty()) return;
  boost::asio::post(change_strand_, [self = shared_from_this(),
                                     changes = std::move(changes)] {
    for (const MembershipChange& change : changes) {
      const std::string_view from = change.from ? ToString(*change.from) : "";
      LogEvent(events::kMemberChanged,
               {{"member", change.name},
                {"incarnation", change.incarnation},
                {"from", std::string(from)},
                {"to", std::string(ToString(change.to))},
                {"reason", change.reason}});
      for (const ChangeHandler& handler : self->change_handlers_) {
        handler(change);
      }
    }
  });
}

MembershipManager::MembershipManager(boost::asio::io_context& io,
                                     PeerMesh& mesh,
                                     MembershipManagerSettings settings)
    : impl_(std::make_shared<Impl>(io, mesh, std::move(settings))) {
  impl_->RegisterHandlers();
}

MembershipManager::~MembershipManager() { impl_->Stop(); }

void MembershipManager::AddChangeHandler(ChangeHandler handler) {
  impl_->change_handlers_.push_back(std::move(handler));
}

void MembershipManager::SetOffsetsProducer(Producer offsets) {
  impl_->offsets_producer_ = std::move(offsets);
}

void MembershipManager::AddHeartbeatSection(std::string name, Producer produce,
                                            SectionConsumer consume) {
  impl_->sections_[std::move(name)] = {std::move(produce), std::move(consume)};
}

void MembershipManager::AddSnapshotProducer(std::string name,
                                            Producer produce) {
  impl_->snapshot_exchange_->AddSnapshotProducer(std::move(name),
                                                 std::move(produce));
}

void MembershipManager::Start() { impl_->Start(); }

void MembershipManager::Stop() { impl_->Stop(); }

void MembershipManager::SetReady(bool ready) {
  impl_->SetReadiness(ready, /*leaving=*/false);
}

void MembershipManager::SetLeaving() {
  impl_->SetReadiness(std::nullopt, /*leaving=*/true);
}

void MembershipManager::SetListedNames(const std::vector<std::string>& names) {
  impl_->SetListedNames(names);
}

void MembershipManager::FetchSnapshot(const std::string& name,
                                      int64_t min_offset,
                                      SnapshotCallback callback) {
  impl_->FetchSnapshot(name, min_offset, std::move(callback));
}

std::vector<MemberView> MembershipManager::members() const {
  return impl_->MakeViews(impl_->OwnOffsets());
}

std::vector<MemberView> MembershipManager::alive_members() const {
  std::vector<MemberView> views = impl_->MakeViews(Json::object());
  views.erase(std::remove_if(views.begin(), views.end(),
                             [](const MemberView& view) {
                               return view.state != MemberState::kAlive;
                             }),
              views.end());
  return views;
}

std::optional<std::string> MembershipManager::OwnerOf(
    const std::string& key) const {
  return impl_->OwnerOf(key);
}

Json MembershipManager::ToJson() const {
  Json result = Json::array();
  for (const MemberView& view : members()) {
    result.push_back({{"name", view.name},
                      {"incarnation", view.incarnation},
                      {"failure_domain", view.failure_domain},
                      {"state", std::string(ToString(view.state))},
                      {"since_ms", view.time_in_state.count()},
                      {"offsets", view.offsets}});
  }
  return result;
}

}  // namespace thornplank
