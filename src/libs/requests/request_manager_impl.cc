// Handling of a caller's request, and draining at shutdown.
#include "requests/request_manager_impl.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "logging/events/claims_events.h"
#include "protocol/peer_mesh.h"

namespace thornplank {
namespace {

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kGatewayTimeout = 504;
// A starting entry receives the settings and the executors within seconds.
constexpr Duration kRetryAfterNotReady = std::chrono::seconds(1);
constexpr Duration kDrainCheckInterval = Milliseconds(20);
// While the log is down, the last claim records may never be appended; draining
// then stops waiting for them.
constexpr Duration kMaxDrainForClaimRecords = std::chrono::seconds(3);

CallerRequestLimits ToLimits(const RequestManagerSettings& settings) {
  return {settings.default_deadline, settings.max_deadline,
          settings.max_request_bytes, settings.max_idempotency_key_bytes};
}

RequestFault ToFault(const ClaimVerdict& verdict) {
  if (verdict.refusal == ClaimRefusal::kBodyDiffers) {
    return {kUnprocessable, "Idempotency key used before", verdict.reason};
  }
  return {kBadRequest, "Bad idempotency key time", verdict.reason};
}

}  // namespace

void RequestManager::Impl::Connect() {
  const std::weak_ptr<Impl> weak = weak_from_this();
  metrics_.AddGauge("thornplank_requests_in_flight",
                    "Requests of callers without an answer yet.", {}, [weak] {
                      auto self = weak.lock();
                      return self ? static_cast<double>(self->in_flight()) : 0;
                    });
  if (mesh_ == nullptr) return;
  demand_ = std::make_unique<DemandExchange>(
      io_, *mesh_, settings_.demand_interval, settings_.demand_refresh_interval,
      [weak] {
        auto self = weak.lock();
        return self ? self->dispatcher_.demand() : PeerDemand{};
      },
      [weak](const PeerDemand& demand) {
        if (auto self = weak.lock()) self->dispatcher_.SetPeerDemand(demand);
      });
}

void RequestManager::Impl::Handle(const HttpRequest& request,
                                  const Caller& caller,
                                  const PathParameters& parameters,
                                  HttpServer::Responder respond) {
  auto exchange = std::make_shared<Exchange>();
  exchange->id = BeginRequest();
  exchange->arrival = std::chrono::steady_clock::now();
  exchange->respond = std::move(respond);
  const auto service = parameters.find("service");
  const std::string missing = DescribeMissingState();
  RequestFault fault;
  auto parsed = ReadRequest(request, caller,
                            service == parameters.end() ? "" : service->second,
                            /*names_known=*/missing.empty(), &fault);
  if (!parsed) {
    Refuse(exchange, fault);
    return;
  }
  exchange->request = std::move(*parsed);
  if (!missing.empty()) {
    RefuseUntilReady(exchange, missing);
    return;
  }
  exchange->deadline = exchange->arrival + exchange->request.time_allowed;
  if (exchange->request.idempotent()) {
    Submit(exchange);
  } else {
    AcquireClaim(exchange);
  }
}

std::optional<CallerRequest> RequestManager::Impl::ReadRequest(
    const HttpRequest& request, const Caller& caller,
    const std::string& service, bool names_known, RequestFault* fault) const {
  if (caller.role == Role::kViewer) {
    *fault = {kForbidden, "Not allowed", "a viewer may not send requests"};
    return std::nullopt;
  }
  std::optional<RequestFault> name_fault;
  if (names_known) name_fault = CheckNames(caller.account, service);
  if (name_fault) {
    *fault = std::move(*name_fault);
    return std::nullopt;
  }
  return ReadCallerRequest(request, caller.account, service,
                           ToLimits(settings_), fault);
}

// While state is missing, an unknown account or service name does not mean that
// the request is invalid.
std::string RequestManager::Impl::DescribeMissingState() const {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!accounts_known_) return "the settings are not known here yet";
  if (services_.empty()) return "no executor is known here yet";
  return "";
}

std::optional<RequestFault> RequestManager::Impl::CheckNames(
    const std::string& account, const std::string& service) const {
  std::lock_guard<std::mutex> lock(mutex_);
  if (accounts_.count(account) == 0) {
    return RequestFault{kForbidden, "Unknown account",
                        "client account '" + account + "' is not declared"};
  }
  if (services_.count(service) == 0) {
    return RequestFault{kNotFound, "Unknown service",
                        "no service '" + service + "' has executors"};
  }
  return std::nullopt;
}

std::string RequestManager::Impl::BeginRequest() {
  std::lock_guard<std::mutex> lock(mutex_);
  ++unanswered_requests_;
  return settings_.self.entry + "-" + settings_.self.incarnation + "-" +
         std::to_string(next_request_number_++);
}

void RequestManager::Impl::AcquireClaim(const ExchangePtr& exchange) {
  auto check_admission = [self = shared_from_this(), exchange] {
    return self->dispatcher_.CheckAdmission(exchange->id, exchange->request,
                                            exchange->deadline);
  };
  claims_.Acquire(exchange->request, exchange->deadline,
                  std::move(check_admission),
                  [self = shared_from_this(), exchange](ClaimVerdict verdict) {
                    self->HandleVerdict(exchange, std::move(verdict));
                  });
}

void RequestManager::Impl::HandleVerdict(const ExchangePtr& exchange,
                                         ClaimVerdict verdict) {
  switch (verdict.kind) {
    case ClaimVerdictKind::kSend:
      exchange->claim_id = verdict.claim_id;
      Submit(exchange);
      return;
    case ClaimVerdictKind::kAnswered:
      Respond(exchange, AnsweredResponse(exchange->id, verdict.answer),
              kOutcomeAnswered);
      return;
    case ClaimVerdictKind::kNotRun:
      RefuseUnclaimed(exchange, verdict);
      return;
    case ClaimVerdictKind::kUnknown:
      Respond(exchange,
              UnknownResponse(exchange->id, kConflict, verdict.reason),
              kOutcomeUnknown);
      return;
    case ClaimVerdictKind::kFault:
      Refuse(exchange, ToFault(verdict));
      return;
  }
}

void RequestManager::Impl::RefuseUntilReady(const ExchangePtr& exchange,
                                            const std::string& reason) {
  if (exchange->request.idempotent()) {
    Respond(exchange, NotRunResponse(exchange->id, reason, kRetryAfterNotReady),
            kOutcomeNotRun);
    return;
  }
  ClaimVerdict verdict;
  verdict.kind = ClaimVerdictKind::kNotRun;
  verdict.reason = reason;
  verdict.retry_after = kRetryAfterNotReady;
  RefuseUnclaimed(exchange, verdict);
}

// The request itself was not sent. But if it repeats an earlier one, that one
// may have been sent: without a claim in the log this entry does not know.
void RequestManager::Impl::RefuseUnclaimed(const ExchangePtr& exchange,
                                           const ClaimVerdict& verdict) {
  HttpResponse not_run =
      NotRunResponse(exchange->id, verdict.reason, verdict.retry_after);
  if (!exchange->request.idempotency_key->repeat) {
    Respond(exchange, std::move(not_run), kOutcomeNotRun);
    return;
  }
  HttpResponse unknown = UnknownResponse(
      exchange->id, not_run.status,
      verdict.reason + "; an earlier request of the key may have run");
  unknown.headers.Set("Retry-After", not_run.headers.Value("Retry-After"));
  Respond(exchange, std::move(unknown), kOutcomeUnknown);
}

void RequestManager::Impl::Submit(const ExchangePtr& exchange) {
  Dispatch dispatch;
  dispatch.id = exchange->id;
  dispatch.request = std::move(exchange->request);
  dispatch.deadline = exchange->deadline;
  if (!exchange->claim_id.empty()) {
    dispatch.may_send = [self = shared_from_this(),
                         claim_id = exchange->claim_id,
                         deadline = exchange->deadline] {
      return std::chrono::steady_clock::now() < deadline &&
             self->claims_.MaySend(claim_id);
    };
  }
  dispatch.on_finished = [self = shared_from_this(),
                          exchange](DispatchResult result) {
    self->HandleResult(exchange, std::move(result));
  };
  dispatch.on_settled = [self = shared_from_this(), exchange](
                            const std::optional<UpstreamAnswer>& late_answer) {
    self->HandleSettled(exchange, late_answer);
  };
  dispatcher_.Submit(std::move(dispatch));
}

// The outcome of the claim is recorded before the caller is answered, so that
// no caller gets "not run" while the request could still be sent.
void RequestManager::Impl::HandleResult(const ExchangePtr& exchange,
                                        DispatchResult result) {
  const bool claimed = !exchange->claim_id.empty();
  exchange->outcome = result.outcome;
  switch (result.outcome) {
    case RequestOutcome::kAnswered:
      if (claimed) claims_.RecordAnswer(exchange->claim_id, result.answer);
      Respond(exchange, AnsweredResponse(exchange->id, result.answer),
              kOutcomeAnswered);
      return;
    case RequestOutcome::kNotRun:
      if (claimed) claims_.RecordNotSent(exchange->claim_id);
      Respond(exchange,
              NotRunResponse(exchange->id, result.reason, result.retry_after),
              kOutcomeNotRun);
      return;
    case RequestOutcome::kUnknown:
      Respond(exchange,
              UnknownResponse(exchange->id, kGatewayTimeout, result.reason),
              kOutcomeUnknown);
      return;
  }
}

void RequestManager::Impl::HandleSettled(
    const ExchangePtr& exchange,
    const std::optional<UpstreamAnswer>& late_answer) {
  if (exchange->claim_id.empty()) return;
  if (exchange->outcome != RequestOutcome::kUnknown) return;
  if (late_answer) {
    claims_.RecordAnswer(exchange->claim_id, *late_answer);
  } else {
    claims_.RecordUnknownOutcome(exchange->claim_id);
  }
}

void RequestManager::Impl::Refuse(const ExchangePtr& exchange,
                                  const RequestFault& fault) {
  LogEvent(events::kRequestFault, {{"request", exchange->id},
                                   {"status", fault.status},
                                   {"reason", fault.detail}});
  Respond(exchange, FaultResponse(exchange->id, fault), "refused");
}

void RequestManager::Impl::Respond(const ExchangePtr& exchange,
                                   HttpResponse response, const char* outcome) {
  metrics_
      .counter("thornplank_requests_total", "Requests by their outcome.",
               {{"outcome", outcome}})
      .Add();
  metrics_
      .summary("thornplank_request_duration_seconds",
               "From the arrival of a request to its answer.",
               {{"outcome", outcome}})
      .Observe(std::chrono::steady_clock::now() - exchange->arrival);
  HttpServer::Responder respond = std::move(exchange->respond);
  respond(std::move(response));
  std::lock_guard<std::mutex> lock(mutex_);
  --unanswered_requests_;
}

void RequestManager::Impl::Start() {
  claims_.Start();
  dispatcher_.Start();
  if (demand_) demand_->Start();
}

void RequestManager::Impl::Stop() {
  if (demand_) demand_->Stop();
  dispatcher_.Stop();
  claims_.Stop();
  std::lock_guard<std::mutex> lock(mutex_);
  drain_timer_.cancel();
}

void RequestManager::Impl::SetAccounts(
    const std::vector<AccountLimits>& accounts) {
  dispatcher_.SetAccounts(accounts);
  std::lock_guard<std::mutex> lock(mutex_);
  accounts_known_ = true;
  accounts_.clear();
  for (const AccountLimits& limits : accounts) {
    accounts_.insert(limits.account);
  }
}

void RequestManager::Impl::SetExecutors(
    const std::vector<ExecutorInfo>& executors) {
  dispatcher_.SetExecutors(executors);
  std::lock_guard<std::mutex> lock(mutex_);
  for (const ExecutorInfo& executor : executors) {
    services_.insert(executor.service);
  }
}

void RequestManager::Impl::SetLiveEntries(
    const std::vector<std::string>& names) {
  dispatcher_.SetPeers(settings_.self.entry, names);
}

void RequestManager::Impl::SetReachableEntries(
    const std::vector<ClaimHolder>& entries) {
  claims_.SetReachableEntries(entries);
}

void RequestManager::Impl::Drain(std::function<void()> done) {
  CheckDrained(std::chrono::steady_clock::now(), std::move(done));
}

void RequestManager::Impl::CheckDrained(Time idle_since,
                                        std::function<void()> done) {
  const Time now = std::chrono::steady_clock::now();
  const bool idle = in_flight() == 0 && dispatcher_.unsettled_count() == 0;
  const bool recorded = claims_.pending_records() == 0 ||
                        now >= idle_since + kMaxDrainForClaimRecords;
  if (idle && recorded) {
    boost::asio::post(io_, std::move(done));
    return;
  }
  // The time limit for the remaining claim records starts when the last request
  // has been settled.
  const Time next_idle_since = idle ? idle_since : now;
  std::lock_guard<std::mutex> lock(mutex_);
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait(
      [weak = weak_from_this(), next_idle_since,
       done = std::move(done)](const boost::system::error_code& code) mutable {
        if (code) return;
        auto self = weak.lock();
        if (self) self->CheckDrained(next_idle_since, std::move(done));
      });
}

size_t RequestManager::Impl::in_flight() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return unanswered_requests_;
}

}  // namespace thornplank
