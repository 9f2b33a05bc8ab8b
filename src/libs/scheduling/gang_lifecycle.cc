#include "scheduling/gang_lifecycle.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace thornplank {
namespace {

bool IsStopping(const Gang& gang) { return gang.phase == JobPhase::kStopping; }

// Whether the worker's lease table should contain a member in `state`.
bool ShouldBeListed(MemberState state) {
  return state != MemberState::kPending && state != MemberState::kGone;
}

std::vector<std::string> GangIds(const GangTable& gangs) {
  std::vector<std::string> ids;
  ids.reserve(gangs.gangs().size());
  for (const auto& entry : gangs.gangs()) ids.push_back(entry.first);
  return ids;
}

}  // namespace

GangLifecycle::GangLifecycle(const SchedulerOptions& options, GangTable& gangs,
                             GangObserver& observer)
    : options_(options), gangs_(gangs), observer_(observer) {}

void GangLifecycle::Start(std::unique_ptr<Gang> gang, const std::string& reason,
                          Time now, SchedulerActions* actions) {
  gang->granted_at = now;
  gang->deadline = now + options_.start_timeout;
  Gang& added = gangs_.Add(std::move(gang));
  observer_.OnPhase(added, JobPhase::kStarting, reason);
  GrantGang grant{added.job(), added.id(), {}, reason};
  for (const MemberRecord& record : added.members()) {
    grant.members.push_back(record.member);
  }
  actions->push_back(std::move(grant));
}

void GangLifecycle::TakeOver(std::unique_ptr<Gang> gang, JobPhase phase,
                             Duration ran_for, Time now,
                             SchedulerActions* actions) {
  gang->granted_at = now - ran_for;
  gang->phase = phase;
  Gang& added = gangs_.Add(std::move(gang));
  if (phase == JobPhase::kStarting) {
    LiftThrottleIfAllConfirmed(added, now, actions);
    return;
  }
  added.started_at = now - ran_for;
  if (phase == JobPhase::kRunning) return;
  // The reason for the checkpoint or stop is not known to this coordinator:
  // stop the gang and place the job again.
  added.phase = JobPhase::kRunning;
  Stop(added, "being stopped at takeover", GangEnd::kRequeue, now, actions);
}

void GangLifecycle::Checkpoint(Gang& gang, const std::string& reason,
                               Duration deadline, Time now,
                               SchedulerActions* actions) {
  if (gang.phase == JobPhase::kStarting) {
    // The gang has not run yet, so there is nothing to save.
    Stop(gang, reason, GangEnd::kRequeue, now, actions);
    return;
  }
  if (gang.phase != JobPhase::kRunning) return;
  gang.phase = JobPhase::kCheckpointing;
  gang.end_reason = reason;
  gang.checkpoint_requested_at = now;
  gang.deadline = now + deadline;
  observer_.OnPhase(gang, JobPhase::kCheckpointing, reason);
  actions->push_back(CheckpointGang{gang.job(), gang.id(), reason});
}

void GangLifecycle::Stop(Gang& gang, const std::string& reason, GangEnd end,
                         Time now, SchedulerActions* actions) {
  (void)now;
  if (end == GangEnd::kCancel || !IsStopping(gang)) gang.end = end;
  if (IsStopping(gang)) return;
  gang.phase = JobPhase::kStopping;
  gang.end_reason = reason;
  if (end != GangEnd::kFinish) {
    observer_.OnPhase(gang, JobPhase::kStopping, reason);
  }
  actions->push_back(StopGang{gang.job(), gang.id(), reason});
}

void GangLifecycle::MemberResult(Gang& gang, int member, MemberOutcome outcome,
                                 const std::string& reason, Time now,
                                 SchedulerActions* actions) {
  if (gang.members()[member].state == MemberState::kGone) return;
  switch (outcome) {
    case MemberOutcome::kConfirmed:
      MemberConfirmed(gang, member, now, actions);
      return;
    case MemberOutcome::kRefused:
      MemberFailed(gang, member, true, reason, now, actions);
      return;
    case MemberOutcome::kFailed:
      MemberFailed(gang, member, false, reason, now, actions);
      return;
    case MemberOutcome::kFinished:
      gangs_.SetState(gang, member, MemberState::kFinished, now);
      FinishIfAllFinished(gang, now, actions);
      CompleteCheckpointIfAllSaved(gang, now, actions);
      return;
    case MemberOutcome::kGone:
      MemberGone(gang, member, reason, now, actions);
      return;
  }
}

void GangLifecycle::MemberConfirmed(Gang& gang, int member, Time now,
                                    SchedulerActions* actions) {
  if (gang.members()[member].state != MemberState::kPending) return;
  gangs_.SetState(gang, member, MemberState::kConfirmed, now);
  LiftThrottleIfAllConfirmed(gang, now, actions);
}

void GangLifecycle::LiftThrottleIfAllConfirmed(Gang& gang, Time now,
                                               SchedulerActions* actions) {
  if (gang.phase != JobPhase::kStarting) return;
  if (gang.count(MemberState::kConfirmed) != gang.size()) return;
  gang.phase = JobPhase::kRunning;
  gang.started_at = now;
  observer_.OnPhase(gang, JobPhase::kRunning, "all members confirmed");
  actions->push_back(LiftThrottle{gang.job(), gang.id()});
}

void GangLifecycle::MemberFailed(Gang& gang, int member, bool refused,
                                 const std::string& reason, Time now,
                                 SchedulerActions* actions) {
  const MemberRecord record = gang.members()[member];
  if (record.state == MemberState::kFailed) return;
  // A refused member holds no lease; a failed one holds it until stopped.
  const MemberState state = refused ? MemberState::kGone : MemberState::kFailed;
  gangs_.SetState(gang, member, state, now);
  if (!IsStopping(gang)) {
    observer_.OnMemberFailed(gang, record, refused, reason, now);
    const std::string stop_reason = (refused ? "refused by " : "failed on ") +
                                    record.member.worker + ": " + reason;
    Stop(gang, stop_reason, GangEnd::kRequeue, now, actions);
  }
  RemoveIfAllGone(gang);
}

void GangLifecycle::MemberGone(Gang& gang, int member,
                               const std::string& reason, Time now,
                               SchedulerActions* actions) {
  const std::string worker = gang.members()[member].member.worker;
  if (!gangs_.SetState(gang, member, MemberState::kGone, now)) return;
  if (!IsStopping(gang)) {
    Stop(gang, "lost its member on " + worker + ": " + reason,
         GangEnd::kRequeue, now, actions);
  }
  RemoveIfAllGone(gang);
}

void GangLifecycle::FinishIfAllFinished(Gang& gang, Time now,
                                        SchedulerActions* actions) {
  if (gang.count(MemberState::kFinished) != gang.size()) return;
  if (gang.end == GangEnd::kCancel || gang.end == GangEnd::kFail) return;
  const bool stop_sent = IsStopping(gang);
  gang.end = GangEnd::kFinish;
  observer_.OnFinished(gang, now);
  if (stop_sent) return;
  Stop(gang, "finished, leases released", GangEnd::kFinish, now, actions);
}

void GangLifecycle::CheckpointDone(Gang& gang, Time now,
                                   SchedulerActions* actions) {
  if (gang.phase != JobPhase::kCheckpointing) return;
  gang.checkpointed = true;
  observer_.OnCheckpointed(gang, now - gang.checkpoint_requested_at);
  Stop(gang, gang.end_reason, GangEnd::kRequeue, now, actions);
}

void GangLifecycle::CompleteCheckpointIfAllSaved(Gang& gang, Time now,
                                                 SchedulerActions* actions) {
  const int saved = gang.count(MemberState::kCheckpointed) +
                    gang.count(MemberState::kFinished);
  if (saved == gang.size()) CheckpointDone(gang, now, actions);
}

void GangLifecycle::ApplyLeaseState(Gang& gang, int member,
                                    const LeaseReport& lease, Time now,
                                    SchedulerActions* actions) {
  const MemberState known = gang.members()[member].state;
  switch (lease.state) {
    case LeaseState::kThrottled:
    case LeaseState::kRunning:
    case LeaseState::kCheckpointing:
      MemberConfirmed(gang, member, now, actions);
      return;
    case LeaseState::kCheckpointed:
      if (known == MemberState::kCheckpointed) return;
      gangs_.SetState(gang, member, MemberState::kCheckpointed, now);
      gang.SetSavedProgress(member, lease.progress);
      CompleteCheckpointIfAllSaved(gang, now, actions);
      return;
    case LeaseState::kFinished:
      if (known == MemberState::kFinished) return;
      MemberResult(gang, member, MemberOutcome::kFinished, "", now, actions);
      return;
    case LeaseState::kFailed:
      MemberFailed(gang, member, false, lease.reason, now, actions);
      return;
    case LeaseState::kGone:
      if (!ShouldBeListed(known)) return;
      MemberGone(gang, member, "not known to the worker", now, actions);
      return;
  }
}

int GangLifecycle::ApplyWorkerReport(WorkerIndex worker,
                                     const std::string& worker_name,
                                     const std::vector<LeaseReport>& leases,
                                     Time requested_at, Time now,
                                     SchedulerActions* actions) {
  int untracked_held = 0;
  std::unordered_set<std::string> listed;
  for (const LeaseReport& lease : leases) {
    const auto [gang, member] = gangs_.FindLease(lease.lease_id);
    if (gang && gang->members()[member].state != MemberState::kGone) {
      listed.insert(lease.lease_id);
      // A lease that was confirmed after the request was sent may be missing
      // from a reply that was made before the grant reached the worker.
      const bool overtaken =
          lease.state == LeaseState::kGone &&
          gang->members()[member].confirmed_at >= requested_at;
      if (!overtaken) ApplyLeaseState(*gang, member, lease, now, actions);
      continue;
    }
    if (lease.state == LeaseState::kGone) continue;
    untracked_held += lease.accelerators;
    actions->push_back(
        StopLease{worker_name, lease.lease_id, "not held by any current gang"});
  }
  for (const std::string& id : gangs_.GangsOn(worker)) {
    Gang* gang = gangs_.Find(id);
    for (int i = 0; gang && i < gang->size(); ++i) {
      const MemberRecord& record = gang->members()[i];
      if (record.worker != worker || !ShouldBeListed(record.state)) continue;
      if (record.confirmed_at >= requested_at) continue;
      if (listed.count(record.member.lease_id) > 0) continue;
      MemberGone(*gang, i, "not known to the worker", now, actions);
      gang = gangs_.Find(id);  // nullptr if the gang ended
    }
  }
  return untracked_held;
}

void GangLifecycle::WorkerLost(WorkerIndex worker, Time lapses_at, Time now,
                               SchedulerActions* actions) {
  for (const std::string& id : gangs_.GangsOn(worker)) {
    Gang& gang = *gangs_.Find(id);
    std::string name;
    for (int i = 0; i < gang.size(); ++i) {
      if (gang.members()[i].worker != worker) continue;
      name = gang.members()[i].member.worker;
      gang.SetLapseTime(i, lapses_at);
    }
    Stop(gang, "lost its member on " + name + ": worker cannot be reached",
         GangEnd::kRequeue, now, actions);
  }
}

void GangLifecycle::RemoveIfAllGone(Gang& gang) {
  if (gang.count(MemberState::kGone) != gang.size()) return;
  observer_.OnEnded(gang);
  gangs_.Remove(gang.id());
}

void GangLifecycle::Tick(Time now, SchedulerActions* actions) {
  for (const std::string& id : GangIds(gangs_)) {
    TickGang(*gangs_.Find(id), now, actions);
  }
}

void GangLifecycle::TickGang(Gang& gang, Time now, SchedulerActions* actions) {
  if (gang.phase == JobPhase::kStarting && gang.deadline <= now) {
    Stop(gang, "not all members confirmed in time", GangEnd::kRequeue, now,
         actions);
  }
  if (gang.phase == JobPhase::kCheckpointing && gang.deadline <= now) {
    observer_.OnCheckpointHung(gang);
    Stop(gang, gang.end_reason + "; checkpoint not done in time",
         GangEnd::kRequeue, now, actions);
  }
  const std::string id = gang.id();
  for (int i = 0; gangs_.Find(id) && i < gang.size(); ++i) {
    const MemberRecord& record = gang.members()[i];
    if (record.state == MemberState::kGone) continue;
    if (!record.lapses_at || *record.lapses_at > now) continue;
    MemberGone(gang, i, "its lease lapsed", now, actions);
  }
}

std::optional<Time> GangLifecycle::NextDue() const {
  std::optional<Time> next;
  const auto consider = [&next](Time due) {
    if (!next || due < *next) next = due;
  };
  for (const auto& entry : gangs_.gangs()) {
    const Gang& gang = *entry.second;
    if (gang.phase == JobPhase::kStarting) consider(gang.deadline);
    if (gang.phase == JobPhase::kCheckpointing) consider(gang.deadline);
    for (const MemberRecord& record : gang.members()) {
      if (record.state == MemberState::kGone) continue;
      if (record.lapses_at) consider(*record.lapses_at);
    }
  }
  return next;
}

}  // namespace thornplank
