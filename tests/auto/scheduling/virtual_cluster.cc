#include "virtual_cluster.h"

#include <algorithm>
#include <utility>

#include "scheduling/guarantee_placement.h"

namespace thornplank::testing {
namespace {

constexpr Duration kLeaseTerm = std::chrono::seconds(15);

SchedulerOptions Options(int epoch) {
  SchedulerOptions options;
  options.id_prefix = std::to_string(epoch);
  options.max_quarantined_share = 0.2;
  return options;
}

}  // namespace

VirtualCluster::VirtualCluster(std::vector<WorkerInfo> workers,
                               std::vector<AccountGuarantee> accounts)
    : accounts_(std::move(accounts)),
      scheduler_(std::make_unique<JobScheduler>(Options(0))) {
  for (const WorkerInfo& info : workers) {
    names_.push_back(info.name);
    workers_[info.name].info = info;
  }
  Apply(scheduler_->SetWorkers(workers, now_));
  Apply(scheduler_->SetGuarantees(accounts_, now_));
  Apply(scheduler_->Tick(now_));
}

void VirtualCluster::Submit(const JobSpec& job) {
  jobs_[job.id] = job;
  Apply(scheduler_->Submit(job, now_));
}

void VirtualCluster::Cancel(const std::string& job) {
  cancelled_.insert(job);
  Apply(scheduler_->Cancel(job, now_));
}

void VirtualCluster::Deliver(size_t index, bool lost_reply) {
  if (messages_.empty()) return;
  const size_t position = index % messages_.size();
  const Message message = messages_[position];
  Worker& worker = workers_[message.member.worker];
  if (worker.lost) return;  // stays queued until the worker is reachable
  messages_.erase(messages_.begin() + static_cast<int64_t>(position));
  MemberOutcome outcome = MemberOutcome::kGone;
  if (message.kind == Kind::kCheckpoint) {
    if (checkpoints_hang_ || lost_reply) return;
    Apply(scheduler_->CheckpointDone(message.job, message.gang_id, now_));
    return;
  }
  const std::string& lease = message.member.lease_id;
  if (message.kind == Kind::kStop) {
    worker.fenced.insert(lease);
    worker.leases.erase(lease);
  } else if (worker.fenced.count(lease) > 0) {
    return;
  } else if (worker.leases.count(lease) > 0) {
    outcome = MemberOutcome::kConfirmed;  // a repeated grant changes nothing
  } else if (Held(worker) + message.member.accelerators >
             worker.info.accelerators) {
    outcome = MemberOutcome::kRefused;
    worker.fenced.insert(lease);
  } else {
    outcome = MemberOutcome::kConfirmed;
    worker.leases[lease] = {message.job, message.gang_id,
                            message.member.accelerators, std::nullopt};
  }
  if (lost_reply) {
    messages_.push_back(message);  // repeated until a reply arrives
    return;
  }
  Apply(scheduler_->MemberResult(message.job, message.gang_id, lease, outcome,
                                 "by the worker", now_));
}

void VirtualCluster::DeliverAll() {
  for (size_t quiet = 0; quiet < messages_.size();) {
    const size_t before = messages_.size();
    Deliver(quiet, false);
    quiet = messages_.size() == before ? quiet + 1 : 0;
  }
}

void VirtualCluster::Advance(Duration by) {
  now_ += by;
  Lapse();
  Apply(scheduler_->Tick(now_));
}

void VirtualCluster::Finish(size_t gang_index) {
  const std::vector<std::string> gangs = RunningGangs();
  if (gangs.empty()) return;
  const GrantGang grant = grants_[gangs[gang_index % gangs.size()]];
  for (const GangMember& member : grant.members) {
    if (workers_[member.worker].lost) continue;
    Apply(scheduler_->MemberResult(grant.job, grant.gang_id, member.lease_id,
                                   MemberOutcome::kFinished, "", now_));
  }
}

void VirtualCluster::Fail(size_t gang_index) {
  const std::vector<std::string> gangs = RunningGangs();
  if (gangs.empty()) return;
  const GrantGang& grant = grants_[gangs[gang_index % gangs.size()]];
  const GangMember member = grant.members.front();
  Apply(scheduler_->MemberResult(grant.job, grant.gang_id, member.lease_id,
                                 MemberOutcome::kFailed, "it crashed", now_));
}

void VirtualCluster::ToggleLost(size_t worker_index) {
  Worker& worker = workers_[names_[worker_index % names_.size()]];
  worker.lost = !worker.lost;
  if (worker.lost) {
    worker.lapses_at = now_ + kLeaseTerm;
    for (auto& entry : worker.leases) {
      entry.second.lapses_at = worker.lapses_at;
    }
    Apply(scheduler_->WorkerLost(worker.info.name, worker.lapses_at, now_));
    return;
  }
  Apply(scheduler_->WorkerRecovered(worker.info.name, now_));
  Report(worker_index);
}

void VirtualCluster::ToggleLeaving(size_t worker_index) {
  Worker& chosen = workers_[names_[worker_index % names_.size()]];
  chosen.info.leaving = !chosen.info.leaving;
  std::vector<WorkerInfo> infos;
  for (const std::string& name : names_) infos.push_back(workers_[name].info);
  Apply(scheduler_->SetWorkers(infos, now_));
}

void VirtualCluster::Report(size_t worker_index) {
  const Worker& worker = workers_[names_[worker_index % names_.size()]];
  if (worker.lost) return;
  std::vector<LeaseReport> leases;
  for (const auto& [id, lease] : worker.leases) {
    LeaseReport report;
    report.lease_id = id;
    report.gang_id = lease.gang_id;
    report.job_id = lease.job;
    report.accelerators = lease.accelerators;
    report.state = LeaseState::kRunning;
    leases.push_back(report);
  }
  Apply(scheduler_->WorkerReported(worker.info.name, leases, now_, now_));
}

void VirtualCluster::TakeOver() {
  scheduler_ = std::make_unique<JobScheduler>(Options(++epoch_));
  // Workers refuse undelivered messages of the previous epoch.
  for (const Message& message : messages_) {
    workers_[message.member.worker].fenced.insert(message.member.lease_id);
  }
  messages_.clear();
  running_.clear();
  shortfalls_.clear();
  std::vector<WorkerInfo> infos;
  for (const std::string& name : names_) infos.push_back(workers_[name].info);
  Apply(scheduler_->SetWorkers(infos, now_));
  Apply(scheduler_->SetGuarantees(accounts_, now_));
  for (const auto& [id, job] : jobs_) {
    const auto phase = phases_.find(id);
    if (phase != phases_.end() && IsFinal(phase->second)) continue;
    Apply(scheduler_->Submit(job, now_));
  }
  std::map<std::string, AdoptedGang> found;
  for (auto& [name, worker] : workers_) {
    for (auto& [id, lease] : worker.leases) {
      // The new coordinator renews the leases that it can reach.
      if (!worker.lost) lease.lapses_at.reset();
      AdoptedGang& gang = found[lease.gang_id];
      gang.job = lease.job;
      gang.gang_id = lease.gang_id;
      gang.members.push_back({name, id, lease.accelerators});
      gang.phase = phases_[lease.job];
      if (cancelled_.count(lease.job) > 0) gang.phase = JobPhase::kCancelled;
    }
  }
  for (const auto& [id, gang] : found) {
    grants_[id].members = gang.members;
    if (gang.phase == JobPhase::kRunning) running_.insert(id);
    Apply(scheduler_->Adopt(gang, now_));
  }
  for (const auto& [name, worker] : workers_) {
    if (!worker.lost) continue;
    Apply(scheduler_->WorkerLost(name, worker.lapses_at, now_));
  }
  for (const std::string& id : cancelled_) {
    Apply(scheduler_->Cancel(id, now_));
  }
  Apply(scheduler_->Tick(now_));
}

void VirtualCluster::Apply(const SchedulerActions& actions) {
  for (const SchedulerAction& action : actions) {
    std::visit([this](const auto& one) { ApplyOne(one); }, action);
  }
}

void VirtualCluster::ApplyOne(const GrantGang& action) {
  if (cancelled_.count(action.job) > 0) {
    Violation(action.job + " granted after its cancellation");
  }
  if (!grants_.emplace(action.gang_id, action).second) {
    Violation("gang id used twice: " + action.gang_id);
  }
  const Shape& shape = jobs_[action.job].shape;
  if (static_cast<int>(action.members.size()) != shape.members) {
    Violation("granted with a wrong number of members: " + action.gang_id);
  }
  std::set<std::string> racks;
  for (const GangMember& member : action.members) {
    racks.insert(workers_[member.worker].info.rack);
    if (!IsUsable(member.worker)) Violation("not usable: " + member.worker);
    messages_.push_back({Kind::kGrant, action.job, action.gang_id, member});
  }
  if (shape.adjacency == Adjacency::kRack && racks.size() > 1) {
    Violation("granted across racks: " + action.gang_id);
  }
}

void VirtualCluster::ApplyOne(const LiftThrottle& action) {
  if (cancelled_.count(action.job) > 0) {
    Violation(action.job + " started after its cancellation");
  }
  for (const GangMember& member : grants_[action.gang_id].members) {
    if (workers_[member.worker].leases.count(member.lease_id) == 0) {
      Violation("started while a member holds no lease: " + action.gang_id);
    }
  }
  running_.insert(action.gang_id);
}

void VirtualCluster::ApplyOne(const CheckpointGang& action) {
  messages_.push_back({Kind::kCheckpoint, action.job, action.gang_id,
                       grants_[action.gang_id].members.front()});
}

void VirtualCluster::ApplyOne(const StopGang& action) {
  running_.erase(action.gang_id);
  for (const GangMember& member : grants_[action.gang_id].members) {
    messages_.push_back({Kind::kStop, action.job, action.gang_id, member});
  }
}

void VirtualCluster::ApplyOne(const StopLease& action) {
  workers_[action.worker].leases.erase(action.lease_id);
  workers_[action.worker].fenced.insert(action.lease_id);
}

void VirtualCluster::ApplyOne(const PhaseChanged& action) {
  const auto known = phases_.find(action.job);
  if (known != phases_.end() && IsFinal(known->second)) {
    Violation("phase changed after a final phase: " + action.job);
  }
  phases_[action.job] = action.phase;
}

void VirtualCluster::ApplyOne(const ReportShortfall& action) {
  shortfalls_[action.name] = action.text;
}

void VirtualCluster::Lapse() {
  for (auto& [name, worker] : workers_) {
    for (auto lease = worker.leases.begin(); lease != worker.leases.end();) {
      const std::optional<Time> lapses_at = lease->second.lapses_at;
      const bool lapsed = lapses_at && *lapses_at <= now_;
      lease = lapsed ? worker.leases.erase(lease) : std::next(lease);
    }
  }
}

void VirtualCluster::Violation(const std::string& text) {
  if (first_violation_.empty()) first_violation_ = text;
}

int VirtualCluster::Held(const Worker& worker) const {
  int held = 0;
  for (const auto& entry : worker.leases) held += entry.second.accelerators;
  return held;
}

bool VirtualCluster::IsUsable(const std::string& name) const {
  const Worker& worker = workers_.at(name);
  return !worker.lost && !worker.info.leaving;
}

std::vector<std::string> VirtualCluster::RunningGangs() const {
  return {running_.begin(), running_.end()};
}

std::string VirtualCluster::Check() const {
  if (!first_violation_.empty()) return first_violation_;
  const std::string leases = CheckLeases();
  return leases.empty() ? CheckGuaranteePlacement() : leases;
}

std::string VirtualCluster::CheckLeases() const {
  std::map<std::string, std::set<std::string>> gangs_of_job;
  for (const auto& [name, worker] : workers_) {
    if (Held(worker) > worker.info.accelerators) {
      return name + " is over-allocated";
    }
    for (const auto& [id, lease] : worker.leases) {
      gangs_of_job[lease.job].insert(lease.gang_id);
    }
  }
  for (const auto& [job, gangs] : gangs_of_job) {
    if (gangs.size() > 1) return job + " has two attempts at the same time";
  }
  for (const auto& [id, spec] : jobs_) {
    const std::optional<JobStatus> status = scheduler_->job(id);
    if (!status || status->phase != JobPhase::kRunning) continue;
    if (running_.count(status->gang_id) == 0) return id + " runs throttled";
    for (const GangMember& member : status->members) {
      if (workers_.at(member.worker).leases.count(member.lease_id) == 0) {
        return id + " runs while a member holds no lease";
      }
    }
  }
  return "";
}

// Checks the placement of the cells independently of the code that made it.
std::string VirtualCluster::CheckGuaranteePlacement() const {
  const std::vector<std::string> quarantined =
      scheduler_->quarantined_workers();
  std::map<std::string, int> used;
  std::map<std::string, std::pair<int, int>> declared_and_placed;
  for (const AccountGuarantee& account : accounts_) {
    for (const GuaranteedShape& shape : account.shapes) {
      const bool rack = shape.shape.adjacency == Adjacency::kRack;
      declared_and_placed[account.account].first +=
          rack ? shape.count : shape.count * shape.shape.members;
    }
  }
  for (const Cell& cell : scheduler_->guarantee_placement().cells()) {
    if (cell.retired || !cell.placed) continue;
    std::set<std::string> racks;
    bool usable = true;
    for (const CellSlot& slot : cell.slots) {
      // The order of declaration gives the WorkerIndex.
      const std::string& name = names_[slot.worker];
      racks.insert(workers_.at(name).info.rack);
      const bool healthy =
          std::count(quarantined.begin(), quarantined.end(), name) == 0;
      usable = usable && IsUsable(name) && healthy;
      used[name] += cell.shape.accelerators_per_member;
    }
    if (cell.shape.adjacency == Adjacency::kRack && racks.size() > 1) {
      return "a cell lies across racks";
    }
    if (usable) ++declared_and_placed[cell.owner.account].second;
  }
  for (const auto& [name, accelerators] : used) {
    if (accelerators > workers_.at(name).info.accelerators) {
      return "the cells need more accelerators than " + name + " has";
    }
  }
  for (const auto& [account, counts] : declared_and_placed) {
    const auto reported = shortfalls_.find(account);
    const bool was_reported =
        reported != shortfalls_.end() && !reported->second.empty();
    if (counts.first != counts.second && !was_reported) {
      return account +
             " lacks a guaranteed shape and no shortfall was reported";
    }
  }
  return "";
}

}  // namespace thornplank::testing
