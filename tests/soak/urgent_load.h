// Urgent gangs of several client accounts with guarantees: for some seconds
// several times as many as there is room for, then few; and the checks of the
// stops between these accounts.
#ifndef THORNPLANK_TESTS_SOAK_URGENT_LOAD_H_
#define THORNPLANK_TESTS_SOAK_URGENT_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "hosted_cluster.h"
#include "run_checker.h"

namespace thornplank {

struct UrgentLoad {
  uint32_t seed = 1;
  // Number of accounts, and accelerators of all executors.
  int accounts = 5;
  int accelerators = 64;
  Milliseconds length{15000};
};

struct TimedJob {
  // From the start of the load.
  Milliseconds submit_time{0};
  TestJob job;
};

// The jobs of one account, in the order of their times. The ids begin with
// `id_prefix`.
std::vector<TimedJob> DrawUrgentJobs(const UrgentLoad& load, int account,
                                     const std::string& id_prefix);

// When the load began, on the clock of logs and on that of the executors.
struct LoadStart {
  int64_t unix_ms = 0;
  int64_t steady_ms = 0;
};

// Runs of priority 0 that were stopped for a job of the load, those of gangs
// that were stopped with another member included. Stops for the account "north"
// do not count: its urgent jobs mostly fit into its guarantee, so that room is
// owed to them however often others are stopped for it.
struct EqualStops {
  int total = 0;
  // The largest number of stops of one task.
  int most_of_a_task = 0;
  // Ordered when the burst has been over for some seconds.
  int late = 0;
  // Tasks of priority 0 that were done in all, and in that time.
  int done = 0;
  int late_done = 0;
};

// `orders` are the events of ordered stops.
EqualStops CountEqualStops(const std::vector<Json>& orders,
                           const std::vector<Json>& runs,
                           const std::map<std::string, SubmittedJob>& jobs,
                           const LoadStart& start);

// Returns one line for each bound that the stops exceed.
std::vector<std::string> CheckEqualStops(const EqualStops& stops);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_SOAK_URGENT_LOAD_H_
