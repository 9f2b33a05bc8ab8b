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
  Milliseconds heartbeat{600};
  // Silence after which it is replaced: two heartbeats, the longest call of a
  // store that is slowed 50 times, and a follower's pace of reading.
  Milliseconds silence{2000};
  // Contact with the store that is broken for longer proves nothing about the
  // leader: its silence counts anew.
  Milliseconds contact_gap{1600};
  // Entries wait apart, the largest first, so that one claim is enough.
  Milliseconds spread{500};
};

class LeaderElection {
 public:
  // `holder`: this instance and life, "instance/life". `rank`: 0 for the entry
  // that should lead first, up to 1.
  LeaderElection(LeaderElectionSettings settings, std::string holder,
                 double rank);

  // The stream was read up to its end.
  void OnContact(Time now);
  void OnLeaderRecord(const LeaderRecord& leader, Time now);

  bool ShouldClaim(const LeaderRecord& leader, Time now) const;
  const LeaderElectionSettings& settings() const { return settings_; }

 private:
  // Whether the leader is an earlier life of this instance, and so over.
  bool IsFormerSelf(const LeaderRecord& leader) const;

  const LeaderElectionSettings settings_;
  const std::string holder_;
  const Milliseconds delay_;
  // Since when the leader, or the lack of one, has been observed in silence.
  Time quiet_since_{};
  Time contact_{};
  bool has_contact_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_LEADER_ELECTION_H_
