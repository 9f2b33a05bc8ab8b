// The parts of SchedulerCore that react to changes of declarations and workers:
// cells of guarantees, infeasible jobs, leaving and faulty workers, shortfalls.
#include <algorithm>
#include <utility>

#include "scheduling/placement_search.h"
#include "scheduling/scheduler_core.h"

namespace thornplank {
namespace {

// Number of gangs of `shape` that the guarantee of the account covers. Cells
// for as many can be lent to an event of the account.
int CountCovered(const AccountGuarantee& account, const Shape& shape) {
  int count = 0;
  for (const GuaranteedShape& own : account.shapes) {
    if (own.shape == shape) count += own.count;
  }
  return count;
}

void AddWeight(const Shape& shape, double weight,
               std::vector<WeightedShape>* shapes) {
  for (WeightedShape& known : *shapes) {
    if (!(known.shape == shape)) continue;
    known.weight += weight;
    return;
  }
  shapes->push_back({shape, weight});
}

}  // namespace

void SchedulerCore::SetWorkers(const std::vector<WorkerInfo>& workers,
                               Time now) {
  workers_ = workers;
  state_.cluster.SetWorkers(workers);
  for (JobClass& job_class : state_.classes) CheckFeasibility(job_class, now);
  UpdateLargeShapes();
  dirty_ = true;
  repair_due_ = true;
}

void SchedulerCore::SetGuarantees(const std::vector<AccountGuarantee>& accounts,
                                  Time now) {
  state_.accounts.clear();
  for (const AccountGuarantee& account : accounts) {
    state_.accounts[account.account] = account;
  }
  UpdateCellDemands();
  for (JobClass& job_class : state_.classes) CheckFeasibility(job_class, now);
}

void SchedulerCore::SetEvents(const std::vector<EventReservation>& events) {
  // Cells lent to an event that remains declared stay lent, since its gangs may
  // already run in them.
  for (const EventReservation& old : state_.calendar.events()) {
    const bool stays =
        std::any_of(events.begin(), events.end(), [&old](const auto& event) {
          return event.name == old.name && event.account == old.account;
        });
    if (!stays) state_.guarantee_placement.EndLoans(old.name);
  }
  state_.calendar.Set(events);
  UpdateCellDemands();
}

void SchedulerCore::UpdateCellDemands() {
  std::vector<CellDemand> demands;
  for (const auto& [name, account] : state_.accounts) {
    for (const GuaranteedShape& shape : account.shapes) {
      demands.push_back({{name, ""}, shape});
    }
  }
  // An event first uses the guaranteed shapes of its account; only the excess
  // needs additional cells.
  for (const EventReservation& event : state_.calendar.events()) {
    const AccountGuarantee& account = state_.Account(event.account);
    for (GuaranteedShape shape : event.shapes) {
      shape.count -= CountCovered(account, shape.shape);
      if (shape.count > 0) {
        demands.push_back({{event.account, event.name}, shape});
      }
    }
  }
  state_.guarantee_placement.SetDemands(demands);
  DemoteGangsWithoutCells();
  UpdateLargeShapes();
  dirty_ = true;
  repair_due_ = true;
}

// The large shapes are those of guarantees and of all job classes so far.
void SchedulerCore::UpdateLargeShapes() {
  std::vector<WeightedShape> shapes;
  for (const auto& entry : state_.accounts) {
    for (const GuaranteedShape& guaranteed : entry.second.shapes) {
      if (!state_.IsLarge(guaranteed.shape)) continue;
      AddWeight(guaranteed.shape, guaranteed.count, &shapes);
    }
  }
  for (const JobClass& job_class : state_.classes) {
    if (state_.IsLarge(job_class.shape)) AddWeight(job_class.shape, 1, &shapes);
  }
  state_.fragmentation.SetShapes(std::move(shapes));
}

void SchedulerCore::DemoteGangsWithoutCells() {
  std::vector<JobRecord*> holders;
  for (const auto& entry : state_.planned) holders.push_back(entry.second);
  for (const auto& entry : state_.gangs.gangs()) {
    if (JobRecord* job = state_.FindJob(entry.second->job())) {
      holders.push_back(job);
    }
  }
  for (JobRecord* holder : holders) {
    JobRecord& job = *holder;
    if (!job.allocation) continue;
    const CellOwner own{job.spec.account, ""};
    const CellOwner of_event{job.spec.account, job.spec.event};
    if (state_.guarantee_placement.IsStillValid(own, *job.allocation)) continue;
    if (!job.spec.event.empty() &&
        state_.guarantee_placement.IsStillValid(of_event, *job.allocation)) {
      continue;
    }
    state_.DropPlan(job);
    state_.ReleaseAllocation(job);
  }
}

void SchedulerCore::CheckFeasibility(JobClass& job_class, Time now) {
  JobSpec spec;
  spec.account = job_class.account;
  spec.event = job_class.event;
  spec.shape = job_class.shape;
  std::vector<AccountGuarantee> accounts;
  for (const auto& entry : state_.accounts) accounts.push_back(entry.second);
  const std::optional<std::string> reason =
      CheckJobCanEverRun(spec, workers_, accounts);
  if (!reason) {
    job_class.infeasible_since.reset();
    return;
  }
  if (!job_class.infeasible_since) job_class.infeasible_since = now;
  job_class.infeasible_reason = *reason;
}

void SchedulerCore::FailInfeasibleJobs(Time now) {
  for (JobClass& job_class : state_.classes) {
    if (!job_class.infeasible_since) continue;
    const Time fails_at =
        *job_class.infeasible_since + state_.options.infeasible_job_timeout;
    if (now < fails_at) continue;
    const std::vector<JobRecord*> waiting =
        std::exchange(job_class.waiting, {});
    for (JobRecord* job : waiting) {
      state_.DropPlan(*job);
      state_.ReleaseAllocation(*job);
      state_.SetPhase(*job, JobPhase::kFailed,
                      "can never run: " + job_class.infeasible_reason);
    }
  }
}

void SchedulerCore::DrainLeavingWorkers(Time now) {
  for (const auto& entry : state_.gangs.gangs()) {
    Gang& gang = *entry.second;
    for (const MemberRecord& record : gang.members()) {
      if (record.state == MemberState::kGone) continue;
      if (!state_.cluster.leaving(record.worker)) continue;
      CheckpointAndStop(gang, record.member.worker + " is leaving", now);
      break;
    }
  }
}

void SchedulerCore::OnMemberFailed(const Gang& gang, const MemberRecord& member,
                                   bool refused, const std::string& reason,
                                   Time now) {
  JobRecord* job = state_.FindJob(gang.job());
  if (!job) return;
  if (refused) {
    // The worker probably holds leases that the scheduler does not know of.
    job->not_before = now + state_.options.refusal_backoff;
    state_.refusing_until[member.worker] = now + state_.options.refusal_backoff;
    state_.cluster.SetRefusing(member.worker, true);
    return;
  }
  job->failed_on.push_back(member.worker);
  job->last_failure = reason;
  if (!state_.failure_tracker.RecordFailure(job->spec.id, member.worker,
                                            state_.cluster.size(), now)) {
    return;
  }
  state_.cluster.SetQuarantined(member.worker, true);
  repair_due_ = true;
  state_.actions.push_back(WorkerQuarantineChanged{
      member.member.worker, WorkerQuarantineChanged::Verdict::kQuarantined,
      "different jobs fail there, the last with: " + reason});
}

void SchedulerCore::EndRefusalBackoffs(Time now) {
  for (auto one = state_.refusing_until.begin();
       one != state_.refusing_until.end();) {
    if (one->second > now) {
      ++one;
      continue;
    }
    state_.cluster.SetRefusing(one->first, false);
    one = state_.refusing_until.erase(one);
  }
}

// A probe succeeds once it has run for the quarantine time, even if its job has
// not finished.
void SchedulerCore::CompleteProbes(Time now) {
  for (const auto& entry : state_.gangs.gangs()) {
    const Gang& gang = *entry.second;
    if (!gang.started_at) continue;
    if (gang.phase != JobPhase::kRunning) continue;
    if (now - *gang.started_at < state_.options.quarantine_time) continue;
    for (const MemberRecord& record : gang.members()) {
      if (state_.failure_tracker.state(record.worker) !=
          FailureTracker::WorkerState::kProbing) {
        continue;
      }
      if (state_.failure_tracker.RecordSuccess(gang.job(), record.worker)) {
        ReleaseFromQuarantine(record.worker);
      }
    }
  }
}

void SchedulerCore::ReleaseFromQuarantine(WorkerIndex worker) {
  state_.cluster.SetQuarantined(worker, false);
  repair_due_ = true;
  dirty_ = true;
  state_.actions.push_back(WorkerQuarantineChanged{
      state_.cluster.info(worker).name,
      WorkerQuarantineChanged::Verdict::kReleased, "its probe went well"});
}

std::string SchedulerCore::EventShortfall(const EventReservation& event) const {
  std::string text =
      state_.guarantee_placement.Shortfall({event.account, event.name});
  for (const GuaranteedShape& shape : event.shapes) {
    if (CountCovered(state_.Account(event.account), shape.shape) == 0) continue;
    const std::string own =
        state_.guarantee_placement.Shortfall({event.account, ""});
    if (own.empty()) break;
    if (!text.empty()) text += "; ";
    return text + "of its account's guarantee: " + own;
  }
  return text;
}

void SchedulerCore::ReportShortfalls() {
  using Subject = ReportShortfall::Subject;
  ClearStaleReports();
  const bool complete = state_.guarantee_placement.IsComplete();
  if (complete && !has_reported_shortfall_) return;
  has_reported_shortfall_ = !complete;
  for (const auto& entry : state_.accounts) {
    if (entry.second.shapes.empty()) continue;
    ReportIfChanged(Subject::kAccount, entry.first,
                    state_.guarantee_placement.Shortfall({entry.first, ""}));
  }
  for (const EventReservation& event : state_.calendar.events()) {
    ReportIfChanged(Subject::kEvent, event.name, EventShortfall(event));
  }
}

// Withdraws the reports about accounts and events that are no longer declared.
void SchedulerCore::ClearStaleReports() {
  for (auto one = reported_shortfalls_.begin();
       one != reported_shortfalls_.end();) {
    const auto& [subject, name] = one->first;
    const bool declared = subject == ReportShortfall::Subject::kAccount
                              ? state_.accounts.count(name) > 0
                              : state_.calendar.Find(name) != nullptr;
    if (declared) {
      ++one;
      continue;
    }
    if (!one->second.empty()) {
      state_.actions.push_back(ReportShortfall{subject, name, ""});
    }
    one = reported_shortfalls_.erase(one);
  }
}

void SchedulerCore::ReportIfChanged(ReportShortfall::Subject subject,
                                    const std::string& name,
                                    const std::string& text) {
  std::string& reported = reported_shortfalls_[{subject, name}];
  if (reported == text) return;
  reported = text;
  state_.actions.push_back(ReportShortfall{subject, name, text});
}

}  // namespace thornplank
