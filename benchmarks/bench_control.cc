// Measures what control costs each entry of a cluster that serves no requests:
// processor time, memory and bytes per second, for different numbers of
// entries, workers, running tasks and client accounts.
//
// Each row of the result has its own cluster of real processes. After the
// settle time, /metrics of every entry is read twice. The coordinator and one
// of the other entries are printed.
#include <gflags/gflags.h>

#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "base/json.h"
#include "test_cluster.h"

DEFINE_string(rows, "",
              "rows as entries:workers:tasks:accounts,...; empty for all");
DEFINE_int32(seconds, 12, "seconds measured per row");
DEFINE_bool(takeover, false,
            "also kill the coordinator of each row and time the takeover");

namespace thornplank {
namespace {

constexpr Milliseconds kSettleTime{4000};
constexpr int kJobMembers = 32;
constexpr int kLongRunMs = 3600 * 1000;
// Log events of the coordinator, see docs/EVENTS.md.
constexpr int kEpochWon = 500;
constexpr int kTakeoverDone = 501;

struct Row {
  int entries = 3;
  int workers = 50;
  int tasks = 0;
  int accounts = 4;
};

// Counters of one entry, read at the same time.
struct Sample {
  double cpu_seconds = 0;
  double resident_bytes = 0;
  // Bytes sent and received, by kind of peer.
  std::map<std::string, double> bytes;
};

double MetricValue(const std::string& text, const std::string& name) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.compare(0, name.size() + 1, name + " ") != 0) continue;
    return std::atof(line.c_str() + name.size() + 1);
  }
  return 0;
}

Sample Scrape(TestCluster& cluster, int entry) {
  Sample sample;
  const auto response = cluster.Call(entry, "GET", "/metrics");
  if (!response.has_value()) return sample;
  const std::string& text = response->body;
  sample.cpu_seconds = MetricValue(text, "process_cpu_seconds_total");
  sample.resident_bytes = MetricValue(text, "process_resident_memory_bytes");
  for (const char* destination : {"platform", "workers", "executors"}) {
    const std::string label = std::string("{to=\"") + destination + "\"}";
    sample.bytes[destination] =
        MetricValue(text, "thornplank_client_bytes_sent" + label) +
        MetricValue(text, "thornplank_client_bytes_received" + label);
  }
  sample.bytes["peers"] = MetricValue(text, "thornplank_peer_bytes_sent") +
                          MetricValue(text, "thornplank_peer_bytes_received");
  return sample;
}

bool CreateAccounts(TestCluster& cluster, int accounts) {
  for (int i = 0; i < accounts; ++i) {
    if (!cluster.PutNode(0, "account" + std::to_string(i),
                         {{"kind", "account"}})) {
      return false;
    }
  }
  return true;
}

// Submits gangs of at most kJobMembers members, with one accelerator each,
// until there are row.tasks members, and waits until all gangs run.
bool StartTasks(TestCluster& cluster, const Row& row) {
  int submitted_jobs = 0;
  for (int submitted_tasks = 0; submitted_tasks < row.tasks;
       submitted_tasks += kJobMembers) {
    const int members = std::min(kJobMembers, row.tasks - submitted_tasks);
    const Json job = cluster.CallJson(
        0, "POST", "/v1/jobs",
        {{"name", "long"},
         {"account", "account" + std::to_string(submitted_jobs % row.accounts)},
         {"members", members},
         {"accelerators", 1},
         {"adjacency", "none"},
         {"run_time_ms", kLongRunMs},
         {"task", {{"run_ms", kLongRunMs}}}});
    if (!job.contains("id")) {
      std::cerr << "submit: " << job.dump() << "\n";
      return false;
    }
    ++submitted_jobs;
  }
  return TestCluster::Eventually(
      [&] {
        const Json all = cluster.CallJson(0, "GET", "/v1/jobs");
        const Json* jobs = ArrayField(all, "jobs");
        int running = 0;
        for (const Json& job : jobs == nullptr ? Json::array() : *jobs) {
          if (StringField(job, "phase") == "running") ++running;
        }
        return running >= submitted_jobs;
      },
      std::chrono::seconds(90));
}

void PrintEntry(const Row& row, const std::string& role, const Sample& before,
                const Sample& after, double seconds) {
  std::cout << row.entries << " | " << row.workers << " | " << row.tasks
            << " | " << row.accounts << " | " << role << " | "
            << 100 * (after.cpu_seconds - before.cpu_seconds) / seconds << " | "
            << after.resident_bytes / 1e6;
  double total = 0;
  for (const char* destination :
       {"platform", "workers", "executors", "peers"}) {
    const double rate =
        (after.bytes.at(destination) - before.bytes.at(destination)) / seconds /
        1e3;
    total += rate;
    std::cout << " | " << rate;
  }
  std::cout << " | " << total << std::endl;
}

// Wall-clock milliseconds from `killed_at` to the first later event `number` of
// any entry; -1 if there is none yet.
int64_t MillisecondsSinceKill(const TestCluster& cluster, const Row& row,
                              int number, int64_t killed_at) {
  int64_t first = -1;
  for (int i = 0; i < row.entries; ++i) {
    for (const Json& event : cluster.Events(i, number)) {
      const int64_t after = IntField(event, "time_ms").value_or(0) - killed_at;
      if (after >= 0 && (first < 0 || after < first)) first = after;
    }
  }
  return first;
}

void KillCoordinator(TestCluster& cluster, const Row& row) {
  for (int i = 0; i < row.entries; ++i) {
    const Json status = cluster.CallJson(i, "GET", "/v1/status");
    if (!BoolField(status, "is_coordinator").value_or(false)) continue;
    const int64_t killed_at =
        ToUnixMilliseconds(std::chrono::system_clock::now());
    cluster.entry(i).Kill();
    const bool done = TestCluster::Eventually(
        [&] {
          return MillisecondsSinceKill(cluster, row, kTakeoverDone,
                                       killed_at) >= 0;
        },
        std::chrono::seconds(60));
    std::cout << "takeover with " << row.workers << " workers, " << row.tasks
              << " tasks: epoch after "
              << MillisecondsSinceKill(cluster, row, kEpochWon, killed_at)
              << " ms, workers heard and gangs adopted after "
              << MillisecondsSinceKill(cluster, row, kTakeoverDone, killed_at)
              << " ms" << (done ? "" : " (not done)") << std::endl;
    return;
  }
}

bool Measure(const Row& row) {
  TestClusterSettings settings;
  settings.entries = row.entries;
  settings.workers = row.workers;
  settings.executors = 8;
  // Up to 100 workers model the present machines, with eight accelerators each;
  // larger clusters model the planned ones, with a single accelerator each.
  constexpr int kMaxSmallCluster = 100;
  settings.accelerators_per_worker = row.workers <= kMaxSmallCluster ? 8 : 1;
  if (row.tasks > row.workers * settings.accelerators_per_worker) {
    settings.accelerators_per_worker =
        (row.tasks + row.workers - 1) / row.workers;
  }
  settings.workers_per_rack = 6;
  TestCluster cluster(settings);
  if (!cluster.Start() || !CreateAccounts(cluster, row.accounts) ||
      !StartTasks(cluster, row)) {
    std::cerr << "row did not start\n";
    return false;
  }
  std::this_thread::sleep_for(kSettleTime);
  std::vector<Sample> before;
  before.reserve(static_cast<size_t>(row.entries));
  for (int i = 0; i < row.entries; ++i) before.push_back(Scrape(cluster, i));
  const Time begin = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  bool other_shown = false;
  for (int i = 0; i < row.entries; ++i) {
    const Sample after = Scrape(cluster, i);
    const Json status = cluster.CallJson(i, "GET", "/v1/status");
    const bool coordinator =
        BoolField(status, "is_coordinator").value_or(false);
    if (!coordinator && other_shown) continue;
    if (!coordinator) other_shown = true;
    PrintEntry(row, coordinator ? "coordinator" : "other", before[i], after,
               seconds);
  }
  if (FLAGS_takeover) KillCoordinator(cluster, row);
  return true;
}

std::vector<Row> ParseRows() {
  if (FLAGS_rows.empty()) {
    return {{2, 50, 0, 4},    {4, 50, 0, 4},    {8, 50, 0, 4},
            {4, 200, 0, 4},   {4, 400, 0, 4},   {4, 50, 200, 4},
            {4, 50, 400, 4},  {4, 50, 400, 27}, {4, 400, 400, 4},
            {8, 400, 400, 27}};
  }
  std::vector<Row> rows;
  std::istringstream stream(FLAGS_rows);
  for (std::string text; std::getline(stream, text, ',');) {
    Row row;
    char colon = 0;
    std::istringstream fields(text);
    fields >> row.entries >> colon >> row.workers >> colon >> row.tasks >>
        colon >> row.accounts;
    rows.push_back(row);
  }
  return rows;
}

int Run() {
  std::cout << "entries | workers | tasks | accounts | role | core % | MB | "
               "platform kB/s | workers kB/s | executors kB/s | peers kB/s | "
               "total kB/s\n"
               "---|---|---|---|---|---|---|---|---|---|---|---"
            << std::endl;
  bool success = true;
  for (const Row& row : ParseRows()) success = Measure(row) && success;
  return success ? 0 : 1;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::Run();
}
