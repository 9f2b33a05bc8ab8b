// Snapshots of folded streams, given to entries that join and fetched from
// peers.
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

// Serves and sends "state-request" calls.
class SnapshotExchange : public std::enable_shared_from_this<SnapshotExchange> {
 public:
  // `offsets` gives this entry's own next offsets by stream.
  SnapshotExchange(PeerMesh& mesh, Milliseconds timeout,
                   std::function<Json()> offsets);

  // Sets the handler on the mesh.
  void Install();
  // Before the mesh starts.
  void AddSnapshotProducer(std::string name,
                           MembershipManager::Producer produce);
  // Asks `peers` in their order until one answers with `min_offset` or more.
  void Fetch(const std::string& stream, int64_t min_offset,
             std::vector<std::string> peers,
             MembershipManager::SnapshotCallback callback);

 private:
  struct Request {
    std::string stream;
    int64_t min_offset = 0;
    // Still to be asked; the next one last.
    std::vector<std::string> peers;
    MembershipManager::SnapshotCallback callback;
    Error last_error;
  };

  Json Answer(const std::string& stream) const;
  void AskNext(const std::shared_ptr<Request>& request);
  // False when the answer of `peer` does not serve; then the next is asked.
  bool Accept(const Request& request, const std::string& peer,
              const Json& answer, Error* error) const;

  PeerMesh& mesh_;
  const Milliseconds timeout_;
  const std::function<Json()> offsets_;
  // Written before the mesh starts, then only read.
  std::map<std::string, MembershipManager::Producer> producers_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PEERS_SNAPSHOT_EXCHANGE_H_
