#include "scheduling/placement_round.h"

#include <algorithm>
#include <queue>
#include <utility>

#include "scheduling/job_order.h"
#include "scheduling/placement_costs.h"
#include "scheduling/placement_search.h"

namespace thornplank {
namespace {

// Limits the number of borrowers started per decision, so that no decision
// takes long.
constexpr int kMaxStartsPerRound = 8;

bool ArrivedLater(const JobRecord* a, const JobRecord* b) {
  return a->spec.submitted_order > b->spec.submitted_order;
}

}  // namespace

PlacementRound::PlacementRound(SchedulerState& state, GangStarter& starter,
                               Time now)
    : state_(state),
      starter_(starter),
      now_(now),
      snapshot_(state, now),
      displacement_cost_(snapshot_.DisplacementCost(state, now)) {
  state_.borrowed = snapshot_.borrowed;
}

bool PlacementRound::Run() {
  StartReadyPlans();
  PlaceGuaranteed();
  PlaceUrgent();
  UpdateReservation();
  const bool complete = PlaceBorrowers();
  PlaceProbes();
  return complete;
}

void PlacementRound::RunForJob(JobRecord& job) {
  StartReadyPlans();
  if (!MayStart(job) || TryGuaranteed(job)) return;
  const JobClass& job_class = state_.ClassOf(job);
  if (!MayBorrow(job_class)) return;
  if (job.spec.priority == Priority::kUrgent && TryUrgent(job)) return;
  PrepareBorrowing();
  TryBorrow(job);
}

void PlacementRound::PrepareBorrowing() {
  unused_reserved_ = state_.guarantee_placement.UnusedReserved();
  rack_end_times_ = snapshot_.RackEndTimes(state_.cluster, now_);
  in_use_at_start_ =
      snapshot_.InUseAt(state_.cluster, state_.reservation.start());
}

bool PlacementRound::MayStart(const JobRecord& job) const {
  if (job.plan || job.not_before > now_) return false;
  const EventReservation* event = state_.calendar.Find(job.spec.event);
  return !event || event->start <= now_;
}

bool PlacementRound::MayBorrow(const JobClass& job_class) const {
  return state_.Account(job_class.account).borrowing;
}

void PlacementRound::StartReadyPlans() {
  const std::map<std::string, JobRecord*> planned = state_.planned;
  if (planned.empty()) return;
  const AcceleratorsByWorker reclaimable =
      snapshot_.Reclaimable(state_.cluster, false);
  for (const auto& [id, job] : planned) {
    const std::vector<WorkerIndex> workers = job->plan->workers;
    const bool servable = std::all_of(
        workers.begin(), workers.end(), [&, job = job](WorkerIndex worker) {
          if (state_.cluster.capacity(worker) == 0) return false;
          return job->allocation ||
                 state_.cluster.claimed(worker) <=
                     state_.cluster.unheld(worker) + reclaimable[worker];
        });
    if (!servable) {
      state_.DropPlan(*job);
      state_.ReleaseAllocation(*job);
      continue;
    }
    if (!IsFreeNow(*job, workers)) continue;
    const std::string reason = job->plan->reason + ", after reclaim";
    state_.DropPlan(*job);
    starter_.StartGang(*job, workers, reason, now_);
  }
}

// Whether the accelerators are free of leases; claims do not count.
bool PlacementRound::IsFreeNow(const JobRecord& job,
                               const std::vector<WorkerIndex>& workers) const {
  std::map<WorkerIndex, int> needed;
  for (const WorkerIndex worker : workers) {
    needed[worker] += job.spec.shape.accelerators_per_member;
  }
  return std::all_of(needed.begin(), needed.end(), [this](const auto& one) {
    return state_.cluster.unheld(one.first) >= one.second;
  });
}

void PlacementRound::MakePlan(JobRecord& job,
                              const std::vector<WorkerIndex>& workers,
                              const std::string& reason) {
  for (const WorkerIndex worker : workers) {
    state_.cluster.Claim(worker, job.spec.shape.accelerators_per_member);
  }
  job.plan = ClaimedPlan{workers, reason};
  job.reason = reason + ", waits for borrowers to leave";
  state_.planned[job.spec.id] = &job;
}

void PlacementRound::PlaceGuaranteed() {
  std::vector<int> order;
  for (size_t i = 0; i < state_.classes.size(); ++i) {
    if (!state_.classes[i].waiting.empty()) {
      order.push_back(static_cast<int>(i));
    }
  }
  // Urgent classes first, then by their oldest job.
  std::sort(order.begin(), order.end(), [this](int a, int b) {
    const JobClass& first = state_.classes[a];
    const JobClass& second = state_.classes[b];
    if (first.priority != second.priority) {
      return first.priority == Priority::kUrgent;
    }
    return ArrivedLater(second.waiting.front(), first.waiting.front());
  });
  for (const int index : order) PlaceGuaranteedClass(state_.classes[index]);
}

void PlacementRound::PlaceGuaranteedClass(JobClass& job_class) {
  const std::vector<JobRecord*> waiting = job_class.waiting;
  for (JobRecord* job : waiting) {
    if (!MayStart(*job)) continue;
    // If one job of the class does not fit, the others do not fit either.
    if (!TryGuaranteed(*job)) return;
  }
}

bool PlacementRound::TryGuaranteed(JobRecord& job) {
  const bool in_event = state_.calendar.Find(job.spec.event) != nullptr;
  if (in_event && AllocateCells(job, {job.spec.account, job.spec.event})) {
    return true;
  }
  return AllocateCells(job, {job.spec.account, ""});
}

bool PlacementRound::AllocateCells(JobRecord& job, const CellOwner& owner) {
  const DisplacingCost cost(state_.cluster, state_.fragmentation,
                            displacement_cost_, job);
  std::optional<CellAllocation> allocation =
      state_.guarantee_placement.Allocate(owner, job.spec.shape, cost);
  if (!allocation) return false;
  const std::vector<WorkerIndex> workers = allocation->workers;
  job.allocation = std::move(allocation);
  const std::string reason = owner.event.empty()
                                 ? "inside the guarantee of " + owner.account
                                 : "inside event " + owner.event;
  const bool free =
      std::all_of(workers.begin(), workers.end(), [this](WorkerIndex worker) {
        return state_.cluster.claimed(worker) == 0;
      });
  if (free && IsFreeNow(job, workers)) {
    starter_.StartGang(job, workers, reason, now_);
  } else {
    MakePlan(job, workers, reason);
  }
  return true;
}

void PlacementRound::PlaceUrgent() {
  for (size_t i = 0; i < state_.classes.size(); ++i) {
    if (state_.classes[i].priority != Priority::kUrgent) continue;
    if (!MayBorrow(state_.classes[i])) continue;
    const std::vector<JobRecord*> waiting = state_.classes[i].waiting;
    for (JobRecord* job : waiting) {
      if (MayStart(*job) && !TryUrgent(*job)) break;
    }
  }
}

bool PlacementRound::TryUrgent(JobRecord& job) {
  const AcceleratorsByWorker room = BorrowableAccelerators(job, true);
  const DisplacingCost cost(state_.cluster, state_.fragmentation,
                            displacement_cost_, job);
  if (const std::optional<Placement> placement =
          FindPlacement(state_.cluster, job.spec.shape, room, cost)) {
    StartBorrowing(job, *placement, "urgent, on free accelerators");
    return true;
  }
  return ClaimFromBorrowers(job, "urgent");
}

bool PlacementRound::ClaimFromBorrowers(JobRecord& job,
                                        const std::string& reason) {
  AcceleratorsByWorker room = snapshot_.Reclaimable(state_.cluster, false);
  for (WorkerIndex i = 0; i < state_.cluster.size(); ++i) {
    room[i] += state_.cluster.unheld(i) - state_.cluster.claimed(i);
  }
  for (const EventReservation& event : state_.calendar.events()) {
    const Time end = now_ + state_.RemainingTimeOf(job);
    const Duration lead_time = state_.LeadTime(job.spec.account);
    if (!EventCalendar::MustAvoid(event, now_, end, lead_time)) continue;
    const AcceleratorsByWorker& avoid = ReservedForEvent(event.name);
    for (WorkerIndex i = 0; i < state_.cluster.size(); ++i) room[i] -= avoid[i];
  }
  const DisplacingCost cost(state_.cluster, state_.fragmentation,
                            displacement_cost_, job);
  const std::optional<Placement> placement =
      FindPlacement(state_.cluster, job.spec.shape, room, cost);
  if (!placement) return false;
  MakePlan(job, MemberWorkers(*placement), reason);
  return true;
}

const AcceleratorsByWorker& PlacementRound::ReservedForEvent(
    const std::string& event) {
  const auto found = reserved_for_event_.find(event);
  if (found != reserved_for_event_.end()) return found->second;
  return reserved_for_event_[event] =
             state_.guarantee_placement.UnusedReservedFor(event);
}

// Free accelerators that the job may borrow. Excludes those that an event needs
// before the job could be stopped, those that the reserved job needs, and
// workers on which the job has failed.
AcceleratorsByWorker PlacementRound::BorrowableAccelerators(
    const JobRecord& job, bool ignore_reservation) {
  AcceleratorsByWorker room = state_.cluster.FreeByWorker();
  const Time end = now_ + state_.RemainingTimeOf(job);
  for (const EventReservation& event : state_.calendar.events()) {
    const Duration lead_time = state_.LeadTime(job.spec.account);
    if (!EventCalendar::MustAvoid(event, now_, end, lead_time)) continue;
    const AcceleratorsByWorker& avoid = ReservedForEvent(event.name);
    for (size_t i = 0; i < room.size(); ++i) {
      room[i] = std::max(0, room[i] - avoid[i]);
    }
  }
  if (!ignore_reservation && MustAvoidReservation(job, end)) {
    state_.reservation.SubtractReserved(state_.cluster, in_use_at_start_,
                                        &room);
  }
  for (const WorkerIndex worker : job.failed_on) room[worker] = 0;
  return room;
}

bool PlacementRound::MustAvoidReservation(const JobRecord& job,
                                          Time end) const {
  const LargeJobReservation& reservation = state_.reservation;
  return reservation.active() && reservation.job() != job.spec.id &&
         !reservation.EndsInTime(end);
}

std::set<std::string> PlacementRound::ConstraintsOf(
    const JobRecord& job) const {
  std::set<std::string> constraints;
  const Time end = now_ + state_.RemainingTimeOf(job);
  if (MustAvoidReservation(job, end)) constraints.insert("");
  if (state_.calendar.events().empty()) return constraints;
  const Duration lead_time = state_.LeadTime(job.spec.account);
  for (const EventReservation& event : state_.calendar.events()) {
    if (EventCalendar::MustAvoid(event, now_, end, lead_time)) {
      constraints.insert(event.name);
    }
  }
  return constraints;
}

double PlacementRound::ScoreOf(const JobRecord& job) const {
  const AccountGuarantee& account = state_.Account(job.spec.account);
  BorrowCandidate candidate;
  candidate.waited = now_ - job.submitted_at;
  candidate.expected = state_.RemainingTimeOf(job);
  candidate.accelerators = job.spec.shape.accelerators();
  candidate.borrowed_to_share_ratio =
      snapshot_.BorrowedToShareRatio(state_, job.spec.account);
  candidate.fragmentation_weight = account.fragmentation_weight;
  return BorrowScore(candidate);
}

bool PlacementRound::PlaceBorrowers() {
  PrepareBorrowing();
  if (JobRecord* reserved = state_.FindJob(state_.reservation.job())) {
    if (MayStart(*reserved) && TryBorrow(*reserved)) state_.reservation.Clear();
  }
  const AcceleratorsByWorker free = state_.cluster.FreeByWorker();
  using Entry = std::pair<double, JobRecord*>;
  std::vector<Entry> entries;
  for (const JobClass& job_class : state_.classes) {
    if (job_class.waiting.empty() || !MayBorrow(job_class)) continue;
    if (!Fits(state_.cluster, job_class.shape, free)) continue;
    for (JobRecord* job : job_class.waiting) {
      if (MayStart(*job)) entries.push_back({ScoreOf(*job), job});
    }
  }
  const auto lower = [](const Entry& a, const Entry& b) {
    if (a.first != b.first) return a.first < b.first;
    return ArrivedLater(a.second, b.second);
  };
  std::make_heap(entries.begin(), entries.end(), lower);
  // Classes, with their constraints, that did not fit. Free accelerators only
  // decrease during a round, so these need not be tried again.
  std::set<std::pair<int, std::set<std::string>>> not_fitting;
  int started = 0;
  while (!entries.empty()) {
    if (started == kMaxStartsPerRound) return false;
    std::pop_heap(entries.begin(), entries.end(), lower);
    JobRecord& job = *entries.back().second;
    entries.pop_back();
    const auto key = std::make_pair(job.job_class, ConstraintsOf(job));
    if (not_fitting.count(key) > 0) continue;
    if (TryBorrow(job)) {
      ++started;
    } else if (job.failed_on.empty()) {
      not_fitting.insert(key);
    }
  }
  return true;
}

bool PlacementRound::TryBorrow(JobRecord& job) {
  const AcceleratorsByWorker room = BorrowableAccelerators(job, false);
  if (!Fits(state_.cluster, job.spec.shape, room)) return false;
  const BorrowingCost cost(
      {state_.fragmentation, unused_reserved_, rack_end_times_}, room, job,
      now_ + state_.RemainingTimeOf(job));
  const std::optional<Placement> placement =
      FindPlacement(state_.cluster, job.spec.shape, room, cost);
  if (!placement) return false;
  StartBorrowing(job, *placement, "borrows free accelerators");
  return true;
}

void PlacementRound::StartBorrowing(JobRecord& job, const Placement& placement,
                                    const std::string& reason) {
  const int size = job.spec.shape.accelerators_per_member;
  const Time end = now_ + state_.RemainingTimeOf(job);
  if (!in_use_at_start_.empty() && end > state_.reservation.start()) {
    for (const WorkerShare& share : placement) {
      in_use_at_start_[share.worker] += share.members * size;
    }
  }
  snapshot_.borrowed[job.spec.account] += job.spec.shape.accelerators();
  starter_.StartGang(job, MemberWorkers(placement), reason, now_);
}

JobRecord* PlacementRound::OldestLargeJob() const {
  JobRecord* oldest = nullptr;
  for (const JobClass& job_class : state_.classes) {
    if (job_class.waiting.empty() || !MayBorrow(job_class)) continue;
    if (!state_.IsLarge(job_class.shape)) continue;
    for (JobRecord* job : job_class.waiting) {
      if (!MayStart(*job)) continue;
      if (now_ - job->submitted_at < state_.options.large_job_wait_bound) {
        continue;
      }
      if (!oldest || ArrivedLater(oldest, job)) oldest = job;
    }
  }
  return oldest;
}

void PlacementRound::UpdateReservation() {
  LargeJobReservation& reservation = state_.reservation;
  if (reservation.active()) {
    const JobRecord* job = state_.FindJob(reservation.job());
    const bool waits = job && job->phase == JobPhase::kWaiting && !job->plan;
    if (!waits) reservation.Clear();
  }
  if (!reservation.active()) {
    if (JobRecord* oldest = OldestLargeJob()) Reserve(*oldest);
    return;
  }
  JobRecord& job = *state_.FindJob(reservation.job());
  const bool passed = reservation.start() <= now_;
  if (passed) reservation.CountDelay();
  if (reservation.exhausted() &&
      ClaimFromBorrowers(job, "waited past its reservation")) {
    reservation.Clear();
    return;
  }
  if (passed || reservation.HasUnusableWorker(state_.cluster)) Reserve(job);
}

void PlacementRound::Reserve(JobRecord& job) {
  const DisplacingCost cost(state_.cluster, state_.fragmentation,
                            displacement_cost_, job);
  const std::optional<EarliestStart> earliest = FindEarliestStart(
      state_.cluster, job.spec.shape, BorrowableAccelerators(job, true),
      snapshot_.Releases(), now_, cost);
  if (!earliest) {
    // The job would not fit even if every gang ended. More workers have to
    // become usable first.
    state_.reservation.Clear();
    return;
  }
  state_.reservation.Reserve(job.spec.id, job.spec.shape, *earliest);
  job.reason = "waits for its reservation";
}

void PlacementRound::PlaceProbes() {
  for (const WorkerIndex worker : state_.failure_tracker.quarantined()) {
    if (!state_.failure_tracker.IsProbeDue(worker, now_)) continue;
    if (!state_.cluster.present(worker)) continue;
    if (state_.cluster.held(worker) > 0) continue;
    JobRecord* job = FindProbeJob(worker);
    if (!job) continue;
    const std::string& name = state_.cluster.info(worker).name;
    state_.failure_tracker.StartProbe(worker);
    state_.actions.push_back(
        WorkerQuarantineChanged{name, WorkerQuarantineChanged::Verdict::kProbed,
                                "probed with job " + job->spec.id});
    const std::vector<WorkerIndex> workers(job->spec.shape.members, worker);
    starter_.StartGang(*job, workers, "probe of worker " + name, now_);
  }
}

// The job of normal priority with the shortest expected run time that fits on
// the worker alone.
JobRecord* PlacementRound::FindProbeJob(WorkerIndex worker) const {
  JobRecord* best = nullptr;
  for (const JobClass& job_class : state_.classes) {
    if (job_class.priority == Priority::kUrgent) continue;
    if (!MayBorrow(job_class)) continue;
    if (job_class.shape.accelerators() >
        state_.cluster.info(worker).accelerators) {
      continue;
    }
    for (JobRecord* job : job_class.waiting) {
      if (!MayStart(*job) || job->allocation) continue;
      if (std::count(job->failed_on.begin(), job->failed_on.end(), worker)) {
        continue;
      }
      if (best &&
          state_.RemainingTimeOf(*best) <= state_.RemainingTimeOf(*job)) {
        continue;
      }
      best = job;
    }
  }
  return best;
}

}  // namespace thornplank
