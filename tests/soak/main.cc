// thornplank_soak: randomized runs under faults, by hand.
#include <gflags/gflags.h>

#include <iostream>

#include "soak_run.h"

DEFINE_uint32(first_seed, 1, "the first seed");
DEFINE_uint32(seeds, 1, "how many seeds, one run each");
DEFINE_int32(seconds, 15, "how long faults are injected in a run");
DEFINE_int32(entries, 4, "hosted entries");
DEFINE_int32(executors, 8, "executors");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "randomized runs of hosted entries under faults\nexample: "
      "thornplank_soak --first_seed=100 --seeds=50 --seconds=15\n"
      "THORNPLANK_KEEP_LOGS=1 keeps the logs\nexit codes: 0 all promises "
      "held, 1 some were broken");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  int broken = 0;
  for (uint32_t i = 0; i < FLAGS_seeds; ++i) {
    thornplank::SoakSettings settings;
    settings.seed = FLAGS_first_seed + i;
    settings.length = std::chrono::seconds(FLAGS_seconds);
    settings.entries = FLAGS_entries;
    settings.executors = FLAGS_executors;
    const thornplank::SoakReport report = thornplank::RunSoak(settings);
    std::cout << "seed " << settings.seed << ": " << report.jobs << " jobs, "
              << report.accepted << " accepted, " << report.completed
              << " completed, " << report.runs << " runs, "
              << report.faults.size() << " faults, " << report.problems.size()
              << " problems" << std::endl;
    if (report.problems.empty()) continue;
    ++broken;
    for (const std::string& fault : report.faults) {
      std::cout << "  " << fault << "\n";
    }
    for (const std::string& problem : report.problems) {
      std::cout << "  PROBLEM " << problem << "\n";
    }
    std::cout << "  logs: " << report.folder << std::endl;
  }
  std::cout << broken << " of " << FLAGS_seeds << " seeds broke a promise\n";
  return broken == 0 ? 0 : 1;
}
