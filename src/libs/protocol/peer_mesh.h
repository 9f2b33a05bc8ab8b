// WebSocket links between the entries: one permanent link per pair.
//
// A link on which nothing was received for `silence_timeout` is closed and
// opened again, since a device between the two ends may have dropped the
// connection without telling them.
//
// Thread-safe after Start. Handlers and callbacks run on threads of the
// io_context, without a lock held.
#ifndef THORNPLANK_PROTOCOL_PEER_MESH_H_
#define THORNPLANK_PROTOCOL_PEER_MESH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "protocol/message.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct PeerMeshSettings {
  // This entry's instance name.
  std::string name;
  // An id that is new each time the process starts.
  std::string incarnation;
  std::string failure_domain;
  // "ip:port" to listen on.
  std::string listen;
  // The secret of all entries; a peer that does not present it is refused.
  std::string shared_secret;
  // The first delay before an address is dialled again; it doubles after each
  // failure.
  Milliseconds reconnect_delay{200};
  Milliseconds max_reconnect_delay{2000};
  Milliseconds silence_timeout{3000};
  size_t max_message_bytes = 8 * 1024 * 1024;
  // If more bytes than this would be queued to one peer, one-way messages are
  // dropped and calls fail at once.
  size_t max_queued_bytes = 8 * 1024 * 1024;
};

struct PeerIdentity {
  std::string name;
  std::string incarnation;
  std::string failure_domain;
};

class PeerMesh {
 public:
  // Answers a call. May be called on any thread; only the first call has an
  // effect.
  using Reply = std::function<void(Json body)>;
  // Handles a one-way message or a call from a peer. `reply` is empty for a
  // one-way message. May run on any thread.
  using MessageHandler = std::function<void(
      const PeerIdentity& from, const Message& message, Reply reply)>;
  using LinkHandler =
      std::function<void(const PeerIdentity& peer, bool connected)>;
  // `body` is the body of the reply, or nullopt if the call failed.
  using CallCallback =
      std::function<void(std::optional<Json> body, const Error& error)>;

  PeerMesh(boost::asio::io_context& io, PeerMeshSettings settings);
  ~PeerMesh();

  // Handlers must be set before Start. One handler per message type.
  void SetMessageHandler(const std::string& type, MessageHandler handler);
  void SetLinkHandler(LinkHandler handler);
  // `handler` is called when another live entry has the name of this entry.
  // `where` is the dialled address of that entry or, for an accepted link, a
  // text. Both entries are notified; the handler decides what to do.
  void SetNameClashHandler(
      std::function<void(const std::string& where)> handler);

  // Returns false and sets `*error` if it cannot listen on the address.
  bool Start(Error* error);
  // The addresses to keep links to; this entry's own address is ignored.
  void SetPeers(const std::vector<std::string>& addresses);
  void Stop();

  // Sends a one-way message to the entry named `peer`. Returns false if there
  // is no link to it, or if the message is too large or exceeds the queue.
  bool Send(const std::string& peer, const std::string& type, Json body);
  // Sends a one-way message to all linked peers.
  void Broadcast(const std::string& type, const Json& body);
  // Calls a peer; `callback` runs once, on any thread.
  void Call(const std::string& peer, const std::string& type, Json body,
            Duration timeout, CallCallback callback);

  std::vector<PeerIdentity> connected_peers() const;
  // Bytes of frames sent and received since the start, with their headers.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;
  // The bound "ip:port"; empty before Start.
  std::string address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PEER_MESH_H_
