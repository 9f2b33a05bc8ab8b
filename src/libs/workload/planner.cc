// One planning round.
#include "workload/planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "workload/cluster_capacity.h"
#include "workload/gang_placement.h"
#include "workload/probation_tests.h"
#include "workload/ready_step.h"
#include "workload/victim_selection.h"
#include "workload/waiting_demand.h"

namespace thornplank {
namespace {

// With a smaller share in use, no start delays another step.
constexpr double kIdleShare = 0.45;
// With a larger share in use, steps yield to steps of higher priority. A job
// with no active task while less than half of its service is in use counts as
// not served.
constexpr double kCrowdedShare = 0.5;
// In `auto` mode accounts have shares if this many are guaranteed accelerators.
constexpr int64_t kLeastAccountsWithShares = 2;

}  // namespace

class Planner::Round {
 public:
  Round(Planner* planner, const PlanInputs& inputs,
        std::vector<ReadyStep> steps)
      : planner_(*planner),
        inputs_(inputs),
        shared_services_(planner->ServicesWithShares(*inputs.guarantees)),
        shares_(MakeShares(shared_services_, *inputs.guarantees)),
        capacity_(*inputs.workers, inputs.advice, inputs.now, shares()),
        steps_(std::move(steps)),
        queue_(steps_, shares(),
               {shared_services_, planner->settings_.max_share_wait,
                inputs.wall_now}) {}

  Plan Run() {
    for (const auto& [ref, reservation] : planner_.reservations_) {
      capacity_.Reserve(reservation);
    }
    RecordUrgentSteps();
    ReleaseExpiredReservations();
    IsolateSuspects();
    MarkGuaranteedSteps();
    PlaceProbationTests();
    while (const ReadyStep* step = queue_.Next()) {
      if (step->waiting.empty()) continue;
      if (inputs_.surveying && !step->urgent()) {
        AddWait(*step, WaitReason::kSurveying);
        continue;
      }
      PlaceStep(*step);
    }
    planner_.scarce_services_ = std::move(scarce_services_);
    plan_.account_waits = planner_.account_waits_.Observe(
        waiting_for_capacity_, shares(), inputs_.now);
    return std::move(plan_);
  }

 private:
  using Assignments = std::vector<JobLedger::Assignment>;

  static std::optional<AccountShares> MakeShares(const SharedServices& services,
                                                 const Guarantees& guarantees) {
    if (services.IsEmpty()) return std::nullopt;
    return AccountShares(guarantees);
  }

  // Null while no service is shared.
  AccountShares* shares() { return shares_ ? &*shares_ : nullptr; }
  // Null if the service of the step is not shared.
  AccountShares* SharesFor(const ReadyStep& step) {
    return shared_services_.Contains(step.service()) ? shares() : nullptr;
  }

  // Counts tasks of the account that were started, or stopped if negative.
  void ChangeShares(const std::string& service, const std::string& account,
                    int priority, const Resources& need, int64_t tasks) {
    if (!shares_) return;
    shares_->Change(shares_->Include(service, account), priority, need, tasks);
    queue_.OnSharesChanged(service, account);
  }

  void RecordUrgentSteps() {
    for (const ReadyStep& step : steps_) {
      if (!step.urgent()) continue;
      planner_.last_urgent_[step.service()] = inputs_.now;
      urgent_demand_[step.job->spec.account] +=
          step.spec->need.accelerators *
          static_cast<int64_t>(step.waiting.size());
    }
  }

  void ReleaseExpiredReservations() {
    std::set<StepRef> ready;
    for (const ReadyStep& step : steps_) {
      ready.insert(step.ref);
    }
    auto& reservations = planner_.reservations_;
    for (auto it = reservations.begin(); it != reservations.end();) {
      const auto current = it++;
      const bool still_valid = ready.count(current->first) > 0 &&
                               current->second.until > inputs_.now;
      if (still_valid) continue;
      capacity_.Release(current->second);
      reservations.erase(current);
    }
  }

  // A step whose last start crashed its worker starts alone, for as long as it
  // can wait for that.
  void IsolateSuspects() {
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

  // In the order in which steps are placed: the steps that fit into the
  // guarantee of their account, even if its later ones exceed it.
  void MarkGuaranteedSteps() {
    std::map<std::string, int64_t> needed;
    for (ReadyStep& step : steps_) {
      if (!step.urgent()) continue;
      const std::string& account = step.job->spec.account;
      const auto guarantee = inputs_.guarantees->find(account);
      if (guarantee == inputs_.guarantees->end()) continue;
      int64_t& sum = needed[account];
      sum += step.spec->need.accelerators *
             static_cast<int64_t>(step.waiting.size());
      step.guaranteed =
          capacity_.UrgentAccelerators(account) + sum <= guarantee->second;
    }
  }

  void PlaceProbationTests() {
    if (inputs_.surveying) return;
    for (ProbationTest& test : TakeProbationTests(capacity_, &steps_)) {
      Start(steps_[test.step], {std::move(test.assignment)},
            "test of a worker on probation");
    }
  }

  void PlaceStep(const ReadyStep& step) {
    auto& reservations = planner_.reservations_;
    const auto own = reservations.find(step.ref);
    if (own != reservations.end()) capacity_.Release(own->second);
    WaitReason reason = WaitReason::kNoRoom;
    const bool placed = step.spec->gang ? PlaceGang(step, &reason)
                                        : PlaceSingleTasks(step, &reason);
    if (own != reservations.end()) {
      if (placed) {
        plan_.starts.back().preempted_at = own->second.made;
        reservations.erase(own);
      } else {
        capacity_.Reserve(own->second);
        reason = WaitReason::kPreempting;
      }
    } else if (!placed && step.urgent() && !inputs_.surveying &&
               PreemptFor(step)) {
      reason = WaitReason::kPreempting;
    }
    if (placed) return;
    AddWait(step, reason);
    RecordWaitingDemand(step);
  }

  // Only gangs need much capacity at one moment. Capacity for a step that
  // evicted others is reserved already.
  void RecordWaitingDemand(const ReadyStep& step) {
    if (!step.spec->gang) return;
    if (planner_.reservations_.count(step.ref) > 0) return;
    if (step.expired) return;
    waiting_demand_.Add(step.service(), step.priority(),
                        ReservedFor(*step.spec),
                        static_cast<int64_t>(step.waiting.size()));
  }

  void AddWait(const ReadyStep& step, WaitReason reason) {
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

  bool LacksCapacity(const ReadyStep& step, WaitReason reason) const {
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
        return false;
    }
    return false;
  }

  void RecordScarcity(const ReadyStep& step) {
    scarce_services_.insert(step.service());
    if (SharesFor(step) == nullptr) return;
    ++waiting_for_capacity_[{step.service(), step.job->spec.account,
                             step.priority()}];
  }

  // Whether the step has waited long enough to run away from its data or over
  // several racks. There it takes several times as long and blocks others
  // meanwhile. So this is only for an idle cluster, and for guaranteed work,
  // which must start in time.
  bool MayLeaveRack(const ReadyStep& step) const {
    if (inputs_.surveying) return false;
    const auto waited = std::chrono::duration_cast<Milliseconds>(
        inputs_.now - step.job->added_at);
    if (step.urgent() && IsGuaranteed(step)) {
      return waited > planner_.settings_.bounds.urgent_rack_wait();
    }
    return waited > planner_.settings_.rack_wait &&
           capacity_.UsedShare(step.service()) < kIdleShare;
  }

  // Whether the total need of the account's urgent jobs is within its
  // guarantee.
  bool IsGuaranteed(const ReadyStep& step) const {
    const std::string& account = step.job->spec.account;
    const auto guarantee = inputs_.guarantees->find(account);
    if (guarantee == inputs_.guarantees->end()) return false;
    const int64_t needed =
        capacity_.UrgentAccelerators(account) + urgent_demand_.at(account);
    return needed <= guarantee->second;
  }

  bool IsBoundToData(const ReadyStep& step) const {
    return !step.spec->data_rack.empty() && !MayLeaveRack(step);
  }

  // Number of workers to leave empty for urgent jobs to come.
  int64_t Headroom(const ReadyStep& step) const {
    if (step.urgent()) return 0;
    if (!planner_.ExpectsUrgent(step.service(), inputs_.now)) return 0;
    return static_cast<int64_t>(
        planner_.settings_.headroom *
        static_cast<double>(capacity_.usable_workers(step.service())));
  }

  FreePlaces PlacesFor(const ReadyStep& step) const {
    FreePlaces places;
    places.slots = capacity_.FreeSlots(step);
    places.empty_workers =
        capacity_.EmptyWorkers(step.service()) - Headroom(step);
    places.near_only = IsBoundToData(step);
    places.compact =
        planner_.settings_.features.compact_gangs != FeatureMode::kOff;
    return places;
  }

  // How many tasks of the step may start without delaying steps of higher
  // priority. Small tasks fit into every gap as it opens, so without this limit
  // a gang would never find enough room at one moment.
  int64_t AllowedTasks(const ReadyStep& step) const {
    const auto waiting = static_cast<int64_t>(step.waiting.size());
    // While most of the capacity is idle, these tasks are not what others wait
    // for.
    const std::string& service = step.service();
    if (step.urgent() || capacity_.UsedShare(service) < kCrowdedShare) {
      return waiting;
    }
    // The rule about jobs that are not served does not name the resource, so
    // the less used one decides for gangs, which start whole or not at all.
    const bool idle = capacity_.LowestUsedShare(service) < kCrowdedShare;
    if (step.spec->gang && idle) return waiting;
    const PlannerSettings& settings = planner_.settings_;
    const Resources all = capacity_.TotalCapacity(service);
    Resources reserved = ElementwiseMin(
        waiting_demand_.OfHigherPriority(service, step.priority()),
        ShareOf(all, settings.max_reserved_share));
    if (reserved.IsZero()) return waiting;
    if (planner_.ExpectsUrgent(service, inputs_.now)) {
      reserved += ShareOf(all, settings.headroom);
    }
    const int64_t allowed =
        ReservedFor(*step.spec)
            .TimesIn(capacity_.FreeCapacity(service) - reserved, waiting);
    // Every job may run at least one task at a time, if it fits.
    if (allowed <= 0 && !step.spec->gang && !step.job_is_active()) return 1;
    return allowed;
  }

  bool PlaceSingleTasks(const ReadyStep& step, WaitReason* reason) {
    const int64_t allowed = AllowedTasks(step);
    if (allowed <= 0) {
      *reason = WaitReason::kYieldsToHigherPriority;
      return false;
    }
    FreePlaces places = PlacesFor(step);
    if (places.near_only) *reason = WaitReason::kNoRoomNearData;
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
    const bool all = chosen.size() == step.waiting.size();
    if (!chosen.empty()) Start(step, std::move(chosen), "best fit");
    return all;
  }

  bool PlaceGang(const ReadyStep& step, WaitReason* reason) {
    if (AllowedTasks(step) < static_cast<int64_t>(step.waiting.size())) {
      *reason = WaitReason::kYieldsToHigherPriority;
      return false;
    }
    const FreePlaces places = PlacesFor(step);
    if (places.near_only) *reason = WaitReason::kNoRoomNearData;
    // A rack may hold more than is known of it yet.
    const bool may_fit = inputs_.surveying || capacity_.AnyRackCanHold(step);
    if (step.spec->same_rack && may_fit) {
      Assignments chosen = PlaceOnOneRack(step, capacity_, places);
      if (!chosen.empty()) {
        Start(step, std::move(chosen), "gang on one rack");
        return true;
      }
      if (!places.near_only) *reason = WaitReason::kNoRoomOnOneRack;
      if (!MayLeaveRack(step)) return false;
    }
    Assignments chosen = PlaceOverRacks(step, capacity_, places);
    if (chosen.empty()) return false;
    Start(step, std::move(chosen), "gang over racks");
    return true;
  }

  void Start(const ReadyStep& step, Assignments chosen, std::string reason) {
    for (const JobLedger::Assignment& assignment : chosen) {
      capacity_.Occupy(assignment.worker, step);
    }
    ChangeShares(step.service(), step.job->spec.account, step.priority(),
                 ReservedFor(*step.spec), static_cast<int64_t>(chosen.size()));
    plan_.starts.push_back(
        {step.ref, std::move(chosen), std::move(reason), std::nullopt});
  }

  // Evicts other runs for an urgent step; returns false when that cannot make
  // enough room.
  bool PreemptFor(const ReadyStep& step) {
    const VictimSelection::Inputs inputs{
        &capacity_, inputs_.ledger,  inputs_.guarantees,
        &stopped_,  SharesFor(step), planner_.settings_.bounds.restart_cost(),
        inputs_.now};
    const bool one_rack = step.spec->gang && step.spec->same_rack &&
                          capacity_.AnyRackCanHold(step);
    const std::vector<Eviction> evictions =
        VictimSelection(inputs, step)
            .ChooseEvictions(IsBoundToData(step), one_rack, MayLeaveRack(step));
    if (evictions.empty()) return false;
    Evict(step, evictions);
    return true;
  }

  void Evict(const ReadyStep& step, const std::vector<Eviction>& evictions) {
    CapacityReservation reservation;
    reservation.need = ReservedFor(*step.spec);
    reservation.made = inputs_.now;
    reservation.until =
        inputs_.now + planner_.settings_.bounds.reservation_term();
    for (const Eviction& eviction : evictions) {
      WorkerCapacity& worker = capacity_.worker(eviction.worker);
      reservation.tasks_by_worker[worker.tracker->id()] +=
          static_cast<int>(eviction.gain);
      for (const TrackedRun* run : eviction.victims) {
        worker.releasing += run->profile.need;
        plan_.stops.push_back({worker.tracker->id(), run->task, run->run,
                               "gives way to urgent " + step.ref.ToString()});
        stopped_.insert(run->task);
        ChangeShares(step.service(), run->profile.account,
                     run->profile.priority, run->profile.need, -1);
      }
    }
    capacity_.Reserve(reservation);
    planner_.reservations_[step.ref] = std::move(reservation);
  }

  Planner& planner_;
  const PlanInputs& inputs_;
  Plan plan_;
  const SharedServices shared_services_;
  // Empty while no service is shared.
  std::optional<AccountShares> shares_;
  ClusterCapacity capacity_;
  std::vector<ReadyStep> steps_;
  StepQueue queue_;
  // Steps left waiting for capacity: their services, and their number by
  // account in services that are shared.
  std::set<std::string> scarce_services_;
  AccountWaits::WaitingSteps waiting_for_capacity_;
  // Demand of the steps that this round could not place.
  WaitingDemand waiting_demand_;
  // Accelerators needed by waiting urgent steps, by account.
  std::map<std::string, int64_t> urgent_demand_;
  // Runs that this round has already decided to stop.
  std::set<TaskRef> stopped_;
};

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
  std::vector<ReadyStep> steps =
      CollectReadySteps(*inputs.ledger, inputs.wall_now);
  if (steps.empty()) {
    reservations_.clear();
    isolated_since_.clear();
    scarce_services_.clear();
    Plan plan;
    plan.account_waits = account_waits_.Observe({}, nullptr, inputs.now);
    return plan;
  }
  return Round(this, inputs, std::move(steps)).Run();
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
  }
  return "no room";
}

}  // namespace thornplank
