// Group membership of the entries: exchanges heartbeats with all peers over the
// peer protocol, and serves snapshots of the state of streams to joining
// entries.
//
// Thread-safe after Start. Handlers and callbacks run on threads of the
// io_context, without a lock held. Change handlers run in order, one at a time.
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
  // The same values as in PeerMeshSettings.
  std::string name;
  std::string incarnation;
  std::string failure_domain;
  // The heartbeat interval, and the times without a heartbeat after which a
  // member is suspected and declared dead.
  MembershipSettings bounds;
  // Limit for one peer's answer to a request for a snapshot.
  Milliseconds snapshot_timeout{5000};
};

// The state of one member as this entry sees it.
struct MemberView {
  std::string name;
  std::string incarnation;
  std::string failure_domain;
  MemberState state = MemberState::kJoining;
  // Time since the last change of `state`.
  Milliseconds time_in_state{0};
  // The offset of the next record to apply, by stream, from the member's last
  // heartbeat.
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

  // Registers handlers at `mesh`, so construct this before the mesh starts.
  // `mesh` and `io` must outlive this object.
  MembershipManager(boost::asio::io_context& io, PeerMesh& mesh,
                    MembershipManagerSettings settings);
  ~MembershipManager();

  // The following four functions must be called before Start.
  void AddChangeHandler(ChangeHandler handler);
  // `offsets` produces `{stream: next offset}`, which is sent with each
  // heartbeat.
  void SetOffsetsProducer(Producer offsets);
  // Adds a part of the heartbeat that belongs to another component. `consume`
  // gets this part of the heartbeats of peers.
  void AddHeartbeatSection(std::string name, Producer produce,
                           SectionConsumer consume);
  // `produce` returns the snapshot of stream `name` for peers that request it;
  // null if there is none.
  void AddSnapshotProducer(std::string name, Producer produce);

  void Start();
  // Handlers that are already running on other threads may finish after Stop
  // has returned.
  void Stop();

  // Both notify the peers at once.
  void SetReady(bool ready);
  void SetLeaving();
  // The names of the entries on the instance list, which is only a hint.
  void SetListedNames(const std::vector<std::string>& names);

  // Requests the snapshot of stream `name` from one peer after the other, in
  // descending order of their offsets, until one answers whose next offset is
  // at least `min_offset`.
  void FetchSnapshot(const std::string& name, int64_t min_offset,
                     SnapshotCallback callback);

  // All members including this entry, ordered by name.
  std::vector<MemberView> members() const;
  // The members that are alive, including this entry if it is ready. This
  // entry's offsets are left out, so that no producer runs inside the call.
  std::vector<MemberView> alive_members() const;
  // See MembershipTable::OwnerOf.
  std::optional<std::string> OwnerOf(const std::string& key) const;
  // members() as shown on the status page.
  Json ToJson() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PEERS_MEMBERSHIP_MANAGER_H_
