// Serves guarantees first, then applies start-time fair queueing.
#include "routing/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace thornplank {
namespace {

// Minimum charge, also used while the service time is unknown.
constexpr double kDefaultCostSeconds = 0.001;
// Requests of one account that are scanned for an eligible one.
constexpr size_t kMaxScannedRequests = 64;
// Lower bound of an account's expected slots, so that its expected wait is
// finite: an account without a share still drains.
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
    account.has_limits = false;
  }
  for (const AccountLimits& limit : limits) {
    Account& account = accounts_[limit.account];
    account.limits = limit;
    account.limits.weight = std::max(kMinimumWeight, limit.weight);
    account.has_limits = true;
  }
  for (auto& [name, account] : accounts_) {
    UpdateLocalGuarantee(&account);
  }
}

void FairQueue::SetRemoteDemand(const std::string& account, double demand,
                                Time now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return;
  }
  found->second.remote_demand = demand;
  found->second.refusal_demand = found->second.refusals.At(now);
  UpdateLocalGuarantee(&found->second);
}

const FairQueue::Account* FairQueue::Find(const std::string& account) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || !found->second.has_limits) {
    return nullptr;
  }
  return &found->second;
}

bool FairQueue::HasRoom(const std::string& account) const {
  const Account* found = Find(account);
  return found != nullptr &&
         static_cast<int>(found->waiting.size()) < found->limits.max_queued;
}

int FairQueue::RequestsAhead(const std::string& account, Time deadline) const {
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
  UpdateLocalGuarantee(&target);
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
      UpdateLocalGuarantee(&target);
      return true;
    }
    ++position;
  }
  return false;
}

std::optional<std::string> FairQueue::NextAccount(
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
    const bool guaranteed = account.in_flight < account.local_guarantee;
    const double key = guaranteed ? static_cast<double>(account.in_flight) /
                                        account.local_guarantee
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
      found->second.in_flight < found->second.local_guarantee) {
    return false;
  }
  return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& item) {
    const Account& other = item.second;
    return item.first != account && other.in_flight > 0 &&
           other.in_flight < other.local_guarantee;
  });
}

std::optional<QueuedRequest> FairQueue::Take(
    const std::string& account, const std::function<bool(uint64_t)>& eligible) {
  Account& target = accounts_[account];
  const size_t limit = std::min(target.waiting.size(), kMaxScannedRequests);
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

std::optional<QueuedRequest> FairQueue::LastRequest(
    const std::string& account) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || found->second.waiting.empty()) {
    return std::nullopt;
  }
  return found->second.waiting.back();
}

double FairQueue::BeginAttempt(const std::string& account) {
  Account& target = accounts_[account];
  const bool guaranteed = target.in_flight < target.local_guarantee;
  ++target.in_flight;
  UpdateLocalGuarantee(&target);
  if (guaranteed) {
    return 0;
  }
  const double cost =
      std::max(kDefaultCostSeconds, Seconds(ServiceTimeOf(account).mean()));
  virtual_time_ = std::max(virtual_time_, target.virtual_start);
  target.virtual_start += cost / target.limits.weight;
  return cost;
}

void FairQueue::EndAttempt(const std::string& account, double charged_seconds,
                           std::optional<Duration> latency) {
  Account& target = accounts_[account];
  --target.in_flight;
  UpdateLocalGuarantee(&target);
  if (charged_seconds <= 0) {
    return;
  }
  const double used = latency.has_value() ? Seconds(*latency) : 0.0;
  target.virtual_start += (used - charged_seconds) / target.limits.weight;
}

const ServiceTime& FairQueue::ServiceTimeOf(const std::string& account) const {
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
  FailureRate& share = accounts_[account].failure_rate;
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
  const Account& requester = found->second;
  const double guaranteed = std::min(
      slots, std::max(static_cast<double>(requester.local_guarantee),
                      std::min(1.0, 1.0 * requester.limits.guaranteed_slots)));
  if (!requester.limits.borrowing) {
    return std::max(kMinimumSlots, guaranteed);
  }
  double remaining = slots - guaranteed;
  double total_weight = requester.limits.weight;
  for (const auto& [name, other] : accounts_) {
    if (name == account) {
      continue;
    }
    if (other.waiting.empty() || !other.limits.borrowing) {
      remaining -= std::max(std::min(other.local_guarantee, other.demand()),
                            other.in_flight);
      continue;
    }
    remaining -= std::min(other.local_guarantee, other.demand());
    total_weight += other.limits.weight;
  }
  const double borrowed =
      std::max(0.0, remaining) * requester.limits.weight / total_weight;
  return std::max(kMinimumSlots, guaranteed + borrowed);
}

bool FairQueue::MaySend(const Account& account) const {
  return account.limits.borrowing ||
         account.in_flight < account.local_guarantee;
}

void FairQueue::UpdateLocalGuarantee(Account* account) {
  const int guarantee = account->limits.guaranteed_slots;
  const double local_demand = account->demand() + account->refusal_demand;
  if (guarantee <= 0 || local_demand <= 0) {
    account->local_guarantee = 0;
    return;
  }
  const double local_fraction =
      local_demand / (local_demand + account->remote_demand);
  account->local_guarantee =
      static_cast<int>(std::ceil(guarantee * local_fraction));
}

}  // namespace thornplank
