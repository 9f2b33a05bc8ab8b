// Keeps the roster of replicas while this entry leads: asks replicas and
// candidates whether they live, and writes a new roster when the appointer
// wants another one. Used on the loop of `io` only.
#ifndef THORNPLANK_REPLICAS_REPLICA_MANAGER_H_
#define THORNPLANK_REPLICAS_REPLICA_MANAGER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "coordination/job_board.h"
#include "replicas/entry_calls.h"
#include "replicas/replica_appointer.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct ReplicaManagerSettings {
  ReplicaAppointerSettings appointer;
  // This entry.
  ReplicaAddress own;
  // Between two checks whether the roster must be written, and between two
  // questions to the entries.
  Milliseconds tick_interval{50};
  Milliseconds interval{500};
  Milliseconds answer_timeout{400};
  // Least time between two rosters. Where there was none, entries become known
  // one after the other in the first seconds.
  Milliseconds min_write_interval{1000};
};

class ReplicaManager {
 public:
  struct Dependencies {
    const JobBoard* board = nullptr;
    // The epoch in which this entry leads; 0 if it does not.
    std::function<int64_t()> leading_epoch;
    // Stores a record of the leader.
    std::function<void(KeyedRecord)> write;
  };

  ReplicaManager(boost::asio::io_context& io, EntryCalls& calls,
                 ReplicaManagerSettings settings, Dependencies dependencies);
  ~ReplicaManager();

  void Start();

 private:
  void OnTick();
  void AskEntries(Time now);
  ReplicaRoster NextRoster(Time now) const;
  // The first roster of this leader's epoch.
  void WriteFirst(int64_t epoch, Time now);
  void WriteIfChanged(Time now);
  void Write(const ReplicaRoster& roster, Time now);

  EntryCalls& calls_;
  const ReplicaManagerSettings settings_;
  const Dependencies dependencies_;
  ReplicaAppointer appointer_;
  boost::asio::steady_timer timer_;
  // The last one that this entry wrote.
  std::optional<ReplicaRoster> written_;
  Time last_write_{};
  Time last_question_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_REPLICA_MANAGER_H_
