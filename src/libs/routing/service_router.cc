// Admission, dispatch and sharing of slots within one service.
#include "routing/service_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "routing/retry_policy.h"
#include "routing/spread.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How soon a change of the own demand shows in the own share.
constexpr Duration kReallocationPeriod = milliseconds(50);
constexpr Duration kSheddingPeriod = milliseconds(100);
// A queued request is given up on when its expected wait exceeds what is left
// by this factor; above 1, so that the estimate's noise ends nothing.
constexpr double kHopelessFactor = 1.5;
// A request may take this fraction of the mean; with less time left it is not
// sent.
constexpr int kQuickFraction = 2;
// An attempt of an idempotent request is not given up on before this many
// mean service times, deadline permitting.
constexpr int kPatience = 20;
// For this long a refusal may show in the demand.
constexpr Duration kRefusalsFade = seconds(12);
constexpr Duration kUnknownBacklog = seconds(1);
constexpr Duration kShortestRetryAfter = milliseconds(200);
constexpr Duration kShortestSpread = seconds(1);
constexpr Duration kLongestRetryAfter = seconds(60);
// An entry with fewer slots keeps none free for guarantees.
constexpr int kLeastToKeepOne = 16;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(duration.count()) * factor));
}

// Requests that wait or were turned away lately.
int QueuedDemand(const FairQueue::Account& account, Time now) {
  return static_cast<int>(account.waiting.size()) +
         static_cast<int>(std::lround(account.refusals.At(now)));
}

}  // namespace

ServiceRouter::ServiceRouter(uint64_t seed, std::string own_domain,
                             const SlotSharingPolicy* share,
                             RequestTable* table)
    : seed_(seed),
      share_(share),
      table_(table),
      pool_(seed, std::move(own_domain)) {}

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

void ServiceRouter::SetEntries(const std::vector<std::string>& entries,
                               size_t own, Time now) {
  entries_ = entries;
  own_entry_ = own;
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
  const ServiceTime& time = queue_.TimeOf(request.account);
  const Duration wait =
      Scale(ExpectedWait(request.account, request.deadline), margin_.factor());
  const Duration run =
      wait > Duration::zero() ? time.high() : time.mean() / kQuickFraction;
  if (now + wait + run >= request.deadline) {
    return refuse("cannot finish before its deadline");
  }
  return std::nullopt;
}

Duration ServiceRouter::RetryAfter(const std::string& account,
                                   const std::string& id, Time now) const {
  const Duration expected = queue_.TimeOf(account).mean();
  const double slots = ExpectedSlots(account);
  const FairQueue::Account* found = queue_.Find(account);
  const double waiting =
      found == nullptr ? 0.0 : static_cast<double>(found->waiting.size());
  const double refusals = found == nullptr ? 0.0 : found->refusals.At(now);
  Duration backlog = kUnknownBacklog;
  Duration spread = kShortestSpread;
  if (expected > Duration::zero()) {
    backlog = std::min(kLongestRetryAfter, Scale(expected, waiting / slots));
    const Duration returning =
        std::min(kLongestRetryAfter, Scale(expected, refusals / slots));
    spread = std::max(kShortestSpread, backlog + returning);
  }
  const Duration after = std::max(kShortestRetryAfter, backlog) +
                         Scale(spread, SpreadFraction(seed_, id));
  return std::min(after, kLongestRetryAfter);
}

void ServiceRouter::CountRefusal(const std::string& account, Time now) {
  queue_.RecordRefusal(account, now);
  refusals_fade_ = now + kRefusalsFade;
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
      queue_.TimeOf(request->info.account).mean() / kQuickFraction;
  table_->SetTimer(request, std::max(now, request->info.deadline - quick));
}

void ServiceRouter::ExpireQueued(RoutedRequest* request, Time now,
                                 RoutingActions* actions) {
  margin_.RecordLateRefusal();
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
  const std::optional<std::string> account = queue_.Next(*blocked);
  if (!account.has_value()) {
    return false;
  }
  if (KeepsSlotFrom(*account)) {
    return false;
  }
  const auto fits = [&](uint64_t handle) {
    return table_->At(handle)->executor != executor->info.name;
  };
  std::optional<QueuedRequest> taken = queue_.Take(*account, fits);
  if (!taken.has_value()) {
    // All that wait have just been at this executor.
    executor = pool_.Pick(executor->info.name, now);
    if (executor != nullptr) {
      taken = queue_.Take(*account, fits);
    }
  }
  if (!taken.has_value()) {
    blocked->push_back(*account);
    return true;
  }
  RoutedRequest* request = table_->At(taken->handle);
  const ServiceTime& time = queue_.TimeOf(*account);
  // When others wait, a slot is not spent on what will probably be late.
  const Duration needed =
      queue_.size() > 0 ? time.high() : time.mean() / kQuickFraction;
  if (now + needed >= request->info.deadline) {
    margin_.RecordLateRefusal();
    FinishUnserved(request, "cannot finish before its deadline", now, actions);
    return true;
  }
  if (request->queued_at < now) {
    margin_.RecordSent();
  }
  Send(request, executor, now, actions);
  return true;
}

bool ServiceRouter::KeepsSlotFrom(const std::string& account) const {
  const int usable = pool_.usable_slots();
  return usable >= kLeastToKeepOne && usable - pool_.in_flight() <= 1 &&
         queue_.BorrowsFromActive(account);
}

void ServiceRouter::Send(RoutedRequest* request, Executor* executor, Time now,
                         RoutingActions* actions) {
  const std::string& account = request->info.account;
  const Time deadline = request->info.deadline;
  const std::string load = std::to_string(executor->in_flight()) + " of " +
                           std::to_string(executor->usable());
  if (request->attempts() == 0) {
    executor->retry_budget.AddFresh();
  }
  request->charged = queue_.Begin(account);
  pool_.Begin(executor, now);
  request->phase = RoutedRequest::Phase::kInFlight;
  request->executor = executor->info.name;
  request->executor_generation = executor->generation;
  request->start = now;
  request->attempt_deadline = deadline;
  if (request->info.idempotent && request->tries + 1 < MaxTries()) {
    // Leaves time for a retry when the executor turns out to be silent.
    const Duration patience = std::max(
        (deadline - now) / 2, kPatience * queue_.TimeOf(account).mean());
    request->attempt_deadline = std::min(deadline, now + patience);
  }
  table_->SetTimer(request, deadline);
  const char* kind = request->charged > 0 ? "fair share" : "guaranteed slot";
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
  queue_.End(request.info.account, request.charged,
             used ? std::optional<Duration>(result.latency) : std::nullopt);
  if (result.outcome == AttemptOutcome::kAnswered) {
    queue_.RecordAnswer(request.info.account, result.latency);
  }
  double account_failure_share = 0;
  if (used) {
    account_failure_share = queue_.RecordAttempt(
        request.info.account, result.outcome != AttemptOutcome::kAnswered);
  }
  Executor* executor = pool_.Find(request.executor);
  if (executor == nullptr) {
    return {};
  }
  AttemptEnd end;
  end.generation = request.executor_generation;
  end.start = request.start;
  end.timed_out = result.outcome == AttemptOutcome::kUnknown &&
                  now >= request.attempt_deadline;
  end.account_failure_share = account_failure_share;
  end.result = result;
  return pool_.End(executor, end, now);
}

void ServiceRouter::Tick(Time now, RoutingActions* actions) {
  RoutingActions changes = pool_.Tick(now);
  std::move(changes.begin(), changes.end(), std::back_inserter(*actions));
  if (now >= next_shedding_) {
    next_shedding_ = now + kSheddingPeriod;
    ShedHopeless(now, actions);
  }
  Dispatch(now, actions);
}

std::optional<Time> ServiceRouter::NextTickTime() const {
  const bool waiting = queue_.size() > 0;
  std::optional<Time> wake = pool_.NextTickTime(waiting);
  if (waiting || next_shedding_ < refusals_fade_) {
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
  pool_.SetAllocation(share_->Allocate(input),
                      ConnectionLimit(entries_.size()));
  potential_slots_ = share_->AttainableSlots(input);
  for (size_t i = 0; i < input.accounts.size(); ++i) {
    double elsewhere = 0;
    for (size_t entry = 0; entry < input.demand.size(); ++entry) {
      if (entry != own_entry_) {
        elsewhere += input.demand[entry][i];
      }
    }
    queue_.SetDemandElsewhere(input.accounts[i].account, elsewhere, now);
  }
}

SlotSharingInput ServiceRouter::MakeSlotSharingInput(Time now) const {
  SlotSharingInput input;
  input.executors = pool_.slots();
  input.own_entry = own_entry_;
  std::map<std::string, size_t> index;
  std::vector<double> own;
  for (const auto& [name, account] : queue_.accounts()) {
    if (!account.known) {
      continue;
    }
    index.emplace(name, input.accounts.size());
    input.accounts.push_back(account.limits);
    own.push_back(QueuedDemand(account, now) + account.in_flight);
  }
  for (size_t entry = 0; entry < entries_.size(); ++entry) {
    if (entry == own_entry_) {
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
      pool_.usable_slots(), potential_slots_ * pool_.available_share());
  return queue_.SlotsFor(account, slots);
}

Duration ServiceRouter::ExpectedWait(const std::string& account,
                                     Time deadline) const {
  const int rank = queue_.Rank(account, deadline);
  if (rank == 0 && pool_.in_flight() < pool_.usable_slots()) {
    return Duration::zero();
  }
  return Scale(queue_.TimeOf(account).mean(),
               (rank + 1) / ExpectedSlots(account));
}

void ServiceRouter::ShedHopeless(Time now, RoutingActions* actions) {
  for (const auto& [name, account] : queue_.accounts()) {
    while (true) {
      const std::optional<QueuedRequest> last = queue_.Last(name);
      if (!last.has_value()) {
        break;
      }
      const Duration wait = ExpectedWait(name, last->deadline);
      if (now + Scale(wait, 1 / kHopelessFactor) < last->deadline) {
        break;
      }
      margin_.RecordLateRefusal();
      RoutedRequest* request = table_->At(last->handle);
      RemoveQueued(*request);
      FinishUnserved(request, "its turn would come after its deadline", now,
                     actions);
    }
  }
}

}  // namespace thornplank
