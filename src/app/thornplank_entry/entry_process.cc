// Constructs the components in order of dependency, serves the routes of the
// process itself, and shuts down gracefully.
#include "entry_process.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admin/admin_api.h"
#include "admin/settings_manager.h"
#include "api/api_router.h"
#include "component_settings.h"
#include "guarantee_review.h"
#include "instances/instance_directory.h"
#include "instances/instance_json.h"
#include "instances/instance_watcher.h"
#include "jobs/job_manager.h"
#include "logging/events/membership_events.h"
#include "logging/events/process_events.h"
#include "metrics/log_metrics.h"
#include "metrics/metrics_registry.h"
#include "metrics/process_metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_pool.h"
#include "peers/membership_manager.h"
#include "platform/instance_list_client.h"
#include "platform/log_client.h"
#include "protocol/peer_mesh.h"
#include "requests/request_manager.h"
#include "settings_mapping.h"

namespace thornplank {
namespace {

// An executor allows about 60 connections and there are at most 8 entries.
constexpr size_t kConnectionsPerExecutor = 7;
// Renewals are sent one at a time; the second connection allows a stop request
// during a renewal.
constexpr size_t kConnectionsPerWorker = 2;
// Three streams, each with a long-polling reader and a writer, and some spare
// connections.
constexpr size_t kConnectionsPerPlatformPeer = 12;
// How long requests are still accepted after this entry reports not ready,
// until the load balancer has noticed.
constexpr Milliseconds kReadinessNoticeDelay{300};
constexpr Milliseconds kReadinessCheckInterval{50};
// Delay of the first fetch of the jobs from a peer, and interval of the further
// ones, while the log does not provide them.
constexpr Milliseconds kJobsFetchInterval{1000};
constexpr char kSettingsSnapshot[] = "settings";
constexpr char kJobsSnapshot[] = "jobs";

// Blocks a thread until a callback has run.
class Latch {
 public:
  void Release() {
    const std::lock_guard<std::mutex> lock(mutex_);
    released_ = true;
    changed_.notify_all();
  }
  bool WaitUntil(Time end) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_until(lock, end, [this] { return released_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool released_ = false;
};

}  // namespace

class EntryProcess::Impl {
 public:
  explicit Impl(EntrySettings settings)
      : settings_(std::move(settings)),
        incarnation_(NewIncarnation()),
        pool_(settings_.threads),
        platform_client_(pool_.io(),
                         ToHttpClientLimits(kConnectionsPerPlatformPeer)),
        worker_client_(pool_.io(), ToHttpClientLimits(kConnectionsPerWorker)),
        executor_client_(pool_.io(),
                         ToHttpClientLimits(kConnectionsPerExecutor)),
        log_client_(platform_client_, settings_.log_address),
        instance_list_client_(platform_client_,
                              settings_.instance_list_address),
        mesh_(pool_.io(), ToMeshSettings(settings_, incarnation_)),
        membership_(pool_.io(), mesh_,
                    ToMembershipSettings(settings_, incarnation_)),
        settings_manager_(pool_.io(), log_client_,
                          ToSettingsOptions(settings_)),
        requests_(pool_.io(), executor_client_, &mesh_, log_client_, metrics_,
                  ToRequestSettings(settings_, incarnation_)),
        jobs_(pool_.io(), worker_client_, log_client_, &mesh_,
              ToJobSettings(settings_, incarnation_), metrics_),
        guarantee_review_([this] { return Workers(); }),
        admin_(settings_manager_),
        router_(ToAccessTokens(settings_.tokens)),
        server_(pool_.io(), ToHttpServerLimits(settings_.limits),
                [this](HttpRequest request, HttpServer::Responder respond) {
                  router_.Route(std::move(request), std::move(respond));
                }),
        instance_watcher_(
            pool_.io(), instance_list_client_, InstanceWatcherSettings(),
            [this](const InstanceList& list) { OnInstanceList(list); }),
        readiness_timer_(pool_.io()) {
    ConnectComponents();
    AddRoutes();
    AddProcessMetrics(metrics_);
    AddLogMetrics(metrics_);
    AddGauges();
  }

  ~Impl() { pool_.Stop(); }

  bool Start(std::function<void(const Error&)> on_fatal_error, Error* error) {
    on_fatal_error_ = std::move(on_fatal_error);
    if (!server_.Listen(settings_.listen_http, error)) return false;
    if (!mesh_.Start(error)) return false;
    pool_.Start();
    mesh_.SetPeers(settings_.peers);
    membership_.Start();
    settings_manager_.Start();
    requests_.Start();
    jobs_.Start();
    instance_watcher_.Start();
    LogEvent(events::kProcessStarted,
             {{"http", server_.address()},
              {"peers", mesh_.address()},
              {"incarnation", incarnation_},
              {"failure_domain", settings_.failure_domain}});
    UpdateReadiness();
    return true;
  }

  bool Stop() {
    const Time begin = std::chrono::steady_clock::now();
    const Time end = begin + settings_.drain_timeout;
    leaving_ = true;
    membership_.SetLeaving();
    LogEvent(events::kShutdownBegun,
             {{"in_flight", server_.requests_in_flight()}});
    auto jobs_drained = std::make_shared<Latch>();
    jobs_.Drain([jobs_drained] { jobs_drained->Release(); });
    std::this_thread::sleep_until(begin + kReadinessNoticeDelay);
    auto server_drained = std::make_shared<Latch>();
    server_.Drain([server_drained] { server_drained->Release(); });
    bool clean = server_drained->WaitUntil(end);
    auto requests_drained = std::make_shared<Latch>();
    requests_.Drain([requests_drained] { requests_drained->Release(); });
    clean = requests_drained->WaitUntil(end) && clean;
    jobs_drained->WaitUntil(end);
    LogEvent(events::kShutdownDone,
             {{"clean", clean}, {"in_flight", server_.requests_in_flight()}});
    StopComponents();
    return clean;
  }

 private:
  void ConnectComponents() {
    mesh_.SetNameClashHandler(
        [this](const std::string& where) { OnNameClash(where); });
    settings_manager_.AddReview(&guarantee_review_);
    settings_manager_.AddChangeHandler(
        [this](const SettingsTree& tree) { OnSettingsChanged(tree); });
    settings_manager_.SetSnapshotFetcher(
        [this](SettingsManager::SnapshotsCallback done) {
          FetchSettingsSnapshot(std::move(done));
        });
    membership_.AddSnapshotProducer(kSettingsSnapshot, [this] {
      return settings_manager_.Snapshot().value_or(Json());
    });
    membership_.AddSnapshotProducer(kJobsSnapshot,
                                    [this] { return jobs_.ProduceSnapshot(); });
    membership_.AddChangeHandler(
        [this](const MembershipChange&) { OnMembersChanged(); });
    membership_.SetOffsetsProducer([this] { return OffsetsJson(); });
  }

  // An entry that was ready before keeps running; the one that starts must
  // stop.
  void OnNameClash(const std::string& where) {
    if (ever_ready_ || name_clash_reported_.exchange(true)) return;
    on_fatal_error_(
        {"name", where,
         "found \"" + settings_.name +
             "\", which a live entry has there, allowed a name that "
             "no other entry has"});
  }

  void FetchSettingsSnapshot(SettingsManager::SnapshotsCallback done) {
    membership_.FetchSnapshot(
        kSettingsSnapshot, 0,
        [done = std::move(done)](std::optional<Json> snapshot, const Error&) {
          std::vector<Json> found;
          if (snapshot.has_value()) found.push_back(std::move(*snapshot));
          done(std::move(found));
        });
  }

  void OnInstanceList(const InstanceList& list) {
    const std::lock_guard<std::mutex> lock(directory_mutex_);
    if (directory_.SetList(list)) PublishInstances();
    std::vector<std::string> entries;
    for (const Instance& instance : directory_.instances()) {
      if (instance.kind != InstanceKind::kEntry) continue;
      entries.push_back(instance.name);
    }
    membership_.SetListedNames(entries);
  }

  // Asks a peer for the jobs while the log does not answer or has dropped
  // records that this entry had not read. Called by the readiness timer only.
  void FetchJobsIfMissing() {
    const Time now = std::chrono::steady_clock::now();
    if (now < next_jobs_fetch_ || jobs_.ready() || leaving_) return;
    next_jobs_fetch_ = now + kJobsFetchInterval;
    if (fetching_jobs_.exchange(true)) return;
    membership_.FetchSnapshot(
        kJobsSnapshot, 0, [this](std::optional<Json> snapshot, const Error&) {
          Error error;
          if (snapshot.has_value() &&
              !jobs_.ConsumeSnapshot(*snapshot, &error)) {
            LogEvent(events::kSnapshotFetchFailed, error,
                     {{"stream", kJobsSnapshot}});
          }
          fetching_jobs_ = false;
        });
  }

  void OnSettingsChanged(const SettingsTree& tree) {
    requests_.SetAccounts(MapAccountLimits(tree));
    jobs_.SetGuarantees(MapGuarantees(tree));
    jobs_.SetEvents(MapEvents(tree, std::chrono::steady_clock::now(),
                              std::chrono::system_clock::now()));
    const std::lock_guard<std::mutex> lock(directory_mutex_);
    if (directory_.SetDrains(MapDrains(tree))) PublishInstances();
  }

  // To be called with directory_mutex_ held, so that an older state of the
  // directory cannot replace a newer one.
  void PublishInstances() {
    requests_.SetExecutors(directory_.executors());
    jobs_.SetWorkers(directory_.workers());
  }

  void OnMembersChanged() {
    std::vector<std::string> names;
    for (const MemberView& member : membership_.alive_members()) {
      names.push_back(member.name);
    }
    std::vector<ClaimHolder> reachable;
    for (const MemberView& member : membership_.members()) {
      if (member.state == MemberState::kDead) continue;
      reachable.push_back({member.name, member.incarnation});
    }
    requests_.SetLiveEntries(names);
    requests_.SetReachableEntries(reachable);
    jobs_.SetLiveEntries(names);
  }

  std::vector<WorkerInfo> Workers() const {
    const std::lock_guard<std::mutex> lock(directory_mutex_);
    return directory_.workers();
  }

  Json OffsetsJson() const {
    return {{"settings", settings_manager_.next_offset()},
            {"jobs", jobs_.jobs_offset()},
            {"claims", requests_.next_claims_offset()}};
  }

  // Why this entry is not ready; empty when it is.
  std::string NotReadyReason() const {
    if (leaving_) return "shutting down";
    if (!settings_manager_.ready()) return "settings are not folded yet";
    {
      const std::lock_guard<std::mutex> lock(directory_mutex_);
      if (!directory_.has_list()) return "instance list not read yet";
    }
    return jobs_.ready() ? "" : jobs_.not_ready_reason();
  }

  void UpdateReadiness() {
    FetchJobsIfMissing();
    const std::string reason = NotReadyReason();
    const bool ready = reason.empty();
    if (ready != was_ready_) {
      membership_.SetReady(ready);
      if (ready) {
        ever_ready_ = true;
        LogEvent(events::kProcessReady, {});
      } else {
        LogEvent(events::kProcessNotReady, {{"reason", reason}});
      }
      was_ready_ = ready;
    }
    readiness_timer_.expires_after(kReadinessCheckInterval);
    readiness_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) UpdateReadiness();
    });
  }

  void AddRoutes() {
    admin_.AddRoutes(router_);
    requests_.RegisterRoutes(router_);
    jobs_.RegisterRoutes(router_);
    router_.AddPublic("GET", "/healthz", MakeHandler([](const HttpRequest&) {
                        return JsonResponse(200, "{\"status\":\"up\"}\n");
                      }));
    router_.AddPublic("GET", "/readyz", MakeHandler([this](const HttpRequest&) {
                        const std::string reason = NotReadyReason();
                        if (reason.empty()) {
                          return JsonResponse(200, "{\"ready\":true}\n");
                        }
                        return ProblemResponse(503, "not ready", reason);
                      }));
    router_.AddPublic(
        "GET", "/metrics", MakeHandler([this](const HttpRequest&) {
          HttpResponse response;
          response.headers.Set("Content-Type", "text/plain; version=0.0.4");
          response.body = metrics_.ToText();
          return response;
        }));
    router_.Add("GET", "/v1/status", Role::kViewer,
                MakeHandler([this](const HttpRequest&) {
                  return JsonResponse(200, StatusJson().dump() + "\n");
                }));
    router_.Add("GET", "/v1/instances", Role::kViewer,
                MakeHandler([this](const HttpRequest&) {
                  return JsonResponse(200, InstancesJson().dump() + "\n");
                }));
  }

  static ApiRouter::Handler MakeHandler(
      std::function<HttpResponse(const HttpRequest&)> make_response) {
    return
        [make_response = std::move(make_response)](
            const HttpRequest& request, const Caller&, const PathParameters&,
            HttpServer::Responder respond) { respond(make_response(request)); };
  }

  void AddGauges() {
    metrics_.AddGauge(
        "thornplank_http_connections", "Connections of callers.", {},
        [this] { return static_cast<double>(server_.connections()); });
    AddTrafficGauges("platform", platform_client_);
    AddTrafficGauges("workers", worker_client_);
    AddTrafficGauges("executors", executor_client_);
    metrics_.AddGauge(
        "thornplank_peer_bytes_sent", "Bytes to other entries.", {},
        [this] { return static_cast<double>(mesh_.bytes_sent()); });
    metrics_.AddGauge(
        "thornplank_peer_bytes_received", "Bytes from other entries.", {},
        [this] { return static_cast<double>(mesh_.bytes_received()); });
  }

  void AddTrafficGauges(const char* client, const HttpClient& http) {
    metrics_.AddGauge(
        "thornplank_client_bytes_sent", "Bytes sent, by what they serve.",
        {{"to", client}},
        [&http] { return static_cast<double>(http.bytes_sent()); });
    metrics_.AddGauge(
        "thornplank_client_bytes_received",
        "Bytes received, by what they serve.", {{"to", client}},
        [&http] { return static_cast<double>(http.bytes_received()); });
  }

  Json StatusJson() const {
    const std::string reason = NotReadyReason();
    return {{"name", settings_.name},
            {"incarnation", incarnation_},
            {"region", settings_.region},
            {"failure_domain", settings_.failure_domain},
            {"ready", reason.empty()},
            {"not_ready_reason", reason},
            {"offsets", OffsetsJson()},
            {"epoch", jobs_.epoch()},
            {"coordinator", jobs_.coordinator()},
            {"is_coordinator", jobs_.is_coordinator()},
            {"claims_ready", requests_.claims_ready()},
            {"members", membership_.ToJson()}};
  }

  Json InstancesJson() const {
    const std::lock_guard<std::mutex> lock(directory_mutex_);
    Json instances = Json::array();
    for (const Instance& instance : directory_.instances()) {
      instances.push_back(ToJson(instance));
    }
    return {{"instances", instances}};
  }

  void StopComponents() {
    instance_watcher_.Stop();
    jobs_.Stop();
    requests_.Stop();
    settings_manager_.Stop();
    membership_.Stop();
    mesh_.Stop();
    server_.Close();
    executor_client_.Close();
    worker_client_.Close();
    platform_client_.Close();
    pool_.Stop();
  }

  const EntrySettings settings_;
  const std::string incarnation_;
  MetricsRegistry metrics_;
  IoPool pool_;
  HttpClient platform_client_;
  HttpClient worker_client_;
  HttpClient executor_client_;
  LogClient log_client_;
  InstanceListClient instance_list_client_;
  PeerMesh mesh_;
  MembershipManager membership_;
  SettingsManager settings_manager_;
  RequestManager requests_;
  JobManager jobs_;
  GuaranteeReview guarantee_review_;
  AdminApi admin_;
  // Filled before the server listens, not changed afterwards.
  ApiRouter router_;
  HttpServer server_;
  InstanceWatcher instance_watcher_;
  boost::asio::steady_timer readiness_timer_;
  // was_ready_ and next_jobs_fetch_ are used by the readiness timer only.
  bool was_ready_ = false;
  Time next_jobs_fetch_ = std::chrono::steady_clock::now() + kJobsFetchInterval;
  std::atomic<bool> fetching_jobs_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> ever_ready_{false};
  std::atomic<bool> name_clash_reported_{false};
  // Set before the threads start.
  std::function<void(const Error&)> on_fatal_error_;
  // Guards directory_. Locked before the mutexes of requests_ and jobs_.
  mutable std::mutex directory_mutex_;
  InstanceDirectory directory_;
};

EntryProcess::EntryProcess(EntrySettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}
EntryProcess::~EntryProcess() = default;

bool EntryProcess::Start(std::function<void(const Error&)> on_fatal_error,
                         Error* error) {
  return impl_->Start(std::move(on_fatal_error), error);
}
bool EntryProcess::Stop() { return impl_->Stop(); }

}  // namespace thornplank
