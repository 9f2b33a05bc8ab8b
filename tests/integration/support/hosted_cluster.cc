// Starts the processes of a hosted cluster, writes their settings, and calls
// them.
#include "hosted_cluster.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "client/api_client.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

constexpr int kStorePort = 9000;
constexpr int kAdvisorPort = 9001;
constexpr int kStoreProxyPort = 9100;
constexpr int kStoreProxyControlPort = 9200;
constexpr int kCallerPort = 8000;
constexpr int kReadinessPort = 8100;
constexpr int kMetricsPort = 8200;
constexpr int kEntryPort = 8300;
constexpr int kExecutorPort = 10000;
constexpr Milliseconds kPollInterval{20};
// Of the stand-in executors.
constexpr Milliseconds kWorkerHeartbeat{300};
constexpr char kService[] = "claims";
constexpr char kAccountKey[] = "key-of-north";
constexpr char kOtherAccountKey[] = "key-of-south";

std::string LoopbackAddress() {
  const int id = ::getpid();
  return "127." + std::to_string(80 + ((id >> 14) & 63)) + "." +
         std::to_string((id >> 7) & 127) + "." + std::to_string((id & 127) + 1);
}

Json JobBody(const TestJob& job, bool requires_advice) {
  Json steps = Json::array();
  for (const TestStep& step : job.steps) {
    steps.push_back({{"count", step.count},
                     {"cpu", step.cpu_millis},
                     {"mem_mb", step.memory_mb},
                     {"gpu", step.accelerators},
                     {"estimate_ms", job.work_ms},
                     {"gang", step.gang},
                     {"same_rack", step.same_rack},
                     {"long_running", step.long_running},
                     {"fills", step.is_filler},
                     {"target_ms", step.tail_latency_target_ms},
                     {"depends_on", step.depends_on}});
  }
  // The executor stand-in reads the behaviour and the resource demands of the
  // tasks from the payload.
  Json needs = Json::array();
  for (const TestStep& step : job.steps) {
    needs.push_back(
        Json::array({step.cpu_millis, step.memory_mb, step.accelerators}));
  }
  Json payload = {{"work_ms", job.work_ms},
                  {"fail", job.fails},
                  {"failing_runs", job.failing_runs},
                  {"checkpoint_bytes", job.checkpoint_bytes},
                  {"needs", needs},
                  {"tail_ms", job.tail_latency_ms},
                  {"disturbs_ms", job.interference_ms},
                  {"advised", requires_advice}};
  if (job.crashes()) payload["crash_after_ms"] = job.crash_after_ms;
  if (job.crash_task >= 0) payload["crash_task"] = job.crash_task;
  return {{"spec", payload.dump()}, {"steps", std::move(steps)}};
}

std::string KeyFor(const TestJob& job) {
  return job.account_key.empty() ? kAccountKey : job.account_key;
}

}  // namespace

HostedCluster::HostedCluster(HostedClusterSettings settings)
    : settings_(settings), ip_(LoopbackAddress()) {
  entries_.resize(static_cast<size_t>(settings_.entries));
  start_counts_.resize(static_cast<size_t>(settings_.entries));
}

HostedCluster::~HostedCluster() {
  entries_.clear();
  standins_.reset();
}

ApiClient& HostedCluster::api() {
  std::lock_guard lock(api_mutex_);
  std::unique_ptr<ApiClient>& client = apis_[std::this_thread::get_id()];
  if (client == nullptr) {
    ApiClientSettings settings;
    settings.timeout = settings_.caller_timeout;
    client = std::make_unique<ApiClient>(settings);
  }
  return *client;
}

std::string HostedCluster::QueuePrefix(int priority) {
  return "/queue" + std::to_string(priority) + "/";
}

std::string HostedCluster::AccountKey() { return kAccountKey; }

std::string HostedCluster::OtherAccountKey() { return kOtherAccountKey; }

std::string HostedCluster::FurtherAccountKey(int account) {
  return "key-of-further-" + std::to_string(account);
}

bool HostedCluster::Eventually(const std::function<bool()>& condition,
                               Duration limit) {
  const Time end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

bool HostedCluster::Start() {
  std::ofstream(folder() + "/standins.json") << StandinConfig().dump(1);
  standins_ = std::make_unique<ChildProcess>(
      THORNPLANK_STANDIN,
      std::vector<std::string>{"--config", folder() + "/standins.json"},
      folder() + "/standins.log");
  if (!Eventually([this] { return ControlStore(Json::object()); })) {
    return false;
  }
  if (!PublishConfiguration()) return false;
  for (int i = 0; i < settings_.entries; ++i) {
    StartEntry(i);
  }
  for (int i = 0; i < settings_.entries; ++i) {
    if (!WaitReady(i)) return false;
  }
  return true;
}

void HostedCluster::StartEntry(int entry) {
  const auto index = static_cast<size_t>(entry);
  const std::string name = folder() + "/entry" + std::to_string(entry);
  std::ofstream(name + ".json") << EntryConfig(entry).dump(1);
  entries_[index].reset();
  entries_[index] = std::make_unique<ChildProcess>(
      THORNPLANK_HOSTED, std::vector<std::string>{"--settings", name + ".json"},
      NextLogPath(entry));
  ++start_counts_[index];
}

std::string HostedCluster::NextLogPath(int entry) const {
  return LogPath(entry, start_counts_[static_cast<size_t>(entry)]);
}

std::string HostedCluster::LogPath(int entry, int incarnation) const {
  return folder() + "/entry" + std::to_string(entry) + "-" +
         std::to_string(incarnation) + ".log";
}

bool HostedCluster::WaitReady(int entry, Duration limit) {
  return Eventually(
      [this, entry] {
        const auto response =
            api().SendTo(Address(kReadinessPort + entry), "GET", "/v1/ready",
                         "", HttpHeaders(), nullptr);
        return response.has_value() && response->status == 200;
      },
      limit);
}

bool HostedCluster::PublishConfiguration(bool with_account_key) {
  version_ += 3;
  Json keys = Json::array({"another-key"});
  if (with_account_key) keys.push_back(kAccountKey);
  Json accounts = Json::array(
      {{{"name", "north"}, {"api_keys", keys}, {"guaranteed", {{"gpu", 16}}}},
       {{"name", "south"}, {"api_keys", Json::array({kOtherAccountKey})}}});
  int number = 0;
  for (const int guaranteed : settings_.further_guarantees) {
    accounts.push_back({{"name", "further-" + std::to_string(number)},
                        {"api_keys", Json::array({FurtherAccountKey(number)})},
                        {"guaranteed", {{"gpu", guaranteed}}}});
    ++number;
  }
  const Json configuration = {
      {"version", version_},
      {"routes", {Route(0), Route(1), Route(2)}},
      {"services", {{{"name", kService}, {"admission_check", false}}}},
      {"limits", {{"max_body_bytes", 65536}}},
      {"tenants", std::move(accounts)}};
  return ControlStore({{"put_operator", configuration.dump()}});
}

std::optional<HttpResponse> HostedCluster::Call(int entry,
                                                const std::string& method,
                                                const std::string& target,
                                                const std::string& body,
                                                const std::string& key) {
  HttpHeaders headers;
  if (!key.empty()) headers.Set("X-Api-Key", key);
  headers.Set("X-Timeout-Ms", "3000");
  return api().SendTo(Address(kCallerPort + entry), method, target, body,
                      headers, nullptr);
}

int HostedCluster::Submit(int entry, const TestJob& job) {
  const auto response =
      Call(entry, "POST", QueuePrefix(job.priority) + job.id,
           JobBody(job, settings_.requires_advice).dump(), KeyFor(job));
  return response ? response->status : 0;
}

int HostedCluster::Cancel(int entry, const TestJob& job) {
  const auto response = Call(
      entry, "DELETE", QueuePrefix(job.priority) + job.id, "", KeyFor(job));
  return response ? response->status : 0;
}

std::string HostedCluster::State(int entry, const TestJob& job) {
  const auto response =
      Call(entry, "GET", QueuePrefix(job.priority) + job.id, "", KeyFor(job));
  if (!response) return "";
  if (response->status == 410) return "gone";
  if (response->status != 200) return "";
  const Json body = ParseJson(response->body).value_or(Json::object());
  return StringField(body, "state").value_or("");
}

std::string HostedCluster::Metrics(int entry) {
  const auto response = api().SendTo(Address(kMetricsPort + entry), "GET",
                                     "/metrics", "", HttpHeaders(), nullptr);
  return response ? response->body : "";
}

std::optional<double> HostedCluster::Metric(int entry,
                                            const std::string& name) {
  std::istringstream lines(Metrics(entry));
  std::string line;
  while (std::getline(lines, line)) {
    if (line.compare(0, name.size() + 1, name + " ") != 0) continue;
    return std::stod(line.substr(name.size() + 1));
  }
  return std::nullopt;
}

bool HostedCluster::IsReplica(int entry) {
  return Metric(entry, "thornplank_is_replica") == 1.0;
}

bool HostedCluster::Control(const std::string& address, const Json& faults) {
  const auto response = api().SendTo(address, "POST", "/control", faults.dump(),
                                     HttpHeaders(), nullptr);
  return response.has_value() && response->status < 300;
}

Json HostedCluster::ControlState(const std::string& address) {
  const auto response =
      api().SendTo(address, "GET", "/control", "", HttpHeaders(), nullptr);
  if (!response) return Json::object();
  return ParseJson(response->body).value_or(Json::object());
}

bool HostedCluster::ControlStore(const Json& faults) {
  return Control(Address(kStorePort), faults);
}

bool HostedCluster::ControlExecutor(int executor, const Json& faults) {
  return Control(Address(kExecutorPort + executor), faults);
}

bool HostedCluster::ControlAdvisor(const Json& faults) {
  return Control(Address(kAdvisorPort), faults);
}

bool HostedCluster::ControlStoreProxy(int entry, const Json& faults) {
  return Control(Address(kStoreProxyControlPort + entry), faults);
}

std::vector<Json> HostedCluster::Runs() {
  std::vector<Json> runs;
  for (int i = 0; i < settings_.executors; ++i) {
    const Json state = ControlState(Address(kExecutorPort + i));
    const Json* rows = ArrayField(state, "runs");
    if (rows == nullptr) continue;
    runs.insert(runs.end(), rows->begin(), rows->end());
  }
  return runs;
}

std::vector<std::string> HostedCluster::CapacityViolations() {
  std::vector<std::string> violations;
  for (int i = 0; i < settings_.executors; ++i) {
    const Json state = ControlState(Address(kExecutorPort + i));
    const Json* rows = ArrayField(state, "violations");
    if (rows == nullptr) continue;
    for (const Json& row : *rows) {
      violations.push_back(row.get<std::string>());
    }
  }
  return violations;
}

std::vector<Json> HostedCluster::Events(int entry, int number) const {
  std::vector<Json> events;
  for (int i = 0; i < start_counts_[static_cast<size_t>(entry)]; ++i) {
    std::ifstream file(LogPath(entry, i));
    std::string line;
    while (std::getline(file, line)) {
      auto event = ParseJson(line);
      if (event && IntField(*event, "event") == number) {
        events.push_back(std::move(*event));
      }
    }
  }
  return events;
}

int HostedCluster::Leader() {
  int leader = -1;
  int64_t epoch = 0;
  for (int i = 0; i < settings_.entries; ++i) {
    auto& process = entries_[static_cast<size_t>(i)];
    if (process == nullptr || !process->running()) continue;
    for (const Json& event : Events(i, events::kLeadershipAcquired.number)) {
      const int64_t taken = IntField(event, "epoch").value_or(0);
      if (taken <= epoch) continue;
      epoch = taken;
      leader = i;
    }
  }
  return leader;
}

Json HostedCluster::Route(int priority) const {
  Json route = {{"name", "queue-" + std::to_string(priority)},
                {"host", ip_},
                {"prefix", QueuePrefix(priority)},
                {"kind", "non_idempotent"},
                {"timeout_ms", 3000},
                {"slo_ms", 1000},
                {"priority", priority},
                {"service", kService},
                {"attempts", 2},
                {"stretch", 3.0},
                {"public", false}};
  if (settings_.requires_advice) {
    route["advice"] = {{"decide_ms", 20}, {"each_ms", 1}, {"valid_ms", 3000}};
  }
  return route;
}

Json HostedCluster::StandinConfig() const {
  Json proxies = Json::array();
  for (int i = 0; i < settings_.entries; ++i) {
    proxies.push_back({{"listen", Address(kStoreProxyPort + i)},
                       {"control", Address(kStoreProxyControlPort + i)},
                       {"target", "users_store"}});
  }
  const Json executors = {{"name_prefix", "x"},
                          {"count", settings_.executors},
                          {"first_address", Address(kExecutorPort)},
                          {"service", kService},
                          {"accelerators", settings_.accelerators},
                          {"racks_of", settings_.executors_per_rack},
                          {"failure_domains", {"a", "b"}}};
  return {{"threads", 2},
          {"users_store", {{"listen", Address(kStorePort)}}},
          {"users_advisor", {{"listen", Address(kAdvisorPort)}}},
          {"users_executors", Json::array({executors})},
          {"proxies", std::move(proxies)}};
}

Json HostedCluster::EntryConfig(int entry) const {
  return {{"name", "entry" + std::to_string(entry)},
          {"failure_domain", "a"},
          {"listen_callers", Address(kCallerPort + entry)},
          {"listen_readiness", Address(kReadinessPort + entry)},
          {"listen_metrics", Address(kMetricsPort + entry)},
          {"listen_entries", Address(kEntryPort + entry)},
          {"store_address", Address(kStoreProxyPort + entry)},
          {"store_record_bytes", settings_.store_record_bytes},
          {"min_replicas", settings_.min_replicas},
          {"longest_lease_ms", settings_.longest_lease.count()},
          {"worker_heartbeat_ms", kWorkerHeartbeat.count()},
          {"advisor_address", Address(kAdvisorPort)}};
}

std::string HostedCluster::Address(int port) const {
  return ip_ + ":" + std::to_string(port);
}

}  // namespace thornplank
