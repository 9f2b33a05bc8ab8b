// The implementation of PeerMesh; included only by its source files.
//
// Lock order: PeerMesh::Impl::mutex_ before the locks of PendingCalls and the
// sockets. No handler or callback of a user runs with any of them held.
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

// A link on which nothing is received is pinged after the silence timeout
// divided by kPingDivisor. After the silence timeout divided by
// kStaleLinkDivisor it is stale: any new link to the same peer replaces it.
inline constexpr int kPingDivisor = 4;
inline constexpr int kStaleLinkDivisor = 2;

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

  // Written only before Start.
  std::unordered_map<std::string, MessageHandler> message_handlers_;
  LinkHandler link_handler_;
  std::function<void(const std::string& where)> name_clash_handler_;

  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> bytes_received_{0};

 private:
  void ScheduleTick();
  void Tick();
  // The three parts of a tick. mutex_ must be held.
  void RestartSilenceTimersAfterPause(Time now);
  // Pings quiet links and returns the links that are to be closed.
  std::vector<PeerLinkPtr> CheckLinks(Time now);
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
  // Closes a link from this end.
  void Close(const PeerLinkPtr& link, const std::string& reason);
  // If the other end has the name of this entry, notifies the handler and, on
  // an accepted link, the other end.
  void ReportNameClash(const PeerLink& link, const Hello& hello);
  // Returns nullopt if the hello is acceptable. `*hello` is set once the secret
  // has been checked.
  std::optional<Error> CheckHello(const PeerLink& link, const Message& message,
                                  Hello* hello) const;
  Reply MakeReply(const PeerLinkPtr& link, const Message& call);
  LinkState UpdateLastReceived(const PeerLinkPtr& link);

  // mutex_ must be held for this and the following functions.
  // Decides whether `link` is kept and, if so, establishes it. `*replaced` is
  // set to a link that the caller must close.
  bool KeepLink(const PeerLinkPtr& link, const Hello& hello,
                PeerLinkPtr* replaced);
  void MarkClosed(const PeerLinkPtr& link);
  // Used if another link to the same incarnation is kept. Nothing new is sent
  // on `link`, but messages in transit still arrive and are answered; it is
  // closed after half of the silence timeout.
  void RetireLink(const PeerLinkPtr& link);
  void SendHello(const PeerLink& link, bool kept);
  bool SendFrame(const PeerLink& link, const std::string& frame);
  PeerLinkPtr FindLink(const std::string& peer) const;
  void PostLinkEvent(const PeerIdentity& peer, bool connected,
                     const std::string& reason);

  const PeerMeshSettings settings_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer tick_timer_;
  // Keeps link events in order.
  boost::asio::strand<boost::asio::io_context::executor_type>
      link_event_strand_;
  const std::shared_ptr<PendingCalls> calls_;
  PeerTransport transport_;

  mutable std::mutex mutex_;
  // The members below are guarded by mutex_.
  bool stopped_ = false;
  uint64_t last_link_id_ = 0;
  Time last_tick_;
  Dialer dialer_;
  // Links on which no hello was received yet, by id.
  std::map<uint64_t, PeerLinkPtr> opening_;
  // Established links by the peer's name; none of them is kClosed.
  std::map<std::string, PeerLinkPtr> links_;
  struct RetiringLink {
    PeerLinkPtr link;
    Time close_at;
  };
  // Established links that another link has replaced, by id; see RetireLink.
  std::map<uint64_t, RetiringLink> retiring_;
  // Earlier incarnations of each peer, by name. Their hellos are refused.
  std::map<std::string, std::deque<std::string>> retired_incarnations_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PEER_MESH_IMPL_H_
