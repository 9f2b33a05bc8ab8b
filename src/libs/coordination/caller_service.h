// Serves the job API: submission, state and cancellation of jobs, and the
// lengths of queues. A caller is a client of this API.
//
// A submission is accepted once it is stored on the board, whichever entry
// leads. A submission or cancellation is refused only if it was certainly not
// stored; otherwise the answer says that the outcome is unknown (504). A
// cancellation of an unknown job is stored too, so that its answer also holds
// for a submission that is stored later: that is refused and never runs.
//
// Used on one loop only.
#ifndef THORNPLANK_COORDINATION_CALLER_SERVICE_H_
#define THORNPLANK_COORDINATION_CALLER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/boot_clock.h"
#include "base/time.h"
#include "coordination/formats.h"
#include "coordination/job_board.h"
#include "coordination/record_appender.h"
#include "coordination/record_tail.h"
#include "metrics/metrics_registry.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace thornplank {

struct CallerServiceSettings {
  Partition board;
  StoreLimits store_limits;
  // With an older configuration calls that need a key are refused, since keys
  // may have been revoked meanwhile. Below the bound on revocation (5 s).
  Milliseconds max_configuration_age{4200};
  // If the board was last read longer ago, calls that need the store are
  // refused at once. The board is read twice a second, and a slow store takes
  // 0.3 s to answer.
  Milliseconds max_store_age{1500};
  // With an older configuration no call is answered by what is missing in it,
  // and no call of a gateway is served: a newer one may be in force. It is read
  // again first.
  Milliseconds max_unconfirmed_age{1200};
  // The response is sent this long before the caller's time-out.
  Milliseconds response_margin{60};
  // For a caller that states no time-out.
  Milliseconds default_timeout{3000};
  // For the read of the board that precedes the answer that a job is unknown.
  Milliseconds catch_up_timeout{500};
  // If the board was last read longer ago, it is read again before the state of
  // an unfinished job is returned: callers poll for the end of a job, and
  // followers read the board only twice a second.
  Milliseconds max_state_age{60};
  // For that read, in addition to a multiple of the latency of the store.
  Milliseconds refresh_timeout{300};
  // For the read of the board up to a submission that was stored, to see
  // whether it was cancelled before. Without it the submission counts as
  // accepted; its state then tells that it is cancelled.
  Milliseconds confirm_timeout{300};
  // Value of Retry-After. It is 0 when other entries can reach the store, since
  // the next attempt may go to one of them.
  std::chrono::seconds retry_after{1};
};

// A call that a gateway has forwarded for its caller.
struct ForwardedCall {
  HttpRequest request;
  // Until the caller's time-out.
  Milliseconds time_left{0};
  // The gateway has served calls by this version of the configuration; an older
  // one must not serve it any more.
  int64_t min_configuration = 0;
};

// The answer to a call.
struct CallAnswer {
  HttpResponse response;
  // Version of the configuration that decided; 0 before the first.
  int64_t configuration = 0;
  // The call was not served, and another replica may serve it.
  bool try_next = false;
  // The reason is that the replica has lost the store.
  bool store_lost = false;
};

class CallerService {
 public:
  using AnswerCallback = std::function<void(CallAnswer)>;

  struct Dependencies {
    // Returns null before the first configuration.
    std::function<const ServingConfiguration*()> configuration;
    std::function<BootTime()> configuration_as_of;
    // Reads the configuration at once. The callback gets whether all that was
    // stored before was read.
    std::function<void(std::function<void(bool)>)> refresh_configuration;
    const JobBoard* board = nullptr;
    RecordTail* board_tail = nullptr;
    // Whether this entry has lost the store while another entry can reach it.
    std::function<bool()> served_elsewhere;
  };

  // The response to a call that is not served.
  struct Refusal {
    // Of HTTP.
    int status = 0;
    // Label of the metric.
    const char* cause = "";
    // For the caller and the log.
    const char* text = "";
    // It concerns this entry alone: another replica may serve the call.
    bool only_here = false;
    // The detail is for the log alone; the caller is told `text`.
    bool detail_is_private = false;
  };

  CallerService(boost::asio::io_context& io, RecordStore& store,
                const Formats& formats, CallerServiceSettings settings,
                Dependencies dependencies, MetricsRegistry& metrics);
  ~CallerService();

  // A call of a caller of this entry.
  void Handle(HttpRequest request, HttpServer::Responder respond);
  void HandleForwarded(ForwardedCall forwarded, AnswerCallback answer);
  // Changes CallerServiceSettings::max_configuration_age for later calls.
  void set_max_configuration_age(Milliseconds age) {
    settings_.max_configuration_age = age;
  }
  // Whether callers should be routed to this entry.
  bool ready() const;

 private:
  struct Call;

  bool IsStoreFresh() const;
  void Begin(const std::shared_ptr<Call>& call);
  // Finds the queue and the accounts by the configuration. `confirmed`: the
  // configuration was read for this call.
  void Route(const std::shared_ptr<Call>& call, bool confirmed);
  bool NeedsConfirmation(const Call& call,
                         const ServingConfiguration& configuration) const;
  void ConfirmConfiguration(const std::shared_ptr<Call>& call);
  // Sets the accounts of a call whose key is valid; returns the reason to
  // refuse any other call.
  const Refusal* FindAccounts(const std::shared_ptr<Call>& call,
                              const ServingConfiguration& configuration) const;
  void Serve(const std::shared_ptr<Call>& call, size_t max_body_bytes);
  // Refuses the call and returns true if only another entry can serve it.
  bool RefuseIfServedElsewhere(const std::shared_ptr<Call>& call);
  // The job that the call names. Null if it is unknown or of another account.
  const BoardJob* FindJob(const Call& call) const;
  // Returns whether the job is another account's; logs and counts the call
  // then.
  bool ReportForeignJob(const Call& call);
  // The answer for an unknown job and for another account's.
  void RefuseUnknownJob(const std::shared_ptr<Call>& call);
  void Submit(const std::shared_ptr<Call>& call);
  // The submission is stored: answers once the board was read up to it.
  void ConfirmSubmission(const std::shared_ptr<Call>& call,
                         Milliseconds objective);
  void RefuseCancelled(const std::shared_ptr<Call>& call);
  void AnswerState(const std::shared_ptr<Call>& call, bool caught_up);
  bool IsStateStale() const;
  void RefreshState(const std::shared_ptr<Call>& call);
  void Cancel(const std::shared_ptr<Call>& call, bool caught_up);
  void CancelUnknown(const std::shared_ptr<Call>& call);
  void AnswerQueueLength(const std::shared_ptr<Call>& call);
  void CatchUp(const std::shared_ptr<Call>& call,
               void (CallerService::*then)(const std::shared_ptr<Call>&, bool));
  // When the response must be sent.
  Time ResponseDeadline(const Call& call) const;
  void RefuseUnstored(const std::shared_ptr<Call>& call, StoreOutcome outcome,
                      const Error& error);
  // `detail` replaces the text of the refusal unless it is empty, and
  // `retry_after` the usual value.
  void Refuse(const std::shared_ptr<Call>& call, const Refusal& refusal,
              const std::string& detail = "",
              std::optional<std::chrono::seconds> retry_after = std::nullopt);
  // `refusal` is null for a call that was served.
  void Respond(const std::shared_ptr<Call>& call, HttpResponse response,
               const Refusal* refusal = nullptr);

  const Formats& formats_;
  CallerServiceSettings settings_;
  const Dependencies dependencies_;
  RecordAppender submissions_;
  // Apart from the submissions, so that a cancellation does not wait for an
  // append of a submission that the store does not answer.
  RecordAppender cancellations_;
  MetricsRegistry& metrics_;
  Counter& accepted_;
  Counter& cancelled_;
  Counter& unknown_cancelled_;
  Histogram& acknowledgement_time_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_CALLER_SERVICE_H_
