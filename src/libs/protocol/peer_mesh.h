// WebSocket links between the entries: one link per pair, kept up for ever.
//
// websocketpp stays inside peer_mesh.cc. A link that has been silent for
// `silence_timeout` is closed and opened anew, since something between the
// two ends may have lost track of it.
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
  // This entry's instance name, and an id that is new at each start.
  std::string name;
  std::string incarnation;
  std::string failure_domain;
  // "ip:port" to listen on.
  std::string listen;
  // Secret shared by the entries; a link without it is closed.
  std::string shared_secret;
  Milliseconds reconnect_delay{200};
  Milliseconds max_reconnect_delay{2000};
  Milliseconds silence_timeout{3000};
  size_t max_message_bytes = 8 * 1024 * 1024;
  // Bytes queued to one peer beyond which one-way messages are dropped and
  // calls fail at once.
  size_t max_queued_bytes = 8 * 1024 * 1024;
};

struct PeerIdentity {
  std::string name;
  std::string incarnation;
  std::string failure_domain;
};

class PeerMesh {
 public:
  // One-way messages and calls from a peer. To answer a call, use `reply`;
  // it is empty for one-way messages. May run on any thread.
  using Reply = std::function<void(Json body)>;
  using MessageHandler = std::function<void(
      const PeerIdentity& from, const Message& message, Reply reply)>;
  using LinkHandler =
      std::function<void(const PeerIdentity& peer, bool connected)>;
  // The reply's body, or an error.
  using CallCallback =
      std::function<void(std::optional<Json> body, const Error& error)>;

  PeerMesh(boost::asio::io_context& io, PeerMeshSettings settings);
  ~PeerMesh();

  // Handlers are set before Start. One handler per message type.
  void SetMessageHandler(const std::string& type, MessageHandler handler);
  void SetLinkHandler(LinkHandler handler);
  // `handler` learns where another live entry has this entry's own name. Both
  // entries learn it; what to do about it is not for the mesh to decide.
  void SetNameClashHandler(
      std::function<void(const std::string& where)> handler);

  // False and `*error` when the address cannot be listened on.
  bool Start(Error* error);
  // The addresses to hold links to, this entry's own excepted.
  void SetPeers(const std::vector<std::string>& addresses);
  void Stop();

  // Sends a one-way message; false when there is no link to `peer` (a name).
  bool Send(const std::string& peer, const std::string& type, Json body);
  void Broadcast(const std::string& type, const Json& body);
  // Calls a peer; `callback` runs once, on any thread.
  void Call(const std::string& peer, const std::string& type, Json body,
            Duration timeout, CallCallback callback);

  std::vector<PeerIdentity> connected_peers() const;
  // Bytes of frames sent and received since the start.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;
  std::string address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PEER_MESH_H_
