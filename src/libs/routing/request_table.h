// The requests that the router currently handles, with their timers.
#ifndef THORNPLANK_ROUTING_REQUEST_TABLE_H_
#define THORNPLANK_ROUTING_REQUEST_TABLE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "routing/routing_types.h"

namespace thornplank {

struct RoutedRequest {
  enum class Phase {
    kQueued,
    kInFlight,
    // The final action was emitted while an attempt is still in flight.
    kFinished,
  };

  RequestInfo info;
  // Number assigned by the table; identifies the request in queues and timers.
  uint64_t handle = 0;
  Phase phase = Phase::kQueued;
  // Ended attempts that the executor did not refuse.
  int tries = 0;
  // Attempts that ended as kRefusedNotRun.
  int refusals = 0;
  // Whether the executor may have run the request in an ended attempt.
  bool may_have_run = false;
  bool caller_gone = false;
  Time queued_at;
  // These describe the current or the last attempt.
  std::string executor;
  uint64_t executor_generation = 0;
  Time attempt_start;
  Time attempt_deadline;
  double charged_seconds = 0;  // see FairQueue::BeginAttempt
  std::optional<Time> timer;

  int attempts() const { return tries + refusals; }
};

class RequestTable {
 public:
  // Null when a request with this id is in the table.
  RoutedRequest* Add(const RequestInfo& info);
  // Null when there is none with this id.
  RoutedRequest* Find(const std::string& id);
  // Precondition: a request with this handle is in the table.
  RoutedRequest* ByHandle(uint64_t handle) { return by_handle_.at(handle); }
  void Erase(RoutedRequest* request);

  void SetTimer(RoutedRequest* request, std::optional<Time> time);
  // The request with the earliest timer when that is at or before `now`, else
  // null.
  RoutedRequest* FirstDue(Time now);
  std::optional<Time> NextTimer() const;

 private:
  // Pointers to the values stay valid when other requests are added or erased.
  std::unordered_map<std::string, RoutedRequest> by_id_;
  // Holds exactly the requests of by_id_.
  std::unordered_map<uint64_t, RoutedRequest*> by_handle_;
  // Timer and handle of exactly those requests whose `timer` is set.
  std::set<std::pair<Time, uint64_t>> timers_;
  uint64_t last_handle_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_REQUEST_TABLE_H_
