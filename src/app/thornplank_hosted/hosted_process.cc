// Constructs the components of a hosted entry, defines their order of start and
// shutdown, and switches between a replica and a gateway.
#include "hosted_process.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "coordination/cluster_gauges.h"
#include "coordination/metered_record_store.h"
#include "coordination/metered_worker_calls.h"
#include "logging/events/coordination_events.h"
#include "logging/events/process_events.h"
#include "metrics/log_metrics.h"
#include "metrics/metrics_registry.h"
#include "metrics/process_metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/advice_client.h"
#include "platform/executor_client.h"
#include "platform/metadata_store.h"
#include "platform/wire_formats.h"
#include "reachability/entry_client.h"
#include "replicas/board_replica.h"
#include "replicas/call_forwarder.h"
#include "replicas/entry_role.h"
#include "replicas/entry_routes.h"
#include "replicas/http_entry_calls.h"
#include "replicas/replica_finder.h"
#include "replicas/replica_selector.h"

namespace thornplank {
namespace {

// The stream of thornplank in the store. Its partition is the board, which all
// replicas read; the progress of tasks in it concerns the leader only.
constexpr char kJobStream[] = "keyed.thornplank";
constexpr int kBoardPartition = 0;
// Calls with an API key are refused once the configuration is older than the
// revocation bound less this margin, the time that a call may wait for its
// answer from the store. The same for calls that the configuration refuses, and
// the bound on its changes.
constexpr Milliseconds kConfigurationMargin{800};
// The platform stops routing to an entry after two failed readiness probes, one
// second apart. Until then new connections still arrive and are served.
constexpr Milliseconds kStopListeningDelay{2300};
// For appending the record that releases leadership.
constexpr Milliseconds kReleaseTimeout{700};
// Between two checks whether this entry should be a replica.
constexpr Milliseconds kModeCheckInterval{100};
// A replica that has become a gateway still answers the calls that it has.
constexpr Milliseconds kRetirementDelay{5000};
// Weight of the instance's size in its leadership rank; the rest is random.
constexpr double kSizeWeight = 0.9;
// Descriptors for each idle connection that is kept. The others are for
// connections in use: a leader waits for reports of all workers that have runs.
constexpr size_t kDescriptorsPerIdle = 8;
// Cores that suffice to lead thousands of workers; more don't improve the rank.
constexpr double kSufficientCores = 1;

// Differs between entries, so that their random choices differ too.
uint32_t SeedFromName(const HostedSettings& settings) {
  return static_cast<uint32_t>(std::hash<std::string>()(settings.name));
}

// From 0 to 1, different for each entry.
double ChanceFromName(const HostedSettings& settings) {
  std::mt19937 random(SeedFromName(settings));
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// From 0 for the entry that should lead first to 1.
double LeadershipRank(const HostedSettings& settings) {
  const double size =
      std::min(settings.processor_share / kSufficientCores, 1.0);
  return kSizeWeight * (1 - size) +
         (1 - kSizeWeight) * ChanceFromName(settings);
}

// Maximum age of the configuration for a call with an API key.
Milliseconds MaxConfigurationAge(const HostedSettings& settings) {
  return settings.revocation_bound - kConfigurationMargin;
}

// "instance/incarnation", unique to this process.
std::string MakeHolder(const HostedSettings& settings) {
  const int64_t started = ToUnixMilliseconds(std::chrono::system_clock::now());
  return settings.name + "/" + std::to_string(started) + "-" +
         std::to_string(::getpid());
}

WorkerBounds ToWorkerBounds(const HostedSettings& settings) {
  WorkerBounds bounds;
  bounds.longest_lease = settings.longest_lease;
  bounds.stop_bound = settings.stop_bound;
  bounds.gang_patience = settings.gang_patience;
  bounds.cancel_bound = settings.cancel_bound;
  bounds.reclaim_bound = settings.reclaim_bound;
  bounds.restore_time = settings.restore_time;
  bounds.heartbeat = settings.worker_heartbeat;
  bounds.resize_tolerance = settings.resize_tolerance;
  bounds.far_slowdown = settings.far_slowdown;
  return bounds;
}

StoreLimits ToStoreLimits(const HostedSettings& settings) {
  StoreLimits limits;
  limits.record_bytes = static_cast<size_t>(settings.store_record_bytes);
  limits.append_bytes = static_cast<size_t>(settings.store_append_bytes);
  return limits;
}

SchedulingFeatures ToSchedulingFeatures(const HostedSettings& settings) {
  SchedulingFeatures features;
  features.held_capacity = settings.held_capacity;
  features.account_shares = settings.account_shares;
  features.worker_health = settings.worker_health;
  features.compact_gangs = settings.compact_gangs;
  return features;
}

ReplicaAddress ThisEntry(const HostedSettings& settings) {
  return {settings.name, settings.listen_entries, settings.failure_domain};
}

HttpClientLimits ClientLimits(const HostedSettings& settings) {
  HttpClientLimits limits;
  limits.max_idle_connections =
      static_cast<size_t>(settings.max_descriptors) / kDescriptorsPerIdle;
  return limits;
}

HttpServerLimits CallerServerLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 1024 * 1024;
  limits.max_connections = 2048;
  limits.max_buffered_bytes = 16 * 1024 * 1024;
  return limits;
}

}  // namespace

class HostedProcess::Impl {
 public:
  Impl(boost::asio::io_context& io, HostedSettings settings)
      : io_(io),
        settings_(std::move(settings)),
        holder_(MakeHolder(settings_)),
        client_(io, ClientLimits(settings_)),
        store_client_(client_, settings_.store_address),
        store_(store_client_, metrics_),
        executor_client_(client_),
        worker_calls_(executor_client_, metrics_),
        advice_client_(client_, settings_.advisor_address),
        entry_client_(client_),
        entry_calls_(client_),
        role_(RoleSettings()),
        selector_({settings_.name, settings_.failure_domain}),
        finder_(io, store_, entry_calls_, role_, selector_, FinderSettings(),
                FinderHandlers()),
        forwarder_(io, entry_calls_, entry_client_, formats_, selector_,
                   CallForwarderSettings(), ForwarderHandlers(), metrics_),
        routes_(RouteDependencies()),
        caller_server_(
            io, CallerServerLimits(),
            [this](HttpRequest request, HttpServer::Responder respond) {
              HandleCall(std::move(request), std::move(respond));
            }),
        readiness_server_(
            io, HttpServerLimits(),
            [this](const HttpRequest&, const HttpServer::Responder& respond) {
              respond(HandleReadinessRequest());
            }),
        entry_server_(
            io, EntryServerLimits(),
            [this](HttpRequest request, const HttpServer::Responder& respond) {
              routes_.Handle(std::move(request), respond);
            }),
        metrics_server_(
            io, HttpServerLimits(),
            [this](const HttpRequest&, const HttpServer::Responder& respond) {
              HttpResponse response;
              response.headers.Set("Content-Type", "text/plain; version=0.0.4");
              response.body = metrics_.ToText();
              respond(std::move(response));
            }),
        mode_timer_(io),
        retirement_timer_(io),
        stop_timer_(io) {}

  bool Start(Error* error) {
    if (!caller_server_.Listen(settings_.listen_callers, error)) return false;
    if (!readiness_server_.Listen(settings_.listen_readiness, error)) {
      return false;
    }
    if (!settings_.listen_metrics.empty() &&
        !metrics_server_.Listen(settings_.listen_metrics, error)) {
      return false;
    }
    if (!settings_.listen_entries.empty() &&
        !entry_server_.Listen(settings_.listen_entries, error)) {
      return false;
    }
    AddMetrics();
    finder_.Start();
    CheckMode();
    LogEvent(events::kProcessStarted,
             {{"callers", settings_.listen_callers},
              {"failure_domain", settings_.failure_domain}});
    return true;
  }

  void Stop(std::function<void()> done) {
    if (std::exchange(stopping_, true)) return;
    const bool leading = replica_ != nullptr && replica_->leading();
    LogEvent(events::kShutdownBegun,
             {{"in_flight", caller_server_.requests_in_flight()},
              {"leading", leading}});
    if (replica_ != nullptr) replica_->Release(kReleaseTimeout, [] {});
    stop_timer_.expires_after(
        std::min(kStopListeningDelay, settings_.stop_grace / 2));
    stop_timer_.async_wait(
        [this, done = std::move(done)](const boost::system::error_code&) {
          caller_server_.Drain([this, done] {
            entry_server_.Drain([done] {
              LogEvent(events::kShutdownDone, {});
              done();
            });
          });
        });
  }

  void Reload(const HostedSettings& settings) {
    const HostedSettingsChange change = Compare(settings_, settings);
    LogEvent(events::kSettingsReloaded,
             {{"at_once", change.at_once}, {"at_restart", change.at_restart}});
    SetLogSeverity(settings.log_level);
    store_client_.set_address(settings.store_address);
    settings_.log_level = settings.log_level;
    settings_.store_address = settings.store_address;
    settings_.revocation_bound = settings.revocation_bound;
    settings_.stop_grace = settings.stop_grace;
    if (replica_ == nullptr) return;
    replica_->set_max_configuration_age(MaxConfigurationAge(settings_));
  }

 private:
  Partition Board() const { return {kJobStream, kBoardPartition}; }

  static HttpServerLimits EntryServerLimits() {
    HttpServerLimits limits = CallerServerLimits();
    limits.max_connections = 4096;
    return limits;
  }

  EntryRoleSettings RoleSettings() const {
    EntryRoleSettings settings;
    settings.name = settings_.name;
    settings.rank = LeadershipRank(settings_);
    settings.chance = ChanceFromName(settings_);
    return settings;
  }

  ReplicaFinderSettings FinderSettings() const {
    ReplicaFinderSettings settings;
    settings.board = Board();
    settings.entry = ThisEntry(settings_);
    settings.rank = LeadershipRank(settings_);
    settings.seed = SeedFromName(settings_) + 2;
    return settings;
  }

  ReplicaFinder::Handlers FinderHandlers() {
    ReplicaFinder::Handlers handlers;
    handlers.on_roster = [this](const ReplicaRoster& roster) {
      OnRoster(roster);
    };
    handlers.on_no_roster = [this] { role_.OnNoRoster(Now()); };
    handlers.on_answered = [this] { OnReplicaAnswered(); };
    handlers.on_silent = [this] { OnReplicasSilent(); };
    return handlers;
  }

  CallForwarder::Handlers ForwarderHandlers() {
    CallForwarder::Handlers handlers;
    handlers.on_answered = [this] { OnReplicaAnswered(); };
    // The finder then asks all replicas.
    handlers.on_silent = [this] { finder_.Hurry(); };
    handlers.is_isolated = [this] {
      return role_.replicas_silent() && finder_.store_unreachable();
    };
    return handlers;
  }

  EntryRoutes::Dependencies RouteDependencies() {
    EntryRoutes::Dependencies dependencies;
    dependencies.service = [this]() -> CallerService* {
      return replica_ == nullptr || stopping_ ? nullptr : &replica_->service();
    };
    dependencies.on_introduction =
        [this](const EntryIntroduction& introduction) {
          replica_->OnIntroduction(introduction);
        };
    dependencies.on_roster = [this](const ReplicaRoster& roster) {
      OnRoster(roster);
    };
    dependencies.roster = [this]() -> const std::optional<ReplicaRoster>& {
      return role_.roster();
    };
    dependencies.store_age = [this]() -> std::optional<Milliseconds> {
      return replica_ == nullptr ? std::nullopt : replica_->StoreAge();
    };
    return dependencies;
  }

  static Time Now() { return std::chrono::steady_clock::now(); }

  void OnRoster(const ReplicaRoster& roster) {
    if (!role_.OnRoster(roster, Now())) return;
    selector_.SetReplicas(roster);
    LogEvent(events::kRosterSeen, {{"epoch", roster.epoch},
                                   {"number", roster.number},
                                   {"entries", roster.entries},
                                   {"replicas", roster.replicas.size()},
                                   {"listed", role_.listed()}});
  }

  void OnReplicaAnswered() {
    if (role_.replicas_silent()) LogEvent(events::kReplicasBack, {});
    role_.OnReplicaAnswered(Now());
  }

  void OnReplicasSilent() {
    if (!role_.replicas_silent()) {
      LogEvent(events::kReplicasSilent,
               {{"store_unreachable", finder_.store_unreachable()}});
    }
    role_.OnReplicasSilent(Now());
  }

  void CheckMode() {
    const EntryMode mode = role_.Decide(Now());
    if (mode != mode_) {
      LogEvent(events::kModeChanged, {{"from", std::string(ToText(mode_))},
                                      {"to", std::string(ToText(mode))},
                                      {"listed", role_.listed()}});
      mode_ = mode;
    }
    if (mode == EntryMode::kReplica) StartReplica();
    if (mode == EntryMode::kGateway) RetireReplica();
    mode_timer_.expires_after(kModeCheckInterval);
    mode_timer_.async_wait([this](const boost::system::error_code& code) {
      if (!code) CheckMode();
    });
  }

  void StartReplica() {
    if (replica_ != nullptr || stopping_) return;
    replica_ = std::make_unique<BoardReplica>(
        io_, ReplicaSettings(),
        BoardReplica::Dependencies{
            store_, worker_calls_, formats_,
            settings_.advisor_address.empty() ? nullptr : &advice_client_,
            entry_client_, entry_calls_, metrics_,
            [this](const ReplicaRoster& roster) { OnRoster(roster); }});
    replica_->Start();
  }

  // The leader keeps its replica until another entry leads.
  void RetireReplica() {
    if (replica_ == nullptr || !replica_->following() || stopping_) return;
    replica_->Release(kReleaseTimeout, [] {});
    retired_replica_ = std::move(replica_);
    retirement_timer_.expires_after(kRetirementDelay);
    retirement_timer_.async_wait([this](const boost::system::error_code& code) {
      if (!code) retired_replica_.reset();
    });
  }

  BoardReplicaSettings ReplicaSettings() const {
    BoardReplicaSettings settings;
    settings.entry = ThisEntry(settings_);
    settings.holder = holder_;
    settings.board = Board();
    settings.rank = LeadershipRank(settings_);
    settings.seed = SeedFromName(settings_);
    settings.max_configuration_age = MaxConfigurationAge(settings_);
    settings.max_unconfirmed_age =
        settings_.configuration_bound - kConfigurationMargin;
    settings.state_kept = settings_.state_kept;
    settings.store_limits = ToStoreLimits(settings_);
    settings.bounds = ToWorkerBounds(settings_);
    settings.features = ToSchedulingFeatures(settings_);
    settings.min_replicas = static_cast<size_t>(settings_.min_replicas);
    return settings;
  }

  // A replica that is not ready forwards as a gateway does, unless it knows no
  // other replica.
  void HandleCall(HttpRequest request, HttpServer::Responder respond) {
    const bool serves = replica_ != nullptr && replica_->service().ready();
    const bool forwards = replica_ == nullptr || (!serves && CanForward());
    if (forwards) {
      return forwarder_.Forward(std::move(request), std::move(respond));
    }
    replica_->service().Handle(std::move(request), std::move(respond));
  }

  bool CanForward() const {
    return mode_ == EntryMode::kGateway && !selector_.empty();
  }

  bool IsReady() const {
    if (stopping_) return false;
    if (replica_ != nullptr && replica_->service().ready()) return true;
    return CanForward() && !role_.replicas_silent() && role_.answered();
  }

  HttpResponse HandleReadinessRequest() {
    const bool ready = IsReady();
    if (ready != was_ready_) {
      was_ready_ = ready;
      const bool configured =
          replica_ != nullptr && replica_->has_configuration();
      LogEvent(ready ? events::kProcessReady : events::kProcessNotReady,
               {{"stopping", stopping_},
                {"mode", std::string(ToText(mode_))},
                {"configured", configured}});
    }
    HttpResponse response;
    response.status = ready ? 200 : 503;
    return response;
  }

  void AddMetrics() {
    AddProcessMetrics(metrics_);
    AddLogMetrics(metrics_);
    AddClusterGauges(
        [this]() -> std::optional<ClusterView> {
          if (replica_ == nullptr) return std::nullopt;
          return replica_->view();
        },
        metrics_);
    metrics_.AddGauge("thornplank_is_replica",
                      "1 while this entry follows the board.", {},
                      [this] { return replica_ == nullptr ? 0.0 : 1.0; });
  }

  boost::asio::io_context& io_;
  HostedSettings settings_;
  const std::string holder_;
  MetricsRegistry metrics_;
  HttpClient client_;
  MetadataStore store_client_;
  MeteredRecordStore store_;
  ExecutorClient executor_client_;
  MeteredWorkerCalls worker_calls_;
  AdviceClient advice_client_;
  const WireFormats formats_;
  EntryClient entry_client_;
  HttpEntryCalls entry_calls_;
  EntryRole role_;
  EntryMode mode_ = EntryMode::kUndecided;
  ReplicaSelector selector_;
  ReplicaFinder finder_;
  CallForwarder forwarder_;
  EntryRoutes routes_;
  // Set while this entry is a replica.
  std::unique_ptr<BoardReplica> replica_;
  // Answers its last calls.
  std::unique_ptr<BoardReplica> retired_replica_;
  HttpServer caller_server_;
  HttpServer readiness_server_;
  HttpServer entry_server_;
  HttpServer metrics_server_;
  boost::asio::steady_timer mode_timer_;
  boost::asio::steady_timer retirement_timer_;
  boost::asio::steady_timer stop_timer_;
  bool stopping_ = false;
  bool was_ready_ = false;
};

HostedProcess::HostedProcess(boost::asio::io_context& io,
                             HostedSettings settings)
    : impl_(std::make_unique<Impl>(io, std::move(settings))) {}
HostedProcess::~HostedProcess() = default;
bool HostedProcess::Start(Error* error) { return impl_->Start(error); }
void HostedProcess::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}
void HostedProcess::Reload(const HostedSettings& settings) {
  impl_->Reload(settings);
}

}  // namespace thornplank
