// Hosted entries as real processes, with stand-ins for the users' store and
// executors, and a proxy between each entry and the store.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_CLUSTER_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "child_process.h"
#include "net/http_message.h"
#include "run_folder.h"

namespace thornplank {

class ApiClient;

struct HostedClusterSettings {
  int entries = 3;
  int executors = 6;
  int executors_per_rack = 3;
  int accelerators = 8;
  // Steps of all queues need the advisor's word.
  bool advised = false;
  // How long a caller waits for an answer.
  Milliseconds caller_timeout{4000};
};

// One step of a job as tests submit it.
struct TestStep {
  int count = 1;
  int cpu_millis = 1000;
  int memory_mb = 1000;
  int accelerators = 1;
  bool gang = false;
  bool same_rack = false;
  std::vector<int> depends_on;
  // Runs until its job is cancelled.
  bool long_running = false;
  // Its cores are not reserved, and it may be slowed.
  bool fills = false;
  // Of a serving task; 0 for any other.
  int tail_target_ms = 0;
};

struct TestJob {
  // 16 hexadecimal digits.
  std::string id;
  std::vector<TestStep> steps = {TestStep()};
  int work_ms = 200;
  bool fails = false;
  // Each executor that starts one of its tasks crashes so much later; -1: none
  // does.
  int crash_after_ms = -1;
  // The one task of each step that does so; -1: all do.
  int crash_task = -1;
  // What the tasks do to tails, as the stand-in has it.
  int tail_ms = 0;
  int disturbs_ms = 0;
  // Of which queue; 0 is the urgent one.
  int priority = 1;

  bool crashes() const { return crash_after_ms >= 0; }
};

class HostedCluster {
 public:
  explicit HostedCluster(HostedClusterSettings settings);
  ~HostedCluster();

  // Starts the stand-ins, publishes a configuration and starts every entry;
  // false when they are not ready within a generous limit.
  bool Start();
  void StartEntry(int entry);
  ChildProcess& entry(int entry) {
    return *entries_[static_cast<size_t>(entry)];
  }
  bool WaitReady(int entry, Duration limit = std::chrono::seconds(20));

  // Publishes the next version; without `keyed`, the key of callers is gone.
  bool PublishConfiguration(bool keyed = true);

  // The status of the answer, 0 without one.
  int Submit(int entry, const TestJob& job);
  int Cancel(int entry, const TestJob& job);
  // The state, or "gone", or "" without a usable answer.
  std::string State(int entry, const TestJob& job);
  // One call as the callers make it.
  std::optional<HttpResponse> Call(int entry, const std::string& method,
                                   const std::string& target,
                                   const std::string& body,
                                   const std::string& key);
  std::string Metrics(int entry);

  // Faults of the stand-ins; false when they were not taken.
  bool ControlStore(const Json& faults);
  bool ControlExecutor(int executor, const Json& faults);
  bool ControlAdvisor(const Json& faults);
  bool ControlStoreProxy(int entry, const Json& faults);

  // Every run that the executors have seen.
  std::vector<Json> Runs();
  // Executors that were given more than they have room for.
  std::vector<std::string> CapacityViolations();
  // Where the entry's next life will write its log.
  std::string NextLog(int entry) const;
  // Log lines of one event number, of all lives of the entry.
  std::vector<Json> Events(int entry, int number) const;
  // The entry that said last that it leads, and runs; -1 for none.
  int Leader();

  const HostedClusterSettings& settings() const { return settings_; }
  const std::string& folder() const { return folder_.path(); }
  static std::string PrefixOf(int priority);
  static std::string Key();

  static bool Eventually(const std::function<bool()>& condition,
                         Duration limit = std::chrono::seconds(20));

 private:
  Json StandinConfig() const;
  Json Route(int priority) const;
  Json EntryConfig(int entry) const;
  std::string LogOf(int entry, int life) const;
  std::string Address(int port) const;
  // A client of the calling thread's own, so that threads don't wait for each
  // other.
  ApiClient& api();
  bool Control(const std::string& address, const Json& faults);
  Json ControlState(const std::string& address);

  const HostedClusterSettings settings_;
  // Loopback address of this test process.
  const std::string ip_;
  // Temporary folder for settings and logs; removed at the end.
  RunFolder folder_{"hosted"};
  int version_ = 0;
  std::mutex api_mutex_;
  // Under api_mutex_.
  std::map<std::thread::id, std::unique_ptr<ApiClient>> apis_;
  std::unique_ptr<ChildProcess> standins_;
  std::vector<std::unique_ptr<ChildProcess>> entries_;
  // Starts of each entry, for the names of their logs.
  std::vector<int> starts_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_CLUSTER_H_
