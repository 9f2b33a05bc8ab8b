// The requests that the router handles at present, with their timers.
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
    // The final action is out while an attempt is still in flight.
    kFinished,
  };

  RequestInfo info;
  uint64_t handle = 0;
  Phase phase = Phase::kQueued;
  // Attempts that were not refused, and those that were.
  int tries = 0;
  int refusals = 0;
  // Whether an attempt that has ended may have run.
  bool may_have_run = false;
  bool caller_gone = false;
  Time queued_at;
  // Of the current or the last attempt.
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
  // Null when the id is taken.
  RoutedRequest* Add(const RequestInfo& info);
  // Null when unknown.
  RoutedRequest* Find(const std::string& id);
  // Precondition: the handle is of a request in the table.
  RoutedRequest* ByHandle(uint64_t handle) { return by_handle_.at(handle); }
  void Erase(RoutedRequest* request);

  void SetTimer(RoutedRequest* request, std::optional<Time> time);
  // A request whose timer is at or before `now`; null when there is none.
  RoutedRequest* FirstDue(Time now);
  std::optional<Time> NextTimer() const;

 private:
  // Pointers to the values stay valid while other requests come and go.
  std::unordered_map<std::string, RoutedRequest> by_id_;
  // Exactly the requests of by_id_.
  std::unordered_map<uint64_t, RoutedRequest*> by_handle_;
  // Exactly the requests whose `timer` is set.
  std::set<std::pair<Time, uint64_t>> timers_;
  uint64_t last_handle_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_REQUEST_TABLE_H_
