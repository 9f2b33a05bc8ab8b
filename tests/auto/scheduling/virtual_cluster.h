// Workers that carry out the scheduler's actions, message by message, in any
// order that a test chooses, and the checks that must hold after each step.
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
  // Delivers the message at `index` modulo their number; `lost_reply` carries
  // it out at the worker without an answer.
  void Deliver(size_t index, bool lost_reply);
  void DeliverAll();
  void Advance(Duration by);
  // Every member of a running gang finishes, or one member fails.
  void Finish(size_t gang_index);
  void Fail(size_t gang_index);
  void LoseOrReturn(size_t worker_index);
  void LeaveOrStay(size_t worker_index);
  void Report(size_t worker_index);
  // Another coordinator takes over what the workers hold.
  void TakeOver();
  // Checkpoints are never answered.
  void SetCheckpointsHang(bool hang) { checkpoints_hang_ = hang; }

  // What does not hold, or an empty text.
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
    // Set when its worker was lost: nobody renews it after that.
    std::optional<Time> lapses_at;
  };
  struct Worker {
    WorkerInfo info;
    bool lost = false;
    Time lapses_at;
    std::map<std::string, Lease> leases;
    // Leases that were stopped: an older grant is refused.
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
  void Fault(const std::string& text);
  int Held(const Worker& worker) const;
  bool IsUsable(const std::string& worker) const;
  std::vector<std::string> RunningGangs() const;
  std::string CheckLeases() const;
  std::string CheckWitness() const;

  std::vector<AccountGuarantee> accounts_;
  std::vector<std::string> names_;
  std::map<std::string, Worker> workers_;
  std::vector<Message> messages_;
  // Every gang that was ever granted.
  std::map<std::string, GrantGang> grants_;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, JobPhase> phases_;
  std::set<std::string> cancelled_;
  std::set<std::string> running_;
  std::map<std::string, std::string> shortfalls_;
  std::string fault_;
  bool checkpoints_hang_ = false;
  int epoch_ = 0;
  Time now_;
  std::unique_ptr<JobScheduler> scheduler_;
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_SCHEDULING_VIRTUAL_CLUSTER_H_
