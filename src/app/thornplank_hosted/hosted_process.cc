// Constructs the components of a hosted entry and defines their order of start
// and shutdown.
#include "hosted_process.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "coordination/caller_service.h"
#include "coordination/cluster_coordinator.h"
#include "coordination/cluster_gauges.h"
#include "coordination/entry_registration.h"
#include "coordination/job_board.h"
#include "coordination/metered_record_store.h"
#include "coordination/metered_worker_calls.h"
#include "coordination/record_tail.h"
#include "coordination/serving_configuration.h"
#include "coordination/stream_reachability.h"
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
#include "reachability/reachability_poller.h"
#include "reachability/store_age_route.h"
#include "workload/closed_domains.h"

namespace thornplank {
namespace {

// The stream of thornplank in the store. Its partition is the board, which all
// entries read; the progress of tasks in it concerns the leader only.
constexpr char kJobStream[] = "keyed.thornplank";
constexpr int kBoardPartition = 0;
// Minimum time between two reads of a busy board by a follower.
constexpr Milliseconds kFollowerReadInterval{500};
// Calls with an API key are refused once the configuration is older than the
// revocation bound less this margin, the time that a call may wait for its
// answer from the store.
constexpr Milliseconds kRevocationMargin{800};
// The platform stops routing to an entry after two failed readiness probes, one
// second apart. Until then new connections still arrive and are served.
constexpr Milliseconds kStopListeningDelay{2300};
constexpr Milliseconds kRefreshTimeout{500};
// How long a read of an idle board waits for records. An idle board is read as
// often as a busy one, so that an unreachable store is detected before callers
// wait for it.
constexpr Milliseconds kBoardLongPollWait{400};
// For appending the record that releases leadership.
constexpr Milliseconds kReleaseTimeout{700};
// Maximum retry delay of an unreadable stream, per entry on the board. Limits
// the retries of all entries together to about 670 a second; up to 100 entries
// retry every 0.15 s each.
constexpr std::chrono::microseconds kRetryDelayPerEntry{1500};
// Weight of the instance's size in its leadership rank; the rest is random.
constexpr double kSizeWeight = 0.9;
// Cores that suffice to lead 350 workers; more don't improve the rank. A leader
// with 0.12 cores was late with half of the urgent jobs that a leader with 0.5
// cores started in time.
constexpr double kSufficientCores = 0.25;

// Differs between entries, so that their random choices differ too.
uint32_t SeedFromName(const HostedSettings& settings) {
  return static_cast<uint32_t>(std::hash<std::string>()(settings.name));
}

// From 0 for the entry that should lead first to 1.
double LeadershipRank(const HostedSettings& settings) {
  const double size =
      std::min(settings.processor_share / kSufficientCores, 1.0);
  std::mt19937 random(SeedFromName(settings));
  const double chance = std::uniform_real_distribution<double>(0, 1)(random);
  return kSizeWeight * (1 - size) + (1 - kSizeWeight) * chance;
}

// Maximum age of the configuration for a call with an API key.
Milliseconds MaxConfigurationAge(const HostedSettings& settings) {
  return settings.revocation_bound - kRevocationMargin;
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
  bounds.far_slowdown = settings.far_slowdown;
  return bounds;
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
      : settings_(std::move(settings)),
        client_(io, HttpClientLimits()),
        store_client_(client_, settings_.store_address),
        store_(store_client_, metrics_),
        executor_client_(client_),
        worker_calls_(executor_client_, metrics_),
        advice_client_(client_, settings_.advisor_address),
        entry_client_(client_),
        registration_(io, store_, board_, RegistrationSettings()),
        reachability_poller_(io, entry_client_, PollerSettings(),
                             [this] { return registration_.PeerAddresses(); }),
        board_tail_(io, store_, BoardTailSettings(), BoardTailHandlers()),
        configuration_tail_(io, store_, ConfigurationTailSettings(),
                            ConfigurationTailHandlers()),
        caller_service_(io, store_, formats_, CallerSettings(),
                        CallerDependencies(), metrics_),
        coordinator_(io, store_, worker_calls_, formats_, CoordinatorSettings(),
                     CoordinatorDependencies(), metrics_),
        caller_server_(
            io, CallerServerLimits(),
            [this](HttpRequest request, HttpServer::Responder respond) {
              caller_service_.Handle(std::move(request), std::move(respond));
            }),
        readiness_server_(io, HttpServerLimits(),
                          [this](const HttpRequest& request,
                                 const HttpServer::Responder& respond) {
                            respond(HandleReadinessRequest(request));
                          }),
        entry_server_(io, HttpServerLimits(),
                      [this](const HttpRequest& request,
                             const HttpServer::Responder& respond) {
                        respond(HandleStoreAgeRequest(request, StoreAge()));
                      }),
        metrics_server_(
            io, HttpServerLimits(),
            [this](const HttpRequest&, const HttpServer::Responder& respond) {
              HttpResponse response;
              response.headers.Set("Content-Type", "text/plain; version=0.0.4");
              response.body = metrics_.ToText();
              respond(std::move(response));
            }),
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
    board_tail_.Start();
    configuration_tail_.Start();
    coordinator_.Start();
    LogEvent(events::kProcessStarted,
             {{"callers", settings_.listen_callers},
              {"failure_domain", settings_.failure_domain}});
    return true;
  }

  void Stop(std::function<void()> done) {
    if (std::exchange(stopping_, true)) return;
    LogEvent(events::kShutdownBegun,
             {{"in_flight", caller_server_.requests_in_flight()},
              {"leading", coordinator_.leading()}});
    coordinator_.Release(kReleaseTimeout, [] {});
    stop_timer_.expires_after(
        std::min(kStopListeningDelay, settings_.stop_grace / 2));
    stop_timer_.async_wait(
        [this, done = std::move(done)](const boost::system::error_code&) {
          caller_server_.Drain([done] {
            LogEvent(events::kShutdownDone, {});
            done();
          });
        });
  }

  void Reload(const HostedSettings& settings) {
    const HostedSettingsChange change = Compare(settings_, settings);
    LogEvent(events::kSettingsReloaded,
             {{"at_once", change.at_once}, {"at_restart", change.at_restart}});
    SetLogSeverity(settings.log_level);
    store_client_.set_address(settings.store_address);
    caller_service_.set_max_configuration_age(MaxConfigurationAge(settings));
    settings_.log_level = settings.log_level;
    settings_.store_address = settings.store_address;
    settings_.revocation_bound = settings.revocation_bound;
    settings_.stop_grace = settings.stop_grace;
  }

 private:
  RecordTailSettings BoardTailSettings() const {
    RecordTailSettings settings;
    settings.partition = {kJobStream, kBoardPartition};
    settings.long_poll_wait = kBoardLongPollWait;
    settings.min_read_interval = kFollowerReadInterval;
    settings.seed = SeedFromName(settings_);
    return settings;
  }

  EntryRegistrationSettings RegistrationSettings() const {
    EntryRegistrationSettings settings;
    settings.board = {kJobStream, kBoardPartition};
    settings.instance = settings_.name;
    settings.address = settings_.listen_entries;
    settings.seed = SeedFromName(settings_);
    return settings;
  }

  ReachabilityPollerSettings PollerSettings() const {
    ReachabilityPollerSettings settings;
    settings.seed = SeedFromName(settings_);
    return settings;
  }

  // Time since the last complete read of the board began; nullopt before the
  // first.
  std::optional<Milliseconds> StoreAge() const {
    if (!board_tail_.has_snapshot()) return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(BootClock::now() -
                                                    board_tail_.as_of());
  }

  RecordTailSettings ConfigurationTailSettings() const {
    RecordTailSettings settings;
    settings.partition = formats_.streams().configuration;
    settings.seed = SeedFromName(settings_) + 1;
    return settings;
  }

  RecordTail::Handlers BoardTailHandlers() {
    RecordTail::Handlers handlers;
    handlers.on_record = [this](const KeyedRecord& record) {
      const BoardChange change = board_.Apply(record);
      coordinator_.OnBoardChange(change);
    };
    handlers.on_snapshot = [](const std::set<std::string>&) {};
    handlers.on_caught_up = [this] {
      board_tail_.set_min_read_interval(
          coordinator_.leading() ? Milliseconds(0) : kFollowerReadInterval);
      UpdateRetryDelays();
      coordinator_.OnBoardCaughtUp(board_tail_.latency());
      if (board_reachability_.OnReadSucceeded(board_tail_.next_offset())) {
        RetryLostStreams();
      }
      reachability_poller_.OnReadSucceeded();
      registration_.OnBoardCaughtUp();
    };
    handlers.on_failure = [this](const Error& error) {
      board_reachability_.OnReadFailed(error);
      reachability_poller_.OnReadFailed();
    };
    return handlers;
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

  // Adapts the retry rate of each entry to the number of entries on the board.
  void UpdateRetryDelays() {
    const auto max_delay = std::chrono::duration_cast<Milliseconds>(
        kRetryDelayPerEntry * board_.entries().size());
    board_tail_.set_max_retry_delay(max_delay);
    configuration_tail_.set_max_retry_delay(max_delay);
  }

  // The store answers again. Reads each stream that is still lost at once,
  // since callers are refused until both can be read.
  void RetryLostStreams() {
    board_tail_.RetryIfLost(kRefreshTimeout);
    configuration_tail_.RetryIfLost(kRefreshTimeout);
    coordinator_.OnStoreRecovered();
  }

  void HandleOperatorRecord(const KeyedRecord& record) {
    const std::string domain = formats_.ClosedDomainOf(record.key);
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
      const std::string domain = formats_.ClosedDomainOf(key);
      if (!domain.empty()) closed.insert(domain);
    }
    const int64_t next = configuration_tail_.next_offset();
    for (const std::string& domain : closed_domains_.OnSnapshot(closed, next)) {
      LogEvent(events::kDomainOpened,
               {{"failure_domain", domain}, {"offset", next}});
    }
    coordinator_.OnClosedDomainsChanged();
  }

  // Ignores versions that are not newer than the one in force.
  void HandleConfigurationRecord(const KeyedRecord& record) {
    if (record.key != formats_.streams().configuration_key) return;
    if (!record.value) return;
    Error error;
    std::optional<ServingConfiguration> read =
        formats_.ReadConfiguration(*record.value, &error);
    if (!read) {
      return LogEvent(events::kConfigurationUnreadable, error,
                      {{"offset", record.offset}});
    }
    if (configuration_ && read->version <= configuration_->version) return;
    LogEvent(events::kConfigurationInForce,
             {{"version", read->version},
              {"offset", record.offset},
              {"queues", read->queues.size()},
              {"accounts", read->accounts.size()}});
    configuration_ = std::move(read);
  }

  CallerServiceSettings CallerSettings() const {
    CallerServiceSettings settings;
    settings.board = {kJobStream, kBoardPartition};
    settings.max_configuration_age = MaxConfigurationAge(settings_);
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
    dependencies.board = &board_;
    dependencies.board_tail = &board_tail_;
    dependencies.served_elsewhere = [this] {
      return reachability_poller_.ReachableElsewhere();
    };
    return dependencies;
  }

  ClusterCoordinatorSettings CoordinatorSettings() const {
    ClusterCoordinatorSettings settings;
    settings.holder = MakeHolder(settings_);
    settings.rank = LeadershipRank(settings_);
    settings.board = {kJobStream, kBoardPartition};
    settings.job_retention = settings_.state_kept + std::chrono::seconds(30);
    settings.bounds = ToWorkerBounds(settings_);
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
    dependencies.refresh_board = [this](std::function<void(bool)> done) {
      board_tail_.CatchUp(kRefreshTimeout, std::move(done));
    };
    const bool advised = !settings_.advisor_address.empty();
    if (advised) dependencies.advisor = &advice_client_;
    return dependencies;
  }

  HttpResponse HandleReadinessRequest(const HttpRequest&) {
    const bool ready = caller_service_.ready() && !stopping_;
    if (ready != was_ready_) {
      was_ready_ = ready;
      LogEvent(ready ? events::kProcessReady : events::kProcessNotReady,
               {{"stopping", stopping_},
                {"configured", configuration_.has_value()}});
    }
    HttpResponse response;
    response.status = ready ? 200 : 503;
    return response;
  }

  void AddMetrics() {
    AddProcessMetrics(metrics_);
    AddLogMetrics(metrics_);
    AddClusterGauges(board_, coordinator_, metrics_);
  }

  HostedSettings settings_;
  MetricsRegistry metrics_;
  HttpClient client_;
  MetadataStore store_client_;
  MeteredRecordStore store_;
  ExecutorClient executor_client_;
  MeteredWorkerCalls worker_calls_;
  AdviceClient advice_client_;
  const WireFormats formats_;
  JobBoard board_;
  std::optional<ServingConfiguration> configuration_;
  ClosedDomains closed_domains_;
  EntryClient entry_client_;
  EntryRegistration registration_;
  ReachabilityPoller reachability_poller_;
  StreamReachability board_reachability_{"board"};
  StreamReachability configuration_reachability_{"configuration"};
  RecordTail board_tail_;
  RecordTail configuration_tail_;
  CallerService caller_service_;
  ClusterCoordinator coordinator_;
  HttpServer caller_server_;
  HttpServer readiness_server_;
  HttpServer entry_server_;
  HttpServer metrics_server_;
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
