// What planning rounds share: the features in force, and what is kept from one
// round to the next.
#include "workload/planner.h"

#include <algorithm>
#include <utility>

#include "workload/planning_round.h"

namespace thornplank {
namespace {

// In `auto` mode accounts have shares if this many are guaranteed accelerators.
constexpr int64_t kLeastAccountsWithShares = 2;

}  // namespace

bool Planner::ExpectsUrgent(const std::string& service, Time now) const {
  const auto last = last_urgent_.find(service);
  return last != last_urgent_.end() &&
         now - last->second < settings_.headroom_retention;
}

SharedServices Planner::ServicesWithShares(const Guarantees& guarantees) const {
  switch (settings_.features.account_shares) {
    case FeatureMode::kOff:
      return {};
    case FeatureMode::kOn:
      return {true, {}};
    case FeatureMode::kAuto:
      break;
  }
  if (CountGuaranteedAccounts(guarantees) < kLeastAccountsWithShares) return {};
  return {false, scarce_services_};
}

// A round looks at every worker. Most of them have no step to place: they come
// after the end of a run, or regularly.
Plan Planner::Decide(const PlanInputs& inputs) {
  BlockedSteps blocked;
  std::vector<ReadyStep> steps =
      CollectReadySteps(*inputs.ledger, inputs.wall_now, &blocked);
  std::vector<FeatureChange> changes = UpdateFeatures(inputs);
  const int64_t completions = inputs.ledger->urgent_completions();
  equal_stops_.OnCompletions(completions - urgent_completions_, inputs.now);
  urgent_completions_ = completions;
  Plan plan;
  const bool idle = steps.empty();
  if (idle) {
    reservations_.clear();
    reclaim_retries_.clear();
    isolated_since_.clear();
    guarantee_waits_.clear();
    owed_starts_.Clear();
    scarce_services_.clear();
    plan.account_waits = account_waits_.Observe({}, nullptr, inputs.now);
    gang_reservations_.clear();
    held_use_ = HeldCapacityUse();
  } else {
    plan = Round(this, inputs, std::move(steps)).Run();
  }
  if (idle || !held_state_.active()) {
    plan.hold_changes = hold_history_.EndRound({}, nullptr, inputs.now);
  }
  for (StepRef& gang : blocked.broken_gangs) {
    plan.waits.push_back({std::move(gang), WaitReason::kMembersUnsettled, {}});
  }
  for (StepRef& step : blocked.suspects) {
    plan.waits.push_back({std::move(step), WaitReason::kWorkersMissing, {}});
  }
  plan.feature_changes = std::move(changes);
  plan.equal_stop_limit_change = equal_stops_.EndRound(inputs.now);
  return plan;
}

std::vector<FeatureChange> Planner::UpdateFeatures(const PlanInputs& inputs) {
  FeatureCondition condition;
  condition.holds =
      std::any_of(inputs.guarantees->begin(), inputs.guarantees->end(),
                  [](const auto& guarantee) { return guarantee.second > 0; });
  condition.reason = condition.holds
                         ? "accelerators are guaranteed to an account"
                         : "no accelerators are guaranteed to any account";
  std::vector<FeatureChange> changes;
  const auto change = held_state_.Update(condition);
  if (!change) return changes;
  changes.push_back(*change);
  if (!change->active) {
    gang_reservations_.clear();
    headrooms_.clear();
    held_use_ = HeldCapacityUse();
  }
  return changes;
}

std::string_view ToText(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNoUsableWorker:
      return "no usable worker";
    case WaitReason::kNoRoom:
      return "no room";
    case WaitReason::kNoRoomNearData:
      return "no room on the rack of its data";
    case WaitReason::kNoRoomOnOneRack:
      return "no rack has room for the whole gang";
    case WaitReason::kPreempting:
      return "room is being taken from others";
    case WaitReason::kYieldsToHigherPriority:
      return "the room is for steps of higher priority";
    case WaitReason::kNoRoomOnApprovedWorkers:
      return "no room on the workers that are approved so far";
    case WaitReason::kSurveying:
      return "workers have yet to be asked what they run";
    case WaitReason::kMembersUnsettled:
      return "members of its last run may still be on their workers";
    case WaitReason::kWorkersMissing:
      return "workers that were lost under it are not accounted for";
    case WaitReason::kGuaranteedToOthers:
      return "the accelerators are guaranteed to other accounts, and its tasks "
             "could not be stopped for them";
  }
  return "no room";
}

}  // namespace thornplank
