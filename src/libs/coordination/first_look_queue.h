// Order in which a new leader asks the workers for their first reports.
//
// A leader that takes over knows nothing of thousands of workers, and can ask
// only some of them at a time. Those with runs are asked as soon as they are
// known, since callers wait for the ends of their jobs; the others once the
// directory is known completely, rack by rack and in all failure domains, so
// that whole racks can soon take gangs. The two kinds take turns.
#ifndef THORNPLANK_COORDINATION_FIRST_LOOK_QUEUE_H_
#define THORNPLANK_COORDINATION_FIRST_LOOK_QUEUE_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace thornplank {

struct FirstLookSettings {
  // How many reports may be awaited at a time.
  int max_pending = 128;
};

class FirstLookQueue {
 public:
  explicit FirstLookQueue(FirstLookSettings settings) : settings_(settings) {}

  void AddWithRuns(const std::string& worker);
  // A worker without runs. Does nothing if it was added before.
  void AddIdle(const std::string& worker, const std::string& failure_domain,
               const std::string& rack);
  // The directory is known completely: the idle workers are asked from now on.
  void ReleaseIdle();
  // Whether the worker is still to be asked.
  bool Contains(const std::string& worker) const {
    return waiting_.count(worker) > 0;
  }
  void Remove(const std::string& worker) { waiting_.erase(worker); }
  // Returns the workers to be asked now, and removes them.
  std::vector<std::string> Take();
  // A worker that was taken has answered, or cannot be asked.
  void OnAnswered();
  // To be called several times a second. Workers that have not answered by then
  // no longer hold up others.
  void OnTick() { pending_ = 0; }
  bool empty() const { return waiting_.empty(); }

 private:
  // Removes and returns the first worker that still waits; empty if there is
  // none.
  std::string PopFrom(std::deque<std::string>* queue);

  const FirstLookSettings settings_;
  // Invariant: a worker of the members below that is not in here has been asked
  // or removed.
  std::set<std::string> waiting_;
  std::deque<std::string> with_runs_;
  std::deque<std::string> idle_;
  // Until the idle workers are released: failure domain, rack, workers.
  std::map<std::string, std::map<std::string, std::vector<std::string>>>
      held_back_;
  bool released_ = false;
  bool idle_is_next_ = false;
  int pending_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_FIRST_LOOK_QUEUE_H_
