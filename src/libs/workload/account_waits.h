// Which accounts wait for their share of a service, for the log.
//
// An account waits for its share in a priority while a step of it found no
// capacity and its weighted dominant share is below the mean of the service.
// Waits that are soon over are not reported: shares change with each start and
// end, and a log line for each change would be of no use. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_ACCOUNT_WAITS_H_
#define THORNPLANK_WORKLOAD_ACCOUNT_WAITS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "workload/account_shares.h"

namespace thornplank {

struct AccountPriority {
  std::string service;
  std::string account;
  int priority = 0;
};

inline bool operator<(const AccountPriority& a, const AccountPriority& b) {
  return std::tie(a.service, a.account, a.priority) <
         std::tie(b.service, b.account, b.priority);
}

// A wait has begun or ended.
struct AccountWait {
  AccountPriority key;
  bool begins = false;
  // The weighted dominant share, and the weight.
  double share = 0;
  double weight = 0;
  // Steps that found no capacity.
  int64_t waiting = 0;
  Duration waited{};
};

class AccountWaits {
 public:
  using WaitingSteps = std::map<AccountPriority, int64_t>;

  // Returns the waits that have begun or ended since the last call. `waiting`
  // counts the steps that found no capacity in services that are shared;
  // `shares` may be null if it is empty.
  std::vector<AccountWait> Observe(const WaitingSteps& waiting,
                                   const AccountShares* shares, Time now);

 private:
  struct State {
    Time since{};
    bool reported = false;
    AccountWait last;
  };

  std::map<AccountPriority, State> states_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_ACCOUNT_WAITS_H_
