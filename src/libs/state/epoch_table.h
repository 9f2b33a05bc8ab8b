// The current coordinator epoch, which results from applying the epoch and
// resign records of the job stream.
//
// Decision code without I/O. Of several claims to the same number the first one
// in the log wins, so that all entries agree.
#ifndef THORNPLANK_STATE_EPOCH_TABLE_H_
#define THORNPLANK_STATE_EPOCH_TABLE_H_

#include <cstdint>
#include <string>

#include "state/job_records.h"

namespace thornplank {

// The newest epoch. Number 0 means that no epoch was claimed yet.
struct CoordinatorEpoch {
  int64_t number = 0;
  std::string holder;
  std::string incarnation;
  // The holder has resigned. Later records of this epoch are ignored.
  bool resigned = false;

  bool operator==(const CoordinatorEpoch& other) const {
    return number == other.number && holder == other.holder &&
           incarnation == other.incarnation && resigned == other.resigned;
  }
};

class EpochTable {
 public:
  // Returns whether the claim wins. Only a claim to the next number wins, so
  // that competing and repeated claims are ignored.
  bool Claim(const EpochRecord& record);
  // Returns whether this resigned the current epoch. Ignored unless the record
  // is by its holder.
  bool Resign(const ResignRecord& record);
  // Whether records written under `epoch` are accepted.
  bool IsInForce(int64_t epoch) const;
  bool IsHeldBy(const std::string& holder,
                const std::string& incarnation) const;

  const CoordinatorEpoch& current() const { return current_; }
  // Replaces the current epoch by that of a snapshot.
  void Restore(const CoordinatorEpoch& epoch) { current_ = epoch; }

 private:
  // Invariant: the number only increases, by one at a time, except in Restore.
  CoordinatorEpoch current_;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_EPOCH_TABLE_H_
