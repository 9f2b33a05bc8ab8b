// The order in which waiting jobs may borrow accelerators.
#ifndef THORNPLANK_SCHEDULING_JOB_ORDER_H_
#define THORNPLANK_SCHEDULING_JOB_ORDER_H_

#include "base/time.h"

namespace thornplank {

struct BorrowCandidate {
  // Time since the job was submitted.
  Duration waited = Duration::zero();
  // Expected run time, corrected by the account's earlier jobs.
  Duration expected = Duration::zero();
  int accelerators = 1;
  // Accelerators that the account borrows now, divided by its share by weight
  // of all accelerators.
  double borrowed_to_share_ratio = 0;
  // From 0 (only completion time counts) to 1 (only fragmentation counts).
  double fragmentation_weight = 0.5;
};

// Jobs are started in order of descending score. The score grows with the
// waiting time relative to the expected run time and shrinks with what the
// account already borrows. With `fragmentation_weight` above 0 it also grows
// with the size of the job, since room for large jobs becomes free rarely.
double BorrowScore(const BorrowCandidate& candidate);

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_JOB_ORDER_H_
