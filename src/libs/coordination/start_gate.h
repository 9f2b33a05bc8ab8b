// Decides when starts that are recorded may be sent to their workers.
//
// A worker without runs is not called until it gets one, so that its death goes
// unnoticed until then. A start that is sent to it occupies the task until the
// worker's leases are over, and the other members of a gang wait for it all
// that time. So workers are asked for a sign of life while their starts are
// being recorded, and a start is sent only after an answer. Those of a gang are
// sent together, or not at all. No I/O and not thread-safe.
#ifndef THORNPLANK_COORDINATION_START_GATE_H_
#define THORNPLANK_COORDINATION_START_GATE_H_

#include <list>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/task_ref.h"

namespace thornplank {

// A start that is decided, and recorded before it is sent.
struct PendingStart {
  std::string worker;
  TaskRef task;
  int run = 0;
  std::string checkpoint;
  std::string ticket;
  bool gang = false;
  Time decided{};
};

class StartGate {
 public:
  // Starts that are sent together or not at all.
  using Group = std::vector<PendingStart>;

  // Starts that will not be sent, and the workers that did not answer.
  struct Refusal {
    Group starts;
    std::set<std::string> silent_workers;
  };

  // The groups of `starts`: the members of a gang, or a single start.
  static std::vector<Group> GroupsOf(std::vector<PendingStart> starts);

  // Holds back the group until all of `unanswered` have answered, until
  // `deadline` at most. `unanswered` is not empty.
  void Hold(Group group, std::set<std::string> unanswered, Time deadline);
  // The worker has answered. Returns the groups that may be sent now.
  std::vector<Group> OnAnswer(const std::string& worker);
  // A call to the worker has failed. Returns the groups that must not be sent.
  std::vector<Refusal> OnFailure(const std::string& worker);
  // Returns the groups that have waited in vain.
  std::vector<Refusal> TakeExpired(Time now);
  void Clear() { held_.clear(); }

 private:
  struct HeldGroup {
    Group starts;
    std::set<std::string> unanswered;
    Time deadline{};
  };

  std::list<HeldGroup> held_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_START_GATE_H_
