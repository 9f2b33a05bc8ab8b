// The carrier of membership: heartbeats to all peers over the inner protocol,
// and snapshots of folded streams for entries that join.
//
// Handlers and callbacks run on threads of the io_context, outside of the
// lock. Those for changes run in order, one at a time.
#ifndef THORNPLANK_PEERS_MEMBERSHIP_MANAGER_H_
#define THORNPLANK_PEERS_MEMBERSHIP_MANAGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"
#include "membership/membership_table.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

class PeerMesh;

struct MembershipManagerSettings {
  // As in the settings of the mesh.
  std::string name;
  std::string incarnation;
  std::string failure_domain;
  // Interval of heartbeats, and the silence after which a member is suspected
  // and dead.
  MembershipSettings bounds;
  // For one peer's answer to a request for a snapshot.
  Milliseconds snapshot_timeout{5000};
};

struct MemberView {
  std::string name;
  std::string incarnation;
  std::string failure_domain;
  MemberState state = MemberState::kJoining;
  // How long `state` has lasted.
  Milliseconds since{0};
  // Next offset to fold, by stream, as of its last heartbeat.
  Json offsets = Json::object();
};

class MembershipManager {
 public:
  using ChangeHandler = std::function<void(const MembershipChange&)>;
  using Producer = std::function<Json()>;
  using SectionConsumer =
      std::function<void(const std::string& peer, const Json& section)>;
  // The snapshot, or the error of the last peer asked.
  using SnapshotCallback =
      std::function<void(std::optional<Json> snapshot, const Error& error)>;

  // Sets handlers on `mesh`, so it comes before the mesh's Start. `mesh` and
  // `io` must outlive this.
  MembershipManager(boost::asio::io_context& io, PeerMesh& mesh,
                    MembershipManagerSettings settings);
  ~MembershipManager();

  // These before Start.
  void AddChangeHandler(ChangeHandler handler);
  // `{stream: next offset}`, told with each heartbeat.
  void SetOffsetsProducer(Producer offsets);
  // A part of the heartbeat that belongs to another carrier.
  void AddHeartbeatSection(std::string name, Producer produce,
                           SectionConsumer consume);
  // What peers get that ask for the snapshot of stream `name`; null while
  // there is none.
  void AddSnapshotProducer(std::string name, Producer produce);

  void Start();
  // Handlers that are running on other threads may still end after it.
  void Stop();

  // Both tell the peers at once.
  void SetReady(bool ready);
  void SetLeaving();
  // The names of the entries on the instance list: a hint.
  void SetListedNames(const std::vector<std::string>& names);

  // Asks the peers for the snapshot of stream `name`, those with the highest
  // offsets first, until one answers that has folded `min_offset` or more.
  void FetchSnapshot(const std::string& name, int64_t min_offset,
                     SnapshotCallback callback);

  // All members with this entry, by name.
  std::vector<MemberView> members() const;
  // Those alive, with this entry when it is ready; the own offsets are left
  // out, so that no producer runs inside this call.
  std::vector<MemberView> alive_members() const;
  std::optional<std::string> OwnerOf(const std::string& key) const;
  // `members()` for the status page.
  Json ToJson() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PEERS_MEMBERSHIP_MANAGER_H_
