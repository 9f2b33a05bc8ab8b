// The order in which a planning round places ready steps.
//
// Steps come by priority. In services that are shared, the account with the
// smallest weighted dominant share comes next within a priority. What the round
// starts counts at once, so that accounts alternate. In other services the
// order of the steps is that in which they were given. Not thread-safe; lives
// for one round.
#ifndef THORNPLANK_WORKLOAD_STEP_QUEUE_H_
#define THORNPLANK_WORKLOAD_STEP_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "workload/account_shares.h"
#include "workload/ready_step.h"

namespace thornplank {

// The services in which accounts share the capacity by weight.
struct SharedServices {
  bool all = false;
  std::set<std::string> names;

  bool Contains(const std::string& service) const {
    return all || names.count(service) > 0;
  }
  bool IsEmpty() const { return !all && names.empty(); }
};

class StepQueue {
 public:
  struct Settings {
    SharedServices services;
    // An account whose oldest step has waited longer goes first while the
    // account runs nothing of that priority.
    Milliseconds max_share_wait{8000};
    WallTime now{};
  };

  // `steps` are sorted by priority and age. `shares` may be null if no service
  // is shared. Both must outlive this object. The accounts of the steps are
  // added to `shares`.
  StepQueue(const std::vector<ReadyStep>& steps, AccountShares* shares,
            Settings settings);
  StepQueue(const StepQueue&) = delete;
  StepQueue& operator=(const StepQueue&) = delete;

  // The next step; null after the last one.
  const ReadyStep* Next();
  // The shares of the account have changed. Must be called before Next().
  void OnSharesChanged(const std::string& service, const std::string& account);

  // Comparisons of accounts so far; shows the cost of a step.
  int64_t comparisons() const { return comparisons_; }

 private:
  // Steps that compete with each other: those of one priority in one shared
  // service, or those of one priority in all other services.
  struct Group {
    bool shared = false;
    // Indexes into order_.
    size_t begin = 0;
    size_t end = 0;
  };
  // What decides which account comes next. Smaller is earlier.
  struct Key {
    // Of urgent steps only.
    GuaranteeUse guarantee = GuaranteeUse::kWithin;
    bool starved = false;
    // Zero for a starved account, so that the one that waits longest is first.
    double share = 0;
    // When the account's oldest step might have started.
    WallTime oldest{};
    size_t lane = 0;
  };
  struct IsEarlier {
    int64_t* comparisons;
    bool operator()(const Key& a, const Key& b) const;
  };
  using Lanes = std::set<Key, IsEarlier>;
  // The steps of one account in the current group.
  struct Lane {
    ServiceAccount account;
    std::vector<const ReadyStep*> steps;
    // oldest[i]: the earliest start of steps[i] and those after it.
    std::vector<WallTime> oldest;
    size_t next = 0;
    // lanes_.end() while no step is left.
    Lanes::iterator position;
  };

  void SortIntoGroups(const std::vector<ReadyStep>& steps);
  void EnterGroup();
  void FillLanes(const Group& group);
  void Enqueue(size_t lane);
  Key KeyOf(size_t lane) const;

  AccountShares* const shares_;
  const Settings settings_;
  // The steps in order of their groups.
  std::vector<const ReadyStep*> order_;
  std::vector<Group> groups_;
  // Number of the group that follows the current one.
  size_t next_group_ = 0;
  // The remaining steps of the current group if it is not shared.
  size_t position_ = 0;
  size_t end_ = 0;
  // Of the current group if it is shared.
  std::vector<Lane> lane_table_;
  std::unordered_map<size_t, size_t> lane_of_account_;
  int64_t comparisons_ = 0;
  Lanes lanes_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_STEP_QUEUE_H_
