// In which order waiting jobs borrow.
#ifndef THORNPLANK_SCHEDULING_JOB_ORDER_H_
#define THORNPLANK_SCHEDULING_JOB_ORDER_H_

#include "base/time.h"

namespace thornplank {

struct BorrowCandidate {
  // Since the job was submitted.
  Duration waited = Duration::zero();
  // Corrected run time.
  Duration expected = Duration::zero();
  int accelerators = 1;
  // Accelerators that the account borrows now over its share of all by weight.
  double borrowed_to_share_ratio = 0;
  // 0: only completion time counts; 1: only fragmentation counts.
  double fragmentation_weight = 0.5;
};

// The job with the highest score goes first. The longer a job waited relative
// to its run time, the higher; with fragmentation in mind, large ones count
// more, since what they need comes free rarely.
double BorrowScore(const BorrowCandidate& candidate);

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_JOB_ORDER_H_
