// Guarantees first, then start-time fair queueing.
#include "routing/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace thornplank {
namespace {

// Charged while the service time is unknown, in seconds.
constexpr double kUnknownCost = 0.001;
// Requests of one account that are looked at for an eligible one.
constexpr size_t kLookAhead = 64;
// An account without room for a share still drains.
constexpr double kMinimumSlots = 0.1;
constexpr double kMinimumWeight = 0.001;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool EarlierDeadline(const QueuedRequest& a, const QueuedRequest& b) {
  return a.deadline < b.deadline;
}

}  // namespace

void FairQueue::SetLimits(const std::vector<AccountLimits>& limits) {
  for (auto& [name, account] : accounts_) {
    account.limits = AccountLimits{};
    account.limits.account = name;
    account.known = false;
  }
  for (const AccountLimits& limit : limits) {
    Account& account = accounts_[limit.account];
    account.limits = limit;
    account.limits.weight = std::max(kMinimumWeight, limit.weight);
    account.known = true;
  }
  for (auto& [name, account] : accounts_) {
    UpdateGuarantee(&account);
  }
}

void FairQueue::SetDemandElsewhere(const std::string& account, double demand,
                                   Time now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return;
  }
  found->second.demand_elsewhere = demand;
  found->second.refused_here = found->second.refusals.At(now);
  UpdateGuarantee(&found->second);
}

const FairQueue::Account* FairQueue::Find(const std::string& account) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || !found->second.known) {
    return nullptr;
  }
  return &found->second;
}

bool FairQueue::HasRoom(const std::string& account) const {
  const Account* found = Find(account);
  return found != nullptr &&
         static_cast<int>(found->waiting.size()) < found->limits.max_queued;
}

int FairQueue::Rank(const std::string& account, Time deadline) const {
  const Account* found = Find(account);
  if (found == nullptr) {
    return 0;
  }
  const auto position =
      std::upper_bound(found->waiting.begin(), found->waiting.end(),
                       QueuedRequest{0, deadline}, EarlierDeadline);
  return static_cast<int>(position - found->waiting.begin());
}

void FairQueue::Push(const std::string& account, const QueuedRequest& request) {
  Account& target = accounts_[account];
  if (target.waiting.empty()) {
    target.virtual_start = std::max(target.virtual_start, virtual_time_);
  }
  const auto position = std::upper_bound(
      target.waiting.begin(), target.waiting.end(), request, EarlierDeadline);
  target.waiting.insert(position, request);
  ++size_;
  UpdateGuarantee(&target);
}

bool FairQueue::Remove(const std::string& account,
                       const QueuedRequest& request) {
  Account& target = accounts_[account];
  auto position = std::lower_bound(target.waiting.begin(), target.waiting.end(),
                                   request, EarlierDeadline);
  while (position != target.waiting.end() &&
         position->deadline == request.deadline) {
    if (position->handle == request.handle) {
      target.waiting.erase(position);
      --size_;
      UpdateGuarantee(&target);
      return true;
    }
    ++position;
  }
  return false;
}

std::optional<std::string> FairQueue::Next(
    const std::vector<std::string>& blocked) const {
  const Account* best = nullptr;
  const std::string* best_name = nullptr;
  bool best_guaranteed = false;
  double best_key = 0;
  for (const auto& [name, account] : accounts_) {
    if (account.waiting.empty() || !MaySend(account)) {
      continue;
    }
    if (std::find(blocked.begin(), blocked.end(), name) != blocked.end()) {
      continue;
    }
    const bool guaranteed = account.in_flight < account.guaranteed_here;
    const double key = guaranteed ? static_cast<double>(account.in_flight) /
                                        account.guaranteed_here
                                  : account.virtual_start;
    const bool better = best == nullptr || (guaranteed && !best_guaranteed) ||
                        (guaranteed == best_guaranteed && key < best_key);
    if (!better) {
      continue;
    }
    best = &account;
    best_name = &name;
    best_guaranteed = guaranteed;
    best_key = key;
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return *best_name;
}

bool FairQueue::BorrowsFromActive(const std::string& account) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() ||
      found->second.in_flight < found->second.guaranteed_here) {
    return false;
  }
  return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& item) {
    const Account& other = item.second;
    return item.first != account && other.in_flight > 0 &&
           other.in_flight < other.guaranteed_here;
  });
}

std::optional<QueuedRequest> FairQueue::Take(
    const std::string& account, const std::function<bool(uint64_t)>& eligible) {
  Account& target = accounts_[account];
  const size_t limit = std::min(target.waiting.size(), kLookAhead);
  for (size_t i = 0; i < limit; ++i) {
    const QueuedRequest request = target.waiting[i];
    if (!eligible(request.handle)) {
      continue;
    }
    target.waiting.erase(target.waiting.begin() +
                         static_cast<std::ptrdiff_t>(i));
    --size_;
    return request;
  }
  return std::nullopt;
}

std::optional<QueuedRequest> FairQueue::Last(const std::string& account) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || found->second.waiting.empty()) {
    return std::nullopt;
  }
  return found->second.waiting.back();
}

double FairQueue::Begin(const std::string& account) {
  Account& target = accounts_[account];
  const bool guaranteed = target.in_flight < target.guaranteed_here;
  ++target.in_flight;
  UpdateGuarantee(&target);
  if (guaranteed) {
    return 0;
  }
  const double cost = std::max(kUnknownCost, Seconds(TimeOf(account).mean()));
  virtual_time_ = std::max(virtual_time_, target.virtual_start);
  target.virtual_start += cost / target.limits.weight;
  return cost;
}

void FairQueue::End(const std::string& account, double charged,
                    std::optional<Duration> latency) {
  Account& target = accounts_[account];
  --target.in_flight;
  UpdateGuarantee(&target);
  if (charged <= 0) {
    return;
  }
  const double used = latency.has_value() ? Seconds(*latency) : 0.0;
  target.virtual_start += (used - charged) / target.limits.weight;
}

const ServiceTime& FairQueue::TimeOf(const std::string& account) const {
  const auto found = accounts_.find(account);
  if (found != accounts_.end() && found->second.service_time.known()) {
    return found->second.service_time;
  }
  return service_time_;
}

void FairQueue::RecordAnswer(const std::string& account, Duration latency) {
  service_time_.Record(latency);
  accounts_[account].service_time.Record(latency);
}

double FairQueue::RecordAttempt(const std::string& account, bool failed) {
  FailureShare& share = accounts_[account].failure_share;
  const double before = share.value();
  share.Add(failed ? 1.0 : 0.0);
  return before;
}

void FairQueue::RecordRefusal(const std::string& account, Time now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return;
  }
  found->second.refusals.Add(now);
}

double FairQueue::SlotsFor(const std::string& account, double slots) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return kMinimumSlots;
  }
  const Account& own = found->second;
  const double own_guarantee = std::min(
      slots, std::max(static_cast<double>(own.guaranteed_here),
                      std::min(1.0, 1.0 * own.limits.guaranteed_slots)));
  if (!own.limits.borrowing) {
    return std::max(kMinimumSlots, own_guarantee);
  }
  double rest = slots - own_guarantee;
  double weights = own.limits.weight;
  for (const auto& [name, other] : accounts_) {
    if (name == account) {
      continue;
    }
    if (other.waiting.empty() || !other.limits.borrowing) {
      rest -= std::max(std::min(other.guaranteed_here, other.demand()),
                       other.in_flight);
      continue;
    }
    rest -= std::min(other.guaranteed_here, other.demand());
    weights += other.limits.weight;
  }
  const double borrowed = std::max(0.0, rest) * own.limits.weight / weights;
  return std::max(kMinimumSlots, own_guarantee + borrowed);
}

bool FairQueue::MaySend(const Account& account) const {
  return account.limits.borrowing ||
         account.in_flight < account.guaranteed_here;
}

void FairQueue::UpdateGuarantee(Account* account) {
  const int guarantee = account->limits.guaranteed_slots;
  const double own = account->demand() + account->refused_here;
  if (guarantee <= 0 || own <= 0) {
    account->guaranteed_here = 0;
    return;
  }
  const double part = own / (own + account->demand_elsewhere);
  account->guaranteed_here = static_cast<int>(std::ceil(guarantee * part));
}

}  // namespace thornplank
