// The part of an entry that follows the board and the configuration: it serves
// callers from them and may lead.
//
// Every replica has one. A gateway has none; it gets one when the leader
// appoints it. Used on the loop of `io` only.
#ifndef THORNPLANK_REPLICAS_BOARD_REPLICA_H_
#define THORNPLANK_REPLICAS_BOARD_REPLICA_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "coordination/advisor.h"
#include "coordination/caller_service.h"
#include "coordination/cluster_gauges.h"
#include "coordination/formats.h"
#include "coordination/record_store.h"
#include "coordination/replica_roster.h"
#include "coordination/worker_calls.h"
#include "metrics/metrics_registry.h"
#include "reachability/entry_client_interface.h"
#include "replicas/entry_calls.h"
#include "workload/scheduling_features.h"
#include "workload/worker_bounds.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct BoardReplicaSettings {
  // This entry: its name, and where it answers the other entries.
  ReplicaAddress entry;
  // "instance/incarnation"; never used again by another process.
  std::string holder;
  Partition board;
  StoreLimits store_limits;
  // Preference for leadership while there is no roster: 0 is first, 1 is last.
  double rank = 0;
  // Random choices of this entry.
  uint32_t seed = 0;
  // Maximum age of the configuration for a call with a key.
  Milliseconds max_configuration_age{4200};
  // Maximum age of the configuration for a call that is refused by it.
  Milliseconds max_unconfirmed_age{1200};
  // How long the state of an ended job can be queried.
  Milliseconds state_kept{120000};
  WorkerBounds bounds;
  SchedulingFeatures features;
  // Least number of replicas.
  size_t min_replicas = 8;
};

class BoardReplica {
 public:
  // Provided by the owner; all must outlive this object. `advisor` is null if
  // none is configured.
  struct Dependencies {
    RecordStore& store;
    WorkerCalls& worker_calls;
    const Formats& formats;
    Advisor* advisor;
    EntryClientInterface& reachability;
    EntryCalls& entry_calls;
    MetricsRegistry& metrics;
    // A newer roster was read.
    std::function<void(const ReplicaRoster&)> on_roster;
  };

  BoardReplica(boost::asio::io_context& io, BoardReplicaSettings settings,
               Dependencies dependencies);
  ~BoardReplica();

  void Start();
  // Gives up leadership if this entry leads, and never claims it again.
  void Release(Milliseconds timeout, std::function<void()> done);

  CallerService& service();
  bool leading() const;
  // Neither leads nor is about to.
  bool following() const;
  bool has_configuration() const;
  // The newest roster on the board; nullopt before the first.
  const std::optional<ReplicaRoster>& roster() const;
  // Time since the last whole read of the board began; nullopt before the
  // first.
  std::optional<Milliseconds> StoreAge() const;
  ClusterView view() const;
  // Another entry has introduced itself.
  void OnIntroduction(const EntryIntroduction& introduction);
  void set_max_configuration_age(Milliseconds age);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_BOARD_REPLICA_H_
