// Construction in order of dependency, the routes of the process itself, and
// the graceful shutdown.
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
#include "part_settings.h"
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
// Renewals go one at a time; a second connection serves a stop meanwhile.
constexpr size_t kConnectionsPerWorker = 2;
// Three streams, each with a reader that waits and a writer, and spare ones.
constexpr size_t kConnectionsPerPlatformPeer = 12;
// After readiness is off, the balancer needs a moment to notice; requests
// that it still sends are taken.
constexpr Milliseconds kReadinessNotice{300};
constexpr Milliseconds kReadinessInterval{50};
// From the start until a peer is asked for the jobs, and from one time to the
// next, while the log alone does not give them.
constexpr Milliseconds kJobsFetchInterval{1000};
constexpr char kSettingsSnapshot[] = "settings";
constexpr char kJobsSnapshot[] = "jobs";

// Waits for a callback.
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
        platform_http_(pool_.io(), ClientLimits(kConnectionsPerPlatformPeer)),
        worker_http_(pool_.io(), ClientLimits(kConnectionsPerWorker)),
        executor_http_(pool_.io(), ClientLimits(kConnectionsPerExecutor)),
        log_(platform_http_, settings_.log_address),
        instance_list_(platform_http_, settings_.instance_list_address),
        mesh_(pool_.io(), ToMeshSettings(settings_, incarnation_)),
        members_(pool_.io(), mesh_,
                 ToMembershipSettings(settings_, incarnation_)),
        tree_(pool_.io(), log_, ToSettingsOptions(settings_)),
        requests_(pool_.io(), executor_http_, &mesh_, log_, metrics_,
                  ToRequestSettings(settings_, incarnation_)),
        jobs_(pool_.io(), worker_http_, log_, &mesh_,
              ToJobSettings(settings_, incarnation_), metrics_),
        review_([this] { return Workers(); }),
        admin_(tree_),
        router_(ToAccessTokens(settings_.tokens)),
        server_(pool_.io(), ToServerLimits(settings_.limits),
                [this](HttpRequest request, HttpServer::Responder respond) {
                  router_.Route(std::move(request), std::move(respond));
                }),
        watcher_(pool_.io(), instance_list_, InstanceWatcherSettings(),
                 [this](const InstanceList& list) { OnList(list); }),
        readiness_timer_(pool_.io()) {
    Connect();
    AddRoutes();
    AddProcessMetrics(metrics_);
    AddLogMetrics(metrics_);
    AddGauges();
  }

  ~Impl() { pool_.Stop(); }

  bool Start(std::function<void(const Error&)> on_unusable, Error* error) {
    on_unusable_ = std::move(on_unusable);
    if (!server_.Listen(settings_.listen_http, error)) return false;
    if (!mesh_.Start(error)) return false;
    pool_.Start();
    mesh_.SetPeers(settings_.peers);
    members_.Start();
    tree_.Start();
    requests_.Start();
    jobs_.Start();
    watcher_.Start();
    LogEvent(events::kProcessStarted,
             {{"http", server_.address()},
              {"peers", mesh_.address()},
              {"incarnation", incarnation_},
              {"failure_domain", settings_.failure_domain}});
    WatchReadiness();
    return true;
  }

  bool Stop() {
    const Time begin = std::chrono::steady_clock::now();
    const Time end = begin + settings_.drain_timeout;
    leaving_ = true;
    members_.SetLeaving();
    LogEvent(events::kShutdownBegun,
             {{"in_flight", server_.requests_in_flight()}});
    auto jobs_drained = std::make_shared<Latch>();
    jobs_.Drain([jobs_drained] { jobs_drained->Release(); });
    std::this_thread::sleep_until(begin + kReadinessNotice);
    auto server_drained = std::make_shared<Latch>();
    server_.Drain([server_drained] { server_drained->Release(); });
    bool clean = server_drained->WaitUntil(end);
    auto requests_drained = std::make_shared<Latch>();
    requests_.Drain([requests_drained] { requests_drained->Release(); });
    clean = requests_drained->WaitUntil(end) && clean;
    jobs_drained->WaitUntil(end);
    LogEvent(events::kShutdownDone,
             {{"clean", clean}, {"in_flight", server_.requests_in_flight()}});
    StopAll();
    return clean;
  }

 private:
  // Who tells whom.
  void Connect() {
    mesh_.SetNameClashHandler(
        [this](const std::string& where) { OnNameClash(where); });
    tree_.AddReview(&review_);
    tree_.AddChangeHandler([this](const SettingsTree& tree) { OnTree(tree); });
    tree_.SetSnapshotFetcher([this](SettingsManager::SnapshotsCallback done) {
      FetchSettings(std::move(done));
    });
    members_.AddSnapshotProducer(kSettingsSnapshot, [this] {
      return tree_.Snapshot().value_or(Json());
    });
    members_.AddSnapshotProducer(kJobsSnapshot,
                                 [this] { return jobs_.ProduceSnapshot(); });
    members_.AddChangeHandler(
        [this](const MembershipChange&) { OnMembersChanged(); });
    members_.SetOffsetsProducer([this] { return Offsets(); });
  }

  // An entry that already serves stays; the one that begins gives way.
  void OnNameClash(const std::string& where) {
    if (ever_ready_ || clash_reported_.exchange(true)) return;
    on_unusable_({"name", where,
                  "found \"" + settings_.name +
                      "\", which a live entry has there, allowed a name that "
                      "no other entry has"});
  }

  void FetchSettings(SettingsManager::SnapshotsCallback done) {
    members_.FetchSnapshot(
        kSettingsSnapshot, 0,
        [done = std::move(done)](std::optional<Json> snapshot, const Error&) {
          std::vector<Json> found;
          if (snapshot.has_value()) found.push_back(std::move(*snapshot));
          done(std::move(found));
        });
  }

  void OnList(const InstanceList& list) {
    const std::lock_guard<std::mutex> lock(directory_mutex_);
    if (directory_.SetList(list)) TellInstances();
    std::vector<std::string> entries;
    for (const Instance& instance : directory_.instances()) {
      if (instance.kind != InstanceKind::kEntry) continue;
      entries.push_back(instance.name);
    }
    members_.SetListedNames(entries);
  }

  // A peer is asked while the log does not answer or has forgotten records
  // that were not read. Called by the readiness timer only.
  void FetchJobsWhenMissing() {
    const Time now = std::chrono::steady_clock::now();
    if (now < next_jobs_fetch_ || jobs_.ready() || leaving_) return;
    next_jobs_fetch_ = now + kJobsFetchInterval;
    if (fetching_jobs_.exchange(true)) return;
    members_.FetchSnapshot(kJobsSnapshot, 0,
                           [this](std::optional<Json> snapshot, const Error&) {
                             Error error;
                             if (snapshot.has_value() &&
                                 !jobs_.ConsumeSnapshot(*snapshot, &error)) {
                               LogEvent(events::kSnapshotFetchFailed, error,
                                        {{"stream", kJobsSnapshot}});
                             }
                             fetching_jobs_ = false;
                           });
  }

  void OnTree(const SettingsTree& tree) {
    requests_.SetAccounts(MapAccountLimits(tree));
    jobs_.SetGuarantees(MapGuarantees(tree));
    jobs_.SetEvents(MapEvents(tree, std::chrono::steady_clock::now(),
                              std::chrono::system_clock::now()));
    const std::lock_guard<std::mutex> lock(directory_mutex_);
    if (directory_.SetDrains(MapDrains(tree))) TellInstances();
  }

  // Under directory_mutex_, so that an older view cannot overtake a newer.
  void TellInstances() {
    requests_.SetExecutors(directory_.executors());
    jobs_.SetWorkers(directory_.workers());
  }

  void OnMembersChanged() {
    std::vector<std::string> names;
    for (const MemberView& member : members_.alive_members()) {
      names.push_back(member.name);
    }
    std::vector<ClaimHolder> reachable;
    for (const MemberView& member : members_.members()) {
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

  Json Offsets() const {
    return {{"settings", tree_.next_offset()},
            {"jobs", jobs_.jobs_offset()},
            {"claims", requests_.next_claims_offset()}};
  }

  // What readiness waits for; empty when ready.
  std::string NotReadyReason() const {
    if (leaving_) return "shutting down";
    if (!tree_.ready()) return "settings are not folded yet";
    {
      const std::lock_guard<std::mutex> lock(directory_mutex_);
      if (!directory_.seen()) return "instance list not read yet";
    }
    return jobs_.ready() ? "" : jobs_.not_ready_reason();
  }

  void WatchReadiness() {
    FetchJobsWhenMissing();
    const std::string reason = NotReadyReason();
    const bool ready = reason.empty();
    if (ready != was_ready_) {
      members_.SetReady(ready);
      if (ready) {
        ever_ready_ = true;
        LogEvent(events::kProcessReady, {});
      } else {
        LogEvent(events::kProcessNotReady, {{"reason", reason}});
      }
      was_ready_ = ready;
    }
    readiness_timer_.expires_after(kReadinessInterval);
    readiness_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) WatchReadiness();
    });
  }

  void AddRoutes() {
    admin_.AddRoutes(router_);
    requests_.RegisterRoutes(router_);
    jobs_.RegisterRoutes(router_);
    router_.AddPublic("GET", "/healthz", Answer([](const HttpRequest&) {
                      return JsonResponse(200, "{\"status\":\"up\"}\n");
                    }));
    router_.AddPublic("GET", "/readyz", Answer([this](const HttpRequest&) {
                      const std::string reason = NotReadyReason();
                      if (reason.empty()) {
                        return JsonResponse(200, "{\"ready\":true}\n");
                      }
                      return ProblemResponse(503, "not ready", reason);
                    }));
    router_.AddPublic("GET", "/metrics", Answer([this](const HttpRequest&) {
                      HttpResponse response;
                      response.headers.Set("Content-Type",
                                           "text/plain; version=0.0.4");
                      response.body = metrics_.ToText();
                      return response;
                    }));
    router_.Add("GET", "/v1/status", Role::kViewer,
                Answer([this](const HttpRequest&) {
                  return JsonResponse(200, Status().dump() + "\n");
                }));
    router_.Add("GET", "/v1/instances", Role::kViewer,
                Answer([this](const HttpRequest&) {
                  return JsonResponse(200, Instances().dump() + "\n");
                }));
  }

  static ApiRouter::Handler Answer(
      std::function<HttpResponse(const HttpRequest&)> make) {
    return [make = std::move(make)](
               const HttpRequest& request, const Caller&, const PathParameters&,
               HttpServer::Responder respond) { respond(make(request)); };
  }

  void AddGauges() {
    metrics_.AddGauge(
        "thornplank_http_connections", "Connections of callers.", {},
        [this] { return static_cast<double>(server_.connections()); });
    AddTrafficGauges("platform", platform_http_);
    AddTrafficGauges("workers", worker_http_);
    AddTrafficGauges("executors", executor_http_);
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

  Json Status() const {
    const std::string reason = NotReadyReason();
    return {{"name", settings_.name},
            {"incarnation", incarnation_},
            {"region", settings_.region},
            {"failure_domain", settings_.failure_domain},
            {"ready", reason.empty()},
            {"not_ready_reason", reason},
            {"offsets", Offsets()},
            {"epoch", jobs_.epoch()},
            {"coordinator", jobs_.coordinator()},
            {"is_coordinator", jobs_.is_coordinator()},
            {"claims_ready", requests_.claims_ready()},
            {"members", members_.ToJson()}};
  }

  Json Instances() const {
    const std::lock_guard<std::mutex> lock(directory_mutex_);
    Json instances = Json::array();
    for (const Instance& instance : directory_.instances()) {
      instances.push_back(ToJson(instance));
    }
    return {{"instances", instances}};
  }

  void StopAll() {
    watcher_.Stop();
    jobs_.Stop();
    requests_.Stop();
    tree_.Stop();
    members_.Stop();
    mesh_.Stop();
    server_.Close();
    executor_http_.Close();
    worker_http_.Close();
    platform_http_.Close();
    pool_.Stop();
  }

  const EntrySettings settings_;
  const std::string incarnation_;
  MetricsRegistry metrics_;
  IoPool pool_;
  HttpClient platform_http_;
  HttpClient worker_http_;
  HttpClient executor_http_;
  LogClient log_;
  InstanceListClient instance_list_;
  PeerMesh mesh_;
  MembershipManager members_;
  SettingsManager tree_;
  RequestManager requests_;
  JobManager jobs_;
  GuaranteeReview review_;
  AdminApi admin_;
  // Complete before the server listens, then only read.
  ApiRouter router_;
  HttpServer server_;
  InstanceWatcher watcher_;
  boost::asio::steady_timer readiness_timer_;
  // These two are used by the readiness timer only.
  bool was_ready_ = false;
  Time next_jobs_fetch_ = std::chrono::steady_clock::now() + kJobsFetchInterval;
  std::atomic<bool> fetching_jobs_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> ever_ready_{false};
  std::atomic<bool> clash_reported_{false};
  // Set before anything runs.
  std::function<void(const Error&)> on_unusable_;
  // Taken before the mutexes of requests_ and jobs_.
  mutable std::mutex directory_mutex_;
  InstanceDirectory directory_;
};

EntryProcess::EntryProcess(EntrySettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}
EntryProcess::~EntryProcess() = default;

bool EntryProcess::Start(std::function<void(const Error&)> on_unusable,
                         Error* error) {
  return impl_->Start(std::move(on_unusable), error);
}
bool EntryProcess::Stop() { return impl_->Stop(); }

}  // namespace thornplank
