// The carrier of requests: callers on one side, executors on the other, the
// claim stream and the other entries in between.
//
// Decisions are made by RequestRouter (which executor, when) and ClaimFlow
// (whether a non-idempotent request may be sent at all). This class holds the
// router under one mutex, collects the actions of each event under the lock
// and carries them out after it.
#ifndef THORNPLANK_REQUESTS_REQUEST_MANAGER_H_
#define THORNPLANK_REQUESTS_REQUEST_MANAGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "claims/claim_record.h"
#include "platform/stream_follower.h"
#include "platform/stream_writer.h"
#include "routing/routing_types.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

class ApiRouter;
class HttpClient;
class LogClient;
class MetricsRegistry;
class PeerMesh;

// Eight entries then use 320 of the log's appends a second at most, out of
// several hundred that the whole service has.
inline StreamWriterSettings DefaultClaimWriter() {
  StreamWriterSettings settings;
  settings.min_interval = Milliseconds(25);
  return settings;
}

struct RequestManagerSettings {
  // This entry's instance name, and an id that is new at each start.
  ClaimHolder self;
  std::string failure_domain;
  uint64_t seed = 1;
  // Used when a caller names no deadline, and the longest one it may name.
  Milliseconds default_deadline{10000};
  Milliseconds max_deadline{120000};
  // Larger request bodies are refused with 413.
  size_t max_request_bytes = 4 * 1024 * 1024;
  size_t max_idempotency_key_bytes = 256;

  // How long an idempotency key is remembered after the caller made it.
  Milliseconds claim_window{15 * 60 * 1000};
  // Keys whose time lies further ahead of this entry's clock are refused.
  Milliseconds max_key_time_ahead{60000};
  // The largest difference assumed between the clocks of callers, entries and
  // the log service.
  Milliseconds clock_margin{30000};
  // The log counts as down when no read has succeeded for this long.
  Milliseconds claim_log_silence{6000};
  size_t max_claim_keys = 1000000;
  // Bounds on the answers held for repeats of a key.
  size_t max_held_answer_bytes = 32 * 1024 * 1024;
  Milliseconds max_held_answer_age{5 * 60 * 1000};
  StreamWriterSettings claim_writer = DefaultClaimWriter();
  // How long the record of an answer may wait to travel with a claim.
  Milliseconds done_linger{100};
  StreamFollowerSettings claim_follower;

  // How often this entry's demand is looked at, and sent even if unchanged.
  Milliseconds demand_interval{100};
  Milliseconds demand_refresh{1000};
};

class RequestManager {
 public:
  // `mesh` may be null: then no peer is asked and no demand exchanged. Sets
  // its handlers on `mesh`, which must not have been started yet. The
  // references must outlive this object.
  RequestManager(boost::asio::io_context& io, HttpClient& http, PeerMesh* mesh,
                 LogClient& log, MetricsRegistry& metrics,
                 RequestManagerSettings settings);
  ~RequestManager();
  RequestManager(const RequestManager&) = delete;
  RequestManager& operator=(const RequestManager&) = delete;

  // Adds POST /v1/services/{service}/requests.
  void RegisterRoutes(ApiRouter& router);

  // Starts to follow the claim stream and to exchange demand.
  void Start();
  // Stops timers and the follower. Requests in flight are not answered any
  // more; call Drain first.
  void Stop();

  void SetAccounts(const std::vector<AccountLimits>& accounts);
  void SetExecutors(const std::vector<ExecutorInfo>& executors);
  // The entries that take requests now: slots are shared between them.
  void SetLiveEntries(const std::vector<std::string>& names);
  // The entries that may still answer for the claims they hold, also while
  // they join, leave or are suspected. Asking in vain costs a timeout; not
  // asking would turn an answer into "unknown".
  void SetReachableEntries(const std::vector<ClaimHolder>& entries);

  // Calls `done` once, when no request is in flight and no claim record waits
  // to be appended. New requests are still served: the HTTP server decides
  // when none arrive any more.
  void Drain(std::function<void()> done);

  // Requests of callers that have no answer yet.
  size_t in_flight() const;
  // True from the moment at which the claim stream was first read to its end.
  bool claims_ready() const;
  // The offset of the claim stream that comes next.
  int64_t next_claims_offset() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_REQUEST_MANAGER_H_
