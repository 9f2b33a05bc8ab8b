// Runs stand-ins and entries as real processes and sends requests to them.
//
// Every test process uses its own loopback address, derived from its process
// id, so that tests can run in parallel.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_TEST_CLUSTER_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_TEST_CLUSTER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "child_process.h"
#include "net/http_message.h"
#include "run_folder.h"

namespace thornplank {

class ApiClient;

struct TestClusterSettings {
  int entries = 3;
  int workers = 6;
  int accelerators_per_worker = 8;
  int workers_per_rack = 3;
  int checkpoint_ms = 100;
  int executors = 4;
  int slots_per_executor = 8;
  int service_time_ms = 10;
  int appends_per_second = 400;
  int instance_list_lag_ms = 200;
  // The entries reach the log through the fault-injecting proxy.
  bool proxy_log = false;
  // The entries reach each executor through its own proxy.
  bool proxy_executors = false;
  // The entries reach each other through proxies of the peer protocol.
  bool proxy_peers = false;
  // Merged into every entry's settings file.
  Json entry_overrides = Json::object();
};

class TestCluster {
 public:
  explicit TestCluster(TestClusterSettings settings);
  ~TestCluster();

  // Starts the stand-ins and every entry and waits until all are ready; false
  // if one of them is not ready in time.
  bool Start();

  // Merges `changes` into the entry's settings file for this start only.
  void StartEntry(int entry, const Json& changes = Json::object());
  ChildProcess& entry(int entry) { return *entries_[entry]; }
  ChildProcess& standins() { return *standins_; }
  bool WaitReady(int entry, Duration limit = std::chrono::seconds(20));

  // Sends one request with the operator's token; nullopt without an answer.
  std::optional<HttpResponse> Call(int entry, const std::string& method,
                                   const std::string& target,
                                   const Json& body = Json(),
                                   const HttpHeaders& headers = HttpHeaders());
  // The JSON body of the answer; an empty object without one.
  Json CallJson(int entry, const std::string& method, const std::string& target,
                const Json& body = Json());
  // Sends a request of `account` to the service "claims". It is idempotent if
  // `key` is empty.
  std::optional<HttpResponse> SendRequest(
      int entry, const std::string& account, const std::string& id,
      const std::string& key = "", Milliseconds deadline = Milliseconds(3000));
  // Replaces a node of the settings tree; true if accepted.
  bool PutNode(int entry, const std::string& path, const Json& own_values);

  // Sets faults of a stand-in; false if it did not accept them.
  bool Control(const std::string& address, const Json& faults);
  Json ControlState(const std::string& address);
  // Waits until `condition` holds; false after `limit`.
  static bool Eventually(const std::function<bool()>& condition,
                         Duration limit = std::chrono::seconds(20));

  // All runs that the executors recorded.
  std::vector<Json> Runs();
  // Number of runs whose Idempotency-Key is `key`.
  int RunsOfKey(const std::string& key);

  std::string log_address() const;
  std::string instance_list_address() const;
  std::string worker_address(int worker) const;
  std::string executor_address(int executor) const;
  std::string entry_address(int entry) const;
  // Control addresses of the proxies.
  std::string log_proxy_control() const;
  std::string executor_proxy_control(int executor) const;
  std::string peer_proxy_control(int entry) const;

  // The log lines of the entry with this event number, of all its starts.
  std::vector<Json> Events(int entry, int number) const;
  const std::string& folder() const { return folder_.path(); }

 private:
  Json StandinConfig() const;
  Json EntryConfig(int entry) const;
  std::string Address(int port) const;
  void WriteFile(const std::string& name, const Json& content) const;

  TestClusterSettings settings_;
  // Loopback address of this test process.
  std::string ip_;
  // Holds settings and logs.
  RunFolder folder_{"test"};
  std::unique_ptr<ApiClient> api_;
  std::unique_ptr<ChildProcess> standins_;
  std::vector<std::unique_ptr<ChildProcess>> entries_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_TEST_CLUSTER_H_
