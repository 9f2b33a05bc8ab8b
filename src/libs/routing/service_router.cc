// Implements admission, dispatch and slot sharing within one service.
#include "routing/service_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "routing/jitter.h"
#include "routing/retry_policy.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Interval at which Dispatch recomputes this entry's share from its demand.
constexpr Duration kReallocationPeriod = milliseconds(50);
constexpr Duration kSheddingPeriod = milliseconds(100);
// A queued request is refused when its expected wait exceeds the time left to
// its deadline by this factor; above 1, so that noise in the estimate alone
// refuses no request.
constexpr double kLateWaitFactor = 1.5;
// A request is not sent when the time left to its deadline is less than this
// fraction (1/2) of the mean service time.
constexpr int kQuickRunFraction = 2;
// The timeout of an attempt of an idempotent request is at least this many mean
// service times, within the deadline.
constexpr int kMinAttemptServiceTimes = 20;
// Time for which a refusal may count in the demand.
constexpr Duration kRefusalDecayTime = seconds(12);
// Assumed while the service time is unknown.
constexpr Duration kDefaultBacklog = seconds(1);
constexpr Duration kMinRetryAfter = milliseconds(200);
constexpr Duration kMinJitterRange = seconds(1);
constexpr Duration kMaxRetryAfter = seconds(60);
// An entry with fewer slots reserves none for guarantees.
constexpr int kMinSlotsToReserveOne = 16;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(duration.count()) * factor));
}

// Number of waiting requests and recent refusals.
int QueuedDemand(const FairQueue::Account& account, Time now) {
  return static_cast<int>(account.waiting.size()) +
         static_cast<int>(std::lround(account.refusals.At(now)));
}

}  // namespace

ServiceRouter::ServiceRouter(uint64_t seed, std::string own_failure_domain,
                             const SlotSharingPolicy* slot_sharing,
                             RequestTable* table)
    : seed_(seed),
      slot_sharing_(slot_sharing),
      table_(table),
      pool_(seed, std::move(own_failure_domain)) {}

void ServiceRouter::SetLimits(const std::vector<AccountLimits>& limits,
                              Time now) {
  queue_.SetLimits(limits);
  Reallocate(now);
}

RoutingActions ServiceRouter::SetExecutors(
    const std::vector<ExecutorInfo>& executors, Time now) {
  RoutingActions actions = pool_.SetExecutors(executors, now);
  Reallocate(now);
  return actions;
}

void ServiceRouter::SetLiveEntries(const std::vector<std::string>& entries,
                                   size_t own, Time now) {
  entries_ = entries;
  own_entry_index_ = own;
  for (auto it = peer_demand_.begin(); it != peer_demand_.end();) {
    const bool live =
        std::binary_search(entries.begin(), entries.end(), it->first);
    it = live ? std::next(it) : peer_demand_.erase(it);
  }
  Reallocate(now);
}

void ServiceRouter::SetPeerDemand(const std::string& entry,
                                  std::vector<AccountDemand> demand, Time now) {
  peer_demand_[entry] = std::move(demand);
  Reallocate(now);
}

std::optional<Refusal> ServiceRouter::CheckAdmission(const RequestInfo& request,
                                                     Time now) const {
  const auto refuse = [&](const char* reason) {
    return Refusal{reason, RetryAfter(request.account, request.id, now)};
  };
  const FairQueue::Account* account = queue_.Find(request.account);
  if (account == nullptr) {
    return refuse("the client account has no share of this service");
  }
  if (!account->limits.borrowing && account->limits.guaranteed_slots <= 0) {
    return refuse("the client account has no slots of this service");
  }
  if (!pool_.HasAlternative("")) {
    return refuse("no executor of this service is available");
  }
  if (!queue_.HasRoom(request.account)) {
    return refuse("the queue of the client account is full");
  }
  const ServiceTime& time = queue_.ServiceTimeOf(request.account);
  const Duration wait = Scale(ExpectedWait(request.account, request.deadline),
                              admission_margin_.factor());
  const Duration run = wait > Duration::zero()
                           ? time.high_estimate()
                           : time.mean() / kQuickRunFraction;
  if (now + wait + run >= request.deadline) {
    return refuse("cannot finish before its deadline");
  }
  return std::nullopt;
}

Duration ServiceRouter::RetryAfter(const std::string& account,
                                   const std::string& id, Time now) const {
  const Duration expected = queue_.ServiceTimeOf(account).mean();
  const double slots = ExpectedSlots(account);
  const FairQueue::Account* found = queue_.Find(account);
  const double waiting =
      found == nullptr ? 0.0 : static_cast<double>(found->waiting.size());
  const double refusals = found == nullptr ? 0.0 : found->refusals.At(now);
  Duration backlog = kDefaultBacklog;
  Duration jitter_range = kMinJitterRange;
  if (expected > Duration::zero()) {
    backlog = std::min(kMaxRetryAfter, Scale(expected, waiting / slots));
    const Duration returning =
        std::min(kMaxRetryAfter, Scale(expected, refusals / slots));
    jitter_range = std::max(kMinJitterRange, backlog + returning);
  }
  const Duration after = std::max(kMinRetryAfter, backlog) +
                         Scale(jitter_range, JitterFraction(seed_, id));
  return std::min(after, kMaxRetryAfter);
}

void ServiceRouter::CountRefusal(const std::string& account, Time now) {
  queue_.RecordRefusal(account, now);
  refusals_decayed_at_ = now + kRefusalDecayTime;
  next_shedding_ = std::max(next_shedding_, now);
}

std::vector<AccountDemand> ServiceRouter::Demand(const std::string& service,
                                                 Time now) const {
  std::vector<AccountDemand> result;
  for (const auto& [name, account] : queue_.accounts()) {
    const int queued = QueuedDemand(account, now);
    if (queued == 0 && account.in_flight == 0) {
      continue;
    }
    result.push_back({service, name, queued, account.in_flight});
  }
  return result;
}

void ServiceRouter::Enqueue(RoutedRequest* request, Time now) {
  request->phase = RoutedRequest::Phase::kQueued;
  request->queued_at = now;
  queue_.Push(request->info.account, {request->handle, request->info.deadline});
  const Duration quick =
      queue_.ServiceTimeOf(request->info.account).mean() / kQuickRunFraction;
  table_->SetTimer(request, std::max(now, request->info.deadline - quick));
}

void ServiceRouter::ExpireQueued(RoutedRequest* request, Time now,
                                 RoutingActions* actions) {
  admission_margin_.RecordLateRefusal();
  RemoveQueued(*request);
  FinishUnserved(request, "its turn did not come in time", now, actions);
}

void ServiceRouter::RemoveQueued(const RoutedRequest& request) {
  queue_.Remove(request.info.account, {request.handle, request.info.deadline});
}

void ServiceRouter::Dispatch(Time now, RoutingActions* actions) {
  if (queue_.size() == 0) {
    return;
  }
  if (now >= next_reallocation_) {
    Reallocate(now);
  }
  std::vector<std::string> blocked;
  while (queue_.size() > 0 && DispatchOne(now, &blocked, actions)) {
  }
}

bool ServiceRouter::DispatchOne(Time now, std::vector<std::string>* blocked,
                                RoutingActions* actions) {
  Executor* executor = pool_.Pick("", now);
  if (executor == nullptr) {
    return false;
  }
  const std::optional<std::string> account = queue_.NextAccount(*blocked);
  if (!account.has_value()) {
    return false;
  }
  if (ReservesLastSlotFrom(*account)) {
    return false;
  }
  const auto fits = [&](uint64_t handle) {
    return table_->ByHandle(handle)->executor != executor->info.name;
  };
  std::optional<QueuedRequest> taken = queue_.Take(*account, fits);
  if (!taken.has_value()) {
    // The last attempts of all scanned requests were at this executor.
    executor = pool_.Pick(executor->info.name, now);
    if (executor != nullptr) {
      taken = queue_.Take(*account, fits);
    }
  }
  if (!taken.has_value()) {
    blocked->push_back(*account);
    return true;
  }
  RoutedRequest* request = table_->ByHandle(taken->handle);
  const ServiceTime& time = queue_.ServiceTimeOf(*account);
  // While other requests wait, a slot is not used for a request that would
  // probably miss its deadline.
  const Duration needed = queue_.size() > 0 ? time.high_estimate()
                                            : time.mean() / kQuickRunFraction;
  if (now + needed >= request->info.deadline) {
    admission_margin_.RecordLateRefusal();
    FinishUnserved(request, "cannot finish before its deadline", now, actions);
    return true;
  }
  if (request->queued_at < now) {
    admission_margin_.RecordSent();
  }
  Send(request, executor, now, actions);
  return true;
}

bool ServiceRouter::ReservesLastSlotFrom(const std::string& account) const {
  const int usable = pool_.usable_slots();
  return usable >= kMinSlotsToReserveOne && usable - pool_.in_flight() <= 1 &&
         queue_.BorrowsFromActive(account);
}

void ServiceRouter::Send(RoutedRequest* request, Executor* executor, Time now,
                         RoutingActions* actions) {
  const std::string& account = request->info.account;
  const Time deadline = request->info.deadline;
  const std::string load = std::to_string(executor->in_flight()) + " of " +
                           std::to_string(executor->usable_slots());
  if (request->attempts() == 0) {
    executor->retry_budget.RecordFreshRequest();
  }
  request->charged_seconds = queue_.BeginAttempt(account);
  pool_.BeginAttempt(executor, now);
  request->phase = RoutedRequest::Phase::kInFlight;
  request->executor = executor->info.name;
  request->executor_generation = executor->generation;
  request->attempt_start = now;
  request->attempt_deadline = deadline;
  if (request->info.idempotent && request->tries + 1 < MaxTries()) {
    // Leaves time for a retry in case the executor does not answer.
    const Duration attempt_timeout = std::max(
        (deadline - now) / 2,
        kMinAttemptServiceTimes * queue_.ServiceTimeOf(account).mean());
    request->attempt_deadline = std::min(deadline, now + attempt_timeout);
  }
  table_->SetTimer(request, deadline);
  const char* kind =
      request->charged_seconds > 0 ? "fair share" : "guaranteed slot";
  actions->push_back(SendAttempt{
      request->info.id, executor->info.name, executor->info.address,
      request->attempts() + 1, request->attempt_deadline,
      std::string(kind) + "; least loaded with " + load + " in flight"});
}

RoutingActions ServiceRouter::EndAttempt(const RoutedRequest& request,
                                         const AttemptResult& result,
                                         Time now) {
  const bool used = result.outcome != AttemptOutcome::kRefusedNotRun &&
                    result.outcome != AttemptOutcome::kNotSent;
  queue_.EndAttempt(
      request.info.account, request.charged_seconds,
      used ? std::optional<Duration>(result.latency) : std::nullopt);
  if (result.outcome == AttemptOutcome::kAnswered) {
    queue_.RecordAnswer(request.info.account, result.latency);
  }
  double account_failure_rate = 0;
  if (used) {
    account_failure_rate = queue_.RecordAttempt(
        request.info.account, result.outcome != AttemptOutcome::kAnswered);
  }
  Executor* executor = pool_.Find(request.executor);
  if (executor == nullptr) {
    return {};
  }
  AttemptEnd end;
  end.generation = request.executor_generation;
  end.start = request.attempt_start;
  end.timed_out = result.outcome == AttemptOutcome::kUnknown &&
                  now >= request.attempt_deadline;
  end.account_failure_rate = account_failure_rate;
  end.result = result;
  return pool_.EndAttempt(executor, end, now);
}

void ServiceRouter::Tick(Time now, RoutingActions* actions) {
  RoutingActions changes = pool_.Tick(now);
  std::move(changes.begin(), changes.end(), std::back_inserter(*actions));
  if (now >= next_shedding_) {
    next_shedding_ = now + kSheddingPeriod;
    ShedLateRequests(now, actions);
  }
  Dispatch(now, actions);
}

std::optional<Time> ServiceRouter::NextTickTime() const {
  const bool waiting = queue_.size() > 0;
  std::optional<Time> wake = pool_.NextTickTime(waiting);
  if (waiting || next_shedding_ < refusals_decayed_at_) {
    wake = wake.has_value() ? std::min(*wake, next_shedding_) : next_shedding_;
  }
  return wake;
}

void ServiceRouter::FinishUnserved(RoutedRequest* request,
                                   const std::string& reason, Time now,
                                   RoutingActions* actions) {
  if (request->may_have_run) {
    actions->push_back(FinishUnknown{request->info.id, reason});
  } else {
    const Duration after =
        RetryAfter(request->info.account, request->info.id, now);
    actions->push_back(FinishNotRun{request->info.id, reason, after});
  }
  table_->Erase(request);
}

void ServiceRouter::Reallocate(Time now) {
  next_reallocation_ = now + kReallocationPeriod;
  if (entries_.empty()) {
    entries_.emplace_back();
  }
  const SlotSharingInput input = MakeSlotSharingInput(now);
  pool_.SetAllocation(slot_sharing_->Allocate(input),
                      ConnectionLimit(entries_.size()));
  attainable_slots_ = slot_sharing_->AttainableSlots(input);
  for (size_t i = 0; i < input.accounts.size(); ++i) {
    double remote_demand = 0;
    for (size_t entry = 0; entry < input.demand.size(); ++entry) {
      if (entry != own_entry_index_) {
        remote_demand += input.demand[entry][i];
      }
    }
    queue_.SetRemoteDemand(input.accounts[i].account, remote_demand, now);
  }
}

SlotSharingInput ServiceRouter::MakeSlotSharingInput(Time now) const {
  SlotSharingInput input;
  input.executors = pool_.slots();
  input.own_entry_index = own_entry_index_;
  std::map<std::string, size_t> index;
  std::vector<double> own;
  for (const auto& [name, account] : queue_.accounts()) {
    if (!account.has_limits) {
      continue;
    }
    index.emplace(name, input.accounts.size());
    input.accounts.push_back(account.limits);
    own.push_back(QueuedDemand(account, now) + account.in_flight);
  }
  for (size_t entry = 0; entry < entries_.size(); ++entry) {
    if (entry == own_entry_index_) {
      input.demand.push_back(own);
      continue;
    }
    std::vector<double> demand(input.accounts.size(), 0.0);
    const auto reported = peer_demand_.find(entries_[entry]);
    if (reported != peer_demand_.end()) {
      for (const AccountDemand& part : reported->second) {
        const auto found = index.find(part.account);
        if (found != index.end()) {
          demand[found->second] += std::max(0, part.queued + part.in_flight);
        }
      }
    }
    input.demand.push_back(std::move(demand));
  }
  return input;
}

double ServiceRouter::ExpectedSlots(const std::string& account) const {
  const double slots = std::max<double>(
      pool_.usable_slots(), attainable_slots_ * pool_.available_share());
  return queue_.SlotsFor(account, slots);
}

Duration ServiceRouter::ExpectedWait(const std::string& account,
                                     Time deadline) const {
  const int rank = queue_.RequestsAhead(account, deadline);
  if (rank == 0 && pool_.in_flight() < pool_.usable_slots()) {
    return Duration::zero();
  }
  return Scale(queue_.ServiceTimeOf(account).mean(),
               (rank + 1) / ExpectedSlots(account));
}

void ServiceRouter::ShedLateRequests(Time now, RoutingActions* actions) {
  for (const auto& [name, account] : queue_.accounts()) {
    while (true) {
      const std::optional<QueuedRequest> last = queue_.LastRequest(name);
      if (!last.has_value()) {
        break;
      }
      const Duration wait = ExpectedWait(name, last->deadline);
      if (now + Scale(wait, 1 / kLateWaitFactor) < last->deadline) {
        break;
      }
      admission_margin_.RecordLateRefusal();
      RoutedRequest* request = table_->ByHandle(last->handle);
      RemoveQueued(*request);
      FinishUnserved(request, "its turn would come after its deadline", now,
                     actions);
    }
  }
}

}  // namespace thornplank
