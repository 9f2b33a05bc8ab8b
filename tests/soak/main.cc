// thornplank_soak: runs randomized soak tests, one for each seed.
#include <gflags/gflags.h>

#include <iostream>

#include "soak_run.h"

DEFINE_uint32(first_seed, 1, "the first seed");
DEFINE_uint32(seeds, 1, "number of seeds, one run each");
DEFINE_int32(seconds, 15, "duration of fault injection in a run");
DEFINE_int32(entries, 4, "number of hosted entries");
DEFINE_int32(executors, 8, "executors");
DEFINE_bool(crashes, true, "tasks crash executors, which shrink and restart");
DEFINE_bool(cut_offs, true, "executors are cut off, with short leases");
DEFINE_bool(burst, false, "several accounts submit a burst of urgent gangs");
DEFINE_bool(long_checkpoints, true,
            "some tasks report checkpoints around the size of a record");
DEFINE_bool(give_ups, true,
            "a caller cancels the jobs whose submission gets no answer");
DEFINE_bool(losses, true, "executors are lost for good");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "randomized runs of hosted entries under faults\nexample: "
      "thornplank_soak --first_seed=100 --seeds=50 --seconds=15\n"
      "the logs of seeds with violations are kept; THORNPLANK_KEEP_LOGS=1 "
      "keeps all\nexit codes: 0 no violations, "
      "1 at least one seed with violations");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  int failed_seeds = 0;
  for (uint32_t i = 0; i < FLAGS_seeds; ++i) {
    thornplank::SoakSettings settings;
    settings.seed = FLAGS_first_seed + i;
    settings.fault_duration = std::chrono::seconds(FLAGS_seconds);
    settings.entries = FLAGS_entries;
    settings.executors = FLAGS_executors;
    settings.crashes = FLAGS_crashes;
    settings.cut_offs = FLAGS_cut_offs;
    settings.burst = FLAGS_burst;
    settings.long_checkpoints = FLAGS_long_checkpoints;
    settings.give_ups = FLAGS_give_ups;
    settings.losses = FLAGS_losses;
    const thornplank::SoakReport report = thornplank::RunSoak(settings);
    std::cout << "seed " << settings.seed << ": " << report.jobs << " jobs, "
              << report.accepted << " accepted, " << report.completed
              << " completed, " << report.runs << " runs, "
              << report.unknown_cancelled << " given up, "
              << report.faults.size() << " faults, " << report.violations.size()
              << " violations" << std::endl;
    if (settings.burst) {
      const thornplank::EqualStops& stops = report.equal_stops;
      std::cout << "  urgent runs stopped for others: " << stops.total
                << ", one task at most " << stops.most_of_a_task
                << " times; urgent tasks done: " << stops.done
                << "; after the burst " << stops.late << " and "
                << stops.late_done << std::endl;
    }
    if (report.violations.empty()) continue;
    ++failed_seeds;
    for (const std::string& fault : report.faults) {
      std::cout << "  " << fault << "\n";
    }
    for (const std::string& violation : report.violations) {
      std::cout << "  VIOLATION " << violation << "\n";
    }
    std::cout << "  logs: " << report.folder << std::endl;
  }
  std::cout << failed_seeds << " of " << FLAGS_seeds
            << " seeds had violations\n";
  return failed_seeds == 0 ? 0 : 1;
}
