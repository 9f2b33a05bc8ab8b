// Feeds events to the router under a mutex and executes the returned actions.
#include "requests/request_dispatcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <variant>

#include "net/http_client.h"
#include "requests/attempt_sender.h"
#include "requests/routing_log.h"

namespace thornplank {
namespace {

// A request from Submit until it is settled: finished, and no attempt in
// flight.
struct ActiveRequest {
  Dispatch dispatch;
  bool finished = false;
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // The answer, if any, of the most recently completed attempt.
  std::optional<UpstreamAnswer> answer;
  int attempts_in_flight = 0;
};

// Work that is collected while the mutex is held and run after its release.
using Deferred = std::vector<std::function<void()>>;

RequestInfo ToInfo(const std::string& id, const CallerRequest& request,
                   Time deadline) {
  RequestInfo info;
  info.id = id;
  info.account = request.account;
  info.service = request.service;
  info.deadline = deadline;
  info.idempotent = request.idempotent();
  return info;
}

DispatchResult UnknownResult(std::string reason) {
  DispatchResult result;
  result.outcome = RequestOutcome::kUnknown;
  result.reason = std::move(reason);
  return result;
}

}  // namespace

class RequestDispatcher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, HttpClient& http, RouterOptions options)
      : sender_(http), router_(std::move(options)), wake_timer_(io) {}

  void Start();
  void Stop();
  void Submit(Dispatch dispatch);
  std::optional<Refusal> CheckAdmission(const RequestInfo& info) const;
  PeerDemand demand() const;
  size_t unsettled_count() const;

  // Passes one event to the router and executes the resulting actions. `event`
  // runs with the mutex held.
  void ProcessEvent(
      const std::function<RoutingActions(RequestRouter&, Time)>& event);

 private:
  void CompleteAttempt(const SendAttempt& action, AttemptReport report);
  void CompleteProbe(const std::string& executor, const AttemptResult& result);
  void Tick();

  // The functions below are called with the mutex held. The Defer functions add
  // the work of an action to `deferred`.
  void DeferActions(const RoutingActions& actions, Deferred* deferred);
  void DeferSend(const SendAttempt& action, Deferred* deferred);
  void DeferProbe(const ProbeExecutor& action, Deferred* deferred);
  void DeferFinish(const std::string& id, DispatchResult result,
                   Deferred* deferred);
  // Removes the request and defers its on_settled, if it is settled.
  void DeferIfSettled(const std::string& id, Deferred* deferred);
  void ArmWakeTimer();

  AttemptSender sender_;

  // Guards the members below. Never held while a request is sent or a callback
  // runs.
  mutable std::mutex mutex_;
  RequestRouter router_;
  std::unordered_map<std::string, ActiveRequest> active_requests_;
  bool running_ = false;
  boost::asio::steady_timer wake_timer_;
  // When wake_timer_ expires; nullopt when it is not armed.
  std::optional<Time> wake_time_;
};

void RequestDispatcher::Impl::ProcessEvent(
    const std::function<RoutingActions(RequestRouter&, Time)>& event) {
  Deferred deferred;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    DeferActions(event(router_, std::chrono::steady_clock::now()), &deferred);
    ArmWakeTimer();
  }
  for (const auto& work : deferred) work();
}

void RequestDispatcher::Impl::Submit(Dispatch dispatch) {
  ProcessEvent([&](RequestRouter& router, Time now) {
    const RequestInfo info =
        ToInfo(dispatch.id, dispatch.request, dispatch.deadline);
    active_requests_[info.id].dispatch = std::move(dispatch);
    return router.Submit(info, now);
  });
}

void RequestDispatcher::Impl::DeferActions(const RoutingActions& actions,
                                           Deferred* deferred) {
  for (const RoutingAction& action : actions) {
    LogRoutingAction(action);
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      DeferSend(*send, deferred);
    } else if (const auto* probe = std::get_if<ProbeExecutor>(&action)) {
      DeferProbe(*probe, deferred);
    } else if (const auto* answered = std::get_if<FinishAnswered>(&action)) {
      DispatchResult result;
      result.outcome = RequestOutcome::kAnswered;
      DeferFinish(answered->request_id, std::move(result), deferred);
    } else if (const auto* not_run = std::get_if<FinishNotRun>(&action)) {
      DispatchResult result;
      result.outcome = RequestOutcome::kNotRun;
      result.reason = not_run->reason;
      result.retry_after = not_run->retry_after;
      DeferFinish(not_run->request_id, std::move(result), deferred);
    } else if (const auto* unknown = std::get_if<FinishUnknown>(&action)) {
      DeferFinish(unknown->request_id, UnknownResult(unknown->reason),
                  deferred);
    }
  }
}

void RequestDispatcher::Impl::DeferSend(const SendAttempt& action,
                                        Deferred* deferred) {
  const auto found = active_requests_.find(action.request_id);
  if (found == active_requests_.end()) return;
  ActiveRequest& active = found->second;
  ++active.attempts_in_flight;
  const CallerRequest& request = active.dispatch.request;
  Attempt attempt;
  attempt.id = action.request_id + "-" + std::to_string(action.attempt);
  attempt.service = request.service;
  attempt.executor = action.executor;
  attempt.address = action.address;
  attempt.content_type = request.content_type;
  attempt.body = request.body;
  attempt.deadline = action.attempt_deadline;
  attempt.may_send = active.dispatch.may_send;
  if (request.idempotency_key) {
    attempt.idempotency_key = request.idempotency_key->key;
  }
  deferred->push_back([self = shared_from_this(), action,
                       attempt = std::move(attempt)]() mutable {
    self->sender_.Send(std::move(attempt),
                       [self, action](AttemptReport report) {
                         self->CompleteAttempt(action, std::move(report));
                       });
  });
}

void RequestDispatcher::Impl::DeferProbe(const ProbeExecutor& action,
                                         Deferred* deferred) {
  deferred->push_back([self = shared_from_this(), action] {
    const Duration timeout =
        action.probe_deadline - std::chrono::steady_clock::now();
    self->sender_.Probe(
        action.address, timeout,
        [self, executor = action.executor](const AttemptResult& result) {
          self->CompleteProbe(executor, result);
        });
  });
}

void RequestDispatcher::Impl::DeferFinish(const std::string& id,
                                          DispatchResult result,
                                          Deferred* deferred) {
  const auto found = active_requests_.find(id);
  if (found == active_requests_.end() || found->second.finished) return;
  ActiveRequest& active = found->second;
  const bool has_answer = active.answer.has_value();
  if (result.outcome == RequestOutcome::kAnswered && !has_answer) {
    result = UnknownResult("the answer was lost inside the entry");
  }
  // An attempt in flight may still send the request, so "not run" would be
  // wrong.
  if (result.outcome == RequestOutcome::kNotRun &&
      active.attempts_in_flight > 0) {
    result = UnknownResult(result.reason);
  }
  if (result.outcome == RequestOutcome::kAnswered) {
    result.answer = std::move(*active.answer);
    active.answer.reset();
  }
  active.finished = true;
  active.outcome = result.outcome;
  deferred->push_back([on_finished = std::move(active.dispatch.on_finished),
                       result = std::move(result)]() mutable {
    on_finished(std::move(result));
  });
  DeferIfSettled(id, deferred);
}

void RequestDispatcher::Impl::DeferIfSettled(const std::string& id,
                                             Deferred* deferred) {
  const auto found = active_requests_.find(id);
  if (found == active_requests_.end()) return;
  ActiveRequest& active = found->second;
  if (!active.finished || active.attempts_in_flight > 0) return;
  std::optional<UpstreamAnswer> late_answer;
  if (active.outcome == RequestOutcome::kUnknown) {
    late_answer = std::move(active.answer);
  }
  if (active.dispatch.on_settled) {
    deferred->push_back([on_settled = std::move(active.dispatch.on_settled),
                         late_answer = std::move(late_answer)]() mutable {
      on_settled(std::move(late_answer));
    });
  }
  active_requests_.erase(found);
}

void RequestDispatcher::Impl::CompleteAttempt(const SendAttempt& action,
                                              AttemptReport report) {
  LogFailedAttempt(action, report);
  Deferred deferred;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto found = active_requests_.find(action.request_id);
    if (found != active_requests_.end()) {
      --found->second.attempts_in_flight;
      found->second.answer = std::move(report.answer);
    }
    DeferActions(router_.CompleteAttempt(action.request_id, action.executor,
                                         report.result,
                                         std::chrono::steady_clock::now()),
                 &deferred);
    DeferIfSettled(action.request_id, &deferred);
    ArmWakeTimer();
  }
  for (const auto& work : deferred) work();
}

void RequestDispatcher::Impl::CompleteProbe(const std::string& executor,
                                            const AttemptResult& result) {
  ProcessEvent([&](RequestRouter& router, Time now) {
    return router.HandleProbeResult(executor, result, now);
  });
}

void RequestDispatcher::Impl::ArmWakeTimer() {
  if (!running_) return;
  const std::optional<Time> next = router_.NextTickTime();
  if (!next || (wake_time_ && *wake_time_ <= *next)) return;
  wake_time_ = next;
  wake_timer_.expires_at(*next);
  wake_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& code) {
        if (code) return;
        if (auto self = weak.lock()) self->Tick();
      });
}

void RequestDispatcher::Impl::Tick() {
  ProcessEvent([this](RequestRouter& router, Time now) {
    wake_time_.reset();
    return router.Tick(now);
  });
}

void RequestDispatcher::Impl::Start() {
  std::lock_guard<std::mutex> lock(mutex_);
  running_ = true;
  ArmWakeTimer();
}

void RequestDispatcher::Impl::Stop() {
  std::lock_guard<std::mutex> lock(mutex_);
  running_ = false;
  wake_time_.reset();
  wake_timer_.cancel();
}

std::optional<Refusal> RequestDispatcher::Impl::CheckAdmission(
    const RequestInfo& info) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return router_.CheckAdmission(info, std::chrono::steady_clock::now());
}

PeerDemand RequestDispatcher::Impl::demand() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return router_.demand();
}

size_t RequestDispatcher::Impl::unsettled_count() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return active_requests_.size();
}

RequestDispatcher::RequestDispatcher(boost::asio::io_context& io,
                                     HttpClient& http, RouterOptions options)
    : impl_(std::make_shared<Impl>(io, http, std::move(options))) {}

RequestDispatcher::~RequestDispatcher() { Stop(); }

void RequestDispatcher::Start() { impl_->Start(); }

void RequestDispatcher::Stop() { impl_->Stop(); }

void RequestDispatcher::SetAccounts(
    const std::vector<AccountLimits>& accounts) {
  impl_->ProcessEvent([&](RequestRouter& router, Time now) {
    return router.SetAccountLimits(accounts, now);
  });
}

void RequestDispatcher::SetExecutors(
    const std::vector<ExecutorInfo>& executors) {
  impl_->ProcessEvent([&](RequestRouter& router, Time now) {
    return router.SetExecutors(executors, now);
  });
}

void RequestDispatcher::SetPeers(const std::string& own_name,
                                 const std::vector<std::string>& live_entries) {
  impl_->ProcessEvent([&](RequestRouter& router, Time now) {
    return router.SetLiveEntries(own_name, live_entries, now);
  });
}

void RequestDispatcher::SetPeerDemand(const PeerDemand& demand) {
  impl_->ProcessEvent([&](RequestRouter& router, Time now) {
    return router.SetPeerDemand(demand, now);
  });
}

PeerDemand RequestDispatcher::demand() const { return impl_->demand(); }

std::optional<Refusal> RequestDispatcher::CheckAdmission(
    const std::string& id, const CallerRequest& request, Time deadline) const {
  return impl_->CheckAdmission(ToInfo(id, request, deadline));
}

void RequestDispatcher::Submit(Dispatch dispatch) {
  impl_->Submit(std::move(dispatch));
}

size_t RequestDispatcher::unsettled_count() const {
  return impl_->unsettled_count();
}

}  // namespace thornplank
