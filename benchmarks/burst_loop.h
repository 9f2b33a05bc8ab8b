// Event loop in virtual time for weighing the ways of sharing slots.
//
// Entries with a RequestRouter each, executors that refuse when full, a fixed
// one-way latency, heartbeats with the entries' demand. It knows no failures;
// those are for the tests.
#ifndef THORNPLANK_BENCHMARKS_BURST_LOOP_H_
#define THORNPLANK_BENCHMARKS_BURST_LOOP_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/routing_types.h"

namespace thornplank {

constexpr int kExecutors = 50;
constexpr int kSlots = 8;
constexpr int kEntries = 8;
constexpr Duration kMeanService = std::chrono::milliseconds(100);
inline constexpr char kServiceName[] = "claims";

enum class Way { kAllSlots, kStaticShare, kDemandShare, kRoundRobin };

// How the load arrives.
struct Load {
  const char* name;
  // Arrivals as a multiple of the executors' capacity.
  double factor;
  std::vector<double> entry_weights;
  std::vector<double> account_weights;
};

struct Figures {
  int arrived = 0;
  int answered_in_time = 0;
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  int refused_attempts = 0;
  std::vector<Duration> waits;
  std::vector<Duration> refusal_delays;
  std::vector<int> answered_by_account;
  // From arrival to answer, for each account.
  std::vector<std::vector<Duration>> latencies_by_account;
};

struct LoopOptions {
  uint64_t seed = 1;
  int burst_seconds = 10;
  int heartbeat_ms = 200;
};

std::vector<ExecutorInfo> MakeExecutors(int count);
std::string AccountName(int number);
std::vector<AccountLimits> MakeAccounts(int count, int guaranteed);

// One second at half the capacity, then the load for `burst_seconds`. The
// figures are those of the burst.
Figures RunBurst(Way way, const Load& load, const LoopOptions& options);

}  // namespace thornplank

#endif  // THORNPLANK_BENCHMARKS_BURST_LOOP_H_
