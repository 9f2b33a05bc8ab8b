// Compares, in virtual time, the policies by which entries share the slots of
// executors, and measures the processor time of a routing decision.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "burst_simulation.h"
#include "routing/request_router.h"

DEFINE_uint64(seed, 1, "Seed of arrivals and service times.");
DEFINE_int32(burst_seconds, 10,
             "Length of the burst in seconds of virtual time.");
DEFINE_int32(heartbeat_ms, 200,
             "Interval of the heartbeats of entries, in milliseconds.");
DEFINE_int32(decisions, 200000, "Decisions measured per row.");

namespace thornplank {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

BurstOptions Options() {
  return {FLAGS_seed, FLAGS_burst_seconds, FLAGS_heartbeat_ms};
}

const char* NameOf(RoutingMethod method) {
  switch (method) {
    case RoutingMethod::kAllSlots:
      return "AllSlots";
    case RoutingMethod::kStaticShare:
      return "StaticShare";
    case RoutingMethod::kDemandShare:
      return "DemandShare";
    case RoutingMethod::kRoundRobin:
      return "round robin";
  }
  return "";
}

double QuantileMs(std::vector<Duration>* values, double quantile) {
  if (values->empty()) {
    return 0;
  }
  const auto position = values->begin() + static_cast<std::ptrdiff_t>(
                                              quantile * (values->size() - 1));
  std::nth_element(values->begin(), position, values->end());
  return duration_cast<microseconds>(*position).count() / 1000.0;
}

void CompareMethods() {
  const std::vector<double> uneven = {50, 20, 5, 5, 5, 5, 5, 5};
  const std::vector<double> skewed = {93, 1, 1, 1, 1, 1, 1, 1};
  const std::vector<double> mixed = {70, 10, 10, 10};
  const LoadProfile loads[] = {
      {"3.0 x capacity, half of it at one entry", 3.0, uneven, mixed},
      {"0.9 x capacity, 93 % of it at one entry", 0.9, skewed, mixed},
      {"0.9 x capacity, even", 0.9, std::vector<double>(kEntries, 1), mixed},
  };
  const double capacity =
      kExecutors * kSlots /
      std::chrono::duration<double>(kMeanServiceTime).count() *
      FLAGS_burst_seconds;
  for (const LoadProfile& load : loads) {
    std::printf("\n%s\n", load.name);
    std::printf("%-12s %8s %8s %8s %8s %9s %9s %10s %10s %8s\n", "way",
                "goodput", "goodput", "refused/", "unknown", "wait p50",
                "wait p99", "not-run", "not-run", "least");
    std::printf("%-12s %8s %8s %8s %8s %9s %9s %10s %10s %8s\n", "", "/capac.",
                "/demand", "answer", "", "ms", "ms", "p50 ms", "p99 ms",
                "account");
    for (RoutingMethod method :
         {RoutingMethod::kAllSlots, RoutingMethod::kStaticShare,
          RoutingMethod::kDemandShare, RoutingMethod::kRoundRobin}) {
      BurstResults results = RunBurst(method, load, Options());
      const int least = *std::min_element(results.answered_by_account.begin(),
                                          results.answered_by_account.end());
      std::printf(
          "%-12s %8.3f %8.3f %8.3f %8d %9.1f %9.1f %10.1f %10.1f %8d\n",
          NameOf(method), results.answered_in_time / capacity,
          1.0 * results.answered_in_time / std::max(1, results.arrived),
          1.0 * results.refused_attempts / std::max(1, results.answered),
          results.unknown, QuantileMs(&results.waits, 0.5),
          QuantileMs(&results.waits, 0.99),
          QuantileMs(&results.refusal_delays, 0.5),
          QuantileMs(&results.refusal_delays, 0.99), least);
    }
  }
}

// Compares the latencies of an account within its guarantee, without and with
// another account that sends three times the capacity.
void CompareNeighbours() {
  const std::vector<double> uneven = {50, 20, 5, 5, 5, 5, 5, 5};
  const LoadProfile alone = {"alone", 0.1, uneven, {0, 1}};
  const LoadProfile flooded = {"flooded", 3.1, uneven, {30, 1}};
  std::printf("\nneighbour at 0.1 x capacity, flood at 3 x capacity\n");
  std::printf("%-12s %12s %12s %12s %12s\n", "way", "alone p50", "alone p99",
              "flooded p50", "flooded p99");
  for (RoutingMethod method :
       {RoutingMethod::kAllSlots, RoutingMethod::kStaticShare,
        RoutingMethod::kDemandShare, RoutingMethod::kRoundRobin}) {
    BurstResults before = RunBurst(method, alone, Options());
    BurstResults after = RunBurst(method, flooded, Options());
    std::printf("%-12s %12.1f %12.1f %12.1f %12.1f\n", NameOf(method),
                QuantileMs(&before.latencies_by_account[1], 0.5),
                QuantileMs(&before.latencies_by_account[1], 0.99),
                QuantileMs(&after.latencies_by_account[1], 0.5),
                QuantileMs(&after.latencies_by_account[1], 0.99));
  }
}

// Nanoseconds per call of Submit or CompleteAttempt on a saturated router.
double DecisionTime(int executors, int accounts) {
  RequestRouter router(RouterOptions{});
  Time now{seconds(1)};
  router.SetAccountLimits(MakeAccounts(accounts, 2), now);
  router.SetExecutors(MakeExecutors(executors), now);
  router.SetLiveEntries("entry-0", {"entry-0", "entry-1", "entry-2"}, now);
  std::vector<SendAttempt> in_flight;
  in_flight.reserve(static_cast<size_t>(executors) * kSlots);
  std::mt19937_64 random(FLAGS_seed);
  const auto collect = [&in_flight](const RoutingActions& actions) {
    for (const RoutingAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        in_flight.push_back(*send);
      }
    }
  };
  const auto submit = [&](int number) {
    RequestInfo request;
    request.id = "request-" + std::to_string(number);
    request.account = AccountName(number % accounts);
    request.service = kServiceName;
    request.deadline = now + seconds(60);
    collect(router.Submit(request, now));
  };
  int number = 0;
  const int full = executors * kSlots + 20 * accounts;
  while (number < full) {
    submit(number++);
  }
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < FLAGS_decisions / 2; ++i) {
    now += microseconds(50);
    const size_t index = random() % in_flight.size();
    std::swap(in_flight[index], in_flight.back());
    const SendAttempt attempt = in_flight.back();
    in_flight.pop_back();
    AttemptResult result;
    result.outcome = AttemptOutcome::kAnswered;
    result.latency = milliseconds(20);
    collect(router.CompleteAttempt(attempt.request_id, attempt.executor, result,
                                   now));
    submit(number++);
  }
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  return 1.0 * duration_cast<nanoseconds>(elapsed).count() / FLAGS_decisions;
}

void MeasureDecisions() {
  std::printf("\n%10s %10s %14s\n", "executors", "accounts", "ns/decision");
  for (int executors : {50, 500}) {
    for (int accounts : {4, 27}) {
      std::printf("%10d %10d %14.0f\n", executors, accounts,
                  DecisionTime(executors, accounts));
    }
  }
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  thornplank::CompareMethods();
  thornplank::CompareNeighbours();
  thornplank::MeasureDecisions();
  return 0;
}
