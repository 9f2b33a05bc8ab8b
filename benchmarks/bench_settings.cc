// Time from the acceptance of a change of settings until it is in force on
// every entry, and from the stop or the death of the coordinator until the
// next epoch, on real processes.
//
// A change is timed from the answer to its PUT. Each entry is asked for its
// folded offset by a thread of its own over a kept connection, so the times
// hold one call more than the change itself takes.
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
DEFINE_int32(changes, 100, "changes measured, quiet and under load each");
DEFINE_int32(callers, 16, "callers that send requests one after the other");
DEFINE_int32(takeovers, 5, "stops and kills of the coordinator each");

namespace thornplank {
namespace {

constexpr Milliseconds kPoll{1};
constexpr std::chrono::seconds kLimit{20};
constexpr char kAccount[] = "north";

using Clock = std::chrono::steady_clock;

double Since(Time begin) {
  return std::chrono::duration<double, std::milli>(Clock::now() - begin)
      .count();
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(share * last + 0.5)];
}

int64_t Offset(TestCluster& cluster, int entry) {
  const Json status = cluster.CallJson(entry, "GET", "/v1/status");
  const Json* offsets = ObjectField(status, "offsets");
  return offsets == nullptr ? -1 : IntField(*offsets, "settings").value_or(-1);
}

// Milliseconds until every entry has folded `offset`; below 0 when not.
double AwaitInForce(TestCluster& cluster, int64_t offset, Time begin) {
  std::atomic<bool> all{true};
  std::vector<std::thread> readers;
  readers.reserve(static_cast<size_t>(FLAGS_entries));
  for (int entry = 0; entry < FLAGS_entries; ++entry) {
    readers.emplace_back([&, entry] {
      while (Offset(cluster, entry) < offset) {
        if (Clock::now() - begin > kLimit) {
          all = false;
          return;
        }
        std::this_thread::sleep_for(kPoll);
      }
    });
  }
  for (std::thread& reader : readers) reader.join();
  return all ? Since(begin) : -1;
}

struct ChangeTimes {
  // From sending the PUT to its answer.
  std::vector<double> accepted;
  // From there until all have it.
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
    const double all =
        offset.has_value() ? AwaitInForce(cluster, *offset, answered) : -1;
    if (all < 0) {
      ++times.failed;
      continue;
    }
    times.accepted.push_back(
        std::chrono::duration<double, std::milli>(answered - sent).count());
    times.in_force.push_back(all);
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

// Sends requests to all entries in turn until `*stop`.
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

// The newest epoch that any running entry but `left_out` has folded, and its
// holder.
std::pair<int64_t, std::string> Newest(TestCluster& cluster, int left_out) {
  std::pair<int64_t, std::string> newest{0, ""};
  for (int entry = 0; entry < FLAGS_entries; ++entry) {
    if (entry == left_out) continue;
    const Json status = cluster.CallJson(entry, "GET", "/v1/status");
    const int64_t epoch = IntField(status, "epoch").value_or(0);
    if (epoch < newest.first) continue;
    newest = {epoch, StringField(status, "coordinator").value_or("")};
  }
  return newest;
}

// Milliseconds from the signal to a new epoch; below 0 when there was none.
double Takeover(TestCluster& cluster, int signal) {
  std::pair<int64_t, std::string> before;
  const bool held = TestCluster::Eventually([&] {
    before = Newest(cluster, -1);
    return before.first > 0 && !before.second.empty();
  });
  if (!held) return -1;
  const int coordinator =
      std::stoi(before.second.substr(std::string("entry").size()));
  // Past the tenure within which a new epoch is left alone.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const Time begin = Clock::now();
  cluster.entry(coordinator).Signal(signal);
  double took = -1;
  while (took < 0 && Clock::now() - begin < kLimit) {
    const auto now = Newest(cluster, coordinator);
    if (now.first > before.first && !now.second.empty()) took = Since(begin);
  }
  cluster.entry(coordinator).Wait(kLimit);
  cluster.StartEntry(coordinator);
  return cluster.WaitReady(coordinator) ? took : -1;
}

void MeasureTakeovers(TestCluster& cluster, const std::string& name,
                      int signal) {
  std::vector<double> times;
  int failed = 0;
  for (int i = 0; i < FLAGS_takeovers; ++i) {
    const double took = Takeover(cluster, signal);
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
  const double seconds = Since(begin) / 1000;
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
