// Value types that describe jobs, guarantees, events and workers.
//
// They are shared by the scheduler, the state of the job stream and the code
// that carries out scheduling decisions, and contain no scheduling logic.
#ifndef THORNPLANK_SCHEDULING_JOB_TYPES_H_
#define THORNPLANK_SCHEDULING_JOB_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace thornplank {

// How close to each other the members of a gang must be placed.
enum class Adjacency {
  kAnywhere,
  // All members within one rack.
  kRack,
};

// The resources that a gang needs. Several members may share a worker.
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
  // For example "4x8 in one rack" for 4 members of 8 accelerators each.
  std::string ToString() const;
};

// Guarantees that `count` gangs of `shape` can run at the same time.
struct GuaranteedShape {
  Shape shape;
  int count = 1;
};

// The guarantee of a client account and its effective scheduling settings.
struct AccountGuarantee {
  std::string account;
  std::vector<GuaranteedShape> shapes;
  // Weight of the account when free accelerators are shared among borrowers;
  // above 0.
  double weight = 1.0;
  // Whether jobs beyond the guarantee may use accelerators that guarantees of
  // others leave unused.
  bool borrowing = true;
  // From 0 (only completion time counts) to 1 (only fragmentation counts).
  double fragmentation_weight = 0.5;
  // Time from the checkpoint request until a reclaimed gang of this account is
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
  // Gets no new gang; every gang with a member on it is checkpointed and placed
  // elsewhere.
  bool leaving = false;
};

enum class Priority {
  kNormal,
  // Placed before all normal jobs; may stop borrowers to get accelerators.
  kUrgent,
};

struct JobSpec {
  std::string id;
  std::string account;
  Shape shape;
  // Run time declared by the caller, often inaccurate. Zero if unknown.
  Duration declared_run_time = Duration::zero();
  Priority priority = Priority::kNormal;
  // Name of the event that the job belongs to; empty if none.
  std::string event;
  // Offset of the submission in the job stream, which gives the order of
  // arrival over all accounts.
  int64_t submitted_order = 0;
};

// Capacity for `shapes` that must be free at a fixed start time.
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
  // Asked to save its state, to be stopped after that.
  kCheckpointing,
  // Asked to stop; some leases may still be held.
  kStopping,
  // The last three are final.
  kFinished,
  kCancelled,
  kFailed,
};

// The name used in records and APIs, for example "waiting".
std::string_view JobPhaseName(JobPhase phase);
std::optional<JobPhase> JobPhaseFromName(std::string_view name);
bool IsFinal(JobPhase phase);

// One member of a gang, with the lease that holds its accelerators.
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
