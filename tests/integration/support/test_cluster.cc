// Writes settings files, starts processes and sends requests.
#include "test_cluster.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include "client/api_client.h"

namespace thornplank {
namespace {

constexpr int kLogPort = 9000;
constexpr int kInstanceListPort = 9001;
constexpr int kLogProxyPort = 9002;
constexpr int kLogProxyControlPort = 9003;
constexpr int kEntryHttpPort = 8000;
constexpr int kEntryPeerPort = 8100;
constexpr int kPeerProxyPort = 8200;
constexpr int kPeerProxyControlPort = 8300;
constexpr int kWorkerPort = 10000;
constexpr int kExecutorPort = 12000;
constexpr int kExecutorProxyPort = 13000;
constexpr int kExecutorProxyControlPort = 14000;
constexpr Milliseconds kPollInterval{20};
constexpr char kOperatorToken[] = "operator-secret";

std::string LoopbackAddress() {
  const int id = ::getpid();
  return "127." + std::to_string(10 + ((id >> 14) & 63)) + "." +
         std::to_string((id >> 7) & 127) + "." + std::to_string((id & 127) + 1);
}

constexpr const char* kDomains[] = {"a", "b", "c", "d"};

Json ProxyConfig(const std::string& listen, const std::string& target,
                 const std::string& control) {
  return {{"listen", listen}, {"target", target}, {"control", control}};
}

}  // namespace

TestCluster::TestCluster(TestClusterSettings settings)
    : settings_(std::move(settings)), ip_(LoopbackAddress()) {
  ApiClientSettings api;
  api.token = kOperatorToken;
  api.timeout = std::chrono::seconds(10);
  api_ = std::make_unique<ApiClient>(api);
  entries_.resize(static_cast<size_t>(settings_.entries));
}

TestCluster::~TestCluster() {
  entries_.clear();
  standins_.reset();
}

bool TestCluster::Start() {
  WriteFile("standins.json", StandinConfig());
  standins_ = std::make_unique<ChildProcess>(
      THORNPLANK_STANDIN,
      std::vector<std::string>{"--config", folder() + "/standins.json"},
      folder() + "/standins.log");
  const bool up = Eventually([this] {
    return Control(log_address(), Json::object()) &&
           Control(instance_list_address(), Json::object());
  });
  if (!up) return false;
  for (int i = 0; i < settings_.entries; ++i) StartEntry(i);
  for (int i = 0; i < settings_.entries; ++i) {
    if (!WaitReady(i)) return false;
  }
  return true;
}

void TestCluster::StartEntry(int entry, const Json& changes) {
  const std::string name = "entry" + std::to_string(entry);
  Json config = EntryConfig(entry);
  config.merge_patch(changes);
  WriteFile(name + ".json", config);
  // Each start gets its own log file, so that Events() finds the earlier ones.
  int start = 0;
  while (std::filesystem::exists(folder() + "/" + name + "-" +
                                 std::to_string(start) + ".log")) {
    ++start;
  }
  entries_[entry] = std::make_unique<ChildProcess>(
      THORNPLANK_ENTRY,
      std::vector<std::string>{"--settings", folder() + "/" + name + ".json"},
      folder() + "/" + name + "-" + std::to_string(start) + ".log");
}

bool TestCluster::WaitReady(int entry, Duration limit) {
  return Eventually(
      [this, entry] {
        const auto response = Call(entry, "GET", "/readyz");
        return response.has_value() && response->status == 200;
      },
      limit);
}

std::optional<HttpResponse> TestCluster::Call(int entry,
                                              const std::string& method,
                                              const std::string& target,
                                              const Json& body,
                                              const HttpHeaders& headers) {
  return api_->SendTo(entry_address(entry), method, target,
                      body.is_null() ? "" : body.dump(), headers, nullptr);
}

Json TestCluster::CallJson(int entry, const std::string& method,
                           const std::string& target, const Json& body) {
  const auto response = Call(entry, method, target, body);
  if (!response.has_value()) return Json::object();
  return ParseJson(response->body).value_or(Json::object());
}

std::optional<HttpResponse> TestCluster::SendRequest(int entry,
                                                     const std::string& account,
                                                     const std::string& id,
                                                     const std::string& key,
                                                     Milliseconds deadline) {
  HttpHeaders headers;
  headers.Set("Thornplank-Account", account);
  headers.Set("Thornplank-Deadline-Ms", std::to_string(deadline.count()));
  if (!key.empty()) {
    headers.Set("Idempotency-Key", key);
    headers.Set(
        "Idempotency-Key-Time",
        std::to_string(ToUnixMilliseconds(std::chrono::system_clock::now())));
  }
  return Call(entry, "POST", "/v1/services/claims/requests", {{"id", id}},
              headers);
}

bool TestCluster::PutNode(int entry, const std::string& path,
                          const Json& own_values) {
  const auto current = Call(entry, "GET", "/v1/settings/" + path);
  if (!current.has_value()) return false;
  HttpHeaders headers;
  headers.Set("If-Match", current->status == 200
                              ? current->headers.Value("ETag")
                              : "\"0\"");
  const auto response =
      Call(entry, "PUT", "/v1/settings/" + path, own_values, headers);
  return response.has_value() && response->status == 200;
}

bool TestCluster::Control(const std::string& address, const Json& faults) {
  const auto response = api_->SendTo(address, "POST", "/control", faults.dump(),
                                     HttpHeaders(), nullptr);
  return response.has_value() && response->status == 200;
}

Json TestCluster::ControlState(const std::string& address) {
  const auto response =
      api_->SendTo(address, "GET", "/control", "", HttpHeaders(), nullptr);
  if (!response.has_value()) return Json::object();
  return ParseJson(response->body).value_or(Json::object());
}

bool TestCluster::Eventually(const std::function<bool()>& condition,
                             Duration limit) {
  const Time end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::vector<Json> TestCluster::Runs() {
  std::vector<Json> all;
  for (int i = 0; i < settings_.executors; ++i) {
    const Json state = ControlState(executor_address(i));
    const Json* runs = ArrayField(state, "runs");
    if (runs == nullptr) continue;
    for (const Json& run : *runs) all.push_back(run);
  }
  return all;
}

int TestCluster::RunsOfKey(const std::string& key) {
  int count = 0;
  for (const Json& run : Runs()) {
    if (StringField(run, "key").value_or("") == key) ++count;
  }
  return count;
}

std::string TestCluster::Address(int port) const {
  return ip_ + ":" + std::to_string(port);
}

std::string TestCluster::log_address() const { return Address(kLogPort); }
std::string TestCluster::instance_list_address() const {
  return Address(kInstanceListPort);
}
std::string TestCluster::worker_address(int worker) const {
  return Address(kWorkerPort + worker);
}
std::string TestCluster::executor_address(int executor) const {
  return Address(kExecutorPort + executor);
}
std::string TestCluster::entry_address(int entry) const {
  return Address(kEntryHttpPort + entry);
}
std::string TestCluster::log_proxy_control() const {
  return Address(kLogProxyControlPort);
}
std::string TestCluster::executor_proxy_control(int executor) const {
  return Address(kExecutorProxyControlPort + executor);
}
std::string TestCluster::peer_proxy_control(int entry) const {
  return Address(kPeerProxyControlPort + entry);
}

std::vector<Json> TestCluster::Events(int entry, int number) const {
  std::vector<Json> found;
  const std::string prefix = "entry" + std::to_string(entry) + "-";
  for (const auto& file : std::filesystem::directory_iterator(folder())) {
    if (file.path().filename().string().rfind(prefix, 0) != 0) continue;
    std::ifstream lines(file.path());
    for (std::string line; std::getline(lines, line);) {
      const std::optional<Json> event = ParseJson(line);
      if (!event.has_value() || IntField(*event, "event") != number) continue;
      found.push_back(*event);
    }
  }
  return found;
}

Json TestCluster::StandinConfig() const {
  Json proxies = Json::array();
  if (settings_.proxy_log) {
    proxies.push_back(ProxyConfig(Address(kLogProxyPort), log_address(),
                                  log_proxy_control()));
  }
  for (int i = 0; settings_.proxy_peers && i < settings_.entries; ++i) {
    proxies.push_back(ProxyConfig(Address(kPeerProxyPort + i),
                                  Address(kEntryPeerPort + i),
                                  peer_proxy_control(i)));
  }
  Json instances = Json::array();
  for (int i = 0; settings_.proxy_executors && i < settings_.executors; ++i) {
    proxies.push_back(ProxyConfig(Address(kExecutorProxyPort + i),
                                  executor_address(i),
                                  executor_proxy_control(i)));
    instances.push_back({{"name", "x" + std::to_string(i)},
                         {"kind", "executor"},
                         {"address", Address(kExecutorProxyPort + i)},
                         {"failure_domain", kDomains[i % 2]},
                         {"state", "live"},
                         {"service", "claims"},
                         {"slots", settings_.slots_per_executor}});
  }
  for (int i = 0; settings_.proxy_executors && i < settings_.workers; ++i) {
    instances.push_back(
        {{"name", "w" + std::to_string(i)},
         {"kind", "worker"},
         {"address", worker_address(i)},
         {"failure_domain", kDomains[i % 2]},
         {"state", "live"},
         {"rack", "r" + std::to_string(i / settings_.workers_per_rack)},
         {"accelerators", settings_.accelerators_per_worker},
         {"cores", 64},
         {"memory_mb", 256000}});
  }
  return {{"log",
           {{"listen", log_address()},
            {"appends_per_second", settings_.appends_per_second}}},
          {"instance_list",
           {{"listen", instance_list_address()},
            {"lag_ms", settings_.instance_list_lag_ms},
            {"instances", instances},
            {"include_own", !settings_.proxy_executors}}},
          {"workers",
           {{{"name_prefix", "w"},
             {"count", settings_.workers},
             {"first_address", worker_address(0)},
             {"accelerators", settings_.accelerators_per_worker},
             {"cores", 64},
             {"memory_mb", 256000},
             {"racks_of", settings_.workers_per_rack},
             {"failure_domains", {"a", "b"}},
             {"checkpoint_ms", settings_.checkpoint_ms}}}},
          {"executors",
           {{{"name_prefix", "x"},
             {"count", settings_.executors},
             {"first_address", executor_address(0)},
             {"service", "claims"},
             {"slots", settings_.slots_per_executor},
             {"max_connections", 60},
             {"service_time_ms", settings_.service_time_ms},
             {"failure_domains", {"a", "b"}}}}},
          {"proxies", proxies}};
}

Json TestCluster::EntryConfig(int entry) const {
  Json peers = Json::array();
  for (int i = 0; i < settings_.entries; ++i) {
    if (i == entry) continue;
    peers.push_back(
        Address((settings_.proxy_peers ? kPeerProxyPort : kEntryPeerPort) + i));
  }
  Json config = {
      {"name", "entry" + std::to_string(entry)},
      {"region", "test"},
      {"failure_domain", kDomains[entry % 4]},
      {"listen_http", entry_address(entry)},
      {"listen_peers", Address(kEntryPeerPort + entry)},
      {"peers", peers},
      {"peer_secret", "inner-secret"},
      {"log_address",
       settings_.proxy_log ? Address(kLogProxyPort) : log_address()},
      {"instance_list_address", instance_list_address()},
      {"threads", 2},
      {"tokens",
       {{{"name", "operator"}, {"token", kOperatorToken}, {"role", "operator"}},
        {{"name", "north-app"},
         {"token", "north-secret"},
         {"role", "caller"},
         {"account", "north"}}}}};
  config.merge_patch(settings_.entry_overrides);
  return config;
}

void TestCluster::WriteFile(const std::string& name,
                            const Json& content) const {
  std::ofstream(folder() + "/" + name) << content.dump(2) << "\n";
}

}  // namespace thornplank
