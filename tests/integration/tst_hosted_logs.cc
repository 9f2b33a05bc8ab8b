// If nobody reads the standard output, or its reader closes it, callers are
// served as before and the process ends without waiting for it. A changed
// settings file is reloaded without a signal.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <string>
#include <vector>

#include "hosted_cluster.h"
#include "logging/events/process_events.h"
#include "metrics_text.h"

namespace thornplank {
namespace {

// Enough to fill a pipe: each refusal logs a line of at least 200 bytes.
constexpr int kRefusedCalls = 600;

TEST_CASE("an unread log loses lines but does not block the service") {
  struct Row {
    std::string name;
    bool close_reader;
  };
  const std::vector<Row> rows = {
      {"nobody reads", false},
      {"the reader closes the pipe", true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HostedClusterSettings settings;
    settings.entries = 1;
    HostedCluster cluster(settings);
    REQUIRE(cluster.Start());
    cluster.entry(0).Kill();
    const std::string pipe = cluster.NextLogPath(0);
    REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
    const int reader = ::open(pipe.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    REQUIRE(reader >= 0);
    cluster.StartEntry(0);
    if (row.close_reader) ::close(reader);
    REQUIRE(cluster.WaitReady(0));
    for (int i = 0; i < kRefusedCalls; ++i) {
      const auto answer =
          cluster.Call(0, "GET", "/nowhere/", "", HostedCluster::AccountKey());
      REQUIRE(answer.has_value());
      CHECK(answer->status == 404);
    }
    TestJob job;
    job.id = "00000000000000aa";
    CHECK(HostedCluster::Eventually(
        [&] { return cluster.Submit(0, job) == 200; }));
    CHECK(HostedCluster::Eventually(
        [&] { return cluster.State(0, job) == "completed"; }));
    CHECK(HostedCluster::Eventually([&] {
      return MetricsText(cluster.Metrics(0))
                 .Sum("thornplank_log_lines_lost_total") > 0;
    }));
    cluster.entry(0).Signal(SIGTERM);
    CHECK(cluster.entry(0).Wait(std::chrono::seconds(20)) == 0);
    if (!row.close_reader) ::close(reader);
  }
}

TEST_CASE("a changed settings file is read without a signal") {
  HostedClusterSettings settings;
  settings.entries = 1;
  HostedCluster cluster(settings);
  REQUIRE(cluster.Start());
  const std::string path = cluster.folder() + "/entry0.json";
  Json file = ParseJson([&path] {
                std::ifstream stream(path);
                return std::string(std::istreambuf_iterator<char>(stream), {});
              }())
                  .value_or(Json());
  file["log_level"] = "debug";
  file["state_kept_s"] = 60;
  std::ofstream(path) << file.dump();
  CHECK(HostedCluster::Eventually([&] {
    const auto events = cluster.Events(0, events::kSettingsReloaded.number);
    return !events.empty() &&
           events.back()["at_once"] == Json::array({"log_level"}) &&
           events.back()["at_restart"] == Json::array({"state_kept_s"});
  }));
  std::ofstream(path) << "{ broken";
  CHECK(HostedCluster::Eventually([&] {
    return !cluster.Events(0, events::kSettingsNotReloaded.number).empty();
  }));
  TestJob job;
  job.id = "00000000000000ab";
  CHECK(
      HostedCluster::Eventually([&] { return cluster.Submit(0, job) == 200; }));
}

}  // namespace
}  // namespace thornplank
