// The words that jobs, guarantees, events and workers are described in.
//
// Plain values shared by the scheduler, the fold of the job stream and the
// carrier of jobs. Nothing here decides anything.
#ifndef THORNPLANK_SCHEDULING_JOB_TYPES_H_
#define THORNPLANK_SCHEDULING_JOB_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace thornplank {

// Where the members of a gang may lie relative to each other.
enum class Adjacency {
  kAnywhere,
  // All members within one rack.
  kRack,
};

// What a gang needs. Several members may share a worker.
struct Shape {
  int members = 1;
  int accelerators_per_member = 1;
  Adjacency adjacency = Adjacency::kAnywhere;

  int accelerators() const { return members * accelerators_per_member; }
  bool operator==(const Shape& other) const {
    return members == other.members &&
           accelerators_per_member == other.accelerators_per_member &&
           adjacency == other.adjacency;
  }
  // "4x8 in one rack".
  std::string ToString() const;
};

// `count` gangs of `shape` can run at once at any moment.
struct GuaranteedShape {
  Shape shape;
  int count = 1;
};

// What a client account holds, with the effective settings of its node.
struct AccountGuarantee {
  std::string account;
  std::vector<GuaranteedShape> shapes;
  // Share of borrowed accelerators relative to other accounts; above 0.
  double weight = 1.0;
  // Whether jobs beyond the guarantee may use what others leave unused.
  bool borrowing = true;
  // 0: only completion time counts; 1: only fragmentation counts.
  double fragmentation_weight = 0.5;
  // From the order to checkpoint until a reclaimed gang of this account is
  // stopped, whether or not the checkpoint is done.
  Duration checkpoint_deadline = std::chrono::seconds(30);
};

struct WorkerInfo {
  std::string name;
  // "ip:port".
  std::string address;
  std::string rack;
  std::string failure_domain;
  int accelerators = 0;
  int cores = 0;
  int64_t memory_mb = 0;
  // Takes no new gang; the gangs on it are moved off whole.
  bool leaving = false;
};

enum class Priority {
  kNormal,
  // Placed before all normal work; may reclaim borrowers.
  kUrgent,
};

struct JobSpec {
  std::string id;
  std::string account;
  Shape shape;
  // Run time as the caller declared it; often wrong. Zero when unknown.
  Duration declared_run_time = Duration::zero();
  Priority priority = Priority::kNormal;
  // Name of the event that the job belongs to; empty when none.
  std::string event;
  // Position in the job stream: the order of arrival over all accounts.
  int64_t submitted_order = 0;
};

// Shapes that must be free at a fixed start.
struct EventReservation {
  std::string name;
  std::string account;
  Time start;
  std::vector<GuaranteedShape> shapes;
};

enum class JobPhase {
  // Also between two attempts.
  kWaiting,
  // Leases are being granted; every member is throttled.
  kStarting,
  // All members confirmed and the throttle lifted.
  kRunning,
  // Told to save its state before it is stopped.
  kCheckpointing,
  // Told to stop; some lease may still be held.
  kStopping,
  // The last three are final.
  kFinished,
  kCancelled,
  kFailed,
};

// "waiting", "starting", ...
std::string_view JobPhaseName(JobPhase phase);
std::optional<JobPhase> JobPhaseFromName(std::string_view name);
bool IsFinal(JobPhase phase);

// One member of one attempt, held by one lease.
struct GangMember {
  std::string worker;
  std::string lease_id;
  int accelerators = 0;

  bool operator==(const GangMember& other) const {
    return worker == other.worker && lease_id == other.lease_id &&
           accelerators == other.accelerators;
  }
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_JOB_TYPES_H_
