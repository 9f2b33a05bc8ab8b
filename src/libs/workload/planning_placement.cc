// Where the tasks of a step start.
#include <algorithm>
#include <utility>

#include "workload/planning_round.h"
#include "workload/probation_tests.h"

namespace thornplank {

void Planner::Round::PlaceProbationTests() {
  if (KnowsWorkersInPart()) return;
  for (ProbationTest& test : TakeProbationTests(capacity_, &steps_)) {
    Start(steps_[test.step], {std::move(test.assignment)},
          "test of a worker on probation");
  }
}

void Planner::Round::PlaceStep(const ReadyStep& step) {
  if (!planner_.gang_reservations_.empty()) ReserveForGangs(step.priority());
  auto& reservations =
      step.urgent() ? planner_.reservations_ : planner_.gang_reservations_;
  const auto own = reservations.find(step.ref);
  if (own != reservations.end()) capacity_.Release(own->second);
  WaitReason reason = WaitReason::kNoRoom;
  const size_t starts = plan_.starts.size();
  bool placed = PlaceWaiting(step, &reason);
  if (!placed && plan_.starts.size() == starts) placed = PlaceOwed(step);
  if (own != reservations.end()) {
    if (step.urgent()) CountReserved(step.ref, own->second, -1);
    if (placed) {
      if (step.urgent()) {
        plan_.starts.back().preempted_at = own->second.made;
      }
      reservations.erase(own);
    } else {
      UseReservation(step, starts, &own->second);
      capacity_.Reserve(own->second);
      if (step.urgent()) CountReserved(step.ref, own->second, 1);
      reason = WaitReason::kPreempting;
    }
  } else if (!placed && step.urgent() && !KnowsWorkersInPart() &&
             PreemptFor(step)) {
    reason = WaitReason::kPreempting;
  } else if (!placed && reason != WaitReason::kGuaranteedToOthers && holds_ &&
             MayHold(step) && HoldFor(step)) {
    reason = WaitReason::kPreempting;
  }
  if (placed) return;
  if (reason == WaitReason::kNoRoom || reason == WaitReason::kNoRoomNearData ||
      reason == WaitReason::kNoRoomOnOneRack) {
    HoldGuaranteed(step, starts);
  }
  if (holds_ && MayHold(step)) WaitedOf(step);
  AddWait(step, reason);
  RecordWaitingDemand(step, reason);
}

bool Planner::Round::PlaceWaiting(const ReadyStep& step, WaitReason* reason) {
  return step.spec->gang ? PlaceGang(step, reason)
                         : PlaceSingleTasks(step, reason);
}

bool Planner::Round::PlaceSingleTasks(const ReadyStep& step,
                                      WaitReason* reason) {
  const int64_t outside = protected_tasks_.MayStart(step);
  if (outside <= 0) {
    *reason = WaitReason::kGuaranteedToOthers;
    return false;
  }
  const int64_t allowed = std::min(AllowedTasks(step), outside);
  if (allowed <= 0) {
    *reason = WaitReason::kYieldsToHigherPriority;
    return false;
  }
  FreePlaces places = PlacesFor(step);
  if (places.near_only) *reason = WaitReason::kNoRoomNearData;
  if (LeaveHeldCapacity(step, &places)) {
    *reason = WaitReason::kYieldsToHigherPriority;
  }
  Assignments chosen = TakeSlots(step, std::move(places), allowed);
  // Every job may run at least one task at a time, if it fits.
  if (holds_ && chosen.empty() &&
      *reason == WaitReason::kYieldsToHigherPriority && !step.job_is_active()) {
    chosen = TakeSlots(step, PlacesFor(step), 1);
  }
  const bool all = chosen.size() == step.waiting.size();
  if (!chosen.empty()) Start(step, std::move(chosen), "best fit");
  return all;
}

Planner::Round::Assignments Planner::Round::TakeSlots(const ReadyStep& step,
                                                      FreePlaces places,
                                                      int64_t allowed) const {
  Assignments chosen;
  std::sort(places.slots.begin(), places.slots.end(), HasLowerScore);
  for (const Slot& slot : places.slots) {
    if (places.near_only && !capacity_.IsNear(step, slot)) continue;
    if (slot.empty && places.empty_workers-- <= 0) continue;
    TakeSlot(step, capacity_, slot, &chosen);
    if (static_cast<int64_t>(chosen.size()) >= allowed) break;
  }
  if (static_cast<int64_t>(chosen.size()) > allowed) {
    chosen.resize(static_cast<size_t>(allowed));
  }
  return chosen;
}

bool Planner::Round::PlaceGang(const ReadyStep& step, WaitReason* reason) {
  if (protected_tasks_.MayStart(step) <
      static_cast<int64_t>(step.waiting.size())) {
    *reason = WaitReason::kGuaranteedToOthers;
    return false;
  }
  if (AllowedTasks(step) < static_cast<int64_t>(step.waiting.size())) {
    *reason = WaitReason::kYieldsToHigherPriority;
    return false;
  }
  FreePlaces places = PlacesFor(step);
  const bool yields = LeaveHeldCapacity(step, &places);
  if (yields) *reason = WaitReason::kYieldsToHigherPriority;
  if (places.near_only) *reason = WaitReason::kNoRoomNearData;
  // A rack may hold more than is known of it yet.
  const bool may_fit = KnowsWorkersInPart() || capacity_.AnyRackCanHold(step);
  if (step.spec->same_rack && may_fit) {
    Assignments chosen = PlaceOnOneRack(step, capacity_, places);
    if (!chosen.empty()) {
      Start(step, std::move(chosen), "gang on one rack");
      return true;
    }
    if (!places.near_only) *reason = WaitReason::kNoRoomOnOneRack;
    const bool passes = step.passes.Contains(Preference::kOneRack);
    if (!passes && !MayLeaveRack(step)) return false;
  }
  Assignments chosen = PlaceOverRacks(step, capacity_, places);
  if (chosen.empty()) return false;
  Start(step, std::move(chosen), "gang over racks");
  return true;
}

void Planner::Round::Start(const ReadyStep& step, Assignments chosen,
                           std::string reason) {
  for (const JobLedger::Assignment& assignment : chosen) {
    capacity_.Occupy(assignment.worker, step);
  }
  ChangeShares(step.service(), step.job->spec.account, step.priority(),
               ReservedFor(*step.spec), static_cast<int64_t>(chosen.size()));
  protected_tasks_.OnStarted(step, chosen.size());
  if (step.urgent()) {
    balance_.OnStarted(
        step.job->spec.account,
        step.spec->need.accelerators * static_cast<int64_t>(chosen.size()));
  }
  plan_.starts.push_back(
      {step.ref, std::move(chosen), std::move(reason), std::nullopt});
}

}  // namespace thornplank
