// Builds workers, jobs and accounts for the scheduling tests.
#ifndef THORNPLANK_TESTS_SCHEDULING_FIXTURES_H_
#define THORNPLANK_TESTS_SCHEDULING_FIXTURES_H_

#include <chrono>
#include <string>
#include <vector>

#include "scheduling/job_scheduler.h"

namespace thornplank::testing {

using std::chrono::seconds;

inline Time At(int64_t second) { return Time() + seconds(second); }

// `racks` racks of `per_rack` workers, named "w0", "w1" and so on over all
// racks.
inline std::vector<WorkerInfo> Workers(int racks, int per_rack,
                                       int accelerators) {
  std::vector<WorkerInfo> workers;
  for (int i = 0; i < racks * per_rack; ++i) {
    WorkerInfo info;
    info.name = "w" + std::to_string(i);
    info.rack = "r" + std::to_string(i / per_rack);
    info.failure_domain = "d" + std::to_string(i / per_rack / 2);
    info.accelerators = accelerators;
    workers.push_back(info);
  }
  return workers;
}

inline JobSpec Job(const std::string& id, const std::string& account,
                   const Shape& shape, int run_seconds = 100) {
  static int64_t order = 0;
  JobSpec job;
  job.id = id;
  job.account = account;
  job.shape = shape;
  job.declared_run_time = seconds(run_seconds);
  job.submitted_order = ++order;
  return job;
}

inline AccountGuarantee Account(const std::string& name,
                                std::vector<GuaranteedShape> shapes = {}) {
  AccountGuarantee account;
  account.account = name;
  account.shapes = std::move(shapes);
  return account;
}

inline constexpr Shape kOneAccelerator{1, 1, Adjacency::kAnywhere};
inline constexpr Shape kWholeWorker{1, 8, Adjacency::kAnywhere};

// The actions of type `Action`, in their order.
template <typename Action>
std::vector<Action> ActionsOfType(const SchedulerActions& actions) {
  std::vector<Action> found;
  for (const SchedulerAction& action : actions) {
    if (const Action* one = std::get_if<Action>(&action)) found.push_back(*one);
  }
  return found;
}

// Reports `outcome` for every member of `grant`. Returns all resulting actions.
inline SchedulerActions ReportMembers(
    JobScheduler& scheduler, const GrantGang& grant, Time now,
    MemberOutcome outcome = MemberOutcome::kConfirmed) {
  SchedulerActions all;
  for (const GangMember& member : grant.members) {
    for (SchedulerAction& action : scheduler.MemberResult(
             grant.job, grant.gang_id, member.lease_id, outcome, "", now)) {
      all.push_back(std::move(action));
    }
  }
  return all;
}

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_SCHEDULING_FIXTURES_H_
