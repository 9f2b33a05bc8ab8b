// Rows of the soak tests of CI: fixed seeds, and every seed that once failed.
#ifndef THORNPLANK_TESTS_SOAK_SOAK_ROWS_H_
#define THORNPLANK_TESTS_SOAK_SOAK_ROWS_H_

#include <cstdint>
#include <vector>

namespace thornplank {

struct SoakRow {
  uint32_t seed;
  int seconds;
  // The fault that made the seed fail.
  const char* cause;
  // As in SoakSettings: whether tasks crash executors, whether executors are
  // cut off, whether there is a burst of urgent gangs, whether tasks report
  // long checkpoints, whether jobs without an answer are given up, and whether
  // executors are lost for good.
  bool crashes = false;
  bool cut_offs = false;
  bool burst = false;
  bool long_checkpoints = false;
  bool give_ups = false;
  bool losses = false;
};

// Runs the rows one after the other and fails for each violated invariant.
void CheckSoakRows(const std::vector<SoakRow>& rows);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_SOAK_SOAK_ROWS_H_
