// When this entry should claim the next epoch.
//
// Decision code. The log decides who wins; this only keeps entries from all
// claiming at once, and from deposing a coordinator that has just begun: each
// waits longer by its rank, and a new epoch is left alone for `min_tenure`,
// so that two halves of a split mesh cannot depose each other at every turn.
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
  // How long there must have been no live coordinator before the first claim.
  Duration vacancy_delay = std::chrono::milliseconds(300);
  // Each place in the ranking waits this much longer.
  Duration rank_delay = std::chrono::milliseconds(400);
  // A claim whose fate is unknown is repeated after this.
  Duration claim_interval = std::chrono::milliseconds(2500);
  // No claim this soon after an epoch began, its resignation excepted.
  Duration min_tenure = std::chrono::seconds(3);
};

class CoordinatorElection {
 public:
  CoordinatorElection(std::string name, std::string incarnation,
                      ElectionSettings settings);

  // An epoch was won or resigned, by the stream.
  void SetEpoch(const CoordinatorEpoch& epoch, Time now);
  // The live entries, by observation.
  void SetLiveEntries(const std::set<std::string>& names, Time now);

  // The number to claim now, or nullopt. Each answer is one claim.
  std::optional<int64_t> ClaimIfDue(Time now);
  // When Claim is next worth asking.
  std::optional<Time> NextWake() const;

 private:
  bool Vacant() const;
  void NoteVacancy(Time now);
  // Place of this entry among the live ones for the next epoch; the order
  // differs by epoch, so that an entry that claims in vain is not always first.
  int Rank() const;

  const std::string name_;
  const std::string incarnation_;
  const ElectionSettings settings_;
  CoordinatorEpoch epoch_;
  std::set<std::string> live_;
  // Set exactly while Vacant().
  std::optional<Time> vacant_since_;
  std::optional<Time> epoch_since_;
  std::optional<Time> claimed_at_;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_COORDINATOR_ELECTION_H_
