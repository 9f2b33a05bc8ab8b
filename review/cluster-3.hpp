// What the drivers of the third review share: a small deployment of
// thornplank_hosted with the project's stand-ins, all as separate processes on
// loopback addresses, a client, and the record of what was sent and answered.
#ifndef REVIEW_CLUSTER_3_HPP_
#define REVIEW_CLUSTER_3_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Lines with the seconds since the start, in record.txt of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  double now() const {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }
  void Write(const std::string& line) {
    std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", now());
    file_ << time << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

struct Reply {
  // 0 if there was no complete answer.
  int status = 0;
  std::string body;
};

// One request on a connection of its own.
inline Reply Send(const std::string& address, const std::string& method,
                  const std::string& path, const std::string& body = "",
                  const std::string& headers = "", int timeout_ms = 4000) {
  const auto colon = address.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
      static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Reply reply;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return reply;
  }
  std::string host = "Host: " + address + "\r\n";
  if (headers.find("Host:") != std::string::npos) host.clear();
  const std::string text = method + " " + path + " HTTP/1.1\r\n" + host +
                           headers + "Content-Type: application/json\r\n" +
                           "Content-Length: " + std::to_string(body.size()) +
                           "\r\nConnection: close\r\n\r\n" + body;
  send(fd, text.data(), text.size(), MSG_NOSIGNAL);
  std::string got;
  const auto end = Clock::now() + std::chrono::milliseconds(timeout_ms);
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                          end - Clock::now())
                          .count();
    pollfd ready{fd, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) break;
    char buffer[65536];
    const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
    if (size <= 0) break;
    got.append(buffer, static_cast<size_t>(size));
    const auto head = got.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    std::string lower = got.substr(0, head);
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    const auto field = lower.find("content-length:");
    if (field == std::string::npos) continue;
    const size_t length = std::stoul(lower.substr(field + 15));
    if (got.size() >= head + 4 + length) {
      reply.status = std::stoi(got.substr(9, 3));
      reply.body = got.substr(head + 4, length);
      break;
    }
  }
  close(fd);
  return reply;
}

// A program that ends with this one.
class Process {
 public:
  Process(const std::vector<std::string>& command, const std::string& output) {
    id_ = fork();
    if (id_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    std::vector<char*> arguments;
    for (const std::string& text : command) {
      arguments.push_back(const_cast<char*>(text.c_str()));
    }
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept : id_(std::exchange(other.id_, -1)) {}

  bool running() {
    if (id_ > 0 && waitpid(id_, &status_, WNOHANG) == id_) id_ = -1;
    return id_ > 0;
  }
  // How it ended, once it is not running.
  std::string end() const {
    if (WIFSIGNALED(status_)) {
      return "signal " + std::to_string(WTERMSIG(status_));
    }
    return "exit code " + std::to_string(WEXITSTATUS(status_));
  }
  void Signal(int signal) {
    if (running()) kill(id_, signal);
  }
  void Kill() {
    if (id_ <= 0) return;
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
    id_ = -1;
  }

 private:
  pid_t id_ = -1;
  int status_ = 0;
};

struct Settings {
  int entries = 3;
  int executors = 6;
  int attempts = 2;
  // Entries that follow the board; 0 for the default.
  int min_replicas = 0;
};

class Cluster {
 public:
  Cluster(Settings settings, Record* record)
      : settings_(settings), record_(record) {
    char name[] = "/tmp/thornplank-review-XXXXXX";
    folder_ = mkdtemp(name);
    const int entries = settings_.entries;
    ports_ = FreePorts(2 + 6 * entries + settings_.executors);
    size_t next = 0;
    const auto take = [&](int count, std::vector<std::string>* to) {
      for (int i = 0; i < count; ++i) {
        to->push_back("127.0.0.1:" + std::to_string(ports_[next++]));
      }
    };
    std::vector<std::string> single;
    take(2, &single);
    store = single[0];
    advisor = single[1];
    take(entries, &callers);
    take(entries, &readiness);
    take(entries, &metrics);
    take(entries, &between);
    take(entries, &store_proxies);
    take(entries, &store_controls);
    take(settings_.executors, &executors);
  }
  ~Cluster() {
    entries_.clear();
    standins_.clear();
    if (getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf '" + folder_ + "'";
      if (system(command.c_str()) != 0) return;
    }
  }

  bool Start() {
    Json groups = Json::array();
    for (int i = 0; i < settings_.executors; ++i) {
      groups.push_back({{"name_prefix", "x" + std::to_string(i) + "-"},
                        {"count", 1},
                        {"first_address", executors[static_cast<size_t>(i)]},
                        {"service", "claims"},
                        {"accelerators", 8},
                        {"racks_of", 6},
                        {"failure_domains", {i % 2 == 0 ? "a" : "b"}}});
    }
    Json proxies = Json::array();
    for (size_t i = 0; i < callers.size(); ++i) {
      proxies.push_back({{"listen", store_proxies[i]},
                         {"control", store_controls[i]},
                         {"target", "users_store"}});
    }
    const Json config = {{"threads", 2},
                         {"users_store", {{"listen", store}}},
                         {"users_advisor", {{"listen", advisor}}},
                         {"users_executors", groups},
                         {"proxies", proxies}};
    std::ofstream(folder_ + "/standins.json") << config.dump(1);
    standins_.emplace_back(
        std::vector<std::string>{"target/review-3/bin/thornplank_standin",
                                 "--config", folder_ + "/standins.json"},
        folder_ + "/standins.log");
    if (!Eventually(10, [&] { return Control(store, Json::object()); })) {
      return false;
    }
    if (!Configure(3, {"key-of-north"})) return false;
    for (size_t i = 0; i < callers.size(); ++i) StartEntry(i);
    for (size_t i = 0; i < callers.size(); ++i) {
      if (!Eventually(15, [&] {
            return Send(readiness[i], "GET", "/v1/ready").status == 200;
          })) {
        return false;
      }
    }
    record_->Write("all entries are ready");
    return true;
  }

  void StartEntry(size_t entry) {
    const std::string name = folder_ + "/entry" + std::to_string(entry);
    Json settings = {{"name", "entry" + std::to_string(entry)},
                           {"failure_domain", "a"},
                           {"listen_callers", callers[entry]},
                           {"listen_readiness", readiness[entry]},
                           {"listen_metrics", metrics[entry]},
                           {"listen_entries", between[entry]},
                           {"store_address", store_proxies[entry]},
                           {"advisor_address", advisor},
                           {"processor_share", 0.25},
                           {"revocation_bound_ms", 5000},
                           {"configuration_bound_ms", 2000},
                           {"reclaim_bound_ms", 2900},
                           {"cancel_bound_ms", 3000},
                           {"stop_bound_ms", 400},
                           {"gang_patience_ms", 3000},
                           {"longest_lease_ms", 10000},
                           {"stop_grace_s", 6},
                           {"worker_heartbeat_ms", 300},
                           {"log_level", "info"}};
    if (settings_.min_replicas > 0) {
      settings["min_replicas"] = settings_.min_replicas;
    }
    std::ofstream(name + ".json") << settings.dump(1);
    while (entries_.size() <= entry) entries_.emplace_back();
    entries_[entry].clear();
    entries_[entry].emplace_back(
        std::vector<std::string>{"target/bin/thornplank_hosted",
                                 "--settings=" + name + ".json"},
        name + ".log");
  }
  Process& entry(size_t i) { return entries_[i].front(); }

  bool Configure(int version, const std::vector<std::string>& keys) {
    Json routes = Json::array();
    for (int i = 0; i < 3; ++i) {
      routes.push_back({{"name", "queue-" + std::to_string(i)},
                        {"host", "jobs.example"},
                        {"prefix", "/queue" + std::to_string(i) + "/"},
                        {"kind", "non_idempotent"},
                        {"timeout_ms", 3000},
                        {"slo_ms", 1000},
                        {"priority", i},
                        {"service", "claims"},
                        {"attempts", settings_.attempts},
                        {"stretch", 3.0},
                        {"public", false}});
    }
    const Json services = {{{"name", "claims"}, {"admission_check", false}}};
    const Json tenants = {
        {{"name", "north"}, {"api_keys", keys}, {"guaranteed", {{"gpu", 16}}}},
        {{"name", "south"}, {"api_keys", {"key-of-south"}}}};
    const Json config = {{"version", version},
                         {"routes", routes},
                         {"services", services},
                         {"limits", {{"max_body_bytes", 65536}}},
                         {"tenants", tenants}};
    return Control(store, {{"put_operator", config.dump()}});
  }

  // A call of the client, at one entry.
  Reply Call(size_t entry, const std::string& method, const std::string& path,
             const std::string& body = "",
             const std::string& account = "north") {
    const Reply reply = Send(callers[entry], method, path, body,
                             "Host: jobs.example\r\nX-Api-Key: key-of-" +
                                 account + "\r\nX-Timeout-Ms: 3000\r\n");
    record_->Write(account + ", entry " + std::to_string(entry) + ": " +
                   method + " " + path + " -> " +
                   (reply.status == 0 ? "no answer"
                                      : std::to_string(reply.status)) +
                   " " + reply.body);
    return reply;
  }

  bool Control(const std::string& address, const Json& controls) {
    const int status = Send(address, "POST", "/control", controls.dump()).status;
    return status >= 200 && status < 300;
  }

  // The runs of all executors as they saw them, in the order of their starts.
  std::vector<Json> Runs() {
    std::vector<Json> runs;
    for (const std::string& executor : executors) {
      const Reply reply = Send(executor, "GET", "/control");
      const Json state = Json::parse(reply.body, nullptr, false);
      if (!state.is_object() || !state.contains("runs")) continue;
      for (const Json& run : state["runs"]) runs.push_back(run);
    }
    std::sort(runs.begin(), runs.end(), [](const Json& a, const Json& b) {
      return a["began_ms"] < b["began_ms"];
    });
    return runs;
  }

  template <typename Condition>
  bool Eventually(double limit, const Condition& condition) {
    const double end = record_->now() + limit;
    while (record_->now() < end) {
      if (condition()) return true;
      Sleep(0.05);
    }
    return false;
  }

  std::string store;
  std::string advisor;
  std::vector<std::string> callers;
  std::vector<std::string> readiness;
  std::vector<std::string> metrics;
  std::vector<std::string> between;
  std::vector<std::string> store_proxies;
  std::vector<std::string> store_controls;
  std::vector<std::string> executors;

 private:
  // Below the ports of outgoing connections, which could take them meanwhile.
  static std::vector<int> FreePorts(int count) {
    std::vector<int> sockets;
    std::vector<int> ports;
    int port = 12000 + getpid() * 97 % 18000;
    for (int tried = 0; tried < 2000; ++tried) {
      if (static_cast<int>(ports.size()) == count) break;
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      at.sin_port = htons(static_cast<uint16_t>(++port));
      if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0) {
        ports.push_back(port);
      }
      sockets.push_back(fd);
    }
    for (const int fd : sockets) close(fd);
    return ports;
  }

  Settings settings_;
  Record* record_;
  std::string folder_;
  std::vector<int> ports_;
  std::vector<Process> standins_;
  // Each holds one process, or none.
  std::vector<std::vector<Process>> entries_;
};

inline bool IsTroubled() {
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review

#endif  // REVIEW_CLUSTER_3_HPP_
