// Handles events and the lifecycle of each request; delegates what concerns a
// single service to its ServiceRouter.
#include "routing/request_router.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "routing/demand_share.h"
#include "routing/jitter.h"
#include "routing/request_table.h"
#include "routing/retry_budget.h"
#include "routing/retry_policy.h"
#include "routing/service_router.h"

namespace thornplank {
namespace {

// Minimum Retry-After when the service is unknown, so that there is no queue to
// derive it from.
constexpr Duration kNoServiceRetryAfter = std::chrono::seconds(1);

void Append(RoutingActions from, RoutingActions* to) {
  std::move(from.begin(), from.end(), std::back_inserter(*to));
}

}  // namespace

RequestRouter::RequestRouter(RouterOptions options)
    : RequestRouter(std::move(options), std::make_unique<DemandShare>()) {}

RequestRouter::RequestRouter(RouterOptions options,
                             std::unique_ptr<SlotSharingPolicy> slot_sharing)
    : options_(std::move(options)),
      slot_sharing_(std::move(slot_sharing)),
      table_(std::make_unique<RequestTable>()) {}

RequestRouter::~RequestRouter() = default;

const ServiceRouter* RequestRouter::Find(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

ServiceRouter* RequestRouter::Find(const std::string& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

ServiceRouter* RequestRouter::FindOrAdd(const std::string& service, Time now) {
  std::unique_ptr<ServiceRouter>& router = services_[service];
  if (router != nullptr) {
    return router.get();
  }
  router =
      std::make_unique<ServiceRouter>(options_.seed, options_.failure_domain,
                                      slot_sharing_.get(), table_.get());
  router->SetLimits(LimitsFor(service), now);
  if (!entries_.empty()) {
    router->SetLiveEntries(entries_, own_entry_index(), now);
  }
  return router.get();
}

std::vector<AccountLimits> RequestRouter::LimitsFor(
    const std::string& service) const {
  std::map<std::string, AccountLimits> result;
  for (const AccountLimits& limits : limits_) {
    if (limits.service.empty()) {
      result.try_emplace(limits.account, limits);
    } else if (limits.service == service) {
      result.insert_or_assign(limits.account, limits);
    }
  }
  std::vector<AccountLimits> list;
  list.reserve(result.size());
  for (auto& [account, limits] : result) {
    list.push_back(std::move(limits));
  }
  return list;
}

RetryBudget& RequestRouter::RetryBudgetFor(const RequestInfo& request) {
  const FairQueue::Account* account =
      Find(request.service)->queue().Find(request.account);
  const double percent =
      account == nullptr ? 0.0 : account->limits.retry_budget_percent;
  RetryBudget& budget =
      retry_budgets_.try_emplace({request.service, request.account}, percent)
          .first->second;
  budget.set_percent(percent);
  return budget;
}

RoutingActions RequestRouter::SetAccountLimits(
    const std::vector<AccountLimits>& accounts, Time now) {
  latest_event_time_ = now;
  limits_ = accounts;
  RoutingActions actions;
  for (auto& [name, service] : services_) {
    service->SetLimits(LimitsFor(name), now);
  }
  DispatchAll(now, &actions);
  return actions;
}

RoutingActions RequestRouter::SetExecutors(
    const std::vector<ExecutorInfo>& executors, Time now) {
  latest_event_time_ = now;
  std::map<std::string, std::vector<ExecutorInfo>> by_service;
  for (const auto& [name, service] : services_) {
    by_service[name];
  }
  for (const ExecutorInfo& executor : executors) {
    by_service[executor.service].push_back(executor);
  }
  RoutingActions actions;
  for (const auto& [name, list] : by_service) {
    Append(FindOrAdd(name, now)->SetExecutors(list, now), &actions);
  }
  DispatchAll(now, &actions);
  return actions;
}

RoutingActions RequestRouter::SetLiveEntries(
    const std::string& own_name, const std::vector<std::string>& live_entries,
    Time now) {
  latest_event_time_ = now;
  own_name_ = own_name;
  entries_ = live_entries;
  entries_.push_back(own_name);
  std::sort(entries_.begin(), entries_.end());
  entries_.erase(std::unique(entries_.begin(), entries_.end()), entries_.end());
  for (auto& [name, service] : services_) {
    service->SetLiveEntries(entries_, own_entry_index(), now);
  }
  RoutingActions actions;
  DispatchAll(now, &actions);
  return actions;
}

size_t RequestRouter::own_entry_index() const {
  const auto own =
      std::lower_bound(entries_.begin(), entries_.end(), own_name_);
  return static_cast<size_t>(own - entries_.begin());
}

RoutingActions RequestRouter::SetPeerDemand(const PeerDemand& demand,
                                            Time now) {
  latest_event_time_ = now;
  RoutingActions actions;
  const bool live =
      std::binary_search(entries_.begin(), entries_.end(), demand.entry);
  if (!live || demand.entry == own_name_) {
    return actions;
  }
  std::map<std::string, std::vector<AccountDemand>> by_service;
  for (const AccountDemand& part : demand.accounts) {
    by_service[part.service].push_back(part);
  }
  for (auto& [name, service] : services_) {
    service->SetPeerDemand(demand.entry, std::move(by_service[name]), now);
  }
  DispatchAll(now, &actions);
  return actions;
}

std::optional<Refusal> RequestRouter::CheckAdmission(const RequestInfo& request,
                                                     Time now) const {
  if (request.deadline <= now) {
    return Refusal{"the deadline has passed", Duration::zero()};
  }
  const ServiceRouter* service = Find(request.service);
  if (service == nullptr) {
    const double jitter = JitterFraction(options_.seed, request.id);
    return Refusal{
        "no executor of this service is known",
        kNoServiceRetryAfter + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(jitter))};
  }
  return service->CheckAdmission(request, now);
}

RoutingActions RequestRouter::Submit(const RequestInfo& info, Time now) {
  latest_event_time_ = now;
  RoutingActions actions;
  if (table_->Find(info.id) != nullptr) {
    return actions;
  }
  const std::optional<Refusal> refusal = CheckAdmission(info, now);
  ServiceRouter* service = Find(info.service);
  if (refusal.has_value()) {
    if (service != nullptr) {
      service->CountRefusal(info.account, now);
    }
    actions.push_back(
        FinishNotRun{info.id, refusal->reason, refusal->retry_after});
    return actions;
  }
  RetryBudgetFor(info).RecordFreshRequest();
  service->Enqueue(table_->Add(info), now);
  service->Dispatch(now, &actions);
  return actions;
}

RoutingActions RequestRouter::CompleteAttempt(const std::string& request_id,
                                              const std::string& executor,
                                              const AttemptResult& result,
                                              Time now) {
  latest_event_time_ = now;
  RoutingActions actions;
  RoutedRequest* request = table_->Find(request_id);
  if (request == nullptr || request->phase == RoutedRequest::Phase::kQueued ||
      request->executor != executor) {
    return actions;
  }
  ServiceRouter* service = Find(request->info.service);
  Append(service->EndAttempt(*request, result, now), &actions);
  if (request->phase == RoutedRequest::Phase::kFinished) {
    if (result.outcome == AttemptOutcome::kAnswered ||
        result.outcome == AttemptOutcome::kFailed) {
      actions.push_back(DropAnswer{request_id, executor});
    }
    table_->Erase(request);
  } else {
    FinishOrRetry(request, service, result, now, &actions);
  }
  service->Dispatch(now, &actions);
  return actions;
}

void RequestRouter::FinishOrRetry(RoutedRequest* request,
                                  ServiceRouter* service,
                                  const AttemptResult& result, Time now,
                                  RoutingActions* actions) {
  const AttemptOutcome outcome = result.outcome;
  if (outcome == AttemptOutcome::kRefusedNotRun) {
    ++request->refusals;
  } else {
    ++request->tries;
  }
  RetryBudget& account_budget = RetryBudgetFor(request->info);
  Executor* upstream = service->pool().Find(request->executor);
  AttemptHistory history;
  history.idempotent = request->info.idempotent;
  history.tries = request->tries;
  history.refusals = request->refusals;
  history.may_have_run = request->may_have_run;
  history.still_wanted = !request->caller_gone && now < request->info.deadline;
  history.has_alternative = service->pool().HasAlternative(request->executor);
  history.has_budget =
      account_budget.available() &&
      (upstream == nullptr || upstream->retry_budget.available());
  const NextStep step = DecideNextStep(outcome, history);
  request->may_have_run = request->may_have_run || MayHaveRun(outcome);
  switch (step) {
    case NextStep::kDeliver:
      actions->push_back(FinishAnswered{request->info.id, request->executor});
      table_->Erase(request);
      return;
    case NextStep::kRetry:
      if (ConsumesRetryBudget(outcome)) {
        account_budget.ConsumeToken();
        if (upstream != nullptr) {
          upstream->retry_budget.ConsumeToken();
        }
      }
      service->Enqueue(request, now);
      return;
    case NextStep::kFinishNotRun:
      service->FinishUnserved(request, "no executor took it", now, actions);
      return;
    case NextStep::kFinishUnknown:
      service->FinishUnserved(request, "sent, but no whole answer came", now,
                              actions);
      return;
  }
}

RoutingActions RequestRouter::HandleProbeResult(const std::string& executor,
                                                const AttemptResult& result,
                                                Time now) {
  latest_event_time_ = now;
  RoutingActions actions;
  for (auto& [name, service] : services_) {
    Executor* found = service->pool().Find(executor);
    if (found == nullptr) {
      continue;
    }
    Append(service->pool().ProbeResult(found, result, now), &actions);
    service->Dispatch(now, &actions);
  }
  return actions;
}

RoutingActions RequestRouter::Cancel(const std::string& request_id, Time now) {
  latest_event_time_ = now;
  RoutingActions actions;
  RoutedRequest* request = table_->Find(request_id);
  if (request == nullptr) {
    return actions;
  }
  request->caller_gone = true;
  if (request->phase != RoutedRequest::Phase::kQueued) {
    return actions;
  }
  ServiceRouter* service = Find(request->info.service);
  service->RemoveQueued(*request);
  service->FinishUnserved(request, "the caller is gone", now, &actions);
  return actions;
}

RoutingActions RequestRouter::Tick(Time now) {
  latest_event_time_ = now;
  RoutingActions actions;
  for (RoutedRequest* due = table_->FirstDue(now); due != nullptr;
       due = table_->FirstDue(now)) {
    ExpireRequest(due, now, &actions);
  }
  for (auto& [name, service] : services_) {
    service->Tick(now, &actions);
  }
  return actions;
}

void RequestRouter::ExpireRequest(RoutedRequest* request, Time now,
                                  RoutingActions* actions) {
  table_->SetTimer(request, std::nullopt);
  ServiceRouter* service = Find(request->info.service);
  if (request->phase == RoutedRequest::Phase::kQueued) {
    service->ExpireQueued(request, now, actions);
    return;
  }
  request->phase = RoutedRequest::Phase::kFinished;
  actions->push_back(
      FinishUnknown{request->info.id, "no answer before the deadline"});
}

void RequestRouter::DispatchAll(Time now, RoutingActions* actions) {
  for (auto& [name, service] : services_) {
    service->Dispatch(now, actions);
  }
}

PeerDemand RequestRouter::demand() const {
  PeerDemand result;
  result.entry = own_name_;
  for (const auto& [name, service] : services_) {
    std::vector<AccountDemand> part = service->Demand(name, latest_event_time_);
    std::move(part.begin(), part.end(), std::back_inserter(result.accounts));
  }
  return result;
}

std::optional<Time> RequestRouter::NextTickTime() const {
  std::optional<Time> wake = table_->NextTimer();
  for (const auto& [name, service] : services_) {
    const std::optional<Time> other = service->NextTickTime();
    if (other.has_value()) {
      wake = wake.has_value() ? std::min(*wake, *other) : other;
    }
  }
  return wake;
}

}  // namespace thornplank
