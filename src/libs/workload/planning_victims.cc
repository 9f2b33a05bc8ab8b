// Runs that give way: to urgent steps, and to gangs for which capacity is held.
#include <set>
#include <utility>

#include "workload/planning_round.h"

namespace thornplank {

GangHolds::Inputs Planner::Round::HoldInputs() const {
  GangHolds::Inputs inputs;
  inputs.capacity = &capacity_;
  inputs.stopped = &stopped_;
  inputs.max_held_share = planner_.settings_.max_reserved_share;
  inputs.stop_time = planner_.settings_.bounds.move_cost();
  inputs.restart_cost = planner_.settings_.bounds.restart_cost();
  inputs.now = inputs_.now;
  return inputs;
}

GangHolds::Inputs Planner::Round::GuaranteeHoldInputs() const {
  GangHolds::Inputs inputs = HoldInputs();
  inputs.for_guarantees = true;
  // The guarantees themselves are the bound.
  inputs.max_held_share = 1;
  return inputs;
}

void Planner::Round::HoldGuaranteed(const ReadyStep& step, size_t first_start) {
  if (!step.urgent() || KnowsWorkersInPart()) return;
  if (step.expired && !step.owed) return;
  auto waiting = static_cast<int64_t>(step.waiting.size());
  for (size_t i = first_start; i < plan_.starts.size(); ++i) {
    waiting -= static_cast<int64_t>(plan_.starts[i].assignments.size());
  }
  GuaranteeHolds::Terms terms;
  terms.waited = inputs_.now - step.job->added_at;
  terms.near_only = IsBoundToData(step);
  terms.one_rack = step.spec->gang && step.spec->same_rack &&
                   !MayLeaveRack(step) && capacity_.AnyRackCanHold(step);
  guarantee_holds_.Hold(step, waiting, terms);
}

void Planner::Round::PrepareHolds() {
  DropUselessGangReservations();
  for (const std::string& service : capacity_.Services()) {
    ObserveHeadroom(service);
  }
}

void Planner::Round::DropUselessGangReservations() {
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

void Planner::Round::RecordHolds() {
  plan_.hold_changes =
      planner_.hold_history_.EndRound(holds_->holds(), &capacity_, inputs_.now);
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

void Planner::Round::ReserveForGangs(int priority) {
  for (const auto& [ref, reservation] : planner_.gang_reservations_) {
    if (reservation.priority > priority) continue;
    if (!reserved_gangs_.insert(ref).second) continue;
    capacity_.Reserve(reservation);
  }
}

bool Planner::Round::PreemptFor(const ReadyStep& waiting) {
  ReadyStep step = waiting;
  step.waiting.resize(static_cast<size_t>(protected_tasks_.MayStart(waiting)));
  if (step.waiting.empty()) return false;
  VictimSelection::Inputs inputs;
  inputs.may_reclaim = MayReclaim(step);
  if (!MayReclaimAgain(step)) return false;
  inputs.capacity = &capacity_;
  inputs.ledger = inputs_.ledger;
  inputs.balance = &balance_;
  inputs.stopped = &stopped_;
  inputs.budgets = &budgets_;
  inputs.shares = SharesFor(step);
  inputs.guarantee_holds = &guarantee_holds_;
  inputs.restart_cost = planner_.settings_.bounds.restart_cost();
  inputs.now = inputs_.now;
  const bool one_rack =
      step.spec->gang && step.spec->same_rack && capacity_.AnyRackCanHold(step);
  const auto choose = [&] {
    return VictimSelection(inputs, step)
        .ChooseEvictions(IsBoundToData(step), one_rack, MayLeaveRack(step));
  };
  std::vector<Eviction> evictions = choose();
  const bool is_limited =
      !step.owed && !planner_.equal_stops_.MayStop(inputs_.now);
  if (is_limited && HasUrgentVictim(evictions)) {
    planner_.equal_stops_.OnWithheld();
    inputs.may_reclaim = false;
    evictions = choose();
  }
  if (evictions.empty()) return false;
  Evict(step, evictions);
  return true;
}

bool Planner::Round::HasUrgentVictim(const std::vector<Eviction>& evictions) {
  for (const Eviction& eviction : evictions) {
    for (const TrackedRun* run : eviction.victims) {
      if (run->profile.priority == 0) return true;
    }
  }
  return false;
}

// A step that is owed nothing waits for runs to end in the room that is held
// for it, and takes from others only where they last. So does an expired step,
// whose result comes too late anyway, as long as it can still begin within the
// bound on reclaiming.
bool Planner::Round::MayReclaim(const ReadyStep& step) {
  const int64_t wanted =
      step.spec->need.accelerators * static_cast<int64_t>(step.waiting.size());
  if (!step.owed && balance_.Left(step.job->spec.account) < wanted) {
    return false;
  }
  Planner::GuaranteeWait wait{step.owed, inputs_.now};
  const auto known = planner_.guarantee_waits_.find(step.ref);
  if (known != planner_.guarantee_waits_.end() &&
      known->second.owed == step.owed) {
    wait = known->second;
  }
  guarantee_waits_[step.ref] = wait;
  const Duration waited = inputs_.now - wait.since;
  if (!step.owed) return waited >= planner_.settings_.max_share_wait;
  return !step.expired || waited >= planner_.settings_.bounds.reclaim_slack();
}

void Planner::Round::RecordGuaranteeWaits() {
  for (const auto& [step, wait] : planner_.guarantee_waits_) {
    if (planner_.reservations_.count(step) == 0) continue;
    guarantee_waits_.try_emplace(step, wait);
  }
  planner_.guarantee_waits_ = std::move(guarantee_waits_);
}

bool Planner::Round::MayReclaimAgain(const ReadyStep& step) const {
  if (step.owed) return true;
  const auto retry = planner_.reclaim_retries_.find(step.ref);
  return retry == planner_.reclaim_retries_.end() ||
         retry->second.not_before <= inputs_.now;
}

bool Planner::Round::MayHold(const ReadyStep& step) const {
  return step.spec->gang && !step.urgent() && !step.expired &&
         !KnowsWorkersInPart();
}

Duration Planner::Round::WaitedOf(const ReadyStep& step) {
  return planner_.hold_history_.Waited(step, inputs_.now, inputs_.wall_now);
}

bool Planner::Round::HoldFor(const ReadyStep& step) {
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
  const bool kept =
      !request.among.empty() && !search && holds_->Consider(request, &returns);
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

void Planner::Round::Evict(const ReadyStep& step,
                           const std::vector<Eviction>& evictions) {
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
    const WorkerCapacity& worker = capacity_.worker(eviction.worker);
    reservation.tasks_by_worker[worker.tracker->id()] +=
        static_cast<int>(eviction.gain);
    for (const TrackedRun* run : eviction.victims) {
      StopDecision stop;
      stop.worker = worker.tracker->id();
      stop.task = run->task;
      stop.run = run->run;
      stop.reason = reason + step.ref.ToString();
      stop.returns_held = !step.urgent();
      stop.priority = run->profile.priority;
      stop.for_priority = step.priority();
      if (run->placed != Time{}) stop.age = inputs_.now - run->placed;
      plan_.stops.push_back(std::move(stop));
      OnStopped(worker.tracker->id(), *run);
    }
  }
  capacity_.Reserve(reservation);
  if (step.urgent()) {
    CountReserved(step.ref, reservation, 1);
    planner_.reservations_[step.ref] = std::move(reservation);
    return;
  }
  reserved_gangs_.insert(step.ref);
  planner_.gang_reservations_[step.ref] = std::move(reservation);
}

void Planner::Round::UseReservation(const ReadyStep& step, size_t first_start,
                                    CapacityReservation* reservation) const {
  for (size_t i = first_start; i < plan_.starts.size(); ++i) {
    if (!(plan_.starts[i].step == step.ref)) continue;
    for (const auto& assignment : plan_.starts[i].assignments) {
      const auto tasks = reservation->tasks_by_worker.find(assignment.worker);
      if (tasks == reservation->tasks_by_worker.end()) continue;
      if (--tasks->second == 0) reservation->tasks_by_worker.erase(tasks);
    }
  }
}

void Planner::Round::CountReserved(const StepRef& step,
                                   const CapacityReservation& reservation,
                                   int sign) {
  const Job* job = inputs_.ledger->Find(step.job);
  if (job == nullptr) return;
  int64_t tasks = 0;
  for (const auto& [worker, count] : reservation.tasks_by_worker) {
    tasks += count;
  }
  balance_.Reserve(job->spec.account,
                   sign * tasks * reservation.need.accelerators);
}

void Planner::Round::OnStopped(const std::string& worker,
                               const TrackedRun& victim) {
  const RunProfile& profile = victim.profile;
  const auto count = [&](const TaskRef& task, const std::string& on) {
    if (!stopped_.insert(task).second) return;
    const auto index = capacity_.IndexOf(on);
    if (!index) return;
    capacity_.worker(*index).releasing += profile.need;
    if (profile.long_running) budgets_.OnStop(task.step);
    if (profile.priority == 0) {
      balance_.OnStopped(profile.account, profile.need.accelerators);
      planner_.equal_stops_.OnStops(1, inputs_.now);
    }
    ChangeShares(capacity_.worker(*index).entry().service, profile.account,
                 profile.priority, profile.need, -1);
  };
  count(victim.task, worker);
  const StepProgress* step = inputs_.ledger->FindStep(victim.task.step);
  if (!profile.gang || step == nullptr) return;
  for (size_t i = 0; i < step->tasks.size(); ++i) {
    const TaskStatus& member = step->tasks[i];
    if (member.phase != TaskPhase::kActive || member.run != victim.run) {
      continue;
    }
    count({victim.task.step, static_cast<int>(i)}, member.worker);
  }
}

}  // namespace thornplank
