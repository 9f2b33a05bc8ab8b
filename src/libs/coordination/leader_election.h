// When an entry should try to take the lead.
//
// Only the store decides who leads: a claim is a conditional append with a
// higher epoch. This object only says when a claim is worth a call.
#ifndef THORNPLANK_COORDINATION_LEADER_ELECTION_H_
#define THORNPLANK_COORDINATION_LEADER_ELECTION_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "coordination/job_board.h"

namespace thornplank {

struct LeaderElectionSettings {
  // A leader writes at least this often.
  Milliseconds heartbeat_interval{350};
  // Silence after which it is replaced while the store answers at once: two
  // heartbeats and a follower's pace of reading. Urgent jobs wait for it.
  Milliseconds max_silence{1300};
  // How much longer for each millisecond that the store takes to answer: the
  // leader's append, the heartbeat_interval behind it, and the follower's read.
  int silence_per_latency = 4;
  // Contact with the store that is broken for longer proves nothing about the
  // leader: its silence counts anew.
  Milliseconds max_read_gap{1600};
  // Entries wait apart, the largest first. More than a follower's pace, so that
  // a small one that reads early is still behind a large one that reads late.
  Milliseconds max_rank_delay{800};
};

class LeaderElection {
 public:
  // `holder`: this instance and life, "instance/life". `rank`: 0 for the entry
  // that should lead first, up to 1.
  LeaderElection(LeaderElectionSettings settings, std::string holder,
                 double rank);

  // The stream was read up to its end by a store that takes `latency`.
  void OnBoardCaughtUp(Duration latency, Time now);
  void OnLeaderRecord(const LeaderRecord& leader, Time now);

  bool ShouldClaim(const LeaderRecord& leader, Time now) const;
  const LeaderElectionSettings& settings() const { return settings_; }

 private:
  // Whether the leader is an earlier life of this instance, and so over.
  bool IsPreviousIncarnation(const LeaderRecord& leader) const;

  const LeaderElectionSettings settings_;
  const std::string holder_;
  const Milliseconds rank_delay_;
  // Since when the leader, or the lack of one, has been observed in silence.
  Time silent_since_{};
  Time last_read_{};
  Duration store_latency_{};
  bool has_read_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_LEADER_ELECTION_H_
