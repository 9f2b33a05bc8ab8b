// A link of the mesh, and the rule that selects one link per pair of entries.
#ifndef THORNPLANK_PROTOCOL_PEER_LINK_H_
#define THORNPLANK_PROTOCOL_PEER_LINK_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "protocol/peer_mesh.h"
#include "protocol/peer_socket.h"

namespace thornplank {

enum class LinkState {
  // No hello received yet.
  kOpening,
  kEstablished,
  // Closed by this end; frames that still arrive are ignored.
  kClosed,
};

struct PeerLink {
  // Unique within the process, never 0.
  uint64_t id = 0;
  // The address to which this end opened the link; empty if the link was
  // accepted.
  std::string dialed_address;
  std::shared_ptr<PeerSocket> socket;
  LinkState state = LinkState::kOpening;
  // Set once the hello was received.
  PeerIdentity peer;
  Time last_received_at;
  Time last_ping_at;

  bool dialed() const { return !dialed_address.empty(); }
};

using PeerLinkPtr = std::shared_ptr<PeerLink>;

// Whether `candidate`, whose hello was just received, replaces the link
// `existing` to the same peer. If both ends dial at the same time, both come to
// the same result: the link that was opened by the end with the lower name
// stays. A link on which nothing was received for `stale_after` is replaced by
// any other link.
inline bool TakesOver(const PeerLink& candidate, const PeerLink& existing,
                      const std::string& own_name, Time now,
                      Duration stale_after) {
  if (candidate.peer.incarnation != existing.peer.incarnation) return true;
  if (now - existing.last_received_at > stale_after) return true;
  if (candidate.dialed() == existing.dialed()) return true;
  const bool own_name_is_lower = own_name < candidate.peer.name;
  return candidate.dialed() == own_name_is_lower;
}

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PEER_LINK_H_
