// Follows the stream in which workers list themselves.
//
// Reading it begins while leadership is still being claimed, since a snapshot
// of thousands of workers takes longer than the claim. What has been read by
// then is kept, and passed on once the fleet exists.
//
// Used on the loop of `io` only.
#ifndef THORNPLANK_COORDINATION_WORKER_DIRECTORY_H_
#define THORNPLANK_COORDINATION_WORKER_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "coordination/record_tail.h"
#include "coordination/stream_reachability.h"
#include "coordination/worker_fleet.h"

namespace thornplank {

class WorkerDirectory {
 public:
  WorkerDirectory(boost::asio::io_context& io, RecordStore& store,
                  RecordTailSettings settings);

  // Passes on what has been read and what will be read. `fleet` must outlive
  // this object.
  void Attach(WorkerFleet* fleet);
  // Whether all workers that are listed are known.
  bool has_snapshot() const { return tail_.has_snapshot(); }
  // When the last read that reached the end of the directory began.
  BootTime as_of() const { return tail_.as_of(); }
  // See RecordTail.
  Duration latency() const { return tail_.latency(); }
  void RetryIfLost(Milliseconds timeout) { tail_.RetryIfLost(timeout); }
  void CatchUp(Milliseconds timeout, std::function<void(bool)> done) {
    tail_.CatchUp(timeout, std::move(done));
  }

 private:
  RecordTail::Handlers MakeHandlers();
  void OnRecord(const KeyedRecord& record);
  void OnSnapshot(const std::set<std::string>& ids);
  void OnCaughtUp();

  // Null until Attach.
  WorkerFleet* fleet_ = nullptr;
  // Newest record of each worker; empty once a fleet is attached.
  std::map<std::string, KeyedRecord> kept_;
  // When the end of the stream was last read, before a fleet was attached.
  std::optional<Time> caught_up_at_;
  // A read has failed before the first one succeeded.
  bool lost_at_first_ = false;
  StreamReachability reachability_{"directory"};
  // Last, so that no handler runs after the other members are gone.
  RecordTail tail_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_WORKER_DIRECTORY_H_
