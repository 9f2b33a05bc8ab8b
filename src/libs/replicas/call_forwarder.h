// Forwards the calls of this entry's callers to replicas.
//
// Every call may be repeated: a job is submitted once whatever the number of
// attempts. So a replica that cannot serve the call is followed by the next,
// and one that takes unusually long is not waited for. A change is sent to
// another replica only if the first one no longer answers or has lost the
// store: where the store itself is slow, each attempt would add to its load.
// While the replicas are being replaced or restarted, a call waits for a moment
// and is tried again, which is sooner than its caller would come back. A call
// is refused only if no attempt can have been stored; otherwise its outcome is
// unknown (504). Used on the loop of `io` only.
#ifndef THORNPLANK_REPLICAS_CALL_FORWARDER_H_
#define THORNPLANK_REPLICAS_CALL_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"
#include "coordination/formats.h"
#include "metrics/metrics_registry.h"
#include "net/http_server.h"
#include "reachability/entry_client_interface.h"
#include "replicas/entry_calls.h"
#include "replicas/replica_selector.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct CallForwarderSettings {
  // Replicas that are asked for one call.
  size_t max_attempts = 3;
  // The response is sent this long before the caller's time-out.
  Milliseconds response_margin{40};
  // For a caller that states no time-out.
  Milliseconds default_timeout{3000};
  // A call that no replica can serve is tried again after this delay, until
  // `max_hold` after it came. At most `max_held` calls wait at a time.
  Milliseconds hold_delay{100};
  Milliseconds max_hold{800};
  size_t max_held = 256;
  // Value of Retry-After when no replica answers.
  std::chrono::seconds retry_after{1};
  // A replica that has a change is asked whether it still works: how long the
  // answer may take, how long ago it may have read the store, and the time
  // between two questions.
  Milliseconds check_timeout{150};
  Milliseconds max_store_age{1200};
  Milliseconds check_interval{300};
};

class CallForwarder {
 public:
  struct Handlers {
    // A replica has answered a call.
    std::function<void()> on_answered;
    // None of the replicas that were asked has answered.
    std::function<void()> on_silent;
    // Whether this entry is cut off from the others, so that a caller should
    // try another entry at once.
    std::function<bool()> is_isolated;
  };

  // `calls`, `checks`, `formats` and `selector` must outlive this object.
  CallForwarder(boost::asio::io_context& io, EntryCalls& calls,
                EntryClientInterface& checks, const Formats& formats,
                ReplicaSelector& selector, CallForwarderSettings settings,
                Handlers handlers, MetricsRegistry& metrics);
  ~CallForwarder();

  void Forward(HttpRequest request, HttpServer::Responder respond);

 private:
  struct Call;

  void Attempt(const std::shared_ptr<Call>& call);
  // Asks another replica as well if the last one takes unusually long.
  void ScheduleHedge(const std::shared_ptr<Call>& call, Milliseconds delay);
  void Hedge(const std::shared_ptr<Call>& call);
  void OnResult(const std::shared_ptr<Call>& call, size_t attempt,
                ForwardResult result);
  void OnAnswer(const std::shared_ptr<Call>& call, CallAnswer answer);
  // To be called when an attempt did not settle the call.
  void Continue(const std::shared_ptr<Call>& call);
  // Asks the replicas in the order that is best now.
  void BeginRound(const std::shared_ptr<Call>& call);
  bool MayHold(const Call& call) const;
  void Hold(const std::shared_ptr<Call>& call);
  void Finish(const std::shared_ptr<Call>& call, HttpResponse response);
  HttpResponse Unserved(const Call& call) const;
  void LogCall(const Call& call, int status) const;

  boost::asio::io_context& io_;
  EntryCalls& calls_;
  EntryClientInterface& checks_;
  const Formats& formats_;
  ReplicaSelector& selector_;
  const CallForwarderSettings settings_;
  const Handlers handlers_;
  MetricsRegistry& metrics_;
  Histogram& latency_;
  // The newest version of the configuration that has decided on a call.
  int64_t newest_configuration_ = 0;
  size_t held_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_CALL_FORWARDER_H_
