// Measures the bytes per second and the processor time that entries use for
// heartbeats. All entries run in this process and use real sockets. Prints one
// JSON object.
#include <gflags/gflags.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"
#include "peers/membership_manager.h"
#include "protocol/peer_mesh.h"

DEFINE_int32(members, 8, "Entries in the mesh, 2 to 32.");
DEFINE_int32(seconds, 10,
             "Seconds measured, once all entries know each other.");
DEFINE_int32(interval_ms, 500, "Heartbeat interval in milliseconds.");
DEFINE_int32(section_bytes, 0,
             "Size of an additional section in each heartbeat, in bytes.");

namespace thornplank {
namespace {

constexpr int kThreads = 2;
constexpr std::chrono::seconds kJoinTimeout{20};
constexpr double kMillisecondsPerSecond = 1000;

struct Entry {
  Entry(boost::asio::io_context& io, const std::string& name)
      : mesh(io, MeshSettings(name)),
        members(io, mesh,
                {name,
                 name + "-1",
                 "domain",
                 {Milliseconds(FLAGS_interval_ms)},
                 Milliseconds(5000)}) {
    members.SetOffsetsProducer([] {
      return Json{{"settings", 1200}, {"jobs", 1500000}, {"claims", 9000000}};
    });
    if (FLAGS_section_bytes <= 0) return;
    members.AddHeartbeatSection(
        "shares", [] { return Json(std::string(FLAGS_section_bytes, 'x')); },
        nullptr);
  }

  static PeerMeshSettings MeshSettings(const std::string& name) {
    PeerMeshSettings settings;
    settings.name = name;
    settings.incarnation = name + "-1";
    settings.listen = "127.0.0.1:0";
    settings.shared_secret = "secret";
    return settings;
  }

  PeerMesh mesh;
  MembershipManager members;
};

using Entries = std::vector<std::unique_ptr<Entry>>;

bool StartAll(const Entries& entries) {
  std::vector<std::string> addresses;
  for (const auto& entry : entries) {
    Error error;
    if (!entry->mesh.Start(&error)) {
      std::cerr << error.ToString() << "\n";
      return false;
    }
    entry->members.Start();
    entry->members.SetReady(true);
    addresses.push_back(entry->mesh.address());
  }
  for (const auto& entry : entries) entry->mesh.SetPeers(addresses);
  return true;
}

bool WaitForAll(const Entries& entries) {
  const Time end = std::chrono::steady_clock::now() + kJoinTimeout;
  for (const auto& entry : entries) {
    while (entry->members.alive_members().size() != entries.size()) {
      if (std::chrono::steady_clock::now() > end) return false;
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }
  return true;
}

uint64_t BytesSent(const Entries& entries) {
  uint64_t bytes = 0;
  for (const auto& entry : entries) bytes += entry->mesh.bytes_sent();
  return bytes;
}

Json Measure(const Entries& entries) {
  const Time begin = std::chrono::steady_clock::now();
  const std::clock_t cpu_begin = std::clock();
  const uint64_t bytes_begin = BytesSent(entries);
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  const double bytes = static_cast<double>(BytesSent(entries) - bytes_begin);
  const double cpu_ms = static_cast<double>(std::clock() - cpu_begin) /
                        CLOCKS_PER_SEC * kMillisecondsPerSecond;
  const auto count = static_cast<double>(entries.size());
  return {{"members", entries.size()},
          {"interval_ms", FLAGS_interval_ms},
          {"section_bytes", FLAGS_section_bytes},
          {"seconds", seconds},
          {"bytes_sent_per_second_per_member", bytes / seconds / count},
          {"cpu_ms_per_second_per_member", cpu_ms / seconds / count}};
}

int Run() {
  boost::asio::io_context io;
  auto work = boost::asio::make_work_guard(io);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&io] { io.run(); });
  }
  Entries entries;
  entries.reserve(FLAGS_members);
  for (int i = 0; i < FLAGS_members; ++i) {
    entries.push_back(
        std::make_unique<Entry>(io, "entry-" + std::to_string(i)));
  }
  const bool joined = StartAll(entries) && WaitForAll(entries);
  if (joined) std::cout << Measure(entries).dump() << "\n";
  if (!joined) std::cerr << "the entries did not find each other\n";
  io.stop();
  for (std::thread& thread : threads) thread.join();
  return joined ? 0 : 1;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_members < 2 || FLAGS_members > 32) {
    std::cerr << "--members: 2 to 32\n";
    return 2;
  }
  return thornplank::Run();
}
