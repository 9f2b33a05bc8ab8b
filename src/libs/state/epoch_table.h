// Who coordinates: the fold of the epoch and resign records.
//
// Decision code. The order of the log is the only arbiter: of several claims
// on one number the first wins, on every entry alike.
#ifndef THORNPLANK_STATE_EPOCH_TABLE_H_
#define THORNPLANK_STATE_EPOCH_TABLE_H_

#include <cstdint>
#include <string>

#include "state/job_records.h"

namespace thornplank {

// The newest epoch. Number 0 is held by nobody.
struct CoordinatorEpoch {
  int64_t number = 0;
  std::string holder;
  std::string incarnation;
  // The holder gave it up; no record of this epoch counts after that.
  bool resigned = false;

  bool operator==(const CoordinatorEpoch& other) const {
    return number == other.number && holder == other.holder &&
           incarnation == other.incarnation && resigned == other.resigned;
  }
};

class EpochTable {
 public:
  // True when the claim won. A claim wins only with the next number, so that
  // rivals and repeats are ignored.
  bool Claim(const EpochRecord& record);
  // True when the current holder gave its epoch up.
  bool Resign(const ResignRecord& record);
  // Whether a record written under `epoch` counts now.
  bool IsInForce(int64_t epoch) const;
  bool IsHeldBy(const std::string& holder,
                const std::string& incarnation) const;

  const CoordinatorEpoch& current() const { return current_; }
  // For snapshots.
  void Restore(const CoordinatorEpoch& epoch) { current_ = epoch; }

 private:
  // Invariant: the number only grows, by one at a time.
  CoordinatorEpoch current_;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_EPOCH_TABLE_H_
