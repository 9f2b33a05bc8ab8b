// Keeps a gateway informed of the replicas.
//
// Reads the roster from the store at the start and when no replica answers, and
// introduces this entry to one replica every few seconds: that keeps the
// entry's record on the board, brings newer rosters, and shows that a replica
// can be reached. Used on the loop of `io` only.
#ifndef THORNPLANK_REPLICAS_REPLICA_FINDER_H_
#define THORNPLANK_REPLICAS_REPLICA_FINDER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "coordination/record_store.h"
#include "replicas/entry_calls.h"
#include "replicas/entry_role.h"
#include "replicas/replica_selector.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct ReplicaFinderSettings {
  Partition board;
  // This entry and its preference for leadership.
  ReplicaAddress entry;
  double rank = 0;
  // Between two introductions.
  Milliseconds interval{5000};
  Milliseconds answer_timeout{300};
  Milliseconds store_timeout{900};
  // Delay after a round in which no replica has answered. The next round asks
  // only a few of them, since all gateways do the same.
  Milliseconds round_delay{150};
  size_t replicas_per_retry = 2;
  // Least time between two reads of the roster. Doubled by each further one, up
  // to a limit that grows with the number of entries: what they ask the store
  // together stays bounded.
  Milliseconds initial_retry_delay{150};
  Milliseconds min_longest_delay{600};
  // Delay between two reads while the store holds no roster.
  Milliseconds no_roster_delay{100};
  std::chrono::microseconds longest_delay_per_entry{1500};
  uint32_t seed = 0;
};

class ReplicaFinder {
 public:
  struct Handlers {
    std::function<void(const ReplicaRoster&)> on_roster;
    // The store holds no roster.
    std::function<void()> on_no_roster;
    std::function<void()> on_answered;
    // None of the replicas has answered.
    std::function<void()> on_silent;
  };

  // `role` and `selector` tell what is known so far. All must outlive this
  // object.
  ReplicaFinder(boost::asio::io_context& io, RecordStore& store,
                EntryCalls& calls, const EntryRole& role,
                ReplicaSelector& selector, ReplicaFinderSettings settings,
                Handlers handlers);
  ~ReplicaFinder();

  void Start();
  // Introduces this entry now, for example after calls without an answer.
  void Hurry();
  // Whether the last read of the roster failed.
  bool store_unreachable() const { return store_unreachable_; }

 private:
  void ReadRoster();
  void OnRosterPage(const NewestPage& page);
  void BeginRound();
  // Asks the next replica of the round.
  void AskNext();
  void OnAnswer(const std::string& address, Time sent,
                const std::optional<IntroductionAnswer>& answer);
  // After a read that failed, or a round without an answer.
  void RetryLater();
  Milliseconds NextRetryDelay();
  void RunAfter(Milliseconds delay, std::function<void()> action);

  RecordStore& store_;
  EntryCalls& calls_;
  const EntryRole& role_;
  ReplicaSelector& selector_;
  const ReplicaFinderSettings settings_;
  const Handlers handlers_;
  boost::asio::steady_timer timer_;
  std::minstd_rand random_;
  // Replicas of this round that were not asked yet, in reverse order.
  std::vector<std::string> to_ask_;
  // A read or a round is under way.
  bool busy_ = false;
  bool store_unreachable_ = false;
  // The last round had no answer.
  bool silent_ = false;
  Milliseconds retry_delay_{0};
  Time next_roster_read_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_REPLICA_FINDER_H_
