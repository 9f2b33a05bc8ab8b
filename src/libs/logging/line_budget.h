// How many lines and bytes a second each event may take of the log.
//
// A storm of one event must neither drown the others nor grow without bound.
// What is left out is counted and told in a summary once a second.
#ifndef THORNPLANK_LOGGING_LINE_BUDGET_H_
#define THORNPLANK_LOGGING_LINE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"

namespace thornplank {

struct LineBudgetSettings {
  // Of each event and second. The busiest second seen of a leader of 350
  // workers under load had 466 lines and 113 kB of one event.
  uint64_t lines = 600;
  uint64_t bytes = 160 * 1024;
};

// Lines of one event that were left out in one second.
struct LinesLeftOut {
  int event = 0;
  uint64_t lines = 0;
};

// Not thread-safe.
class LineBudget {
 public:
  explicit LineBudget(LineBudgetSettings settings) : settings_(settings) {}

  // Whether a line of the event may be written now; counts it as left out if
  // not.
  bool Admits(int event, Time now);
  // A line that was admitted took this much.
  void Charge(int event, size_t bytes);
  // What was left out in seconds that are over; each is told once.
  std::vector<LinesLeftOut> TakeLeftOut(Time now);
  // The same with the running second, for the end of the process.
  std::vector<LinesLeftOut> TakeAllLeftOut();

  uint64_t left_out_total() const { return left_out_total_; }

 private:
  struct Use {
    // Begin of the second that the counts belong to.
    Time since{};
    uint64_t lines = 0;
    uint64_t bytes = 0;
    // Not yet told.
    uint64_t left_out = 0;
  };

  // Lets a new second begin when the old one is over.
  void Renew(Use* use, Time now) const;
  bool IsOver(const Use& use, Time now) const;

  const LineBudgetSettings settings_;
  std::map<int, Use> uses_;
  // Invariant: the sum of left_out in uses_ and of all that was told.
  uint64_t left_out_total_ = 0;
  // Invariant: the number of uses_ with something left out.
  size_t untold_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LINE_BUDGET_H_
