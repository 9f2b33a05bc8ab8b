// Answers callers: submissions, states, cancellations, queue lengths.
//
// A submission is accepted once it is stored in the board; who leads does not
// matter for it. A refusal is said only of what was certainly not stored.
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
#include "coordination/record_tail.h"
#include "metrics/metrics_registry.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace thornplank {

struct CallerServiceSettings {
  Partition board;
  // A configuration that was confirmed longer ago may have lost keys since, so
  // calls with a key are refused. Below the bound on revocation (5 s).
  Milliseconds max_configuration_age{4200};
  // Without the store for this long a call is refused at once. The board is
  // read twice a second, and an answer of a slowed store takes 0.3 s.
  Milliseconds max_store_age{1500};
  // One append. A lost answer is settled by repeating it, which is idempotent.
  Milliseconds append_timeout{650};
  int max_append_attempts = 2;
  Milliseconds append_retry_delay{40};
  // The answer is on its way this long before the caller gives up.
  Milliseconds response_margin{60};
  // The last look before a job is said not to exist.
  Milliseconds catch_up_timeout{500};
  // A job that has not ended is looked up again when the view is older: callers
  // wait for its end, and followers read the board only twice a second.
  Milliseconds max_state_age{60};
  // Beside the time that the store takes to answer.
  Milliseconds refresh_timeout{300};
  // When a refused caller may come back; at once where the store serves other
  // entries, since the next try reaches another one.
  std::chrono::seconds retry_after{1};
};

class CallerService {
 public:
  struct Dependencies {
    // Null before the first configuration.
    std::function<const ServingConfiguration*()> configuration;
    std::function<BootTime()> configuration_as_of;
    const JobBoard* board = nullptr;
    RecordTail* board_tail = nullptr;
    // Whether this entry has lost the store and another one is served by it.
    std::function<bool()> served_elsewhere;
  };

  // A final answer to a call that is not served.
  struct Refusal {
    int status = 0;
    const char* cause = "";
    const char* text = "";
  };

  CallerService(boost::asio::io_context& io, RecordStore& store,
                const Formats& formats, CallerServiceSettings settings,
                Dependencies dependencies, MetricsRegistry& metrics);
  ~CallerService();

  void Handle(HttpRequest request, HttpServer::Responder respond);
  // Of CallerServiceSettings, for calls from now on.
  void set_max_configuration_age(Milliseconds age) {
    settings_.max_configuration_age = age;
  }
  // Whether callers should be sent here.
  bool ready() const;

 private:
  struct Call;
  using AppendDone = std::function<void(StoreOutcome, const Error&)>;

  bool IsStoreFresh() const;
  // Refuses the call when another entry would serve it.
  bool RefuseIfServedElsewhere(const std::shared_ptr<Call>& call);
  void Submit(const std::shared_ptr<Call>& call);
  void AnswerState(const std::shared_ptr<Call>& call, bool caught_up);
  bool IsStateStale() const;
  void RefreshState(const std::shared_ptr<Call>& call);
  void Cancel(const std::shared_ptr<Call>& call, bool caught_up);
  void AnswerQueueLength(const std::shared_ptr<Call>& call);
  void CatchUp(const std::shared_ptr<Call>& call,
               void (CallerService::*then)(const std::shared_ptr<Call>&, bool));
  // Stores one record; `done` gets kStored, kRefused (not stored) or kUnknown.
  void Append(KeyedRecord record, Time deadline, AppendDone done);
  void TryAppend(const std::shared_ptr<AppendRequest>& request, Time deadline,
                 int attempts_left, bool may_be_stored, AppendDone done);
  void RefuseUnstored(const std::shared_ptr<Call>& call, StoreOutcome outcome,
                      const Error& error);
  // `detail` stands for the refusal's own text where there is more to say.
  void Refuse(const std::shared_ptr<Call>& call, const Refusal& refusal,
              const std::string& detail = "");
  void Respond(const std::shared_ptr<Call>& call, HttpResponse response);

  boost::asio::io_context& io_;
  RecordStore& store_;
  const Formats& formats_;
  CallerServiceSettings settings_;
  const Dependencies dependencies_;
  MetricsRegistry& metrics_;
  Counter& accepted_;
  Counter& cancelled_;
  Histogram& acknowledgement_time_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_CALLER_SERVICE_H_
