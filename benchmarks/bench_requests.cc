// Measures requests through real processes: by default 8 entries in front of 50
// executors with 8 slots each, compared with a baseline of 8 round-robin
// forwarders.
//
// Prints tables and, with --out, writes the same figures as JSON. A run takes
// less than three minutes. Times depend on the load of the machine, so compare
// ratios within one run rather than times of different runs.
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/json.h"
#include "load_statistics.h"
#include "loadgen/load_generator.h"
#include "net/io_pool.h"
#include "test_cluster.h"

DEFINE_int32(entries, 8,
             "number of entries, and of forwarders of the baseline");
DEFINE_int32(executors, 50, "number of executors, with 8 slots each");
DEFINE_int32(service_ms, 200,
             "mean service time in the burst in milliseconds; executors differ "
             "from it by up to a quarter");
DEFINE_double(factor, 3, "load of the burst as a multiple of the capacity");
DEFINE_int32(burst_ms, 5000, "length of the burst in milliseconds");
DEFINE_int32(rounds, 3, "rounds of each measurement; the medians are printed");
DEFINE_int32(idle_ms, 10000,
             "how long idle entries are measured, in milliseconds");
DEFINE_string(parts, "idle,latency,appends,burst", "measurements to run");
DEFINE_string(out, "", "file for the figures as JSON");

namespace thornplank {
namespace {

constexpr int kSlots = 8;
constexpr int kLoadThreads = 3;
constexpr size_t kConnectionsPerEntry = 3500;
constexpr Milliseconds kDeadline{2000};
// Rate in requests per second, and lengths, of the measurements without a
// burst.
constexpr double kLowRate = 150;
constexpr Milliseconds kLowLength{2000};
constexpr Milliseconds kAppendsLength{4000};
constexpr Milliseconds kAloneLength{4000};
// The start of a load is not counted, because slots are still filling up and
// the shares of the accounts are changing.
constexpr Milliseconds kSettleTime{1000};
constexpr double kMillisecondsPerSecond = 1000;
constexpr char kNeighbour[] = "neighbour";
constexpr char kFlood[] = "flood";
constexpr char kToken[] = "operator-secret";
// Load of the neighbour, and guarantee of each of the two accounts, as a share
// of the capacity.
constexpr double kNeighbourLoad = 0.4;
constexpr double kGuarantee = 0.5;

bool IsMeasured(const std::string& part) {
  return ("," + FLAGS_parts + ",").find("," + part + ",") != std::string::npos;
}

int GuaranteedSlots() {
  return static_cast<int>(FLAGS_executors * kSlots * kGuarantee);
}

// Service time of one executor in the burst. The executors have different
// times, because with equal ones their answers would stay synchronized.
int BurstServiceTimeMs(int executor) {
  const double position = FLAGS_executors < 2
                              ? 0.5
                              : static_cast<double>(executor) /
                                    static_cast<double>(FLAGS_executors - 1);
  return static_cast<int>(FLAGS_service_ms * (0.75 + 0.5 * position));
}

// Requests per second that all executors together can run in the burst.
double Capacity() {
  double capacity = 0;
  for (int i = 0; i < FLAGS_executors; ++i) {
    capacity += kSlots * kMillisecondsPerSecond / BurstServiceTimeMs(i);
  }
  return capacity;
}

TestClusterSettings ClusterSettings() {
  TestClusterSettings settings;
  settings.entries = FLAGS_entries;
  settings.workers = 1;
  settings.executors = FLAGS_executors;
  settings.slots_per_executor = kSlots;
  settings.service_time_ms = 0;
  return settings;
}

class RequestBenchmark {
 public:
  RequestBenchmark() : cluster_(ClusterSettings()), pool_(kLoadThreads) {
    pool_.Start();
  }

  // Returns false if a process does not get ready.
  bool Start();
  Json Idle();
  Json Latency(int service_ms);
  Json Appends(double rate);
  // Returns {"thornplank","baseline","rounds"}, with medians over the rounds;
  // nullopt if a process does not start.
  std::optional<Json> Burst();

 private:
  using History = std::vector<HistoryRecord>;

  bool SetServiceTimes(bool burst, int service_ms);
  History RunLoad(LoadSettings settings);
  LoadSettings LowLoad() const;
  LoadSettings BurstLoad() const;
  Json MeasureBurst();
  std::optional<double> Metric(int entry, const std::string& name);
  bool StartEntries();
  void StopEntries();
  bool StartBaseline();
  std::vector<std::string> EntryAddresses() const;
  std::vector<std::string> ExecutorAddresses() const;

  TestCluster cluster_;
  IoPool pool_;
  std::vector<std::unique_ptr<ChildProcess>> baseline_;
  int load_count_ = 0;
};

std::vector<std::string> RequestBenchmark::EntryAddresses() const {
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<size_t>(FLAGS_entries));
  for (int i = 0; i < FLAGS_entries; ++i) {
    addresses.push_back(cluster_.entry_address(i));
  }
  return addresses;
}

std::vector<std::string> RequestBenchmark::ExecutorAddresses() const {
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<size_t>(FLAGS_executors));
  for (int i = 0; i < FLAGS_executors; ++i) {
    addresses.push_back(cluster_.executor_address(i));
  }
  return addresses;
}

bool RequestBenchmark::Start() {
  if (!cluster_.Start()) return false;
  const Json account = {{"kind", "account"},
                        {"guaranteed_slots", GuaranteedSlots()}};
  if (!cluster_.PutNode(0, kNeighbour, account) ||
      !cluster_.PutNode(0, kFlood, account)) {
    return false;
  }
  return StartEntries();
}

// Starts the entries that do not run, and waits until each of them answers
// requests of both accounts.
bool RequestBenchmark::StartEntries() {
  for (int i = 0; i < FLAGS_entries; ++i) {
    if (!cluster_.entry(i).running()) cluster_.StartEntry(i);
  }
  for (int i = 0; i < FLAGS_entries; ++i) {
    if (!cluster_.WaitReady(i)) return false;
    const bool answers = TestCluster::Eventually([this, i] {
      const auto one = cluster_.SendRequest(i, kNeighbour, "first");
      const auto two = cluster_.SendRequest(i, kFlood, "first");
      return one.has_value() && one->status == 200 && two.has_value() &&
             two->status == 200;
    });
    if (!answers) return false;
  }
  return true;
}

void RequestBenchmark::StopEntries() {
  for (int i = 0; i < FLAGS_entries; ++i) cluster_.entry(i).Signal(SIGTERM);
  for (int i = 0; i < FLAGS_entries; ++i) {
    const bool ended =
        cluster_.entry(i).Wait(std::chrono::seconds(5)).has_value();
    if (!ended) cluster_.entry(i).Kill();
  }
}

// Starts the forwarders on the addresses of the entries, which must be stopped.
bool RequestBenchmark::StartBaseline() {
  std::string executors;
  for (const std::string& address : ExecutorAddresses()) {
    executors += (executors.empty() ? "" : ",") + address;
  }
  for (int i = 0; i < FLAGS_entries; ++i) {
    baseline_.push_back(std::make_unique<ChildProcess>(
        BENCH_BASELINE_ENTRY,
        std::vector<std::string>{"--listen", cluster_.entry_address(i),
                                 "--executors", executors},
        cluster_.folder() + "/baseline" + std::to_string(i) + ".log"));
  }
  for (int i = 0; i < FLAGS_entries; ++i) {
    const bool answers = TestCluster::Eventually([this, i] {
      const auto response = cluster_.SendRequest(i, kNeighbour, "first");
      return response.has_value() && response->status == 200;
    });
    if (!answers) return false;
  }
  return true;
}

bool RequestBenchmark::SetServiceTimes(bool burst, int service_ms) {
  for (int i = 0; i < FLAGS_executors; ++i) {
    const int late_ms = burst ? BurstServiceTimeMs(i) : service_ms;
    const std::string address = cluster_.executor_address(i);
    if (!cluster_.Control(address, {{"late_ms", late_ms}})) return false;
  }
  return true;
}

RequestBenchmark::History RequestBenchmark::RunLoad(LoadSettings settings) {
  settings.max_connections_per_entry = kConnectionsPerEntry;
  settings.deadline = kDeadline;
  settings.name = "load" + std::to_string(load_count_++);
  LoadGenerator generator(pool_, std::move(settings));
  return generator.Run();
}

std::optional<double> RequestBenchmark::Metric(int entry,
                                               const std::string& name) {
  const auto response = cluster_.Call(entry, "GET", "/metrics");
  if (!response.has_value()) return std::nullopt;
  std::istringstream lines(response->body);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(name + " ", 0) != 0) continue;
    return std::atof(line.c_str() + name.size());
  }
  return std::nullopt;
}

// Medians over the entries of their memory in megabytes and their share of a
// core.
Json RequestBenchmark::Idle() {
  const auto processor_time = [this](int entry) {
    return Metric(entry, "process_cpu_seconds_total").value_or(0);
  };
  std::vector<double> before;
  before.reserve(static_cast<size_t>(FLAGS_entries));
  const Time start_time = std::chrono::steady_clock::now();
  for (int i = 0; i < FLAGS_entries; ++i) before.push_back(processor_time(i));
  std::this_thread::sleep_for(Milliseconds(FLAGS_idle_ms));
  const std::chrono::duration<double> length =
      std::chrono::steady_clock::now() - start_time;
  std::vector<Json> entries;
  for (int i = 0; i < FLAGS_entries; ++i) {
    const double used = processor_time(i) - before[static_cast<size_t>(i)];
    entries.push_back(
        {{"memory_mb",
          Metric(i, "process_resident_memory_bytes").value_or(0) / 1e6},
         {"core_share", used / length.count()}});
  }
  return MedianOfRounds(entries);
}

LoadSettings RequestBenchmark::LowLoad() const {
  LoadSettings settings;
  settings.entries = EntryAddresses();
  settings.accounts = {{kNeighbour, kToken, 1}};
  settings.rate = kLowRate;
  settings.duration = kLowLength;
  return settings;
}

// Latencies of direct calls to executors, of idempotent requests through an
// entry, and of non-idempotent requests through an entry.
Json RequestBenchmark::Latency(int service_ms) {
  if (!SetServiceTimes(/*burst=*/false, service_ms)) return Json::object();
  const LoadWindow whole{Duration(0), kLowLength};
  std::vector<Json> rounds;
  for (int round = 0; round < FLAGS_rounds; ++round) {
    LoadSettings direct = LowLoad();
    direct.entries = ExecutorAddresses();
    direct.direct = true;
    LoadSettings claims = LowLoad();
    claims.non_idempotent_share = 1;
    // Opens the connections before the measured loads.
    RunLoad(LowLoad());
    const History histories[] = {RunLoad(direct), RunLoad(LowLoad()),
                                 RunLoad(claims)};
    const auto latency = [&](int history_index, double quantile) {
      return LatencyQuantile(histories[history_index], whole,
                             Outcome::kAnswered, quantile);
    };
    rounds.push_back({{"direct_p50_us", latency(0, 0.5)},
                      {"direct_p99_us", latency(0, 0.99)},
                      {"entry_p50_us", latency(1, 0.5)},
                      {"entry_p99_us", latency(1, 0.99)},
                      {"claim_p50_us", latency(2, 0.5)},
                      {"claim_p99_us", latency(2, 0.99)},
                      {"ratio_p50", latency(1, 0.5) / latency(0, 0.5)},
                      {"ratio_p99", latency(1, 0.99) / latency(0, 0.99)}});
  }
  return MedianOfRounds(rounds);
}

// Appends of all entries to the log, and latencies, under a constant rate of
// non-idempotent requests.
Json RequestBenchmark::Appends(double rate) {
  LoadSettings settings = LowLoad();
  settings.rate = rate;
  settings.duration = kAppendsLength;
  settings.non_idempotent_share = 1;
  const auto counter = [this](const char* name) {
    return static_cast<double>(
        IntField(cluster_.ControlState(cluster_.log_address()), name)
            .value_or(0));
  };
  const double seconds = std::chrono::duration<double>(kAppendsLength).count();
  const double appends = counter("appends");
  const double records = counter("records");
  const double refused = counter("refused");
  const History history = RunLoad(settings);
  const LoadWindow whole{Duration(0), kAppendsLength};
  return {
      {"rate", rate},
      {"appends_per_second", (counter("appends") - appends) / seconds},
      {"records_per_second", (counter("records") - records) / seconds},
      {"refused_per_second", (counter("refused") - refused) / seconds},
      {"answered_share", OutcomeShare(history, whole, Outcome::kAnswered)},
      {"p50_us", LatencyQuantile(history, whole, Outcome::kAnswered, 0.5)},
      {"p99_us", LatencyQuantile(history, whole, Outcome::kAnswered, 0.99)}};
}

// Overload by both accounts. Half of the requests go to the first entry.
LoadSettings RequestBenchmark::BurstLoad() const {
  LoadSettings settings = LowLoad();
  settings.entry_weights.assign(static_cast<size_t>(FLAGS_entries), 1);
  settings.entry_weights[0] = FLAGS_entries - 1;
  settings.accounts = {{kNeighbour, kToken, kNeighbourLoad},
                       {kFlood, kToken, FLAGS_factor - kNeighbourLoad}};
  settings.rate = FLAGS_factor * Capacity();
  settings.duration = Milliseconds(FLAGS_burst_ms);
  return settings;
}

// Measures the neighbour alone, then together with the flood.
Json RequestBenchmark::MeasureBurst() {
  LoadSettings alone = BurstLoad();
  alone.accounts = {{kNeighbour, kToken, 1}};
  alone.rate = kNeighbourLoad * Capacity();
  alone.duration = kAloneLength;
  const History quiet = RunLoad(alone);
  const History burst = RunLoad(BurstLoad());
  const LoadWindow quiet_window{kSettleTime, kAloneLength};
  const LoadWindow window{kSettleTime, Milliseconds(FLAGS_burst_ms)};
  const auto latency_ms = [&](Outcome outcome, double quantile,
                              const std::string& account) {
    return LatencyQuantile(burst, window, outcome, quantile, account) / 1e3;
  };
  const double alone_p99 =
      LatencyQuantile(quiet, quiet_window, Outcome::kAnswered, 0.99) / 1e3;
  const double flooded_p99 = latency_ms(Outcome::kAnswered, 0.99, kNeighbour);
  const auto answers = [&](const std::string& account) {
    return AnswersPerSecond(burst, window, kDeadline, account) / Capacity();
  };
  return {
      {"goodput", answers("")},
      {"neighbour_answers", answers(kNeighbour)},
      {"flood_answers", answers(kFlood)},
      {"neighbour_to_due", answers(kNeighbour) / kNeighbourLoad},
      {"flood_to_due", answers(kFlood) / kGuarantee},
      {"answered_p50_ms", latency_ms(Outcome::kAnswered, 0.5, "")},
      {"answered_p99_ms", latency_ms(Outcome::kAnswered, 0.99, "")},
      {"refused_p50_ms", latency_ms(Outcome::kNotRun, 0.5, "")},
      {"refused_p99_ms", latency_ms(Outcome::kNotRun, 0.99, "")},
      {"unknown_share", OutcomeShare(burst, window, Outcome::kUnknown)},
      {"no_answer_share", OutcomeShare(burst, window, Outcome::kNoAnswer)},
      {"neighbour_alone_p99_ms", alone_p99},
      {"neighbour_flooded_p99_ms", flooded_p99},
      {"neighbour_p99_ratio", alone_p99 > 0 ? flooded_p99 / alone_p99 : 0.0}};
}

std::optional<Json> RequestBenchmark::Burst() {
  std::vector<Json> entry_rounds;
  std::vector<Json> baseline_rounds;
  if (!SetServiceTimes(/*burst=*/true, 0)) return std::nullopt;
  for (int round = 0; round < FLAGS_rounds; ++round) {
    if (!StartEntries()) return std::nullopt;
    entry_rounds.push_back(MeasureBurst());
    // The entries are stopped first, because an executor does not accept enough
    // connections for them and the baseline.
    StopEntries();
    if (!StartBaseline()) return std::nullopt;
    baseline_rounds.push_back(MeasureBurst());
    baseline_.clear();
  }
  return Json{{"thornplank", MedianOfRounds(entry_rounds)},
              {"baseline", MedianOfRounds(baseline_rounds)},
              {"rounds",
               {{"thornplank", entry_rounds}, {"baseline", baseline_rounds}}}};
}

int Fail(const std::string& what) {
  std::cerr << "bench_requests: " << what << "\n";
  return 1;
}

int Run() {
  const Time start_time = std::chrono::steady_clock::now();
  RequestBenchmark benchmark;
  if (!benchmark.Start()) return Fail("the processes did not get ready");
  Json figures = {{"capacity_per_second", Capacity()}};
  std::cout << "capacity " << Capacity() << " requests a second\n";
  if (IsMeasured("idle")) {
    figures["idle"] = benchmark.Idle();
    PrintTable("idle entry", {"median"}, {figures["idle"]});
  }
  if (IsMeasured("latency")) {
    const std::vector<Json> columns = {benchmark.Latency(0),
                                       benchmark.Latency(20)};
    figures["latency"] = {{"0_ms", columns[0]}, {"20_ms", columns[1]}};
    PrintTable("low load, service time", {"0 ms", "20 ms"}, columns);
  }
  if (IsMeasured("appends")) {
    const std::vector<Json> columns = {benchmark.Appends(200),
                                       benchmark.Appends(1000)};
    figures["appends"] = columns;
    PrintTable("non-idempotent", {"200/s", "1000/s"}, columns);
  }
  if (IsMeasured("burst")) {
    const std::optional<Json> burst = benchmark.Burst();
    if (!burst.has_value()) return Fail("processes did not get ready");
    figures["burst"] = *burst;
    PrintTable("burst", {"thornplank", "baseline"},
               {(*burst)["thornplank"], (*burst)["baseline"]});
  }
  const std::chrono::duration<double> length =
      std::chrono::steady_clock::now() - start_time;
  figures["seconds"] = length.count();
  std::cout << "\n" << length.count() << " s\n";
  if (!FLAGS_out.empty()) {
    std::ofstream(FLAGS_out) << figures.dump(2) << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::Run();
}
