// What control costs an entry: processor time, memory and bytes a second
// against the counts of entries, workers, running tasks and client accounts,
// on real processes with nothing else to do.
//
// Each row starts its own processes, lets them settle, and reads /metrics of
// every entry twice. The coordinator and the others are shown apart.
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
DEFINE_int32(seconds, 12, "time measured per row");
DEFINE_bool(takeover, false,
            "then kills the coordinator of each row and times the takeover");

namespace thornplank {
namespace {

constexpr Milliseconds kSettle{4000};
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

// One entry's counters at one moment.
struct Sample {
  double cpu_seconds = 0;
  double resident_bytes = 0;
  // Bytes both ways, by what they serve.
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

Sample Read(TestCluster& cluster, int entry) {
  Sample sample;
  const auto response = cluster.Call(entry, "GET", "/metrics");
  if (!response.has_value()) return sample;
  const std::string& text = response->body;
  sample.cpu_seconds = MetricValue(text, "process_cpu_seconds_total");
  sample.resident_bytes = MetricValue(text, "process_resident_memory_bytes");
  for (const char* to : {"platform", "workers", "executors"}) {
    const std::string label = std::string("{to=\"") + to + "\"}";
    sample.bytes[to] =
        MetricValue(text, "thornplank_client_bytes_sent" + label) +
        MetricValue(text, "thornplank_client_bytes_received" + label);
  }
  sample.bytes["peers"] = MetricValue(text, "thornplank_peer_bytes_sent") +
                          MetricValue(text, "thornplank_peer_bytes_received");
  return sample;
}

bool MakeAccounts(TestCluster& cluster, int accounts) {
  for (int i = 0; i < accounts; ++i) {
    if (!cluster.PutNode(0, "account" + std::to_string(i),
                         {{"kind", "account"}})) {
      return false;
    }
  }
  return true;
}

// Gangs of kJobMembers with one accelerator each until `tasks` members run.
bool StartTasks(TestCluster& cluster, const Row& row) {
  int wanted = 0;
  for (int started = 0; started < row.tasks; started += kJobMembers) {
    const int members = std::min(kJobMembers, row.tasks - started);
    const Json job = cluster.CallJson(
        0, "POST", "/v1/jobs",
        {{"name", "long"},
         {"account", "account" + std::to_string(wanted % row.accounts)},
         {"members", members},
         {"accelerators", 1},
         {"adjacency", "none"},
         {"run_time_ms", kLongRunMs},
         {"task", {{"run_ms", kLongRunMs}}}});
    if (!job.contains("id")) {
      std::cerr << "submit: " << job.dump() << "\n";
      return false;
    }
    ++wanted;
  }
  return TestCluster::Eventually(
      [&] {
        const Json all = cluster.CallJson(0, "GET", "/v1/jobs");
        const Json* jobs = ArrayField(all, "jobs");
        int running = 0;
        for (const Json& job : jobs == nullptr ? Json::array() : *jobs) {
          if (StringField(job, "phase") == "running") ++running;
        }
        return running >= wanted;
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
  for (const char* to : {"platform", "workers", "executors", "peers"}) {
    const double rate =
        (after.bytes.at(to) - before.bytes.at(to)) / seconds / 1e3;
    total += rate;
    std::cout << " | " << rate;
  }
  std::cout << " | " << total << std::endl;
}

// Milliseconds on the wall clock from `killed_at` to the first event `number`
// after it at any entry; -1 while there is none.
int64_t SinceKill(const TestCluster& cluster, const Row& row, int number,
                  int64_t killed_at) {
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
        [&] { return SinceKill(cluster, row, kTakeoverDone, killed_at) >= 0; },
        std::chrono::seconds(60));
    std::cout << "takeover with " << row.workers << " workers, " << row.tasks
              << " tasks: epoch after "
              << SinceKill(cluster, row, kEpochWon, killed_at)
              << " ms, workers heard and gangs adopted after "
              << SinceKill(cluster, row, kTakeoverDone, killed_at) << " ms"
              << (done ? "" : " (not done)") << std::endl;
    return;
  }
}

bool Measure(const Row& row) {
  TestClusterSettings settings;
  settings.entries = row.entries;
  settings.workers = row.workers;
  settings.executors = 8;
  // Today's machines below 100 workers, the target's single accelerators above.
  constexpr int kSmall = 100;
  settings.accelerators_per_worker = row.workers <= kSmall ? 8 : 1;
  if (row.tasks > row.workers * settings.accelerators_per_worker) {
    settings.accelerators_per_worker =
        (row.tasks + row.workers - 1) / row.workers;
  }
  settings.workers_per_rack = 6;
  TestCluster cluster(settings);
  if (!cluster.Start() || !MakeAccounts(cluster, row.accounts) ||
      !StartTasks(cluster, row)) {
    std::cerr << "row did not start\n";
    return false;
  }
  std::this_thread::sleep_for(kSettle);
  std::vector<Sample> before;
  before.reserve(static_cast<size_t>(row.entries));
  for (int i = 0; i < row.entries; ++i) before.push_back(Read(cluster, i));
  const Time begin = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  bool other_shown = false;
  for (int i = 0; i < row.entries; ++i) {
    const Sample after = Read(cluster, i);
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

std::vector<Row> Rows() {
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
  bool all = true;
  for (const Row& row : Rows()) all = Measure(row) && all;
  return all ? 0 : 1;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::Run();
}
