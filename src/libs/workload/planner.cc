// One planning round.
#include "workload/planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "workload/cluster_capacity.h"
#include "workload/disruption_budgets.h"
#include "workload/gang_holds.h"
#include "workload/gang_placement.h"
#include "workload/obligation.h"
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
        capacity_(*inputs.workers, inputs.advice, inputs.now, shares(),
                  planner->held_state_.active()),
        budgets_(inputs.ledger, inputs.workers),
        steps_(std::move(steps)),
        queue_(steps_, shares(),
               {shared_services_, planner->settings_.max_share_wait,
                inputs.wall_now}) {
    if (planner_.held_state_.active()) holds_.emplace(HoldInputs());
  }

  Plan Run() {
    for (const auto& [ref, reservation] : planner_.reservations_) {
      capacity_.Reserve(reservation);
    }
    RecordUrgentSteps();
    ReleaseExpiredReservations();
    if (holds_) PrepareHolds();
    IsolateSuspects();
    MarkGuaranteedSteps();
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
    planner_.scarce_services_ = std::move(scarce_services_);
    plan_.account_waits = planner_.account_waits_.Observe(
        waiting_for_capacity_, shares(), inputs_.now);
    if (holds_) RecordHolds();
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

  GangHolds::Inputs HoldInputs() const {
    GangHolds::Inputs inputs;
    inputs.capacity = &capacity_;
    inputs.stopped = &stopped_;
    inputs.max_held_share = planner_.settings_.max_reserved_share;
    inputs.stop_time = planner_.settings_.bounds.move_cost();
    inputs.restart_cost = planner_.settings_.bounds.restart_cost();
    inputs.now = inputs_.now;
    return inputs;
  }

  void PrepareHolds() {
    DropUselessGangReservations();
    for (const std::string& service : capacity_.Services()) {
      ObserveHeadroom(service);
    }
  }

  // A gang that has started or ended needs no reservation, and one that names a
  // worker which can no longer be used does not let the gang start.
  void DropUselessGangReservations() {
    auto& reservations = planner_.gang_reservations_;
    if (reservations.empty()) return;
    std::set<StepRef> ready;
    for (const ReadyStep& step : steps_) {
      ready.insert(step.ref);
    }
    for (auto it = reservations.begin(); it != reservations.end();) {
      const auto current = it++;
      const bool still_valid = ready.count(current->first) > 0 &&
                               current->second.until > inputs_.now &&
                               capacity_.AllUsable(current->second);
      if (still_valid) continue;
      planner_.hold_history_.OnLost(current->first, inputs_.now);
      reservations.erase(current);
    }
  }

  void ObserveHeadroom(const std::string& service) {
    const PlannerSettings& settings = planner_.settings_;
    const int64_t usable = capacity_.usable_workers(service);
    UrgentHeadroomSettings headroom;
    headroom.least_share = settings.headroom;
    headroom.max_share = settings.max_headroom;
    headroom.retention = settings.headroom_retention;
    const auto it = planner_.headrooms_.try_emplace(service, headroom).first;
    UrgentUse use;
    use.workers = capacity_.UrgentWorkers(service);
    use.seen = !it->second.observed() && use.workers > 0;
    const Resources mean = DividedBy(capacity_.TotalCapacity(service), usable);
    for (const ReadyStep& step : steps_) {
      if (!step.urgent() || step.service() != service || usable == 0) continue;
      const auto tasks = static_cast<int64_t>(step.waiting.size());
      const Resources need = ReservedFor(*step.spec);
      use.seen = true;
      use.workers += WorkerShare(need, mean) * static_cast<double>(tasks);
      use.largest_step =
          std::max(use.largest_step, WorkersNeeded(need, tasks, mean));
    }
    it->second.Observe(use, inputs_.now);
    headroom_[service] = it->second.Workers(usable);
  }

  void RecordHolds() {
    plan_.hold_changes = planner_.hold_history_.EndRound(
        holds_->holds(), &capacity_, inputs_.now);
    HeldCapacityUse use;
    use.held_free_accelerators = holds_->held_free_accelerators();
    use.worker_visits = holds_->visits();
    for (const GangHold& hold : holds_->holds()) {
      use.lent_accelerators += hold.lent_accelerators();
    }
    for (const auto& [service, workers] : headroom_) {
      use.headroom_workers += workers;
    }
    planner_.held_use_ = use;
  }

  // Reservations of gangs count from the first step of their priority on.
  void ReserveForGangs(int priority) {
    for (const auto& [ref, reservation] : planner_.gang_reservations_) {
      if (reservation.priority > priority) continue;
      if (!reserved_gangs_.insert(ref).second) continue;
      capacity_.Reserve(reservation);
    }
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
    // An expired step must not use up what one that is in time needs.
    for (const bool expired : {false, true}) {
      for (ReadyStep& step : steps_) {
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
      }
    }
  }

  bool KnowsWorkersInPart() const {
    return inputs_.surveying || inputs_.awaiting_entries;
  }

  void PlaceProbationTests() {
    if (KnowsWorkersInPart()) return;
    for (ProbationTest& test : TakeProbationTests(capacity_, &steps_)) {
      Start(steps_[test.step], {std::move(test.assignment)},
            "test of a worker on probation");
    }
  }

  void PlaceStep(const ReadyStep& step) {
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
      if (placed) {
        if (step.urgent()) plan_.starts.back().preempted_at = own->second.made;
        reservations.erase(own);
      } else {
        capacity_.Reserve(own->second);
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
    if (holds_ && MayHold(step)) WaitedOf(step);
    AddWait(step, reason);
    RecordWaitingDemand(step, reason);
  }

  // Returns true if all waiting tasks start.
  bool PlaceWaiting(const ReadyStep& step, WaitReason* reason) {
    return step.spec->gang ? PlaceGang(step, reason)
                           : PlaceSingleTasks(step, reason);
  }

  // Places what is owed to a step that preferences hold back. It passes the
  // one that holds it back, or all of them if several do. Returns true if all
  // waiting tasks start.
  bool PlaceOwed(const ReadyStep& step) {
    if (KnowsWorkersInPart()) return false;
    std::optional<OwedStart> owed = planner_.owed_starts_.Find(
        step, UsedShareOf(step.service()), inputs_.now);
    if (!owed) return false;
    // Another step of the job may have started in this round.
    if (owed->obligation == Obligation::kIdleJob && HasStart(step.ref.job)) {
      return false;
    }
    ReadyStep part = step;
    part.waiting = std::move(owed->tasks);
    part.passes = PreferenceSet::All();
    if (!LimitToRoom(owed->obligation, &part)) return false;
    const bool all = part.waiting.size() == step.waiting.size();
    for (const Preference preference : kAllPreferences) {
      part.passes = PreferenceSet(preference);
      if (PlaceOwedPart(part, *owed, ToText(preference))) return all;
    }
    part.passes = PreferenceSet::All();
    return PlaceOwedPart(part, *owed, "several preferences") && all;
  }

  // Returns true if tasks start.
  bool PlaceOwedPart(const ReadyStep& part, const OwedStart& owed,
                     std::string_view passed) {
    const size_t starts = plan_.starts.size();
    WaitReason ignored = WaitReason::kNoRoom;
    PlaceWaiting(part, &ignored);
    if (plan_.starts.size() == starts) return false;
    std::string& reason = plan_.starts.back().reason;
    reason += "; owed to ";
    reason += ToText(owed.obligation);
    reason += ", passes ";
    reason += passed;
    return true;
  }

  // Of accelerators; of cores in a service without accelerators.
  double UsedShareOf(const std::string& service) const {
    return capacity_.TotalCapacity(service).accelerators == 0
               ? capacity_.LowestUsedShare(service)
               : capacity_.UsedShare(service);
  }

  bool HasStart(const std::string& job) const {
    return std::any_of(
        plan_.starts.begin(), plan_.starts.end(),
        [&job](const StartDecision& start) { return start.step.job == job; });
  }

  // Unless the work is guaranteed, an owed start leaves as much room as one
  // task, or the gang, takes. Returns false if nothing may start.
  bool LimitToRoom(Obligation obligation, ReadyStep* part) const {
    const Resources need = ReservedFor(*part->spec);
    const auto tasks = static_cast<int64_t>(part->waiting.size());
    const int64_t unit = part->spec->gang ? tasks : 1;
    const int64_t left = obligation == Obligation::kGuaranteed ? 0 : unit;
    int64_t room = 0;
    for (const Slot& slot : capacity_.FreeSlots(*part)) {
      room += need.TimesIn(capacity_.worker(slot.worker).free, tasks + left);
      if (room >= tasks + left) return true;
    }
    if (room < unit + left) return false;
    part->waiting.resize(static_cast<size_t>(room - left));
    return true;
  }

  // Only gangs need much capacity at one moment. Capacity for a step that
  // evicted others is reserved already, and one that may not use what is free
  // needs none yet.
  void RecordWaitingDemand(const ReadyStep& step, WaitReason reason) {
    if (holds_ || !step.spec->gang) return;
    if (reason == WaitReason::kGuaranteedToOthers) return;
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
      case WaitReason::kMembersUnsettled:
      case WaitReason::kGuaranteedToOthers:
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
    if (KnowsWorkersInPart()) return false;
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
    return !step.spec->data_rack.empty() &&
           !step.passes.Contains(Preference::kDataRack) && !MayLeaveRack(step);
  }

  // Number of workers to leave empty for urgent jobs to come.
  int64_t Headroom(const ReadyStep& step) const {
    if (step.urgent()) return 0;
    if (holds_) {
      const auto workers = headroom_.find(step.service());
      return workers == headroom_.end() ? 0 : workers->second;
    }
    if (!planner_.ExpectsUrgent(step.service(), inputs_.now)) return 0;
    return static_cast<int64_t>(
        planner_.settings_.headroom *
        static_cast<double>(capacity_.usable_workers(step.service())));
  }

  FreePlaces PlacesFor(const ReadyStep& step) const {
    FreePlaces places;
    places.slots = capacity_.FreeSlots(step);
    // Headroom is there for urgent steps, so none of it is kept from them.
    const bool all_workers =
        step.urgent() || step.passes.Contains(Preference::kUrgentHeadroom);
    places.empty_workers =
        all_workers ? static_cast<int64_t>(capacity_.workers().size())
                    : capacity_.EmptyWorkers(step.service()) - Headroom(step);
    AdmitReservedWorkers(step, &places);
    places.near_only = IsBoundToData(step);
    places.compact =
        planner_.settings_.features.compact_gangs != FeatureMode::kOff;
    return places;
  }

  // A worker from which runs were stopped for the gang may have become headroom
  // by that. The gang may use it all the same.
  void AdmitReservedWorkers(const ReadyStep& step, FreePlaces* places) const {
    const auto own = planner_.gang_reservations_.find(step.ref);
    if (own == planner_.gang_reservations_.end()) return;
    for (Slot& slot : places->slots) {
      if (!slot.empty) continue;
      const std::string& id = capacity_.worker(slot.worker).tracker->id();
      if (own->second.tasks_by_worker.count(id) == 0) continue;
      slot.empty = false;
      --places->empty_workers;
    }
  }

  // Removes what is held for other steps. A gang may start while the less used
  // resource is mostly free. Returns true if capacity was removed.
  bool LeaveHeldCapacity(const ReadyStep& step, FreePlaces* places) const {
    if (!holds_ || holds_->holds().empty()) return false;
    if (step.passes.Contains(Preference::kHeldCapacity)) return false;
    const bool idle = capacity_.LowestUsedShare(step.service()) < kCrowdedShare;
    if (step.spec->gang && idle) return false;
    const int64_t empty = holds_->EmptyWorkersHeldFrom(step);
    places->empty_workers -= empty;
    return holds_->Restrict(step, &places->slots) || empty > 0;
  }

  // How many tasks of the step may start without delaying steps of higher
  // priority. Small tasks fit into every gap as it opens, so without this limit
  // a gang would never find enough room at one moment.
  int64_t AllowedTasks(const ReadyStep& step) const {
    const auto waiting = static_cast<int64_t>(step.waiting.size());
    // While most of the capacity is idle, these tasks are not what others wait
    // for.
    const std::string& service = step.service();
    if (holds_ || step.urgent() ||
        step.passes.Contains(Preference::kGangDemand) ||
        capacity_.UsedShare(service) < kCrowdedShare) {
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

  // Accelerators of the service that tasks of the account which must not be
  // stopped may use: the others are guaranteed to other accounts, or in use
  // under the account's own guarantee.
  int64_t AcceleratorsOutsideGuarantees(const ReadyStep& step) const {
    const std::string& account = step.job->spec.account;
    int64_t left = capacity_.TotalCapacity(step.service()).accelerators;
    for (const auto& [owner, guaranteed] : *inputs_.guarantees) {
      left -= owner == account
                  ? std::min(guaranteed, capacity_.UrgentAccelerators(owner))
                  : guaranteed;
    }
    return left;
  }

  // Tasks of the step that run, those started in this round included.
  int64_t ActiveTasks(const StepRef& ref, const StepProgress& progress) const {
    const auto started = started_protected_.find(ref);
    return progress.active() +
           (started == started_protected_.end() ? 0 : started->second);
  }

  // Urgent tasks of an account within its guarantee use that.
  bool UsesOwnGuarantee(const JobDefinition& job) const {
    if (job.policy.priority != 0) return false;
    const auto guarantee = inputs_.guarantees->find(job.account);
    return guarantee != inputs_.guarantees->end() &&
           capacity_.UrgentAccelerators(job.account) <= guarantee->second;
  }

  // Accelerators that tasks of the step use which must not be stopped.
  int64_t ProtectedAccelerators(const StepRef& ref, const StepSpec& spec,
                                const StepProgress& progress) const {
    return spec.need.accelerators * std::min(DisruptionBudgets::MustStay(spec),
                                             ActiveTasks(ref, progress));
  }

  // The same of all steps of the service.
  int64_t ProtectedAccelerators(const std::string& service) {
    const auto [known, is_new] = protected_accelerators_.try_emplace(service);
    if (!is_new) return known->second;
    for (const auto& [id, job] : inputs_.ledger->jobs()) {
      if (job->spec.policy.service != service) continue;
      if (IsTerminal(job->state) || UsesOwnGuarantee(job->spec)) continue;
      for (size_t k = 0; k < job->occurrences.size(); ++k) {
        for (size_t i = 0; i < job->spec.steps.size(); ++i) {
          const StepSpec& spec = job->spec.steps[i];
          if (!DisruptionBudgets::IsProtected(spec)) continue;
          const StepRef ref{id, static_cast<int>(k), static_cast<int>(i)};
          known->second +=
              ProtectedAccelerators(ref, spec, job->occurrences[k][i]);
        }
      }
    }
    return known->second;
  }

  void CountProtected(const ReadyStep& step, size_t started) {
    if (!DisruptionBudgets::IsProtected(*step.spec)) return;
    const StepProgress& progress = *inputs_.ledger->FindStep(step.ref);
    const int64_t before =
        ProtectedAccelerators(step.ref, *step.spec, progress);
    started_protected_[step.ref] += static_cast<int64_t>(started);
    const auto sum = protected_accelerators_.find(step.service());
    if (sum == protected_accelerators_.end() || step.within_guarantee) return;
    sum->second +=
        ProtectedAccelerators(step.ref, *step.spec, progress) - before;
  }

  // How many tasks of the step may start without using guaranteed accelerators
  // that could not be freed in time. Tasks that may be stopped need no limit.
  int64_t TasksOutsideGuarantees(const ReadyStep& step) {
    const auto waiting = static_cast<int64_t>(step.waiting.size());
    const StepSpec& spec = *step.spec;
    if (!DisruptionBudgets::IsProtected(spec) || step.within_guarantee ||
        spec.need.accelerators <= 0) {
      return waiting;
    }
    const StepProgress& progress = *inputs_.ledger->FindStep(step.ref);
    int64_t of_others = ProtectedAccelerators(step.service());
    if (!UsesOwnGuarantee(step.job->spec)) {
      of_others -= ProtectedAccelerators(step.ref, spec, progress);
    }
    const int64_t tasks = (AcceleratorsOutsideGuarantees(step) - of_others) /
                          spec.need.accelerators;
    if (tasks >= DisruptionBudgets::MustStay(spec)) return waiting;
    if (spec.gang) return 0;
    return std::clamp<int64_t>(tasks - ActiveTasks(step.ref, progress), 0,
                               waiting);
  }

  bool PlaceSingleTasks(const ReadyStep& step, WaitReason* reason) {
    const int64_t outside = TasksOutsideGuarantees(step);
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
        *reason == WaitReason::kYieldsToHigherPriority &&
        !step.job_is_active()) {
      chosen = TakeSlots(step, PlacesFor(step), 1);
    }
    const bool all = chosen.size() == step.waiting.size();
    if (!chosen.empty()) Start(step, std::move(chosen), "best fit");
    return all;
  }

  Assignments TakeSlots(const ReadyStep& step, FreePlaces places,
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

  bool PlaceGang(const ReadyStep& step, WaitReason* reason) {
    if (TasksOutsideGuarantees(step) <
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

  void Start(const ReadyStep& step, Assignments chosen, std::string reason) {
    for (const JobLedger::Assignment& assignment : chosen) {
      capacity_.Occupy(assignment.worker, step);
    }
    ChangeShares(step.service(), step.job->spec.account, step.priority(),
                 ReservedFor(*step.spec), static_cast<int64_t>(chosen.size()));
    CountProtected(step, chosen.size());
    plan_.starts.push_back(
        {step.ref, std::move(chosen), std::move(reason), std::nullopt});
  }

  // Evicts other runs for an urgent step; returns false when that cannot make
  // enough room.
  bool PreemptFor(const ReadyStep& waiting) {
    ReadyStep step = waiting;
    step.waiting.resize(static_cast<size_t>(TasksOutsideGuarantees(waiting)));
    if (step.waiting.empty()) return false;
    const VictimSelection::Inputs inputs{
        &capacity_,
        inputs_.ledger,
        inputs_.guarantees,
        &stopped_,
        &budgets_,
        SharesFor(step),
        planner_.settings_.bounds.restart_cost(),
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

  bool MayHold(const ReadyStep& step) const {
    return step.spec->gang && !step.urgent() && !step.expired &&
           !KnowsWorkersInPart();
  }

  // Also records that the gang still waits.
  Duration WaitedOf(const ReadyStep& step) {
    return planner_.hold_history_.Waited(step, inputs_.now, inputs_.wall_now);
  }

  // Holds capacity for a gang that does not fit. Returns true if runs are
  // stopped for it.
  bool HoldFor(const ReadyStep& step) {
    HoldHistory& history = planner_.hold_history_;
    HoldRequest request;
    request.step = &step;
    request.waited = WaitedOf(step);
    if (!holds_->MayConsider(step.service())) return false;
    const bool search = history.MaySearch(step, inputs_.now);
    request.among = history.LastWorkers(step.ref, capacity_);
    if (!search && request.among.empty()) return false;
    request.empty_workers = capacity_.EmptyWorkers(step.service()) -
                            Headroom(step) - holds_->EmptyWorkersHeldFrom(step);
    request.near_only = IsBoundToData(step);
    std::vector<Eviction> returns;
    // The hold of the round before is kept while it is possible.
    const bool kept = !request.among.empty() && !search &&
                      holds_->Consider(request, &returns);
    if (!kept) {
      if (!request.among.empty()) history.OnLost(step.ref, inputs_.now);
      if (!history.MaySearch(step, inputs_.now)) return false;
      request.among.clear();
      request.one_rack = step.spec->same_rack && capacity_.AnyRackCanHold(step);
      const bool found = holds_->Consider(request, &returns);
      history.OnSearched(step, found, inputs_.now);
    }
    if (returns.empty()) return false;
    history.OnReturned(step.ref);
    Evict(step, returns);
    return true;
  }

  void Evict(const ReadyStep& step, const std::vector<Eviction>& evictions) {
    const std::string reason = step.urgent()
                                   ? "gives way to urgent "
                                   : "returns capacity that is held for ";
    CapacityReservation reservation;
    reservation.priority = step.priority();
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
                               reason + step.ref.ToString(), !step.urgent()});
        stopped_.insert(run->task);
        if (run->profile.long_running) budgets_.OnStop(run->task.step);
        ChangeShares(step.service(), run->profile.account,
                     run->profile.priority, run->profile.need, -1);
      }
    }
    capacity_.Reserve(reservation);
    if (step.urgent()) {
      planner_.reservations_[step.ref] = std::move(reservation);
      return;
    }
    reserved_gangs_.insert(step.ref);
    planner_.gang_reservations_[step.ref] = std::move(reservation);
  }

  Planner& planner_;
  const PlanInputs& inputs_;
  Plan plan_;
  const SharedServices shared_services_;
  // Empty while no service is shared.
  std::optional<AccountShares> shares_;
  ClusterCapacity capacity_;
  DisruptionBudgets budgets_;
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
  // Number of tasks that this round has started, of steps some of whose tasks
  // must stay at work.
  std::map<StepRef, int64_t> started_protected_;
  // Accelerators that tasks use which must not be stopped, by service.
  std::map<std::string, int64_t> protected_accelerators_;
  // Set while held capacity is active.
  std::optional<GangHolds> holds_;
  // Workers to leave empty for urgent steps, by service.
  std::map<std::string, int64_t> headroom_;
  // Gangs whose reservations this round has taken off the capacity.
  std::set<StepRef> reserved_gangs_;
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
  std::vector<StepRef> broken_gangs;
  std::vector<ReadyStep> steps =
      CollectReadySteps(*inputs.ledger, inputs.wall_now, &broken_gangs);
  std::vector<FeatureChange> changes = UpdateFeatures(inputs);
  Plan plan;
  const bool idle = steps.empty();
  if (idle) {
    reservations_.clear();
    isolated_since_.clear();
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
  for (StepRef& gang : broken_gangs) {
    plan.waits.push_back({std::move(gang), WaitReason::kMembersUnsettled, {}});
  }
  plan.feature_changes = std::move(changes);
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
    case WaitReason::kGuaranteedToOthers:
      return "the accelerators are guaranteed to other accounts, and its tasks "
             "could not be stopped for them";
  }
  return "no room";
}

}  // namespace thornplank
