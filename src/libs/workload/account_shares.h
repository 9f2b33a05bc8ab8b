// How much of each service the client accounts use, compared with their
// weights.
//
// An account's dominant share is the largest of its shares of the service's
// accelerators, cores and memory. Its weight is its number of guaranteed
// accelerators, with bounds. Accounts are compared by dominant share divided by
// weight (weighted dominant resource fairness). Built for one round or one
// reading of metrics from the runs that the workers have; nothing is stored.
// Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_ACCOUNT_SHARES_H_
#define THORNPLANK_WORKLOAD_ACCOUNT_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "workload/resources.h"
#include "workload/worker_tracker.h"

namespace thornplank {

// Accelerators guaranteed to an account's urgent jobs at all times.
using Guarantees = std::map<std::string, int64_t>;

// Number of accounts that are guaranteed accelerators.
int64_t CountGuaranteedAccounts(const Guarantees& guarantees);

// Numbers within one AccountShares.
struct ServiceAccount {
  size_t service = 0;
  size_t account = 0;
};

// Where an urgent step would leave its account. Smaller is placed earlier.
enum class GuaranteeUse {
  // All of the step is within the guarantee.
  kWithin,
  // The account is below its guarantee, but the step needs more than is left.
  kPartly,
  // The account has no guarantee, or uses all of it.
  kBeyond,
};

class AccountShares {
 public:
  struct Sample {
    std::string service;
    std::string account;
    double share = 0;
  };

  explicit AccountShares(const Guarantees& guarantees);

  // The service's number; it is added if it is new.
  size_t NumberOfService(const std::string& service);
  void AddCapacity(size_t service, const Resources& capacity);
  // Counts a run of a worker of the service. A run that is being stopped does
  // not count, since its capacity has been given to others.
  void AddRun(size_t service, const TrackedRun& run);
  // Adds the capacity of a worker, and its runs.
  void AddWorker(const WorkerTracker& worker);
  // Makes the account one of those that have work in the service.
  ServiceAccount Include(const std::string& service,
                         const std::string& account);
  std::optional<ServiceAccount> Find(const std::string& service,
                                     const std::string& account) const;
  // Counts `tasks` more runs, or fewer if negative, each of `need`.
  void Change(const ServiceAccount& account, int priority,
              const Resources& need, int64_t tasks);

  // Never negative and never infinite.
  double WeightedShare(const ServiceAccount& account) const;
  // Over the accounts with runs or waiting steps in the service.
  double MeanShare(size_t service) const;
  // Whether a share is above the mean, by more than rounding errors.
  static bool IsAbove(double share, double mean) {
    return share > mean * kRoundingMargin;
  }
  static bool IsBelow(double share, double mean) {
    return share * kRoundingMargin < mean;
  }
  int64_t Runs(const ServiceAccount& account, int priority) const;
  double Weight(const ServiceAccount& account) const {
    return accounts_[account.account].weight;
  }
  GuaranteeUse UseWith(const ServiceAccount& account, const Resources& need,
                       int64_t tasks) const;

  // The shares in each service: those of the `limit` accounts with the largest
  // weights by name, and the largest of the others as `other`.
  std::vector<Sample> Samples(size_t limit) const;

  // Runs counted so far; shows that a round visits each run once.
  int64_t counted_runs() const { return counted_runs_; }

 private:
  static constexpr double kRoundingMargin = 1 + 1e-6;

  // Floating-point numbers, so that no sum overflows.
  struct Amounts {
    double cpu_millis = 0;
    double memory_mb = 0;
    double accelerators = 0;

    // Negative amounts of `each` count as 0, and no sum falls below 0.
    void Add(const Resources& each, double times);
  };
  struct Account {
    std::string name;
    // Invariant: positive and finite.
    double weight = 1;
    double guarantee = 0;
    // In all services.
    double urgent_accelerators = 0;
  };
  struct RunCount {
    int priority = 0;
    int64_t count = 0;
  };
  struct Use {
    bool has_work = false;
    Amounts amounts;
    // There are few priorities.
    std::vector<RunCount> runs;
  };
  struct Service {
    std::string name;
    Amounts capacity;
    // By number of the account.
    std::vector<Use> uses;
  };

  size_t NumberOfAccount(const std::string& account);
  void AddRuns(size_t service, const RunProfile& profile, int64_t runs);
  Use& UseOf(const ServiceAccount& account);
  const Use* FindUse(const ServiceAccount& account) const;
  std::vector<Sample> SamplesOf(size_t service,
                                const std::vector<size_t>& accounts,
                                size_t limit) const;

  // Weight of an account without a guarantee. Invariant: positive and finite.
  double least_weight_ = 1;
  std::vector<Account> accounts_;
  std::unordered_map<std::string, size_t> account_numbers_;
  // There are few.
  std::vector<Service> services_;
  int64_t counted_runs_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_ACCOUNT_SHARES_H_
