// Measures on real processes the time from the acceptance of a settings change
// until it is in force on all entries, and from a stop or kill of the
// coordinator until the next epoch.
//
// A change is timed from the answer to its PUT. One thread per entry polls the
// offset that the entry has applied, over a persistent connection, so a time
// includes up to one call more than the change itself takes.
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "base/json.h"
#include "test_cluster.h"

DEFINE_int32(entries, 8, "entries");
DEFINE_int32(changes, 100,
             "changes measured without load, and again under load");
DEFINE_int32(callers, 16, "callers, each sending one request at a time");
DEFINE_int32(takeovers, 5, "stops, and again kills, of the coordinator");

namespace thornplank {
namespace {

constexpr Milliseconds kPollInterval{1};
constexpr std::chrono::seconds kWaitLimit{20};
constexpr char kAccount[] = "north";

using Clock = std::chrono::steady_clock;

double MsSince(Time begin) {
  return std::chrono::duration<double, std::milli>(Clock::now() - begin)
      .count();
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(share * last + 0.5)];
}

int64_t AppliedOffset(TestCluster& cluster, int entry) {
  const Json status = cluster.CallJson(entry, "GET", "/v1/status");
  const Json* offsets = ObjectField(status, "offsets");
  return offsets == nullptr ? -1 : IntField(*offsets, "settings").value_or(-1);
}

// Milliseconds from `begin` until every entry has applied `offset`; below 0 if
// it takes longer than kWaitLimit.
double AwaitInForce(TestCluster& cluster, int64_t offset, Time begin) {
  std::atomic<bool> all_applied{true};
  std::vector<std::thread> readers;
  readers.reserve(static_cast<size_t>(FLAGS_entries));
  for (int entry = 0; entry < FLAGS_entries; ++entry) {
    readers.emplace_back([&, entry] {
      while (AppliedOffset(cluster, entry) < offset) {
        if (Clock::now() - begin > kWaitLimit) {
          all_applied = false;
          return;
        }
        std::this_thread::sleep_for(kPollInterval);
      }
    });
  }
  for (std::thread& reader : readers) reader.join();
  return all_applied ? MsSince(begin) : -1;
}

struct ChangeTimes {
  // Milliseconds from sending the PUT to its answer.
  std::vector<double> accepted;
  // Milliseconds from the answer until the change is in force on all entries.
  std::vector<double> in_force;
  int failed = 0;
};

ChangeTimes MeasureChanges(TestCluster& cluster) {
  ChangeTimes times;
  for (int i = 0; i < FLAGS_changes; ++i) {
    const int entry = i % FLAGS_entries;
    const auto current =
        cluster.Call(entry, "GET", std::string("/v1/settings/") + kAccount);
    HttpHeaders headers;
    if (current.has_value()) {
      headers.Set("If-Match", current->headers.Value("ETag"));
    }
    const Time sent = Clock::now();
    const auto response =
        cluster.Call(entry, "PUT", std::string("/v1/settings/") + kAccount,
                     {{"kind", "account"}, {"max_queued", 1000 + i}}, headers);
    const Time answered = Clock::now();
    const Json body = response.has_value()
                          ? ParseJson(response->body).value_or(Json::object())
                          : Json::object();
    const std::optional<int64_t> offset = IntField(body, "offset");
    const double in_force_ms =
        offset.has_value() ? AwaitInForce(cluster, *offset, answered) : -1;
    if (in_force_ms < 0) {
      ++times.failed;
      continue;
    }
    times.accepted.push_back(
        std::chrono::duration<double, std::milli>(answered - sent).count());
    times.in_force.push_back(in_force_ms);
  }
  return times;
}

void PrintChanges(const std::string& name, const ChangeTimes& times) {
  std::cout << "changes, " << name << ": " << times.in_force.size()
            << " measured, " << times.failed << " failed; PUT answered p50 "
            << Quantile(times.accepted, 0.5) << " ms, p99 "
            << Quantile(times.accepted, 0.99)
            << " ms; then in force on all p50 " << Quantile(times.in_force, 0.5)
            << " ms, p99 " << Quantile(times.in_force, 0.99) << " ms"
            << std::endl;
}

// Starts threads that send requests to all entries in turn until `*stop` is
// set.
std::vector<std::thread> StartLoad(TestCluster& cluster,
                                   std::atomic<bool>* stop,
                                   std::atomic<int64_t>* answered) {
  std::vector<std::thread> callers;
  callers.reserve(static_cast<size_t>(FLAGS_callers));
  for (int caller = 0; caller < FLAGS_callers; ++caller) {
    callers.emplace_back([&cluster, stop, answered, caller] {
      for (int i = 0; !*stop; ++i) {
        const auto response = cluster.SendRequest(
            (caller + i) % FLAGS_entries, kAccount,
            std::to_string(caller) + "-" + std::to_string(i));
        const bool whole = response.has_value() && response->status == 200;
        if (whole) ++*answered;
      }
    });
  }
  return callers;
}

// The highest epoch that an entry other than `excluded` has applied, and the
// coordinator of that epoch. An `excluded` of -1 excludes none.
std::pair<int64_t, std::string> NewestEpoch(TestCluster& cluster,
                                            int excluded) {
  std::pair<int64_t, std::string> newest{0, ""};
  for (int entry = 0; entry < FLAGS_entries; ++entry) {
    if (entry == excluded) continue;
    const Json status = cluster.CallJson(entry, "GET", "/v1/status");
    const int64_t epoch = IntField(status, "epoch").value_or(0);
    if (epoch < newest.first) continue;
    newest = {epoch, StringField(status, "coordinator").value_or("")};
  }
  return newest;
}

// Sends `signal` to the coordinator. Returns the milliseconds until a new
// epoch; below 0 if there is none in time.
double TimeTakeover(TestCluster& cluster, int signal) {
  std::pair<int64_t, std::string> before;
  const bool held = TestCluster::Eventually([&] {
    before = NewestEpoch(cluster, -1);
    return before.first > 0 && !before.second.empty();
  });
  if (!held) return -1;
  const int coordinator =
      std::stoi(before.second.substr(std::string("entry").size()));
  // Waits longer than the time for which the other entries do not replace a new
  // coordinator.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const Time begin = Clock::now();
  cluster.entry(coordinator).Signal(signal);
  double took = -1;
  while (took < 0 && Clock::now() - begin < kWaitLimit) {
    const auto now = NewestEpoch(cluster, coordinator);
    if (now.first > before.first && !now.second.empty()) took = MsSince(begin);
  }
  cluster.entry(coordinator).Wait(kWaitLimit);
  cluster.StartEntry(coordinator);
  return cluster.WaitReady(coordinator) ? took : -1;
}

void MeasureTakeovers(TestCluster& cluster, const std::string& name,
                      int signal) {
  std::vector<double> times;
  int failed = 0;
  for (int i = 0; i < FLAGS_takeovers; ++i) {
    const double took = TimeTakeover(cluster, signal);
    if (took < 0) {
      ++failed;
    } else {
      times.push_back(took);
    }
  }
  std::cout << "new epoch after " << name << ": " << times.size()
            << " measured, " << failed << " failed; median "
            << Quantile(times, 0.5) << " ms, longest " << Quantile(times, 1)
            << " ms" << std::endl;
}

int Run() {
  TestClusterSettings settings;
  settings.entries = FLAGS_entries;
  TestCluster cluster(settings);
  if (!cluster.Start() ||
      !cluster.PutNode(0, kAccount, {{"kind", "account"}})) {
    std::cerr << "the cluster did not start\n";
    return 1;
  }
  PrintChanges("quiet", MeasureChanges(cluster));

  std::atomic<bool> stop{false};
  std::atomic<int64_t> answered{0};
  const Time begin = Clock::now();
  std::vector<std::thread> callers = StartLoad(cluster, &stop, &answered);
  const ChangeTimes loaded = MeasureChanges(cluster);
  stop = true;
  const double seconds = MsSince(begin) / 1000;
  for (std::thread& caller : callers) caller.join();
  PrintChanges("under " +
                   std::to_string(static_cast<int>(
                       static_cast<double>(answered) / seconds)) +
                   " requests/s",
               loaded);

  MeasureTakeovers(cluster, "SIGTERM", SIGTERM);
  MeasureTakeovers(cluster, "SIGKILL", SIGKILL);
  return 0;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::Run();
}
