// Runs hosted entries as real processes, with stand-ins for the users' store,
// advisor and executors, and a fault-injecting proxy between each entry and the
// store.
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
  // Steps in all queues need the advisor's approval of their placement.
  bool requires_advice = false;
  // Least number of entries that are replicas; by default all are.
  int min_replicas = 8;
  // The largest record of the store, as the entries are told.
  int store_record_bytes = 262144;
  // Upper bound on the leases of executors.
  Milliseconds longest_lease{10000};
  // Time-out of a caller's request.
  Milliseconds caller_timeout{4000};
  // Guaranteed accelerators of further accounts, beside "north" and "south".
  std::vector<int> further_guarantees;
};

// One step of a TestJob.
struct TestStep {
  int count = 1;
  int cpu_millis = 1000;
  int memory_mb = 1000;
  int accelerators = 1;
  bool gang = false;
  bool same_rack = false;
  std::vector<int> depends_on;
  // Its tasks run until the job is cancelled.
  bool long_running = false;
  // Its cores are not reserved, and its tasks may be throttled.
  bool is_filler = false;
  // For serving tasks; 0 for all others.
  int tail_latency_target_ms = 0;
};

struct TestJob {
  // 16 hexadecimal digits.
  std::string id;
  std::vector<TestStep> steps = {TestStep()};
  int work_ms = 200;
  bool fails = false;
  // The number of first runs of each task that fail.
  int failing_runs = 0;
  // Length of the checkpoints that the tasks report; 0 for none.
  int checkpoint_bytes = 0;
  // Time from the start of a task to the crash of its executor; -1 if the tasks
  // crash no executor.
  int crash_after_ms = -1;
  // Index of the only task of each step that crashes its executor; -1 if all
  // tasks do.
  int crash_task = -1;
  // Tail latency that the executor stand-in reports for the tasks without
  // interference.
  int tail_latency_ms = 0;
  // What each task adds to the tail latency of other tasks at full speed.
  int interference_ms = 0;
  // Number of the queue; 0 is the urgent one.
  int priority = 1;
  // API key of the account that submits the job; empty for "north".
  std::string account_key;

  bool crashes() const { return crash_after_ms >= 0; }
};

class HostedCluster {
 public:
  explicit HostedCluster(HostedClusterSettings settings);
  ~HostedCluster();

  // Starts the stand-ins, publishes a configuration and starts every entry;
  // false if one of them is not ready in time.
  bool Start();
  void StartEntry(int entry);
  ChildProcess& entry(int entry) {
    return *entries_[static_cast<size_t>(entry)];
  }
  bool WaitReady(int entry, Duration limit = std::chrono::seconds(20));

  // Publishes the next version of the configuration. It contains AccountKey()
  // only if `with_account_key` is true.
  bool PublishConfiguration(bool with_account_key = true);

  // The HTTP status; 0 without an answer.
  int Submit(int entry, const TestJob& job);
  int Cancel(int entry, const TestJob& job);
  // The state of the job; "gone" if the entry does not know the job; empty
  // without a usable answer.
  std::string State(int entry, const TestJob& job);
  // Sends one request with `key` as API key, or without one if it is empty.
  std::optional<HttpResponse> Call(int entry, const std::string& method,
                                   const std::string& target,
                                   const std::string& body,
                                   const std::string& key);
  std::string Metrics(int entry);
  // The value of the metric with this name and labels, as the text form shows
  // them; nullopt if it is missing.
  std::optional<double> Metric(int entry, const std::string& name);
  // Whether the entry follows the board.
  bool IsReplica(int entry);

  // Set faults of a stand-in; false if it did not accept them.
  bool ControlStore(const Json& faults);
  bool ControlExecutor(int executor, const Json& faults);
  bool ControlAdvisor(const Json& faults);
  bool ControlStoreProxy(int entry, const Json& faults);

  // All runs that the executors recorded.
  std::vector<Json> Runs();
  // One line for each time that an executor was given more work than its
  // capacity.
  std::vector<std::string> CapacityViolations();
  // The log file of the entry's next incarnation.
  std::string NextLogPath(int entry) const;
  // Log lines with this event number, of all incarnations of the entry.
  std::vector<Json> Events(int entry, int number) const;
  // The running entry that logged the highest leadership epoch; -1 if there is
  // none.
  int Leader();

  const HostedClusterSettings& settings() const { return settings_; }
  const std::string& folder() const { return folder_.path(); }
  // Keeps the settings and logs beyond this object.
  void KeepFolder() { folder_.Keep(); }
  static std::string QueuePrefix(int priority);
  // Of the account "north", which submits all jobs that name no other key.
  static std::string AccountKey();
  // Of the account "south".
  static std::string OtherAccountKey();
  // Of one of the accounts with `further_guarantees`.
  static std::string FurtherAccountKey(int account);

  static bool Eventually(const std::function<bool()>& condition,
                         Duration limit = std::chrono::seconds(20));

 private:
  Json StandinConfig() const;
  Json Route(int priority) const;
  Json EntryConfig(int entry) const;
  std::string LogPath(int entry, int incarnation) const;
  std::string Address(int port) const;
  // The client of the calling thread. Each thread has its own, so that threads
  // do not wait for each other.
  ApiClient& api();
  bool Control(const std::string& address, const Json& faults);
  Json ControlState(const std::string& address);

  const HostedClusterSettings settings_;
  // Loopback address of this test process.
  const std::string ip_;
  // Holds settings and logs.
  RunFolder folder_{"hosted"};
  int version_ = 0;
  std::mutex api_mutex_;
  // Guarded by api_mutex_.
  std::map<std::thread::id, std::unique_ptr<ApiClient>> apis_;
  std::unique_ptr<ChildProcess> standins_;
  std::vector<std::unique_ptr<ChildProcess>> entries_;
  // Number of starts of each entry; part of the names of its logs.
  std::vector<int> start_counts_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_HOSTED_CLUSTER_H_
