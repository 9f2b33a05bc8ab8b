// The parts of a hosted entry and their order of start and stop.
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

// The project's own stream in the store. The board is open to all entries, the
// progress of tasks belongs to the leader.
constexpr char kJobStream[] = "keyed.thornplank";
constexpr int kBoardPartition = 0;
// A follower reads a busy board at most this often.
constexpr Milliseconds kFollowerPace{500};
// Keys are refused this long before the bound on their revocation: the time
// that a call may wait for its answer from the store.
constexpr Milliseconds kRevocationMargin{800};
// The platform takes an entry out after two probes, a second apart; until then
// new connections still come and are answered.
constexpr Milliseconds kStopListeningAfter{2300};
constexpr Milliseconds kRefreshTimeout{500};
// An idle board is read as often as a busy one, so that the store's silence is
// noticed before callers wait for it in vain.
constexpr Milliseconds kBoardWait{400};
// For the record with which the lead is given back.
constexpr Milliseconds kReleaseTimeout{700};
// All entries together look for a stream of the store that is lost 670 times a
// second at most, once they know how many they are: up to 100 of them each 0.15
// s.
constexpr std::chrono::microseconds kRetryPerEntry{1500};
// How much the instance's size and how much chance decides who leads first.
constexpr double kSizeWeight = 0.9;
// Enough of a core to lead 350 workers: on 0.12 a leader was late with half of
// the urgent jobs that one on 0.5 started in time.
constexpr double kEnoughShare = 0.25;

// What entries draw apart from each other.
uint32_t SeedOf(const HostedSettings& settings) {
  return static_cast<uint32_t>(std::hash<std::string>()(settings.name));
}

double Rank(const HostedSettings& settings) {
  const double size = std::min(settings.processor_share / kEnoughShare, 1.0);
  std::mt19937 random(SeedOf(settings));
  const double chance = std::uniform_real_distribution<double>(0, 1)(random);
  return kSizeWeight * (1 - size) + (1 - kSizeWeight) * chance;
}

// How old the configuration may be for a call with a key.
Milliseconds ConfigurationAge(const HostedSettings& settings) {
  return settings.revocation_bound - kRevocationMargin;
}

std::string Holder(const HostedSettings& settings) {
  const int64_t started = ToUnixMilliseconds(std::chrono::system_clock::now());
  return settings.name + "/" + std::to_string(started) + "-" +
         std::to_string(::getpid());
}

WorkerBounds BoundsOf(const HostedSettings& settings) {
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

HttpServerLimits CallerLimits() {
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
        workers_(executor_client_, metrics_),
        advice_client_(client_, settings_.advisor_address),
        entry_client_(client_),
        roll_(io, store_, board_, RollSettings()),
        survey_(io, entry_client_, SurveySettings(),
                [this] { return roll_.PeerAddresses(); }),
        board_tail_(io, store_, BoardTail(), BoardHandlers()),
        configuration_tail_(io, store_, ConfigurationTail(),
                            ConfigurationHandlers()),
        callers_(io, store_, formats_, CallerSettings(), CallerSurroundings(),
                 metrics_),
        coordinator_(io, store_, workers_, formats_, CoordinatorSettings(),
                     CoordinatorSurroundings(), metrics_),
        caller_server_(
            io, CallerLimits(),
            [this](HttpRequest request, HttpServer::Responder respond) {
              callers_.Handle(std::move(request), std::move(respond));
            }),
        readiness_server_(io, HttpServerLimits(),
                          [this](const HttpRequest& request,
                                 const HttpServer::Responder& respond) {
                            respond(AnswerReadiness(request));
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
        std::min(kStopListeningAfter, settings_.stop_grace / 2));
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
    callers_.set_max_configuration_age(ConfigurationAge(settings));
    settings_.log_level = settings.log_level;
    settings_.store_address = settings.store_address;
    settings_.revocation_bound = settings.revocation_bound;
    settings_.stop_grace = settings.stop_grace;
  }

 private:
  RecordTailSettings BoardTail() const {
    RecordTailSettings settings;
    settings.partition = {kJobStream, kBoardPartition};
    settings.long_poll_wait = kBoardWait;
    settings.min_read_interval = kFollowerPace;
    settings.seed = SeedOf(settings_);
    return settings;
  }

  EntryRegistrationSettings RollSettings() const {
    EntryRegistrationSettings settings;
    settings.board = {kJobStream, kBoardPartition};
    settings.instance = settings_.name;
    settings.address = settings_.listen_entries;
    settings.seed = SeedOf(settings_);
    return settings;
  }

  ReachabilityPollerSettings SurveySettings() const {
    ReachabilityPollerSettings settings;
    settings.seed = SeedOf(settings_);
    return settings;
  }

  // Since the last whole read of the board began; nullopt before the first.
  std::optional<Milliseconds> StoreAge() const {
    if (!board_tail_.has_snapshot()) return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(BootClock::now() -
                                                    board_tail_.as_of());
  }

  RecordTailSettings ConfigurationTail() const {
    RecordTailSettings settings;
    settings.partition = formats_.streams().configuration;
    settings.seed = SeedOf(settings_) + 1;
    return settings;
  }

  RecordTail::Handlers BoardHandlers() {
    RecordTail::Handlers handlers;
    handlers.on_record = [this](const KeyedRecord& record) {
      const BoardChange change = board_.Apply(record);
      coordinator_.OnBoardChange(change);
    };
    handlers.on_snapshot = [](const std::set<std::string>&) {};
    handlers.on_caught_up = [this] {
      board_tail_.set_min_read_interval(coordinator_.leading() ? Milliseconds(0)
                                                               : kFollowerPace);
      SpreadRetries();
      coordinator_.OnBoardCaughtUp(board_tail_.latency());
      if (board_contact_.OnReadSucceeded(board_tail_.next_offset())) {
        WakeStreams();
      }
      survey_.OnReadSucceeded();
      roll_.OnBoardCaughtUp();
    };
    handlers.on_failure = [this](const Error& error) {
      board_contact_.OnReadFailed(error);
      survey_.OnReadFailed();
    };
    return handlers;
  }

  RecordTail::Handlers ConfigurationHandlers() {
    RecordTail::Handlers handlers;
    handlers.on_record = [this](const KeyedRecord& record) {
      TakeOperatorRecord(record);
    };
    handlers.on_snapshot = [this](const std::set<std::string>& keys) {
      TakeOperatorSnapshot(keys);
    };
    handlers.on_caught_up = [this] {
      if (configuration_contact_.OnReadSucceeded(
              configuration_tail_.next_offset())) {
        WakeStreams();
      }
    };
    handlers.on_failure = [this](const Error& error) {
      configuration_contact_.OnReadFailed(error);
    };
    return handlers;
  }

  void SpreadRetries() {
    const auto longest = std::chrono::duration_cast<Milliseconds>(
        kRetryPerEntry * board_.entries().size());
    board_tail_.set_max_retry_delay(longest);
    configuration_tail_.set_max_retry_delay(longest);
  }

  // The store answers again: each stream that is lost yet is read at once,
  // since callers are refused until both are back.
  void WakeStreams() {
    board_tail_.RetryIfLost(kRefreshTimeout);
    configuration_tail_.RetryIfLost(kRefreshTimeout);
    coordinator_.OnStoreRecovered();
  }

  void TakeOperatorRecord(const KeyedRecord& record) {
    const std::string domain = formats_.ClosedDomainOf(record.key);
    if (domain.empty()) return TakeConfiguration(record);
    const bool closed = record.value.has_value();
    if (!closed_domains_.Apply(domain, closed, record.offset)) return;
    LogEvent(closed ? events::kDomainClosed : events::kDomainOpened,
             {{"failure_domain", domain}, {"offset", record.offset}});
    coordinator_.OnClosedDomainsChanged();
  }

  // The operators' stream was read anew; keys outside the set are gone.
  void TakeOperatorSnapshot(const std::set<std::string>& keys) {
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

  // A version that was seen once is never left for an older one.
  void TakeConfiguration(const KeyedRecord& record) {
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
    settings.max_configuration_age = ConfigurationAge(settings_);
    return settings;
  }

  CallerService::Dependencies CallerSurroundings() {
    CallerService::Dependencies surroundings;
    surroundings.configuration = [this]() -> const ServingConfiguration* {
      return configuration_ ? &*configuration_ : nullptr;
    };
    surroundings.configuration_as_of = [this] {
      return configuration_tail_.as_of();
    };
    surroundings.board = &board_;
    surroundings.board_tail = &board_tail_;
    surroundings.served_elsewhere = [this] {
      return survey_.ReachableElsewhere();
    };
    return surroundings;
  }

  ClusterCoordinatorSettings CoordinatorSettings() const {
    ClusterCoordinatorSettings settings;
    settings.holder = Holder(settings_);
    settings.rank = Rank(settings_);
    settings.board = {kJobStream, kBoardPartition};
    settings.job_retention = settings_.state_kept + std::chrono::seconds(30);
    settings.bounds = BoundsOf(settings_);
    return settings;
  }

  ClusterCoordinator::Dependencies CoordinatorSurroundings() {
    ClusterCoordinator::Dependencies surroundings;
    surroundings.board = &board_;
    surroundings.configuration = [this]() -> const ServingConfiguration& {
      static const ServingConfiguration kNone;
      return configuration_ ? *configuration_ : kNone;
    };
    surroundings.closed_domains = [this]() -> const std::set<std::string>& {
      return closed_domains_.closed();
    };
    surroundings.board_next_offset = [this] {
      return board_tail_.next_offset();
    };
    surroundings.board_as_of = [this] { return board_tail_.as_of(); };
    surroundings.refresh_board = [this](std::function<void(bool)> done) {
      board_tail_.CatchUp(kRefreshTimeout, std::move(done));
    };
    const bool advised = !settings_.advisor_address.empty();
    if (advised) surroundings.advisor = &advice_client_;
    return surroundings;
  }

  HttpResponse AnswerReadiness(const HttpRequest&) {
    const bool ready = callers_.ready() && !stopping_;
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
  MeteredWorkerCalls workers_;
  AdviceClient advice_client_;
  const WireFormats formats_;
  JobBoard board_;
  std::optional<ServingConfiguration> configuration_;
  ClosedDomains closed_domains_;
  EntryClient entry_client_;
  EntryRegistration roll_;
  ReachabilityPoller survey_;
  StreamReachability board_contact_{"board"};
  StreamReachability configuration_contact_{"configuration"};
  RecordTail board_tail_;
  RecordTail configuration_tail_;
  CallerService callers_;
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
