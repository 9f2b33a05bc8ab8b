// Decides when an entry should try to take leadership.
//
// The store arbitrates: a claim is an append with a higher epoch.
// This class only tells when a claim is worth a call.
#ifndef THORNPLANK_COORDINATION_LEADER_ELECTION_H_
#define THORNPLANK_COORDINATION_LEADER_ELECTION_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "coordination/job_board.h"

namespace thornplank {

struct LeaderElectionSettings {
  // Longest interval between two records of a leader.
  Milliseconds heartbeat_interval{200};
  // A leader that has written nothing for longer is replaced, provided that the
  // store answers at once. Leaves three heartbeats and the delays of a leader
  // that is busy. Urgent jobs wait for it when a leader fails.
  Milliseconds max_silence{700};
  // `max_silence` is extended by the latency of the store times this: the
  // append of the leader, the heartbeat queued after it, and the read of the
  // follower.
  int silence_per_latency = 4;
  // After a time of slow answers their latency counts for this multiple of
  // itself, falling evenly: appends of the leader from that time are still
  // queued in the store.
  int latency_memory = 8;
  // After a longer gap between two reads of the board the silence of the leader
  // is counted anew, since the gap proves nothing about the leader.
  Milliseconds max_read_gap{1600};
  // Time between the claims of two followers that are next to each other in the
  // order of succession, and its multiple of the latency of the store: one
  // claim is decided before the next is sent.
  Milliseconds succession_delay{100};
  int succession_per_latency = 4;
};

class LeaderElection {
 public:
  // `holder`: "instance/incarnation" of this entry.
  LeaderElection(LeaderElectionSettings settings, std::string holder);

  // The place of this entry in the order of succession, from 0.
  void set_place(int place) { place_ = place; }
  // The board was read up to its end. `latency` is that of the store.
  void OnBoardCaughtUp(Duration latency, Time now);
  void OnLeaderRecord(const LeaderRecord& leader, Time now);

  // `leader` is the newest leader record on the board.
  bool ShouldClaim(const LeaderRecord& leader, Time now) const;
  const LeaderElectionSettings& settings() const { return settings_; }

 private:
  Duration SuccessionDelay() const;
  // Whether the leader is an earlier incarnation of this instance, which no
  // longer runs.
  bool IsPreviousIncarnation(const LeaderRecord& leader) const;

  const LeaderElectionSettings settings_;
  const std::string holder_;
  int place_ = 0;
  // Since when the board has been observed without a new leader record.
  Time silent_since_{};
  // When the board was last read up to its end; valid if `has_read_`.
  Time last_read_{};
  // The greatest latency of the store seen lately.
  Duration store_latency_{};
  bool has_read_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_LEADER_ELECTION_H_
