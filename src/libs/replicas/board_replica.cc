// The streams that a replica follows, and the components that they feed.
#include "replicas/board_replica.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <set>
#include <utility>
#include <vector>

#include "coordination/cluster_coordinator.h"
#include "coordination/entry_registrar.h"
#include "coordination/job_board.h"
#include "coordination/record_tail.h"
#include "coordination/serving_configuration.h"
#include "coordination/stream_reachability.h"
#include "logging/events/coordination_events.h"
#include "reachability/reachability_poller.h"
#include "replicas/replica_manager.h"
#include "workload/closed_domains.h"

namespace thornplank {
namespace {

// Minimum time between two reads of a busy board by a follower. The first ones
// on the roster read more often, since they replace a leader that fails.
constexpr Milliseconds kFollowerReadInterval{500};
constexpr Milliseconds kSuccessorReadInterval{200};
constexpr size_t kSuccessors = 2;
constexpr Milliseconds kRefreshTimeout{500};
// A read of the configuration before a call is refused by it.
constexpr Milliseconds kConfirmTimeout{400};
// How long a read of an idle board waits for records. An idle board is read as
// often as a busy one, so that an unreachable store is detected before callers
// wait for it.
constexpr Milliseconds kBoardLongPollWait{400};
// Maximum retry delay of an unreadable stream, per replica. Up to 100 replicas
// retry every 0.15 s each.
constexpr std::chrono::microseconds kRetryDelayPerReplica{1500};
// Beyond the time for which the state of a job can be queried.
constexpr std::chrono::seconds kRetentionMargin{30};

}  // namespace

class BoardReplica::Impl {
 public:
  Impl(boost::asio::io_context& io, BoardReplicaSettings settings,
       Dependencies dependencies)
      : settings_(std::move(settings)),
        dependencies_(std::move(dependencies)),
        registrar_(io, dependencies_.store, board_, RegistrarSettings()),
        reachability_poller_(io, dependencies_.reachability, PollerSettings(),
                             [this] { return OtherReplicas(); }),
        board_tail_(io, dependencies_.store, BoardTailSettings(),
                    BoardTailHandlers()),
        configuration_tail_(io, dependencies_.store,
                            ConfigurationTailSettings(),
                            ConfigurationTailHandlers()),
        caller_service_(io, dependencies_.store, dependencies_.formats,
                        CallerSettings(), CallerDependencies(),
                        dependencies_.metrics),
        coordinator_(io, dependencies_.store, dependencies_.worker_calls,
                     dependencies_.formats, CoordinatorSettings(),
                     CoordinatorDependencies(), dependencies_.metrics),
        manager_(io, dependencies_.entry_calls, ManagerSettings(),
                 ManagerDependencies()) {}

  void Start() {
    board_tail_.Start();
    configuration_tail_.Start();
    coordinator_.Start();
    manager_.Start();
  }

  CallerService& service() { return caller_service_; }
  ClusterCoordinator& coordinator() { return coordinator_; }
  const JobBoard& board() const { return board_; }
  bool has_configuration() const { return configuration_.has_value(); }

  std::optional<Milliseconds> StoreAge() const {
    if (!board_tail_.has_snapshot()) return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(BootClock::now() -
                                                    board_tail_.as_of());
  }

  void OnIntroduction(const EntryIntroduction& introduction) {
    registrar_.OnIntroduction(introduction.entry.name,
                              ToRecord(introduction.entry, introduction.rank));
  }

 private:
  static EntryRecord ToRecord(const ReplicaAddress& entry, double rank) {
    EntryRecord record;
    record.address = entry.address;
    record.rank = rank;
    record.failure_domain = entry.failure_domain;
    return record;
  }

  EntryRegistrarSettings RegistrarSettings() const {
    EntryRegistrarSettings settings;
    settings.board = settings_.board;
    return settings;
  }

  ReachabilityPollerSettings PollerSettings() const {
    ReachabilityPollerSettings settings;
    settings.seed = settings_.seed;
    return settings;
  }

  // Addresses of the other entries that read the store.
  std::vector<std::string> OtherReplicas() const {
    std::vector<std::string> addresses;
    if (!board_.roster()) return addresses;
    for (const ReplicaAddress& replica : board_.roster()->replicas) {
      if (replica.name == settings_.entry.name) continue;
      addresses.push_back(replica.address);
    }
    return addresses;
  }

  RecordTailSettings BoardTailSettings() const {
    RecordTailSettings settings;
    settings.partition = settings_.board;
    settings.long_poll_wait = kBoardLongPollWait;
    settings.min_read_interval = kFollowerReadInterval;
    settings.seed = settings_.seed;
    return settings;
  }

  RecordTailSettings ConfigurationTailSettings() const {
    RecordTailSettings settings;
    settings.partition = dependencies_.formats.streams().configuration;
    settings.seed = settings_.seed + 1;
    return settings;
  }

  RecordTail::Handlers BoardTailHandlers() {
    RecordTail::Handlers handlers;
    handlers.on_record = [this](const KeyedRecord& record) {
      const BoardChange change = board_.Apply(record);
      coordinator_.OnBoardChange(change);
      if (change.kind == BoardChange::Kind::kRoster) OnRoster();
    };
    handlers.on_snapshot = [this](const std::set<std::string>& keys) {
      board_.OnSnapshot(keys);
      coordinator_.OnBoardSnapshot();
    };
    handlers.on_caught_up = [this] { OnBoardCaughtUp(); };
    handlers.on_failure = [this](const Error& error) {
      board_reachability_.OnReadFailed(error);
      reachability_poller_.OnReadFailed();
    };
    return handlers;
  }

  void OnBoardCaughtUp() {
    board_tail_.set_min_read_interval(ReadInterval());
    coordinator_.OnBoardCaughtUp(board_tail_.latency());
    if (board_reachability_.OnReadSucceeded(board_tail_.next_offset())) {
      RetryLostStreams();
    }
    reachability_poller_.OnReadSucceeded();
    if (registered_) return;
    registered_ = true;
    registrar_.Start(settings_.entry.name,
                     ToRecord(settings_.entry, settings_.rank));
  }

  Milliseconds ReadInterval() const {
    if (coordinator_.leading()) return Milliseconds(0);
    const auto position =
        board_.roster() ? board_.roster()->PositionOf(settings_.entry.name)
                        : std::nullopt;
    // The leader has position 0.
    const bool succeeds = position && *position <= kSuccessors;
    return succeeds ? kSuccessorReadInterval : kFollowerReadInterval;
  }

  // Followers claim leadership in the order of the roster.
  void OnRoster() {
    const ReplicaRoster& roster = *board_.roster();
    const auto position = roster.PositionOf(settings_.entry.name);
    // The leader has position 0; the entry after it comes first. An entry that
    // is not on the roster comes last.
    const size_t after_leader =
        std::max<size_t>(position.value_or(roster.replicas.size()), 1) - 1;
    coordinator_.set_place(static_cast<int>(after_leader));
    const auto max_delay = std::chrono::duration_cast<Milliseconds>(
        kRetryDelayPerReplica * roster.replicas.size());
    board_tail_.set_max_retry_delay(max_delay);
    configuration_tail_.set_max_retry_delay(max_delay);
    dependencies_.on_roster(roster);
  }

  RecordTail::Handlers ConfigurationTailHandlers() {
    RecordTail::Handlers handlers;
    handlers.on_record = [this](const KeyedRecord& record) {
      HandleOperatorRecord(record);
    };
    handlers.on_snapshot = [this](const std::set<std::string>& keys) {
      HandleOperatorSnapshot(keys);
    };
    handlers.on_caught_up = [this] {
      if (configuration_reachability_.OnReadSucceeded(
              configuration_tail_.next_offset())) {
        RetryLostStreams();
      }
    };
    handlers.on_failure = [this](const Error& error) {
      configuration_reachability_.OnReadFailed(error);
    };
    return handlers;
  }

  // The store answers again. Reads each stream that is still lost at once,
  // since callers are refused until both can be read.
  void RetryLostStreams() {
    board_tail_.RetryIfLost(kRefreshTimeout);
    configuration_tail_.RetryIfLost(kRefreshTimeout);
    coordinator_.OnStoreRecovered();
  }

  void HandleOperatorRecord(const KeyedRecord& record) {
    const std::string domain = dependencies_.formats.ClosedDomainOf(record.key);
    if (domain.empty()) return HandleConfigurationRecord(record);
    const bool closed = record.value.has_value();
    if (!closed_domains_.Apply(domain, closed, record.offset)) return;
    LogEvent(closed ? events::kDomainClosed : events::kDomainOpened,
             {{"failure_domain", domain}, {"offset", record.offset}});
    coordinator_.OnClosedDomainsChanged();
  }

  // The operators' stream was read again from its start; keys that are not in
  // `keys` no longer exist.
  void HandleOperatorSnapshot(const std::set<std::string>& keys) {
    std::set<std::string> closed;
    for (const std::string& key : keys) {
      const std::string domain = dependencies_.formats.ClosedDomainOf(key);
      if (!domain.empty()) closed.insert(domain);
    }
    const int64_t next = configuration_tail_.next_offset();
    for (const std::string& domain : closed_domains_.OnSnapshot(closed, next)) {
      LogEvent(events::kDomainOpened,
               {{"failure_domain", domain}, {"offset", next}});
    }
    coordinator_.OnClosedDomainsChanged();
  }

  // Names of accounts whose guarantee is negative; it counts as 0.
  static Json NegativeGuarantees(const ServingConfiguration& configuration) {
    Json names = Json::array();
    for (const AccountConfiguration& account : configuration.accounts) {
      if (account.guaranteed_accelerators < 0) names.push_back(account.name);
    }
    return names;
  }

  // Ignores versions that are not newer than the one in force.
  void HandleConfigurationRecord(const KeyedRecord& record) {
    const Formats& formats = dependencies_.formats;
    if (record.key != formats.streams().configuration_key) return;
    if (!record.value) return;
    Error error;
    std::optional<ServingConfiguration> read =
        formats.ReadConfiguration(*record.value, &error);
    if (!read) {
      return LogEvent(events::kConfigurationUnreadable, error,
                      {{"offset", record.offset}});
    }
    if (configuration_ && read->version <= configuration_->version) return;
    LogEvent(events::kConfigurationInForce,
             {{"version", read->version},
              {"offset", record.offset},
              {"queues", read->queues.size()},
              {"accounts", read->accounts.size()},
              {"negative_guarantees", NegativeGuarantees(*read)}});
    configuration_ = std::move(read);
  }

  CallerServiceSettings CallerSettings() const {
    CallerServiceSettings settings;
    settings.board = settings_.board;
    settings.store_limits = settings_.store_limits;
    settings.max_configuration_age = settings_.max_configuration_age;
    settings.max_unconfirmed_age = settings_.max_unconfirmed_age;
    return settings;
  }

  CallerService::Dependencies CallerDependencies() {
    CallerService::Dependencies dependencies;
    dependencies.configuration = [this]() -> const ServingConfiguration* {
      return configuration_ ? &*configuration_ : nullptr;
    };
    dependencies.configuration_as_of = [this] {
      return configuration_tail_.as_of();
    };
    dependencies.refresh_configuration =
        [this](std::function<void(bool)> done) {
          if (configuration_reachability_.lost()) return done(false);
          configuration_tail_.CatchUp(kConfirmTimeout, std::move(done));
        };
    dependencies.board = &board_;
    dependencies.board_tail = &board_tail_;
    dependencies.served_elsewhere = [this] {
      return reachability_poller_.ReachableElsewhere();
    };
    return dependencies;
  }

  ClusterCoordinatorSettings CoordinatorSettings() const {
    ClusterCoordinatorSettings settings;
    settings.holder = settings_.holder;
    settings.board = settings_.board;
    settings.store_limits = settings_.store_limits;
    settings.job_retention = settings_.state_kept + kRetentionMargin;
    settings.bounds = settings_.bounds;
    settings.features = settings_.features;
    return settings;
  }

  ClusterCoordinator::Dependencies CoordinatorDependencies() {
    ClusterCoordinator::Dependencies dependencies;
    dependencies.board = &board_;
    dependencies.configuration = [this]() -> const ServingConfiguration& {
      static const ServingConfiguration kNone;
      return configuration_ ? *configuration_ : kNone;
    };
    dependencies.closed_domains = [this]() -> const std::set<std::string>& {
      return closed_domains_.closed();
    };
    dependencies.board_next_offset = [this] {
      return board_tail_.next_offset();
    };
    dependencies.board_as_of = [this] { return board_tail_.as_of(); };
    dependencies.expect_board = [this](int64_t end) {
      board_tail_.Expect(end);
    };
    dependencies.refresh_board = [this](Milliseconds timeout,
                                        std::function<void(bool)> done) {
      board_tail_.CatchUp(timeout, std::move(done));
    };
    dependencies.advisor = dependencies_.advisor;
    return dependencies;
  }

  ReplicaManagerSettings ManagerSettings() const {
    ReplicaManagerSettings settings;
    settings.own = settings_.entry;
    settings.appointer.min_replicas = settings_.min_replicas;
    return settings;
  }

  ReplicaManager::Dependencies ManagerDependencies() {
    ReplicaManager::Dependencies dependencies;
    dependencies.board = &board_;
    dependencies.leading_epoch = [this] {
      return coordinator_.leading() ? coordinator_.epoch() : int64_t{0};
    };
    dependencies.write = [this](KeyedRecord record) {
      coordinator_.WriteAsLeader(std::move(record));
    };
    return dependencies;
  }

  const BoardReplicaSettings settings_;
  const Dependencies dependencies_;
  JobBoard board_;
  std::optional<ServingConfiguration> configuration_;
  ClosedDomains closed_domains_;
  EntryRegistrar registrar_;
  bool registered_ = false;
  ReachabilityPoller reachability_poller_;
  StreamReachability board_reachability_{"board"};
  StreamReachability configuration_reachability_{"configuration"};
  RecordTail board_tail_;
  RecordTail configuration_tail_;
  CallerService caller_service_;
  ClusterCoordinator coordinator_;
  ReplicaManager manager_;
};

BoardReplica::BoardReplica(boost::asio::io_context& io,
                           BoardReplicaSettings settings,
                           Dependencies dependencies)
    : impl_(std::make_unique<Impl>(io, std::move(settings),
                                   std::move(dependencies))) {}
BoardReplica::~BoardReplica() = default;
void BoardReplica::Start() { impl_->Start(); }
void BoardReplica::Release(Milliseconds timeout, std::function<void()> done) {
  impl_->coordinator().Release(timeout, std::move(done));
}
CallerService& BoardReplica::service() { return impl_->service(); }
bool BoardReplica::leading() const { return impl_->coordinator().leading(); }
bool BoardReplica::following() const {
  return impl_->coordinator().following();
}
bool BoardReplica::has_configuration() const {
  return impl_->has_configuration();
}
const std::optional<ReplicaRoster>& BoardReplica::roster() const {
  return impl_->board().roster();
}
std::optional<Milliseconds> BoardReplica::StoreAge() const {
  return impl_->StoreAge();
}
ClusterView BoardReplica::view() const {
  return {impl_->board(), impl_->coordinator()};
}
void BoardReplica::OnIntroduction(const EntryIntroduction& introduction) {
  impl_->OnIntroduction(introduction);
}
void BoardReplica::set_max_configuration_age(Milliseconds age) {
  impl_->service().set_max_configuration_age(age);
}

}  // namespace thornplank
