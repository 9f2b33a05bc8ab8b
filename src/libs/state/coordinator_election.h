// Decides when this entry claims the next coordinator epoch.
//
// Decision code without I/O. The order of the log decides which claim wins.
// This class only limits the number of claims in two ways. Each entry waits for
// a time that depends on its rank, so that entries do not all claim at the same
// time. And a new epoch is not challenged for `min_tenure`, so that the two
// sides of a network partition do not depose each other's coordinator over and
// over.
#ifndef THORNPLANK_STATE_COORDINATOR_ELECTION_H_
#define THORNPLANK_STATE_COORDINATOR_ELECTION_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/time.h"
#include "state/epoch_table.h"

namespace thornplank {

struct ElectionSettings {
  // Time without a live coordinator after which the entry of rank 0 claims.
  Duration vacancy_delay = std::chrono::milliseconds(300);
  // Additional delay per rank.
  Duration rank_delay = std::chrono::milliseconds(400);
  // Time after which a claim without a known outcome is repeated.
  Duration claim_interval = std::chrono::milliseconds(2500);
  // Time after the beginning of an epoch during which there is no claim, unless
  // the holder has resigned.
  Duration min_tenure = std::chrono::seconds(3);
};

class CoordinatorElection {
 public:
  CoordinatorElection(std::string name, std::string incarnation,
                      ElectionSettings settings);

  // Sets the epoch after the job stream showed that one was won or resigned.
  void SetEpoch(const CoordinatorEpoch& epoch, Time now);
  // Sets the names of the entries that this entry observes to be alive.
  void SetLiveEntries(const std::set<std::string>& names, Time now);

  // The epoch number to claim now, or nullopt. The caller must make a claim for
  // every number that is returned.
  std::optional<int64_t> ClaimIfDue(Time now);
  // When ClaimIfDue can next return a number; nullopt if there is no vacancy.
  std::optional<Time> NextWake() const;

 private:
  // Whether there is no live coordinator. An epoch held by an earlier process
  // of this entry counts as vacant.
  bool IsVacant() const;
  void UpdateVacancy(Time now);
  // Rank of this entry among the live ones for the next epoch, from 0. The
  // order differs by epoch, so that an entry that claims in vain is not always
  // first.
  int Rank() const;

  const std::string name_;
  const std::string incarnation_;
  const ElectionSettings settings_;
  CoordinatorEpoch epoch_;
  std::set<std::string> live_;
  // Set if and only if IsVacant().
  std::optional<Time> vacant_since_;
  // When the current epoch was first seen.
  std::optional<Time> epoch_began_at_;
  // When the next epoch was last claimed.
  std::optional<Time> claimed_at_;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_COORDINATOR_ELECTION_H_
