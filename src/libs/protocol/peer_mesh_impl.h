// The inside of PeerMesh; included by its source files only.
//
// Lock order: PeerMesh::Impl::mutex_, then the locks inside PendingCalls and
// the sockets. No handler or callback of a user runs with any of them held.
#ifndef THORNPLANK_PROTOCOL_PEER_MESH_IMPL_H_
#define THORNPLANK_PROTOCOL_PEER_MESH_IMPL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/dialer.h"
#include "protocol/hello.h"
#include "protocol/peer_link.h"
#include "protocol/peer_mesh.h"
#include "protocol/peer_socket.h"
#include "protocol/pending_calls.h"

namespace thornplank {

// Parts of the silence timeout after which a quiet link is pinged, and after
// which it yields to a new link from the same peer.
inline constexpr int kPingsPerSilence = 4;
inline constexpr int kStaleLinksPerSilence = 2;

class PeerMesh::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, PeerMeshSettings settings);

  bool Start(Error* error);
  void SetPeers(const std::vector<std::string>& addresses);
  void Stop();
  bool Send(const std::string& peer, const std::string& type, Json body);
  void Broadcast(const std::string& type, const Json& body);
  void Call(const std::string& peer, const std::string& type, Json body,
            Duration timeout, CallCallback callback);
  std::vector<PeerIdentity> connected_peers() const;
  std::string address() const { return transport_.address(); }

  // Written before Start only.
  std::unordered_map<std::string, MessageHandler> message_handlers_;
  LinkHandler link_handler_;
  std::function<void(const std::string& where)> name_clash_handler_;

  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> bytes_received_{0};

 private:
  void ScheduleTick();
  void Tick();
  // The three parts of a tick, with mutex_ held.
  void ForgivePause(Time now);
  std::vector<PeerLinkPtr> CheckSilence(Time now);
  std::vector<std::string> DueAddresses(Time now);

  void Dial(const std::string& address);
  PeerSocketHandlers Accept(std::shared_ptr<PeerSocket> socket);
  PeerSocketHandlers Attach(const PeerLinkPtr& link,
                            std::shared_ptr<PeerSocket> socket);
  void HandleOpened(const PeerLinkPtr& link);
  void HandleFrame(const PeerLinkPtr& link, std::string_view frame);
  void HandleHello(const PeerLinkPtr& link, const Message& message);
  void HandleMessage(const PeerLinkPtr& link, const Message& message);
  void HandleClosed(const PeerLinkPtr& link, const std::string& reason);
  void Refuse(const PeerLinkPtr& link, const Error& error);
  // Ends a link from this end.
  void Close(const PeerLinkPtr& link, const std::string& reason);
  // nullopt when the hello is acceptable.
  // Tells the handler and, on an accepted link, the other end.
  void ReportNameClash(const PeerLink& link, const Hello& hello);
  std::optional<Error> CheckHello(const PeerLink& link, const Message& message,
                                  Hello* hello) const;
  Reply MakeReply(const PeerLinkPtr& link, const Message& call);
  LinkState Touch(const PeerLinkPtr& link);

  // With mutex_ held.
  bool KeepLink(const PeerLinkPtr& link, const Hello& hello,
                PeerLinkPtr* replaced);
  void MarkClosed(const PeerLinkPtr& link);
  // Another link to the same incarnation stays; this one takes nothing new,
  // but what is on its way still arrives and is answered.
  void Retire(const PeerLinkPtr& link);
  void SendHello(const PeerLink& link, bool kept);
  bool SendFrame(const PeerLink& link, const std::string& frame);
  PeerLinkPtr FindLink(const std::string& peer) const;
  void PostLinkEvent(const PeerIdentity& peer, bool connected,
                     const std::string& reason);

  const PeerMeshSettings settings_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer tick_timer_;
  // Keeps the order of link events.
  boost::asio::strand<boost::asio::io_context::executor_type> link_events_;
  const std::shared_ptr<PendingCalls> calls_;
  PeerTransport transport_;

  mutable std::mutex mutex_;
  // All members below are guarded by mutex_.
  bool stopped_ = false;
  uint64_t last_link_id_ = 0;
  Time last_tick_;
  Dialer dialer_;
  // Links without a hello so far, by id.
  std::map<uint64_t, PeerLinkPtr> opening_;
  // Established links by the peer's name; none of them is kClosed.
  std::map<std::string, PeerLinkPtr> links_;
  struct RetiringLink {
    PeerLinkPtr link;
    Time close_at;
  };
  // Established links that another one has replaced, by id.
  std::map<uint64_t, RetiringLink> retiring_;
  // Incarnations that a newer one has replaced, by name.
  std::map<std::string, std::deque<std::string>> retired_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PEER_MESH_IMPL_H_
