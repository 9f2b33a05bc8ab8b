// Serves snapshots of the state of streams to joining entries, and fetches such
// snapshots from peers.
//
// Thread-safe once the mesh has started.
#ifndef THORNPLANK_PEERS_SNAPSHOT_EXCHANGE_H_
#define THORNPLANK_PEERS_SNAPSHOT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "peers/membership_manager.h"

namespace thornplank {

// Handles and makes "state-request" calls.
class SnapshotExchange : public std::enable_shared_from_this<SnapshotExchange> {
 public:
  // `offsets` produces this entry's next offsets by stream.
  SnapshotExchange(PeerMesh& mesh, Milliseconds timeout,
                   std::function<Json()> offsets);

  // Both must be called before the mesh starts.
  void RegisterHandlers();
  void AddSnapshotProducer(std::string name,
                           MembershipManager::Producer produce);
  // Asks `peers` in this order until one answers with a snapshot whose next
  // offset is at least `min_offset`.
  void Fetch(const std::string& stream, int64_t min_offset,
             std::vector<std::string> peers,
             MembershipManager::SnapshotCallback callback);

 private:
  struct Request {
    std::string stream;
    int64_t min_offset = 0;
    // Peers that are still to be asked, in reverse order.
    std::vector<std::string> peers;
    MembershipManager::SnapshotCallback callback;
    Error last_error;
  };

  Json MakeAnswer(const std::string& stream) const;
  void AskNextPeer(const std::shared_ptr<Request>& request);
  // Returns false and sets `*error` if the answer of `peer` is not usable.
  bool AcceptAnswer(const Request& request, const std::string& peer,
                    const Json& answer, Error* error) const;

  PeerMesh& mesh_;
  const Milliseconds timeout_;
  const std::function<Json()> own_offsets_;
  // By stream. Written only before the mesh starts.
  std::map<std::string, MembershipManager::Producer> producers_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PEERS_SNAPSHOT_EXCHANGE_H_
