// The order in which a round places steps, and why some of them wait.
#include "workload/planning_round.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace thornplank {

Planner::Round::Round(Planner* planner, const PlanInputs& inputs,
                      std::vector<ReadyStep> steps)
    : planner_(*planner),
      inputs_(inputs),
      shared_services_(planner->ServicesWithShares(*inputs.guarantees)),
      shares_(MakeShares(shared_services_, *inputs.guarantees)),
      capacity_(*inputs.workers, inputs.advice, inputs.now, shares(),
                planner->held_state_.active()),
      budgets_(inputs.ledger, inputs.workers),
      balance_(&capacity_, inputs.ledger, inputs.guarantees),
      protected_tasks_(&capacity_, inputs.ledger, inputs.guarantees,
                       &planner->guarantee_demand_),
      guarantee_holds_(GuaranteeHoldInputs(), &balance_),
      steps_(MarkGuaranteedSteps(std::move(steps))),
      queue_(steps_, shares(),
             {shared_services_, planner->settings_.max_share_wait,
              inputs.wall_now}) {
  if (planner_.held_state_.active()) holds_.emplace(HoldInputs());
}

Plan Planner::Round::Run() {
  for (const auto& [ref, reservation] : planner_.reservations_) {
    capacity_.Reserve(reservation);
    CountReserved(ref, reservation, 1);
  }
  RecordUrgentSteps();
  ReleaseExpiredReservations();
  if (holds_) PrepareHolds();
  IsolateSuspects();
  planner_.guarantee_demand_.Observe(balance_.needed(), inputs_.now);
  planner_.owed_starts_.Observe(steps_, inputs_.now);
  bool are_tests_placed = false;
  while (const ReadyStep* step = queue_.Next()) {
    if (!step->urgent() && !std::exchange(are_tests_placed, true)) {
      PlaceProbationTests();
    }
    if (step->waiting.empty()) continue;
    if (inputs_.surveying && !step->urgent()) {
      AddWait(*step, WaitReason::kSurveying);
      continue;
    }
    PlaceStep(*step);
  }
  RecordGuaranteeWaits();
  planner_.scarce_services_ = std::move(scarce_services_);
  plan_.account_waits = planner_.account_waits_.Observe(waiting_for_capacity_,
                                                        shares(), inputs_.now);
  if (holds_) RecordHolds();
  return std::move(plan_);
}

std::optional<AccountShares> Planner::Round::MakeShares(
    const SharedServices& services, const Guarantees& guarantees) {
  if (services.IsEmpty()) return std::nullopt;
  return AccountShares(guarantees);
}

AccountShares* Planner::Round::SharesFor(const ReadyStep& step) {
  return shared_services_.Contains(step.service()) ? shares() : nullptr;
}

void Planner::Round::ChangeShares(const std::string& service,
                                  const std::string& account, int priority,
                                  const Resources& need, int64_t tasks) {
  if (!shares_) return;
  shares_->Change(shares_->Include(service, account), priority, need, tasks);
  queue_.OnSharesChanged(service, account);
}

void Planner::Round::RecordUrgentSteps() {
  for (const ReadyStep& step : steps_) {
    if (!step.urgent()) continue;
    planner_.last_urgent_[step.service()] = inputs_.now;
    urgent_demand_[step.job->spec.account] +=
        step.spec->need.accelerators *
        static_cast<int64_t>(step.waiting.size());
  }
}

void Planner::Round::ReleaseExpiredReservations() {
  std::set<StepRef> ready;
  for (const ReadyStep& step : steps_) {
    ready.insert(step.ref);
  }
  auto& retries = planner_.reclaim_retries_;
  for (auto it = retries.begin(); it != retries.end();) {
    it = ready.count(it->first) > 0 ? std::next(it) : retries.erase(it);
  }
  auto& reservations = planner_.reservations_;
  for (auto it = reservations.begin(); it != reservations.end();) {
    const auto current = it++;
    const bool is_ready = ready.count(current->first) > 0;
    const bool can_complete = current->second.until > inputs_.now &&
                              capacity_.AllUsable(current->second);
    if (is_ready && can_complete) continue;
    capacity_.Release(current->second);
    CountReserved(current->first, current->second, -1);
    if (is_ready) {
      Planner::ReclaimRetry& retry = retries[current->first];
      retry.not_before =
          inputs_.now +
          planner_.settings_.bounds.reclaim_retry_delay(++retry.failures);
    }
    reservations.erase(current);
  }
}

void Planner::Round::IsolateSuspects() {
  std::map<StepRef, Time> since;
  for (ReadyStep& step : steps_) {
    if (!step.crashed_at_start) continue;
    const auto known = planner_.isolated_since_.find(step.ref);
    const Time begun =
        known == planner_.isolated_since_.end() ? inputs_.now : known->second;
    since[step.ref] = begun;
    step.alone = inputs_.now - begun < planner_.settings_.isolation_wait;
  }
  planner_.isolated_since_ = std::move(since);
}

std::vector<ReadyStep> Planner::Round::MarkGuaranteedSteps(
    std::vector<ReadyStep> steps) const {
  std::map<std::string, int64_t> needed;
  // An expired step must not use up what one that is in time needs.
  for (const bool expired : {false, true}) {
    for (ReadyStep& step : steps) {
      if (!step.urgent() || step.expired != expired) continue;
      const std::string& account = step.job->spec.account;
      const auto guarantee = inputs_.guarantees->find(account);
      if (guarantee == inputs_.guarantees->end()) continue;
      int64_t& sum = needed[account];
      sum += step.spec->need.accelerators *
             static_cast<int64_t>(step.waiting.size());
      step.within_guarantee =
          capacity_.UrgentAccelerators(account) + sum <= guarantee->second;
      step.guaranteed = step.within_guarantee && !expired;
      step.owed = balance_.IsOwed(account);
    }
  }
  std::stable_partition(steps.begin(), steps.end(), [](const ReadyStep& step) {
    return step.within_guarantee;
  });
  return steps;
}

void Planner::Round::AddWait(const ReadyStep& step, WaitReason reason) {
  WaitDecision wait{step.ref, reason, {}};
  if (capacity_.usable_workers(step.service()) == 0) {
    wait.reason = WaitReason::kNoUsableWorker;
    plan_.waits.push_back(std::move(wait));
    return;
  }
  const bool advised = step.job->spec.policy.advice.has_value();
  const bool decided =
      reason != WaitReason::kPreempting && reason != WaitReason::kSurveying;
  if (advised && decided) {
    wait.reason = WaitReason::kNoRoomOnApprovedWorkers;
    wait.candidates = capacity_.CandidatesForAdvice(step);
  }
  if (LacksCapacity(step, wait.reason)) RecordScarcity(step);
  plan_.waits.push_back(std::move(wait));
}

bool Planner::Round::LacksCapacity(const ReadyStep& step,
                                   WaitReason reason) const {
  switch (reason) {
    case WaitReason::kNoRoom:
    case WaitReason::kNoRoomNearData:
    case WaitReason::kNoRoomOnOneRack:
    case WaitReason::kPreempting:
    case WaitReason::kYieldsToHigherPriority:
      return true;
    case WaitReason::kNoRoomOnApprovedWorkers:
      // It may only lack approvals, which each step lacks at first.
      return ReservedFor(*step.spec)
                 .TimesIn(capacity_.FreeCapacity(step.service()), 1) == 0;
    case WaitReason::kNoUsableWorker:
    case WaitReason::kSurveying:
    case WaitReason::kMembersUnsettled:
    case WaitReason::kWorkersMissing:
    case WaitReason::kGuaranteedToOthers:
      return false;
  }
  return false;
}

void Planner::Round::RecordScarcity(const ReadyStep& step) {
  scarce_services_.insert(step.service());
  if (SharesFor(step) == nullptr) return;
  ++waiting_for_capacity_[{step.service(), step.job->spec.account,
                           step.priority()}];
}

}  // namespace thornplank
