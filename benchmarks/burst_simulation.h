// Discrete-event simulation of a burst of requests, to compare the policies by
// which entries share the slots of executors.
//
// It simulates entries with a RequestRouter each, executors that refuse
// requests when all slots are in use, a fixed one-way latency, and heartbeats
// that carry the demand of the entries. It does not simulate failures; tests
// cover those.
#ifndef THORNPLANK_BENCHMARKS_BURST_SIMULATION_H_
#define THORNPLANK_BENCHMARKS_BURST_SIMULATION_H_

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
constexpr Duration kMeanServiceTime = std::chrono::milliseconds(100);
inline constexpr char kServiceName[] = "claims";

// How entries choose an executor: by a RequestRouter with one of three
// policies, or in round-robin order without a router.
enum class RoutingMethod { kAllSlots, kStaticShare, kDemandShare, kRoundRobin };

// Offered load, and its distribution over entries and accounts.
struct LoadProfile {
  const char* name;
  // Arrival rate as a multiple of the capacity of all executors.
  double factor;
  std::vector<double> entry_weights;
  std::vector<double> account_weights;
};

struct BurstResults {
  int arrived = 0;
  int answered_in_time = 0;
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  int refused_attempts = 0;
  // From the arrival of an answered request to its start on an executor.
  std::vector<Duration> waits;
  // From the arrival to the final refusal.
  std::vector<Duration> refusal_delays;
  std::vector<int> answered_by_account;
  // From arrival to answer, by account.
  std::vector<std::vector<Duration>> latencies_by_account;
};

struct BurstOptions {
  uint64_t seed = 1;
  int burst_seconds = 10;
  int heartbeat_ms = 200;
};

std::vector<ExecutorInfo> MakeExecutors(int count);
std::string AccountName(int number);
std::vector<AccountLimits> MakeAccounts(int count, int guaranteed);

// Simulates one second at half the capacity, then `load` for `burst_seconds`.
// Returns the results of the burst alone.
BurstResults RunBurst(RoutingMethod method, const LoadProfile& load,
                      const BurstOptions& options);

}  // namespace thornplank

#endif  // THORNPLANK_BENCHMARKS_BURST_SIMULATION_H_
