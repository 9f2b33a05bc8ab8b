// Simulated workers that carry out the actions of a JobScheduler. The messages
// to them are delivered in any order that a test chooses. Check() verifies the
// invariants that must hold after each step.
#ifndef THORNPLANK_TESTS_SCHEDULING_VIRTUAL_CLUSTER_H_
#define THORNPLANK_TESTS_SCHEDULING_VIRTUAL_CLUSTER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/job_scheduler.h"

namespace thornplank::testing {

class VirtualCluster {
 public:
  VirtualCluster(std::vector<WorkerInfo> workers,
                 std::vector<AccountGuarantee> accounts);

  JobScheduler& scheduler() { return *scheduler_; }
  Time now() const { return now_; }

  void Submit(const JobSpec& job);
  void Cancel(const std::string& job);
  // Delivers the message at `index` modulo the number of messages. With
  // `lost_reply` the worker carries it out but its reply is lost.
  void Deliver(size_t index, bool lost_reply);
  void DeliverAll();
  void Advance(Duration by);
  // Every member of a running gang on a reachable worker finishes. The gang is
  // chosen by `gang_index` modulo their number, as workers are below.
  void Finish(size_t gang_index);
  // One member of a running gang fails.
  void Fail(size_t gang_index);
  void ToggleLost(size_t worker_index);
  void ToggleLeaving(size_t worker_index);
  void Report(size_t worker_index);
  // Replaces the scheduler by that of a new coordinator, which adopts the gangs
  // that the workers hold.
  void TakeOver();
  // While set, checkpoint requests are never answered.
  void SetCheckpointsHang(bool hang) { checkpoints_hang_ = hang; }

  // Describes a violated invariant; empty if there is none.
  std::string Check() const;

 private:
  enum class Kind { kGrant, kStop, kCheckpoint };
  struct Message {
    Kind kind;
    std::string job;
    std::string gang_id;
    GangMember member;
  };
  struct Lease {
    std::string job;
    std::string gang_id;
    int accelerators = 0;
    // Set when the worker was lost: the lease is not renewed after that.
    std::optional<Time> lapses_at;
  };
  struct Worker {
    WorkerInfo info;
    bool lost = false;
    Time lapses_at;
    std::map<std::string, Lease> leases;
    // Ids of stopped leases: a grant that arrives after the stop is ignored.
    std::set<std::string> fenced;
  };

  void Apply(const SchedulerActions& actions);
  void ApplyOne(const GrantGang& action);
  void ApplyOne(const LiftThrottle& action);
  void ApplyOne(const CheckpointGang& action);
  void ApplyOne(const StopGang& action);
  void ApplyOne(const StopLease& action);
  void ApplyOne(const PhaseChanged& action);
  void ApplyOne(const ReportShortfall& action);
  void ApplyOne(const WorkerQuarantineChanged&) {}
  void Lapse();
  void Violation(const std::string& text);
  int Held(const Worker& worker) const;
  bool IsUsable(const std::string& worker) const;
  std::vector<std::string> RunningGangs() const;
  std::string CheckLeases() const;
  std::string CheckGuaranteePlacement() const;

  std::vector<AccountGuarantee> accounts_;
  // Worker names by index.
  std::vector<std::string> names_;
  std::map<std::string, Worker> workers_;
  // Messages to workers that are not delivered yet.
  std::vector<Message> messages_;
  // All gangs granted so far, by gang id.
  std::map<std::string, GrantGang> grants_;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, JobPhase> phases_;
  // Ids of cancelled jobs.
  std::set<std::string> cancelled_;
  // Ids of gangs whose throttle was lifted and that were not stopped.
  std::set<std::string> running_;
  std::map<std::string, std::string> shortfalls_;
  // The first violation seen; empty if there was none.
  std::string first_violation_;
  bool checkpoints_hang_ = false;
  int epoch_ = 0;
  Time now_;
  std::unique_ptr<JobScheduler> scheduler_;
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_SCHEDULING_VIRTUAL_CLUSTER_H_
