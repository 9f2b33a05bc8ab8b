// Limits the lines and bytes that each event may add to the log per second.
//
// An event that is logged at a high rate must neither crowd out the others nor
// make the log grow without bound. Suppressed lines are counted, and the counts
// are reported once per second.
#ifndef THORNPLANK_LOGGING_LINE_BUDGET_H_
#define THORNPLANK_LOGGING_LINE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"

namespace thornplank {

struct LineBudgetSettings {
  // Per event and second. A leader of 350 workers under load has logged up to
  // 466 lines and 113 kB of one event in a second.
  uint64_t lines = 600;
  uint64_t bytes = 160 * 1024;
};

// Number of lines of one event that were suppressed in one second.
struct SuppressedLines {
  int event = 0;
  uint64_t lines = 0;
};

// Not thread-safe.
class LineBudget {
 public:
  explicit LineBudget(LineBudgetSettings settings) : settings_(settings) {}

  // Returns whether a line of the event may be written now; otherwise counts it
  // as suppressed.
  bool Admits(int event, Time now);
  // Counts an admitted line of this size against the budget of the event.
  void Charge(int event, size_t bytes);
  // Returns the counts of all windows that are over, each count once.
  std::vector<SuppressedLines> TakeSuppressed(Time now);
  // As above, including the current windows; for the end of the process.
  std::vector<SuppressedLines> TakeAllSuppressed();

  uint64_t suppressed_total() const { return suppressed_total_; }

 private:
  struct Usage {
    // Start of the second in which `lines` and `bytes` were counted.
    Time window_start{};
    uint64_t lines = 0;
    uint64_t bytes = 0;
    // Suppressed lines that are not yet reported.
    uint64_t suppressed = 0;
  };

  // Starts a new window if the current one is over.
  void StartWindowIfDue(Usage* usage, Time now) const;
  bool IsWindowOver(const Usage& usage, Time now) const;

  const LineBudgetSettings settings_;
  std::map<int, Usage> usages_;
  // Invariant: the sum of all `suppressed` counts and of all reported ones.
  uint64_t suppressed_total_ = 0;
  // Invariant: the number of events whose `suppressed` count is not zero.
  size_t unreported_events_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LINE_BUDGET_H_
