// What urgent runs of each account use, against the account's guarantee, as a
// planning round starts and stops them.
//
// Says which accounts use more than they are guaranteed, and to which ones
// their guarantee is owed at once: those whose unfinished urgent jobs all fit
// into it. An account that asks for more than its guarantee is owed nothing
// that would have to be taken from others. Not thread-safe; lives for one
// round.
#ifndef THORNPLANK_WORKLOAD_URGENT_BALANCE_H_
#define THORNPLANK_WORKLOAD_URGENT_BALANCE_H_

#include <cstdint>
#include <map>
#include <string>

#include "workload/account_shares.h"
#include "workload/cluster_capacity.h"
#include "workload/job_ledger.h"
#include "workload/ready_step.h"

namespace thornplank {

class UrgentBalance {
 public:
  // All of it must outlive this object.
  UrgentBalance(const ClusterCapacity* capacity, const JobLedger* ledger,
                const Guarantees* guarantees);

  // Accelerators were reserved for an urgent step of the account, or no longer
  // are if negative.
  void Reserve(const std::string& account, int64_t accelerators) {
    changes_[account].reserved += accelerators;
  }
  void OnStarted(const std::string& account, int64_t accelerators) {
    changes_[account].started += accelerators;
  }
  // Runs that were not being stopped before.
  void OnStopped(const std::string& account, int64_t accelerators) {
    changes_[account].stopped += accelerators;
  }

  // Accelerators that the account may still use under its guarantee. Runs that
  // are being stopped and reservations count as used. Negative beyond it.
  int64_t Left(const std::string& account) const;
  // Accelerators that it uses beyond its guarantee. Runs that are being stopped
  // do not count: what they free was taken from the account already.
  int64_t Excess(const std::string& account) const;
  // Accelerators of the tasks that run or may start, of urgent jobs that have
  // not ended, by account. Empty if nothing is guaranteed.
  const std::map<std::string, int64_t>& needed() const { return needed_; }
  // Whether all unfinished urgent jobs of the account need no more than it is
  // guaranteed.
  bool IsOwed(const std::string& account) const;

 private:
  // Since the begin of the round.
  struct Changes {
    int64_t reserved = 0;
    int64_t started = 0;
    int64_t stopped = 0;
  };

  void CountNeeds(const JobLedger& ledger);
  // Zero for an account without a guarantee.
  int64_t Guaranteed(const std::string& account) const;
  const Changes& ChangesOf(const std::string& account) const;

  const ClusterCapacity& capacity_;
  const Guarantees& guarantees_;
  std::map<std::string, Changes> changes_;
  // See needed().
  std::map<std::string, int64_t> needed_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_URGENT_BALANCE_H_
