// One round of placement.
#include "workload/planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "workload/cluster_rooms.h"
#include "workload/gang_placement.h"
#include "workload/open_step.h"
#include "workload/room_reclaim.h"
#include "workload/waiting_demand.h"

namespace thornplank {
namespace {

// Below this use, no start keeps anybody else waiting.
constexpr double kIdleShare = 0.45;
// Above this use steps give way to those before them in line. A job of which
// nothing runs, while less than half of its service is in use, is not served.
constexpr double kCrowdedShare = 0.5;

}  // namespace

class Planner::Round {
 public:
  Round(Planner* planner, const PlanInputs& inputs)
      : planner_(*planner),
        inputs_(inputs),
        rooms_(*inputs.workers, inputs.advice, inputs.now) {}

  Plan Run() {
    for (const auto& [ref, reservation] : planner_.reservations_) {
      rooms_.Keep(reservation);
    }
    steps_ = CollectOpenSteps(*inputs_.ledger, inputs_.wall_now);
    NoteUrgentSteps();
    DropReservations();
    for (const OpenStep& step : steps_) {
      PlaceStep(step);
    }
    return std::move(plan_);
  }

 private:
  using Assignments = std::vector<JobLedger::Assignment>;

  void NoteUrgentSteps() {
    for (const OpenStep& step : steps_) {
      if (!step.urgent()) continue;
      planner_.last_urgent_[step.service()] = inputs_.now;
      urgent_demand_[step.job->spec.account] +=
          step.spec->need.accelerators *
          static_cast<int64_t>(step.waiting.size());
    }
  }

  void DropReservations() {
    std::set<StepRef> open;
    for (const OpenStep& step : steps_) {
      open.insert(step.ref);
    }
    auto& reservations = planner_.reservations_;
    for (auto it = reservations.begin(); it != reservations.end();) {
      const auto current = it++;
      const bool kept =
          open.count(current->first) > 0 && current->second.until > inputs_.now;
      if (kept) continue;
      rooms_.GiveBack(current->second);
      reservations.erase(current);
    }
  }

  void PlaceStep(const OpenStep& step) {
    auto& reservations = planner_.reservations_;
    const auto own = reservations.find(step.ref);
    if (own != reservations.end()) rooms_.GiveBack(own->second);
    WaitReason reason = WaitReason::kNoRoom;
    const bool placed = step.spec->gang ? PlaceGang(step, &reason)
                                        : PlaceSingles(step, &reason);
    if (own != reservations.end()) {
      if (placed) {
        plan_.starts.back().preempted_at = own->second.made;
        reservations.erase(own);
      } else {
        rooms_.Keep(own->second);
        reason = WaitReason::kRoomIsMade;
      }
    } else if (!placed && step.urgent() && MakeRoom(step)) {
      reason = WaitReason::kRoomIsMade;
    }
    if (placed) return;
    Wait(step, reason);
    NoteDemand(step);
  }

  // Only gangs need much room at one moment. That of a step for which room was
  // taken from others is kept already.
  void NoteDemand(const OpenStep& step) {
    if (!step.spec->gang) return;
    if (planner_.reservations_.count(step.ref) > 0) return;
    if (step.worthless) return;
    waiting_demand_.Add(step.service(), step.priority(),
                        ReservedFor(*step.spec),
                        static_cast<int64_t>(step.waiting.size()));
  }

  void Wait(const OpenStep& step, WaitReason reason) {
    WaitDecision wait{step.ref, reason, {}};
    if (rooms_.usable_workers(step.service()) == 0) {
      wait.reason = WaitReason::kNoUsableWorker;
      plan_.waits.push_back(std::move(wait));
      return;
    }
    const bool advised = step.job->spec.policy.advice.has_value();
    if (advised && reason != WaitReason::kRoomIsMade) {
      wait.reason = WaitReason::kNoAdvice;
      wait.candidates = rooms_.CandidatesForAdvice(step);
    }
    plan_.waits.push_back(std::move(wait));
  }

  // Whether the step has waited long enough to run away from its data, or over
  // several racks. There it takes several times the room, and ends late: others
  // wait for that room. So this is for an idle cluster, and for guaranteed
  // work, which must begin in time.
  bool MayLeaveRack(const OpenStep& step) const {
    const auto waited = std::chrono::duration_cast<Milliseconds>(
        inputs_.now - step.job->known_since);
    if (step.urgent() && IsGuaranteed(step)) {
      return waited > planner_.settings_.bounds.urgent_rack_wait();
    }
    return waited > planner_.settings_.rack_patience &&
           rooms_.UsedShare(step.service()) < kIdleShare;
  }

  // Whether all that the account's urgent jobs need lies within its guarantee.
  bool IsGuaranteed(const OpenStep& step) const {
    const std::string& account = step.job->spec.account;
    const auto guarantee = inputs_.guarantees->find(account);
    if (guarantee == inputs_.guarantees->end()) return false;
    const int64_t needed =
        rooms_.UrgentUse(account) + urgent_demand_.at(account);
    return needed <= guarantee->second;
  }

  bool IsBoundToData(const OpenStep& step) const {
    return !step.spec->data_rack.empty() && !MayLeaveRack(step);
  }

  // Workers kept empty for urgent jobs to come.
  int64_t Headroom(const OpenStep& step) const {
    if (step.urgent()) return 0;
    if (!planner_.ExpectsUrgent(step.service(), inputs_.now)) return 0;
    return static_cast<int64_t>(
        planner_.settings_.headroom *
        static_cast<double>(rooms_.usable_workers(step.service())));
  }

  FreePlaces PlacesFor(const OpenStep& step) const {
    FreePlaces places;
    places.slots = rooms_.FreeSlots(step);
    places.empty_workers = rooms_.EmptyWorkers(step.service()) - Headroom(step);
    places.near_only = IsBoundToData(step);
    return places;
  }

  // How many tasks of the step may start beside what steps of higher priority
  // wait for. Small tasks fit into every gap as it opens, so that a gang would
  // see room at one moment never.
  int64_t AllowedTasks(const OpenStep& step) const {
    const auto waiting = static_cast<int64_t>(step.waiting.size());
    // Where most is idle, it is not these that keep others waiting.
    const std::string& service = step.service();
    if (step.urgent() || rooms_.UsedShare(service) < kCrowdedShare) {
      return waiting;
    }
    // Which resource the half is of is not said; a gang is all or nothing.
    const bool idle = rooms_.LeastUsedShare(service) < kCrowdedShare;
    if (step.spec->gang && idle) return waiting;
    const PlannerSettings& settings = planner_.settings_;
    const Resources all = rooms_.Capacity(service);
    Resources kept = Least(waiting_demand_.Before(service, step.priority()),
                           ShareOf(all, settings.most_kept));
    if (kept.IsNothing()) return waiting;
    if (planner_.ExpectsUrgent(service, inputs_.now)) {
      kept += ShareOf(all, settings.headroom);
    }
    const int64_t allowed =
        ReservedFor(*step.spec)
            .TimesIn(rooms_.FreeRoom(service) - kept, waiting);
    // Any job goes on with one task at a time at least, where that fits.
    if (allowed <= 0 && !step.spec->gang && !step.job_runs()) return 1;
    return allowed;
  }

  bool PlaceSingles(const OpenStep& step, WaitReason* reason) {
    const int64_t allowed = AllowedTasks(step);
    if (allowed <= 0) {
      *reason = WaitReason::kOthersFirst;
      return false;
    }
    FreePlaces places = PlacesFor(step);
    if (places.near_only) *reason = WaitReason::kNoRoomNearData;
    Assignments chosen;
    std::sort(places.slots.begin(), places.slots.end(), HasLessScore);
    for (const Slot& slot : places.slots) {
      if (places.near_only && !rooms_.IsNear(step, slot)) continue;
      if (slot.empty && places.empty_workers-- <= 0) continue;
      TakeSlot(step, rooms_, slot, &chosen);
      if (static_cast<int64_t>(chosen.size()) >= allowed) break;
    }
    if (static_cast<int64_t>(chosen.size()) > allowed) {
      chosen.resize(static_cast<size_t>(allowed));
    }
    const bool all = chosen.size() == step.waiting.size();
    if (!chosen.empty()) Start(step, std::move(chosen), "best fit");
    return all;
  }

  bool PlaceGang(const OpenStep& step, WaitReason* reason) {
    if (AllowedTasks(step) < static_cast<int64_t>(step.waiting.size())) {
      *reason = WaitReason::kOthersFirst;
      return false;
    }
    const FreePlaces places = PlacesFor(step);
    if (places.near_only) *reason = WaitReason::kNoRoomNearData;
    if (step.spec->same_rack && rooms_.SomeRackCanHold(step)) {
      Assignments chosen = PlaceOnOneRack(step, rooms_, places);
      if (!chosen.empty()) {
        Start(step, std::move(chosen), "gang on one rack");
        return true;
      }
      if (!places.near_only) *reason = WaitReason::kNoRoomOnOneRack;
      if (!MayLeaveRack(step)) return false;
    }
    Assignments chosen = PlaceOverRacks(step, rooms_, places);
    if (chosen.empty()) return false;
    Start(step, std::move(chosen), "gang over racks");
    return true;
  }

  void Start(const OpenStep& step, Assignments chosen, std::string reason) {
    for (const JobLedger::Assignment& assignment : chosen) {
      rooms_.Occupy(assignment.worker, step);
    }
    plan_.starts.push_back(
        {step.ref, std::move(chosen), std::move(reason), std::nullopt});
  }

  // Takes room from others for an urgent step; false when that is in vain.
  bool MakeRoom(const OpenStep& step) {
    const RoomReclaim::Inputs inputs{&rooms_,
                                     inputs_.ledger,
                                     inputs_.guarantees,
                                     &stopped_,
                                     planner_.settings_.bounds.restart_cost(),
                                     inputs_.now};
    const bool one_rack =
        step.spec->gang && step.spec->same_rack && rooms_.SomeRackCanHold(step);
    const std::vector<Eviction> evictions =
        RoomReclaim(inputs, step)
            .Choose(IsBoundToData(step), one_rack, MayLeaveRack(step));
    if (evictions.empty()) return false;
    Evict(step, evictions);
    return true;
  }

  void Evict(const OpenStep& step, const std::vector<Eviction>& evictions) {
    RoomReservation reservation;
    reservation.need = ReservedFor(*step.spec);
    reservation.made = inputs_.now;
    reservation.until =
        inputs_.now + planner_.settings_.bounds.reservation_term();
    for (const Eviction& eviction : evictions) {
      WorkerRoom& room = rooms_.room(eviction.worker);
      reservation.tasks_by_worker[room.tracker->id()] +=
          static_cast<int>(eviction.gain);
      for (const TrackedRun* run : eviction.victims) {
        room.coming += run->profile.need;
        plan_.stops.push_back({room.tracker->id(), run->task, run->run,
                               "gives way to urgent " + step.ref.ToString()});
        stopped_.insert(run->task);
      }
    }
    rooms_.Keep(reservation);
    planner_.reservations_[step.ref] = std::move(reservation);
  }

  Planner& planner_;
  const PlanInputs& inputs_;
  Plan plan_;
  ClusterRooms rooms_;
  std::vector<OpenStep> steps_;
  // Of the steps that this round could not place.
  WaitingDemand waiting_demand_;
  // Accelerators that waiting urgent steps need, by account.
  std::map<std::string, int64_t> urgent_demand_;
  // Runs that this round has already told to stop.
  std::set<TaskRef> stopped_;
};

bool Planner::ExpectsUrgent(const std::string& service, Time now) const {
  const auto last = last_urgent_.find(service);
  return last != last_urgent_.end() &&
         now - last->second < settings_.urgent_memory;
}

Plan Planner::Decide(const PlanInputs& inputs) {
  return Round(this, inputs).Run();
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
    case WaitReason::kRoomIsMade:
      return "room is being taken from others";
    case WaitReason::kOthersFirst:
      return "the room is for steps of higher priority";
    case WaitReason::kNoAdvice:
      return "no room on the workers that are approved so far";
  }
  return "no room";
}

}  // namespace thornplank
