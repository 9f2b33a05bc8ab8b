// The parts of SchedulerCore that keep what is declared in line with what is:
// cells, impossible jobs, leaving and faulty workers, shortfalls.
#include <algorithm>
#include <utility>

#include "scheduling/placement_search.h"
#include "scheduling/scheduler_core.h"

namespace thornplank {
namespace {

// Accelerators of the account's own guarantee that `shape` of its event may
// be lent from.
int OwnCount(const AccountGuarantee& account, const Shape& shape) {
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
  for (JobClass& job_class : state_.classes) CheckPossible(job_class, now);
  SetLargeShapes();
  dirty_ = true;
  repair_due_ = true;
}

void SchedulerCore::SetGuarantees(const std::vector<AccountGuarantee>& accounts,
                                  Time now) {
  state_.accounts.clear();
  for (const AccountGuarantee& account : accounts) {
    state_.accounts[account.account] = account;
  }
  DeclareCells();
  for (JobClass& job_class : state_.classes) CheckPossible(job_class, now);
}

void SchedulerCore::SetEvents(const std::vector<EventReservation>& events) {
  // What is lent to an event that stays is kept: its gangs may run there.
  for (const EventReservation& old : state_.calendar.events()) {
    const bool stays =
        std::any_of(events.begin(), events.end(), [&old](const auto& event) {
          return event.name == old.name && event.account == old.account;
        });
    if (!stays) state_.witness.EndLoans(old.name);
  }
  state_.calendar.Set(events);
  DeclareCells();
}

void SchedulerCore::DeclareCells() {
  std::vector<CellDemand> demands;
  for (const auto& [name, account] : state_.accounts) {
    for (const GuaranteedShape& shape : account.shapes) {
      demands.push_back({{name, ""}, shape});
    }
  }
  // An event uses its account's own shapes; only what goes beyond is extra.
  for (const EventReservation& event : state_.calendar.events()) {
    const AccountGuarantee& account = state_.Account(event.account);
    for (GuaranteedShape shape : event.shapes) {
      shape.count -= OwnCount(account, shape.shape);
      if (shape.count > 0) {
        demands.push_back({{event.account, event.name}, shape});
      }
    }
  }
  state_.witness.SetDemands(demands);
  DemoteUncovered();
  SetLargeShapes();
  dirty_ = true;
  repair_due_ = true;
}

// The declared large shapes: those of guarantees and of the jobs seen.
void SchedulerCore::SetLargeShapes() {
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

void SchedulerCore::DemoteUncovered() {
  std::vector<JobRecord*> holders;
  for (const auto& entry : state_.planned) holders.push_back(entry.second);
  for (const auto& entry : state_.gangs.gangs()) {
    if (JobRecord* job = state_.FindJob(entry.second->job())) {
      holders.push_back(job);
    }
  }
  for (JobRecord* holder : holders) {
    JobRecord& job = *holder;
    if (!job.use) continue;
    const CellOwner own{job.spec.account, ""};
    const CellOwner of_event{job.spec.account, job.spec.event};
    if (state_.witness.StillHolds(own, *job.use)) continue;
    if (!job.spec.event.empty() &&
        state_.witness.StillHolds(of_event, *job.use)) {
      continue;
    }
    state_.DropPlan(job);
    state_.ReleaseUse(job);
  }
}

void SchedulerCore::CheckPossible(JobClass& job_class, Time now) {
  JobSpec spec;
  spec.account = job_class.account;
  spec.event = job_class.event;
  spec.shape = job_class.shape;
  std::vector<AccountGuarantee> accounts;
  for (const auto& entry : state_.accounts) accounts.push_back(entry.second);
  const std::optional<std::string> reason =
      CheckJobCanEverRun(spec, workers_, accounts);
  if (!reason) {
    job_class.impossible_since.reset();
    return;
  }
  if (!job_class.impossible_since) job_class.impossible_since = now;
  job_class.impossible_reason = *reason;
}

void SchedulerCore::FailImpossible(Time now) {
  for (JobClass& job_class : state_.classes) {
    if (!job_class.impossible_since) continue;
    const Time fails_at =
        *job_class.impossible_since + state_.options.impossible_job_bound;
    if (now < fails_at) continue;
    const std::vector<JobRecord*> waiting =
        std::exchange(job_class.waiting, {});
    for (JobRecord* job : waiting) {
      state_.DropPlan(*job);
      state_.ReleaseUse(*job);
      state_.SetPhase(*job, JobPhase::kFailed,
                      "can never run: " + job_class.impossible_reason);
    }
  }
}

void SchedulerCore::DrainLeaving(Time now) {
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
    // It holds something that we don't know of yet.
    job->not_before = now + state_.options.refusal_pause;
    state_.refusing_until[member.worker] = now + state_.options.refusal_pause;
    state_.cluster.SetRefusing(member.worker, true);
    return;
  }
  job->failed_on.push_back(member.worker);
  job->last_failure = reason;
  if (!state_.faults.Failed(job->spec.id, member.worker, state_.cluster.size(),
                            now)) {
    return;
  }
  state_.cluster.SetQuarantined(member.worker, true);
  repair_due_ = true;
  state_.actions.push_back(WorkerQuarantineChanged{
      member.member.worker, WorkerQuarantineChanged::Verdict::kQuarantined,
      "different jobs fail there, the last with: " + reason});
}

void SchedulerCore::ReleaseRefusing(Time now) {
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

// A probe that has run for as long as the quarantine shows a good worker.
void SchedulerCore::JudgeProbes(Time now) {
  for (const auto& entry : state_.gangs.gangs()) {
    const Gang& gang = *entry.second;
    if (!gang.started_at) continue;
    if (gang.phase != JobPhase::kRunning) continue;
    if (now - *gang.started_at < state_.options.quarantine_time) continue;
    for (const MemberRecord& record : gang.members()) {
      if (state_.faults.state(record.worker) !=
          FaultLedger::WorkerState::kProbing) {
        continue;
      }
      if (state_.faults.Succeeded(gang.job(), record.worker)) {
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
  std::string text = state_.witness.Shortfall({event.account, event.name});
  for (const GuaranteedShape& shape : event.shapes) {
    if (OwnCount(state_.Account(event.account), shape.shape) == 0) continue;
    const std::string own = state_.witness.Shortfall({event.account, ""});
    if (own.empty()) break;
    if (!text.empty()) text += "; ";
    return text + "of its account's guarantee: " + own;
  }
  return text;
}

void SchedulerCore::ReportShortfalls() {
  using Subject = ReportShortfall::Subject;
  WithdrawReports();
  const bool whole = state_.witness.IsWhole();
  if (whole && !reported_shortfall_) return;
  reported_shortfall_ = !whole;
  for (const auto& entry : state_.accounts) {
    if (entry.second.shapes.empty()) continue;
    ReportOne(Subject::kAccount, entry.first,
              state_.witness.Shortfall({entry.first, ""}));
  }
  for (const EventReservation& event : state_.calendar.events()) {
    ReportOne(Subject::kEvent, event.name, EventShortfall(event));
  }
}

// Takes back what was said of accounts and events that are declared no more.
void SchedulerCore::WithdrawReports() {
  for (auto one = reported_.begin(); one != reported_.end();) {
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
    one = reported_.erase(one);
  }
}

void SchedulerCore::ReportOne(ReportShortfall::Subject subject,
                              const std::string& name,
                              const std::string& text) {
  std::string& reported = reported_[{subject, name}];
  if (reported == text) return;
  reported = text;
  state_.actions.push_back(ReportShortfall{subject, name, text});
}

}  // namespace thornplank
