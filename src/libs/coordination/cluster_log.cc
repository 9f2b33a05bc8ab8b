// What the leader logs of its planning rounds.
#include <set>
#include <string>
#include <utility>

#include "coordination/cluster_coordinator.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Between two checks for steps that wait beside idle room.
constexpr std::chrono::seconds kOverdueReviewInterval{1};

}  // namespace

// A submission may be stored long after its caller was answered.
void ClusterCoordinator::LogSubmission(const std::string& id) const {
  const BoardJob* job = dependencies_.board->Find(id);
  if (job == nullptr) return;
  const auto age = std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now() - job->spec->accepted);
  LogEvent(events::kSubmissionRead, {{"job", id},
                                     {"offset", job->submission_offset},
                                     {"age_ms", age.count()},
                                     {"cancelled", job->cancelled},
                                     {"epoch", epoch_}});
}

void ClusterCoordinator::LogWaits(const std::vector<WaitDecision>& waits) {
  std::map<StepRef, WaitReason> logged;
  for (const WaitDecision& wait : waits) {
    logged[wait.step] = wait.reason;
    const auto last = logged_waits_.find(wait.step);
    if (last != logged_waits_.end() && last->second == wait.reason) continue;
    const Job* job = ledger_.Find(wait.step.job);
    const StepProgress* progress = ledger_.FindStep(wait.step);
    Json unsettled = wait.reason == WaitReason::kMembersUnsettled
                         ? UnsettledMembers(*progress)
                         : Json::array();
    LogEvent(events::kStepWaits,
             {{"job", wait.step.job},
              {"step", wait.step.ToString()},
              {"reason", std::string(ToText(wait.reason))},
              {"tasks", progress->waiting},
              {"unsettled", std::move(unsettled)},
              {"priority", job->spec.policy.priority},
              {"epoch", epoch_},
              {"board_next", dependencies_.board_next_offset()}});
  }
  logged_waits_ = std::move(logged);
}

// The workers on which active members of the gang may be: each with its state
// and the time until its leases are over.
Json ClusterCoordinator::UnsettledMembers(const StepProgress& gang) const {
  std::set<std::string> workers;
  for (const TaskStatus& member : gang.tasks) {
    if (member.phase == TaskPhase::kActive) workers.insert(member.worker);
  }
  const Time now = std::chrono::steady_clock::now();
  Json rows = Json::array();
  for (const std::string& id : workers) {
    const auto tracker = fleet_->trackers().find(id);
    if (tracker == fleet_->trackers().end()) continue;
    const WorkerTracker& worker = tracker->second;
    rows.push_back(
        Json::array({id, std::string(ToText(worker.availability(now))),
                     worker.lease_left(now).count()}));
  }
  return rows;
}

void ClusterCoordinator::LogAccountWaits(
    const std::vector<AccountWait>& waits) {
  for (const AccountWait& wait : waits) {
    const auto waited_ms =
        std::chrono::duration_cast<Milliseconds>(wait.waited).count();
    LogEvent(events::kAccountWaits, {{"service", wait.key.service},
                                     {"account", wait.key.account},
                                     {"priority", wait.key.priority},
                                     {"waits", wait.begins},
                                     {"share", wait.share},
                                     {"weight", wait.weight},
                                     {"waiting", wait.waiting},
                                     {"waited_ms", waited_ms},
                                     {"epoch", epoch_}});
  }
}

void ClusterCoordinator::ReviewOverdueStarts(Time now) {
  if (now - last_overdue_review_ < kOverdueReviewInterval) return;
  last_overdue_review_ = now;
  for (const OverdueStart& overdue :
       overdue_starts_.Review(ledger_, fleet_->trackers(), now,
                              settings_.bounds.start_overdue_after())) {
    LogEvent(events::kStartOverdue,
             {{"job", overdue.step.job},
              {"step", overdue.step.ToString()},
              {"reason", std::string(ToText(overdue.reason))},
              {"tasks", overdue.tasks},
              {"waited_ms", overdue.waited.count()},
              {"epoch", epoch_}});
  }
}

void ClusterCoordinator::LogEqualStopLimit(const EqualStopLimitChange& change) {
  LogEvent(events::kEqualStopsLimited, {{"limited", change.limited},
                                        {"stops", change.stops},
                                        {"completions", change.completions},
                                        {"epoch", epoch_}});
}

void ClusterCoordinator::LogFeatureChanges(
    const std::vector<FeatureChange>& changes) {
  for (const FeatureChange& change : changes) {
    LogEvent(events::kFeatureChanged, {{"feature", change.feature},
                                       {"active", change.active},
                                       {"reason", change.reason},
                                       {"epoch", epoch_}});
  }
}

void ClusterCoordinator::LogHoldChanges(
    const std::vector<HoldChange>& changes) {
  for (const HoldChange& change : changes) {
    LogEvent(events::kCapacityHeld, {{"job", change.step.job},
                                     {"step", change.step.ToString()},
                                     {"workers", change.workers},
                                     {"rack", change.rack},
                                     {"ready_in_ms", change.ready_in.count()},
                                     {"waited_ms", change.waited.count()},
                                     {"borrowers", change.borrowers},
                                     {"reason", change.reason},
                                     {"epoch", epoch_}});
  }
}

}  // namespace thornplank
