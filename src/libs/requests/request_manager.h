// Handles the requests of callers: forwards them to executors and returns the
// answers.
//
// RequestRouter decides which executor gets a request and when; ClaimManager
// decides whether a non-idempotent request may be sent at all. The router runs
// under one mutex in RequestDispatcher, which collects the actions of each
// event while it holds the lock and executes them after releasing it.
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

// With this interval eight entries make at most 320 appends per second, out of
// the several hundred that the log service can take in all.
inline StreamWriterSettings DefaultClaimWriterSettings() {
  StreamWriterSettings settings;
  settings.min_interval = Milliseconds(25);
  return settings;
}

struct RequestManagerSettings {
  // This entry's instance name, and an id that is new at each process start.
  ClaimHolder self;
  std::string failure_domain;
  uint64_t seed = 1;
  // Used when the caller sets no deadline, and the longest one it may set.
  Milliseconds default_deadline{10000};
  Milliseconds max_deadline{120000};
  // Larger request bodies are refused with 413.
  size_t max_request_bytes = 4 * 1024 * 1024;
  size_t max_idempotency_key_bytes = 256;

  // How long an idempotency key is remembered after its creation by the caller.
  Milliseconds claim_window{15 * 60 * 1000};
  // Keys whose creation time is further ahead of this entry's clock are
  // refused.
  Milliseconds max_key_time_ahead{60000};
  // The largest assumed difference between the clocks of callers, entries and
  // the log service.
  Milliseconds max_clock_skew{30000};
  // The log is considered down when no read has succeeded for this long.
  Milliseconds claim_log_timeout{6000};
  size_t max_claim_keys = 1000000;
  // Limits of the cache of answers that are returned for repeats of a key.
  size_t max_cached_answer_bytes = 32 * 1024 * 1024;
  Milliseconds max_cached_answer_age{5 * 60 * 1000};
  StreamWriterSettings claim_writer = DefaultClaimWriterSettings();
  // How long a "done" record may wait for a claim record to be appended in the
  // same batch.
  Milliseconds max_done_record_delay{100};
  StreamFollowerSettings claim_follower;

  // This entry's demand is checked at every `demand_interval` and sent to the
  // other entries when it has changed, or when it was last sent
  // `demand_refresh_interval` ago.
  Milliseconds demand_interval{100};
  Milliseconds demand_refresh_interval{1000};
};

class RequestManager {
 public:
  // With a null `mesh`, no peer is queried and no demand is exchanged. The
  // constructor registers handlers on `mesh`, which must not have been started
  // yet. All arguments passed by reference, and `mesh`, must outlive this
  // object.
  RequestManager(boost::asio::io_context& io, HttpClient& http, PeerMesh* mesh,
                 LogClient& log, MetricsRegistry& metrics,
                 RequestManagerSettings settings);
  ~RequestManager();
  RequestManager(const RequestManager&) = delete;
  RequestManager& operator=(const RequestManager&) = delete;

  // Adds POST /v1/services/{service}/requests.
  void RegisterRoutes(ApiRouter& router);

  // Starts following the claim stream and exchanging demand.
  void Start();
  // Stops the timers and the follower of the claim stream. Requests still in
  // flight may remain unanswered; call Drain first.
  void Stop();

  void SetAccounts(const std::vector<AccountLimits>& accounts);
  void SetExecutors(const std::vector<ExecutorInfo>& executors);
  // The entries that currently accept requests; the executors' slots are
  // shared among them.
  void SetLiveEntries(const std::vector<std::string>& names);
  // The entries that may still answer queries about the claims they hold,
  // including those that are joining, leaving or suspect. A query to a dead
  // entry costs a timeout, but without the query an available answer would be
  // reported as "unknown".
  void SetReachableEntries(const std::vector<ClaimHolder>& entries);

  // Calls `done` once, when no request is in flight and no claim record is
  // waiting to be appended; the wait for claim records is bounded, as the log
  // may be down. Requests that arrive meanwhile are still served: the HTTP
  // server is responsible for accepting no more of them.
  void Drain(std::function<void()> done);

  // Number of callers' requests that have not been answered.
  size_t in_flight() const;
  // True once the claim stream has been read to its end for the first time.
  bool claims_ready() const;
  // Offset of the next record to read from the claim stream.
  int64_t next_claims_offset() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_REQUEST_MANAGER_H_
