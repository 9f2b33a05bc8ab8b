// One link of the mesh and the rule that leaves one per pair of entries.
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
  // Given up by this end; what still comes in is ignored.
  kClosed,
};

struct PeerLink {
  // Unique within the process, never 0.
  uint64_t id = 0;
  // Opened by this end, to this address; empty when accepted.
  std::string dialed_address;
  std::shared_ptr<PeerSocket> socket;
  LinkState state = LinkState::kOpening;
  // Set once the hello was received.
  PeerIdentity peer;
  Time last_heard;
  Time last_ping;

  bool dialed() const { return !dialed_address.empty(); }
};

using PeerLinkPtr = std::shared_ptr<PeerLink>;

// Whether `candidate`, whose hello was just received, takes the place of
// `existing` to the same name. Both ends come to the same answer when both
// dial at once: the link opened by the lower name stays. A link that was not
// heard for `stale_after` yields to any other.
inline bool TakesOver(const PeerLink& candidate, const PeerLink& existing,
                      const std::string& own_name, Time now,
                      Duration stale_after) {
  if (candidate.peer.incarnation != existing.peer.incarnation) return true;
  if (now - existing.last_heard > stale_after) return true;
  if (candidate.dialed() == existing.dialed()) return true;
  const bool own_name_is_lower = own_name < candidate.peer.name;
  return candidate.dialed() == own_name_is_lower;
}

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PEER_LINK_H_
